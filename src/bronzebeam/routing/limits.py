"""Adaptive limit of the queries that one entry runs concurrently for a service."""

from typing import Final

from attrs import evolve, field, frozen

DECREASE_FACTOR: Final = 0.8
INCREASE_STEP: Final = 1.0
# Share of the distance to a higher latency by which the baseline rises per window.
BASELINE_DRIFT: Final = 0.002
LATENCY_TOLERANCE: Final = 2.0
SHED_TOLERANCE_SHARE: Final = 0.02
MIN_USED_SHARE: Final = 0.8
WINDOW_SAMPLES: Final = 20
WINDOW_SECONDS: Final = 0.1


@frozen(kw_only=True)
class QuerySample:
    """
    Measurements of a finished query, as a sample of the load on its service.

    :ivar latency_ms: median over its sub-requests. With the slowest, one slow shard
        would lower the limit, although running fewer queries does not speed it up.
    :ivar sub_requests: number of sub-requests that were sent.
    :ivar shed: how many of them were shed by backend servers.
    :ivar running: queries of the service running on this entry, this one included.
    """

    latency_ms: float
    sub_requests: int
    shed: int
    running: int


@frozen(kw_only=True)
class LimitBounds:
    """Smallest and largest limit; `minimum` is at least 1."""

    minimum: int
    maximum: int


@frozen(kw_only=True)
class _Window:
    started_at_seconds: float
    samples: int = 0
    latency_sum_ms: float = 0.0
    sub_requests: int = 0
    shed: int = 0
    max_running: int = 0

    def add(self, sample: QuerySample) -> "_Window":
        return _Window(
            started_at_seconds=self.started_at_seconds,
            samples=self.samples + 1,
            latency_sum_ms=self.latency_sum_ms + sample.latency_ms,
            sub_requests=self.sub_requests + sample.sub_requests,
            shed=self.shed + sample.shed,
            max_running=max(self.max_running, sample.running),
        )

    def is_full(self, now_seconds: float) -> bool:
        age_seconds = now_seconds - self.started_at_seconds
        return self.samples >= WINDOW_SAMPLES and age_seconds >= WINDOW_SECONDS


@frozen(kw_only=True)
class ConcurrencyLimit:
    """
    Limit with additive increase and multiplicative decrease (AIMD).

    It changes once per window of samples. It decreases if backend servers shed load or
    the mean latency exceeds `LATENCY_TOLERANCE` times the baseline, and increases only
    if it was nearly reached.

    :ivar value: the limit before rounding.
    :ivar baseline_ms: latency without queueing; follows a lower latency at once and a
        higher one slowly.
    """

    bounds: LimitBounds
    value: float
    baseline_ms: float | None = None
    window: _Window | None = field(default=None, repr=False)

    @property
    def limit(self) -> int:
        """Number of queries that may run concurrently."""
        return int(self.value)

    def observe(self, sample: QuerySample, *, now_seconds: float) -> "ConcurrencyLimit":
        """Return the limit after one more finished query."""
        window = self.window or _Window(started_at_seconds=now_seconds)
        window = window.add(sample)
        if not window.is_full(now_seconds):
            return evolve(self, window=window)
        mean_ms = window.latency_sum_ms / window.samples
        baseline_ms = self._next_baseline(mean_ms)
        return evolve(
            self,
            value=self._next_value(window, mean_ms, baseline_ms),
            baseline_ms=baseline_ms,
            window=None,
        )

    def _next_baseline(self, mean_ms: float) -> float:
        if self.baseline_ms is None or mean_ms <= self.baseline_ms:
            return mean_ms
        return self.baseline_ms + BASELINE_DRIFT * (mean_ms - self.baseline_ms)

    def _next_value(self, window: _Window, mean_ms: float, baseline_ms: float) -> float:
        shedding = window.shed > SHED_TOLERANCE_SHARE * window.sub_requests
        if shedding or mean_ms > LATENCY_TOLERANCE * baseline_ms:
            return max(float(self.bounds.minimum), self.value * DECREASE_FACTOR)
        if window.max_running >= MIN_USED_SHARE * self.limit:
            return min(float(self.bounds.maximum), self.value + INCREASE_STEP)
        return self.value
