"""Serves health checks and metrics in front of another ASGI application."""

from collections.abc import Callable
from typing import Final

from attrs import define

from bronzebeam.clock import Clock
from bronzebeam.entry.asgi import Receive, Scope, Send, send_response
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.entry.server import Application
from bronzebeam.telemetry.metrics import CONTENT_TYPE as METRICS_TYPE
from bronzebeam.telemetry.query_metrics import QueryMetrics

TEXT_CONTENT_TYPE: Final = "text/plain; charset=utf-8"
LIVE_PATH: Final = "/health/live"
READY_PATH: Final = "/health/ready"
METRICS_PATH: Final = "/metrics"


@define(kw_only=True, eq=False)
class AdminApp:
    """
    Serves `/health/live`, `/health/ready` and, if `metrics` is set, `/metrics`.

    :ivar app: handles every other path.
    :ivar check_readiness: returns why the process is not ready, or None if it is.
    :ivar metrics: None on the callers' port, which does not expose metrics.
    """

    app: Application
    check_readiness: Callable[[], str | None]
    lifecycle: Lifecycle
    clock: Clock
    metrics: QueryMetrics | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        path = scope["path"] if scope["type"] == "http" else None
        if path == LIVE_PATH:
            await self._send_text(send, 200, "live\n")
        elif path == READY_PATH:
            reason = self.not_ready_reason()
            status = 200 if reason is None else 503
            await self._send_text(send, status, f"{reason or 'ready'}\n")
        elif path == METRICS_PATH and self.metrics is not None:
            text = self.metrics.render(now_seconds=self.clock.monotonic_seconds())
            await self._send_text(send, 200, text, METRICS_TYPE)
        else:
            await self.app(scope, receive, send)

    def not_ready_reason(self) -> str | None:
        """Return why the process should receive no requests, or None if it should."""
        return "draining" if self.lifecycle.is_draining else self.check_readiness()

    async def _send_text(
        self, send: Send, status: int, text: str, content_type: str = TEXT_CONTENT_TYPE
    ) -> None:
        headers = [("content-type", content_type)]
        if self.lifecycle.is_draining:
            headers.append(("connection", "close"))
        await send_response(send, status=status, headers=headers, body=text.encode())
