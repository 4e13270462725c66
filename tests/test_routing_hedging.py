"""Tests of the extra-load budget and of decisions on hedges and retries."""

from attrs import evolve
from hypothesis import given, strategies as st

from bronzebeam.documents.model import HedgingSpec
from bronzebeam.routing import hedging
from bronzebeam.routing.budget import (
    BURST_LIMIT,
    GUARANTEED_RETRIES,
    WINDOW_SECONDS,
    ExtraLoadBudget,
)
from bronzebeam.routing.hedging import (
    ExtraAttemptDecision,
    FailureKind,
    HedgeDelay,
    SubRequestState,
)
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

STATE = SubRequestState(
    idempotent=True,
    solo=False,
    attempts=1,
    other_replicas=1,
    remaining_ms=100.0,
    expected_ms=10.0,
)


load_steps = st.tuples(st.floats(0, 4), st.integers(0, 300), st.integers(0, 30))


def full_budget() -> ExtraLoadBudget:
    budget = ExtraLoadBudget(extra_load_share=0.05)
    budget.record_first_attempts(1000, now_seconds=0.0)
    return budget


@HYPOTHESIS_SETTINGS
@given(st.lists(load_steps, max_size=60), st.sampled_from([0.0, 0.01, 0.05, 0.5]))
def test_extra_attempts_stay_within_the_share(
    steps: list[tuple[float, int, int]], share: float
) -> None:
    budget, now = ExtraLoadBudget(extra_load_share=share), 0.0
    first_attempts: list[tuple[float, int]] = []
    extra_attempts: list[tuple[float, int]] = []
    for pause, count, tries in steps:
        now += pause
        budget.record_first_attempts(count, now_seconds=now)
        first_attempts.append((now, count))
        taken = sum(budget.take(now_seconds=now) for _ in range(tries))
        extra_attempts.append((now, taken))
        start = now - WINDOW_SECONDS
        if taken:
            assert (
                in_window(extra_attempts, start)
                <= share * in_window(first_attempts, start) + 1e-6
            )
        for since, _ in first_attempts:
            max_extra = share * in_window(first_attempts, since - 1e-9) + BURST_LIMIT
            assert in_window(extra_attempts, since - 1e-9) <= max_extra + 1e-6


def in_window(counts: list[tuple[float, int]], after: float) -> int:
    return sum(count for at, count in counts if at > after)


def test_spent_budget_is_replenished() -> None:
    budget = ExtraLoadBudget(extra_load_share=0.05)
    assert not budget.take(now_seconds=0.0)
    budget.record_first_attempts(100, now_seconds=0.0)
    assert [budget.take(now_seconds=1.0) for _ in range(6)] == [True] * 5 + [False]
    budget.record_first_attempts(100, now_seconds=11.5)
    assert budget.take(now_seconds=11.5)


def test_extra_attempts_count_until_their_bucket_leaves_the_window() -> None:
    budget = ExtraLoadBudget(extra_load_share=0.5)
    budget.record_first_attempts(10, now_seconds=0.1)
    assert [budget.take(now_seconds=0.4) for _ in range(5)] == [True] * 5
    budget.record_first_attempts(4, now_seconds=10.2)
    assert not budget.take(now_seconds=10.2)


def test_hedges_leave_a_reserve_for_retries() -> None:
    budget = ExtraLoadBudget(extra_load_share=0.05)
    budget.record_first_attempts(20, now_seconds=0.0)
    hedged = hedging.allow_hedge(STATE, budget=budget, now_seconds=0.0)
    assert hedged is ExtraAttemptDecision.OVER_BUDGET
    assert retry(STATE, FailureKind.UNKNOWN, budget) is ExtraAttemptDecision.ALLOWED


def test_hedge_refusals() -> None:
    refusals = {
        ExtraAttemptDecision.NOT_IDEMPOTENT: evolve(STATE, idempotent=False),
        ExtraAttemptDecision.SOLO: evolve(STATE, solo=True),
        ExtraAttemptDecision.TOO_MANY_ATTEMPTS: evolve(STATE, attempts=3),
        ExtraAttemptDecision.NO_OTHER_REPLICA: evolve(STATE, other_replicas=0),
        ExtraAttemptDecision.TOO_LITTLE_TIME: evolve(STATE, remaining_ms=10.0),
        ExtraAttemptDecision.ALLOWED: STATE,
    }
    for verdict, state in refusals.items():
        decided = hedging.allow_hedge(state, budget=full_budget(), now_seconds=0.0)
        assert decided is verdict


def retry(
    state: SubRequestState, failure: FailureKind, budget: ExtraLoadBudget | None = None
) -> ExtraAttemptDecision:
    budget = budget or full_budget()
    return hedging.allow_retry(state, failure=failure, budget=budget, now_seconds=0.0)


def test_call_that_may_have_run_is_never_retried() -> None:
    call = evolve(STATE, idempotent=False)
    suspect = evolve(STATE, solo=True)
    assert retry(call, FailureKind.UNKNOWN) is ExtraAttemptDecision.NOT_IDEMPOTENT
    assert retry(suspect, FailureKind.UNKNOWN) is ExtraAttemptDecision.SOLO
    for failure in (FailureKind.NOT_RUN, FailureKind.NOT_SENT):
        assert retry(call, failure) is ExtraAttemptDecision.ALLOWED
        assert retry(suspect, failure) is ExtraAttemptDecision.ALLOWED
        tried = evolve(call, attempts=3)
        assert retry(tried, failure) is ExtraAttemptDecision.TOO_MANY_ATTEMPTS


def test_retry_after_not_run_is_charged_and_after_not_sent_is_not() -> None:
    empty = ExtraLoadBudget(extra_load_share=0.05)
    assert retry(STATE, FailureKind.NOT_RUN, empty) is ExtraAttemptDecision.OVER_BUDGET
    assert retry(STATE, FailureKind.NOT_SENT, empty) is ExtraAttemptDecision.ALLOWED


def test_third_attempt_reuses_a_replica_only_when_all_are_tried() -> None:
    assert hedging.replicas_to_exclude(tried="a", replicas=2) == {"a"}
    assert hedging.replicas_to_exclude(tried="ab", replicas=2) == {"b"}
    assert hedging.replicas_to_exclude(tried="ab", replicas=3) == {"a", "b"}


def test_hedge_percentile_fits_the_budget() -> None:
    assert hedging.hedge_percentile(HedgingSpec(percentile=90.0)) == 96.0
    assert hedging.hedge_percentile(HedgingSpec(percentile=99.0)) == 99.0


def test_hedge_delay_follows_the_percentile_and_drops_old_samples() -> None:
    delay = HedgeDelay(percentile=95.0)
    for sample in range(99):
        delay.record(latency_ms=float(sample + 1), now_seconds=0.0)
    assert delay.delay_ms(now_seconds=0.0) is None
    delay.record(latency_ms=100.0, now_seconds=0.0)
    assert delay.delay_ms(now_seconds=0.9) is None
    computed = delay.delay_ms(now_seconds=1.0)
    assert computed is not None and 94.0 <= computed <= 96.0
    for step in range(1000):
        delay.record(latency_ms=2.0, now_seconds=12.0 + step / 50)
    computed = delay.delay_ms(now_seconds=32.0)
    assert computed is not None and 1.9 <= computed <= 2.1
    for _ in range(100):
        delay.record(latency_ms=2.0, now_seconds=33.0)
    assert delay.delay_ms(now_seconds=100.0) is None


def test_guaranteed_retries_are_allowed_with_little_traffic() -> None:
    budget = ExtraLoadBudget(extra_load_share=0.05)
    budget.record_first_attempts(1, now_seconds=0.0)

    def verdict(failure: FailureKind, now_seconds: float) -> ExtraAttemptDecision:
        return hedging.allow_retry(
            STATE, failure=failure, budget=budget, now_seconds=now_seconds
        )

    assert verdict(FailureKind.NOT_RUN, 0.0) is ExtraAttemptDecision.OVER_BUDGET
    verdicts = [verdict(FailureKind.UNKNOWN, 0.1) for _ in range(5)]
    assert verdicts.count(ExtraAttemptDecision.ALLOWED) == GUARANTEED_RETRIES
    assert verdict(FailureKind.UNKNOWN, 9.9) is ExtraAttemptDecision.OVER_BUDGET
    assert verdict(FailureKind.UNKNOWN, 20.0) is ExtraAttemptDecision.ALLOWED
