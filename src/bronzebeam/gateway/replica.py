"""A replica as one instance sees it: its connections, pace and failures."""

from attrs import define, field

from bronzebeam.gateway.connection_pool import ConnectionPool
from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.routing.pace import FailureRate, ReplicaPace
from bronzebeam.routing.replica_estimate import ReplicaLoad


@define(kw_only=True, eq=False, repr=False)
class Replica:
    """
    One life of a backend server.

    :ivar record: what the store says of it.
    :ivar mismatched: another process has answered at its address.
    :ivar gone_at_seconds: monotonic time at which it left the store's list; None if
        it is listed.
    :ivar last_resort_until_seconds: monotonic time until which it is used after that,
        where no listed replica is left.
    """

    record: ReplicaRecord
    pool: ConnectionPool
    pace: ReplicaPace = field(factory=ReplicaPace)
    failures: FailureRate = field(factory=FailureRate)
    cold_until_seconds: float = 0.0
    gone_at_seconds: float | None = None
    last_resort_until_seconds: float = 0.0
    mismatched: bool = False

    def load(self, now_seconds: float, own_domain: str) -> ReplicaLoad:
        """Return what a choice between replicas depends on."""
        pool = self.pool
        return ReplicaLoad(
            pace=self.pace.at(now_seconds),
            in_flight=pool.in_flight,
            oldest_age_ms=pool.silence_ms(now_seconds),
            slots=self.record.slots,
            cold=now_seconds < self.cold_until_seconds,
            connected=bool(pool.idle),
            failure_share=self.failures.at(now_seconds),
            own_domain=self.record.failure_domain == own_domain,
        )
