"""HTTP calls with a timeout, over asyncio connections."""

import asyncio
from typing import Final

from attrs import define, field

from bronzebeam.transport.http_reply import ClientConnection, HttpReply, ReplyMemory
from bronzebeam.transport.reply_future import ExchangeFailed, exchange

# Many round trips; during a network partition, connecting hangs instead of failing.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
MAX_IDLE_SECONDS: Final = 5.0  # a connection idle for longer may be dead


class CallFailed(Exception):
    """No complete reply was received; the call may have been executed."""


@define(kw_only=True, eq=False, repr=False)
class HttpCallClient:
    """
    A client for one server, which opens connections on demand.

    Idle connections are reused; concurrent calls use separate connections.

    :ivar call_count: calls made so far.
    :ivar reply_memory: shared with the other connections of the process.
    """

    host: str
    port: int
    call_count: int = 0
    reply_memory: ReplyMemory = field(factory=ReplyMemory)
    _idle_connections: list[ClientConnection] = field(factory=list)
    _connections: set[ClientConnection] = field(factory=set)

    async def call(
        self, method: str, target: str, *, body: bytes | None, timeout_seconds: float
    ) -> HttpReply:
        """
        Make one call.

        :param target: encoded path and query string.
        :param body: encoded JSON, or None.
        :raises CallFailed: if no complete reply was received in time.
        """
        self.call_count += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = await self._acquire_connection()
                return await exchange(connection, self._encode(method, target, body))
        except TimeoutError as error:
            raise CallFailed("timeout") from error
        except OSError as error:
            raise CallFailed(error.strerror or str(error)) from error
        except ExchangeFailed as error:
            raise CallFailed(str(error)) from error

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.close()

    # Callbacks of the connections.

    def on_connection_idle(self, connection: ClientConnection) -> None:
        """Make the connection available to the next call."""
        self._idle_connections.append(connection)

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Remove the connection."""
        self._connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    async def _acquire_connection(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            idle_seconds = loop.time() - connection.idle_since_seconds
            if not connection.closed and idle_seconds < MAX_IDLE_SECONDS:
                return connection
            connection.close()
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(
                    owner=self, loop=loop, reply_memory=self.reply_memory
                ),
                self.host,
                self.port,
            )
        self._connections.add(connection)
        return connection

    def _encode(self, method: str, target: str, body: bytes | None) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.host}:{self.port}"]
        if body is not None:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body or b'')}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
