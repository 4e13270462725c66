"""Choice of the single index version that a query is answered from."""

from collections import defaultdict
from collections.abc import Collection, Iterable

from attrs import frozen


@frozen(kw_only=True)
class ReplicaHolding:
    """
    A replica's report that it serves one shard of one index version.

    :ivar shard: number of the shard in the version's shard map, from 0.
    :ivar shard_count: size of that shard map.
    """

    replica: str
    index_version: int
    shard: int
    shard_count: int


@frozen(kw_only=True)
class Snapshot:
    """
    An index version with the usable replicas of each of its shards.

    :ivar replicas_by_shard: usable replicas by shard number; empty for a shard that
        no usable replica holds.
    """

    index_version: int
    shard_count: int
    replicas_by_shard: tuple[tuple[str, ...], ...]

    @property
    def covered(self) -> int:
        """Number of shards held by at least one usable replica."""
        return sum(1 for replicas in self.replicas_by_shard if replicas)

    @property
    def complete(self) -> bool:
        return self.covered == self.shard_count


def pick_snapshot(
    holdings: Iterable[ReplicaHolding], usable_replicas: Collection[str]
) -> Snapshot | None:
    """
    Pick the newest index version of which every shard can be served.

    If there is none, pick the version with the largest share of its shards covered,
    and the newest of several. None if no usable replica holds any shard.
    """
    usable = frozenset(usable_replicas)
    by_version: defaultdict[int, list[ReplicaHolding]] = defaultdict(list)
    for holding in holdings:
        if 0 <= holding.shard < holding.shard_count:
            by_version[holding.index_version].append(holding)
    best: Snapshot | None = None
    for index_version in sorted(by_version, reverse=True):
        snapshot = _build_snapshot(index_version, by_version[index_version], usable)
        if snapshot.complete:
            return snapshot
        if snapshot.covered and (best is None or _covers_more(snapshot, best)):
            best = snapshot
    return best


def _build_snapshot(
    index_version: int, holdings: list[ReplicaHolding], usable: frozenset[str]
) -> Snapshot:
    shard_count = _agreed_shard_count(holdings)
    replicas: list[set[str]] = [set() for _ in range(shard_count)]
    for holding in holdings:
        if holding.shard_count == shard_count and holding.replica in usable:
            replicas[holding.shard].add(holding.replica)
    return Snapshot(
        index_version=index_version,
        shard_count=shard_count,
        replicas_by_shard=tuple(tuple(sorted(names)) for names in replicas),
    )


def _agreed_shard_count(holdings: list[ReplicaHolding]) -> int:
    """
    Return the shard count that most replicas report, usable or not.

    In a tie, the larger count wins: a denominator that is too large understates the
    coverage, but one that is too small would hide missing shards.
    """
    claimants: defaultdict[int, set[str]] = defaultdict(set)
    for holding in holdings:
        claimants[holding.shard_count].add(holding.replica)
    return max(claimants, key=lambda count: (len(claimants[count]), count))


def _covers_more(one: Snapshot, other: Snapshot) -> bool:
    return one.covered * other.shard_count > other.covered * one.shard_count
