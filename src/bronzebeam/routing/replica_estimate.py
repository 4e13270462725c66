"""Expected reply time of one more sub-request to a replica."""

from typing import Final

from attrs import define

OVERDUE_FACTOR: Final = 2.5  # of the expected time; later replies are overdue
MIN_OVERDUE_MS: Final = 6.0  # above the scheduling noise of a busy instance
ORDINARY_LATENCY_FACTOR: Final = 1.4  # ordinary variation between replicas
BUSY_SHARE: Final = 0.1  # busy slots suggest that other instances send there too
COLD_FACTOR: Final = 1.6  # slowdown of a replica that has just started
CONNECT_MS: Final = 7.0  # time to open a connection before the request runs
FAILURE_COST_MS: Final = 40.0  # another round trip, and a repeat from the budget
UNREPEATABLE_FAILURE_COST_MS: Final = 1_000.0  # the request is lost
OTHER_DOMAIN_COST_MS: Final = 4.0  # network latency, and traffic that is charged for


# Not frozen: a search over many shards creates hundreds, and frozen ones take longer.
@define(kw_only=True)
class ReplicaLoad:
    """
    State of a replica as an instance knows it when it chooses a replica.

    :ivar latency_factor: reply time relative to that of other replicas.
    :ivar in_flight: sub-requests of this instance that wait for a reply.
    :ivar oldest_age_ms: time that the oldest of them has waited.
    :ivar slots: sub-requests that the replica runs concurrently.
    :ivar is_cold: the replica has just started.
    :ivar is_connected: an idle connection is available.
    :ivar failure_share: share of its replies that were rejections or failures.
    :ivar in_own_domain: the replica is in the failure domain of this instance.
    :ivar reported_pace: time that work takes by what the replica states, relative to
        the usual time; 1 if it has stated none lately.
    :ivar reported_queue: time of one more request by the queue that it states, relative
        to the usual time.
    :ivar reported_weight: share of the estimate that `reported_queue` decides, 0 to 1.
    """

    latency_factor: float
    in_flight: int
    oldest_age_ms: float
    slots: int
    is_cold: bool
    is_connected: bool
    failure_share: float
    in_own_domain: bool
    reported_pace: float = 1.0
    reported_queue: float = 1.0
    reported_weight: float = 0.0


def overdue_after_ms(expected_ms: float) -> float:
    """Return the time after which a reply counts as overdue."""
    return max(expected_ms * OVERDUE_FACTOR, expected_ms + MIN_OVERDUE_MS)


def estimate_reply_ms(load: ReplicaLoad, *, typical_ms: float) -> float:
    """
    Estimate the reply time of one more sub-request, in milliseconds.

    A replica with an overdue reply is assumed to stall for as long again as it already
    has: from outside, a pause looks the same as a crash.

    The queue that a replica states takes the place of the guess from this instance's
    own requests, and gives way to it again as the reading ages.
    """
    expected_ms = typical_ms * (
        load.latency_factor if load.latency_factor > ORDINARY_LATENCY_FACTOR else 1.0
    )
    if load.is_cold:
        expected_ms *= COLD_FACTOR
    expected_ms *= load.reported_pace
    queued_count = max(0, load.in_flight + 1 - load.slots)
    estimate_ms = expected_ms * (
        1.0 + queued_count / load.slots + BUSY_SHARE * load.in_flight
    )
    if load.reported_weight:
        reported_ms = expected_ms * load.reported_queue
        estimate_ms += load.reported_weight * (reported_ms - estimate_ms)
        # Waiting in a queue that the replica states is no sign of a stall.
        expected_ms += load.reported_weight * max(0.0, reported_ms - expected_ms)
    if load.in_flight and load.oldest_age_ms > overdue_after_ms(expected_ms):
        estimate_ms += load.oldest_age_ms
    if not load.is_connected:
        estimate_ms += CONNECT_MS
    return estimate_ms


def extra_cost_ms(load: ReplicaLoad, *, failure_cost_ms: float) -> float:
    """
    Return the cost of a replica beyond its reply time, expressed in milliseconds.

    :param failure_cost_ms: cost of a failed attempt for the request.
    """
    cost = load.failure_share * failure_cost_ms
    return cost if load.in_own_domain else cost + OTHER_DOMAIN_COST_MS
