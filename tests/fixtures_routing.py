"""Values shared by the tests of routing decisions."""

from bronzebeam.routing.choice import ReplicaView

OWN_DOMAIN = "domain-1"


def replica_view(
    replica: str,
    *,
    failure_domain: str = OWN_DOMAIN,
    slots: int = 2,
    own_in_flight: int = 0,
    reported_in_flight: int = 0,
    latency_ms: float = 10.0,
    leaving: bool = False,
    ejected: bool = False,
    weight: float = 1.0,
    free_connections: int = 1,
) -> ReplicaView:
    """Return an idle, warm replica but for what is given."""
    return ReplicaView(
        replica=replica,
        failure_domain=failure_domain,
        slots=slots,
        own_in_flight=own_in_flight,
        reported_in_flight=reported_in_flight,
        latency_ms=latency_ms,
        leaving=leaving,
        ejected=ejected,
        weight=weight,
        free_connections=free_connections,
    )
