"""Refuses requests that crash backend servers."""

from attrs import evolve, frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.filters.policy import QuarantinePolicy
from bronzebeam.outcomes import Outcome, Refused
from bronzebeam.reasons import Reason


@frozen(kw_only=True)
class QuarantineFilter:
    """Refuses quarantined requests; marks suspects to run on one replica at a time."""

    quarantine: QuarantinePolicy
    clock: Clock

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Refuse `request` if it is quarantined; else pass it to `proceed`."""
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
