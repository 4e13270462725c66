"""Readiness of this instance to serve callers."""

import asyncio
from typing import Final

from attrs import define

from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.telemetry.decisions import DecisionLog

MAX_WARM_UP_SECONDS: Final = 1.0  # then serve with the connections there are
# An instance stays ready if all replicas are unreachable for less than this.
NO_REPLICA_GRACE_SECONDS: Final = 1.5


@define(kw_only=True, eq=False, repr=False)
class Readiness:
    """
    Decides on readiness from the configuration and the connections to replicas.

    An instance becomes ready once it has a configuration and a connection to a replica
    of each routed service, or `MAX_WARM_UP_SECONDS` after the configuration. It is not
    ready while it has no connection to any replica, since other instances may have.

    :ivar listening: all ports are open.
    :ivar stopping: a graceful shutdown has begun.
    """

    state: FleetState
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    listening: bool = False
    stopping: bool = False
    _configured_at_seconds: float | None = None
    _is_warmed_up: bool = False
    _connected_at_seconds: float = 0.0
    _reported_reason: str | None = "starting"

    def not_ready_reason(self) -> str | None:
        """Return why this instance is not ready; None if it is. Logs changes."""
        reason = self._reason()
        if reason != self._reported_reason:
            self._reported_reason = reason
            if reason is None:
                self.log.event("ready")
            else:
                self.log.event("not_ready", reason=reason)
        return reason

    def _reason(self) -> str | None:
        table = self.state.table
        now_seconds = self.loop.time()
        if self.stopping:
            return "stopping"
        if not self.listening:
            return "opening_ports"
        if table is None:
            return "no_configuration"
        if self._configured_at_seconds is None:
            self._configured_at_seconds = now_seconds
            self._connected_at_seconds = now_seconds
        connected = self.state.replicas.connected_services()
        if connected and self.state.replicas.links.lost_at_seconds is None:
            self._connected_at_seconds = now_seconds
        elif now_seconds - self._connected_at_seconds > NO_REPLICA_GRACE_SECONDS:
            return "no_replica_reachable"
        if not self._is_warmed_up:
            required_services = {
                name for route in table.routes for name in route.services
            }
            waited_seconds = now_seconds - self._configured_at_seconds
            self._is_warmed_up = (
                required_services <= connected or waited_seconds > MAX_WARM_UP_SECONDS
            )
        return None if self._is_warmed_up else "connecting"
