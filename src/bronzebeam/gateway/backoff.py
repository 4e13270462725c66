"""Delays between attempts to reach the store."""

import random
from typing import Final

from attrs import define

RETRY_FIRST_SECONDS: Final = 0.1
RETRY_MAX_SECONDS: Final = 0.6  # a store that returns is found well within its bounds
RETRY_FACTOR: Final = 2.0


@define(kw_only=True, eq=False, repr=False)
class Backoff:
    """Delays between attempts to reach the store."""

    rng: random.Random
    _delay_seconds: float = RETRY_FIRST_SECONDS

    def reset(self) -> None:
        """Start again after a success."""
        self._delay_seconds = RETRY_FIRST_SECONDS

    def next_seconds(self) -> float:
        """Return the next delay, spread so that instances do not call in step."""
        delay_seconds = self._delay_seconds
        self._delay_seconds = min(delay_seconds * RETRY_FACTOR, RETRY_MAX_SECONDS)
        return delay_seconds * (0.5 + self.rng.random())
