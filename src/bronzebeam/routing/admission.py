"""Admission control: decides once per query, before its fan-out, whether it runs."""

import math
import random
from copy import copy
from enum import Enum
from typing import Final

from attrs import define, field, frozen

from bronzebeam.routing.admission_order import (
    RETRY_AFTER_BOUNDS_MS,
    AdmissionOrder,
    AdmissionRequest,
    ArrivalOrder,
    Urgency,
    WaitingRequest,
)
from bronzebeam.units import MS_PER_SECOND

__all__ = [
    "AdmissionQueue",
    "AdmissionRequest",
    "AdmissionStep",
    "Capacity",
    "Rejection",
    "RejectionReason",
    "retry_after",
]

MAX_RETRY_AFTER_MS: Final = 10_000
MAX_PAUSE_MS: Final = 2_000.0
RETRY_JITTER_SHARE: Final = 0.5


class RejectionReason(Enum):
    """Why a query is rejected."""

    OVERLOADED = "overloaded"
    DISPLACED = "displaced"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    WAITED_TOO_LONG = "waited_too_long"


@frozen(kw_only=True)
class Capacity:
    """
    Current capacity of a service.

    Work is counted in queries of average work, so where all are alike it is their
    number.

    :ivar limit: work that may run concurrently; at least 1 unless `pause` is used.
    :ivar running: work that is running.
    :ivar service_ms: high percentile of the time from a query's start to its answer.
        With the mean, many waiting queries would start too late for their deadline.
    :ivar fraction: share (0 to 1) of a query's work that has to fit below the limit.
        Drawn at random for each start, it makes the work that runs equal to a limit
        that is no whole number of queries. With 0 the last query may exceed the limit.
    :ivar idle_at_seconds: monotonic time at which the last query ended.
    :ivar last_work_ms: duration of that query, times its work.
    :ivar last_ms: duration of that query.
    """

    limit: float
    running: float
    service_ms: float
    fraction: float = 0.0
    idle_at_seconds: float = -math.inf
    last_work_ms: float = 0.0
    last_ms: float = 0.0

    def drain_ms(self, work: float) -> float:
        """Return the time until this much work has finished, by Little's law."""
        return work * self.service_ms / self.limit

    def has_room(
        self, request: AdmissionRequest, *, running: float, now_seconds: float
    ) -> bool:
        """Whether the query may start beside the work that runs."""
        if running <= 0.0:
            return now_seconds >= self.opens_at_seconds(request)
        limit = self.limit * request.limit_share
        return running + self.fraction * request.work < limit

    def opens_at_seconds(self, request: AdmissionRequest) -> float:
        """
        Return when a query may start while nothing runs.

        A limit below the work of one query is kept by a pause after each query, as long
        as makes the work in flight equal to the limit on average.
        """
        limit = self.limit * request.limit_share
        pause_ms = max(0.0, self.last_work_ms / limit - self.last_ms)
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        # Random, so that instances do not fall in step; the average is the pause.
        return self.idle_at_seconds + (0.5 + self.fraction) * pause_ms / MS_PER_SECOND


@frozen(kw_only=True)
class Rejection:
    """A query that is answered without running, and when its caller may retry."""

    query_id: str
    reason: RejectionReason
    retry_after_ms: int
    rank: int = 0


@frozen(kw_only=True)
class AdmissionStep:
    """
    Decisions of one step of the queue.

    :ivar started: identifiers of the queries to run now, in order.
    :ivar rejected: queries to reject now.
    """

    started: tuple[str, ...] = ()
    rejected: tuple[Rejection, ...] = ()


@define(kw_only=True)
class _Step:
    capacity: Capacity
    now_seconds: float
    running: float
    started: list[str] = field(factory=list)
    rejected: list[Rejection] = field(factory=list)

    def has_room(self, request: AdmissionRequest) -> bool:
        return self.capacity.has_room(
            request, running=self.running, now_seconds=self.now_seconds
        )

    def freeze(self) -> AdmissionStep:
        return AdmissionStep(started=tuple(self.started), rejected=tuple(self.rejected))


@define(kw_only=True)
class AdmissionQueue:
    """
    Bounded queue of queries for one service, or one set of services, on one instance.

    Queries start in the order of their urgency, and within an urgency as `order` says.
    A query waits only while its deadline can still be met and no longer than it may
    wait; the step that finds otherwise reports the query as rejected.

    Protects against the load at which more is asked for than can be answered in time:
    what is served late or not at all is then what comes last in the order.

    :ivar max_waiting: queries that may wait; when the queue is full, a query displaces
        the last one in the order. Set to about the concurrency limit, so that the wait
        stays near one service time.
    :ivar rng: source of the jitter of `retry_after_ms`.
    """

    max_waiting: int
    rng: random.Random
    order: AdmissionOrder = field(factory=ArrivalOrder)
    _queues: dict[Urgency, dict[str, WaitingRequest]] = field(factory=dict, init=False)
    _next_expiry_seconds: float = field(default=math.inf, init=False)
    _arrival_count: int = field(default=0, init=False)

    @property
    def waiting(self) -> int:
        """Number of waiting queries."""
        return sum(map(len, self._queues.values()))

    @property
    def next_expiry_seconds(self) -> float:
        """Monotonic time at which to call `advance` if nothing else happens."""
        return self._next_expiry_seconds

    def waiting_counts(self) -> dict[Urgency, int]:
        """Return how many queries of each urgency wait, the most urgent first."""
        return {name: len(self._queues[name]) for name in sorted(self._queues)}

    def copy(self, *, order: AdmissionOrder, rng: random.Random) -> "AdmissionQueue":
        """Return a copy with another order and random source."""
        other = copy(self)
        other.order, other.rng = order, rng
        other._queues = {name: dict(queue) for name, queue in self._queues.items()}
        return other

    def next_step_seconds(self, capacity: Capacity) -> float:
        """Return when to call `advance` if the limit may be below one query."""
        if capacity.running > 0.0:
            return self._next_expiry_seconds
        urgencies = [urgency for urgency, queue in self._queues.items() if queue]
        if not urgencies:
            return math.inf
        first = self.order.first(self._queues[min(urgencies)].values())
        opens_at_seconds = capacity.opens_at_seconds(first.request)
        return min(self._next_expiry_seconds, opens_at_seconds)

    def submit(
        self, request: AdmissionRequest, *, capacity: Capacity, now_seconds: float
    ) -> AdmissionStep:
        """Start, queue or reject a new query."""
        step = self._begin(capacity, now_seconds)
        self._enqueue(request, step)
        self._start(step)
        return step.freeze()

    def advance(self, *, capacity: Capacity, now_seconds: float) -> AdmissionStep:
        """Start and reject queries after one has finished or time has passed."""
        step = self._begin(capacity, now_seconds)
        self._start(step)
        return step.freeze()

    def cancel(self, query_id: str) -> bool:
        """Remove a query whose caller has disconnected; False if it is not queued."""
        return any(
            queue.pop(query_id, None) is not None for queue in self._queues.values()
        )

    def _begin(self, capacity: Capacity, now_seconds: float) -> _Step:
        step = _Step(
            capacity=capacity, now_seconds=now_seconds, running=capacity.running
        )
        self._expire(step)
        return step

    def _enqueue(self, request: AdmissionRequest, step: _Step) -> None:
        self._arrival_count += 1
        queued = WaitingRequest(request=request, number=self._arrival_count)
        ahead = self._work_ahead(queued)
        if not self._can_wait(queued, ahead, step):
            self._reject(queued, RejectionReason.DEADLINE_UNREACHABLE, step)
            return
        if not self._queues and step.has_room(request):
            step.started.append(request.query_id)
            step.running += request.work
            return
        service_ms = request.service_ms or step.capacity.service_ms
        latest_start_seconds = request.deadline_at_seconds - service_ms / MS_PER_SECOND
        queued.latest_start_seconds = max(latest_start_seconds, step.now_seconds)
        self._queues.setdefault(request.urgency, {})[request.query_id] = queued
        self._next_expiry_seconds = min(
            self._next_expiry_seconds, queued.expires_at_seconds
        )
        free = round(max(0.0, step.capacity.limit - step.capacity.running))
        if self.waiting > self.max_waiting + free and not (
            request.may_be_late and not ahead and step.has_room(request)
        ):
            self._displace(request, step)

    def _can_wait(self, queued: WaitingRequest, ahead: float, step: _Step) -> bool:
        """Whether the query can start, and be answered, in time."""
        request, capacity = queued.request, step.capacity
        if request.may_be_late and not ahead and step.has_room(request):
            return True
        remaining_ms = (request.deadline_at_seconds - step.now_seconds) * MS_PER_SECOND
        limit = capacity.limit * min(1.0, request.limit_share)
        work_to_finish = ahead + request.work + capacity.running - limit
        wait_ms = capacity.drain_ms(max(0.0, work_to_finish))
        if request.limit_share < 1.0 and capacity.running <= 0.0:
            opens_at_seconds = capacity.opens_at_seconds(request)
            closed_seconds = opens_at_seconds - step.now_seconds
            wait_ms = max(wait_ms, closed_seconds * MS_PER_SECOND)
        needed_ms = wait_ms + (request.service_ms or capacity.service_ms)
        # While nothing runs, a query is admitted whatever the estimate says: only a
        # finished query can correct an estimate that is too high.
        is_probe = capacity.running == 0 and ahead == 0 and not request.may_be_late
        if remaining_ms <= 0 or (needed_ms > remaining_ms and not is_probe):
            return False
        allowed_ms = (request.expires_at_seconds - step.now_seconds) * MS_PER_SECOND
        return wait_ms < allowed_ms

    def _displace(self, request: AdmissionRequest, step: _Step) -> None:
        """Reject the last query in the order."""
        lowest = max(urgency for urgency, queue in self._queues.items() if queue)
        queue = self._queues[lowest]
        displaced = self.order.last(queue.values())
        del queue[displaced.request.query_id]
        reason = RejectionReason.DISPLACED
        if displaced.request is request:
            reason = RejectionReason.OVERLOADED
        self._reject(displaced, reason, step)

    def _start(self, step: _Step) -> None:
        for urgency in sorted(self._queues):
            queue = self._queues[urgency]
            while queue:
                first = self.order.first(queue.values()).request
                if not step.has_room(first):
                    # Less urgent queries wait too, or they would be served better.
                    return
                del queue[first.query_id]
                step.started.append(first.query_id)
                step.running += first.work
            del self._queues[urgency]

    def _expire(self, step: _Step) -> None:
        if step.now_seconds < self._next_expiry_seconds:
            return
        expired: list[WaitingRequest] = []
        self._next_expiry_seconds = math.inf
        for queue in self._queues.values():
            for queued in list(queue.values()):
                if queued.expires_at_seconds <= step.now_seconds:
                    expired.append(queued)
                    del queue[queued.request.query_id]
                    continue
                self._next_expiry_seconds = min(
                    self._next_expiry_seconds, queued.expires_at_seconds
                )
        for queued in expired:
            reason = RejectionReason.DEADLINE_UNREACHABLE
            if queued.latest_start_seconds > step.now_seconds:
                reason = RejectionReason.WAITED_TOO_LONG
            self._reject(queued, reason, step)

    def _reject(
        self, queued: WaitingRequest, reason: RejectionReason, step: _Step
    ) -> None:
        ahead = self._work_ahead(queued)
        step.rejected.append(
            Rejection(
                query_id=queued.request.query_id,
                reason=reason,
                retry_after_ms=retry_after(
                    step.capacity,
                    ahead=ahead,
                    rng=self.rng,
                    bounds_ms=queued.request.retry_bounds_ms,
                ),
                rank=self._count_ahead(queued),
            )
        )

    def _work_ahead(self, queued: WaitingRequest) -> float:
        """Return the work of the waiting queries that would start before this one."""
        urgency = queued.request.urgency
        work = 0.0
        if not self._queues:
            return 0.0
        for other, queue in self._queues.items():
            if other < urgency:
                work += sum(item.request.work for item in queue.values())
            elif other == urgency:
                work += self.order.work_ahead(queue.values(), queued)
        return work

    def _count_ahead(self, queued: WaitingRequest) -> int:
        urgency = queued.request.urgency
        return sum(
            len(queue) for other, queue in self._queues.items() if other <= urgency
        )


def retry_after(
    capacity: Capacity,
    *,
    ahead: float,
    rng: random.Random,
    bounds_ms: tuple[float, float] = RETRY_AFTER_BOUNDS_MS,
) -> int:
    """
    Return the delay before a caller may retry, in milliseconds: bounded, with jitter.

    :param ahead: work of the waiting queries that would be served first.
    :param bounds_ms: least delay with jitter, and longest delay without.
    """
    shortest_ms, longest_ms = bounds_ms
    drain_ms = min(capacity.drain_ms(ahead + 1), longest_ms)
    jittered_ms = drain_ms * (1.0 + RETRY_JITTER_SHARE * rng.random())
    return int(min(max(jittered_ms, shortest_ms), MAX_RETRY_AFTER_MS))
