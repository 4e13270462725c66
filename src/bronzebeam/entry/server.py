"""HTTP servers of a process, based on hypercorn."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, cast

from hypercorn.asyncio import serve
from hypercorn.config import Config

KEEP_ALIVE_TIMEOUT_SECONDS: Final = 75.0
BACKLOG: Final = 512

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

    :param bind: IP address and port.
    :param graceful_timeout_seconds: longest wait for running requests to finish.
    """
    config = Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_SECONDS
    config.graceful_timeout = graceful_timeout_seconds
    config.shutdown_timeout = graceful_timeout_seconds
    await serve(cast(Any, app), config, shutdown_trigger=cast(Any, shutdown_trigger))
