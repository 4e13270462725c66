"""A controller: a task that owns its state and takes messages."""

import math
from typing import Final, Generic, Protocol, TypeVar

import anyio

MAX_MESSAGES_WITHOUT_YIELD: Final = 1_000

MessageT = TypeVar("MessageT", contravariant=True)
InboxT = TypeVar("InboxT")


class MessageSink(Protocol[MessageT]):
    """Where messages for a controller are left."""

    def post(self, message: MessageT) -> None:
        """Leave `message`; never blocks."""


class Controller(Generic[InboxT]):
    """
    Base of controllers: an inbox and the loop that empties it.

    Subclasses override `handle` and, if they work periodically, `run`. Nothing
    else writes a controller's state; others read the frozen values it publishes.
    """

    def __init__(self) -> None:
        self._outbox, self._inbox = anyio.create_memory_object_stream[InboxT](math.inf)

    def post(self, message: InboxT) -> None:
        """Leave `message` for the controller."""
        self._outbox.send_nowait(message)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self._inbox:
            await self.handle(message)
            await self._handle_waiting()

    async def _handle_waiting(self) -> None:
        """
        Handle what waits already, up to a bound, without yielding between.

        A receive that waits yields to every other task. One message for each turn of
        the event loop is less than a fan-out leaves, so that the inbox would grow
        for as long as the load lasts.
        """
        for _ in range(MAX_MESSAGES_WITHOUT_YIELD):
            try:
                message = self._inbox.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream):
                return
            await self.handle(message)

    async def handle(self, message: InboxT) -> None:
        """Apply one message to the state."""
        raise NotImplementedError
