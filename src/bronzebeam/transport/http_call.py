"""Single calls to an HTTP server, each bounded in time."""

import asyncio
from typing import Final

from attrs import define, field

from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)

CONNECT_SECONDS: Final = 0.4  # many round trips; a cut shows as a hang
IDLE_MAX_SECONDS: Final = 5.0  # idle longer, a connection may have gone silent


class CallFailed(Exception):
    """No whole reply came; the call may have been carried out."""


@define(kw_only=True, eq=False, repr=False)
class _Waiter:
    """Hands the end of an exchange to a task."""

    future: asyncio.Future[HttpReply]

    def reply_received(self, connection: ClientConnection, reply: HttpReply) -> None:
        if not self.future.done():
            self.future.set_result(reply)

    def exchange_failed(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        if not self.future.done():
            self.future.set_exception(CallFailed(failure.value))


@define(kw_only=True, eq=False, repr=False)
class HttpCallClient:
    """
    One connection to a server, opened when it is needed.

    Calls of several tasks at a time each get a connection of their own.
    """

    host: str
    port: int
    calls: int = 0
    _idle: list[ClientConnection] = field(factory=list)
    _all: set[ClientConnection] = field(factory=set)

    async def call(
        self, method: str, target: str, *, body: bytes | None, bound_seconds: float
    ) -> HttpReply:
        """
        Make one call.

        :param target: path with its query, encoded.
        :param body: JSON text, or None.
        :raises CallFailed: if no whole reply came in time.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(bound_seconds):
                connection = await self._connection()
                return await self._exchange(connection, method, target, body)
        except TimeoutError as error:
            raise CallFailed("timeout") from error
        except OSError as error:
            raise CallFailed(error.strerror or str(error)) from error

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._all):
            connection.close()

    # Called by connections.

    def connection_idle(self, connection: ClientConnection) -> None:
        """Keep a connection for the next call."""
        self._idle.append(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    async def _connection(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        while self._idle:
            connection = self._idle.pop()
            idle_seconds = loop.time() - connection.idle_since_seconds
            if not connection.closed and idle_seconds < IDLE_MAX_SECONDS:
                return connection
            connection.close()
        async with asyncio.timeout(CONNECT_SECONDS):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(owner=self, loop=loop), self.host, self.port
            )
        self._all.add(connection)
        return connection

    async def _exchange(
        self,
        connection: ClientConnection,
        method: str,
        target: str,
        body: bytes | None,
    ) -> HttpReply:
        future: asyncio.Future[HttpReply] = asyncio.get_running_loop().create_future()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.host}:{self.port}"]
        if body is not None:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body or b'')}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
        connection.send(data, _Waiter(future=future), head=False)
        try:
            return await future
        except asyncio.CancelledError:
            # A reply to this call must not be taken for that to the next one.
            connection.abandon()
            raise
