"""How fast replicas answer, from first-hand reply times."""

import math
from typing import Final

from attrs import define

SLOWER_STEP: Final = 1.2  # three late replies in a row move traffic elsewhere
FASTER_STEP: Final = 0.94
RESET_RATIO: Final = 0.5  # below it lies no reply of a replica of this pace
ORDINARY_RATIO: Final = 1.3  # ratios up to here are ordinary spread
MAX_PAUSE_MS: Final = 200.0  # twice the pauses that the users' replicas make
LATE_RATIO: Final = 3.0  # a pause, or a slow replica
PAUSE_WINDOW_SECONDS: Final = (
    0.12  # replies that a pause holds up come within this time
)
CONFIRMED_RATIO_SHARE: Final = (
    0.9  # part of one reply's ratio that is taken as the pace
)
MIN_FACTOR: Final = 0.5
MAX_FACTOR: Final = 100.0
DECAY_SECONDS: Final = 4.0  # a slow replica without traffic is tried again
FAILURE_STEP: Final = 0.2  # three rejections in a row move traffic elsewhere
MIN_FAILURE_SHARE: Final = 0.01
FAILURE_DECAY_SECONDS: Final = 4.0  # as for slow replicas
TYPICAL_STEP: Final = 0.04
INITIAL_SHARE_OF_TARGET: Final = 0.1  # work takes about a tenth of the target latency
MIN_TYPICAL_MS: Final = 0.5


@define(kw_only=True, eq=False, repr=False)
class RelativeLatency:
    """
    Reply time of a replica relative to its peers, as a running median.

    A single pause of the replica moves a median by one step only, while an average
    would send its traffic elsewhere for seconds.

    :ivar factor: reply time over the typical one, when last observed.
    """

    factor: float = 1.0
    observed_at_seconds: float = -math.inf
    _late_ratio: float = 0.0
    _late_at_seconds: float = math.inf

    def at(self, now_seconds: float) -> float:
        """Return the factor, which returns to 1 while nothing is observed."""
        if self.factor == 1.0:
            return 1.0
        age_seconds = now_seconds - self.observed_at_seconds
        if age_seconds < 0.25:
            return self.factor
        # The logarithm decays, so that a very slow replica is not shunned for longer.
        return float(self.factor ** math.exp(-age_seconds / DECAY_SECONDS))

    def observe(
        self, *, latency_ms: float, typical_ms: float, now_seconds: float
    ) -> None:
        """
        Take in one reply.

        One that took longer than any pause shows a slow replica by itself: where
        requests are long and few, several would have to be late otherwise. So do two
        late ones in a row that no single pause can have held up.

        :param typical_ms: usual reply time of its route.
        """
        factor = self.at(now_seconds)
        ratio = latency_ms / typical_ms
        sure_ratio = self._confirmed_ratio(ratio, latency_ms - typical_ms, now_seconds)
        if sure_ratio > factor:
            factor = min(
                max(factor * SLOWER_STEP, sure_ratio * CONFIRMED_RATIO_SHARE),
                MAX_FACTOR,
            )
        elif ratio > factor * ORDINARY_RATIO:
            factor = min(factor * SLOWER_STEP, MAX_FACTOR)
        elif ratio < factor * RESET_RATIO:
            # A slow replica makes no such replies; what made it late is over.
            factor = max(math.sqrt(factor * ratio), MIN_FACTOR)
        elif ratio < factor:
            factor = max(factor * FASTER_STEP, MIN_FACTOR)
        self.factor = factor
        self.observed_at_seconds = now_seconds

    def _confirmed_ratio(
        self, ratio: float, excess_ms: float, now_seconds: float
    ) -> float:
        """Return by how much the replica is certainly slower; 0 if that is open."""
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
    Share of a replica's replies that were rejections or failures, lately.

    :ivar share: the share when last observed, 0 to 1.
    """

    share: float = 0.0
    observed_at_seconds: float = -math.inf

    def at(self, now_seconds: float) -> float:
        """Return the share, which returns to 0 while nothing is observed."""
        if self.share < MIN_FAILURE_SHARE:
            return 0.0
        age_seconds = now_seconds - self.observed_at_seconds
        return self.share * math.exp(-age_seconds / FAILURE_DECAY_SECONDS)

    def observe(self, failed: bool, now_seconds: float) -> None:
        """Take in the end of one attempt."""
        if not failed and not self.share:
            return
        share = self.at(now_seconds)
        self.share = share + FAILURE_STEP * ((1.0 if failed else 0.0) - share)
        self.observed_at_seconds = now_seconds


@define(kw_only=True, eq=False, repr=False)
class TypicalLatency:
    """
    Running median of a route's reply times over all replicas.

    :ivar typical_ms: the median in milliseconds.
    """

    typical_ms: float

    @classmethod
    def from_target(cls, target_latency_ms: float) -> "TypicalLatency":
        """Return the estimate before the first reply."""
        return cls(
            typical_ms=max(target_latency_ms * INITIAL_SHARE_OF_TARGET, MIN_TYPICAL_MS)
        )

    def observe(self, latency_ms: float) -> None:
        """Take in one reply time."""
        if latency_ms > self.typical_ms:
            self.typical_ms *= 1.0 + TYPICAL_STEP
        else:
            self.typical_ms = max(self.typical_ms * (1 - TYPICAL_STEP), MIN_TYPICAL_MS)
