"""Limit on the work that one of many instances has in flight at shared replicas."""

import math
import random
from typing import Final

from attrs import define, field

from bronzebeam.routing.admission import Capacity
from bronzebeam.routing.overload import (
    LATE_ANSWERS_STEP,
    LATE_TARGET_SHARE,
    MAX_LATE_ANSWERS_SHARE,
    MAX_LIMIT,
    START_LIMIT,
    AdaptiveLimit,
)
from bronzebeam.units import MS_PER_SECOND

# Seventy instances at six slots for each shard have much less than one request each.
MIN_SHARED_LIMIT: Final = 0.02
MIN_SLOT_FACTOR: Final = 0.5  # times the share of the slots: too little to be late
SHARED_DECREASE_FACTOR: Final = 0.85
MIN_DECREASE_FACTOR: Final = 0.4
UNUSED_FACTOR: Final = 2.0
MAX_UNUSED_LATE_SHARE: Final = 0.31  # above what one late answer makes, with its weight
MAX_LATE_WEIGHT: Final = 2.0  # two very late answers are enough, a single one is not
# A request that waited before its start may still be in time if its replies take this
# share of its target; waits end at a quarter of it.
LATE_SERVICE_SHARE: Final = 0.8
EARLY_SERVICE_SHARE: Final = 0.45
INCREASE_PER_SECOND: Final = 3.0  # times the instance's share of the slots
CALM_FACTOR: Final = 0.5  # faster growth for each square second without a late answer
CALM_SECONDS: Final = 5.0  # an overload is over after this time without a late answer
MAX_INCREASE_SECONDS: Final = 0.5  # between two early answers
# An increase while a class is nearly late would make it late.
MAX_LATE_SHARE_FOR_INCREASE: Final = 0.15
LATE_DECAY_SECONDS: Final = 3.0
MAX_AGE_SECONDS: Final = 100.0
WORK_STEP: Final = 0.03  # weight of one request in the moving average of the work
DURATION_STEP: Final = 0.08
# After an overload, times measured during it would refuse what there is room for.
SHORTER_DURATION_STEP: Final = 0.25
MAX_RELATIVE_WORK: Final = 20.0
ROUTE_MEMORY_SECONDS: Final = 2.0  # a route without answers no longer holds the limit


@define(kw_only=True, eq=False, repr=False)
class _RouteLateness:
    late_share: float = 0.0
    duration_ms: float = 0.0
    deviation_ms: float = 0.0
    observed_at_seconds: float = -math.inf


@define(kw_only=True, eq=False, repr=False)
class SharedLimit(AdaptiveLimit):
    """
    Adaptive limit in units of work, which may be less than one request.

    Protects replicas with few slots that many instances share: there, one request in
    flight at each instance is more than can be answered in time. Each route's late
    answers count by themselves, or the few urgent ones would be late unnoticed.

    :ivar slot_share: this instance's share of the slots of a service, in requests.
    :ivar in_flight_work: work in flight, in requests of average work.
    :ivar was_short: a request found no room since the last increase. Without a
        request that could use it, a higher limit would only be an unfair share.
    :ivar mean_work_ms: moving average of the work of requests: sub-requests times
        their usual reply time.
    """

    slot_share: float = 1.0
    in_flight_work: float = 0.0
    was_short: bool = False
    mean_work_ms: float = 0.0
    _fraction: float = 0.0
    _late_at_seconds: float = 0.0
    _increased_at_seconds: float = 0.0
    _idle_at_seconds: float = -math.inf
    _last_ms: float = 0.0
    _last_work_ms: float = 0.0
    _mean_ms: float = 0.0
    _routes: dict[str, _RouteLateness] = field(factory=dict)

    def relative_work(self, work_ms: float) -> float:
        """Return the work of a request, in requests of average work."""
        if not self.mean_work_ms:
            self.mean_work_ms = work_ms
        ratio = work_ms / self.mean_work_ms
        return min(max(ratio, 1.0 / MAX_RELATIVE_WORK), MAX_RELATIVE_WORK)

    def service_ms(self, route: str, *, usual_ms: float) -> float:
        """
        Return the time that an answer takes from the start, or a little more.

        :param usual_ms: returned before the first answer.
        """
        lateness = self._routes.get(route)
        if lateness is None or not lateness.duration_ms:
            return usual_ms
        return lateness.duration_ms + lateness.deviation_ms

    def capacity(self, *, usual_ms: float) -> Capacity:
        """Return the capacity for the queue."""
        return Capacity(
            limit=self.limit,
            running=self.in_flight_work if self.in_flight else 0.0,
            service_ms=self._mean_ms or usual_ms,
            fraction=self._fraction,
            idle_at_seconds=self._idle_at_seconds,
            last_ms=self._last_ms,
            last_work_ms=self._last_work_ms,
        )

    def enter_work(self, *, work: float, work_ms: float, rng: random.Random) -> None:
        """Count a started request as in flight."""
        self.enter()
        self.in_flight_work += work
        self.mean_work_ms += WORK_STEP * (work_ms - self.mean_work_ms)
        self._fraction = rng.random()

    def leave_work(
        self, *, work: float, duration_ms: float, now_seconds: float
    ) -> None:
        """Stop counting a request that has ended."""
        self.leave()
        self.in_flight_work -= work
        if not self.in_flight:
            self.in_flight_work = 0.0  # rounding errors would add up
        self._idle_at_seconds = now_seconds
        self._last_ms = duration_ms
        self._last_work_ms = work * duration_ms
        self._mean_ms = self._mean_ms or duration_ms
        self._mean_ms += _duration_step(duration_ms, self._mean_ms)

    def observe_route(
        self,
        route: str,
        *,
        service_ms: float,
        waited_ms: float,
        remaining_ms: float,
        target_latency_ms: float,
        was_refused: bool,
        now_seconds: float,
    ) -> None:
        """
        Record an answer and adjust the limit.

        :param service_ms: time from its start until it could be answered.
        :param waited_ms: time that it waited for its start.
        :param remaining_ms: time from its arrival to its target; less than the target
            latency if its caller came back after a refusal.
        :param was_refused: replicas turned sub-requests away, so they lack room.
        """
        entry = self._routes.setdefault(route, _RouteLateness())
        late_ms = max(
            LATE_SERVICE_SHARE * target_latency_ms,
            LATE_TARGET_SHARE * remaining_ms - waited_ms,
        )
        late = was_refused or service_ms > late_ms
        # An instance with few answers would otherwise count old ones for long.
        age_seconds = min(now_seconds - entry.observed_at_seconds, MAX_AGE_SECONDS)
        entry.late_share *= math.exp(-age_seconds / LATE_DECAY_SECONDS)
        entry.observed_at_seconds = now_seconds
        lateness = service_ms / late_ms
        step = LATE_ANSWERS_STEP * min(max(lateness, 1.0), MAX_LATE_WEIGHT)
        entry.late_share += step * (late - entry.late_share)
        if not entry.duration_ms:
            entry.duration_ms = service_ms
        error_ms = service_ms - entry.duration_ms
        entry.duration_ms += _duration_step(service_ms, entry.duration_ms)
        entry.deviation_ms += DURATION_STEP * (abs(error_ms) - entry.deviation_ms)
        if late:
            self._late_at_seconds = now_seconds
            # A limit that is not used says nothing of the capacity, and would let this
            # instance take what others give up.
            if entry.late_share > MAX_UNUSED_LATE_SHARE:
                in_use = self.in_flight_work + 1.0
                self.limit = min(self.limit, UNUSED_FACTOR * in_use)
            settled_seconds = now_seconds - self._decreased_at_seconds
            settled = settled_seconds > service_ms / MS_PER_SECOND
            if settled and entry.late_share > MAX_LATE_ANSWERS_SHARE:
                # What was in flight while this one was, including itself. The replicas'
                # queues are as long as replies are late.
                factor = min(SHARED_DECREASE_FACTOR, 1.0 / lateness)
                in_use = min(self.limit, self.in_flight_work + 1.0)
                in_use *= max(factor, MIN_DECREASE_FACTOR)
                lowest = max(MIN_SHARED_LIMIT, MIN_SLOT_FACTOR * self.slot_share)
                self.limit = max(lowest, in_use)
                self._decreased_at_seconds = now_seconds
        elif service_ms < EARLY_SERVICE_SHARE * target_latency_ms:
            self._increase(now_seconds)

    def _increase(self, now_seconds: float) -> None:
        """
        Raise the limit for the time since the last increase.

        All instances raise it by the same amount in the same time, and lower it by a
        factor, so their limits approach each other.
        """
        elapsed_seconds = now_seconds - self._increased_at_seconds
        self._increased_at_seconds = now_seconds
        calm_seconds = now_seconds - self._late_at_seconds
        was_short, self.was_short = self.was_short, False
        if not was_short and (calm_seconds < CALM_SECONDS or self.limit >= START_LIMIT):
            return
        if self._worst_late_share(now_seconds) >= MAX_LATE_SHARE_FOR_INCREASE:
            return
        per_second = INCREASE_PER_SECOND * self.slot_share
        per_second *= 1.0 + CALM_FACTOR * calm_seconds**2
        step = per_second * min(elapsed_seconds, MAX_INCREASE_SECONDS)
        self.limit = min(MAX_LIMIT, self.limit + step)

    def _worst_late_share(self, now_seconds: float) -> float:
        return max(
            (
                item.late_share
                for item in self._routes.values()
                if now_seconds - item.observed_at_seconds < ROUTE_MEMORY_SECONDS
            ),
            default=0.0,
        )


def _duration_step(duration_ms: float, mean_ms: float) -> float:
    """Return the change of a moving average by one more duration."""
    step = DURATION_STEP if duration_ms > mean_ms else SHORTER_DURATION_STEP
    return step * (duration_ms - mean_ms)
