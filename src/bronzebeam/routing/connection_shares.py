"""How many connections an instance holds to a replica."""

from typing import Final

from attrs import frozen

from bronzebeam.routing.shard_owners import OWNERS

MIN_CONNECTIONS: Final = 2  # two fan-outs may meet on a replica
MAX_CONNECTIONS: Final = 12  # more would only queue at the replica
OWN_DOMAIN_SHARE: Final = 0.3  # of the limit, for the owners beside the replica
OTHER_DOMAIN_SHARE: Final = 0.2  # for owners elsewhere; the rest for those that step in
SPARE_INSTANCES: Final = 2  # newcomers find room before others have heard of them


@frozen(kw_only=True)
class ConnectionShare:
    """
    This instance's part of a replica's connection limit.

    :ivar most: connections that may be open.
    :ivar warm: connections that are kept open, also while they are not used.
    """

    max_open: int
    warm: int


def is_scarce(*, limit: int, instances: int) -> bool:
    """
    Whether a replica takes too few connections for every instance to hold some.

    :param limit: connections that the replica takes from all callers; 0 if unknown.
    :param instances: live instances, this one included.
    """
    return 0 < limit < MIN_CONNECTIONS * (instances + SPARE_INSTANCES)


def share_connections(
    *,
    limit: int,
    instances: int,
    domains: int,
    own_domain: bool,
    owner: bool,
    isolated: bool,
) -> ConnectionShare:
    """
    Divide a replica's connections.

    Where they are scarce, the owners of the replica's shard in each failure domain
    share them, and the others hold none: they hand the shard to an owner, and open a
    connection only if that fails. An instance that reaches few of its peers has to
    send to the replicas itself, and keeps a connection to each beside it.

    :param limit: connections that the replica takes from all callers.
    :param instances: live instances, this one included.
    :param domains: failure domains with live instances.
    :param own_domain: the replica is in this instance's failure domain.
    :param owner: this instance is an owner of the replica's shard.
    :param isolated: this instance reaches few of its peers.
    """
    if not is_scarce(limit=limit, instances=instances):
        even_share = limit // (instances + SPARE_INSTANCES)
        max_open = min(max(even_share, MIN_CONNECTIONS), MAX_CONNECTIONS)
        return ConnectionShare(
            max_open=max_open, warm=MIN_CONNECTIONS if own_domain else 1
        )
    if not owner:
        if isolated and own_domain:
            return ConnectionShare(max_open=MIN_CONNECTIONS, warm=1)
        return ConnectionShare(max_open=1, warm=0)
    if own_domain:
        max_open = min(max(int(limit * OWN_DOMAIN_SHARE) // OWNERS, 1), MAX_CONNECTIONS)
        return ConnectionShare(max_open=max_open, warm=min(max_open, MIN_CONNECTIONS))
    others = max(1, domains - 1) * OWNERS
    max_open = min(max(int(limit * OTHER_DOMAIN_SHARE) // others, 1), MAX_CONNECTIONS)
    return ConnectionShare(max_open=max_open, warm=1)
