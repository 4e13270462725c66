"""Decides when a fan-out is answered without the shards that have not replied."""

from typing import Final

from bronzebeam.units import MS_PER_SECOND

# Estimates are medians: half of all replies are faster.
SKIP_ESTIMATE_FACTOR: Final = 1.15
MIN_TARGET_FACTOR: Final = 3.0  # covers the slowest of many ordinary replies
# After the target latency, a missing shard is worth a few ordinary reply times.
LATE_WAIT_FACTOR: Final = 4.0


def remaining_target_ms(
    *, target_latency_ms: float, elapsed_ms: float, typical_ms: float
) -> float:
    """
    Return the target latency of a request, counted from its arrival.

    The time that the caller has spent on earlier, rejected attempts, or on opening a
    connection, is subtracted. If
    the target of the first attempt can no longer be met, the request gets the full
    target like a new one: with what is left, it would be answered without shards that
    were about to reply.

    :param elapsed_ms: time that the caller has spent before it sent the request.
    :param typical_ms: typical reply time of a sub-request.
    """
    remaining_ms = target_latency_ms - elapsed_ms
    return (
        remaining_ms
        if remaining_ms >= typical_ms * MIN_TARGET_FACTOR
        else target_latency_ms
    )


def partial_answer_at_seconds(
    *,
    target_at_seconds: float,
    now_seconds: float,
    typical_ms: float,
    answer_delay_ms: float,
) -> float:
    """
    Return the monotonic time at which a fan-out stops waiting for further shards.

    Until the target latency, waiting for another shard costs nothing. After it, the
    whole answer loses most of its value, even if replicas are slow and further shards
    would reply soon. A request that arrives too late for its target waits briefly.

    :param answer_delay_ms: time to merge and send the answer.
    """
    at_seconds = target_at_seconds - answer_delay_ms / MS_PER_SECOND
    typical_seconds = typical_ms / MS_PER_SECOND
    if at_seconds - now_seconds >= typical_seconds:
        return at_seconds
    return now_seconds + typical_seconds * LATE_WAIT_FACTOR


def should_skip_shard(
    *,
    estimate_ms: float,
    remaining_ms: float,
    is_repeat: bool,
    missing: int,
    max_missing: int,
) -> bool:
    """
    Whether not to send a sub-request to a shard.

    Protects a shard whose replicas are all slow: further sub-requests would be
    answered too late, and would delay those that it could still answer in time.

    :param estimate_ms: expected time to the reply.
    :param remaining_ms: time to the target latency; negative if it has passed.
    :param is_repeat: the sub-request was already sent to the shard once.
    :param missing: number of shards already missing from the answer.
    :param max_missing: number of shards that the answer may lack.
    """
    if remaining_ms <= 0.0 or estimate_ms <= remaining_ms * SKIP_ESTIMATE_FACTOR:
        return False
    return is_repeat or missing < max_missing
