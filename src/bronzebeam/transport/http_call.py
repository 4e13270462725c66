"""Single calls to an HTTP server, each bounded in time."""

import asyncio
from typing import Final

from attrs import define, field

from bronzebeam.transport.http_reply import ClientConnection, HttpReply
from bronzebeam.transport.reply_future import ExchangeFailed, exchange

CONNECT_TIMEOUT_SECONDS: Final = 0.4  # many round trips; a cut shows as a hang
MAX_IDLE_SECONDS: Final = 5.0  # idle longer, a connection may have gone silent


class CallFailed(Exception):
    """No whole reply came; the call may have been carried out."""


@define(kw_only=True, eq=False, repr=False)
class HttpCallClient:
    """
    One connection to a server, opened when it is needed.

    Calls of several tasks at a time each get a connection of their own.
    """

    host: str
    port: int
    call_count: int = 0
    _idle_connections: list[ClientConnection] = field(factory=list)
    _connections: set[ClientConnection] = field(factory=set)

    async def call(
        self, method: str, target: str, *, body: bytes | None, timeout_seconds: float
    ) -> HttpReply:
        """
        Make one call.

        :param target: path with its query, encoded.
        :param body: JSON text, or None.
        :raises CallFailed: if no whole reply came in time.
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

    # Called by connections.

    def on_connection_idle(self, connection: ClientConnection) -> None:
        """Keep a connection for the next call."""
        self._idle_connections.append(connection)

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
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
                lambda: ClientConnection(owner=self, loop=loop), self.host, self.port
            )
        self._connections.add(connection)
        return connection

    def _encode(self, method: str, target: str, body: bytes | None) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.host}:{self.port}"]
        if body is not None:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body or b'')}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
