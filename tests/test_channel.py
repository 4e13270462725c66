"""Tests of channels to backend servers."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream

from bronzebeam.transport.channel import (
    Channel,
    ChannelClosed,
    HttpcoreChannel,
    ProtocolChannel,
)

MAX_REPLY_BYTES = 10_000


def _run_with_reply(body_bytes: int, use: Callable[[Channel], Awaitable[None]]) -> None:
    """Run `use` with a channel of each class; the server sends `body_bytes` bytes."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n"
            await stream.send(head.encode() + b"x" * body_bytes)
            await anyio.sleep_forever()

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        address = f"127.0.0.1:{port}"
        channels: list[Channel] = [
            channel_class(address=address, max_reply_bytes=MAX_REPLY_BYTES)
            for channel_class in (HttpcoreChannel, ProtocolChannel)
        ]
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            for channel in channels:
                await use(channel)
                await channel.aclose()
            group.cancel_scope.cancel()

    anyio.run(main)


def test_reply_up_to_the_size_limit_is_read() -> None:
    async def use(channel: Channel) -> None:
        response = await channel.exchange(
            method="GET", path="/status", headers=(), body=b""
        )
        assert response.status == 200
        assert len(response.body) == MAX_REPLY_BYTES

    _run_with_reply(MAX_REPLY_BYTES, use)


def test_reply_above_the_size_limit_closes_the_channel() -> None:
    async def use(channel: Channel) -> None:
        try:
            await channel.exchange(method="GET", path="/status", headers=(), body=b"")
        except ChannelClosed:
            return
        raise AssertionError("the reply was accepted")

    _run_with_reply(MAX_REPLY_BYTES + 1, use)
