"""Which shards this instance and its peers own, now and with the next index."""

from collections.abc import Collection, Mapping

from attrs import define

from bronzebeam.routing.connection_shares import is_scarce
from bronzebeam.routing.routes import BackendService
from bronzebeam.routing.shard_owners import ShardOwners

Members = Mapping[str, Mapping[str, float]]


@define(kw_only=True, eq=False, repr=False)
class ShardOwnership:
    """
    The owners of the shards, if there are too few connections for every instance.

    :ivar owners: owners of the shards that are in use; None while there are enough
        connections for every instance to connect to every replica.
    :ivar owned: names of the shards that this instance owns.
    :ivar _shards: services that are shards in the configuration.
    :ivar _next_owners: owners of the services that may become shards with the next
        configuration: they have replicas, but no route yet or no longer.
    """

    instance: str
    own_domain: str
    owners: ShardOwners | None = None
    owned: frozenset[str] = frozenset()
    _shards: frozenset[str] = frozenset()
    _next_owners: ShardOwners | None = None

    def update(
        self,
        *,
        services: Mapping[str, BackendService],
        shards: frozenset[str],
        routed: frozenset[str],
        members: Members,
        instance_count: int,
        replica_domains: Mapping[str, frozenset[str]],
    ) -> bool:
        """
        Assign the shards to owners if replica connections are scarce.

        :param services: services of the configuration, by name.
        :param shards: names of the services that are shards.
        :param routed: names of all services that have a route.
        :param members: processor cores of the live instances, by failure domain.
        :param instance_count: number of live instances, including this one.
        :param replica_domains: failure domains of the replicas of each service.
        :return: whether instances have come or gone since the last assignment.
        """
        self._shards = shards
        scarce = {
            name
            for name, service in services.items()
            if is_scarce(limit=service.connection_limit, instance_count=instance_count)
        }
        if not scarce & shards:
            self.owners = self._next_owners = None
            self.owned = shards
            return False
        previous = self.owners
        self.owners = _assign(previous, members, shards, replica_domains)
        # Connecting to the next shards before they are used saves the time later, but
        # only their owners may: otherwise all instances would exceed the limits.
        next_shards = (scarce & replica_domains.keys()) - routed
        self._next_owners = _assign(
            self._next_owners, members, next_shards, replica_domains
        )
        self.owned = frozenset(
            service
            for owners in (self.owners, self._next_owners)
            for service in owners.services
            if owners.is_owner(self.instance, domain=self.own_domain, service=service)
        )
        return previous is not None and previous.members != members

    def owners_of(self, service: str) -> ShardOwners | None:
        """Return the owners of a shard; None if there are none."""
        if service in self._shards:
            return self.owners
        if self._next_owners is not None and service in self._next_owners.services:
            return self._next_owners
        return None

    def owner_domain_counts(self) -> dict[str, int]:
        """Return the number of failure domains with owners, for each shard."""
        counts = {}
        for owners in (self.owners, self._next_owners):
            if owners is not None:
                for service in owners.services:
                    counts[service] = len(owners.owner_domains(service))
        return counts


def _assign(
    previous: ShardOwners | None,
    members: Members,
    services: Collection[str],
    replica_domains: Mapping[str, frozenset[str]],
) -> ShardOwners:
    """Assign services to owners; reuses what has not changed."""
    if previous is None:
        previous = ShardOwners(members=members, services=frozenset())
    return previous.updated(
        members=members,
        services=frozenset(services),
        replica_domains={
            name: replica_domains.get(name, frozenset()) for name in services
        },
    )
