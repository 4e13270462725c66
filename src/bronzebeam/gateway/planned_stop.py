"""The planned stop of a gateway: nothing that was accepted is cut off."""

import asyncio
from collections.abc import Sequence
from typing import Final

from attrs import define

from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.caller_connection import CallerServer
from bronzebeam.units import MS_PER_SECOND

# The balancer asks once a second and takes an instance out after two misses.
BALANCER_LAG_SECONDS: Final = 2.8
CLOSE_STEP_SECONDS: Final = 0.1
QUIET_SECONDS: Final = 0.3  # a request on its way to an idle connection arrives within
RESERVE_SECONDS: Final = 0.4  # before the process is killed


@define(kw_only=True, eq=False, repr=False)
class PlannedStop:
    """
    Carries out a planned stop.

    The process says at once that it is not ready, and answers with the end of the
    connection announced. It goes on serving while the balancer still sends callers,
    then closes connections that are idle and exits when no request is under way.
    """

    servers: Sequence[CallerServer]
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    bound_seconds: float

    async def run(self) -> int:
        """
        Stop; return the exit code.

        :returns: 0, or 1 if requests were still under way at the bound.
        """
        started_at = self.loop.time()
        for server in self.servers:
            server.closing = True
        self.log.event("stop_started", in_flight=self._in_flight())
        last_at = started_at + self.bound_seconds - RESERVE_SECONDS
        await asyncio.sleep(min(BALANCER_LAG_SECONDS, self.bound_seconds / 2))
        while self._has_connections() and self.loop.time() < last_at:
            for server in self.servers:
                server.close_idle(min_idle_seconds=QUIET_SECONDS)
            await asyncio.sleep(CLOSE_STEP_SECONDS)
        cut_off = self._in_flight()
        self.log.event(
            "stop_ended",
            cut_off=cut_off,
            elapsed_ms=round(MS_PER_SECOND * (self.loop.time() - started_at)),
        )
        return 1 if cut_off else 0

    def _in_flight(self) -> int:
        return sum(server.in_flight for server in self.servers)

    def _has_connections(self) -> bool:
        return any(server.connections for server in self.servers)
