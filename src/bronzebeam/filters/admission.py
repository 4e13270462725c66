"""Admits queries: callers' rates, then the service's queue."""

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

REASONS: Final = {
    RejectionReason.OVERLOADED: Reason.OVERLOADED,
    RejectionReason.DISPLACED: Reason.OVERLOADED,
    RejectionReason.DEADLINE_UNREACHABLE: Reason.DEADLINE_UNREACHABLE,
}


class CallerRateLimiter(Protocol):
    """Keeps callers within their rates."""

    def take(self, request: CallerRequest) -> RateDecision:
        """Take one request of the caller, if its rate allows it."""


@frozen(kw_only=True)
class RateFilter:
    """Refuses a caller that asks for more than its rate over the fleet."""

    rates: CallerRateLimiter

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`, through `proceed` if its caller's rate allows it."""
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
    """Lets a query run when the service's limit allows it, or answers at once."""

    admission: MessageSink[AdmissionMessage]

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`, through `proceed` once it is admitted."""
        ticket = Ticket(request=request, priority=_priority(request))
        self.admission.post(QueryArrived(ticket=ticket))
        try:
            await ticket.decided.wait()
            if ticket.rejection is not None:
                return _answer(ticket.rejection)
            return await proceed(request)
        finally:
            self.admission.post(QueryEnded(ticket=ticket))


def _priority(request: CallerRequest) -> int:
    classes = request.document.classes
    priorities = [item.priority for item in classes if item.name == request.class_name]
    return priorities[0] if priorities else max(item.priority for item in classes)


def _answer(given_up: Rejection) -> Outcome:
    return NotRun(
        reason=REASONS[given_up.reason],
        retry_after_ms=given_up.retry_after_ms,
        detail=f"given up before it ran: {given_up.reason.value}",
    )
