"""What an instance sends to a replica while its requests are limited."""

from enum import Enum

from attrs import define, field

from bronzebeam.routing.cold_limits import ColdTurns
from bronzebeam.routing.replica_limit import SendTurns


class SendKind(Enum):
    """Why a request is sent to a replica."""

    FIRST_ATTEMPT = "first_attempt"
    REPEAT = "repeat"
    FOR_PEER = "for_peer"


@define(kw_only=True, eq=False, repr=False)
class CountedTraffic:
    """
    The requests that this instance has sent to a replica under a limit.

    :ivar since_seconds: monotonic time at which this instance learnt of a limit.
    :ivar sent_counts: number of requests sent since then, by kind.
    """

    since_seconds: float
    sent_counts: dict[SendKind, int] = field(
        factory=lambda: dict.fromkeys(SendKind, 0), init=False
    )

    def record_sent(self, kind: SendKind) -> None:
        """Count a request that was sent to the replica."""
        self.sent_counts[kind] += 1


@define(kw_only=True, eq=False, repr=False)
class LimitedTraffic(CountedTraffic):
    """
    Requests to a replica that names a limit.

    :ivar per_second: requests a second that the replica takes from all instances.
    :ivar turns: when this instance may send to the replica.
    """

    per_second: float
    turns: SendTurns


@define(kw_only=True, eq=False, repr=False)
class ColdTraffic(CountedTraffic):
    """
    Requests to a cold replica whose service states a cold rate.

    :ivar turns: when this instance may send to the replica.
    :ivar senders: the instances that send to it, the first one first.
    """

    turns: ColdTurns
    senders: tuple[str, ...] = ()
