"""Clock that is passed in to controllers, so that tests can control time."""

import time
from typing import Protocol

import anyio


class Clock(Protocol):
    """Monotonic and wall time, in seconds."""

    def monotonic_seconds(self) -> float:
        """Return the event loop's monotonic time."""

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The clock of the event loop and the operating system."""

    def monotonic_seconds(self) -> float:
        return anyio.current_time()

    def wall_seconds(self) -> float:
        return time.time()
