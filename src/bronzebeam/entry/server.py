"""HTTP servers of a process, based on hypercorn."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final, cast

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

from bronzebeam.entry.unread_bodies import UnreadBodyApp
from bronzebeam.telemetry.logs import log_event
from bronzebeam.transport.port_errors import PASSING_ERRORS

KEEP_ALIVE_TIMEOUT_SECONDS: Final = 75.0
BACKLOG: Final = 512
RECEIVE_BUFFER_BYTES: Final = 65_536
RETRY_INTERVAL_SECONDS: Final = 0.05
RETRIES_PER_LINE: Final = 100

Application = Callable[[Any, Any, Any], Awaitable[None]]


async def serve_http(
    app: Application,
    *,
    bind: str,
    shutdown_trigger: Callable[[], Awaitable[None]],
    graceful_timeout_seconds: float,
) -> None:
    """
    Serve `app` until `shutdown_trigger` returns, then let running requests finish.

    A port that another process has is awaited.

    :param bind: IP address and port.
    :param graceful_timeout_seconds: longest wait for running requests to finish.
    """
    sock = await _open_port(bind, shutdown_trigger)
    if sock is None:
        return
    config = Config()
    config.bind = [f"fd://{sock.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_SECONDS
    config.graceful_timeout = graceful_timeout_seconds
    config.shutdown_timeout = graceful_timeout_seconds
    await serve(
        cast(Any, UnreadBodyApp(app=app)),
        config,
        shutdown_trigger=cast(Any, shutdown_trigger),
    )


async def _open_port(
    bind: str, shutdown_trigger: Callable[[], Awaitable[None]]
) -> socket.socket | None:
    """
    Open a port as soon as possible; None if a shutdown comes first.

    :raises OSError: if it can never be opened.
    """
    host, _, port = bind.rpartition(":")
    attempts = 0
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_at, shutdown_trigger, group.cancel_scope)
        while True:
            try:
                sock = socket.create_server((host, int(port)), backlog=BACKLOG)
            except OSError as error:
                if error.errno not in PASSING_ERRORS:
                    raise
                if attempts % RETRIES_PER_LINE == 0:
                    log_event("port_awaited", address=bind, cause=str(error))
            else:
                group.cancel_scope.cancel()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                # Accepted sockets inherit this size, which the system then keeps.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
                return sock
            attempts += 1
            await anyio.sleep(RETRY_INTERVAL_SECONDS)
    return None


async def _cancel_at(
    trigger: Callable[[], Awaitable[None]], scope: anyio.CancelScope
) -> None:
    await trigger()
    scope.cancel()
