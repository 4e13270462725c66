"""When a search answers: the service's coverage policy against the clock."""

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
# A timer that fires a rounding error early must not find its time still ahead.
TIMER_ROUNDING_SECONDS: Final = 1e-6


@frozen(kw_only=True)
class SearchTiming:
    """The coverage policy of one search on the event loop's clock."""

    request: CallerRequest
    clock: Clock

    @property
    def has_time_left(self) -> bool:
        """Whether there is time left before the deadline, less the merging."""
        return self._elapsed_ms() < self._deadline_ms()

    def decide(self, progress: ShardProgress) -> CoverageDecision:
        """Decide whether to wait for more shards or to answer now."""
        return decide_coverage(
            self.request.service.coverage,
            progress,
            elapsed_ms=self._elapsed_ms(),
            deadline_ms=self._deadline_ms(),
        )

    def next_decision_at_seconds(self) -> float:
        """Return when the decision may change without a reply."""
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
