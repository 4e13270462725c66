"""The life of an entry process: starting, ready, draining, ended."""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Final

import anyio
from attrs import define, field

from bronzebeam.clock import Clock
from bronzebeam.settings import DrainSettings
from bronzebeam.telemetry.logs import log_event

POLL_INTERVAL_SECONDS: Final = 0.05


class Phase(Enum):
    """Phases in the order they are passed."""

    SERVING = "serving"
    DRAINING = "draining"
    ENDED = "ended"


@define(kw_only=True, eq=False)
class Lifecycle:
    """
    Counts requests in flight and carries out the planned stop.

    :ivar in_flight: requests of callers and of peers for them, not yet answered.
    :ivar cut_off: requests still in flight when the bound of the stop passed.
    """

    drain_settings: DrainSettings
    clock: Clock
    phase: Phase = Phase.SERVING
    in_flight: int = 0
    aborted_count: int = 0
    _ended: anyio.Event = field(factory=anyio.Event, init=False)

    @property
    def is_draining(self) -> bool:
        return self.phase is not Phase.SERVING

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight for the time of a `with` block."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def wait_until_ended(self) -> None:
        """Wait until the servers are to stop."""
        await self._ended.wait()

    def mark_draining(self) -> None:
        """Be not ready from now on."""
        self.phase = Phase.DRAINING

    async def drain(self) -> None:
        """
        Carry out the planned stop.

        The process goes on serving while the balancer notices that it is not
        ready, then waits for requests in flight up to the bound.
        """
        started_at_seconds = self.clock.monotonic_seconds()
        log_event("drain_started", in_flight=self.in_flight)
        deadline_seconds = started_at_seconds + self.drain_settings.bound_ms / 1000
        await anyio.sleep(self.drain_settings.lag_ms / 1000)
        while self.in_flight and self.clock.monotonic_seconds() < deadline_seconds:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        self.aborted_count = self.in_flight
        self.phase = Phase.ENDED
        elapsed_ms = round((self.clock.monotonic_seconds() - started_at_seconds) * 1000)
        log_event("drain_ended", cut_off=self.aborted_count, elapsed_ms=elapsed_ms)
        self._ended.set()
