"""Grouping of a fan-out's shards by the peers that they are delegated to."""

import random
from collections.abc import Mapping, Sequence
from typing import Final

from attrs import frozen

from bronzebeam.routing.shard_owners import ShardOwners

# Half a processor core reads this many replies within a few milliseconds.
MAX_GROUP_SHARDS: Final = 30
MAX_GROUP_SHARDS_CORES: Final = 0.5
# Smaller groups cost more in delegations than they save.
MIN_GROUP_SHARDS: Final = 8


def group_by_domain(
    domains: Mapping[int, Sequence[str]], *, rng: random.Random
) -> list[tuple[str, tuple[int, ...]]]:
    """
    Group shards into few failure domains, by a greedy algorithm.

    The domain that holds most of the remaining shards is taken first. Each group
    costs one request between failure domains, whatever its size.

    :param domains: for each shard, the failure domains with a usable replica.
    :param rng: breaks ties between domains that hold the same number of shards.
    :return: pairs of a domain and its shards, each shard in one pair.
    """
    remaining = dict(domains)
    groups = []
    while remaining:
        counts: dict[str, int] = {}
        for names in remaining.values():
            for name in names:
                counts[name] = counts.get(name, 0) + 1
        if not counts:
            break
        domain = max(counts, key=lambda name: (counts[name], rng.random()))
        shards = tuple(shard for shard, names in remaining.items() if domain in names)
        groups.append((domain, shards))
        for shard in shards:
            del remaining[shard]
    return groups


def mean_cores(members: Mapping[str, Mapping[str, float]], domain: str) -> float:
    """Return the mean processor cores of the live instances in a failure domain."""
    cores = members.get(domain, {})
    return sum(cores.values()) / len(cores) if cores else MAX_GROUP_SHARDS_CORES


def max_group_shards(processor_cores: float) -> int:
    """Return how many shards an instance should query for one request."""
    share = min(1.0, processor_cores / MAX_GROUP_SHARDS_CORES)
    return max(MIN_GROUP_SHARDS, round(MAX_GROUP_SHARDS * share))


def split_evenly(
    shards: Sequence[int], *, processor_cores: float
) -> list[tuple[int, ...]]:
    """
    Split shards of one failure domain into groups for one instance each.

    Protects against the delay in a fan-out over many shards when a single instance
    spends its processor time on reading all the replies.

    :param processor_cores: processor cores of each instance.
    :return: groups of nearly equal size; a single group if there are few shards.
    """
    count = max(1, -(-len(shards) // max_group_shards(processor_cores)))
    return [tuple(shards[index::count]) for index in range(count)]


@frozen(kw_only=True)
class ShardGroup:
    """
    Shards of a fan-out that are delegated to one peer.

    :ivar domain: failure domain of the peer.
    :ivar shards: in ascending order.
    :ivar owners: instances that the peer must be one of; None if any peer will do.
    """

    domain: str
    shards: tuple[int, ...]
    owners: frozenset[str] | None = None


def group_by_owner(
    groups: Sequence[tuple[str, Sequence[int]]],
    *,
    services: Sequence[str],
    owners: ShardOwners,
) -> list[ShardGroup]:
    """
    Divide groups of shards by slice, so that each group has one set of owners.

    :param groups: pairs of a failure domain and its shards.
    :param services: service of each shard.
    """
    slices: dict[tuple[str, int], list[int]] = {}
    for domain, shards in groups:
        for shard in shards:
            number = owners.slice_number_of(services[shard], domain)
            slices.setdefault((domain, number), []).append(shard)
    return [
        ShardGroup(
            domain=domain,
            shards=tuple(sorted(shards)),
            owners=owners.owners(domain, number),
        )
        for (domain, number), shards in slices.items()
    ]
