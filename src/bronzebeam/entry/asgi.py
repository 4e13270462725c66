"""Helpers for the ASGI interface of the HTTP server."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodyTooLarge(Exception):
    """The request body exceeds the size limit."""


class CallerDisconnected(Exception):
    """The caller disconnected before it had sent the whole request."""


async def read_body(receive: Receive, *, max_bytes: int) -> bytes:
    """
    Read the whole request body.

    :raises BodyTooLarge: once more than `max_bytes` have been received.
    :raises CallerDisconnected: if the caller disconnects before the end of the body.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        chunk = message.get("body", b"")
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise BodyTooLarge
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def send_response(
    send: Send, *, status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> None:
    """Send a complete response."""
    encoded = [(name.encode(), value.encode()) for name, value in headers]
    encoded.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": encoded})
    await send({"type": "http.response.body", "body": body})


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the server's start and stop messages."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return
