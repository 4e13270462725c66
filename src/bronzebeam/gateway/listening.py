"""Opens the ports of a gateway, and waits for those that can't be opened yet."""

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from attrs import define, field

from bronzebeam.socket_address import SocketAddress
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.port_errors import PASSING_ERRORS
from bronzebeam.units import MS_PER_SECOND

RETRY_INTERVAL_SECONDS: Final = 0.05
LOG_INTERVAL_SECONDS: Final = 5.0
# If the queue is full, a caller's connect takes seconds.
LISTEN_BACKLOG: Final = 1_024
# Accepted at once; more would take descriptors before a limit can be applied.
ACCEPT_BATCH: Final = 16
# Of one connection, for bytes that were received and not read yet, which count as
# memory of the process on the users' platform. Linux doubles it, and by default lets it
# grow to megabytes.
RECEIVE_BUFFER_BYTES: Final = 32 * 1024


def set_queue_limits(server: asyncio.AbstractServer) -> None:
    """
    Limit what the operating system queues: connections, and bytes of each.

    More connections may wait than are accepted at once, for which asyncio has one
    parameter. Connections inherit the size of the buffer.
    """
    for transport_socket in getattr(server, "sockets", ()):
        with socket.socket(fileno=os.dup(transport_socket.fileno())) as listener:
            listener.listen(LISTEN_BACKLOG)
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )


@define(kw_only=True, eq=False, repr=False)
class Port:
    """
    A port to listen on.

    :ivar name: who connects to it, for the log.
    :ivar listen: opens the port once; raises `OSError`.
    """

    name: str
    address: SocketAddress
    listen: Callable[[], Awaitable[asyncio.AbstractServer]]
    _first_tried_at_seconds: float | None = None
    _logged_at_seconds: float = 0.0


@define(kw_only=True, eq=False, repr=False)
class PortOpener:
    """
    Opens ports independently of each other, each as soon as possible.

    :ivar listeners: of the ports that are open.
    """

    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    listeners: list[asyncio.AbstractServer] = field(factory=list)

    async def open_available(self, ports: Sequence[Port]) -> list[Port]:
        """
        Open the ports that can be opened now, and return the others.

        :raises OSError: if one of them can never be opened.
        """
        return [port for port in ports if not await self._try_open(port)]

    async def open_awaited(self, ports: Sequence[Port]) -> None:
        """
        Open ports, and wait until all of them are open.

        :raises OSError: if one of them can never be opened.
        """
        while ports:
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            ports = await self.open_available(ports)

    async def _try_open(self, port: Port) -> bool:
        try:
            listener = await port.listen()
        except OSError as error:
            if error.errno not in PASSING_ERRORS:
                address = f"{port.address.address}:{port.address.port}"
                message = f"The port for {port.name}, {address}, cannot be opened"
                raise OSError(error.errno, f"{message}: {error.strerror}") from error
            self._log_wait(port, error)
            return False
        set_queue_limits(listener)
        self.listeners.append(listener)
        if port._first_tried_at_seconds is not None:
            waited_seconds = self.loop.time() - port._first_tried_at_seconds
            self.log.event(
                "port_opened",
                port=port.name,
                waited_ms=round(MS_PER_SECOND * waited_seconds),
            )
            self.log.flush()
        return True

    def _log_wait(self, port: Port, error: OSError) -> None:
        now_seconds = self.loop.time()
        if port._first_tried_at_seconds is None:
            port._first_tried_at_seconds = now_seconds
        elif now_seconds - port._logged_at_seconds < LOG_INTERVAL_SECONDS:
            return
        port._logged_at_seconds = now_seconds
        self.log.event(
            "port_awaited",
            port=port.name,
            address=f"{port.address.address}:{port.address.port}",
            cause=str(error),
        )
        self.log.flush()
