"""Discards what an application leaves unread of a request body."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from attrs import frozen

from bronzebeam.entry.asgi import Receive, Scope, Send


@frozen(kw_only=True)
class UnreadBodyApp:
    """
    Discards the unread rest of a request body while the response ends.

    The server's queue of body parts is bounded, and the server cannot end a response
    while the queue is full.
    """

    app: Callable[[Any, Any, Any], Awaitable[None]]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        has_ended = False

        async def receive_part() -> dict[str, Any]:
            nonlocal has_ended
            message = await receive()
            has_ended = not message.get("more_body", False)
            return message

        async def send_part(message: dict[str, Any]) -> None:
            is_last = message["type"] == "http.response.body" and not message.get(
                "more_body", False
            )
            if has_ended or not is_last:
                await send(message)
                return
            async with anyio.create_task_group() as group:
                group.start_soon(_discard, receive)
                await send(message)

        await self.app(scope, receive_part, send_part)


async def _discard(receive: Receive) -> None:
    """Receive until the message that follows each response."""
    while (await receive())["type"] != "http.disconnect":
        pass
