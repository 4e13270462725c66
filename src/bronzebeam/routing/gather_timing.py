"""When a fan-out is answered without the shards that have not replied."""

from typing import Final

MS_PER_SECOND: Final = 1_000.0
ANSWER_MARGIN_MS: Final = 1.5  # merging and sending the answer
LATE_WAIT_FACTOR: Final = 4.0  # past the target, a part is worth a few usual replies


def answer_without_missing_at(
    *, target_at_seconds: float, now_seconds: float, typical_ms: float
) -> float:
    """
    Return the monotonic time at which waiting for further shards stops.

    Until the target latency a further shard is pure gain; past it the whole answer
    loses most of its use. A request that arrives past its target gets a short wait.
    """
    at_seconds = target_at_seconds - ANSWER_MARGIN_MS / MS_PER_SECOND
    latest_seconds = now_seconds + typical_ms * LATE_WAIT_FACTOR / MS_PER_SECOND
    return max(at_seconds, latest_seconds)
