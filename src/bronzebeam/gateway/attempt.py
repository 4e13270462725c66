"""One attempt: a request sent to one replica."""

from typing import Final

from attrs import define

from bronzebeam.gateway.base_attempt import AttemptResult, BaseAttempt
from bronzebeam.gateway.crash_check import count_survivor
from bronzebeam.gateway.header_codec import ReplyMetadata
from bronzebeam.gateway.limited_traffic import SendKind
from bronzebeam.gateway.replica import Replica
from bronzebeam.routing.cold_limits import ColdTurns, read_cold_seconds
from bronzebeam.routing.replica_limit import SendTurns, read_limit
from bronzebeam.routing.replica_pause import read_pause
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)
from bronzebeam.units import MS_PER_SECOND

MISDIRECTED_STATUS: Final = 421
UNAVAILABLE_STATUS: Final = 503
MIN_REMAINING_MS: Final = 1.0  # a replica must be given a positive time


@define(kw_only=True, eq=False, repr=False)
class Attempt(BaseAttempt):
    """
    One request sent to one replica.

    :ivar _explained_ratio: how much later than usual the reply was expected to be, by
        the load that the replica had stated.
    """

    replica: Replica
    reply_metadata: ReplyMetadata | None = None
    _turns: SendTurns | None = None
    _cold_turns: ColdTurns | None = None
    _explained_ratio: float = 1.0

    def send(self) -> None:
        """Send the request as soon as the replica has a free connection."""
        if self.replica.limited is not None:
            self._turns = self.replica.limited.turns
            self._turns.use()
        if self.replica.cold is not None:
            self._cold_turns = self.replica.cold.turns
            self._cold_turns.use()
        self._queue_on(
            self.replica.pool, require_fresh=not self.routed.route.idempotent
        )

    def discard(self) -> None:
        """Ignore the reply, but let the replica complete the request."""
        super().discard()
        if not self.reached_replica:
            self._give_back_turn()

    @property
    def target_name(self) -> str:
        """Return the name of the replica."""
        return self.replica.record.replica

    @property
    def target_detail(self) -> str:
        """Return the replica's reply time relative to others."""
        factor = self.replica.relative_latency.at(self.context.loop.time())
        return f"/pace{factor:.2f}"

    # Called by the connection pool.

    def _send(self, connection: ClientConnection) -> None:
        now_seconds = self.context.loop.time()
        remaining_ms = (self.routed.deadline_at_seconds - now_seconds) * MS_PER_SECOND
        self.sent_at_seconds = now_seconds
        self._connection = connection
        head = self.context.header_codec.attempt_head(
            remaining_ms=max(remaining_ms, MIN_REMAINING_MS),
            replica=None if connection.proven else self.replica.record.replica,
        )
        request = self.routed.request
        self._count_limited_send(now_seconds)
        self._log_leaving(now_seconds)
        if self.replica.reading is not None:
            self._explained_ratio = self.replica.explained_ratio(
                now_seconds, self.context.state.typical_latency(self.routed.route)
            )
        self.replica.pool.record_sent(connection, now_seconds)
        connection.send(
            self.routed.head + head + request.body,
            self,
            is_head=request.method == b"HEAD",
        )

    def _on_unsent(self, cause: str) -> None:
        self._end(AttemptResult.NOT_SENT, cause)

    # Called by the connection.

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Check that the reply is from the intended replica and to this request."""
        now_seconds = self.context.loop.time()
        assert self.sent_at_seconds is not None
        self.replica.pool.record_reply(self.sent_at_seconds)
        metadata = self.context.header_codec.read_reply(reply.headers)
        self._record_signals(reply.status, metadata)
        if (
            metadata.attempt_id
            and metadata.attempt_id != self.routed.metadata.attempt_id
        ):
            connection.close()
            self._end(AttemptResult.UNKNOWN, "reply_to_another_request")
            return
        if not self.ended:
            self.reply, self.reply_metadata = reply, metadata
        is_own_reply = reply.status != MISDIRECTED_STATUS
        if is_own_reply and (metadata.limit or self.replica.limited is not None):
            self.context.state.replicas.limits.record(
                self.replica, read_limit(metadata.limit)
            )
        if is_own_reply and metadata.load:
            state = self.context.state
            typical = state.typical_latency(self.routed.route)
            state.replicas.record_load(self.replica, metadata.load, typical.usual_load)
        if reply.status == MISDIRECTED_STATUS:
            self._record_mismatch(connection)
            self._end(AttemptResult.NOT_RUN, "another_replica_at_the_address")
        elif metadata.not_run:
            self._end(AttemptResult.NOT_RUN, f"rejected_{reply.status}")
        elif not 200 <= reply.status < 300:
            self._end(AttemptResult.FAILED, f"status_{reply.status}")
        elif not metadata.signature:
            connection.close()
            self._end(AttemptResult.UNKNOWN, "reply_without_signature")
        else:
            connection.proven = True
            self._record_latency(now_seconds)
            self._end(AttemptResult.ANSWERED, "")

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Handle the loss of the connection or a malformed reply."""
        self.replica.pool.busy.pop(connection, None)
        if failure is ExchangeFailure.NOT_SENT:
            self.sent_at_seconds = None
            self._end(AttemptResult.NOT_SENT, failure.value)
        else:
            if failure in (ExchangeFailure.LOST, ExchangeFailure.TRUNCATED):
                self.connection_lost = True
                self._check_crash()
            self._end(AttemptResult.UNKNOWN, failure.value)

    def _check_crash(self) -> None:
        self.crash_check = check = self.context.loop.create_task(
            count_survivor(self.replica.pool)
        )
        if self.routed.is_for_peer:
            self.context.lost_replicas.add(
                self.routed.metadata.attempt_id, self.replica.record.service, check
            )

    def _give_back_turn(self) -> None:
        turns, self._turns = self._turns, None
        if turns is not None:
            turns.give_back()
        cold_turns, self._cold_turns = self._cold_turns, None
        if cold_turns is not None:
            cold_turns.give_back()

    def _count_limited_send(self, now_seconds: float) -> None:
        """Count the request if requests to the replica are limited."""
        limited, cold = self.replica.limited, self.replica.cold
        cold_turns, self._cold_turns = self._cold_turns, None
        if cold_turns is not None:
            cold_turns.record_sent(now_seconds)
        if limited is None and cold is None:
            return
        kind = SendKind.FIRST_ATTEMPT
        if self.routed.is_for_peer:
            kind = SendKind.FOR_PEER
        elif self.is_repeat:
            kind = SendKind.REPEAT
        if limited is not None:
            limited.record_sent(kind)
            self.context.metrics.count_limited_send(kind.value)
        if cold is not None:
            cold.record_sent(kind)
            self.context.metrics.count_cold_send(kind.value)

    def _log_leaving(self, now_seconds: float) -> None:
        """Log that the request is sent to a replica that is known to be leaving."""
        departure = self.replica.departure()
        if departure is None:
            return
        source, known_at_seconds = departure
        self.context.metrics.count_leaving_send(source)
        arrived_at_seconds = self.routed.request.arrived_at_seconds
        self.context.log.request(
            "leaving_replica_used",
            good=False,
            request=self.routed.metadata.attempt_id.decode("latin-1"),
            replica=self.replica.record.replica,
            service=self.replica.record.service,
            source=source,
            known_ms=round((now_seconds - known_at_seconds) * MS_PER_SECOND),
            waited_ms=round((now_seconds - arrived_at_seconds) * MS_PER_SECOND, 1),
            for_peer=self.routed.is_for_peer,
            is_repeat=self.is_repeat,
        )

    def _record_signals(self, status: int, metadata: ReplyMetadata) -> None:
        """Record that the replica is leaving or wants a pause, before any retry."""
        replicas = self.context.state.replicas
        if metadata.leaving:
            replicas.record_announced_leaving(
                self.replica, is_misdirected=status == MISDIRECTED_STATUS
            )
        if metadata.cold_ms and status != MISDIRECTED_STATUS:
            self.context.state.record_cold(
                self.replica, read_cold_seconds(metadata.cold_ms)
            )
        if metadata.retry_after and status == UNAVAILABLE_STATUS:
            pause = read_pause(metadata.retry_after)
            replicas.record_pause(self.replica, pause)

    def _record_mismatch(self, connection: ClientConnection) -> None:
        connection.close()
        if not self.replica.mismatched:
            self.replica.mismatched = True
            self.context.log.event(
                "replica_mismatched",
                replica=self.replica.record.replica,
                service=self.replica.record.service,
            )

    def _record_latency(self, now_seconds: float) -> None:
        assert self.sent_at_seconds is not None
        latency_ms = (now_seconds - self.sent_at_seconds) * MS_PER_SECOND
        typical = self.context.state.typical_latency(self.routed.route)
        self.replica.observe_reply(
            latency_ms=latency_ms,
            typical_ms=typical.typical_ms * self._explained_ratio,
            now_seconds=now_seconds,
        )
        typical.observe(latency_ms)

    def _end(self, result: AttemptResult, cause: str) -> None:
        if not self.ended:
            if result is AttemptResult.NOT_SENT:
                self._give_back_turn()
            elif result is not AttemptResult.ANSWERED and self.reached_replica:
                self.replica.observe_failure(self.context.loop.time())
        super()._end(result, cause)
