"""Limits of all ports: descriptors for each, and memory in total."""

from typing import Final

from attrs import define

from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.telemetry.process_resources import ProcessResources
from bronzebeam.transport.caller_connection import CallerServer
from bronzebeam.transport.caller_memory import CallerMemory

# The rest is for replicas and the store, and for the connections that are accepted
# together before a limit is applied.
CALLER_SHARE: Final = 0.6
PEER_SHARE: Final = 0.2
READINESS_SHARE: Final = 0.02


@define(kw_only=True, eq=False, repr=False)
class CallerConnectionLimit:
    """
    Derives the limit on connections to one port, and logs when it is reached.

    :ivar port: who connects to it, for the log.
    :ivar share: of the descriptors that the process may have.
    """

    port: str
    share: float
    server: CallerServer
    resources: ProcessResources
    log: DecisionLog
    _logged: tuple[int, int, int] = (0, 0, 0)

    def __attrs_post_init__(self) -> None:
        self.update()

    def update(self) -> None:
        """Apply the present limit; to be called every few seconds."""
        server = self.server
        limit = max(1.0, self.share * self.resources.allowed_descriptors)
        server.max_connections = limit
        counts = (
            server.idle_closed_count,
            server.refused_count,
            server.slow_closed_count,
        )
        if counts != self._logged:
            idle_closed, refused, slow_closed = (
                count - logged for count, logged in zip(counts, self._logged)
            )
            self.log.event(
                "caller_connections_limited",
                port=self.port,
                limit=limit,
                idle_closed=idle_closed,
                refused=refused,
                slow_closed=slow_closed,
            )
            self._logged = counts


@define(kw_only=True, eq=False, repr=False)
class CallerMemoryLog:
    """Logs when the limits on the memory of all ports are reached."""

    memory: CallerMemory
    log: DecisionLog
    _logged: tuple[int, int] = (0, 0)

    def update(self) -> None:
        """Log what was refused or closed; to be called every few seconds."""
        memory = self.memory
        counts = memory.refused_count, memory.unread_closed_count
        if counts != self._logged:
            self.log.event(
                "caller_memory_limited",
                received_bytes=memory.received_bytes,
                limit=memory.max_received_bytes,
                refused=counts[0] - self._logged[0],
                unread_limit=memory.max_unread_bytes,
                unread_closed=counts[1] - self._logged[1],
            )
            self._logged = counts
