"""Holds off requests that make backend servers crash."""

from attrs import evolve, frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.filters.policy import QuarantinePolicy
from bronzebeam.outcomes import Outcome, Refused
from bronzebeam.reasons import Reason


@frozen(kw_only=True)
class QuarantineFilter:
    """Refuses quarantined requests and marks suspects to run solo."""

    quarantine: QuarantinePolicy
    clock: Clock

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`, through `proceed` unless it is quarantined."""
        now = self.clock.monotonic_seconds()
        remaining_ms = self.quarantine.remaining_quarantine_ms(request.fingerprint, now)
        if remaining_ms is not None:
            return Refused(
                reason=Reason.QUARANTINED,
                retry_after_ms=remaining_ms,
                detail="backend servers were lost while they ran this request",
            )
        if self.quarantine.is_suspect(request.fingerprint, now):
            request = evolve(request, solo=True)
        return await proceed(request)
