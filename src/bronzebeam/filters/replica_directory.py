"""Interface to the replicas that this entry can send requests to."""

from typing import Protocol

from bronzebeam.routing.choice import ReplicaView
from bronzebeam.routing.snapshots import Snapshot
from bronzebeam.transport.backend_pool import BackendPool


class ReplicaDirectory(Protocol):
    """
    Looks up replicas, snapshots and connection pools by name.

    It is a protocol so that an implementation can also send to a group of shards
    through another entry.
    """

    def snapshot(self, service: str) -> Snapshot | None:
        """Return the newest snapshot from which `service` can be answered."""

    def members(self, service: str) -> tuple[str, ...]:
        """Return the replicas of a call service."""

    def view(self, name: str) -> ReplicaView | None:
        """Return the state of a replica that routing decisions use."""

    def pool(self, name: str) -> BackendPool | None:
        """Return the connection pool of a replica."""
