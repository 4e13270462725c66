"""Graceful shutdown of a gateway: completes the requests that it has accepted."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define

from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.caller_connection import CallerServer
from bronzebeam.units import MS_PER_SECOND

# The load balancer checks readiness every second and removes an instance after two
# failed checks.
LOAD_BALANCER_DELAY_SECONDS: Final = 2.8
CLOSE_INTERVAL_SECONDS: Final = 0.1
MIN_IDLE_SECONDS: Final = 0.3  # time for a request in transit to arrive
KILL_MARGIN_SECONDS: Final = 0.4  # exit this long before the process would be killed
FINAL_ANSWERS_SECONDS: Final = 0.2  # for the last answers to be sent
FINAL_CHECK_SECONDS: Final = 0.02


@define(kw_only=True, eq=False, repr=False)
class GracefulShutdown:
    """
    Shuts the gateway down without cutting off requests.

    From the start the readiness check fails and responses carry `Connection: close`.
    The process keeps serving while the load balancer still routes callers to it, then
    closes idle connections and exits once no connection is left. Requests that could
    not be answered before are refused; see docs/design/stops.md.

    :ivar listeners: accept connections for the servers.
    :ivar timeout_seconds: time until the process is killed.
    :ivar set_answer_by: called with the monotonic time by which the last answers have
        to leave.
    """

    servers: Sequence[CallerServer]
    listeners: Sequence[asyncio.AbstractServer]
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    timeout_seconds: float
    set_answer_by: Callable[[float], None]

    async def run(self) -> int:
        """
        Shut down.

        :return: exit code; 0, or 1 if requests were still in flight at the deadline.
        """
        started_at = self.loop.time()
        for server in self.servers:
            server.closing = True
        self.log.event("stop_started", in_flight=self._in_flight())
        deadline = started_at + self.timeout_seconds - KILL_MARGIN_SECONDS
        answer_by = deadline - FINAL_ANSWERS_SECONDS
        self.set_answer_by(answer_by)
        await asyncio.sleep(min(LOAD_BALANCER_DELAY_SECONDS, self.timeout_seconds / 2))
        while self._has_connections() and self.loop.time() < answer_by:
            for server in self.servers:
                server.close_idle(min_idle_seconds=MIN_IDLE_SECONDS)
            await asyncio.sleep(CLOSE_INTERVAL_SECONDS)
        await self._answer_the_last(deadline)
        cut_off = self._in_flight()
        self.log.event(
            "stop_ended",
            cut_off=cut_off,
            elapsed_ms=round(MS_PER_SECOND * (self.loop.time() - started_at)),
        )
        return 1 if cut_off else 0

    async def _answer_the_last(self, deadline_seconds: float) -> None:
        """Accept no more connections, and answer what is left."""
        for listener in self.listeners:
            listener.close()
        while self._has_connections() and self.loop.time() < deadline_seconds:
            for server in self.servers:
                server.end_requests()
                server.close_idle(min_idle_seconds=0.0)
            await asyncio.sleep(FINAL_CHECK_SECONDS)

    def _in_flight(self) -> int:
        return sum(server.in_flight for server in self.servers)

    def _has_connections(self) -> bool:
        return any(server.connections for server in self.servers)
