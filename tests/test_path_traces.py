"""Tests of the trace spans of a query's attempts."""

import random
from typing import Any

from attrs import evolve
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor

from bronzebeam.filters.search import SearchHandler
from bronzebeam.outcomes import Answered
from bronzebeam.telemetry.traces import Tracing
from tests.fixtures_path import RequestPath, run_path

SAMPLED = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


class SpanRecorder(SpanProcessor):
    """Collects the finished spans."""

    def __init__(self) -> None:
        self.ended: list[ReadableSpan] = []

    def on_end(self, span: ReadableSpan) -> None:
        self.ended.append(span)


def test_each_attempt_has_a_span_under_the_callers_trace() -> None:
    spans = SpanRecorder()

    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        tracing = Tracing(
            instance="a", sample_share=0.0, log_spans=False, processors=(spans,)
        )
        handler = SearchHandler(
            dispatcher=evolve(path.dispatcher, tracing=tracing, rng=random.Random(1))
        )
        request = evolve(path.request(), trace_headers={"traceparent": SAMPLED})
        assert isinstance(await handler.handle(request), Answered)

    run_path(scenario)
    attributes: list[Any] = [dict(span.attributes or {}) for span in spans.ended]
    assert sorted(item["shard"] for item in attributes) == [0, 1, 2, 3]
    assert {item["outcome"] for item in attributes} == {"BackendReply"}
    for span in spans.ended:
        assert span.context is not None and span.parent is not None
        assert f"{span.context.trace_id:032x}" == SAMPLED.split("-")[1]
        assert f"{span.parent.span_id:016x}" == SAMPLED.split("-")[2]
