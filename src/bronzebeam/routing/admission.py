"""Admission control: decides once per query, before its fan-out, whether it runs."""

import math
import random
from collections import deque
from enum import Enum
from typing import Final

from attrs import define, field, frozen

MIN_RETRY_AFTER_MS: Final = 50
MAX_RETRY_AFTER_MS: Final = 10_000
RETRY_JITTER_SHARE: Final = 0.5


class RejectionReason(Enum):
    """Why a query is rejected."""

    OVERLOADED = "overloaded"
    DISPLACED = "displaced"
    DEADLINE_UNREACHABLE = "deadline_unreachable"


@frozen(kw_only=True)
class Capacity:
    """
    Current capacity of a service.

    :ivar limit: queries that may run concurrently; at least 1.
    :ivar running: queries that are running.
    :ivar service_ms: high percentile of the time from a query's start to its answer.
        With the mean, many waiting queries would start too late for their deadline.
    """

    limit: int
    running: int
    service_ms: float

    def drain_ms(self, queries: int) -> float:
        """Return the time until this many queries have finished, by Little's law."""
        return queries * self.service_ms / self.limit


@frozen(kw_only=True)
class AdmissionRequest:
    """
    A query that asks for admission.

    :ivar priority: priority of its traffic class; 0 is served first.
    :ivar deadline_at_seconds: monotonic time after which an answer is useless.
    """

    query_id: str
    priority: int
    deadline_at_seconds: float


@frozen(kw_only=True)
class Rejection:
    """A query that is answered without running, and when its caller may retry."""

    query_id: str
    reason: RejectionReason
    retry_after_ms: int


@frozen(kw_only=True)
class AdmissionStep:
    """
    Decisions of one step of the queue.

    :ivar started: identifiers of the queries to run now, in order.
    :ivar rejected: queries to reject now.
    """

    started: tuple[str, ...] = ()
    rejected: tuple[Rejection, ...] = ()


@frozen(kw_only=True)
class _QueuedRequest:
    request: AdmissionRequest
    latest_start_seconds: float


@define(kw_only=True)
class _Step:
    running: int
    started: list[str] = field(factory=list)
    rejected: list[Rejection] = field(factory=list)

    def freeze(self) -> AdmissionStep:
        return AdmissionStep(started=tuple(self.started), rejected=tuple(self.rejected))


@define(kw_only=True)
class AdmissionQueue:
    """
    Bounded queue of queries for one service on one entry.

    Queries start in order of priority, and within a priority in order of arrival. A
    query waits only while its deadline can still be met; the step that finds that it
    can't be met any more reports the query as rejected.

    :ivar max_waiting: queries that may wait; when the queue is full, a query displaces
        one of lower priority. Set to about the concurrency limit, so that the wait
        stays near one service time.
    :ivar rng: source of the jitter of `retry_after_ms`.
    """

    max_waiting: int
    rng: random.Random
    _queues: dict[int, deque[_QueuedRequest]] = field(factory=dict, init=False)
    _next_expiry_seconds: float = field(default=math.inf, init=False)

    @property
    def waiting(self) -> int:
        """Number of waiting queries."""
        return sum(map(len, self._queues.values()))

    @property
    def next_expiry_seconds(self) -> float:
        """Monotonic time at which to call `advance` if nothing else happens."""
        return self._next_expiry_seconds

    def submit(
        self, request: AdmissionRequest, *, capacity: Capacity, now_seconds: float
    ) -> AdmissionStep:
        """Start, queue or reject a new query."""
        step = _Step(running=capacity.running)
        self._expire(step, capacity, now_seconds)
        self._enqueue(request, step, capacity, now_seconds)
        self._start(step, capacity)
        return step.freeze()

    def advance(self, *, capacity: Capacity, now_seconds: float) -> AdmissionStep:
        """Start and reject queries after one has finished or time has passed."""
        step = _Step(running=capacity.running)
        self._expire(step, capacity, now_seconds)
        self._start(step, capacity)
        return step.freeze()

    def cancel(self, query_id: str) -> bool:
        """Remove a query whose caller has disconnected; False if it is not queued."""
        for queue in self._queues.values():
            for queued in queue:
                if queued.request.query_id == query_id:
                    queue.remove(queued)
                    return True
        return False

    def _enqueue(
        self,
        request: AdmissionRequest,
        step: _Step,
        capacity: Capacity,
        now_seconds: float,
    ) -> None:
        remaining_ms = (request.deadline_at_seconds - now_seconds) * 1000
        ahead = self._count_waiting_up_to(request.priority)
        queries_to_finish = max(0, ahead + 1 + capacity.running - capacity.limit)
        needed_ms = capacity.drain_ms(queries_to_finish) + capacity.service_ms
        # While nothing runs, a query is admitted whatever the estimate says: only a
        # finished query can correct an estimate that is too high.
        is_probe = capacity.running == 0 and ahead == 0
        if remaining_ms <= 0 or (needed_ms > remaining_ms and not is_probe):
            self._reject(request, RejectionReason.DEADLINE_UNREACHABLE, step, capacity)
            return
        latest_start_seconds = request.deadline_at_seconds - capacity.service_ms / 1000
        queued = _QueuedRequest(
            request=request, latest_start_seconds=max(latest_start_seconds, now_seconds)
        )
        self._queues.setdefault(request.priority, deque()).append(queued)
        self._next_expiry_seconds = min(
            self._next_expiry_seconds, queued.latest_start_seconds
        )
        free = max(0, capacity.limit - capacity.running)
        if self.waiting > self.max_waiting + free:
            self._displace(request, step, capacity)

    def _displace(
        self, request: AdmissionRequest, step: _Step, capacity: Capacity
    ) -> None:
        """Reject the newest query of the lowest priority."""
        lowest = max(priority for priority, queue in self._queues.items() if queue)
        displaced = self._queues[lowest].pop().request
        reason = RejectionReason.DISPLACED
        if displaced is request:
            reason = RejectionReason.OVERLOADED
        self._reject(displaced, reason, step, capacity)

    def _start(self, step: _Step, capacity: Capacity) -> None:
        for priority in sorted(self._queues):
            queue = self._queues[priority]
            while queue and step.running < capacity.limit:
                step.started.append(queue.popleft().request.query_id)
                step.running += 1
            if not queue:
                del self._queues[priority]

    def _expire(self, step: _Step, capacity: Capacity, now_seconds: float) -> None:
        if now_seconds < self._next_expiry_seconds:
            return
        expired: list[AdmissionRequest] = []
        self._next_expiry_seconds = math.inf
        for priority, queue in self._queues.items():
            still_waiting: deque[_QueuedRequest] = deque()
            for queued in queue:
                if queued.latest_start_seconds <= now_seconds:
                    expired.append(queued.request)
                    continue
                still_waiting.append(queued)
                self._next_expiry_seconds = min(
                    self._next_expiry_seconds, queued.latest_start_seconds
                )
            self._queues[priority] = still_waiting
        for request in expired:
            self._reject(request, RejectionReason.DEADLINE_UNREACHABLE, step, capacity)

    def _reject(
        self,
        request: AdmissionRequest,
        reason: RejectionReason,
        step: _Step,
        capacity: Capacity,
    ) -> None:
        ahead = self._count_waiting_up_to(request.priority)
        retry_after_ms = retry_after(capacity, ahead=ahead, rng=self.rng)
        step.rejected.append(
            Rejection(
                query_id=request.query_id, reason=reason, retry_after_ms=retry_after_ms
            )
        )

    def _count_waiting_up_to(self, priority: int) -> int:
        return sum(
            len(queue) for other, queue in self._queues.items() if other <= priority
        )


def retry_after(capacity: Capacity, *, ahead: int, rng: random.Random) -> int:
    """
    Return the delay before a caller may retry, in milliseconds: bounded, with jitter.

    :param ahead: waiting queries that would be served first.
    """
    drain_ms = capacity.drain_ms(ahead + 1)
    jittered_ms = drain_ms * (1.0 + RETRY_JITTER_SHARE * rng.random())
    return int(min(max(jittered_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
