"""Play of instances that share replicas, for tests of admission; without a network."""

import heapq
import random
import statistics
from collections import deque
from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

from attrs import define, field

from bronzebeam.routing.overload import AdaptiveLimit
from bronzebeam.routing.retry_delay import retry_after_seconds
from bronzebeam.routing.shared_admission import Demand, SharedAdmission

SLOTS = 6  # three replicas of two slots for each shard
SHARDS = 6  # played of 90; the requests of one replica are fewer in the same ratio
MAX_TRIES = 4
RETURN_DETECTION_SECONDS = 0.015


@define(kw_only=True, frozen=True)
class CallerClass:
    """
    Requests of one kind from one account.

    :ivar rate_per_second: over all instances, by time.
    """

    name: str
    account: str
    priority: int
    work_ms: float
    target_ms: float
    rate_per_second: Callable[[float], float]
    is_single: bool = False


@define(kw_only=True, eq=False)
class Call:
    """One request of a caller, with all its attempts."""

    kind: CallerClass
    asked_at: float
    tries: int = 0
    refusals: int = 0
    answered_at: float | None = None
    waited: float = 0.0
    submitted_at: float = 0.0
    started_at: float = 0.0
    open_count: int = 0

    @property
    def in_target(self) -> bool:
        limit = self.asked_at + self.kind.target_ms / 1e3
        return self.answered_at is not None and self.answered_at <= limit


class PlainRefusal:
    """Admission without a queue, as it is where there are no accounts."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.limit = AdaptiveLimit()
        self.next_step_seconds = float("inf")

    def try_start(self, call: Call) -> bool:
        is_retry = call.tries > 1
        if not self.limit.should_admit(
            rank=call.kind.priority, is_retry=is_retry, rng=self.rng
        ):
            return False
        self.limit.enter()
        return True


Policy = Callable[[random.Random], Any]


@define(kw_only=True, eq=False)
class Play:
    """
    Events of callers, instances and replicas in order of time.

    :ivar calls: all calls so far.
    :ivar busy_seconds: time that slots have worked.
    :ivar queued: samples of the length of the replicas' queues, over all shards.
    """

    classes: Sequence[CallerClass]
    instance_count: int
    policy: Policy
    seed: int = 1
    now: float = 0.0
    calls: list[Call] = field(factory=list)
    busy_seconds: float = 0.0
    queued: list[int] = field(factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: "count[int]" = field(factory=count)
    _by_id: dict[str, Call] = field(factory=dict)
    rng: random.Random = field(init=False)
    instances: list[Any] = field(init=False)
    _free: list[int] = field(init=False)
    _queues: list["deque[tuple[Call, str, int]]"] = field(init=False)
    _timers: dict[int, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.instances = [
            self.policy(random.Random(1_000 * self.seed + number))
            for number in range(self.instance_count)
        ]
        for instance in self.instances:
            if not isinstance(instance, PlainRefusal):
                instance.limit.slot_share = SLOTS / self.instance_count
        self._free = [SLOTS] * SHARDS
        self._queues = [deque() for _ in range(SHARDS)]

    def run(self, seconds: float) -> "Play":
        for kind in self.classes:
            self._schedule_call(kind)
        self.at(0.0, self._sample)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = seconds
        return self

    def at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def _sample(self) -> None:
        self.queued.append(sum(map(len, self._queues)))
        self.at(self.now + 0.01, self._sample)

    def _schedule_call(self, kind: CallerClass) -> None:
        # Thinned from the highest rate, so that rates may change at any time.
        rate = max(kind.rate_per_second(0.5 * step) for step in range(60))
        wait = self.rng.expovariate(rate)

        def arrive() -> None:
            self._schedule_call(kind)
            if self.rng.random() * rate < kind.rate_per_second(self.now):
                call = Call(kind=kind, asked_at=self.now)
                self.calls.append(call)
                self._submit(call)

        self.at(self.now + wait, arrive)

    def _submit(self, call: Call) -> None:
        call.tries += 1
        call.submitted_at = self.now
        number = self.rng.randrange(self.instance_count)
        instance = self.instances[number]
        name = f"{number}-{next(self._numbers)}"
        self._by_id[name] = call
        if isinstance(instance, PlainRefusal):
            if instance.try_start(call):
                self._start(name)
            else:
                delay = retry_after_seconds(
                    target_latency_ms=call.kind.target_ms, rng=self.rng
                )
                self._refuse(name, delay)
            return
        kind = call.kind
        target_at = call.asked_at + kind.target_ms / 1e3
        is_late = target_at < self.now + 3e-3 * kind.work_ms
        if is_late:
            target_at = self.now + kind.target_ms / 1e3  # as for a new request
        demand = Demand(
            request_id=name,
            route=kind.name,
            account=kind.account,
            priority=kind.priority,
            route_priority=kind.priority,
            rank=kind.priority,
            is_return=self.now - call.asked_at > RETURN_DETECTION_SECONDS,
            is_late=is_late,
            arrived_at_seconds=self.now,
            target_at_seconds=target_at,
            target_latency_ms=kind.target_ms,
            work_ms=kind.work_ms * (1 if kind.is_single else SHARDS),
            usual_ms=3.0 * kind.work_ms,
        )
        self._apply(number, instance.submit(demand, now_seconds=self.now))

    def _apply(self, number: int, step: Any) -> None:
        for name in step.started:
            self._start(name)
        for item in step.rejected:
            self._refuse(item.query_id, item.retry_after_ms / 1e3)
        when = self.instances[number].next_step_seconds
        if when != float("inf") and self._timers.get(number, 1e9) > when:
            self._timers[number] = when
            self.at(max(when, self.now), lambda: self._on_timer(number, when))

    def _on_timer(self, number: int, when: float) -> None:
        if self._timers.get(number) == when:
            del self._timers[number]
            step = self.instances[number].advance(now_seconds=self.now + 1e-9)
            self._apply(number, step)

    def _refuse(self, name: str, delay_seconds: float) -> None:
        call = self._by_id.pop(name)
        call.refusals += 1
        call.waited += self.now - call.submitted_at
        if call.tries < MAX_TRIES:
            self.at(self.now + delay_seconds, lambda: self._submit(call))

    def _start(self, name: str) -> None:
        call = self._by_id[name]
        call.started_at = self.now
        call.waited += self.now - call.submitted_at
        shards = range(SHARDS)
        if call.kind.is_single:
            shards = range(first := self.rng.randrange(SHARDS), first + 1)
        call.open_count = len(shards)
        for shard in shards:
            if self._free[shard]:
                self._work(call, name, shard)
            else:
                self._queues[shard].append((call, name, shard))

    def _work(self, call: Call, name: str, shard: int) -> None:
        self._free[shard] -= 1
        seconds = call.kind.work_ms / 1e3 * self.rng.uniform(0.8, 1.2)
        self.busy_seconds += seconds
        self.at(self.now + seconds, lambda: self._on_worked(call, name, shard))

    def _on_worked(self, call: Call, name: str, shard: int) -> None:
        self._free[shard] += 1
        if self._queues[shard]:
            self._work(*self._queues[shard].popleft())
        call.open_count -= 1
        if not call.open_count:
            self._answer(call, name)

    def _answer(self, call: Call, name: str) -> None:
        call.answered_at = self.now
        del self._by_id[name]
        number = int(name.partition("-")[0])
        instance = self.instances[number]
        service_ms = 1e3 * (self.now - call.started_at)
        if isinstance(instance, PlainRefusal):
            instance.limit.leave()
            instance.limit.observe(
                elapsed_ms=service_ms,
                target_latency_ms=call.kind.target_ms,
                now_seconds=self.now,
            )
            return
        instance.end(
            name, service_ms=service_ms, was_refused=False, now_seconds=self.now
        )
        self._apply(number, instance.advance(now_seconds=self.now))

    # Results.

    def select(self, *, since: float, until: float, **fields: Any) -> list[Call]:
        """Return the calls that were asked in a time and match fields of the class."""
        return [
            call
            for call in self.calls
            if since <= call.asked_at < until
            and all(getattr(call.kind, key) == value for key, value in fields.items())
        ]


def served_share(calls: Sequence[Call]) -> float:
    """Return the share of calls that were answered within their target."""
    return sum(call.in_target for call in calls) / max(1, len(calls))


def refused_share(calls: Sequence[Call]) -> float:
    """Return the share of calls that never got an answer."""
    return sum(call.answered_at is None for call in calls) / max(1, len(calls))


def median_wait_ms(calls: Sequence[Call]) -> float:
    """Return the median wait of the calls at instances, started or not."""
    return 1e3 * statistics.median([call.waited for call in calls] or [0.0])


def shared_admission(rng: random.Random) -> SharedAdmission:
    return SharedAdmission(rng=rng, rank_count=3)
