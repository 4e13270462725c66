"""Slow start: the weight of a replica that has only just become available."""

from typing import Final

INITIAL_WEIGHT: Final = 0.1
RAMP_SECONDS: Final = 10.0


def slow_start_weight(
    *, available_for_seconds: float, ramp_seconds: float = RAMP_SECONDS
) -> float:
    """
    Return the weight of a replica, growing from `INITIAL_WEIGHT` to 1.

    :param available_for_seconds: time since the replica became available.
    :param ramp_seconds: time after which it receives its full share.
    """
    if available_for_seconds >= ramp_seconds:
        return 1.0
    progress = max(0.0, available_for_seconds) / ramp_seconds
    return INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * progress
