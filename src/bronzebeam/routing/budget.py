"""Budget of the extra load that hedges and retries may add to a service."""

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
    first_attempt_count: int = 0
    extra_count: int = 0
    guaranteed_count: int = 0


@define(kw_only=True)
class ExtraLoadBudget:
    """
    Budget shared by the hedges and retries that one entry sends to one service.

    An extra attempt is allowed if two bounds hold: over the last 10 s, extra attempts
    are at most `extra_load_share` of the first attempts; and over any period they are
    at most that share plus `BURST_LIMIT`. In addition, `GUARANTEED_RETRIES` retries
    are allowed in each window. Callers must pass in non-decreasing times.

    :ivar extra_load_share: extra attempts allowed, as a share of first attempts.
    """

    extra_load_share: float
    _tokens: float = field(default=0.0, init=False)
    _buckets: deque[_Bucket] = field(factory=deque, init=False)
    _first_attempt_count: int = field(default=0, init=False)
    _extra_count: int = field(default=0, init=False)

    def record_first_attempts(self, count: int, *, now_seconds: float) -> None:
        """Record `count` first attempts of sub-requests, sent at `now_seconds`."""
        self._bucket_at(now_seconds).first_attempt_count += count
        self._first_attempt_count += count
        self._tokens = min(BURST_LIMIT, self._tokens + count * self.extra_load_share)

    def take(self, *, now_seconds: float, reserve: float = 0.0) -> bool:
        """
        Take one extra attempt from the budget, if it allows one.

        :param reserve: tokens that must be left; hedges leave `HEDGE_RESERVE` for
            retries of failed sub-requests.
        :return: whether the extra attempt may be sent.
        """
        bucket = self._bucket_at(now_seconds)
        allowed = (
            self._first_attempts_in_window() * self.extra_load_share
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
        Take one of the few retries that are allowed regardless of the share.

        Without them, a service with little traffic could not retry at all. They count
        as extra attempts, so fewer hedges are sent in return.

        :return: whether the retry may be sent.
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
            self._first_attempt_count -= expired.first_attempt_count
            self._extra_count -= expired.extra_count
        if not self._buckets or self._buckets[-1].number < number:
            self._buckets.append(_Bucket(number=number))
        return self._buckets[-1]

    def _first_attempts_in_window(self) -> int:
        """Count the first attempts that are certainly within the window."""
        oldest = self._buckets[0]
        if oldest.number == self._buckets[-1].number - _BUCKETS:
            return self._first_attempt_count - oldest.first_attempt_count
        return self._first_attempt_count
