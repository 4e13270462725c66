"""Choice of the instances that watch the store for the others in their domain."""

from collections.abc import Mapping
from typing import Final

from bronzebeam.routing.shard_owners import rank_owners

WATCHERS_PER_DOMAIN: Final = 2  # one of them may fail
MIN_FOLLOWERS: Final = 3  # with fewer, the extra hop may cost more than it saves


def choose_feed_sources(
    instance: str, *, domain: str, members: Mapping[str, float]
) -> frozenset[str]:
    """
    Return the instances whose change feed an instance follows.

    :param members: processor cores of each live instance in its failure domain.
    :return: empty if the instance watches the store itself.
    """
    if len(members) < WATCHERS_PER_DOMAIN + MIN_FOLLOWERS:
        return frozenset()
    watchers = frozenset(rank_owners(f"watch/{domain}", members)[:WATCHERS_PER_DOMAIN])
    return frozenset() if instance in watchers else watchers
