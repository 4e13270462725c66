"""The limit on requests that a replica names, divided among instances.

The replica counts the requests of all instances together. Instances don't communicate
about them: each has a share, by the number of instances that it knows.
"""

import math
import random
from collections import deque
from typing import Final

from attrs import define, field, frozen

from bronzebeam.routing.instance_share import ShareRatios

UNREADABLE_LIMIT: Final = "not_a_number"
NEGATIVE_LIMIT: Final = "negative"
LIMIT_RATIOS: Final = ShareRatios(all_instances=0.9, owners=0.8, others=0.1)
# Replies show when a replica that takes no requests accepts them again.
MIN_LIMIT_PER_SECOND: Final = 0.25
# Unused turns expire, or a burst of callers could use those of all instances at once.
MIN_TURN_LIFETIME_SECONDS: Final = 1.5
TURN_LIFETIME_REQUESTS: Final = 2.0  # turns of all instances that expire later
# Instances that are no longer registered may still send for this long.
FORMER_INSTANCE_SECONDS: Final = 15.0


@frozen(kw_only=True)
class NamedLimit:
    """
    The limit that a replica names in a reply.

    :ivar per_second: requests a second that it takes from all instances together; None
        if it names none.
    :ivar problem: why a value that it has sent is not used; empty if it is.
    """

    per_second: float | None
    problem: str = ""


def read_limit(value: bytes) -> NamedLimit:
    """Read the value of a limit header, a decimal number; empty if there was none."""
    if not value:
        return NamedLimit(per_second=None)
    try:
        per_second = float(value)
    except ValueError:
        per_second = math.nan
    if math.isnan(per_second):
        return NamedLimit(per_second=None, problem=UNREADABLE_LIMIT)
    if per_second < 0.0:
        return NamedLimit(per_second=0.0, problem=NEGATIVE_LIMIT)
    if math.isinf(per_second):
        return NamedLimit(per_second=None)
    return NamedLimit(per_second=per_second)


@define(kw_only=True, eq=False, repr=False)
class SendTurns:
    """
    The times at which this instance may send a request to a limited replica.

    A turn comes at regular intervals, which start at a random time so that those of
    different instances don't coincide. It can be used for a while and then expires.

    :ivar rng: source of the random start.
    """

    rng: random.Random
    _interval_seconds: float = field(default=math.inf, init=False)
    _lifetime_seconds: float = field(default=MIN_TURN_LIFETIME_SECONDS, init=False)
    _next_at_seconds: float = field(default=math.inf, init=False)

    def set_rate(
        self, *, limit_per_second: float, share: float, now_seconds: float
    ) -> None:
        """
        Set how often there is a turn.

        :param limit_per_second: requests that the replica takes from all instances.
        :param share: this instance's share of them, above 0.
        """
        total_per_second = max(limit_per_second, MIN_LIMIT_PER_SECOND)
        interval_seconds = 1.0 / (total_per_second * share)
        if interval_seconds == self._interval_seconds:
            return
        if math.isinf(self._interval_seconds):
            wait_seconds = self.rng.random() * interval_seconds
            self._next_at_seconds = now_seconds + wait_seconds
        elif self._next_at_seconds > now_seconds:
            ratio = interval_seconds / self._interval_seconds
            wait_seconds = (self._next_at_seconds - now_seconds) * ratio
            self._next_at_seconds = now_seconds + wait_seconds
        self._interval_seconds = interval_seconds
        self._lifetime_seconds = (
            MIN_TURN_LIFETIME_SECONDS + TURN_LIFETIME_REQUESTS / total_per_second
        )

    def seconds_until_next(self, now_seconds: float) -> float:
        """Return the time until there is an unused turn; 0 if there is one now."""
        expired_seconds = now_seconds - self._lifetime_seconds - self._next_at_seconds
        if expired_seconds > 0.0:
            expired_count = math.ceil(expired_seconds / self._interval_seconds)
            self._next_at_seconds += expired_count * self._interval_seconds
        return max(0.0, self._next_at_seconds - now_seconds)

    def use(self) -> None:
        """Use the next turn."""
        self._next_at_seconds += self._interval_seconds

    def give_back(self) -> None:
        """Make a turn available again whose request was not sent."""
        self._next_at_seconds -= self._interval_seconds


@define(kw_only=True, eq=False, repr=False)
class RecentInstanceCount:
    """
    The highest number of instances in the last `FORMER_INSTANCE_SECONDS`.

    An instance that can't reach the store may lose its registration, but goes on
    sending its share. So the shares of the others don't grow at once.
    """

    _counts: deque[tuple[float, int]] = field(factory=deque, init=False)

    def observe(self, count: int, now_seconds: float) -> None:
        """Record the number of live instances."""
        counts = self._counts
        while counts and counts[-1][1] <= count:
            counts.pop()
        counts.append((now_seconds, count))

    def highest(self, now_seconds: float) -> int:
        """Return the highest number; at least 1."""
        counts = self._counts
        # The first number was the live one until the second was observed.
        while len(counts) > 1 and (
            now_seconds - counts[1][0] > FORMER_INSTANCE_SECONDS
        ):
            counts.popleft()
        return max(1, counts[0][1]) if counts else 1
