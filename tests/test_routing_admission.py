"""Tests of the admission queue and the concurrency limit."""

import random
from typing import Any

from attrs import evolve
from hypothesis import given, strategies as st

from bronzebeam.routing import admission
from bronzebeam.routing.account_shares import FairShares, OwedRequests, fair_share
from bronzebeam.routing.admission import AdmissionRequest, Capacity, RejectionReason
from bronzebeam.routing.admission_order import CostOrder
from bronzebeam.routing.class_shares import MIN_SHARE, ClassShares
from bronzebeam.routing.limits import ConcurrencyLimit, LimitBounds, QuerySample
from bronzebeam.routing.shared_admission import Demand, SharedAdmission
from bronzebeam.routing.shared_limit import SharedLimit
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


# The order where accounts compete.

TARGET_MS = 400.0
DEMAND = Demand(
    request_id="",
    route="find",
    account="a",
    priority=1,
    route_priority=1,
    rank=1,
    is_return=False,
    is_late=False,
    arrived_at_seconds=0.0,
    target_at_seconds=TARGET_MS / 1e3,
    target_latency_ms=TARGET_MS,
    work_ms=10.0,
    usual_ms=20.0,
)


class SharedHarness:
    """A shared admission; the test ends its requests."""

    def __init__(self, *, limit: float = 1.0) -> None:
        self.admission = SharedAdmission(rng=random.Random(1), rank_count=4)
        self.admission.limit.limit = limit
        self.admission.limit._fraction = 0.5
        self.now = 0.0
        self.started: list[str] = []
        self.ended: list[str] = []
        self.rejected: dict[str, admission.Rejection] = {}

    def submit(self, name: str, **changes: Any) -> None:
        demand = evolve(
            DEMAND,
            request_id=name,
            arrived_at_seconds=self.now,
            target_at_seconds=self.now + TARGET_MS / 1e3,
        )
        demand = evolve(demand, **changes)
        self.apply_step(self.admission.submit(demand, now_seconds=self.now))

    def end(self, name: str, *, service_ms: float = 50.0) -> None:
        self.ended.append(name)
        self.admission.end(
            name, service_ms=service_ms, was_refused=False, now_seconds=self.now
        )
        self.advance()

    def advance(self, seconds: float = 0.0) -> None:
        self.now += seconds
        self.apply_step(self.admission.advance(now_seconds=self.now))

    def apply_step(self, step: admission.AdmissionStep) -> None:
        self.started += step.started
        for item in step.rejected:
            assert item.query_id not in self.rejected
            assert 16 <= item.retry_after_ms <= 10_000
            self.rejected[item.query_id] = item


def start_order(*arrivals: dict[str, Any]) -> list[str]:
    """Return the order in which requests start that wait for one that runs."""
    run = SharedHarness()
    run.submit("running")
    for number, changes in enumerate(arrivals):
        run.submit(str(number), **changes)
        run.now += 1e-4
    assert run.started == ["running"] and not run.rejected
    run.admission.limit.limit = 100.0
    run.advance()
    return run.started[1:]


def test_urgency_decides_first() -> None:
    # Guards against urgent callers that wait for patient ones, whatever else they are.
    urgent = {"priority": 0, "route_priority": 5, "rank": 0}
    order = start_order({"is_return": True, "target_at_seconds": 0.35}, urgent)
    assert order == ["1", "0"]
    less_urgent_route = {"route_priority": 2, "rank": 2}
    assert start_order(less_urgent_route, {}) == ["1", "0"]


def test_caller_that_comes_back_goes_before_others_of_its_urgency() -> None:
    # Guards against callers that are refused again and again.
    assert start_order({}, {"is_return": True}) == ["1", "0"]


def test_earlier_latest_start_goes_first_and_then_less_work() -> None:
    # Guards against requests that are late though another one could have waited.
    order = start_order({}, {"target_at_seconds": 0.3}, {"target_at_seconds": 0.35})
    assert order == ["1", "2", "0"]
    at = {"target_at_seconds": 0.4, "arrived_at_seconds": 0.0}
    assert start_order(at, {**at, "work_ms": 5.0}) == ["1", "0"]


def test_late_return_is_set_back() -> None:
    # Guards against answers without value that take the room of those in time.
    assert start_order({"is_return": True, "is_late": True}, {}) == ["1", "0"]


def test_request_that_finds_room_starts_at_once() -> None:
    # Guards against waits without competition, even of a request that is late.
    run = SharedHarness(limit=3.0)
    for number in range(3):
        run.submit(str(number), target_at_seconds=run.now - 1.0)
    assert run.started == ["0", "1", "2"] and not run.rejected


def test_wait_ends_at_a_quarter_of_the_target() -> None:
    # Guards against refusals so late that the caller can't come back in time.
    run = SharedHarness()
    run.submit("running")
    run.submit("waits")
    assert run.admission.next_step_seconds == 0.25 * TARGET_MS / 1e3
    run.advance(0.25 * TARGET_MS / 1e3)
    assert run.rejected["waits"].reason is RejectionReason.WAITED_TOO_LONG
    assert run.rejected["waits"].retry_after_ms <= 1.5 * 0.25 * TARGET_MS


def test_request_without_a_chance_is_refused_at_once() -> None:
    # Guards against holding callers that can't be answered in time.
    run = SharedHarness()
    run.submit("running")
    run.submit("late", target_at_seconds=0.01)
    run.submit("far", usual_ms=900.0)
    assert run.rejected["late"].reason is RejectionReason.DEADLINE_UNREACHABLE
    assert set(run.rejected) == {"late", "far"}


def test_work_counts_and_not_only_requests() -> None:
    # Guards against many searches where there is room for many single requests.
    started = {}
    for work_ms in (10.0, 900.0):
        run = SharedHarness(limit=20.0)
        for number in range(30):
            run.submit(f"small-{number}", work_ms=10.0)
            if run.started:
                run.end(run.started.pop())
        for number in range(30):
            run.submit(f"n-{number}", work_ms=work_ms)
        started[work_ms] = len(run.started)
    assert started[900.0] * 4 <= started[10.0], started


shared_event = st.tuples(
    st.floats(0, 0.05),
    st.integers(0, 3),
    st.sampled_from("abc"),
    st.booleans(),
    st.floats(1.0, 900.0),
    st.integers(0, 3),
)


@HYPOTHESIS_SETTINGS
@given(st.floats(0.05, 6.0), st.lists(shared_event, max_size=40))
def test_each_competing_request_is_started_or_rejected_exactly_once(
    limit: float, events: list[tuple[float, int, str, bool, float, int]]
) -> None:
    # Guards against requests that are lost, run after a refusal, or wait too long.
    run = SharedHarness(limit=limit)
    arrived: dict[str, float] = {}
    for number, event in enumerate(events):
        pause, priority, account, is_return, work_ms, ends = event
        run.advance(pause)
        name = str(number)
        arrived[name] = run.now
        run.submit(
            name,
            priority=priority,
            rank=priority,
            account=account,
            is_return=is_return,
            work_ms=work_ms,
        )
        running = [item for item in run.started if item not in run.ended]
        for item in running[:ends]:
            run.end(item)
        decided = {*run.started, *run.rejected}
        assert run.admission.queue.waiting == len(arrived.keys() - decided)
        for item in arrived.keys() - decided:
            assert run.now - arrived[item] <= 0.25 * TARGET_MS / 1e3 + 1e-9 + pause
        assert run.admission.next_step_seconds > run.now or not (
            arrived.keys() - decided
        )
    run.advance(1.0)
    assert not run.started or len(set(run.started)) == len(run.started)
    assert not set(run.started) & run.rejected.keys()
    assert {*run.started, *run.rejected} == arrived.keys()


def test_limit_below_one_request_is_kept_by_pauses() -> None:
    # Guards against many instances whose single requests fill the replicas' queues.
    run = SharedHarness(limit=0.25)
    in_flight = 0
    ends_at = 0.0
    for number in range(10_000):
        run.advance(0.001)
        if number % 7 == 0:
            run.submit(str(number))
        running = [item for item in run.started if item not in run.ended]
        assert len(running) <= 1
        in_flight += len(running)
        if running and ends_at <= run.now - 0.02:
            ends_at = run.now + 0.02
        elif running and abs(run.now - ends_at) < 0.0005:
            run.end(running[0], service_ms=200.0)  # neither late nor early
    assert 0.2 <= in_flight / 10_000 <= 0.3, in_flight


def test_single_late_answer_does_not_lower_the_shared_limit() -> None:
    # Guards against refusals without an overload, after one pause of a replica.
    limit = SharedLimit()
    work = {"work": 1.0, "work_ms": 10.0}
    for number in range(30):
        limit.enter_work(**work, rng=random.Random(1))
        limit.leave_work(work=1.0, duration_ms=20.0, now_seconds=0.1 * number)
        limit.observe_route(
            "find",
            service_ms=900.0 if number == 20 else 20.0,
            waited_ms=0.0,
            remaining_ms=TARGET_MS,
            target_latency_ms=TARGET_MS,
            was_refused=False,
            now_seconds=0.1 * number,
        )
    assert limit.limit >= 24.0


def test_refusals_by_replicas_lower_the_shared_limit() -> None:
    # Guards against replicas that refuse quickly, so that no answer is late.
    limit = SharedLimit()
    for number in range(10):
        limit.observe_route(
            "find",
            service_ms=20.0,
            waited_ms=0.0,
            remaining_ms=TARGET_MS,
            target_latency_ms=TARGET_MS,
            was_refused=True,
            now_seconds=0.1 * number,
        )
    assert limit.limit < 2.0


def test_late_urgent_route_is_not_hidden_by_others() -> None:
    # Guards against a few urgent requests that are late among many patient ones.
    limit = SharedLimit()
    for number in range(100):
        is_urgent = number % 5 == 0
        limit.observe_route(
            "urgent" if is_urgent else "single",
            service_ms=100.0,
            waited_ms=0.0,
            remaining_ms=60.0 if is_urgent else 1_197.0,
            target_latency_ms=60.0 if is_urgent else 1_197.0,
            was_refused=False,
            now_seconds=0.01 * number,
        )
    assert limit.limit < 2.0


def test_less_urgent_classes_give_way_and_recover() -> None:
    # Guards against instances that use what the urgent requests of others lack, and
    # against classes that are refused long after the overload.
    classes = ClassShares(level_count=4)
    for number in range(200):
        classes.record_refused(1, now_seconds=0.02 * number)
    assert classes.share(1, now_seconds=4.0) == 1.0
    assert classes.share(2, now_seconds=4.0) <= 2 * MIN_SHARE
    assert classes.share(3, now_seconds=9.0) == 1.0


def test_fair_share_is_that_of_equal_shares_of_what_is_left() -> None:
    # Guards against frugal accounts that are limited by a mean that they lower.
    assert fair_share([1.0, 2.0, 10.0, 20.0], capacity=13.0) == 5.0
    assert fair_share([1.0, 2.0], capacity=3.5) == float("inf")


def test_hot_account_is_beyond_its_share_and_others_are_not() -> None:
    # Guards against one account's excess that is refused to all alike.
    shares = FairShares()
    for number in range(400):
        now = 0.05 * number
        name = "hot" if number % 2 else f"usual-{number % 14}"
        shares.record_asked(name, work=1.0, now_seconds=now)
        if number % 5:
            shares.record_started(name, work=1.0, now_seconds=now)
    assert shares.is_beyond_share("hot")
    assert not any(shares.is_beyond_share(f"usual-{number}") for number in range(14))


def test_refused_account_is_owed_a_quarter_of_the_mean() -> None:
    # Guards against an account that more urgent ones shut out for good.
    owed = OwedRequests(rng=random.Random(1))
    started = 0
    for number in range(1_000):
        now = 0.01 * number
        owed.record_asked("urgent", now_seconds=now)
        owed.record_started("urgent", now_seconds=now)
        if owed.record_asked("patient", now_seconds=now):
            owed.record_started("patient", now_seconds=now)
            started += 1
    mean = (1_000 + started) / 2
    assert 0.25 * mean <= started <= 0.5 * mean


def test_cost_order_prefers_accounts_within_their_share() -> None:
    # Guards against a hot account whose returns go before the first requests of others.
    shares = FairShares()
    for number in range(60):
        shares.record_asked("hot", work=1.0, now_seconds=0.05 * number)
        shares.record_asked("usual", work=0.1, now_seconds=0.05 * number)
        shares.record_started("hot", work=0.8, now_seconds=0.05 * number)
    queue = admission.AdmissionQueue(
        max_waiting=9, rng=random.Random(1), order=CostOrder(shares={(1, 0): shares})
    )
    full = Capacity(limit=1, running=1, service_ms=10.0)
    for name, account, is_return in (("0", "hot", True), ("1", "usual", False)):
        arrival = AdmissionRequest(
            query_id=name,
            priority=1,
            deadline_at_seconds=9.0,
            account=account,
            is_return=is_return,
        )
        queue.submit(arrival, capacity=full, now_seconds=3.0)
    step = queue.advance(capacity=evolve(full, limit=3), now_seconds=3.0)
    assert step.started == ("1", "0")
