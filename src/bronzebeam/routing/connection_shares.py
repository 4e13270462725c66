"""How many connections an instance holds to a replica."""

from typing import Final

from attrs import frozen

SHARED_MIN: Final = 2  # two fan-outs may meet on a replica
SHARED_MAX: Final = 12  # more would only queue at the replica
OWN_DOMAIN_SHARE: Final = 0.75  # the rest is for instances elsewhere that need one
SPARE_INSTANCES: Final = 2  # newcomers find room before others have heard of them


@frozen(kw_only=True)
class ConnectionShare:
    """
    This instance's part of a replica's connection limit.

    :ivar most: connections that may be open.
    :ivar warm: connections that are kept open, also while they are not used.
    """

    most: int
    warm: int


def share_connections(
    *, limit: int, instances: int, domain_instances: int, own_domain: bool
) -> ConnectionShare:
    """
    Divide a replica's connections.

    Where the limit allows no two connections for every instance, the instances of the
    replica's failure domain share it, and the others hold none: they hand its shard
    to a peer there, and open a connection only if that fails.

    :param limit: connections that the replica takes from all callers.
    :param instances: live instances, this one included.
    :param domain_instances: those in this instance's failure domain.
    :param own_domain: the replica is in that failure domain.
    """
    for_all = limit // (instances + SPARE_INSTANCES)
    if for_all >= SHARED_MIN or limit == 0:
        most = min(max(for_all, SHARED_MIN), SHARED_MAX)
        return ConnectionShare(most=most, warm=SHARED_MIN if own_domain else 1)
    if not own_domain:
        return ConnectionShare(most=1, warm=0)
    for_domain = int(limit * OWN_DOMAIN_SHARE) // (domain_instances + 1)
    most = min(max(for_domain, 1), SHARED_MAX)
    return ConnectionShare(most=most, warm=min(most, SHARED_MIN))
