"""How long a replica wants no requests after it has turned one away."""

import math
from typing import Final

from attrs import frozen

MAX_PAUSE_SECONDS: Final = 600.0
# Used if the replica asked for a pause that can't be understood.
UNREADABLE_PAUSE_SECONDS: Final = 1.0


@frozen(kw_only=True)
class RequestedPause:
    """
    A pause that a replica has asked for.

    :ivar seconds: time for which nothing is sent to it; 0 to `MAX_PAUSE_SECONDS`.
    :ivar problem: why this is not the requested time; empty if it is.
    """

    seconds: float
    problem: str = ""


def read_pause(value: bytes) -> RequestedPause:
    """Read the value of a `Retry-After` header, in seconds with optional fractions."""
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if math.isnan(seconds):
        return RequestedPause(seconds=UNREADABLE_PAUSE_SECONDS, problem="not_a_number")
    if seconds < 0.0:
        return RequestedPause(seconds=0.0, problem="negative")
    if seconds > MAX_PAUSE_SECONDS:
        return RequestedPause(seconds=MAX_PAUSE_SECONDS, problem="too_long")
    return RequestedPause(seconds=seconds)


def return_after_seconds(*, pauses: list[float], needed: int) -> float | None:
    """
    Return when enough shards can be served again.

    :param pauses: for each shard without a usable replica, the remaining time until a
        replica of it accepts requests again; `math.inf` if that is not known.
    :param needed: how many of these shards an answer needs.
    :return: None if that is not known.
    """
    if not 0 < needed <= len(pauses):
        return None
    seconds = sorted(pauses)[needed - 1]
    return None if math.isinf(seconds) else seconds
