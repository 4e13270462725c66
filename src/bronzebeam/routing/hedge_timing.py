"""When a sub-request that has no reply yet is sent to a second replica."""

from typing import Final

from bronzebeam.routing.replica_estimate import overdue_after_ms

MAX_FAN_OUT_SHARE: Final = 0.3  # of the target; the slowest second send decides
MAX_SINGLE_SHARE: Final = 0.6  # of the target; its work itself may take long
PEER_SLACK_MS: Final = 12.0  # two hops, and the peer's own queue of events
SILENT_PEERS_DIVISOR: Final = 4  # losses are rare, and come one or two at a time
MIN_HEDGE_DELAY_MS: Final = 4.0  # below, a busy instance would hedge its own delays


def hedge_delay_ms(
    *, typical_ms: float, target_latency_ms: float, fan_out: bool
) -> float:
    """
    Return the wait after which a second send is worth its place in the budget.

    Answers the load of replicas that pause: a reply that takes several times the
    usual is rarely just late, and waiting longer only uses up the target latency.

    :param fan_out: the request goes to many shards, whose work is short.
    """
    max_share = MAX_FAN_OUT_SHARE if fan_out else MAX_SINGLE_SHARE
    delay_ms = min(overdue_after_ms(typical_ms), target_latency_ms * max_share)
    return max(delay_ms, MIN_HEDGE_DELAY_MS)


def peer_timeout_ms(hedge_after_ms: float) -> float:
    """
    Return the wait after which a peer that has said nothing counts as lost.

    :param hedge_after_ms: wait after which the peer sends again for its stragglers,
        and tells that it is at work.
    """
    return hedge_after_ms + PEER_SLACK_MS


def max_silent_peers(peers: int) -> int:
    """
    Return how many of a request's peers may count as lost at a time.

    Answers the load of instances that are all busy: where many peers have said nothing
    yet, what they do is slow and not lost, and doing it twice makes them slower.

    :param peers: number of peers that the request was divided among.
    """
    return max(1, peers // SILENT_PEERS_DIVISOR)
