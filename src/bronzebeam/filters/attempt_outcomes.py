"""What an attempt's outcome means to the caller's request."""

from bronzebeam.reasons import Reason
from bronzebeam.transport.attempt import AttemptLost, AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    BackendDidNotRun,
    BackendFailed,
    BackendReply,
    BadReply,
)


def is_known_not_run(outcome: AttemptOutcome) -> bool:
    """Tell whether the attempt certainly ran nothing."""
    if isinstance(outcome, BackendDidNotRun):
        return True
    return isinstance(outcome, AttemptLost) and not outcome.sent


def failure_reason(outcome: AttemptOutcome) -> Reason:
    """Return why `outcome` brought no usable reply."""
    match outcome:
        case BackendDidNotRun(reason="cancelled"):
            return Reason.TIMEOUT
        case BackendDidNotRun() | AttemptLost() | BadReply():
            return Reason(outcome.reason)
        case BackendFailed():
            return Reason.BACKEND_ERROR
        case BackendReply():
            return Reason.WRONG_REPLY
