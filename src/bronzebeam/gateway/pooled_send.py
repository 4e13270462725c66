"""Base of requests that are sent on a connection of a pool."""

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
    One request sent on a pooled connection.

    Subclasses encode the request and handle its reply.

    :ivar cause: why there is no usable reply; empty if there is one.
    :ivar ended: the handler was notified, or its notification was cancelled.
    """

    cause: str = ""
    ended: bool = False
    _pending: PendingSend | None = None
    _connection: ClientConnection | None = None

    def discard(self) -> None:
        """Ignore the reply, but let the server complete the request."""
        self.ended = True
        if self._pending is not None:
            self._pending.cancelled = True

    def abandon(self) -> None:
        """Close the connection, so that the server stops its work."""
        self.discard()
        if self._connection is not None and self._connection.observer is self:
            self._connection.abandon()

    def _queue_on(self, pool: ConnectionPool, *, require_fresh: bool) -> None:
        """Send as soon as the pool has a free connection; see `ConnectionPool`."""
        self._pending = PendingSend(on_connection=self._send, on_unsent=self._on_unsent)
        pool.acquire(self._pending, require_fresh=require_fresh)

    @abstractmethod
    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Handle the complete reply."""

    @abstractmethod
    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Handle the loss of the connection or a malformed reply."""

    @abstractmethod
    def _send(self, connection: ClientConnection) -> None:
        """Send the request on this connection."""

    @abstractmethod
    def _on_unsent(self, cause: str) -> None:
        """Handle that no byte of the request was sent, and none will be."""
