"""Graceful shutdown of a gateway: completes the requests that it has accepted."""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define

from bronzebeam.gateway.process_end import EXIT_REQUESTS_CUT_OFF
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
MIN_SUSPENSION_SECONDS: Final = 0.01  # the two clocks don't differ by as much otherwise


@define(kw_only=True, eq=False, repr=False)
class GracefulShutdown:
    """
    Shuts the gateway down without cutting off requests.

    From the start the readiness check fails and responses carry `Connection: close`.
    The process keeps serving while the load balancer still routes callers to it, then
    closes idle connections and exits once no connection is left. Requests that could
    not be answered before are refused; see docs/design/stops.md.

    The time until the process is killed runs from the signal, also while the process is
    paused or its machine suspended.

    :ivar listeners: accept connections for the servers.
    :ivar timeout_seconds: time until the process is killed.
    :ivar requested_at_seconds: earliest time at which the signal may have come, on the
        clock of `boot_seconds`.
    :ivar boot_seconds: a clock that goes on while the process is suspended.
    :ivar routed_seconds: for how long the load balancer still sends callers.
    :ivar set_answer_by: called with the monotonic time by which the last answers have
        to leave; again if that becomes earlier.
    """

    servers: Sequence[CallerServer]
    listeners: Sequence[asyncio.AbstractServer]
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    timeout_seconds: float
    requested_at_seconds: float
    boot_seconds: Callable[[], float]
    set_answer_by: Callable[[float], None]
    routed_seconds: float = LOAD_BALANCER_DELAY_SECONDS
    _answer_by_seconds: float = math.inf

    async def run(self) -> int:
        """
        Shut down.

        :return: exit code; 0, or 1 if requests were still in flight at the deadline.
        """
        started_at = self.loop.time()
        for server in self.servers:
            server.closing = True
        self.log.event(
            "stop_started",
            in_flight=self._in_flight(),
            paused_ms=round(MS_PER_SECOND * self._elapsed_seconds()),
        )
        is_routed_until = started_at + min(
            self.routed_seconds, self.timeout_seconds / 2
        )
        try:
            await self._serve_until_unused(is_routed_until)
        finally:
            # Also after an exception, which then ends the process.
            await self._answer_the_last()
        cut_off = self._in_flight()
        self.log.event(
            "stop_ended",
            cut_off=cut_off,
            elapsed_ms=round(MS_PER_SECOND * self._elapsed_seconds()),
        )
        return EXIT_REQUESTS_CUT_OFF if cut_off else 0

    async def _serve_until_unused(self, is_routed_until: float) -> None:
        while (remaining_seconds := self._update_answer_by()) > 0.0:
            if self.loop.time() >= is_routed_until:
                if not self._has_connections():
                    return
                for server in self.servers:
                    server.close_idle(min_idle_seconds=MIN_IDLE_SECONDS)
            await asyncio.sleep(
                min(CLOSE_INTERVAL_SECONDS, max(FINAL_CHECK_SECONDS, remaining_seconds))
            )

    def _update_answer_by(self) -> float:
        """Set when the last answers have to leave; return the seconds until then."""
        deadline_seconds = self.timeout_seconds - KILL_MARGIN_SECONDS
        remaining_seconds = (
            deadline_seconds - FINAL_ANSWERS_SECONDS - self._elapsed_seconds()
        )
        answer_by_seconds = self.loop.time() + remaining_seconds
        lost_seconds = self._answer_by_seconds - answer_by_seconds
        if lost_seconds >= MIN_SUSPENSION_SECONDS:
            if self._answer_by_seconds < math.inf:
                lost_ms = round(MS_PER_SECOND * lost_seconds)
                self.log.event("stop_shortened", suspended_ms=lost_ms)
            self._answer_by_seconds = answer_by_seconds
            self.set_answer_by(answer_by_seconds)
        return remaining_seconds

    async def _answer_the_last(self) -> None:
        """Accept no more connections, and answer what is left."""
        for listener in self.listeners:
            listener.close()
        while self._has_connections():
            for server in self.servers:
                for error in server.end_requests():
                    self.log.event(
                        "task_failed", task="last_answers", cause=repr(error)
                    )
                server.close_idle(min_idle_seconds=0.0)
            await asyncio.sleep(FINAL_CHECK_SECONDS)
            if self._elapsed_seconds() >= self.timeout_seconds - KILL_MARGIN_SECONDS:
                return

    def _elapsed_seconds(self) -> float:
        return self.boot_seconds() - self.requested_at_seconds

    def _in_flight(self) -> int:
        return sum(server.in_flight for server in self.servers)

    def _has_connections(self) -> bool:
        return any(server.connections for server in self.servers)
