"""Who reaches a replica: today this entry itself, over its share of connections."""

from typing import Protocol

from bronzebeam.routing.choice import ReplicaView
from bronzebeam.routing.snapshots import Snapshot
from bronzebeam.transport.backend_pool import BackendPool


class ReplicaDirectory(Protocol):
    """
    The replicas that a query can be sent to.

    A later implementation may stand for a group of shards behind another entry.
    """

    def snapshot(self, service: str) -> Snapshot | None:
        """Return the newest snapshot that `service` can answer from."""

    def members(self, service: str) -> tuple[str, ...]:
        """Return the replicas of a call service."""

    def view(self, name: str) -> ReplicaView | None:
        """Return what routing needs to know of a replica."""

    def pool(self, name: str) -> BackendPool | None:
        """Return the connection pool of a replica."""
