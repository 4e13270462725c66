"""One send of a request to one replica."""

from enum import Enum
from typing import Final, Protocol

from attrs import define

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.dialect import ReplyMetadata
from bronzebeam.gateway.pooled_send import PooledSend
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)
from bronzebeam.units import MS_PER_SECOND

MISDIRECTED: Final = 421
REMAINING_MIN_MS: Final = 1.0  # a replica must be given some time


class AttemptResult(Enum):
    """
    How an attempt ended.

    `ANSWERED`: a success of the replica meant, for this request. `FAILED`: the
    replica's own failure, which counts as run. `NOT_RUN`: the replica's word that it
    did not run the request. `NOT_SENT`: no byte left. `UNKNOWN`: it may have run.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"

    @property
    def may_have_run(self) -> bool:
        return self in (self.ANSWERED, self.FAILED, self.UNKNOWN)


class AttemptOwner(Protocol):
    """Decides what follows the end of an attempt."""

    def attempt_ended(self, attempt: "Attempt", result: AttemptResult) -> None:
        """Take the result; the attempt holds the reply, if there is one."""


@define(kw_only=True, eq=False, repr=False)
class Attempt(PooledSend):
    """
    One send of a request to one replica.

    :ivar shard: index of the shard that it is for; 0 outside a fan-out.
    :ivar sent_at_seconds: monotonic time of the send; None while it waits.
    :ivar result: how it ended; None before, or if it was discarded.
    :ivar connection_lost: the connection ended without a byte of a reply.
    """

    context: GatewayContext
    routed: RoutedRequest
    replica: Replica
    owner: AttemptOwner
    shard: int = 0
    sent_at_seconds: float | None = None
    reply: HttpReply | None = None
    reply_metadata: ReplyMetadata | None = None
    result: AttemptResult | None = None
    connection_lost: bool = False

    def launch(self) -> None:
        """Send the request as soon as the replica has a free connection."""
        self._send_on(self.replica.pool, fresh=not self.routed.route.idempotent)

    @property
    def under_way(self) -> bool:
        """Whether the request was sent and has no end yet."""
        return self.sent_at_seconds is not None and not self.ended

    @property
    def reached_replica(self) -> bool:
        """Whether the request was sent, so that the replica has seen it."""
        return self.sent_at_seconds is not None

    @property
    def may_have_run(self) -> bool:
        """Whether the replica ran the request, or may have."""
        if self.result is None:
            return self.reached_replica
        return self.result.may_have_run

    # Called by the replica.

    def _start(self, connection: ClientConnection) -> None:
        now_seconds = self.context.loop.time()
        remaining_ms = (self.routed.deadline_at_seconds - now_seconds) * MS_PER_SECOND
        self.sent_at_seconds = now_seconds
        self._connection = connection
        head = self.context.header_codec.attempt_head(
            remaining_ms=max(remaining_ms, REMAINING_MIN_MS),
            replica=None if connection.proven else self.replica.record.replica,
        )
        request = self.routed.request
        self.replica.pool.record_sent(connection, now_seconds)
        connection.send(
            self.routed.head + head + request.body,
            self,
            head=request.method == b"HEAD",
        )

    def _refuse(self) -> None:
        self._end(AttemptResult.NOT_SENT, "unreachable")

    # Called by the connection.

    def reply_received(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Tell the reply of this request from what must not be used."""
        now_seconds = self.context.loop.time()
        assert self.sent_at_seconds is not None
        self.replica.pool.record_reply(self.sent_at_seconds)
        facts = self.context.header_codec.read_reply(reply.headers)
        if facts.attempt_id and facts.attempt_id != self.routed.metadata.attempt_id:
            connection.close()
            self._end(AttemptResult.UNKNOWN, "reply_to_another_request")
            return
        self.reply, self.reply_metadata = reply, facts
        if reply.status == MISDIRECTED:
            self._note_mismatch(connection)
            self._end(AttemptResult.NOT_RUN, "another_replica_at_the_address")
        elif facts.not_run:
            self._end(AttemptResult.NOT_RUN, f"rejected_{reply.status}")
        elif not 200 <= reply.status < 300:
            self._end(AttemptResult.FAILED, f"status_{reply.status}")
        elif not facts.signature:
            connection.close()
            self._end(AttemptResult.UNKNOWN, "reply_without_signature")
        else:
            connection.proven = True
            self._note_pace(now_seconds)
            self._end(AttemptResult.ANSWERED, "")

    def exchange_failed(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Take the end of the connection."""
        self.replica.pool.busy.pop(connection, None)
        if failure is ExchangeFailure.NOT_SENT:
            self.sent_at_seconds = None
            self._end(AttemptResult.NOT_SENT, failure.value)
        else:
            self.connection_lost = failure is ExchangeFailure.LOST
            self._end(AttemptResult.UNKNOWN, failure.value)

    def _note_mismatch(self, connection: ClientConnection) -> None:
        connection.close()
        if not self.replica.mismatched:
            self.replica.mismatched = True
            self.context.log.event(
                "replica_mismatched",
                replica=self.replica.record.replica,
                service=self.replica.record.service,
            )

    def _note_pace(self, now_seconds: float) -> None:
        assert self.sent_at_seconds is not None
        latency_ms = (now_seconds - self.sent_at_seconds) * MS_PER_SECOND
        typical = self.context.state.typical_latency(self.routed.route)
        self.replica.observe_reply(
            latency_ms=latency_ms,
            typical_ms=typical.typical_ms,
            now_seconds=now_seconds,
        )
        typical.observe(latency_ms)

    def _end(self, result: AttemptResult, cause: str) -> None:
        if self.ended:
            return
        self.ended = True
        if result is not AttemptResult.ANSWERED and self.reached_replica:
            self.replica.observe_failure(self.context.loop.time())
        self.result = result
        self.cause = cause
        self.owner.attempt_ended(self, result)
