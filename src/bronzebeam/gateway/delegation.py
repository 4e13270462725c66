"""A group of shards that a peer gathers for a request of this instance."""

from enum import Enum
from typing import Final, Protocol

from attrs import define, field

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.peer_codec import (
    DELEGATION_HEADER,
    NOT_RUN_STATUS,
    REPLICAS_LOST_STATUS,
    RESULT_HEADER,
    DelegationRequest,
    decode_result,
    encode_delegation,
)
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.pooled_send import PooledSend
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)
from bronzebeam.units import MS_PER_SECOND

HOP_MS: Final = 3.0  # to the peer and back, and the merge there


class DelegationResult(Enum):
    """
    How a delegation ended.

    `ANSWERED`: with some of the shards. `NOT_RUN`: the peer has sent nothing.
    `REPLICAS_LOST`: every replica that it sent the request to was lost. `UNKNOWN`: it
    may have sent the request to replicas.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    REPLICAS_LOST = "replicas_lost"
    UNKNOWN = "unknown"


class DelegationOwner(Protocol):
    """Decides what follows the end of a delegation."""

    def delegation_ended(
        self, delegation: "Delegation", result: DelegationResult
    ) -> None:
        """Take the result; the delegation holds the records, if there are any."""


@define(kw_only=True, eq=False, repr=False)
class Delegation(PooledSend):
    """
    One order to one peer.

    :ivar shards: positions of the shards within the route.
    :ivar earlier: order for the same shards that was late or left them out.
    :ivar signatures: of the shards in the reply, in the same order.
    :ivar body: greatest records of those shards.
    :ivar late: the owner no longer waits for it alone.
    """

    context: GatewayContext
    routed: RoutedRequest
    peer: Peer
    owner: DelegationOwner
    shards: tuple[int, ...]
    hedge_after_ms: float
    cutoff_at_seconds: float
    earlier: "Delegation | None" = None
    signatures: list[bytes | None] = field(factory=list)
    body: bytes = b""
    late: bool = False

    @property
    def at_work(self) -> bool:
        """Whether the peer has told that it is at work."""
        return self._connection is not None and self._connection.interim_seen

    def launch(self) -> None:
        """Send the order."""
        self._send_on(self.peer.pool, fresh=False)

    def note_late(self) -> None:
        """Avoid the peer for a while, since its reply is overdue."""
        if self.late or self.ended:
            return
        self.late = True
        self._avoid_peer("late")

    def _start(self, connection: ClientConnection) -> None:
        now_seconds = self.context.loop.time()
        self._connection = connection
        routed = self.routed
        order = DelegationRequest(
            route=routed.route.name,
            shards=tuple(routed.route.shards[index] for index in self.shards),
            top_records=routed.route.top_records,
            max_attempts=routed.route.max_attempts,
            target_latency_ms=routed.route.target_latency_ms,
            hedge_after_ms=round(max(1.0, self.hedge_after_ms)),
            cutoff_ms=round(
                max(
                    1.0, (self.cutoff_at_seconds - now_seconds) * MS_PER_SECOND - HOP_MS
                )
            ),
            repeated=self.earlier is not None,
        )
        remaining_ms = (routed.deadline_at_seconds - now_seconds) * MS_PER_SECOND
        head = self.context.header_codec.attempt_head(
            remaining_ms=max(1.0, remaining_ms), replica=None
        )
        self.peer.pool.record_sent(connection, now_seconds)
        connection.send(
            b"%s%s:%s\r\n%s%s"
            % (
                routed.head,
                DELEGATION_HEADER,
                encode_delegation(order),
                head,
                routed.request.body,
            ),
            self,
            head=False,
        )

    def _refuse(self) -> None:
        self._avoid_peer("unreachable")
        self._end(DelegationResult.NOT_RUN, "peer_unreachable")

    # Called by the connection.

    def reply_received(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Take the peer's records."""
        connection.proven = True
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
        if not self.late:
            self.peer.note_answered()
        self.signatures, self.body = signatures, reply.body
        self._end(DelegationResult.ANSWERED, "")

    def exchange_failed(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Take the end of the connection."""
        self.peer.pool.busy.pop(connection, None)
        if failure is ExchangeFailure.NOT_SENT:
            self._end(DelegationResult.NOT_RUN, failure.value)
        else:
            self._avoid_peer(failure.value)
            self._end(DelegationResult.UNKNOWN, failure.value)

    def _avoid_peer(self, cause: str) -> None:
        seconds = self.peer.note_failed(self.context.loop.time())
        self.context.log.event(
            "peer_avoided",
            peer=self.peer.record.instance,
            cause=cause,
            avoided_ms=round(seconds * MS_PER_SECOND),
        )

    def _end(self, result: DelegationResult, cause: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.cause = cause
        self.context.metrics.count_delegation(cause or result.value)
        self.owner.delegation_ended(self, result)
