"""Grouping of shards by the failure domain that reads them."""

import random
from collections.abc import Mapping, Sequence


def group_by_domain(
    domains: Mapping[int, Sequence[str]], *, rng: random.Random
) -> list[tuple[str, tuple[int, ...]]]:
    """
    Group shards into as few failure domains as is simple to find.

    The domain that holds most of the remaining shards is taken first. Each group
    costs one exchange between failure domains, whatever its size.

    :param domains: for each shard, the failure domains with a replica that will do.
    :param rng: chooses among domains that hold as many shards.
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
