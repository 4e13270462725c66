"""A delegation: some shards of a fan-out that a peer gathers for this instance."""

from enum import Enum
from typing import Protocol

from attrs import define, field

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.load_codec import LOAD_HEADER, decode_readings
from bronzebeam.gateway.peer_codec import (
    DELEGATION_HEADER,
    IMPAIRED_HEADER,
    LEAVING_HEADER,
    NOT_RUN_STATUS,
    REPLICAS_LOST_STATUS,
    RESULT_HEADER,
    UNREACHABLE_HEADER,
    DelegationRequest,
    MalformedDelegation,
    decode_leaving,
    decode_result,
    decode_services,
    encode_delegation,
    encode_leaving,
)
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.pooled_send import PooledSend
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)
from bronzebeam.units import MS_PER_SECOND


class DelegationResult(Enum):
    """
    How a delegation ended.

    `ANSWERED`: the peer replied; shards may be missing in its reply.
    `NOT_RUN`: the peer sent the request to no replica.
    `REPLICAS_LOST`: each replica that the peer sent the request to closed its
    connection without a reply.
    `UNKNOWN`: the peer may have sent the request to replicas.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    REPLICAS_LOST = "replicas_lost"
    UNKNOWN = "unknown"


class DelegationHandler(Protocol):
    """Is notified of the end of a delegation and decides what to do next."""

    def on_delegation_ended(
        self, delegation: "Delegation", result: DelegationResult
    ) -> None:
        """Handle the result; the delegation has the records, if there are any."""


@define(kw_only=True, eq=False, repr=False)
class Delegation(PooledSend):
    """
    One delegation request, sent to one peer.

    :ivar shards: indexes of the shards within the route.
    :ivar previous: earlier delegation of these shards, which was late or lacked them.
    :ivar signatures: signatures of the shards' replies in the same order, None for
        missing ones.
    :ivar body: merged records of those shards.
    :ivar peer_is_impaired: the peer's links to the replicas are broken, all or many.
    :ivar unreachable: services that the peer has replicas of, but reaches none.
    :ivar late: the reply is overdue; the shards may have been sent elsewhere.
    """

    context: GatewayContext
    routed: RoutedRequest
    peer: Peer
    handler: DelegationHandler
    shards: tuple[int, ...]
    hedge_after_ms: float
    cutoff_at_seconds: float
    previous: "Delegation | None" = None
    signatures: list[bytes | None] = field(factory=list)
    body: bytes = b""
    peer_is_impaired: bool = False
    unreachable: frozenset[str] = frozenset()
    late: bool = False
    _sent_at_seconds: float | None = None
    _due_at_seconds: float = 0.0
    _ended_at_seconds: float | None = None

    @property
    def is_in_progress(self) -> bool:
        """Whether the peer has sent an interim reply."""
        return self._connection is not None and self._connection.interim_seen

    @property
    def may_reply(self) -> bool:
        """Whether the peer, or an earlier one of these shards, may still reply."""
        if not self.ended:
            return True
        return self.previous is not None and self.previous.may_reply

    def send(self) -> None:
        """Send the request as soon as the peer has a free connection."""
        self._queue_on(self.peer.pool, require_fresh=False)

    def mark_late(self) -> None:
        """Record that the reply is overdue, and avoid the peer for a while."""
        if self.late or self.ended:
            return
        self.late = True
        self._avoid_peer("late")

    @property
    def answered_shards(self) -> set[int]:
        """Return the indexes of the shards whose records are in the reply."""
        return {
            index
            for index, signature in zip(self.shards, self.signatures)
            if signature is not None
        }

    def times(self) -> str:
        """Return when the request was sent, and when it ended, for the log line."""
        return "".join(
            f"@+{self.routed.ms_after_arrival(at_seconds)}ms"
            for at_seconds in (self._sent_at_seconds, self._ended_at_seconds)
            if at_seconds is not None
        )

    def drop_reply(self) -> None:
        """Leave the reply out of the answer."""
        self.signatures, self.body = [], b""
        self.cause = "duplicate_reply"

    def _send(self, connection: ClientConnection) -> None:
        now_seconds = self.context.loop.time()
        self._connection = connection
        self._sent_at_seconds = now_seconds
        routed = self.routed
        request = DelegationRequest(
            route=routed.route.name,
            shards=tuple(routed.route.shards[index] for index in self.shards),
            top_records=routed.route.top_records,
            max_attempts=routed.route.max_attempts,
            target_latency_ms=routed.route.target_latency_ms,
            hedge_after_ms=round(max(1.0, self.hedge_after_ms)),
            cutoff_ms=round(
                self.context.delays.peer_cutoff_ms(
                    (self.cutoff_at_seconds - now_seconds) * MS_PER_SECOND
                )
            ),
            repeated=self.previous is not None,
        )
        self._due_at_seconds = now_seconds + request.cutoff_ms / MS_PER_SECOND
        remaining_ms = (routed.deadline_at_seconds - now_seconds) * MS_PER_SECOND
        head = self.context.header_codec.attempt_head(
            remaining_ms=max(1.0, remaining_ms), replica=None
        )
        self.peer.pool.record_sent(connection, now_seconds)
        leaving = self.context.state.replicas.announced_leaving(request.shards)
        if leaving:
            head = b"%s:%s\r\n%s" % (LEAVING_HEADER, encode_leaving(leaving), head)
        connection.send(
            b"%s%s:%s\r\n%s%s"
            % (
                routed.head,
                DELEGATION_HEADER,
                encode_delegation(request),
                head,
                routed.request.body,
            ),
            self,
            is_head=False,
        )

    def _on_unsent(self, cause: str) -> None:
        self._avoid_peer(cause)
        self._end(DelegationResult.NOT_RUN, f"peer_{cause}")

    # Called by the connection.

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Handle the peer's reply."""
        connection.proven = True
        for name, value in reply.headers:
            if name == LEAVING_HEADER:
                self.context.state.replicas.record_leaving_at_peer(
                    decode_leaving(value)
                )
            elif name == IMPAIRED_HEADER:
                self.peer_is_impaired = True
            elif name == UNREACHABLE_HEADER:
                self.unreachable = decode_services(value)
            elif name == LOAD_HEADER:
                self._record_loads(value)
        self.peer.pool.record_reply(connection.sent_at_seconds)
        if reply.status == NOT_RUN_STATUS:
            self._avoid_peer("no_replica")
            self._end(DelegationResult.NOT_RUN, "peer_knows_no_replica")
            return
        if reply.status == REPLICAS_LOST_STATUS:
            self._end(DelegationResult.REPLICAS_LOST, "replicas_lost_at_peer")
            return
        value = next((v for n, v in reply.headers if n == RESULT_HEADER), b"")
        signatures = decode_result(value, count=len(self.shards))
        if reply.status != 200 or signatures is None:
            self._avoid_peer(f"status_{reply.status}")
            self._end(DelegationResult.UNKNOWN, f"peer_status_{reply.status}")
            return
        if self.peer_is_impaired:
            self._avoid_peer("impaired")
        elif not self.late:
            self.peer.record_reply()
        self.signatures, self.body = signatures, reply.body
        self._record_delay()
        self._end(DelegationResult.ANSWERED, "")

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Handle the loss of the connection or a malformed reply."""
        self.peer.pool.busy.pop(connection, None)
        if failure is ExchangeFailure.NOT_SENT:
            self._end(DelegationResult.NOT_RUN, failure.value)
        else:
            self._avoid_peer(failure.value)
            self._end(DelegationResult.UNKNOWN, failure.value)

    def _record_loads(self, value: bytes) -> None:
        """Record the load that replicas have stated to the peer."""
        state = self.context.state
        try:
            readings = decode_readings(value, now_seconds=self.context.loop.time())
        except MalformedDelegation as error:
            self.context.log.request(
                "peer_readings_unreadable",
                good=False,
                peer=self.peer.record.instance,
                cause=str(error),
            )
            return
        state.replicas.record_loads_at_peer(
            readings, state.typical_latency(self.routed.route).usual_load
        )

    def _record_delay(self) -> None:
        """Record how long after the peer's cut-off its reply has arrived."""
        delay_seconds = self.context.loop.time() - self._due_at_seconds
        if delay_seconds > 0.0 and None in self.signatures:
            self.context.metrics.record_peer_delay(delay_seconds)
            self.context.delays.peers.observe(delay_seconds * MS_PER_SECOND)

    def _avoid_peer(self, cause: str) -> None:
        self.peer.avoid(cause, self.context.log, self.context.loop.time())

    def _end(self, result: DelegationResult, cause: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._ended_at_seconds = self.context.loop.time()
        self.cause = cause
        self.context.metrics.count_delegation(cause or result.value)
        self.handler.on_delegation_ended(self, result)
