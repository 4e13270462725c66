"""A replica as seen by one instance: its connections, relative latency and failures."""

import math
from typing import Final

from attrs import define, field

from bronzebeam.gateway.connection_pool import ConnectionPool
from bronzebeam.gateway.limited_traffic import ColdTraffic, LimitedTraffic
from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.routing.replica_estimate import ReplicaLoad
from bronzebeam.routing.replica_latency import (
    FailureRate,
    RelativeLatency,
    TypicalLatency,
)
from bronzebeam.routing.reported_load import LoadReading, explained_ratio, read_load

# Slower replicas are chosen only if the others are stalled.
SLOW_LATENCY_FACTOR: Final = 2.0
FAILING_REPLY_SHARE: Final = 0.4  # beyond, a replica is logged as failing
MAX_LOGGED_VALUE_BYTES: Final = 64


@define(kw_only=True, eq=False, repr=False)
class Replica:
    """
    One run of a backend server process, from registration to removal.

    :ivar record: its registration in the store.
    :ivar relative_latency: its reply time relative to that of other replicas.
    :ivar failure_rate: share of its recent replies that were failures.
    :ivar cold_until_seconds: monotonic time until which it is still warming up.
    :ivar cold_again_at_seconds: monotonic time at which a process that had been warm
        was found to be cold again.
    :ivar is_age_unknown: its registration was found in the store, and may have been
        written long before.
    :ivar removed_at_seconds: monotonic time at which it was removed from the store;
        None while it is registered.
    :ivar removed_last_use_seconds: monotonic time until which a removed replica may
        still be used if no registered one is available.
    :ivar draining_since_seconds: monotonic time at which it was first seen draining;
        None if it is not registered as draining.
    :ivar draining_last_use_seconds: monotonic time until which it may be used while it
        drains, if there is no other.
    :ivar announced_leaving_at_seconds: monotonic time at which it first stated in a
        reply that it is about to stop; None if it has not.
    :ivar announced_last_use_seconds: monotonic time until which it may be used then, if
        there is no other.
    :ivar paused_until_seconds: monotonic time until which it wants no requests.
    :ivar limited: the limit on requests that it names; None if it names none.
    :ivar cold: the limit on requests while it is cold; None if there is none.
    :ivar mismatched: another process has answered at its address.
    :ivar reading: the load that it stated last; None if it has stated none.
    :ivar warm_connections: number of connections to keep open while they are idle.
    """

    record: ReplicaRecord
    pool: ConnectionPool
    relative_latency: RelativeLatency = field(factory=RelativeLatency)
    failure_rate: FailureRate = field(factory=FailureRate)
    cold_until_seconds: float = 0.0
    cold_again_at_seconds: float = 0.0
    is_age_unknown: bool = False
    removed_at_seconds: float | None = None
    removed_last_use_seconds: float = 0.0
    draining_since_seconds: float | None = None
    draining_last_use_seconds: float = 0.0
    announced_leaving_at_seconds: float | None = None
    announced_last_use_seconds: float = 0.0
    paused_until_seconds: float = 0.0
    limited: LimitedTraffic | None = None
    cold: ColdTraffic | None = None
    mismatched: bool = False
    reading: LoadReading | None = None
    warm_connections: int = 1
    _deprioritized_cause: str = ""
    _is_load_unreadable: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether it is about to stop, by its registration or by its own replies."""
        return self.record.leaving or self.announced_leaving_at_seconds is not None

    def departure(self) -> tuple[str, float] | None:
        """
        Return what says that it leaves, and the monotonic time since which it does.

        :return: None if it is not known to leave.
        """
        if self.removed_at_seconds is not None:
            return "removed", self.removed_at_seconds
        if self.announced_leaving_at_seconds is not None:
            return "reply", self.announced_leaving_at_seconds
        if self.draining_since_seconds is not None:
            return "registration", self.draining_since_seconds
        return None

    def is_paused(self, now_seconds: float) -> bool:
        """Whether it has asked for a pause that is not over."""
        return now_seconds < self.paused_until_seconds

    def record_cold(self, seconds: float, now_seconds: float) -> None:
        """Record for how long a process that is known already says that it is cold."""
        if seconds > 0.0 and self.cold_until_seconds <= now_seconds:
            self.cold_again_at_seconds = now_seconds
        self.cold_until_seconds = now_seconds + seconds

    def seconds_until_turn(self, now_seconds: float) -> float:
        """Return the time until this instance may send to it by its limits."""
        seconds = 0.0
        if self.limited is not None:
            seconds = self.limited.turns.seconds_until_next(now_seconds)
        if self.cold is not None:
            seconds = max(seconds, self.seconds_until_cold_turn(now_seconds))
        return seconds

    def seconds_until_cold_turn(self, now_seconds: float) -> float:
        """Return the time until the limit of a cold replica lets this instance send."""
        if self.cold is None or now_seconds >= self.cold_until_seconds:
            return 0.0
        return min(
            self.cold.turns.seconds_until_next(now_seconds),
            self.cold_until_seconds - now_seconds,
        )

    @property
    def has_limit(self) -> bool:
        """Whether requests to it are limited, so that each needs a turn."""
        return self.limited is not None or self.cold is not None

    @property
    def last_use_seconds(self) -> float:
        """Return the monotonic time of its last use; infinite while it stays."""
        last_use_seconds = math.inf
        if self.removed_at_seconds is not None:
            last_use_seconds = self.removed_last_use_seconds
        if self.draining_since_seconds is not None:
            last_use_seconds = min(last_use_seconds, self.draining_last_use_seconds)
        if self.announced_leaving_at_seconds is not None:
            last_use_seconds = min(last_use_seconds, self.announced_last_use_seconds)
        return last_use_seconds

    def is_usable(self, now_seconds: float, *, ignore_limit: bool = False) -> bool:
        """
        Whether a request may be sent to it now.

        :param ignore_limit: its limits are considered by another instance.
        """
        if self.mismatched or not self.pool.is_reachable or self.is_paused(now_seconds):
            return False
        if self.limited is not None or self.cold is not None:
            if not ignore_limit and self.seconds_until_turn(now_seconds) > 0.0:
                return False
        return now_seconds <= self.last_use_seconds

    def observe_reply(
        self, *, latency_ms: float, typical_ms: float, now_seconds: float
    ) -> None:
        """Record the latency of a successful reply."""
        self.relative_latency.observe(
            latency_ms=latency_ms, typical_ms=typical_ms, now_seconds=now_seconds
        )
        self.failure_rate.observe(False, now_seconds)
        self._log_priority_change(now_seconds)

    def observe_failure(self, now_seconds: float) -> None:
        """Record a rejection, an error reply or a lost connection."""
        self.failure_rate.observe(True, now_seconds)
        self._log_priority_change(now_seconds)

    def _log_priority_change(self, now_seconds: float) -> None:
        """Log when the replica becomes or stops being slow or failing."""
        factor, share = self.relative_latency.at(now_seconds), self.failure_rate.at(
            now_seconds
        )
        cause = ""
        if factor > SLOW_LATENCY_FACTOR:
            cause = "slow"
        elif share > FAILING_REPLY_SHARE:
            cause = "failing"
        if cause == self._deprioritized_cause:
            return
        self._deprioritized_cause = cause
        self.pool.log.event(
            "replica_shunned" if cause else "replica_trusted",
            replica=self.record.replica,
            service=self.record.service,
            cause=cause,
            pace=round(factor, 2),
            failure_share=round(share, 2),
        )

    def keep_warm(self, now_seconds: float) -> int:
        """Open missing warm connections; return how many are being opened."""
        # Starts with one connection, so that a restarted process is used soon.
        first = min(self.warm_connections, 1)
        wanted = self.warm_connections if self.pool.open_connections else first
        return self.pool.keep_warm(now_seconds, wanted)

    def record_load(self, value: bytes, now_seconds: float) -> LoadReading | None:
        """Record the load that it states in a reply; None if that can't be read."""
        reading = read_load(value, at_seconds=now_seconds)
        if reading is not None:
            self.reading = reading
        elif not self._is_load_unreadable:
            self._is_load_unreadable = True
            self.pool.log.event(
                "replica_load_unreadable",
                replica=self.record.replica,
                service=self.record.service,
                value=value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1"),
            )
        return reading

    def record_earlier_load(self, reading: LoadReading) -> None:
        """Record the load that it has stated to a peer, unless a later one is known."""
        if self.reading is None or self.reading.at_seconds < reading.at_seconds:
            self.reading = reading

    def states_free_slot(self, now_seconds: float) -> bool:
        """Whether it has stated lately that it would run one more request at once."""
        reading = self.reading
        return (
            reading is not None
            and reading.is_valid(now_seconds)
            and reading.has_free_slot(self.pool.sent_since(reading.at_seconds))
        )

    def explained_ratio(self, now_seconds: float, typical: TypicalLatency) -> float:
        """Return how much later than usual it is expected to reply, by its load."""
        return explained_ratio(self.load(now_seconds, "", typical))

    def load(
        self, now_seconds: float, own_domain: str, typical: TypicalLatency
    ) -> ReplicaLoad:
        """
        Return the figures that the choice between replicas depends on.

        :param typical: usual reply time of the route, and the usual load.
        """
        pool = self.pool
        load = ReplicaLoad(
            latency_factor=self.relative_latency.at(now_seconds),
            in_flight=pool.in_flight,
            oldest_age_ms=pool.stalled_ms(now_seconds) if pool.busy else 0.0,
            slots=self.record.slots,
            is_cold=now_seconds < self.cold_until_seconds,
            is_connected=bool(pool.idle),
            failure_share=self.failure_rate.at(now_seconds),
            in_own_domain=self.record.failure_domain == own_domain,
        )
        reading = self.reading
        if reading is not None and reading.is_valid(now_seconds):
            typical.usual_load.apply(
                load,
                reading,
                sent_since=pool.sent_since(reading.at_seconds),
                typical_ms=typical.typical_ms,
                now_seconds=now_seconds,
            )
        return load
