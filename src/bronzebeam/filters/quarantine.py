"""Holds off requests that make backend servers crash."""

from attrs import evolve, frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.filters.policy import KillerWatch
from bronzebeam.outcomes import Outcome, Refused
from bronzebeam.reasons import Reason


@frozen(kw_only=True)
class QuarantineFilter:
    """Refuses quarantined requests and marks suspects to run solo."""

    killers: KillerWatch
    clock: Clock

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`, through `proceed` unless it is quarantined."""
        now = self.clock.monotonic_seconds()
        release_ms = self.killers.release_ms(request.fingerprint, now)
        if release_ms is not None:
            return Refused(
                reason=Reason.QUARANTINED,
                retry_after_ms=release_ms,
                detail="backend servers were lost while they ran this request",
            )
        if self.killers.is_suspect(request.fingerprint, now):
            request = evolve(request, solo=True)
        return await proceed(request)
