"""Budgets and hedge delays of each service on this entry."""

from collections import Counter

from attrs import define, field, frozen

from bronzebeam.documents.model import HedgingSpec, ServiceSpec
from bronzebeam.routing.budget import ExtraLoadBudget
from bronzebeam.routing.hedging import (
    ExtraAttemptDecision,
    FailureKind,
    HedgeDelay,
    SubRequestState,
    allow_hedge,
    allow_retry,
    hedge_percentile,
)


@frozen(kw_only=True)
class ExtraRequestDecision:
    """
    A decision on an extra sub-request.

    :ivar kind: `hedge` or `retry`.
    """

    service: str
    kind: str
    verdict: ExtraAttemptDecision


@frozen(kw_only=True)
class _HedgingState:
    spec: HedgingSpec
    budget: ExtraLoadBudget
    delay: HedgeDelay


@define(kw_only=True)
class ServiceBudgets:
    """
    Implements `ExtraLoadPolicy`; a changed hedging policy starts a fresh budget.

    :ivar verdicts: decisions since the start.
    :ivar hedging: False switches hedges off, as the baseline of an experiment.
    """

    hedging: bool = True
    verdicts: Counter[ExtraRequestDecision] = field(factory=Counter, init=False)
    _states: dict[str, _HedgingState] = field(factory=dict, init=False)

    def hedge_delay_seconds(
        self, service: ServiceSpec, now_seconds: float
    ) -> float | None:
        """Return how long a sub-request runs before a hedge; None for never."""
        if not self.hedging:
            return None
        delay_ms = self._hedging_state(service).delay.delay_ms(now_seconds=now_seconds)
        return delay_ms / 1000 if delay_ms is not None else None

    def record_first_attempts(
        self, service: ServiceSpec, count: int, now_seconds: float
    ) -> None:
        """Count `count` first sub-requests."""
        self._hedging_state(service).budget.record_first_attempts(
            count, now_seconds=now_seconds
        )

    def record_latency(
        self, service: ServiceSpec, latency_ms: float, now_seconds: float
    ) -> None:
        """Record the time that a first sub-request took or was waited for."""
        delay = self._hedging_state(service).delay
        delay.record(latency_ms=latency_ms, now_seconds=now_seconds)

    def allow_hedge(
        self, service: ServiceSpec, state: SubRequestState, now_seconds: float
    ) -> bool:
        """Decide on a hedge and take it from the budget."""
        budget = self._hedging_state(service).budget
        verdict = allow_hedge(state, budget=budget, now_seconds=now_seconds)
        return self._count(service, "hedge", verdict)

    def allow_retry(
        self,
        service: ServiceSpec,
        state: SubRequestState,
        failure: FailureKind,
        now_seconds: float,
    ) -> bool:
        """Decide on a retry and take it from the budget."""
        budget = self._hedging_state(service).budget
        verdict = allow_retry(
            state, failure=failure, budget=budget, now_seconds=now_seconds
        )
        return self._count(service, "retry", verdict)

    def _count(
        self, service: ServiceSpec, kind: str, verdict: ExtraAttemptDecision
    ) -> bool:
        self.verdicts[
            ExtraRequestDecision(service=service.name, kind=kind, verdict=verdict)
        ] += 1
        return verdict is ExtraAttemptDecision.ALLOWED

    def _hedging_state(self, service: ServiceSpec) -> _HedgingState:
        state = self._states.get(service.name)
        if state is None or state.spec != service.hedging:
            spec = service.hedging
            state = self._states[service.name] = _HedgingState(
                spec=spec,
                budget=ExtraLoadBudget(extra_load_share=spec.extra_load_share),
                delay=HedgeDelay(percentile=hedge_percentile(spec)),
            )
        return state
