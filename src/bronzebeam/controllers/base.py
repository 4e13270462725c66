"""Base class of controllers: tasks that own their state and handle messages."""

import math
from typing import Final, Generic, Protocol, TypeVar

import anyio

MAX_MESSAGES_WITHOUT_YIELD: Final = 1_000

MessageT = TypeVar("MessageT", contravariant=True)
InboxT = TypeVar("InboxT")


class MessageSink(Protocol[MessageT]):
    """Accepts messages for a controller."""

    def post(self, message: MessageT) -> None:
        """Queue `message`; never blocks."""


class Controller(Generic[InboxT]):
    """
    Base class of controllers: an inbox and the loop that handles its messages.

    Subclasses override `handle` and, for periodic work, `run`. Only the controller
    writes its own state; other code reads the immutable values that it publishes.
    """

    def __init__(self) -> None:
        self._inbox_sender, self._inbox = anyio.create_memory_object_stream[InboxT](
            math.inf
        )

    def post(self, message: InboxT) -> None:
        """Queue `message` for the controller; never blocks."""
        self._inbox_sender.send_nowait(message)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self._inbox:
            await self.handle(message)
            await self._handle_queued()

    async def _handle_queued(self) -> None:
        """
        Handle messages that are already queued, up to a limit, without yielding.

        An awaited receive yields to every other task. Handling one message per event
        loop iteration is slower than fan-outs produce messages, so the inbox would
        grow for as long as the load lasts.
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
