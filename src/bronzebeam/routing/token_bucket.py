"""A token bucket whose size and rate may change."""

import math

from attrs import define


@define(kw_only=True, eq=False)
class TokenBucket:
    """
    Tokens that accrue at a rate, up to a size; empty at the start.

    In any time T it gives out at most `size_count` + `rate_per_second` x T tokens.

    :ivar updated_at_seconds: time up to which tokens have accrued.
    """

    updated_at_seconds: float
    size_count: float = 0.0
    rate_per_second: float = 0.0
    level_count: float = 0.0
    _spent_count: int = 0

    def advance(
        self, now_seconds: float, *, size_count: float, rate_per_second: float
    ) -> None:
        """Add the tokens accrued until now, and set the size and rate."""
        # After a change, the time since the last use counts at the lower rate.
        rate = min(self.rate_per_second or rate_per_second, rate_per_second)
        elapsed_seconds = max(0.0, now_seconds - self.updated_at_seconds)
        self.size_count = size_count
        self.rate_per_second = rate_per_second
        self.level_count = min(size_count, self.level_count + elapsed_seconds * rate)
        self.updated_at_seconds = max(now_seconds, self.updated_at_seconds)

    def restart(self, at_seconds: float) -> None:
        """Empty the bucket, as of a time at which another bucket may have been full."""
        self.level_count = 0.0
        self._spent_count = 0
        self.updated_at_seconds = at_seconds

    def take(self, count: int) -> int:
        """Take up to `count` whole tokens; return how many there were."""
        taken = max(0, min(count, math.floor(self.level_count)))
        self.level_count -= taken
        self._spent_count += taken
        return taken

    def put_back(self, count: int) -> None:
        """Return tokens that were taken and not used; more are ignored."""
        count = max(0, min(count, self._spent_count))
        self._spent_count -= count
        self.level_count = min(self.size_count, self.level_count + count)

    def seconds_until(self, count: float) -> float:
        """Return the time until there are `count` tokens."""
        if self.rate_per_second <= 0.0:
            return math.inf
        return max(0.0, count - self.level_count) / self.rate_per_second
