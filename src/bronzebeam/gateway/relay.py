"""Relays: requests that a peer sends to a replica, which this instance can't reach."""

from typing import Final

from attrs import define

from bronzebeam.gateway.attempt import MISDIRECTED_STATUS
from bronzebeam.gateway.base_attempt import AttemptResult, BaseAttempt
from bronzebeam.gateway.crash_query import count_survivors
from bronzebeam.gateway.peer_codec import (
    IMPAIRED_HEADER,
    REGIONS_DECLINED,
    REJECTED_STATUS,
    RELAY_HEADER,
    RELAYED_HEADER,
    RelayOutcome,
    RelayRequest,
    decode_relay_outcome,
    encode_relay,
    evacuated_header,
)
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.replica_set import REPLICAS_UNREACHABLE
from bronzebeam.routing.replica_limit import read_limit
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)
from bronzebeam.units import MS_PER_SECOND

REPLY_HEADERS: Final = frozenset({RELAYED_HEADER, IMPAIRED_HEADER})
# A peer that does not know relays, or handles no requests, has sent nothing.
NOTHING_SENT_STATUSES: Final = frozenset({400, 404, 503})


@define(kw_only=True, eq=False, repr=False)
class RelayedAttempt(BaseAttempt):
    """
    One request sent to one replica through a peer, which chooses the replica.

    :ivar service: service that the replica is chosen from.
    :ivar peer_is_impaired: the peer's links to the replicas are broken, all or many.
    """

    peer: Peer
    service: str
    peer_is_impaired: bool = False

    def send(self) -> None:
        """Send the request as soon as the peer has a free connection."""
        self._queue_on(self.peer.pool, require_fresh=not self.routed.route.idempotent)

    @property
    def target_name(self) -> str:
        """Return the name of the peer."""
        return self.peer.record.instance

    @property
    def is_unreachable_at_peer(self) -> bool:
        """Whether the peer reaches no replica of the service either."""
        return self.cause == REPLICAS_UNREACHABLE

    # Called by the connection pool.

    def _send(self, connection: ClientConnection) -> None:
        now_seconds = self.context.loop.time()
        self.sent_at_seconds = now_seconds
        self._connection = connection
        routed = self.routed
        relay = RelayRequest(
            route=routed.route.name,
            service=self.service,
            idempotent=routed.route.idempotent,
            target_latency_ms=routed.route.target_latency_ms,
            regions=routed.regions,
        )
        remaining_ms = (routed.deadline_at_seconds - now_seconds) * MS_PER_SECOND
        head = self.context.header_codec.attempt_head(
            remaining_ms=max(1.0, remaining_ms), replica=None
        )
        head = evacuated_header(self.context.state.replicas.evacuated) + head
        self.peer.pool.record_sent(connection, now_seconds)
        connection.send(
            b"%s%s:%s\r\n%s%s"
            % (
                routed.head,
                RELAY_HEADER,
                encode_relay(relay),
                head,
                routed.request.body,
            ),
            self,
            is_head=routed.request.method == b"HEAD",
        )

    def _on_unsent(self, cause: str) -> None:
        self._avoid_peer(cause)
        self._end(AttemptResult.NOT_SENT, f"peer_{cause}")

    # Called by the connection.

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Handle the peer's reply, which holds that of the replica if there is one."""
        connection.proven = True
        self.peer.pool.record_reply(connection.sent_at_seconds)
        value = b""
        for name, text in reply.headers:
            if name == RELAYED_HEADER:
                value = text
            elif name == IMPAIRED_HEADER:
                self.peer_is_impaired = True
        outcome = decode_relay_outcome(value)
        is_restricted = self.routed.regions is not None
        if outcome is None and reply.status == REJECTED_STATUS and is_restricted:
            self.peer.record_regions_declined(self.context.loop.time())
            self.sent_at_seconds = None
            self._end(AttemptResult.NOT_SENT, REGIONS_DECLINED)
            return
        if outcome is None:
            self._avoid_peer(f"status_{reply.status}")
            self._end(
                (
                    AttemptResult.NOT_RUN
                    if reply.status in NOTHING_SENT_STATUSES
                    else AttemptResult.UNKNOWN
                ),
                f"peer_status_{reply.status}",
            )
            return
        if self.peer_is_impaired:
            self._avoid_peer("impaired")
        else:
            self.peer.record_reply()
        reply.headers = [item for item in reply.headers if item[0] not in REPLY_HEADERS]
        self._record_signals(outcome, reply)
        if not self.ended:
            self.reply = reply
        self.connection_lost = outcome.connection_lost
        if self.connection_lost and not self.ended:
            self.crash_check = self.context.loop.create_task(
                count_survivors(
                    self.context,
                    self.routed,
                    peer=self.peer,
                    services=[self.service],
                )
            )
        result = _read_result(outcome.result)
        if result is AttemptResult.NOT_SENT:
            self.sent_at_seconds = None
        self._end(result, outcome.cause)

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Handle the loss of the connection to the peer, or a malformed reply."""
        self.peer.pool.busy.pop(connection, None)
        self._avoid_peer(failure.value)
        if failure is ExchangeFailure.NOT_SENT:
            self.sent_at_seconds = None
            self._end(AttemptResult.NOT_SENT, failure.value)
        else:
            self._end(AttemptResult.UNKNOWN, f"peer_{failure.value}")

    def _record_signals(self, outcome: RelayOutcome, reply: HttpReply) -> None:
        """
        Record what the replica says of itself.

        The caller gets it from this instance, which may reach the replica itself later.
        """
        replicas = self.context.state.replicas
        replica = replicas.find(outcome.replica, started_at_ms=outcome.started_at_ms)
        if replica is None or reply.status == MISDIRECTED_STATUS:
            return
        metadata = self.context.header_codec.read_reply(reply.headers)
        if metadata.leaving:
            replicas.record_announced_leaving(replica, is_misdirected=False)
        replicas.limits.record(replica, read_limit(metadata.limit))
        if metadata.load:
            typical = self.context.state.typical_latency(self.routed.route)
            replicas.record_load(replica, metadata.load, typical.usual_load)

    def _end(self, result: AttemptResult, cause: str) -> None:
        if not self.ended:
            self.context.metrics.count_relay(result.value)
        super()._end(result, cause)

    def _avoid_peer(self, cause: str) -> None:
        self.peer.avoid(cause, self.context.log, self.context.loop.time())


def _read_result(value: str) -> AttemptResult:
    try:
        return AttemptResult(value)
    except ValueError:
        return AttemptResult.UNKNOWN
