"""Latency and failure rate of replicas, as measured by this instance."""

import math
from typing import Final

from attrs import define, field

from bronzebeam.routing.reported_load import UsualLoad

SLOWER_STEP: Final = 1.2  # three late replies in a row move traffic elsewhere
FASTER_STEP: Final = 0.94
# The next two are relative to the current factor. A replica that is still as slow as
# its factor sends no reply faster than the first; up to the second, slower replies are
# ordinary variation.
RESET_RATIO: Final = 0.5
ORDINARY_RATIO: Final = 1.3
MAX_PAUSE_MS: Final = 200.0  # twice as long as the pauses of the users' replicas
LATE_RATIO: Final = 3.0  # a later reply shows a pause or a slow replica
PAUSE_WINDOW_SECONDS: Final = 0.12  # replies delayed by one pause arrive within this
CONFIRMED_RATIO_SHARE: Final = 0.9  # share of a confirmed ratio that is adopted
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 100.0
DECAY_SECONDS: Final = 4.0  # lets a slow replica without traffic be tried again
FAILURE_STEP: Final = 0.2  # three rejections in a row move traffic elsewhere
MIN_FAILURE_SHARE: Final = 0.01
FAILURE_DECAY_SECONDS: Final = 4.0  # lets a failing replica be tried again
TYPICAL_STEP: Final = 0.04
INITIAL_SHARE_OF_TARGET: Final = 0.1  # a reply takes about a tenth of the target
MIN_TYPICAL_MS: Final = 0.5


@define(kw_only=True, eq=False, repr=False)
class RelativeLatency:
    """
    Running median of a replica's reply time relative to its peers.

    A single pause of the replica moves a median by one step only; with an average, it
    would move the replica's traffic elsewhere for seconds.

    :ivar factor: reply time divided by the typical one, as last observed.
    """

    factor: float = 1.0
    observed_at_seconds: float = -math.inf
    _late_ratio: float = 0.0
    _late_at_seconds: float = math.inf

    def at(self, now_seconds: float) -> float:
        """Return the factor, which decays to 1 while there are no observations."""
        if self.factor == 1.0:
            return 1.0
        age_seconds = now_seconds - self.observed_at_seconds
        if age_seconds < 0.25:
            return self.factor
        # The logarithm decays, so a very slow replica is not avoided for much longer.
        return float(self.factor ** math.exp(-age_seconds / DECAY_SECONDS))

    def observe(
        self, *, latency_ms: float, typical_ms: float, now_seconds: float
    ) -> None:
        """
        Record the latency of one reply.

        A single reply that took longer than any pause proves that the replica is slow:
        if requests are long and rare, waiting for several late replies takes too long.
        So do two consecutive late replies that no single pause can have delayed.

        :param typical_ms: typical reply time of its route.
        """
        factor = self.at(now_seconds)
        ratio = latency_ms / typical_ms
        confirmed_ratio = self._confirmed_ratio(
            ratio, latency_ms - typical_ms, now_seconds
        )
        if confirmed_ratio > factor:
            factor = min(
                max(factor * SLOWER_STEP, confirmed_ratio * CONFIRMED_RATIO_SHARE),
                MAX_FACTOR,
            )
        elif ratio > factor * ORDINARY_RATIO:
            factor = min(factor * SLOWER_STEP, MAX_FACTOR)
        elif ratio < factor * RESET_RATIO:
            # A replica that is still slow gives no such replies: it has recovered.
            factor = max(math.sqrt(factor * ratio), MIN_FACTOR)
        elif ratio < factor:
            factor = max(factor * FASTER_STEP, MIN_FACTOR)
        self.factor = factor
        self.observed_at_seconds = now_seconds

    def _confirmed_ratio(
        self, ratio: float, excess_ms: float, now_seconds: float
    ) -> float:
        """Return the ratio by which the replica is certainly slower; 0 if unknown."""
        earlier_ratio, earlier_at = self._late_ratio, self._late_at_seconds
        if ratio < LATE_RATIO:
            self._late_ratio, self._late_at_seconds = 0.0, math.inf
            return 0.0
        if earlier_at == math.inf:
            self._late_ratio, self._late_at_seconds = ratio, now_seconds
        if excess_ms > MAX_PAUSE_MS:
            return ratio
        if now_seconds - earlier_at > PAUSE_WINDOW_SECONDS:
            return min(ratio, earlier_ratio)
        return 0.0


@define(kw_only=True, eq=False, repr=False)
class FailureRate:
    """
    Recent share of a replica's replies that were rejections or failures.

    :ivar share: the share as last observed, 0 to 1.
    """

    share: float = 0.0
    observed_at_seconds: float = -math.inf

    def at(self, now_seconds: float) -> float:
        """Return the share, which decays to 0 while there are no observations."""
        if self.share < MIN_FAILURE_SHARE:
            return 0.0
        age_seconds = now_seconds - self.observed_at_seconds
        return self.share * math.exp(-age_seconds / FAILURE_DECAY_SECONDS)

    def observe(self, failed: bool, now_seconds: float) -> None:
        """Record the result of one attempt."""
        if not failed and not self.share:
            return
        share = self.at(now_seconds)
        self.share = share + FAILURE_STEP * ((1.0 if failed else 0.0) - share)
        self.observed_at_seconds = now_seconds


@define(kw_only=True, eq=False, repr=False)
class TypicalLatency:
    """
    Running median of a route's reply times over all replicas.

    :ivar typical_ms: current value of the median.
    :ivar usual_load: the load at this reply time, if the replicas state it.
    """

    typical_ms: float
    usual_load: UsualLoad = field(factory=UsualLoad)

    @classmethod
    def from_target(cls, target_latency_ms: float) -> "TypicalLatency":
        """Return the estimate before the first reply."""
        return cls(
            typical_ms=max(target_latency_ms * INITIAL_SHARE_OF_TARGET, MIN_TYPICAL_MS)
        )

    def observe(self, latency_ms: float) -> None:
        """Record one reply time."""
        if latency_ms > self.typical_ms:
            self.typical_ms *= 1.0 + TYPICAL_STEP
        else:
            self.typical_ms = max(self.typical_ms * (1 - TYPICAL_STEP), MIN_TYPICAL_MS)
