"""Tracing: one span per hop, linked by W3C trace context headers."""

import re
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any, Final

from attrs import field, frozen
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, StatusCode
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from bronzebeam.telemetry.logs import log_event

TRACE_PARENT: Final = "traceparent"
TRACE_HEADERS: Final = (TRACE_PARENT, "tracestate")
UNSAMPLED_PARENT: Final = re.compile(
    r"00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f][02468ace]"
)
NS_PER_MS: Final = 1_000_000

SPAN_CALLER_REQUEST: Final = "caller_request"
SPAN_FILTER_CHAIN: Final = "filter_chain"
SPAN_SHARD_ATTEMPT: Final = "shard_attempt"
SPAN_PEER_CALL: Final = "peer_call"

_PROPAGATOR: Final = TraceContextTextMapPropagator()


@frozen(kw_only=True)
class SpanScope:
    """
    An open span; all methods have no effect if it is not sampled.

    :ivar headers: trace context headers for the next hop.
    """

    headers: dict[str, str] = field(factory=dict)
    _span: Span | None = field(default=None, alias="span")

    def annotate(self, **attributes: str | int | float | bool) -> None:
        """Set attributes on the span."""
        if self._span is not None:
            self._span.set_attributes(attributes)

    def fail(self, reason: str) -> None:
        """Mark the span as failed."""
        if self._span is not None:
            self._span.set_status(StatusCode.ERROR, reason)

    def end(self) -> None:
        """End the span; needed only after `Tracing.open_span`."""
        if self._span is not None:
            self._span.end()


class LogSpanProcessor(SpanProcessor):
    """Writes each finished span as one log line."""

    def on_end(self, span: ReadableSpan) -> None:
        """Log `span`, if it is sampled."""
        context = span.get_span_context()
        if context is None or not context.trace_flags.sampled:
            return
        fields: dict[str, Any] = dict(span.attributes or {})
        fields.update(
            span=span.name,
            trace_id=trace.format_trace_id(context.trace_id),
            span_id=trace.format_span_id(context.span_id),
            duration_ms=_duration_ms(span),
            failed=span.status.status_code is StatusCode.ERROR,
        )
        if span.parent is not None:
            fields["parent_id"] = trace.format_span_id(span.parent.span_id)
        if span.status.description:
            fields["failure"] = span.status.description
        log_event("span", **fields)


class Tracing:
    """
    The process's tracer.

    Whether a query is sampled is decided once: by its caller's `traceparent` header if
    there is one, otherwise by its random trace identifier. All later spans of the
    query follow that decision.
    """

    def __init__(
        self,
        *,
        instance: str,
        sample_share: float,
        log_spans: bool = True,
        processors: tuple[SpanProcessor, ...] = (),
    ) -> None:
        """
        Set up the tracer.

        :param sample_share: share (0 to 1) of queries to sample if the caller sends no
            decision.
        :param log_spans: whether to write finished spans to the log.
        :param processors: additional processors of finished spans.
        """
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(sample_share)),
            resource=Resource({"service.name": "bronzebeam", "instance": instance}),
            shutdown_on_exit=False,
        )
        if log_spans:
            self._provider.add_span_processor(LogSpanProcessor())
        for processor in processors:
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("bronzebeam")

    def open_span(
        self,
        name: str,
        *,
        parent: Mapping[str, str],
        **attributes: str | int | float | bool,
    ) -> SpanScope:
        """
        Open a span that must be closed with `SpanScope.end`, possibly in another task.

        :param parent: trace headers of the caller's request, or of a parent scope.
        """
        if UNSAMPLED_PARENT.fullmatch(parent.get(TRACE_PARENT, "")):
            return SpanScope(headers=trace_context_of(parent))
        span = self._tracer.start_span(
            name, context=_extract(parent), attributes=attributes
        )
        headers = _inject(span)
        return SpanScope(headers=headers, span=span if span.is_recording() else None)

    @contextmanager
    def span(
        self,
        name: str,
        *,
        parent: Mapping[str, str],
        **attributes: str | int | float | bool,
    ) -> Iterator[SpanScope]:
        """
        Open a span for the duration of a `with` block.

        An exception raised in the block marks the span as failed.

        :param parent: as for `open_span`.
        """
        scope = self.open_span(name, parent=parent, **attributes)
        try:
            yield scope
        except BaseException as error:
            scope.fail(type(error).__name__)
            raise
        finally:
            scope.end()

    def close(self) -> None:
        """Flush and shut down the span processors."""
        self._provider.shutdown()


def trace_context_of(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the trace context headers among `headers`, whose names are lower-case."""
    return {name: headers[name] for name in TRACE_HEADERS if name in headers}


def _extract(headers: Mapping[str, str]) -> Context:
    # An empty context keeps the current span of the task from becoming the parent.
    return _PROPAGATOR.extract(trace_context_of(headers), context=Context())


def _inject(span: Span) -> dict[str, str]:
    headers: dict[str, str] = {}
    _PROPAGATOR.inject(headers, context=trace.set_span_in_context(span, Context()))
    return headers


def _duration_ms(span: ReadableSpan) -> float:
    if span.start_time is None or span.end_time is None:
        return 0.0
    return round((span.end_time - span.start_time) / NS_PER_MS, 3)
