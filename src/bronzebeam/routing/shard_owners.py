"""Which instances of a failure domain gather which shards."""

import hashlib
import math
from collections.abc import Mapping
from typing import Final

from attrs import define, field

OWNERS_PER_SLICE: Final = (
    3  # of each slice in each domain: one may be lost and one busy
)
SHARDS_PER_SLICE: Final = 15  # replies that half a core reads within two milliseconds
HASH_BYTES: Final = 8
HASH_RANGE: Final = 1 << 8 * HASH_BYTES


def slice_count(*, shards: int, members: int) -> int:
    """
    Return the number of slices that the shards are divided into.

    :param members: live instances in the failure domain.
    """
    return max(1, min(-(-shards // SHARDS_PER_SLICE), members // OWNERS_PER_SLICE))


def rank_owners(key: str, members: Mapping[str, float]) -> list[str]:
    """
    Rank instances for a key, the larger ones more often at the front.

    The rank of one does not depend on the others, so that a change of the membership
    moves only what the changed instance owned.

    :param members: processor cores of each instance, above 0.
    """

    def distance(name: str) -> tuple[float, str]:
        return -math.log(_hash_to_unit_interval(f"{key}/{name}")) / members[name], name

    return sorted(members, key=distance)


@define(kw_only=True, eq=False, repr=False)
class ShardOwners:
    """
    Owners of the shards in every failure domain.

    Answers the load of a fleet in which every instance would have to hold connections
    to every replica: few owners of a shard keep their connections in use, and learn
    from each other's requests within moments which replicas are slow.

    :ivar members: for each failure domain its live instances with their cores.
    :ivar services: shards in the configuration.
    """

    members: Mapping[str, Mapping[str, float]]
    services: frozenset[str]
    _owners: dict[tuple[str, int], frozenset[str]] = field(factory=dict)
    _slices: dict[str, int] = field(factory=dict)
    _owner_counts: dict[str, int] = field(factory=dict)

    def slice_number_of(self, service: str, domain: str) -> int:
        """Return the slice of a failure domain that a shard belongs to."""
        count = self._slices.get(domain)
        if count is None:
            members = len(self.members.get(domain, ()))
            count = slice_count(shards=len(self.services), members=members)
            self._slices[domain] = count
        return int(_hash_to_unit_interval(service) * count)

    def owners(self, domain: str, slice_number: int) -> frozenset[str]:
        """Return the instances that gather a slice; empty if there is none."""
        key = (domain, slice_number)
        owners = self._owners.get(key)
        if owners is None:
            ranked = rank_owners(
                f"{domain}/{slice_number}", self.members.get(domain, {})
            )
            owners = self._owners[key] = frozenset(ranked[:OWNERS_PER_SLICE])
        return owners

    def owner_count(self, service: str) -> int:
        """Return how many instances own a shard, over all failure domains."""
        count = self._owner_counts.get(service)
        if count is None:
            count = self._owner_counts[service] = sum(
                len(self.owners(domain, self.slice_number_of(service, domain)))
                for domain in self.members
            )
        return count

    def is_owner(self, instance: str, *, domain: str, service: str) -> bool:
        """Whether an instance of a failure domain gathers a shard."""
        return instance in self.owners(domain, self.slice_number_of(service, domain))


def _hash_to_unit_interval(key: str) -> float:
    """Return a number above 0 and below 1 that depends on the key only."""
    digest = hashlib.blake2b(key.encode(), digest_size=HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
