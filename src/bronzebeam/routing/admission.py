"""Admission of queries, decided once for each before its fan-out."""

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
    """Why a query is not run."""

    OVERLOADED = "overloaded"
    DISPLACED = "displaced"
    DEADLINE_UNREACHABLE = "deadline_unreachable"


@frozen(kw_only=True)
class Capacity:
    """
    What a service can take at the moment.

    :ivar limit: queries that may run at a time; at least 1.
    :ivar running: queries that run.
    :ivar service_ms: time of a query from its start to its answer, as a high
        percentile: with the mean, many that wait would start too late.
    """

    limit: int
    running: int
    service_ms: float

    def drain_ms(self, queries: int) -> float:
        """Return the time in which as many queries finish, by Little's law."""
        return queries * self.service_ms / self.limit


@frozen(kw_only=True)
class Arrival:
    """
    A query that asks for admission.

    :ivar priority: that of its class of work; 0 is served first.
    :ivar deadline_at_seconds: monotonic time after which an answer is useless.
    """

    query_id: str
    priority: int
    deadline_at_seconds: float


@frozen(kw_only=True)
class Rejection:
    """A query that gets its final answer now, and when its caller may come back."""

    query_id: str
    reason: RejectionReason
    retry_after_ms: int


@frozen(kw_only=True)
class AdmissionStep:
    """
    What one step decided.

    :ivar started: identifiers of the queries to run now, in order.
    :ivar given_up: queries to answer now.
    """

    started: tuple[str, ...] = ()
    rejected: tuple[Rejection, ...] = ()


@frozen(kw_only=True)
class _Waiting:
    arrival: Arrival
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

    Higher classes go first, within a class the oldest. A query waits only while its
    deadline can still be met; whatever is given up on is in the step that finds so.

    :ivar most_waiting: queries that may wait; a higher class displaces a lower one.
        About the concurrency limit, so that the wait stays near one service time.
    :ivar rng: source of the jitter of `retry_after_ms`.
    """

    max_waiting: int
    rng: random.Random
    _classes: dict[int, deque[_Waiting]] = field(factory=dict, init=False)
    _next_expiry_seconds: float = field(default=math.inf, init=False)

    @property
    def waiting(self) -> int:
        """Number of queries that wait."""
        return sum(map(len, self._classes.values()))

    @property
    def next_expiry_seconds(self) -> float:
        """Monotonic time at which `advance` is due if nothing else happens."""
        return self._next_expiry_seconds

    def submit(
        self, arrival: Arrival, *, capacity: Capacity, now_seconds: float
    ) -> AdmissionStep:
        """Start, queue or give up on a query that has arrived."""
        step = _Step(running=capacity.running)
        self._expire(step, capacity, now_seconds)
        self._enqueue(arrival, step, capacity, now_seconds)
        self._start(step, capacity)
        return step.freeze()

    def advance(self, *, capacity: Capacity, now_seconds: float) -> AdmissionStep:
        """Start and give up on queries after one finished or the time has passed."""
        step = _Step(running=capacity.running)
        self._expire(step, capacity, now_seconds)
        self._start(step, capacity)
        return step.freeze()

    def cancel(self, query_id: str) -> bool:
        """Remove a query whose caller has gone; False if it does not wait."""
        for queue in self._classes.values():
            for waiting in queue:
                if waiting.arrival.query_id == query_id:
                    queue.remove(waiting)
                    return True
        return False

    def _enqueue(
        self, arrival: Arrival, step: _Step, capacity: Capacity, now_seconds: float
    ) -> None:
        remaining_ms = (arrival.deadline_at_seconds - now_seconds) * 1000
        ahead = self._waiting_up_to(arrival.priority)
        must_finish = max(0, ahead + 1 + capacity.running - capacity.limit)
        needed_ms = capacity.drain_ms(must_finish) + capacity.service_ms
        # With nothing running a query is tried whatever the estimate says, since
        # only a finished query can correct an estimate that is too high.
        is_probe = capacity.running == 0 and ahead == 0
        if remaining_ms <= 0 or (needed_ms > remaining_ms and not is_probe):
            self._reject(arrival, RejectionReason.DEADLINE_UNREACHABLE, step, capacity)
            return
        latest = arrival.deadline_at_seconds - capacity.service_ms / 1000
        waiting = _Waiting(
            arrival=arrival, latest_start_seconds=max(latest, now_seconds)
        )
        self._classes.setdefault(arrival.priority, deque()).append(waiting)
        self._next_expiry_seconds = min(
            self._next_expiry_seconds, waiting.latest_start_seconds
        )
        free = max(0, capacity.limit - capacity.running)
        if self.waiting > self.max_waiting + free:
            self._displace(arrival, step, capacity)

    def _displace(self, arrival: Arrival, step: _Step, capacity: Capacity) -> None:
        """Give up on the newest query of the lowest class."""
        lowest = max(priority for priority, queue in self._classes.items() if queue)
        displaced = self._classes[lowest].pop().arrival
        reason = RejectionReason.DISPLACED
        if displaced is arrival:
            reason = RejectionReason.OVERLOADED
        self._reject(displaced, reason, step, capacity)

    def _start(self, step: _Step, capacity: Capacity) -> None:
        for priority in sorted(self._classes):
            queue = self._classes[priority]
            while queue and step.running < capacity.limit:
                step.started.append(queue.popleft().arrival.query_id)
                step.running += 1
            if not queue:
                del self._classes[priority]

    def _expire(self, step: _Step, capacity: Capacity, now_seconds: float) -> None:
        if now_seconds < self._next_expiry_seconds:
            return
        expired: list[Arrival] = []
        self._next_expiry_seconds = math.inf
        for priority, queue in self._classes.items():
            still_waiting: deque[_Waiting] = deque()
            for waiting in queue:
                if waiting.latest_start_seconds <= now_seconds:
                    expired.append(waiting.arrival)
                    continue
                still_waiting.append(waiting)
                self._next_expiry_seconds = min(
                    self._next_expiry_seconds, waiting.latest_start_seconds
                )
            self._classes[priority] = still_waiting
        for arrival in expired:
            self._reject(arrival, RejectionReason.DEADLINE_UNREACHABLE, step, capacity)

    def _reject(
        self, arrival: Arrival, reason: RejectionReason, step: _Step, capacity: Capacity
    ) -> None:
        ahead = self._waiting_up_to(arrival.priority)
        retry_after_ms = retry_after(capacity, ahead=ahead, rng=self.rng)
        step.rejected.append(
            Rejection(
                query_id=arrival.query_id, reason=reason, retry_after_ms=retry_after_ms
            )
        )

    def _waiting_up_to(self, priority: int) -> int:
        return sum(
            len(queue) for other, queue in self._classes.items() if other <= priority
        )


def retry_after(capacity: Capacity, *, ahead: int, rng: random.Random) -> int:
    """
    Return when a caller may come back, in milliseconds: bounded, with jitter.

    :param ahead: queries that wait and would go first.
    """
    drain_ms = capacity.drain_ms(ahead + 1)
    jittered_ms = drain_ms * (1.0 + RETRY_JITTER_SHARE * rng.random())
    return int(min(max(jittered_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))
