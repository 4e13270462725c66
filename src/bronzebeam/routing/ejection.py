"""Ejection of a shard's failing replicas, as in outlier detection."""

from collections.abc import Collection, Mapping
from enum import Enum
from typing import Final

from attrs import evolve, field, frozen

FAILURES_TO_EJECT: Final = 3
LOST_CONNECTIONS_TO_EJECT: Final = 2
INITIAL_EJECTION_SECONDS: Final = 1.0
MAX_EJECTION_SECONDS: Final = 30.0


class Evidence(Enum):
    """
    Result of an attempt of this entry on a replica.

    A reply that sheds load or reports draining counts as none of these, since the
    replica is healthy.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    LOST_CONNECTION = "lost_connection"


@frozen(kw_only=True)
class ReplicaRecord:
    """
    Recent failures and ejections of one replica.

    :ivar failures: failures (errors and timeouts) since the last success.
    :ivar lost_connections: connections lost, or not opened, since the last success.
    :ivar ejections: consecutive ejections; determines the length of the next one.
    :ivar ejected_until_seconds: monotonic time at which the last ejection ends.
    :ivar half_open: there was no success since the last ejection.
    """

    failures: int = 0
    lost_connections: int = 0
    ejections: int = 0
    ejected_until_seconds: float = 0.0
    half_open: bool = False

    @property
    def should_eject(self) -> bool:
        """Whether there is enough evidence to eject the replica."""
        if self.half_open:
            return self.failures + self.lost_connections > 0
        return (
            self.failures >= FAILURES_TO_EJECT
            or self.lost_connections >= LOST_CONNECTIONS_TO_EJECT
        )

    def add(self, evidence: Evidence, now_seconds: float) -> "ReplicaRecord":
        """Return the record with one more piece of evidence."""
        if evidence is Evidence.FAILURE:
            return evolve(self, failures=self.failures + 1)
        if evidence is Evidence.LOST_CONNECTION:
            return evolve(self, lost_connections=self.lost_connections + 1)
        healthy_seconds = now_seconds - self.ejected_until_seconds
        stable = healthy_seconds >= ejection_seconds(self.ejections)
        return ReplicaRecord(
            ejections=0 if stable else self.ejections,
            ejected_until_seconds=self.ejected_until_seconds,
        )

    def eject(self, now_seconds: float) -> "ReplicaRecord":
        """Return the record of the replica, ejected from `now_seconds`."""
        ejections = self.ejections + 1
        return ReplicaRecord(
            ejections=ejections,
            ejected_until_seconds=now_seconds + ejection_seconds(ejections),
            half_open=True,
        )


def ejection_seconds(ejections: int) -> float:
    """Return the length of the nth consecutive ejection: doubling, bounded."""
    if ejections <= 0:
        return 0.0
    doublings = min(ejections - 1, 16)
    return min(INITIAL_EJECTION_SECONDS * float(1 << doublings), MAX_EJECTION_SECONDS)


def max_ejected(replica_count: int) -> int:
    """Return how many of a shard's replicas may be ejected at the same time."""
    return replica_count // 2


@frozen(kw_only=True)
class ShardEjections:
    """
    Failures and ejections of the replicas of one shard, as seen by one entry.

    :ivar records: records by replica; a replica without failures has none.
    """

    records: Mapping[str, ReplicaRecord] = field(factory=dict)

    def observe(
        self,
        *,
        replica: str,
        evidence: Evidence,
        now_seconds: float,
        replicas: Collection[str],
    ) -> "ShardEjections":
        """
        Return the state after one more piece of evidence.

        If half of the replicas are already ejected, the newest evidence wins: the
        replica whose ejection would end first is reinstated in exchange.

        :param replicas: replicas of the shard that are not leaving.
        """
        record = self.records.get(replica)
        if record is None and evidence is Evidence.SUCCESS:
            return self
        record = (record or ReplicaRecord()).add(evidence, now_seconds)
        records = {
            name: self.records[name] for name in self.records if name in replicas
        }
        if evidence is Evidence.SUCCESS and record == ReplicaRecord(
            ejected_until_seconds=record.ejected_until_seconds
        ):
            records.pop(replica, None)
            return ShardEjections(records=records)
        records[replica] = record
        is_ejected = record.ejected_until_seconds > now_seconds
        if record.should_eject and not is_ejected and max_ejected(len(replicas)) > 0:
            _release_surplus(records, now_seconds, max_ejected(len(replicas)) - 1)
            records[replica] = record.eject(now_seconds)
        return ShardEjections(records=records)

    def ejected(
        self, *, now_seconds: float, replicas: Collection[str]
    ) -> frozenset[str]:
        """
        Return the replicas ejected at `now_seconds`, at most half of `replicas`.

        :param replicas: replicas of the shard that are not leaving.
        """
        if not self.records:
            return frozenset()
        names = [
            name
            for name in _ejected_by_end(self.records, now_seconds)
            if name in replicas
        ]
        surplus = max(0, len(names) - max_ejected(len(replicas)))
        return frozenset(names[surplus:])


def _ejected_by_end(
    records: Mapping[str, ReplicaRecord], now_seconds: float
) -> list[str]:
    names = [
        name
        for name, record in records.items()
        if record.ejected_until_seconds > now_seconds
    ]
    return sorted(names, key=lambda name: (records[name].ejected_until_seconds, name))


def _release_surplus(
    records: dict[str, ReplicaRecord], now_seconds: float, limit: int
) -> None:
    names = _ejected_by_end(records, now_seconds)
    for name in names[: max(0, len(names) - limit)]:
        records[name] = evolve(records[name], ejected_until_seconds=now_seconds)
