"""Tests of the admission queue and the concurrency limit."""

import random
from typing import Any

from attrs import evolve
from hypothesis import given, strategies as st

from bronzebeam.routing import admission
from bronzebeam.routing.admission import AdmissionRequest, Capacity, RejectionReason
from bronzebeam.routing.limits import ConcurrencyLimit, LimitBounds, QuerySample
from tests.fixtures_routing import HYPOTHESIS_SETTINGS


class QueueHarness:
    """An admission queue with a simulated service; the test finishes its queries."""

    def __init__(self, *, limit: int, max_waiting: int = 3) -> None:
        rng = random.Random(1)
        self.queue = admission.AdmissionQueue(max_waiting=max_waiting, rng=rng)
        self.limit = limit
        self.now = 0.0
        self.running: list[str] = []
        self.rejected: dict[str, RejectionReason] = {}

    @property
    def capacity(self) -> Capacity:
        return Capacity(limit=self.limit, running=len(self.running), service_ms=100.0)

    def submit(self, name: str, priority: int = 0, within: float = 9.0) -> None:
        deadline = self.now + within
        arrival = AdmissionRequest(
            query_id=name, priority=priority, deadline_at_seconds=deadline
        )
        step = self.queue.submit(arrival, capacity=self.capacity, now_seconds=self.now)
        self.apply_step(step)

    def finish(self, name: str) -> None:
        self.running.remove(name)
        self.advance()

    def advance(self, seconds: float = 0.0) -> None:
        self.now += seconds
        step = self.queue.advance(capacity=self.capacity, now_seconds=self.now)
        self.apply_step(step)

    def apply_step(self, step: admission.AdmissionStep) -> None:
        self.running += step.started
        for item in step.rejected:
            assert item.query_id not in self.rejected
            assert 50 <= item.retry_after_ms <= 10_000
            self.rejected[item.query_id] = item.reason


event = st.tuples(st.floats(0, 0.2), st.integers(0, 3), st.floats(0, 1), st.booleans())


@HYPOTHESIS_SETTINGS
@given(st.integers(1, 4), st.lists(event, max_size=50))
def test_each_query_is_started_or_rejected_exactly_once(
    limit: int, events: list[tuple[float, int, float, bool]]
) -> None:
    run = QueueHarness(limit=limit)
    waiting: dict[str, tuple[int, int, float]] = {}
    finished: list[str] = []

    def check_step() -> None:
        keys = [waiting.pop(name) for name in run.running if name in waiting]
        for name in run.rejected:
            waiting.pop(name, None)
        assert all(run.now <= deadline for _, _, deadline in keys)
        assert not keys or not waiting or max(keys) < min(waiting.values())
        assert run.queue.waiting == len(waiting) <= 3
        assert len(run.running) <= limit
        assert run.queue.next_expiry_seconds > run.now or not waiting

    for number, (pause, priority, within, finishes) in enumerate(events):
        run.advance(pause)
        check_step()
        if finishes and run.running:
            finished.append(run.running[0])
            run.finish(run.running[0])
            check_step()
        waiting[str(number)] = (priority, number, run.now + within)
        run.submit(str(number), priority, within)
        check_step()
    for name in list(run.running):
        run.finish(name)
    run.advance(9.0)
    completed = [*finished, *run.running, *run.rejected]
    assert run.queue.waiting == 0
    assert len(set(completed)) == len(completed)


def test_higher_priority_displaces_the_newest_query_of_the_lowest() -> None:
    run = QueueHarness(limit=1, max_waiting=2)
    run.submit("running")
    run.submit("older", 2)
    run.submit("newer", 2)
    run.submit("late", 2)
    assert run.rejected == {"late": RejectionReason.OVERLOADED}
    run.submit("urgent", 0)
    assert run.rejected["newer"] is RejectionReason.DISPLACED
    run.finish("running")
    run.finish("urgent")
    assert run.running == ["older"]


def test_query_with_an_unreachable_deadline_is_rejected_at_once() -> None:
    run = QueueHarness(limit=1)
    run.submit("probe", within=0.05)
    run.submit("waits", within=0.3)
    run.submit("hopeless", within=0.29)
    assert run.running == ["probe"]
    assert run.rejected == {"hopeless": RejectionReason.DEADLINE_UNREACHABLE}
    run = QueueHarness(limit=1)
    run.submit("over", within=0.0)
    assert "over" in run.rejected


def test_waiting_queries_are_rejected_when_it_is_too_late_to_start() -> None:
    run = QueueHarness(limit=1)
    run.submit("running")
    for name, within in (("a", 0.5), ("b", 0.5), ("c", 0.7)):
        run.submit(name, within=within)
    run.advance(run.queue.next_expiry_seconds)
    assert set(run.rejected) == {"a", "b"}
    assert 0.59 < run.queue.next_expiry_seconds < 0.61
    run.advance(run.queue.next_expiry_seconds - run.now)
    assert set(run.rejected) == {"a", "b", "c"}


def test_lower_priorities_do_not_count_as_ahead() -> None:
    run = QueueHarness(limit=1)
    for name in ("running", "low", "lower"):
        run.submit(name, 2)
    run.submit("urgent", 0, within=0.25)
    assert not run.rejected


def test_raised_limit_starts_more_queries() -> None:
    run = QueueHarness(limit=1)
    for number in range(4):
        run.submit(str(number))
    run.limit = 2
    run.submit("4")
    assert run.running == ["0", "1"] and not run.rejected


def test_cancelled_query_is_not_started() -> None:
    run = QueueHarness(limit=1)
    run.submit("a")
    run.submit("b")
    assert run.queue.cancel("b") and not run.queue.cancel("b")
    run.finish("a")
    assert not run.running and not run.rejected


def test_retry_after_follows_the_drain_rate() -> None:
    capacity = Capacity(limit=2, running=2, service_ms=100.0)
    times = [
        admission.retry_after(capacity, ahead=9, rng=random.Random(seed))
        for seed in range(50)
    ]
    assert 500 <= min(times) < 550 and 700 < max(times) <= 750


SAMPLE = QuerySample(latency_ms=10.0, sub_requests=30, shed=0, running=9)


def observe(
    limit: ConcurrencyLimit, *, windows: int = 1, **changes: Any
) -> ConcurrencyLimit:
    for number in range(20 * windows):
        limit = limit.observe(evolve(SAMPLE, **changes), now_seconds=number * 0.006)
    return limit


def new_limit(value: float = 10.0) -> ConcurrencyLimit:
    return ConcurrencyLimit(bounds=LimitBounds(minimum=2, maximum=100), value=value)


def test_limit_rises_only_if_used_and_falls_under_overload() -> None:
    warm = observe(new_limit())
    assert warm.limit == 11
    assert observe(warm, running=5).limit == 11
    assert observe(warm, shed=1).limit == 8
    assert observe(warm, latency_ms=21.0).limit == 8
    assert observe(warm, latency_ms=19.0).limit == 12
    assert observe(warm, latency_ms=1.0).baseline_ms == 1.0
    slower = observe(warm, latency_ms=15.0, windows=50).baseline_ms
    assert slower is not None and 10.4 < slower < 10.6
    assert observe(new_limit(99.5), running=99, windows=3).value == 100.0


def test_limit_changes_once_per_window() -> None:
    limit = new_limit()
    sample = evolve(SAMPLE, shed=30)
    for _ in range(100):
        limit = limit.observe(sample, now_seconds=0.0)
    assert limit.value == 10.0
    assert limit.observe(sample, now_seconds=0.1).value == 8.0


def test_limit_settles_near_the_capacity() -> None:
    for value in (2.0, 100.0):
        limit = observe(new_limit(value), running=1)
        for _ in range(200):
            latency_ms = 10.0 * max(1.0, limit.limit / 16)
            limit = observe(limit, latency_ms=latency_ms, running=limit.limit)
        assert 16 <= limit.limit <= 40


@HYPOTHESIS_SETTINGS
@given(st.lists(st.tuples(st.floats(0, 1e4), st.integers(0, 30), st.integers(1, 200))))
def test_limit_stays_within_its_bounds(samples: list[tuple[float, int, int]]) -> None:
    limit = new_limit()
    for latency_ms, shed, running in samples:
        limit = observe(limit, latency_ms=latency_ms, shed=shed, running=running)
        assert 2 <= limit.limit <= 100
