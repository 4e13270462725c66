"""What replies and holdings tell about replicas."""

from bronzebeam.controllers.replica_state import ReplicaState
from bronzebeam.routing.ejection import Evidence
from bronzebeam.routing.snapshots import Snapshot
from bronzebeam.transport.attempt import AttemptLost, AttemptOutcome
from bronzebeam.transport.backend_protocol import BackendFailed, BackendReply, BadReply


def replicas_behind(
    snapshot: Snapshot | None, replicas: list[ReplicaState]
) -> tuple[str, ...]:
    """Return the replicas to ask for a version that is not known to be complete."""
    usable = [item for item in replicas if item.usable and item.sharded]
    newest = max((item.newest_version for item in usable), default=0)
    if snapshot is None or (snapshot.complete and snapshot.index_version >= newest):
        return ()
    return tuple(
        item.listed.instance for item in usable if item.newest_version < newest
    )


def evidence_of(outcome: AttemptOutcome) -> Evidence | None:
    """Return what `outcome` says for or against its replica; None for nothing."""
    match outcome:
        case BackendReply():
            return Evidence.SUCCESS
        case AttemptLost(reason="timeout", sent=True) | BadReply() | BackendFailed():
            return Evidence.FAILURE
        case AttemptLost(reason="connection_lost" | "no_connection"):
            return Evidence.LOST_CONNECTION
    return None
