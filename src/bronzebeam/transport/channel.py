"""Connections to backend servers that carry one request at a time."""

import asyncio
import socket
from collections.abc import Sequence
from typing import Final, Protocol

import httpcore
from attrs import frozen

from bronzebeam.transport.http_reply import ClientConnection
from bronzebeam.transport.reply_future import ExchangeFailed, exchange
from bronzebeam.transport.socket_options import DEAD_PEER_DETECTION_OPTIONS

MAX_REPLY_BYTES: Final = 8 * 1024 * 1024

Headers = Sequence[tuple[bytes, bytes]]


class ChannelClosed(Exception):
    """The connection could not be opened, failed, or received an invalid reply."""


@frozen(kw_only=True)
class ChannelResponse:
    """A complete HTTP response."""

    status: int
    body: bytes


class Channel(Protocol):
    """
    A connection that carries one request at a time.

    Its calls raise `ChannelClosed`, after which the channel cannot be used again.
    """

    async def exchange(
        self, *, method: str, path: str, headers: Headers, body: bytes
    ) -> ChannelResponse:
        """Send a request and return the complete response."""

    async def aclose(self) -> None:
        """Close the connection."""


class ChannelFactory(Protocol):
    """Creates channels; the first exchange opens the connection."""

    def new_channel(self, address: str) -> Channel:
        """Return a channel to `address`, an IP address and port."""


class HttpcoreChannel:
    """
    A channel over a single `httpcore.AsyncHTTPConnection`.

    :param max_reply_bytes: a longer reply closes the channel.
    """

    def __init__(self, *, address: str, max_reply_bytes: int = MAX_REPLY_BYTES) -> None:
        self._max_reply_bytes = max_reply_bytes
        host, _, port = address.rpartition(":")
        self._origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._host_header = (b"host", address.encode())
        self._urls: dict[str, httpcore.URL] = {}
        self._connection = httpcore.AsyncHTTPConnection(
            origin=self._origin,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                *DEAD_PEER_DETECTION_OPTIONS,
            ],
        )

    async def exchange(
        self, *, method: str, path: str, headers: Headers, body: bytes
    ) -> ChannelResponse:
        request = httpcore.Request(
            method,
            self._url(path),
            headers=[
                self._host_header,
                (b"content-length", str(len(body)).encode()),
                *headers,
            ],
            content=body,
        )
        try:
            response = await self._connection.handle_async_request(request)
            content = await self._read_body(response)
            await response.aclose()
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.ConnectionNotAvailable,
        ) as error:
            raise ChannelClosed(str(error)) from error
        return ChannelResponse(status=response.status, body=content)

    async def aclose(self) -> None:
        await self._connection.aclose()

    async def _read_body(self, response: httpcore.Response) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        async for part in response.aiter_stream():
            size_bytes += len(part)
            if size_bytes > self._max_reply_bytes:
                raise ChannelClosed(f"reply exceeds {self._max_reply_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def _url(self, path: str) -> httpcore.URL:
        url = self._urls.get(path)
        if url is None:
            url = self._urls[path] = httpcore.URL(
                scheme=self._origin.scheme,
                host=self._origin.host,
                port=self._origin.port,
                target=path.encode(),
            )
        return url


class HttpcoreChannelFactory:
    """Creates `HttpcoreChannel` objects."""

    def new_channel(self, address: str) -> Channel:
        return HttpcoreChannel(address=address)


class ProtocolChannel:
    """
    A channel over a `ClientConnection`; requires asyncio.

    :param max_reply_bytes: a longer reply closes the channel.
    """

    def __init__(self, *, address: str, max_reply_bytes: int = MAX_REPLY_BYTES) -> None:
        self._address = address
        self._max_reply_bytes = max_reply_bytes
        self._connection: ClientConnection | None = None
        self._closed = False

    async def exchange(
        self, *, method: str, path: str, headers: Headers, body: bytes
    ) -> ChannelResponse:
        if self._closed:
            raise ChannelClosed("the channel is closed")
        try:
            if self._connection is None:
                self._connection = await self._open()
            lines = [
                f"{method} {path} HTTP/1.1\r\nhost: {self._address}\r\n".encode(),
                b"content-length: %d\r\n" % len(body),
            ]
            lines.extend(b"%s: %s\r\n" % pair for pair in headers)
            request = b"".join(lines) + b"\r\n" + body
            reply = await exchange(self._connection, request)
        except (OSError, ExchangeFailed) as error:
            self._closed = True
            raise ChannelClosed(str(error)) from error
        return ChannelResponse(status=reply.status, body=reply.body)

    async def aclose(self) -> None:
        self._closed = True
        if self._connection is not None:
            self._connection.abandon()

    # Callbacks of the connection.

    def on_connection_idle(self, connection: ClientConnection) -> None:
        """Do nothing; the connection stays open for the next exchange."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Mark the channel as closed."""
        self._closed = True

    async def _open(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        host, _, port = self._address.rpartition(":")
        _, connection = await loop.create_connection(
            lambda: ClientConnection(
                owner=self, loop=loop, reply_max_bytes=self._max_reply_bytes
            ),
            host,
            int(port),
        )
        return connection


class ProtocolChannelFactory:
    """Creates `ProtocolChannel` objects."""

    def new_channel(self, address: str) -> Channel:
        return ProtocolChannel(address=address)
