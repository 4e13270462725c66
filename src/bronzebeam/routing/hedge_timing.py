"""When a sub-request that has no reply yet is sent to a second replica."""

from typing import Final

from bronzebeam.routing.replica_estimate import overdue_after_ms

TARGET_SHARE_MAX: Final = 0.4  # a second send still has time to be answered
DELEGATION_WAITS: Final = 1.6  # the peer's second send, and its reply
DELEGATION_SHARE_MAX: Final = 0.6  # what follows still has two usual replies' time
DELAY_MIN_MS: Final = 4.0  # below, a busy instance would hedge its own delays


def second_send_after_ms(*, typical_ms: float, target_latency_ms: float) -> float:
    """
    Return the wait after which a second send is worth its place in the budget.

    Answers the load of replicas that pause: a reply that takes several times the
    usual is rarely just late, and waiting longer only uses up the target latency.
    """
    delay_ms = min(overdue_after_ms(typical_ms), target_latency_ms * TARGET_SHARE_MAX)
    return max(delay_ms, DELAY_MIN_MS)


def delegation_late_after_ms(*, typical_ms: float, target_latency_ms: float) -> float:
    """
    Return the wait after which a peer's records count as late.

    A peer hedges its own stragglers first. What is sent to the replicas after that
    still has to be answered within the target latency.
    """
    own_ms = second_send_after_ms(
        typical_ms=typical_ms, target_latency_ms=target_latency_ms
    )
    return min(
        own_ms * DELEGATION_WAITS + typical_ms, target_latency_ms * DELEGATION_SHARE_MAX
    )
