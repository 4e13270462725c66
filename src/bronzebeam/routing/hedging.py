"""Decides whether and when a hedge or a retry of a sub-request is sent."""

from collections.abc import Sequence
from enum import Enum
from typing import Final

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from bronzebeam.documents.model import HedgingSpec
from bronzebeam.routing.budget import HEDGE_RESERVE, ExtraLoadBudget

MIN_HEDGE_DELAY_MS: Final = 1.0
MIN_SAMPLES: Final = 100
MAX_ATTEMPTS: Final = 3
RECOMPUTE_INTERVAL_SECONDS: Final = 1.0
HALF_WINDOW_SECONDS: Final = 10.0
# Share of the budget that the hedge delay is set to use; the rest is for retries.
PLANNED_HEDGE_SHARE: Final = 0.8
_MIN_US: Final = 1
_MAX_US: Final = 60_000_000
_SIGNIFICANT_DIGITS: Final = 2


def hedge_percentile(spec: HedgingSpec) -> float:
    """Return the lowest percentile whose hedges fit the extra-load budget."""
    return max(
        spec.percentile, 100.0 * (1.0 - PLANNED_HEDGE_SHARE * spec.extra_load_share)
    )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)


@define(kw_only=True)
class HedgeDelay:
    """
    Delay after which the first attempt of a sub-request is hedged.

    The delay is a latency percentile, recomputed at most once a second. The samples
    are in two histograms; the older one is dropped after each half window.

    :ivar percentile: 0 to 100.
    """

    percentile: float
    _recent: HdrHistogram = field(factory=_new_histogram, init=False)
    _earlier: HdrHistogram = field(factory=_new_histogram, init=False)
    _rotated_at_seconds: float | None = field(default=None, init=False)
    _computed_at_seconds: float | None = field(default=None, init=False)
    _delay_ms: float | None = field(default=None, init=False)

    def record(self, *, latency_ms: float, now_seconds: float) -> None:
        """
        Record the latency of one first attempt.

        :param latency_ms: time to its reply. For one that was cancelled because its
            hedge was faster, the time waited so far: leaving it out would hide slow
            replies and lower the percentile with each hedge.
        """
        self._rotate(now_seconds)
        micros = min(max(int(latency_ms * 1000), _MIN_US), _MAX_US)
        self._recent.record_value(micros)

    def delay_ms(self, *, now_seconds: float) -> float | None:
        """Return the delay in milliseconds; None while there are too few samples."""
        computed = self._computed_at_seconds
        if computed is None or now_seconds - computed >= RECOMPUTE_INTERVAL_SECONDS:
            self._rotate(now_seconds)
            self._computed_at_seconds = now_seconds
            self._delay_ms = self._compute()
        return self._delay_ms

    def _compute(self) -> float | None:
        samples = _new_histogram()
        samples.add(self._earlier)
        samples.add(self._recent)
        if samples.get_total_count() < MIN_SAMPLES:
            return None
        micros = float(samples.get_value_at_percentile(self.percentile))
        return max(micros / 1000, MIN_HEDGE_DELAY_MS)

    def _rotate(self, now_seconds: float) -> None:
        if self._rotated_at_seconds is None:
            self._rotated_at_seconds = now_seconds
            return
        age_seconds = now_seconds - self._rotated_at_seconds
        if age_seconds < HALF_WINDOW_SECONDS:
            return
        stale = age_seconds >= 2 * HALF_WINDOW_SECONDS
        self._earlier = _new_histogram() if stale else self._recent
        self._recent = _new_histogram()
        self._rotated_at_seconds = now_seconds


class ExtraAttemptDecision(Enum):
    """Whether an extra attempt may be sent, or why not."""

    ALLOWED = "allowed"
    NOT_IDEMPOTENT = "not_idempotent"
    SOLO = "solo"
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    NO_OTHER_REPLICA = "no_other_replica"
    TOO_LITTLE_TIME = "too_little_time"
    OVER_BUDGET = "over_budget"


class FailureKind(Enum):
    """
    How an attempt failed.

    `NOT_SENT`: no byte of it was sent, so it caused no load. `NOT_RUN`: the backend
    server replied that it did not run it (shed or draining). `UNKNOWN`: it may have
    run.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class SubRequestState:
    """
    Input of a decision on an extra attempt of a sub-request.

    :ivar solo: the request may run on one backend server at a time only.
    :ivar attempts: number of attempts so far, sent or not.
    :ivar other_replicas: number of replicas that the next attempt may go to.
    :ivar remaining_ms: time to the deadline.
    :ivar expected_ms: expected reply time of one more attempt.
    """

    idempotent: bool
    solo: bool
    attempts: int
    other_replicas: int
    remaining_ms: float
    expected_ms: float


def allow_hedge(
    state: SubRequestState, *, budget: ExtraLoadBudget, now_seconds: float
) -> ExtraAttemptDecision:
    """Decide on a hedge, and charge it to `budget` if it is allowed."""
    if not state.idempotent:
        return ExtraAttemptDecision.NOT_IDEMPOTENT
    if state.solo:
        return ExtraAttemptDecision.SOLO
    refusal = _find_refusal(state)
    if refusal is not None:
        return refusal
    taken = budget.take(now_seconds=now_seconds, reserve=HEDGE_RESERVE)
    return ExtraAttemptDecision.ALLOWED if taken else ExtraAttemptDecision.OVER_BUDGET


def allow_retry(
    state: SubRequestState,
    *,
    failure: FailureKind,
    budget: ExtraLoadBudget,
    now_seconds: float,
) -> ExtraAttemptDecision:
    """
    Decide on a retry, and charge it to `budget` if it is allowed.

    An attempt that may have run is retried only if it is idempotent and not solo. The
    retry of an attempt that was not sent is free. In each window, a few attempts that
    may have run are retried even if the budget is spent.
    """
    if failure is FailureKind.UNKNOWN:
        if not state.idempotent:
            return ExtraAttemptDecision.NOT_IDEMPOTENT
        if state.solo:
            return ExtraAttemptDecision.SOLO
    refusal = _find_refusal(state)
    if refusal is not None:
        return refusal
    if failure is FailureKind.NOT_SENT or budget.take(now_seconds=now_seconds):
        return ExtraAttemptDecision.ALLOWED
    # No guaranteed retry after a shed attempt, which is a sign of overload.
    if failure is FailureKind.UNKNOWN and budget.take_guaranteed_retry(
        now_seconds=now_seconds
    ):
        return ExtraAttemptDecision.ALLOWED
    return ExtraAttemptDecision.OVER_BUDGET


def replicas_to_exclude(*, tried: Sequence[str], replicas: int) -> frozenset[str]:
    """
    Return the replicas that the next attempt must not go to.

    While a replica is left untried, all tried ones are excluded; after that only the
    last one, so that a third attempt can use the first replica again.

    :param tried: replicas of the attempts so far, in order.
    :param replicas: number of usable replicas of the shard.
    """
    distinct = frozenset(tried)
    if len(distinct) < replicas:
        return distinct
    return frozenset(tried[-1:])


def _find_refusal(state: SubRequestState) -> ExtraAttemptDecision | None:
    if state.attempts >= MAX_ATTEMPTS:
        return ExtraAttemptDecision.TOO_MANY_ATTEMPTS
    if state.other_replicas < 1:
        return ExtraAttemptDecision.NO_OTHER_REPLICA
    if state.expected_ms >= state.remaining_ms:
        return ExtraAttemptDecision.TOO_LITTLE_TIME
    return None
