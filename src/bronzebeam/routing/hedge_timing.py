"""Decides when a sub-request without a reply is sent to a second replica or peer."""

from typing import Final

from bronzebeam.routing.replica_estimate import overdue_after_ms

# Both shares are of the target latency. A fan-out is as slow as its slowest hedge; a
# request to a single replica may itself be long.
MAX_FAN_OUT_SHARE: Final = 0.3
MAX_SINGLE_SHARE: Final = 0.6
PEER_SLACK_MS: Final = 12.0  # two network hops, and the peer's event loop delay
# Crashes are rare, and affect one or two peers at a time.
UNRESPONSIVE_PEERS_DIVISOR: Final = 4
# With less, a busy instance would send hedges because of its own delays.
MIN_HEDGE_DELAY_MS: Final = 4.0
# Of the hedge delay, if the load that replicas state is considered: after 1.25 times
# the usual reply time, most replies are there.
EARLY_HEDGE_SHARE: Final = 0.5
# A hedge uses up the repeat budget, so it has to save more than an estimate's error.
MIN_EARLY_HEDGE_GAIN: Final = 2.0


def hedge_delay_ms(
    *, typical_ms: float, target_latency_ms: float, is_fan_out: bool
) -> float:
    """
    Return the delay after which a sub-request is hedged.

    Protects against replicas that pause: a reply that takes several times the typical
    time is rarely just late, and waiting longer only uses up the target latency.

    :param is_fan_out: the request goes to many shards, each with little work.
    """
    max_share = MAX_FAN_OUT_SHARE if is_fan_out else MAX_SINGLE_SHARE
    delay_ms = min(overdue_after_ms(typical_ms), target_latency_ms * max_share)
    return max(delay_ms, MIN_HEDGE_DELAY_MS)


def should_hedge_early(
    *, reported_ms: float, elapsed_ms: float, other_ms: float, hedge_after_ms: float
) -> bool:
    """
    Whether to hedge a sub-request before the hedge delay has passed.

    Protects against replicas that say themselves that they will reply late: waiting
    for the delay only uses up the target latency. A sub-request that is not expected to
    be hedged after the delay is not hedged early either.

    :param reported_ms: expected reply time by what the replica has stated since the
        sub-request was sent.
    :param elapsed_ms: time since then.
    :param other_ms: expected reply time of the replica that would get the hedge.
    :param hedge_after_ms: the hedge delay.
    """
    left_ms = reported_ms - elapsed_ms
    return reported_ms > hedge_after_ms and left_ms > other_ms * MIN_EARLY_HEDGE_GAIN


def peer_timeout_ms(hedge_after_ms: float) -> float:
    """
    Return the time after which a peer that has sent nothing counts as lost.

    :param hedge_after_ms: delay after which the peer hedges its slow shards and
        reports that it is still working.
    """
    return hedge_after_ms + PEER_SLACK_MS


def max_unresponsive_peers(peer_count: int) -> int:
    """
    Return how many of a request's peers may count as lost at the same time.

    Protects against repeats while all instances are busy: if many peers have sent
    nothing yet, they are slow rather than lost, and doing their work twice makes them
    slower.

    :param peer_count: number of peers that the request was divided among.
    """
    return max(1, peer_count // UNRESPONSIVE_PEERS_DIVISOR)
