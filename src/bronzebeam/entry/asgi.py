"""Helpers for the ASGI interface of the HTTP server."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from bronzebeam.entry.body_memory import BodyDisplaced, BodyMemory, UnfinishedBody

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodyTooLarge(Exception):
    """The request body exceeds the size limit."""


class CallerDisconnected(Exception):
    """The caller disconnected before it had sent the whole request."""


async def read_body(receive: Receive, *, max_bytes: int, memory: BodyMemory) -> bytes:
    """
    Read the whole request body.

    :param memory: of all bodies that are being received.
    :raises BodyTooLarge: once more than `max_bytes` have been received.
    :raises BodyDisplaced: if the body is displaced from `memory`.
    :raises CallerDisconnected: if the caller disconnects before the end of the body.
    """
    body = memory.open()
    try:
        with body.scope:
            return await _read_parts(receive, max_bytes, memory, body)
    finally:
        memory.close(body)
    raise BodyDisplaced


async def _read_parts(
    receive: Receive, max_bytes: int, memory: BodyMemory, body: UnfinishedBody
) -> bytes:
    content = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        part = message.get("body", b"")
        if len(content) + len(part) > max_bytes:
            raise BodyTooLarge
        content += part
        if not message.get("more_body", False):
            return bytes(content)
        memory.grow(body, len(part))


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
