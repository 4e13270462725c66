"""Extra-load budgets and hedge delays of each service on this entry."""

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
    A decision whether to send an extra sub-request, used as a key of counters.

    :ivar kind: `hedge` or `retry`.
    """

    service: str
    kind: str
    decision: ExtraAttemptDecision


@frozen(kw_only=True)
class _HedgingState:
    spec: HedgingSpec
    budget: ExtraLoadBudget
    delay: HedgeDelay


@define(kw_only=True)
class ServiceBudgets:
    """
    Implements `ExtraLoadPolicy`; a change of the hedging settings resets the budget.

    :ivar hedging: False disables hedges, for the baseline of an experiment.
    :ivar decision_counts: number of decisions of each kind since the start.
    """

    hedging: bool = True
    decision_counts: Counter[ExtraRequestDecision] = field(factory=Counter, init=False)
    _states: dict[str, _HedgingState] = field(factory=dict, init=False)

    def hedge_delay_seconds(
        self, service: ServiceSpec, now_seconds: float
    ) -> float | None:
        """Return how long to wait before a hedge; None to send no hedge."""
        if not self.hedging:
            return None
        delay_ms = self._hedging_state(service).delay.delay_ms(now_seconds=now_seconds)
        return delay_ms / 1000 if delay_ms is not None else None

    def record_first_attempts(
        self, service: ServiceSpec, count: int, now_seconds: float
    ) -> None:
        """Count first attempts of sub-requests, which the budget is a share of."""
        self._hedging_state(service).budget.record_first_attempts(
            count, now_seconds=now_seconds
        )

    def record_latency(
        self, service: ServiceSpec, latency_ms: float, now_seconds: float
    ) -> None:
        """Record the latency of a first attempt, or how long it was waited for."""
        delay = self._hedging_state(service).delay
        delay.record(latency_ms=latency_ms, now_seconds=now_seconds)

    def allow_hedge(
        self, service: ServiceSpec, state: SubRequestState, now_seconds: float
    ) -> bool:
        """Decide whether to send a hedge; if so, charge it to the budget."""
        budget = self._hedging_state(service).budget
        decision = allow_hedge(state, budget=budget, now_seconds=now_seconds)
        return self._count(service, "hedge", decision)

    def allow_retry(
        self,
        service: ServiceSpec,
        state: SubRequestState,
        failure: FailureKind,
        now_seconds: float,
    ) -> bool:
        """Decide whether to send a retry; if so, charge it to the budget."""
        budget = self._hedging_state(service).budget
        decision = allow_retry(
            state, failure=failure, budget=budget, now_seconds=now_seconds
        )
        return self._count(service, "retry", decision)

    def _count(
        self, service: ServiceSpec, kind: str, decision: ExtraAttemptDecision
    ) -> bool:
        self.decision_counts[
            ExtraRequestDecision(service=service.name, kind=kind, decision=decision)
        ] += 1
        return decision is ExtraAttemptDecision.ALLOWED

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
