"""Choice of index snapshots and evidence for ejection, from replicas' replies."""

from collections.abc import Iterable, Mapping

from attrs import frozen

from bronzebeam.controllers.replica_state import ReplicaState
from bronzebeam.routing.ejection import Evidence
from bronzebeam.routing.snapshots import Snapshot, pick_snapshot
from bronzebeam.transport.attempt import AttemptLost, AttemptOutcome
from bronzebeam.transport.backend_protocol import BackendFailed, BackendReply, BadReply


@frozen(kw_only=True)
class SnapshotChoice:
    """
    Index snapshots chosen from the shards that the replicas hold.

    :ivar by_service: snapshot that serves each service; None if there is none.
    :ivar stale_replicas: replicas to probe because they last reported an older
        version than others did, while the newest version is not known to be complete:
        they may have loaded it since.
    """

    by_service: Mapping[str, Snapshot | None]
    stale_replicas: tuple[str, ...]


def choose_snapshots(replicas: Iterable[ReplicaState]) -> SnapshotChoice:
    """Choose the snapshot of each service and find replicas to probe for newer ones."""
    services: dict[str, list[ReplicaState]] = {}
    for replica in replicas:
        services.setdefault(replica.listed.service or "", []).append(replica)
    by_service = {
        name: _pick_service_snapshot(members) for name, members in services.items()
    }
    stale_replicas = tuple(
        instance
        for name, members in services.items()
        for instance in _find_stale_replicas(by_service[name], members)
    )
    return SnapshotChoice(by_service=by_service, stale_replicas=stale_replicas)


def _pick_service_snapshot(replicas: list[ReplicaState]) -> Snapshot | None:
    return pick_snapshot(
        tuple(row for item in replicas for row in item.holdings),
        frozenset(item.listed.instance for item in replicas if item.usable),
    )


def _find_stale_replicas(
    snapshot: Snapshot | None, replicas: list[ReplicaState]
) -> tuple[str, ...]:
    usable = [item for item in replicas if item.usable and item.sharded]
    newest = max((item.newest_version for item in usable), default=0)
    if snapshot is None or (snapshot.complete and snapshot.index_version >= newest):
        return ()
    return tuple(
        item.listed.instance for item in usable if item.newest_version < newest
    )


def ejection_evidence(outcome: AttemptOutcome) -> Evidence | None:
    """Return the evidence for or against ejecting a replica; None if there is none."""
    match outcome:
        case BackendReply():
            return Evidence.SUCCESS
        case AttemptLost(reason="timeout", sent=True) | BadReply() | BackendFailed():
            return Evidence.FAILURE
        case AttemptLost(reason="connection_lost" | "no_connection"):
            return Evidence.LOST_CONNECTION
    return None
