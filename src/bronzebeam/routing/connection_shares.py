"""Each instance's share of the connections that a replica accepts."""

from typing import Final

from attrs import frozen

from bronzebeam.routing.shard_owners import OWNERS_PER_SLICE

MIN_CONNECTIONS: Final = 2  # two fan-outs may use a replica at the same time
MAX_CONNECTIONS: Final = 12  # more would only queue at the replica
OWN_DOMAIN_SHARE: Final = 0.3  # of the limit, for owners in the replica's domain
# Of the limit, for owners in other domains. The rest is for instances that send to the
# replica because its owners have failed.
OTHER_DOMAIN_SHARE: Final = 0.2
SPARE_INSTANCES: Final = 2  # room for new instances that others do not know yet


@frozen(kw_only=True)
class ConnectionShare:
    """
    This instance's part of a replica's connection limit.

    :ivar max_open: connections that may be open.
    :ivar warm: connections that are kept open even while they are idle.
    """

    max_open: int
    warm: int


def is_scarce(*, limit: int, instance_count: int) -> bool:
    """
    Whether a replica accepts too few connections for every instance to have some.

    :param limit: connections that the replica accepts in total; 0 if unknown.
    :param instance_count: number of live instances, this one included.
    """
    return 0 < limit < MIN_CONNECTIONS * (instance_count + SPARE_INSTANCES)


def share_connections(
    *,
    limit: int,
    instance_count: int,
    domain_count: int,
    in_own_domain: bool,
    is_owner: bool,
    is_isolated: bool,
) -> ConnectionShare:
    """
    Return this instance's share of a replica's connections.

    If they are scarce, the owners of the replica's shard in each failure domain share
    them. Other instances keep none open: they delegate the shard to an owner, and open
    a connection only if that fails. An instance that reaches few of its peers has to
    send to the replicas itself, so it keeps a connection to each replica in its own
    failure domain.

    :param limit: connections that the replica accepts in total.
    :param instance_count: number of live instances, this one included.
    :param domain_count: number of failure domains with owners of the replica's shard.
    :param in_own_domain: the replica is in this instance's failure domain.
    :param is_owner: this instance is an owner of the replica's shard.
    :param is_isolated: this instance reaches few of its peers.
    """
    if not is_scarce(limit=limit, instance_count=instance_count):
        even_share = limit // (instance_count + SPARE_INSTANCES)
        max_open = min(max(even_share, MIN_CONNECTIONS), MAX_CONNECTIONS)
        return ConnectionShare(
            max_open=max_open, warm=MIN_CONNECTIONS if in_own_domain else 1
        )
    if not is_owner:
        if is_isolated and in_own_domain:
            return ConnectionShare(max_open=MIN_CONNECTIONS, warm=1)
        return ConnectionShare(max_open=1, warm=0)
    if in_own_domain:
        max_open = min(
            max(int(limit * OWN_DOMAIN_SHARE) // OWNERS_PER_SLICE, 1), MAX_CONNECTIONS
        )
        return ConnectionShare(max_open=max_open, warm=min(max_open, MIN_CONNECTIONS))
    others = max(1, domain_count - 1) * OWNERS_PER_SLICE
    max_open = min(max(int(limit * OTHER_DOMAIN_SHARE) // others, 1), MAX_CONNECTIONS)
    return ConnectionShare(max_open=max_open, warm=1)
