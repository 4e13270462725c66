"""Which instances watch the store for the others of their failure domain."""

from collections.abc import Mapping
from typing import Final

from bronzebeam.routing.shard_owners import rank_owners

WATCHERS_PER_DOMAIN: Final = 2  # of a failure domain; one may be lost
MIN_FOLLOWERS: Final = 3  # fewer would save less than the extra step may cost


def choose_feed_sources(
    instance: str, *, domain: str, members: Mapping[str, float]
) -> frozenset[str]:
    """
    Return the instances that an instance learns of changes from.

    :param members: live instances of its failure domain with their processor cores.
    :return: empty if it watches the store itself.
    """
    if len(members) < WATCHERS_PER_DOMAIN + MIN_FOLLOWERS:
        return frozenset()
    watchers = frozenset(rank_owners(f"watch/{domain}", members)[:WATCHERS_PER_DOMAIN])
    return frozenset() if instance in watchers else watchers
