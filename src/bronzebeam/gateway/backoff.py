"""Exponential backoff for reconnecting to the store."""

import random
from typing import Final

from attrs import define

MIN_RETRY_DELAY_SECONDS: Final = 0.1
# Well below the time within which a recovered store has to be noticed.
MAX_RETRY_DELAY_SECONDS: Final = 0.6
RETRY_FACTOR: Final = 2.0


@define(kw_only=True, eq=False, repr=False)
class Backoff:
    """
    Exponential backoff with jitter between attempts to reach the store.

    :ivar max_delay_seconds: longest delay, before jitter.
    """

    rng: random.Random
    max_delay_seconds: float = MAX_RETRY_DELAY_SECONDS
    _delay_seconds: float = MIN_RETRY_DELAY_SECONDS

    def reset(self) -> None:
        """Return to the shortest delay; called after a success."""
        self._delay_seconds = MIN_RETRY_DELAY_SECONDS

    def next_seconds(self) -> float:
        """Return the next delay, with jitter so that instances don't retry in step."""
        delay_seconds = self._delay_seconds
        self._delay_seconds = min(delay_seconds * RETRY_FACTOR, self.max_delay_seconds)
        return delay_seconds * (0.5 + self.rng.random())
