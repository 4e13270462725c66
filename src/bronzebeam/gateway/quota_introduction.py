"""Asks the peers whether they know this instance, so that it may be an owner soon."""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from bronzebeam.gateway.connection_pool import ConnectionPool
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.pooled_send import PooledSend
from bronzebeam.gateway.quota_message import (
    QUOTA_PATH,
    Introduction,
    encode_introduction,
)
from bronzebeam.routing.known_by import KnownBy
from bronzebeam.routing.quota_members import RegistrationTimes
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)

KNOWN: Final = b'{"known":true}'
UNKNOWN: Final = b'{"known":false}'
MAX_QUESTIONS: Final = 100  # at a time; a fleet of 900 has answered after a few seconds


@define(kw_only=True, eq=False, repr=False)
class QuotaIntroduction:
    """
    Asks the peers, from the registration until all of them know this instance.

    :ivar _asked: peers whose answer has not come yet.
    """

    state: FleetState
    registration: RegistrationTimes
    boot_seconds: Callable[[], float]
    known_by: KnownBy = field(factory=KnownBy)
    _asked: set[str] = field(factory=set)

    def update(self) -> None:
        """Ask peers that have not answered yet; called a few times a second."""
        table = self.state.table
        if table is None or not table.has_quotas:
            return
        names = self.known_by.members_to_ask(
            self.state.quota_members, self.registration, self.boot_seconds()
        )
        registered_at = self.registration.registered_at_seconds
        for name in names:
            peer = self.state.peers.get(name)
            if len(self._asked) >= MAX_QUESTIONS or registered_at is None:
                return
            if peer is not None and name not in self._asked:
                self._asked.add(name)
                _Question(
                    instance=self.state.instance,
                    pool=peer.pool if peer.pool.idle else peer.control_pool,
                    peer=name,
                    registered_at_seconds=registered_at,
                    makes_way=self.known_by.makes_way,
                    on_end=self._on_end,
                ).send()

    def _on_end(self, question: "_Question", is_known: bool) -> None:
        self._asked.discard(question.peer)
        if is_known:
            self.known_by.record(
                question.peer,
                registered_at_seconds=question.registered_at_seconds,
                makes_way=question.makes_way,
            )


@define(kw_only=True, eq=False, repr=False)
class _Question(PooledSend):
    """One question to one peer."""

    instance: str
    pool: ConnectionPool
    peer: str
    registered_at_seconds: float
    makes_way: bool
    on_end: Callable[["_Question", bool], None]

    def send(self) -> None:
        """Send the question as soon as the pool has a free connection."""
        self._queue_on(self.pool, require_fresh=False)

    def _send(self, connection: ClientConnection) -> None:
        self._connection = connection
        body = encode_introduction(
            Introduction(instance=self.instance, makes_way=self.makes_way)
        )
        self.pool.record_sent(connection, connection.loop.time())
        connection.send(
            b"POST %s HTTP/1.1\r\nhost:q\r\ncontent-length:%d\r\n\r\n%s"
            % (QUOTA_PATH, len(body), body),
            self,
            is_head=False,
        )

    def _on_unsent(self, cause: str) -> None:
        self.on_end(self, False)

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Handle the peer's answer; one of an earlier build is another."""
        connection.proven = True
        self.pool.record_reply(connection.sent_at_seconds)
        self.on_end(self, reply.status == 200 and reply.body == KNOWN)

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Handle the loss of the connection or a malformed reply."""
        self.pool.busy.pop(connection, None)
        self.on_end(self, False)
