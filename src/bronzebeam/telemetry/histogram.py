"""Latency histograms over a sliding window, with cached quantiles."""

import math
from collections.abc import Sequence
from typing import Final

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 120_000_000
SIGNIFICANT_DIGITS: Final = 2
US_PER_MS: Final = 1_000.0
US_PER_SECOND: Final = 1_000_000.0
QUANTILE_CACHE_SECONDS: Final = 1.0
DEFAULT_WINDOW_SECONDS: Final = 30.0
DEFAULT_PERCENTILES: Final = (50.0, 90.0, 95.0, 99.0, 99.9)


class LatencyHistogram:
    """
    A histogram of latencies.

    Quantiles cover the last one to two windows, so that they soon reflect a change in
    the service. They are recomputed at most once a second. `count` and `sum_seconds`
    cover the time since the start of the process.

    :ivar count: number of recorded latencies.
    :ivar sum_seconds: sum of all recorded latencies.
    """

    def __init__(
        self,
        *,
        percentiles: Sequence[float] = DEFAULT_PERCENTILES,
        window_seconds: float = DEFAULT_WINDOW_SECONDS,
    ) -> None:
        self.count = 0
        self.sum_seconds = 0.0
        self.percentiles = tuple(percentiles)
        self._window_seconds = window_seconds
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._merged = _new_histogram()
        self._window_ends_at_seconds = -math.inf
        self._computed_at_seconds = -math.inf
        self._quantiles_seconds: dict[float, float] = {}

    def record(self, *, seconds: float) -> None:
        """Record one latency, clamped to the range from 1 us to 120 s."""
        self.count += 1
        self.sum_seconds += seconds
        value_us = round(seconds * US_PER_SECOND)
        self._current.record_value(min(max(value_us, MIN_LATENCY_US), MAX_LATENCY_US))

    def quantiles_seconds(self, *, now_seconds: float) -> dict[float, float]:
        """
        Return the latency by percentile; empty if no latency was recorded.

        :param now_seconds: monotonic time; the result is cached for a second.
        """
        if now_seconds - self._computed_at_seconds >= QUANTILE_CACHE_SECONDS:
            self._computed_at_seconds = now_seconds
            self._quantiles_seconds = self._compute()
            self._rotate(now_seconds)
        return self._quantiles_seconds

    def percentile_ms(self, percentile: float, *, now_seconds: float) -> float | None:
        """Return one of the configured percentiles; None if no latency was recorded."""
        seconds = self.quantiles_seconds(now_seconds=now_seconds).get(percentile)
        return None if seconds is None else seconds * 1_000.0

    def _compute(self) -> dict[float, float]:
        self._merged.reset()
        self._merged.add(self._previous)
        self._merged.add(self._current)
        if not self._merged.get_total_count():
            return {}
        values = self._merged.get_percentile_to_value_dict(list(self.percentiles))
        return {key: value / US_PER_SECOND for key, value in values.items()}

    def _rotate(self, now_seconds: float) -> None:
        if now_seconds < self._window_ends_at_seconds:
            return
        self._window_ends_at_seconds = now_seconds + self._window_seconds
        self._previous, self._current = self._current, self._previous
        self._current.reset()


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
