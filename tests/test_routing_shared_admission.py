"""Tests of the order of admission and the limit where accounts compete."""

import random
from typing import Any

from attrs import evolve
from hypothesis import given, strategies as st

from bronzebeam.routing import admission
from bronzebeam.routing.account_shares import FairShares, OwedRequests, fair_share
from bronzebeam.routing.admission import AdmissionRequest, Capacity, RejectionReason
from bronzebeam.routing.admission_order import CostOrder
from bronzebeam.routing.class_shares import MIN_SHARE, ClassShares
from bronzebeam.routing.shared_admission import Demand, SharedAdmission
from bronzebeam.routing.shared_limit import SharedLimit
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

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
