"""Budget of repeated sub-requests that all instances share without talking."""

from collections import deque
from typing import Final

from attrs import define, field, frozen

BUCKET_SECONDS: Final = 0.25  # granularity of the sliding window
SAFETY_SHARE: Final = 0.88  # rest covers instances that are not yet known of

STARTING_SHARE: Final = 0.3  # with all instances restarted, the sum stays in bounds


@frozen(kw_only=True)
class SecondSendLimits:
    """
    Bound on repeated sub-requests to one service, over all instances.

    :ivar ratio: repeats allowed for each first sub-request.
    :ivar slack_count: repeats allowed in each window beside those.
    :ivar window_seconds: length of the sliding window.
    """

    ratio: float
    slack_count: float
    window_seconds: float


@define(kw_only=True, eq=False, repr=False)
class SecondSendBudget:
    """
    This instance's part of the budget of one service.

    Firsts are counted where they are sent, so the ratio holds for the sum of all
    instances if it holds for each. The slack is divided by the number of instances.
    It grows from nothing over the first window of a process: a process that was
    killed may have spent its part just before.

    :ivar started_at_seconds: monotonic time at which the process started.
    """

    limits: SecondSendLimits
    started_at_seconds: float
    _buckets: deque[list[float]] = field(factory=deque, init=False)
    _firsts: float = field(default=0.0, init=False)
    _repeats: float = field(default=0.0, init=False)

    def count_first(self, now_seconds: float, count: int = 1) -> None:
        """Count first sub-requests."""
        self._bucket_at(now_seconds)[1] += count
        self._firsts += count

    def count_repeat(self, now_seconds: float) -> None:
        """Count one repeated sub-request."""
        self._bucket_at(now_seconds)[2] += 1
        self._repeats += 1

    def left(self, now_seconds: float, *, instances: int) -> float:
        """
        Return how many repeats may be sent now.

        :param instances: live instances that share the slack, this one included.
        """
        self._bucket_at(now_seconds)
        limits = self.limits
        age_seconds = now_seconds - self.started_at_seconds
        grown_share = min(1.0, STARTING_SHARE + age_seconds / limits.window_seconds)
        slack = limits.slack_count * grown_share / max(1, instances)
        return SAFETY_SHARE * (limits.ratio * self._firsts + slack) - self._repeats

    def _bucket_at(self, now_seconds: float) -> list[float]:
        number = now_seconds // BUCKET_SECONDS
        oldest = number - self.limits.window_seconds // BUCKET_SECONDS
        buckets = self._buckets
        while buckets and buckets[0][0] < oldest:
            _, firsts, repeats = buckets.popleft()
            self._firsts -= firsts
            self._repeats -= repeats
        if not buckets or buckets[-1][0] < number:
            buckets.append([number, 0.0, 0.0])
        return buckets[-1]
