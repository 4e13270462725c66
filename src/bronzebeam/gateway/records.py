"""What the configuration store says of replicas and instances, decoded."""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Protocol

from attrs import field, frozen

from bronzebeam.routing.routes import RouteTable
from bronzebeam.socket_address import SocketAddress


@frozen(kw_only=True)
class ReplicaRecord:
    """
    One life of a backend server, as it registered itself.

    :ivar replica: identifier, mostly new for each start of the process.
    :ivar slots: sub-requests that it runs at a time.
    :ivar leaving: it takes no new work.
    :ivar cold_ms: how much longer it stays slow after its start.
    """

    replica: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    cold_ms: float


@frozen(kw_only=True)
class InstanceRecord:
    """
    A live instance of the gateway, as it registered itself.

    :ivar host: IP number at which it serves its peers; empty if it does not.
    :ivar processor_cores: processor that it may use, above 0.
    """

    instance: str
    failure_domain: str
    host: str
    port: int
    processor_cores: float = 1.0


@frozen(kw_only=True)
class SuspectRecord:
    """
    A request that an instance suspects of crashing replicas.

    :ivar suspect: fingerprint of the request.
    :ivar losses: replicas that the instance has lost to it.
    """

    suspect: str
    instance: str
    losses: int


class RecordKind(Enum):
    """What a change of the store is about."""

    CONFIGURATION = "configuration"
    REPLICA = "replica"
    INSTANCE = "instance"
    SUSPECT = "suspect"


RecordValue = RouteTable | ReplicaRecord | InstanceRecord | SuspectRecord


@frozen(kw_only=True)
class Change:
    """
    One change of a record.

    :ivar name: replica, instance or report that the record is of; empty for
        configuration.
    :ivar value: the record; None if it is no longer there, or can no longer be read.
    """

    kind: RecordKind
    name: str
    value: RecordValue | None = None


@frozen(kw_only=True)
class StoreContents:
    """
    Everything that the store holds for the gateway.

    :ivar revision: watching after this revision misses no change.
    """

    revision: int
    table: RouteTable | None
    replicas: Mapping[str, ReplicaRecord] = field(factory=dict)
    instances: Mapping[str, InstanceRecord] = field(factory=dict)
    suspects: Mapping[str, SuspectRecord] = field(factory=dict)


class StoreUnavailable(Exception):
    """The store gave no usable answer; a write may or may not have been done."""


class HistoryLost(Exception):
    """The store no longer has the changes after the given revision."""


class GatewayStore(Protocol):
    """
    The calls of the platform's store that the gateway makes, each bounded in time.

    Each raises `StoreUnavailable` if no usable answer comes.
    """

    async def read(self) -> StoreContents:
        """Read everything."""

    async def watch(
        self, *, after: int, wait_seconds: float
    ) -> tuple[int, list[Change]]:
        """
        Wait for changes after a revision.

        :return: the revision to go on from, and the changes, which may be none.
        :raises HistoryLost: if the changes have to be read anew.
        """

    async def latest_revision(self) -> int:
        """Return the store's revision, which may be a few seconds old."""

    async def register(self, *, record: InstanceRecord, ttl_seconds: float) -> str:
        """Record an instance under a new lease and return the lease."""

    async def report(
        self, *, records: Sequence[SuspectRecord], ttl_seconds: float
    ) -> None:
        """Record suspects for a time; later records take the place of earlier ones."""

    async def renew(self, *, lease: str) -> bool:
        """Renew a lease; False if it has ended."""

    async def release(self, *, lease: str) -> None:
        """End a lease, which removes the record under it."""

    def redirect(self, address: SocketAddress) -> None:
        """Use another address for all further calls."""

    def close(self) -> None:
        """Close the connections."""
