"""Decoded records of the platform's store, and the interface of its client."""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import Any, Final, Protocol

from attrs import field, frozen

from bronzebeam.gateway.store_era import StoreEra
from bronzebeam.routing.routes import RouteTable
from bronzebeam.socket_address import SocketAddress

LOCAL: Final = "local"  # metadata of fields that are not passed on to peers


@frozen(kw_only=True)
class ReplicaRecord:
    """
    One process of a backend server, as registered by itself.

    :ivar replica: identifier, usually a new one for each start of the process.
    :ivar slots: number of sub-requests that it runs concurrently.
    :ivar leaving: it is draining and accepts no new requests.
    :ivar cold_ms: remaining time for which it stays slow after its start.
    :ivar started_at_ms: time of its start on its own clock; 0 if unknown. Another value
        means another process, even under the same identifier.
    :ivar sequence: number of the registration, which rises while the process runs.
    :ivar is_first: it has not been written again since the replica registered. Known
        from the store only, and not passed on to peers.
    """

    replica: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    cold_ms: float
    started_at_ms: int = 0
    sequence: int = 0
    is_first: bool = field(default=False, eq=False, metadata={LOCAL: True})

    @property
    def age_order(self) -> tuple[int, int]:
        """Sort key: earlier registrations of the same identifier come first."""
        return self.started_at_ms, self.sequence


@frozen(kw_only=True)
class InstanceRecord:
    """
    A live instance of the gateway, as registered by itself.

    :ivar host: IP address at which it serves peers; empty if it does not.
    :ivar processor_cores: CPU cores that it may use; greater than 0.
    :ivar reaches_replicas: false while its links to the replicas are broken, so that
        its peers hand nothing to it.
    """

    instance: str
    failure_domain: str
    host: str
    port: int
    processor_cores: float = 1.0
    reaches_replicas: bool = True


@frozen(kw_only=True)
class SuspectRecord:
    """
    An instance's report of a request that it suspects of crashing replicas.

    :ivar suspect: fingerprint of the request.
    :ivar losses: number of replicas that the instance lost while they ran it.
    """

    suspect: str
    instance: str
    losses: int


@frozen(kw_only=True)
class EvacuationRecord:
    """An operator's request to send nothing more to the replicas of a domain."""

    failure_domain: str


class RecordKind(Enum):
    """Type of record that a change concerns."""

    CONFIGURATION = "configuration"
    REPLICA = "replica"
    INSTANCE = "instance"
    SUSPECT = "suspect"
    EVACUATION = "evacuation"


RecordValue = (
    RouteTable | ReplicaRecord | InstanceRecord | SuspectRecord | EvacuationRecord
)


@frozen(kw_only=True)
class Change:
    """
    A change of one record.

    :ivar name: name of the replica, instance, report or evacuated domain; empty for the
        configuration.
    :ivar value: the new record; None if it was deleted or can't be decoded.
    """

    kind: RecordKind
    name: str
    value: RecordValue | None = None


@frozen(kw_only=True)
class StoreSnapshot:
    """
    All records of the store that the gateway uses.

    The records may be of different revisions, since they are read in pages.

    :ivar revision: a watch that starts after this revision misses no change.
    :ivar newest_revision: revision of the newest page.
    :ivar era: era of the store that was read; None if the store states none.
    """

    revision: int
    newest_revision: int
    table: RouteTable | None
    era: int | None = None
    replicas: Mapping[str, ReplicaRecord] = field(factory=dict)
    instances: Mapping[str, InstanceRecord] = field(factory=dict)
    suspects: Mapping[str, SuspectRecord] = field(factory=dict)
    evacuations: Mapping[str, EvacuationRecord] = field(factory=dict)

    def with_changes(self, changes: Iterable[Change], revision: int) -> "StoreSnapshot":
        """
        Return the records at a later revision.

        :param changes: all changes after `revision` of this snapshot, in their order.
        :param revision: revision of the last one.
        """
        replicas = dict(self.replicas)
        instances = dict(self.instances)
        suspects = dict(self.suspects)
        evacuations = dict(self.evacuations)
        table = self.table
        by_kind: Mapping[RecordKind, dict[str, Any]] = {
            RecordKind.REPLICA: replicas,
            RecordKind.INSTANCE: instances,
            RecordKind.SUSPECT: suspects,
            RecordKind.EVACUATION: evacuations,
        }
        for change in changes:
            if change.kind is RecordKind.CONFIGURATION:
                # A configuration that was deleted or can't be decoded stays in force.
                table = change.value if isinstance(change.value, RouteTable) else table
            elif change.value is None:
                by_kind[change.kind].pop(change.name, None)
            else:
                by_kind[change.kind][change.name] = change.value
        return StoreSnapshot(
            revision=revision,
            newest_revision=max(revision, self.newest_revision),
            era=self.era,
            table=table,
            replicas=replicas,
            instances=instances,
            suspects=suspects,
            evacuations=evacuations,
        )


def snapshot_from_changes(
    changes: Iterable[Change],
    *,
    revision: int,
    newest_revision: int | None = None,
    era: int | None,
) -> StoreSnapshot:
    """
    Return the snapshot whose records are all those in `changes`.

    :param newest_revision: see `StoreSnapshot`; None if all are of one revision.
    """
    if newest_revision is None:
        newest_revision = revision
    empty = StoreSnapshot(
        revision=revision, newest_revision=newest_revision, era=era, table=None
    )
    return empty.with_changes(changes, revision)


class StoreUnavailable(Exception):
    """The store returned no usable response; a write may have been applied or not."""


class HistoryLost(Exception):
    """The store no longer has the changes after the given revision."""


@frozen(kw_only=True)
class Lease:
    """
    A lease that the store has granted.

    :ivar era: era of the store in which it was granted. In a later one the same number
        may belong to another instance.
    :ivar revision: revision of the store at which the registration was written under
        it; 0 if none was.
    """

    number: int
    era: int | None
    revision: int = 0


class GatewayStore(Protocol):
    """
    Client of the platform's store.

    Each call has a timeout, and raises `StoreUnavailable` if the store does not return
    a usable response.

    :ivar era: era of the store, as stated in its responses.
    """

    era: StoreEra

    @property
    def malformed_count(self) -> int:
        """Return the number of records known to be in the store that can't be read."""

    async def read_snapshot(self, *, may_be_stale: bool = False) -> StoreSnapshot:
        """
        Read all records.

        :param may_be_stale: the records may be some seconds old, which costs the store
            less; a watch from the snapshot's revision brings the later changes.
        """

    async def read_configuration(self) -> RouteTable | None:
        """Read the latest configuration; None if it is missing or malformed."""

    async def watch(
        self, *, after: int, wait_seconds: float
    ) -> tuple[int, list[Change]]:
        """
        Wait for changes after a revision.

        :return: the revision to continue from, and the changes, possibly none.
        :raises HistoryLost: if a new snapshot has to be read.
        """

    async def latest_revision(self) -> int:
        """Return the store's revision; never an older one, which would show nothing."""

    async def register(self, *, record: InstanceRecord, ttl_seconds: float) -> Lease:
        """Write an instance's record under a new lease and return the lease."""

    async def update_registration(
        self, *, record: InstanceRecord, lease: Lease
    ) -> bool:
        """Replace an instance's record; False if its lease has ended."""

    async def has_replaced_registration(self, *, instance: str, lease: Lease) -> bool:
        """
        Whether the registration under a lease replaced one of the instance that had
        settled in this era of the store.

        Then the instance was registered without a gap since the earlier one, and all
        others have learnt of it.
        """

    async def record_settled(self, *, instance: str, lease: Lease) -> None:
        """
        Write that all others know the registration under a lease.

        The record ends with the lease; if that has ended, nothing is written.
        """

    async def report_suspects(
        self, *, records: Sequence[SuspectRecord], ttl_seconds: float
    ) -> None:
        """Write reports that expire; a later report replaces an earlier one."""

    async def renew_lease(self, *, lease: Lease) -> bool:
        """Renew a lease; False if it has ended, or was granted in an earlier era."""

    async def release_lease(self, *, lease: Lease) -> None:
        """End a lease, which deletes the records under it."""

    def set_address(self, address: SocketAddress) -> None:
        """Use another address for all further calls."""

    def close(self) -> None:
        """Close the connections."""
