"""Assignment of shards to the instances in each failure domain that query them."""

import hashlib
import math
from collections.abc import Mapping
from typing import Final

from attrs import define, field

# Owners of a slice in each failure domain: one may be lost and another one busy.
OWNERS_PER_SLICE: Final = 3
# Half a processor core reads this many replies within two milliseconds.
SHARDS_PER_SLICE: Final = 15
SHARDS_PER_SLICE_CORES: Final = 0.5
MIN_SHARDS_PER_SLICE: Final = 5  # smaller slices cost more in delegations
HASH_BYTES: Final = 8
HASH_RANGE: Final = 1 << 8 * HASH_BYTES


def slice_count(*, shard_count: int, members: Mapping[str, float]) -> int:
    """
    Return the number of slices (groups of shards with the same owners).

    :param members: processor cores of the live instances in the failure domain.
    """
    if not members:
        return 1
    mean_cores = sum(members.values()) / len(members)
    share = min(1.0, mean_cores / SHARDS_PER_SLICE_CORES)
    shards_per_slice = max(MIN_SHARDS_PER_SLICE, round(SHARDS_PER_SLICE * share))
    wanted = -(-shard_count // shards_per_slice)
    return max(1, min(wanted, len(members) // OWNERS_PER_SLICE))


def rank_owners(key: str, members: Mapping[str, float]) -> list[str]:
    """
    Rank instances for a key by weighted rendezvous hashing.

    Larger instances come first more often. The weight of an instance for a key does
    not depend on the others, so a change of the membership moves only the keys that
    the changed instance owns.

    :param members: processor cores of each instance, above 0.
    """

    def distance(name: str) -> tuple[float, str]:
        return -math.log(_hash_to_unit_interval(f"{key}/{name}")) / members[name], name

    return sorted(members, key=distance)


@define(kw_only=True, eq=False, repr=False)
class ShardOwners:
    """
    Owners of the shards in every failure domain.

    Protects against the need for connections from every instance to every replica. The
    few owners of a shard keep their connections busy, and with the traffic of the
    whole domain they soon find out which replicas are slow.

    Only domains with a replica of the shard have owners, since fan-outs are delegated
    to the domains of the replicas. If no instance is left in any of them, all domains
    have some.

    :ivar members: processor cores of the live instances, by failure domain.
    :ivar services: shards in the configuration.
    :ivar replica_domains: failure domains of the replicas of each shard; owners in all
        domains if a shard is missing.
    """

    members: Mapping[str, Mapping[str, float]]
    services: frozenset[str]
    replica_domains: Mapping[str, frozenset[str]] = field(factory=dict)
    _owners: dict[tuple[str, int], frozenset[str]] = field(factory=dict)
    _slices: dict[str, int] = field(factory=dict)
    _owner_counts: dict[str, int] = field(factory=dict)

    def updated(
        self,
        *,
        members: Mapping[str, Mapping[str, float]],
        services: frozenset[str],
        replica_domains: Mapping[str, frozenset[str]],
    ) -> "ShardOwners":
        """Return the owners for another state; this object if nothing has changed."""
        if (members, services, replica_domains) == (
            self.members,
            self.services,
            self.replica_domains,
        ):
            return self
        return ShardOwners(
            members=members,
            services=services,
            replica_domains=replica_domains,
            # The owners of a slice depend on the members only.
            owners=self._owners if members == self.members else {},
        )

    def owner_domains(self, service: str) -> list[str]:
        """Return the failure domains whose instances own a shard."""
        holding = self.replica_domains.get(service, frozenset())
        domains = [name for name in self.members if name in holding]
        return [name for name in domains if self.members[name]] or list(self.members)

    def slice_number_of(self, service: str, domain: str) -> int:
        """Return the number of the slice in a failure domain that a shard is in."""
        count = self._slices.get(domain)
        if count is None:
            members = self.members.get(domain, {})
            count = slice_count(shard_count=len(self.services), members=members)
            self._slices[domain] = count
        return int(_hash_to_unit_interval(service) * count)

    def owners(self, domain: str, slice_number: int) -> frozenset[str]:
        """Return the instances that own a slice; empty if there are none."""
        key = (domain, slice_number)
        owners = self._owners.get(key)
        if owners is None:
            ranked = rank_owners(
                f"{domain}/{slice_number}", self.members.get(domain, {})
            )
            owners = self._owners[key] = frozenset(ranked[:OWNERS_PER_SLICE])
        return owners

    def owner_count(self, service: str) -> int:
        """Return the number of owners of a shard, over all failure domains."""
        count = self._owner_counts.get(service)
        if count is None:
            count = self._owner_counts[service] = sum(
                len(self.owners(domain, self.slice_number_of(service, domain)))
                for domain in self.owner_domains(service)
            )
        return count

    def is_owner(self, instance: str, *, domain: str, service: str) -> bool:
        """Whether an instance in a failure domain owns a shard."""
        return domain in self.owner_domains(service) and instance in self.owners(
            domain, self.slice_number_of(service, domain)
        )


def _hash_to_unit_interval(key: str) -> float:
    """Return a hash of the key as a number above 0 and below 1."""
    digest = hashlib.blake2b(key.encode(), digest_size=HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
