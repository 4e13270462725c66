"""The failure domains that operators have evacuated."""

from collections.abc import Collection

from attrs import define, field, frozen

from bronzebeam.gateway.records import Change, EvacuationRecord, RecordKind
from bronzebeam.gateway.replica_set import ReplicaSet
from bronzebeam.routing.older_copy import DOUBT_MARGIN_SECONDS
from bronzebeam.units import MS_PER_SECOND


@frozen(kw_only=True)
class DomainCounts:
    """
    The replicas of a failure domain, and this instance's requests to them.

    :ivar running: requests that were sent and have no reply yet.
    :ivar waiting: requests without a connection.
    """

    replicas: int
    running: int
    waiting: int


@define(kw_only=True, eq=False, repr=False)
class Evacuations:
    """
    Keeps the replicas of evacuated failure domains from getting requests.

    An evacuation that an older copy of the store lacks stays in force until the
    operator should have written it again. One that such a copy still lists, although it
    was removed, is in force at once: a domain that is spared too long costs less than
    requests to one that is going down.

    :ivar registration_timeout_seconds: see `OlderCopy`.
    :ivar _since_seconds: monotonic time since which each evacuation is known.
    :ivar _unconfirmed: evacuations that the store lacks, and the monotonic time at
        which they count as removed.
    """

    replicas: ReplicaSet
    registration_timeout_seconds: float
    _since_seconds: dict[str, float] = field(factory=dict)
    _unconfirmed: dict[str, float] = field(factory=dict)

    def apply(self, names: Collection[str], *, keep_missing: bool) -> None:
        """
        Apply all evacuations in the store.

        :param keep_missing: this is the first read since the store came back from an
            older copy.
        """
        for name in names:
            self.put(name)
        for name in self._since_seconds.keys() - set(names):
            if keep_missing:
                self._unconfirmed[name] = (
                    self.replicas.loop.time()
                    + self.registration_timeout_seconds
                    + DOUBT_MARGIN_SECONDS
                )
            elif name not in self._unconfirmed:
                self.remove(name)

    def put(self, name: str) -> None:
        """Send nothing more to the replicas of a domain."""
        self._unconfirmed.pop(name, None)
        if name in self._since_seconds:
            return
        self._since_seconds[name] = self.replicas.loop.time()
        counts = self._count(name)
        self.replicas.log.event(
            "domain_evacuated",
            domain=name,
            replicas=counts.replicas,
            running=counts.running,
            waiting=counts.waiting,
        )
        # Waiting requests move to other replicas, so the domain is excluded first.
        self.replicas.set_evacuated(frozenset(self._since_seconds))

    def remove(self, name: str) -> None:
        """Use the replicas of a domain again."""
        self._unconfirmed.pop(name, None)
        since_seconds = self._since_seconds.pop(name, None)
        if since_seconds is None:
            return
        self.replicas.set_evacuated(frozenset(self._since_seconds))
        evacuated_seconds = self.replicas.loop.time() - since_seconds
        self.replicas.log.event(
            "domain_evacuation_ended",
            domain=name,
            replicas=self._count(name).replicas,
            evacuated_ms=round(evacuated_seconds * MS_PER_SECOND),
        )

    def settle(self, now_seconds: float) -> bool:
        """
        Drop evacuations that the operator has not written again in time.

        :return: whether there were any.
        """
        expired = [
            name
            for name, removed_at in self._unconfirmed.items()
            if now_seconds >= removed_at
        ]
        for name in expired:
            self.remove(name)
        return bool(expired)

    def counts(self) -> dict[str, DomainCounts]:
        """Return the counts of each evacuated domain."""
        return {name: self._count(name) for name in self._since_seconds}

    def _count(self, domain: str) -> DomainCounts:
        pools = [
            item.pool
            for item in self.replicas.all()
            if item.record.failure_domain == domain
        ]
        return DomainCounts(
            replicas=len(pools),
            running=sum(len(pool.busy) for pool in pools),
            waiting=sum(len(pool.waiting) for pool in pools),
        )

    def registered(self) -> list[Change]:
        """Return the evacuations in the store, as changes."""
        return [
            Change(
                kind=RecordKind.EVACUATION,
                name=name,
                value=EvacuationRecord(failure_domain=name),
            )
            for name in self._since_seconds
            if name not in self._unconfirmed
        ]
