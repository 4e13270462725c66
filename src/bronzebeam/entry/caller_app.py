"""ASGI application that serves the callers' HTTP interface."""

import uuid
from collections.abc import Callable
from typing import Any, Final

from attrs import define, evolve, field

from bronzebeam.clock import Clock
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.entry.asgi import (
    BodyTooLarge,
    CallerDisconnected,
    Receive,
    Scope,
    Send,
    handle_lifespan,
    read_body,
    send_response,
)
from bronzebeam.entry.body_memory import BodyDisplaced, BodyMemory
from bronzebeam.entry.chain_guard import run_chain
from bronzebeam.entry.headers import parse_headers, response_request_id
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.entry.request_parsing import ALLOWED_METHOD, parse_request
from bronzebeam.entry.responses import HttpResponse, render_outcome
from bronzebeam.filters.chain import Handler
from bronzebeam.outcomes import Answered, NotRun, Outcome
from bronzebeam.reasons import Reason
from bronzebeam.telemetry.logs import log_event
from bronzebeam.telemetry.query_metrics import QueryMetrics
from bronzebeam.telemetry.traces import (
    SPAN_CALLER_REQUEST,
    SPAN_FILTER_CHAIN,
    SpanScope,
    Tracing,
)

NOT_READY_RETRY_MS: Final = 1_000
IDEMPOTENCY_KEYS_PATH: Final = "/v1/idempotency-keys"


@define(kw_only=True, eq=False)
class CallerApp:
    """
    Handles callers' requests.

    :ivar chain: the filter chain.
    :ivar active_document: returns the active document, or None before the first.
    :ivar mint_key: creates an idempotency key whose request only this process may
        execute; returns None if too many such keys are unused.
    """

    chain: Handler
    active_document: Callable[[], AcceptedDocument | None]
    mint_key: Callable[[], str | None]
    lifecycle: Lifecycle
    tracing: Tracing
    metrics: QueryMetrics
    clock: Clock
    body_max_bytes: int
    body_memory: BodyMemory = field(factory=BodyMemory)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._handle_request(scope, receive, send)

    def _connection_headers(self) -> list[tuple[str, str]]:
        return [("connection", "close")] if self.lifecycle.is_draining else []

    async def _handle_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        with self.lifecycle.track_request():
            try:
                response = await self._process_request(scope, receive)
                headers = [*response.headers, *self._connection_headers()]
                await send_response(
                    send, status=response.status, headers=headers, body=response.body
                )
            except CallerDisconnected:
                log_event("caller_left", path=scope["path"])

    async def _process_request(self, scope: Scope, receive: Receive) -> HttpResponse:
        received_at_seconds = self.clock.monotonic_seconds()
        headers = parse_headers(scope["headers"])
        request_id = uuid.uuid4().hex
        echoed_request_id = response_request_id(
            headers=headers, new_request_id=request_id
        )
        with self.tracing.span(SPAN_CALLER_REQUEST, parent=headers) as span:
            outcome = await self._determine_outcome(
                scope, receive, headers, request_id, received_at_seconds, span
            )
            span.annotate(outcome=outcome.tag, request_id=echoed_request_id)
            response = render_outcome(outcome, request_id=echoed_request_id)
        self._record_request(
            scope, outcome, response, received_at_seconds, span, echoed_request_id
        )
        return response

    async def _determine_outcome(
        self,
        scope: Scope,
        receive: Receive,
        headers: dict[str, str],
        request_id: str,
        received_at_seconds: float,
        span: SpanScope,
    ) -> Outcome:
        if scope["path"] == IDEMPOTENCY_KEYS_PATH:
            return self._create_key(scope["method"])
        document = self.active_document()
        if document is None:
            return NotRun(
                reason=Reason.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_MS,
                detail="no configuration is in force here yet",
            )
        try:
            body = await read_body(
                receive, max_bytes=self.body_max_bytes, memory=self.body_memory
            )
        except BodyDisplaced:
            return NotRun(
                reason=Reason.OVERLOADED,
                retry_after_ms=NOT_READY_RETRY_MS,
                detail="too many requests are being received",
            )
        except BodyTooLarge:
            return NotRun(
                reason=Reason.BODY_TOO_LARGE,
                detail=f"The body has more than {self.body_max_bytes} bytes.",
            )
        request = parse_request(
            method=scope["method"],
            path=scope["path"],
            headers=headers,
            body=body,
            document=document,
            now_seconds=received_at_seconds,
            new_request_id=request_id,
            body_max_bytes=self.body_max_bytes,
            trace_headers=span.headers,
        )
        if isinstance(request, NotRun):
            return request
        with self.tracing.span(SPAN_FILTER_CHAIN, parent=span.headers) as chain_span:
            request = evolve(request, trace_headers=chain_span.headers)
            return await run_chain(self.chain, request)

    def _create_key(self, method: str) -> Outcome:
        if method != ALLOWED_METHOD:
            return NotRun(
                reason=Reason.METHOD_NOT_ALLOWED, detail=f"Use {ALLOWED_METHOD}."
            )
        key = self.mint_key()
        if key is None:
            return NotRun(
                reason=Reason.OVERLOADED,
                retry_after_ms=NOT_READY_RETRY_MS,
                detail="too many keys of this entry are unspent",
            )
        return Answered(result={"idempotency_key": key})

    def _record_request(
        self,
        scope: Scope,
        outcome: Outcome,
        response: HttpResponse,
        received_at_seconds: float,
        span: SpanScope,
        echoed_request_id: str,
    ) -> None:
        elapsed_seconds = self.clock.monotonic_seconds() - received_at_seconds
        service = _service_label(scope["path"], self.active_document())
        self.metrics.record(
            service=service, outcome=outcome, elapsed_seconds=elapsed_seconds
        )
        log_event(
            "request",
            service=service,
            outcome=outcome.tag,
            status=response.status,
            elapsed_ms=round(elapsed_seconds * 1000, 1),
            request_id=echoed_request_id,
            trace=span.headers.get("traceparent", ""),
            **_outcome_log_fields(outcome),
        )


def _outcome_log_fields(outcome: Outcome) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    reason = getattr(outcome, "reason", None)
    if reason is not None:
        fields["reason"] = str(reason)
    coverage = getattr(outcome, "coverage", None)
    if coverage is not None:
        fields["index_version"] = coverage.index_version
        fields["missing"] = len(coverage.missing)
    return fields


def _service_label(path: str, document: AcceptedDocument | None) -> str:
    """
    Return the service's name, or `unknown` if the document lacks it.

    Arbitrary names in request paths must not create metric labels.
    """
    parts = path.split("/")
    name = parts[3] if len(parts) > 3 else ""
    if document is None or document.document.service(name) is None:
        return "unknown"
    return name
