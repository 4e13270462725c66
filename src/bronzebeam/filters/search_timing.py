"""Timing of a search's answer, from the service's coverage policy and the deadline."""

from typing import Final

from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.routing.coverage import (
    CoverageDecision,
    ShardProgress,
    decide_coverage,
    next_decision_ms,
)
from bronzebeam.units import MS_PER_SECOND

MERGE_MARGIN_SECONDS: Final = 0.005
# Compensates for timers that fire early by a rounding error.
TIMER_ROUNDING_SECONDS: Final = 1e-6


@frozen(kw_only=True)
class SearchTiming:
    """Applies the coverage policy to one search, using the event loop's clock."""

    request: CallerRequest
    clock: Clock

    @property
    def has_time_left(self) -> bool:
        """Whether the deadline, less the time to merge the replies, is still ahead."""
        return self._elapsed_ms() < self._deadline_ms()

    def decide(self, progress: ShardProgress) -> CoverageDecision:
        """Decide whether to wait for more shards or answer now."""
        return decide_coverage(
            self.request.service.coverage,
            progress,
            elapsed_ms=self._elapsed_ms(),
            deadline_ms=self._deadline_ms(),
        )

    def next_decision_at_seconds(self) -> float:
        """Return when the decision may change even if no reply arrives."""
        decision_ms = next_decision_ms(
            self.request.service.coverage,
            elapsed_ms=self._elapsed_ms(),
            deadline_ms=self._deadline_ms(),
        )
        return self.request.arrived_at_seconds + decision_ms / MS_PER_SECOND

    def _elapsed_ms(self) -> float:
        now = self.clock.monotonic_seconds()
        elapsed_seconds = now - self.request.arrived_at_seconds + TIMER_ROUNDING_SECONDS
        return elapsed_seconds * MS_PER_SECOND

    def _deadline_ms(self) -> float:
        request = self.request
        allowed_seconds = request.deadline_at_seconds - request.arrived_at_seconds
        return (allowed_seconds - MERGE_MARGIN_SECONDS) * MS_PER_SECOND
