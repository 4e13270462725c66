"""Notices that the process did not run for a while, or was busy for long."""

import time
from collections.abc import Callable
from typing import Final

from attrs import define, field

# Longer than the event loop is ever busy between two beats of a loaded process.
MIN_STALL_SECONDS: Final = 0.75


@define(kw_only=True, eq=False, repr=False)
class StallClock:
    """
    Measures pauses of the process between regular beats.

    What is read first after a pause may have come at any time during it. Requests count
    as received at its start then, so that one whose time has passed is not run.

    :ivar boot_seconds: a clock that goes on while the process is suspended.
    :ivar processor_seconds: a clock of the processor time that the process has used.
    """

    boot_seconds: Callable[[], float]
    processor_seconds: Callable[[], float] = time.process_time
    _beaten_at_seconds: float = field(init=False)
    _used_at_beat_seconds: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.beat()

    def beat(self) -> None:
        """Record that the process runs; to be called several times a second."""
        self._beaten_at_seconds = self.boot_seconds()
        self._used_at_beat_seconds = self.processor_seconds()

    def stalled_seconds(self) -> float:
        """Return for how long the process has possibly not run; 0 if it has lately."""
        seconds = self.seconds_since_beat()
        return seconds if seconds >= MIN_STALL_SECONDS else 0.0

    def seconds_since_beat(self) -> float:
        """Return the time since the last beat."""
        return self.boot_seconds() - self._beaten_at_seconds

    def busy_seconds_since_beat(self) -> float:
        """Return the processor time that the process has used since the last beat."""
        return self.processor_seconds() - self._used_at_beat_seconds
