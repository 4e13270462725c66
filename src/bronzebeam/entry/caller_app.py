"""The callers' HTTP interface as an ASGI application."""

import traceback
import uuid
from collections.abc import Callable
from typing import Any, Final

from attrs import define, evolve

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
from bronzebeam.entry.headers import parse_headers, response_request_id
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.entry.request_parsing import METHOD, parse_request
from bronzebeam.entry.responses import HttpResponse, render_outcome
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown
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
KEYS_PATH: Final = "/v1/idempotency-keys"


@define(kw_only=True, eq=False)
class CallerApp:
    """
    Takes in callers' requests.

    :ivar chain: the filter chain.
    :ivar mint_key: mints a key that only this process runs; None if it has no room.
    :ivar document: returns the document in force, None before the first.
    """

    chain: Handler
    active_document: Callable[[], AcceptedDocument | None]
    mint_key: Callable[[], str | None]
    lifecycle: Lifecycle
    tracing: Tracing
    metrics: QueryMetrics
    clock: Clock
    body_max_bytes: int

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._answer_query(scope, receive, send)

    def _connection_headers(self) -> list[tuple[str, str]]:
        return [("connection", "close")] if self.lifecycle.is_draining else []

    async def _answer_query(self, scope: Scope, receive: Receive, send: Send) -> None:
        with self.lifecycle.track_request():
            try:
                answer = await self._query(scope, receive)
                headers = [*answer.headers, *self._connection_headers()]
                await send_response(
                    send, status=answer.status, headers=headers, body=answer.body
                )
            except CallerDisconnected:
                log_event("caller_left", path=scope["path"])

    async def _query(self, scope: Scope, receive: Receive) -> HttpResponse:
        arrived = self.clock.monotonic_seconds()
        headers = parse_headers(scope["headers"])
        request_id = uuid.uuid4().hex
        answer_id = response_request_id(headers=headers, new_request_id=request_id)
        with self.tracing.span(SPAN_CALLER_REQUEST, parent=headers) as span:
            outcome = await self._outcome(
                scope, receive, headers, request_id, arrived, span
            )
            span.annotate(outcome=outcome.tag, request_id=answer_id)
            answer = render_outcome(outcome, request_id=answer_id)
        self._record(scope, outcome, answer, arrived, span, answer_id)
        return answer

    async def _outcome(
        self,
        scope: Scope,
        receive: Receive,
        headers: dict[str, str],
        request_id: str,
        arrived: float,
        span: SpanScope,
    ) -> Outcome:
        if scope["path"] == KEYS_PATH:
            return self._new_key(scope["method"])
        document = self.active_document()
        if document is None:
            return NotRun(
                reason=Reason.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_MS,
                detail="no configuration is in force here yet",
            )
        try:
            body = await read_body(receive, max_bytes=self.body_max_bytes)
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
            now_seconds=arrived,
            new_request_id=request_id,
            body_max_bytes=self.body_max_bytes,
            trace_headers=span.headers,
        )
        if isinstance(request, NotRun):
            return request
        with self.tracing.span(SPAN_FILTER_CHAIN, parent=span.headers) as inner:
            request = evolve(request, trace_headers=inner.headers)
            return await self._run(request, request_id)

    async def _run(self, request: CallerRequest, request_id: str) -> Outcome:
        try:
            return await self.chain(request)
        except Exception:
            # A fault of the program must not leave the caller without an answer.
            log_event(
                "internal_error", request_id=request_id, error=traceback.format_exc()
            )
            return OutcomeUnknown(
                reason=Reason.INTERNAL_ERROR,
                detail="The request may have run before this entry failed.",
            )

    def _new_key(self, method: str) -> Outcome:
        if method != METHOD:
            return NotRun(reason=Reason.METHOD_NOT_ALLOWED, detail=f"Use {METHOD}.")
        key = self.mint_key()
        if key is None:
            return NotRun(
                reason=Reason.OVERLOADED,
                retry_after_ms=NOT_READY_RETRY_MS,
                detail="too many keys of this entry are unspent",
            )
        return Answered(result={"idempotency_key": key})

    def _record(
        self,
        scope: Scope,
        outcome: Outcome,
        answer: HttpResponse,
        arrived: float,
        span: SpanScope,
        answer_id: str,
    ) -> None:
        elapsed_seconds = self.clock.monotonic_seconds() - arrived
        service = _service_of(scope["path"], self.active_document())
        self.metrics.record(
            service=service, outcome=outcome, elapsed_seconds=elapsed_seconds
        )
        log_event(
            "request",
            service=service,
            outcome=outcome.tag,
            status=answer.status,
            elapsed_ms=round(elapsed_seconds * 1000, 1),
            request_id=answer_id,
            trace=span.headers.get("traceparent", ""),
            **_cause(outcome),
        )


def _cause(outcome: Outcome) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    reason = getattr(outcome, "reason", None)
    if reason is not None:
        fields["reason"] = str(reason)
    coverage = getattr(outcome, "coverage", None)
    if coverage is not None:
        fields["index_version"] = coverage.index_version
        fields["missing"] = len(coverage.missing)
    return fields


def _service_of(path: str, document: AcceptedDocument | None) -> str:
    """Return the service's name only if the document has it, to bound the labels."""
    parts = path.split("/")
    name = parts[3] if len(parts) > 3 else ""
    if document is None or document.document.service(name) is None:
        return "unknown"
    return name
