"""The extra load that hedges and retries of a service may add."""

from collections import deque
from typing import Final

from attrs import define, field

BURST_LIMIT: Final = 10.0
HEDGE_RESERVE: Final = 1.0
GUARANTEED_RETRIES: Final = 3
WINDOW_SECONDS: Final = 10.0
_BUCKET_SECONDS: Final = 0.5
_BUCKETS: Final = int(WINDOW_SECONDS / _BUCKET_SECONDS)
_ROUNDING_TOLERANCE: Final = 1e-9


@define(kw_only=True)
class _Bucket:
    number: int
    initial_count: int = 0
    extra_count: int = 0
    guaranteed_count: int = 0


@define(kw_only=True)
class ExtraLoadBudget:
    """
    Budget that hedges and retries of one service share on one entry.

    An extra sub-request is allowed if two bounds hold: over the last 10 s the extras
    are at most `extra_load_share` of the first sub-requests; and over any stretch of
    time they are at most that share plus `BURST_LIMIT`. Beside that, `LEAST_RETRIES`
    retries are allowed in each window. The time passed in must not go back.

    :ivar extra_load_share: extra sub-requests allowed, as a share of first ones.
    """

    extra_load_share: float
    _tokens: float = field(default=0.0, init=False)
    _buckets: deque[_Bucket] = field(factory=deque, init=False)
    _initial_count: int = field(default=0, init=False)
    _extra_count: int = field(default=0, init=False)

    def record_initial(self, count: int, *, now_seconds: float) -> None:
        """Count `count` first sub-requests, sent at `now_seconds`."""
        self._bucket_at(now_seconds).initial_count += count
        self._initial_count += count
        self._tokens = min(BURST_LIMIT, self._tokens + count * self.extra_load_share)

    def take(self, *, now_seconds: float, reserve: float = 0.0) -> bool:
        """
        Take one extra sub-request from the budget, if it allows one.

        :param reserve: extras to leave for others; hedges leave `HEDGE_RESERVE`, so
            that retries of failed sub-requests find some.
        :return: whether the extra sub-request may be sent.
        """
        bucket = self._bucket_at(now_seconds)
        allowed = (
            self._initial_count_in_window() * self.extra_load_share
            + _ROUNDING_TOLERANCE
        )
        if (
            self._extra_count + 1 > allowed
            or self._tokens + _ROUNDING_TOLERANCE < 1.0 + reserve
        ):
            return False
        bucket.extra_count += 1
        self._extra_count += 1
        self._tokens -= 1.0
        return True

    def take_guaranteed_retry(self, *, now_seconds: float) -> bool:
        """
        Take one of the few retries that are allowed whatever the share says.

        Without them a service of little traffic could retry nothing. They count as
        extras, so that hedges make up for them.

        :return: whether the extra sub-request may be sent.
        """
        bucket = self._bucket_at(now_seconds)
        if sum(item.guaranteed_count for item in self._buckets) >= GUARANTEED_RETRIES:
            return False
        bucket.guaranteed_count += 1
        bucket.extra_count += 1
        self._extra_count += 1
        return True

    def _bucket_at(self, now_seconds: float) -> _Bucket:
        number = int(now_seconds / _BUCKET_SECONDS)
        while self._buckets and self._buckets[0].number < number - _BUCKETS:
            expired = self._buckets.popleft()
            self._initial_count -= expired.initial_count
            self._extra_count -= expired.extra_count
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number=number))
        return self._buckets[-1]

    def _initial_count_in_window(self) -> int:
        """Return the first sub-requests that are surely within the window."""
        oldest = self._buckets[0]
        if oldest.number == self._buckets[-1].number - _BUCKETS:
            return self._initial_count - oldest.initial_count
        return self._initial_count
