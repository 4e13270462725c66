"""A request that waits for a connection of a pool, and may be given up."""

from abc import ABC, abstractmethod

from attrs import define

from bronzebeam.gateway.connection_pool import ConnectionPool, PendingSend
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)


@define(kw_only=True, eq=False, repr=False)
class PooledSend(ABC):
    """
    One send on a connection of a pool; subclasses encode it and take its reply.

    :ivar cause: why there is no usable reply; empty if there is one.
    :ivar ended: the owner has been told, or no longer wants to be.
    """

    cause: str = ""
    ended: bool = False
    _pending: PendingSend | None = None
    _connection: ClientConnection | None = None

    def discard(self) -> None:
        """Let a send that is under way finish, but ignore its reply."""
        self.ended = True
        if self._pending is not None:
            self._pending.cancelled = True

    def abandon(self) -> None:
        """Have the server stop its work by closing the connection."""
        self.discard()
        if self._connection is not None and self._connection.observer is self:
            self._connection.abandon()

    def _send_on(self, pool: ConnectionPool, *, fresh: bool) -> None:
        """Start as soon as the pool has a free connection; see `ConnectionPool`."""
        self._pending = PendingSend(
            on_connection=self._start, on_unreachable=self._refuse
        )
        pool.acquire(self._pending, fresh=fresh)

    @abstractmethod
    def reply_received(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Take the whole reply."""

    @abstractmethod
    def exchange_failed(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Take the end of the connection."""

    @abstractmethod
    def _start(self, connection: ClientConnection) -> None:
        """Send on this connection."""

    @abstractmethod
    def _refuse(self) -> None:
        """Take it that the server can't be reached."""
