"""Delay after which a rejected caller may retry."""

import random
from typing import Final

from bronzebeam.units import MS_PER_SECOND

RETRY_SHARE_OF_TARGET: Final = 0.25  # leaves the retry most of the target latency
RETRY_JITTER_SHARE: Final = 1.0  # spreads the retries of callers rejected together
MIN_RETRY_AFTER_MS: Final = 10.0


def retry_after_seconds(*, target_latency_ms: float, rng: random.Random) -> float:
    """
    Return the delay after which a caller that was rejected immediately may retry.

    Protects against a burst of retries after a short fault: the retries of callers
    rejected at the same moment are spread over a time that is proportional to their
    target latency, so that urgent ones come first.
    """
    base_ms = max(target_latency_ms * RETRY_SHARE_OF_TARGET, MIN_RETRY_AFTER_MS)
    return base_ms * (1.0 + RETRY_JITTER_SHARE * rng.random()) / MS_PER_SECOND
