"""Interprets the outcome of an attempt for the caller's request."""

from bronzebeam.reasons import Reason
from bronzebeam.transport.attempt import AttemptLost, AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    BackendDidNotRun,
    BackendFailed,
    BackendReply,
    BadReply,
)


def is_known_not_run(outcome: AttemptOutcome) -> bool:
    """Return whether the attempt certainly did not run."""
    if isinstance(outcome, BackendDidNotRun):
        return True
    return isinstance(outcome, AttemptLost) and not outcome.sent


def failure_reason(outcome: AttemptOutcome) -> Reason:
    """Return why `outcome` is not a usable reply."""
    match outcome:
        case BackendDidNotRun(reason="cancelled"):
            return Reason.TIMEOUT
        case BackendDidNotRun() | AttemptLost() | BadReply():
            return Reason(outcome.reason)
        case BackendFailed():
            return Reason.BACKEND_ERROR
        case BackendReply():
            return Reason.WRONG_REPLY
