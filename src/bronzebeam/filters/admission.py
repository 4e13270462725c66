"""Filters that apply callers' rate limits and services' admission queues."""

from typing import Final, Protocol

from attrs import frozen

from bronzebeam.controllers.admission import (
    AdmissionMessage,
    QueryArrived,
    QueryEnded,
    Ticket,
)
from bronzebeam.controllers.base import MessageSink
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.outcomes import NotRun, Outcome
from bronzebeam.reasons import Reason
from bronzebeam.routing.admission import Rejection, RejectionReason
from bronzebeam.routing.caller_rates import RateDecision

OUTCOME_REASONS: Final = {
    RejectionReason.OVERLOADED: Reason.OVERLOADED,
    RejectionReason.DISPLACED: Reason.OVERLOADED,
    RejectionReason.DEADLINE_UNREACHABLE: Reason.DEADLINE_UNREACHABLE,
}


class CallerRateLimiter(Protocol):
    """Enforces the rate limit of each caller."""

    def take(self, request: CallerRequest) -> RateDecision:
        """Count `request` against its caller's rate, if the rate allows it."""


@frozen(kw_only=True)
class RateFilter:
    """Rejects requests of callers that exceed their fleet-wide rate."""

    rates: CallerRateLimiter

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Pass `request` to `proceed` if its caller's rate allows it."""
        decision = self.rates.take(request)
        if decision.allowed:
            return await proceed(request)
        return NotRun(
            reason=Reason.RATE_LIMITED,
            retry_after_ms=decision.retry_after_ms,
            detail=f"caller {request.caller} is above its rate",
        )


@frozen(kw_only=True)
class AdmissionFilter:
    """Queues a query until the service's limit admits it or it is rejected."""

    admission: MessageSink[AdmissionMessage]

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Pass `request` to `proceed` once it is admitted; else reject it."""
        ticket = Ticket(request=request, priority=_priority(request))
        self.admission.post(QueryArrived(ticket=ticket))
        try:
            await ticket.decided.wait()
            if ticket.rejection is not None:
                return _rejection_outcome(ticket.rejection)
            return await proceed(request)
        finally:
            self.admission.post(QueryEnded(ticket=ticket))


def _priority(request: CallerRequest) -> int:
    classes = request.document.classes
    priorities = [item.priority for item in classes if item.name == request.class_name]
    return priorities[0] if priorities else max(item.priority for item in classes)


def _rejection_outcome(rejection: Rejection) -> Outcome:
    return NotRun(
        reason=OUTCOME_REASONS[rejection.reason],
        retry_after_ms=rejection.retry_after_ms,
        detail=f"given up before it ran: {rejection.reason.value}",
    )
