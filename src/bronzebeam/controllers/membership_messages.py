"""Messages that the membership controller takes."""

from dataclasses import dataclass

from bronzebeam.routing.membership_state import MemberRecord
from bronzebeam.transport.instance_list import ListedInstance


@dataclass(frozen=True, kw_only=True)
class RecordsReceived:
    """
    Records from a peer.

    :ivar pushed: whether they came as news, to be pushed on.
    """

    records: tuple[MemberRecord, ...]
    pushed: bool


@dataclass(frozen=True, kw_only=True)
class InstanceListReceived:
    """
    The instance list as read by this entry and its peers.

    :ivar polled: whether this counts as a poll of those that the list lacks.
    """

    instances: tuple[ListedInstance, ...]
    is_poll: bool = True


@dataclass(frozen=True, kw_only=True)
class PeerReached:
    """A message came from `instance`."""

    instance: str


@dataclass(frozen=True, kw_only=True)
class PeerUnreachable:
    """A call to `instance` had no answer."""

    instance: str


@dataclass(frozen=True, kw_only=True)
class StoreUnreachableFrom:
    """`instance` watches the store and gets no answer."""

    instance: str


@dataclass(frozen=True, kw_only=True)
class LeaveFleet:
    """This entry is to stop; the peers are told."""


MembershipMessage = (
    RecordsReceived
    | InstanceListReceived
    | PeerReached
    | PeerUnreachable
    | StoreUnreachableFrom
    | LeaveFleet
)
