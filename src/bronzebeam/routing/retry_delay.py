"""What a caller is told when its request is not served."""

import random
from typing import Final

from bronzebeam.units import MS_PER_SECOND

RETRY_SHARE_OF_TARGET: Final = 0.25  # a retry then still has most of its time
RETRY_JITTER_SHARE: Final = (
    1.0  # callers refused together come back one after the other
)
MIN_RETRY_AFTER_MS: Final = 10.0


def retry_after_seconds(*, target_latency_ms: float, rng: random.Random) -> float:
    """
    Return when a caller that was refused at once may come back.

    Answers the load of a short fault: callers that were refused in one moment return
    spread over a time in proportion to how urgent they are, the urgent ones first.
    """
    base_ms = max(target_latency_ms * RETRY_SHARE_OF_TARGET, MIN_RETRY_AFTER_MS)
    return base_ms * (1.0 + RETRY_JITTER_SHARE * rng.random()) / MS_PER_SECOND
