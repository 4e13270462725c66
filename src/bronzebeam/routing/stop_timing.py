"""Which requests a process that is about to exit still takes."""

from typing import Final

# Nearly all replies come within this multiple of the usual time.
LONGEST_REPLY_RATIO: Final = 4.0
OVERHEAD_MS: Final = 20.0  # of this instance and its connections


def can_be_answered(*, remaining_ms: float, limit_ms: float, typical_ms: float) -> bool:
    """
    Whether a request will probably be answered before the process exits.

    Otherwise it is refused at once, so that its caller goes to another instance while
    the request has certainly not run. It protects planned stops under load, where
    callers still come because too few other instances are ready.

    :param remaining_ms: time until the last answers have to leave.
    :param limit_ms: time after which the request ends in any case.
    :param typical_ms: usual reply time of its sub-requests.
    """
    needed_ms = LONGEST_REPLY_RATIO * typical_ms + OVERHEAD_MS
    return remaining_ms >= min(needed_ms, limit_ms)
