"""The clock by which rights to act expire."""

import time


def boot_seconds() -> float:
    """
    Return the time since the machine has started.

    It goes on while the process or the machine is suspended, unlike the event loop's
    clock, so that a right that others count as ended has ended here too.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
