"""Values shared by the tests of routing decisions."""

from typing import Any, Final

from attrs import evolve
from hypothesis import settings

from bronzebeam.routing.choice import ReplicaView

HYPOTHESIS_SETTINGS: Final = settings(derandomize=True, database=None, deadline=None)
OWN_DOMAIN: Final = "domain-1"
IDLE_REPLICA: Final = ReplicaView(
    replica="a",
    failure_domain=OWN_DOMAIN,
    slots=2,
    own_in_flight=0,
    reported_in_flight=0,
    latency_ms=10.0,
    leaving=False,
    ejected=False,
    weight=1.0,
    free_connections=1,
)


def replica_view(replica: str, **changes: Any) -> ReplicaView:
    """Return the view of an idle, warm replica, with the given changes."""
    return evolve(IDLE_REPLICA, replica=replica, **changes)
