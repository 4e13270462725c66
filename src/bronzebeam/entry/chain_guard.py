"""Runs the filter chain so that each request gets an outcome."""

import traceback

from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.outcomes import Outcome, OutcomeUnknown
from bronzebeam.reasons import Reason
from bronzebeam.telemetry.logs import log_event


async def run_chain(chain: Handler, request: CallerRequest) -> Outcome:
    """Run the filter chain; an unexpected exception leaves the outcome unknown."""
    try:
        return await chain(request)
    except Exception:
        # Even after a programming error the caller must get a response.
        log_event(
            "internal_error",
            request_id=request.request_id,
            error=traceback.format_exc(),
        )
        return OutcomeUnknown(
            reason=Reason.INTERNAL_ERROR,
            detail="The request may have run before this entry failed.",
        )
