"""When a fan-out is answered without the shards that have not replied."""

from typing import Final

from bronzebeam.units import MS_PER_SECOND

ANSWER_MARGIN_MS: Final = 1.5  # merging and sending the answer
SKIP_ESTIMATE_FACTOR: Final = (
    1.15  # estimates are medians; half of all replies are faster
)
MIN_TARGET_FACTOR: Final = 3.0  # the slowest of many usual replies
LATE_WAIT_FACTOR: Final = 4.0  # past the target, a part is worth a few usual replies


def remaining_target_ms(
    *, target_latency_ms: float, elapsed_ms: float, typical_ms: float
) -> float:
    """
    Return the time from its arrival within which an answer is of most use.

    Answers the load of callers that were refused and come back: where the target of
    their first attempt can no longer be met, they are served like a new request,
    and not hurried past shards that would have replied.

    :param elapsed_ms: time that earlier attempts of the caller have taken.
    :param typical_ms: usual reply time of a sub-request.
    """
    remaining_ms = target_latency_ms - elapsed_ms
    return (
        remaining_ms
        if remaining_ms >= typical_ms * MIN_TARGET_FACTOR
        else target_latency_ms
    )


def partial_answer_at_seconds(
    *, target_at_seconds: float, now_seconds: float, typical_ms: float
) -> float:
    """
    Return the monotonic time at which waiting for further shards stops.

    Until the target latency a further shard is pure gain; past it the whole answer
    loses most of its use, also while replicas are slow and further shards would be in
    soon. A request that arrives too late for its target gets a short wait.
    """
    at_seconds = target_at_seconds - ANSWER_MARGIN_MS / MS_PER_SECOND
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
    Whether a sub-request is better left out than sent.

    Answers the load of a shard whose replicas are all slow: what is sent there in
    spite of that comes too late for its own request, and delays the requests that
    the shard could still answer in time.

    :param estimate_ms: expected time to the reply.
    :param left_ms: time to the target latency; negative if it has passed.
    :param repeat: the shard has been sent the request already.
    :param missing: shards that are missing already.
    :param skippable: shards that an answer may lack.
    """
    if remaining_ms <= 0.0 or estimate_ms <= remaining_ms * SKIP_ESTIMATE_FACTOR:
        return False
    return is_repeat or missing < max_missing
