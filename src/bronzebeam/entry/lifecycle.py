"""Lifecycle of an entry process: serving, draining, ended."""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Final

import anyio
from attrs import define, field

from bronzebeam.clock import Clock
from bronzebeam.settings import DrainSettings
from bronzebeam.telemetry.logs import log_event
from bronzebeam.units import MS_PER_SECOND

POLL_INTERVAL_SECONDS: Final = 0.05


class Phase(Enum):
    """Phases of the process, in order."""

    SERVING = "serving"
    DRAINING = "draining"
    ENDED = "ended"


@define(kw_only=True, eq=False)
class Lifecycle:
    """
    Counts requests in flight and performs the graceful shutdown.

    :ivar close_seconds: longest time that the process takes to exit after the drain.
    :ivar in_flight: unanswered requests, from callers or forwarded by peers.
    :ivar aborted_count: requests still in flight at the shutdown timeout.
    """

    drain_settings: DrainSettings
    clock: Clock
    close_seconds: float = 0.0
    phase: Phase = Phase.SERVING
    in_flight: int = 0
    aborted_count: int = 0
    _ended: anyio.Event = field(factory=anyio.Event, init=False)

    @property
    def is_draining(self) -> bool:
        return self.phase is not Phase.SERVING

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight during a `with` block."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def wait_until_ended(self) -> None:
        """Wait until the servers should stop."""
        await self._ended.wait()

    def mark_draining(self) -> None:
        """Report the process as not ready from now on."""
        self.phase = Phase.DRAINING

    async def drain(self) -> None:
        """
        Perform the graceful shutdown.

        The process keeps serving while the load balancer notices that it is not
        ready, then waits for requests in flight until the shutdown timeout.
        """
        started_at_seconds = self.clock.monotonic_seconds()
        log_event("drain_started", in_flight=self.in_flight)
        deadline_seconds = (
            started_at_seconds
            + self.drain_settings.bound_ms / MS_PER_SECOND
            - self.close_seconds
        )
        await anyio.sleep(self.drain_settings.lag_ms / MS_PER_SECOND)
        while self.in_flight and self.clock.monotonic_seconds() < deadline_seconds:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        self.aborted_count = self.in_flight
        self.phase = Phase.ENDED
        elapsed_ms = round((self.clock.monotonic_seconds() - started_at_seconds) * 1000)
        log_event("drain_ended", cut_off=self.aborted_count, elapsed_ms=elapsed_ms)
        self._ended.set()
