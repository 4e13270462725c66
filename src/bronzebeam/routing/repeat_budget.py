"""Budget of repeated sub-requests, divided among instances without communication.

A repeat is a hedge or a retry of a sub-request.
"""

from collections import deque
from copy import copy
from typing import Final

from attrs import define, field, frozen

from bronzebeam.routing.instance_share import ShareRatios

BUCKET_SECONDS: Final = 0.25  # granularity of the sliding window
USABLE_SHARE: Final = 0.88  # the rest is for instances that are not yet known
STARTING_SHARE: Final = 0.3  # keeps the sum in bounds if all instances restart
# Of the slack. Owners have less than half, because they may change in each window when
# the previous ones have already spent theirs.
SLACK_RATIOS: Final = ShareRatios(all_instances=1.0, owners=0.45, others=0.1)


@frozen(kw_only=True)
class RepeatLimits:
    """
    Limit on the repeats of sub-requests to one service, over all instances.

    :ivar ratio: repeats allowed per first attempt.
    :ivar slack_count: repeats allowed in each window in addition to those.
    :ivar window_seconds: length of the sliding window.
    """

    ratio: float
    slack_count: float
    window_seconds: float


@define(kw_only=True, eq=False, repr=False)
class RepeatBudget:
    """
    This instance's part of the repeat budget of one service.

    Each instance counts the first attempts that it sends, so the ratio holds in total
    if it holds for each instance. The slack is divided by shares. An increase of a
    share takes effect gradually over one window, since the instance that had this
    share before may just have used it up. The same goes for a process that starts. So
    at most twice the owners' share is used within a window.

    :ivar started_at_seconds: monotonic time at which the process started.
    """

    limits: RepeatLimits
    started_at_seconds: float
    _buckets: deque[list[float]] = field(factory=deque, init=False)
    _first_attempt_count: float = field(default=0.0, init=False)
    _repeat_count: float = field(default=0.0, init=False)
    _target_share: float = field(default=0.0, init=False)
    _base_share: float = field(default=0.0, init=False)
    _raised_at_seconds: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._raised_at_seconds = self.started_at_seconds

    def record_first_attempts(self, now_seconds: float, count: int = 1) -> None:
        """Record first attempts of sub-requests."""
        self._bucket_at(now_seconds)[1] += count
        self._first_attempt_count += count

    def record_repeat(self, now_seconds: float) -> None:
        """Record one repeated sub-request."""
        self._bucket_at(now_seconds)[2] += 1
        self._repeat_count += 1

    def available(self, now_seconds: float, *, share: float) -> float:
        """
        Return how many repeats are allowed now.

        :param share: share of the slack that this instance may use, 0 to 1.
        """
        self._bucket_at(now_seconds)
        limits = self.limits
        slack = limits.slack_count * self._granted_share(now_seconds, share)
        return (
            USABLE_SHARE * (limits.ratio * self._first_attempt_count + slack)
            - self._repeat_count
        )

    def peek(self, now_seconds: float, *, share: float) -> float:
        """Return what `available` would, without a change of this budget."""
        other = copy(self)
        other._buckets = deque(self._buckets)
        return other.available(now_seconds, share=share)

    def _granted_share(self, now_seconds: float, share: float) -> float:
        if self._target_share == 0.0:
            self._target_share, self._base_share = share, STARTING_SHARE * share
        elif share != self._target_share:
            granted = self._ramped_share(now_seconds)
            if share > self._target_share:
                self._raised_at_seconds = now_seconds
            self._target_share, self._base_share = share, min(granted, share)
        return self._ramped_share(now_seconds)

    def _ramped_share(self, now_seconds: float) -> float:
        age_seconds = now_seconds - self._raised_at_seconds
        increase = self._target_share * age_seconds / self.limits.window_seconds
        return min(self._target_share, self._base_share + increase)

    def _bucket_at(self, now_seconds: float) -> list[float]:
        number = now_seconds // BUCKET_SECONDS
        oldest = number - self.limits.window_seconds // BUCKET_SECONDS
        buckets = self._buckets
        while buckets and buckets[0][0] < oldest:
            _, first_attempts, repeats = buckets.popleft()
            self._first_attempt_count -= first_attempts
            self._repeat_count -= repeats
        if not buckets or buckets[-1][0] < number:
            buckets.append([number, 0.0, 0.0])
        return buckets[-1]
