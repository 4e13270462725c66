"""Messages that the membership controller handles."""

from dataclasses import dataclass

from bronzebeam.routing.membership_state import MemberRecord
from bronzebeam.transport.instance_list import ListedInstance


@dataclass(frozen=True, kw_only=True)
class RecordsReceived:
    """
    Membership records from a peer.

    :ivar pushed: whether they came in a push, so that changes are pushed on.
    """

    records: tuple[MemberRecord, ...]
    pushed: bool


@dataclass(frozen=True, kw_only=True)
class InstanceListReceived:
    """
    The instance list as read by this entry or its peers.

    :ivar is_poll: whether this counts as a poll for members that the list lacks.
    """

    instances: tuple[ListedInstance, ...]
    is_poll: bool = True


@dataclass(frozen=True, kw_only=True)
class PeerReached:
    """A message or reply was received from `instance`."""

    instance: str


@dataclass(frozen=True, kw_only=True)
class PeerUnreachable:
    """A call to `instance` failed or timed out."""

    instance: str


@dataclass(frozen=True, kw_only=True)
class StoreUnreachableFrom:
    """`instance` watches the store, and its calls to the store fail."""

    instance: str


@dataclass(frozen=True, kw_only=True)
class LeaveFleet:
    """This entry is shutting down; the peers are notified."""


MembershipMessage = (
    RecordsReceived
    | InstanceListReceived
    | PeerReached
    | PeerUnreachable
    | StoreUnreachableFrom
    | LeaveFleet
)
