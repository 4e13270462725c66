"""Tests of logs, metrics and traces."""

import io
import re
from collections.abc import Iterator
from contextlib import contextmanager

from hypothesis import given, settings, strategies as st
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from bronzebeam.telemetry.histogram import LatencyHistogram
from bronzebeam.telemetry.lines import format_value
from bronzebeam.telemetry.logs import RESERVED_FIELDS, LogOutput, log_event
from bronzebeam.telemetry.metrics import MetricRegistry
from bronzebeam.telemetry.traces import Tracing

SAMPLED = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
UNSAMPLED = SAMPLED[:-2] + "00"
NO_TRACE = f"00-{0:032x}-b7ad6b7169203331-00"


@contextmanager
def captured_log() -> Iterator[io.StringIO]:
    """Capture the log output of a `with` block."""
    stream = io.StringIO()
    output = LogOutput(stream=stream)
    try:
        yield stream
    finally:
        output.close()


def make_tracing(
    sample_share: float = 0.0, log_spans: bool = False
) -> tuple[Tracing, InMemorySpanExporter]:
    """Create a tracer that stores finished spans in memory."""
    exporter = InMemorySpanExporter()
    tracing = Tracing(
        instance="entry-1",
        sample_share=sample_share,
        log_spans=log_spans,
        processors=(SimpleSpanProcessor(exporter),),
    )
    return tracing, exporter


def rejects_counter(name: str, label_names: tuple[str, ...] = ()) -> bool:
    """Return whether a registry that has `taken_total` rejects a counter."""
    registry = MetricRegistry()
    registry.counter(name="taken_total", help_text="taken")
    try:
        registry.counter(name=name, help_text="x", label_names=label_names)
    except ValueError:
        return True
    return False


def test_event_is_logged_as_one_line_of_pairs() -> None:
    with captured_log() as stream:
        log_event("query", service="guests", took_ms=12.5, complete=False, why=None)
        log_event("note", text='two words\nand "quotes"', name="x")
    first, second = stream.getvalue().splitlines()
    assert re.match(r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z event=query ", first)
    assert first.endswith("service=guests took_ms=12.5 complete=false why=null")
    assert second.endswith('text="two words\\nand \\"quotes\\"" name=x')


def test_closed_output_receives_no_events() -> None:
    with captured_log() as stream:
        log_event("seen")
    log_event("unseen")
    assert "unseen" not in stream.getvalue()


@settings(derandomize=True, database=None, deadline=None)
@given(
    fields=st.dictionaries(
        st.text(st.characters()),
        st.none() | st.text(st.characters()) | st.lists(st.floats()) | st.binary(),
    )
)
def test_any_field_stays_on_one_line(fields: dict[str, object]) -> None:
    with captured_log() as stream:
        log_event("noted", **fields)
    (line,) = stream.getvalue().splitlines()
    assert " event=noted" in line
    line.encode("utf-8")


def test_reserved_fields_are_renamed() -> None:
    with captured_log() as stream:
        log_event("noted", **{name: None for name in RESERVED_FIELDS}, kept=1)
    (line,) = stream.getvalue().splitlines()
    assert " event=noted " in line and " kept=1" in line
    assert " field_timestamp=null" in line
    assert line.count("=null") == len(RESERVED_FIELDS)


def test_common_fields_are_appended_to_each_line() -> None:
    stream = io.StringIO()
    output = LogOutput(stream=stream, instance="entry 1")
    log_event("noted")
    output.close()
    assert stream.getvalue().endswith(' event=noted instance="entry 1"\n')


@settings(derandomize=True, database=None, deadline=None)
@given(value=st.text(st.characters()))
def test_value_is_quoted_unless_it_is_one_word(value: str) -> None:
    rendered = format_value(value)
    assert rendered == value or rendered.startswith('"')
    assert " " not in rendered or rendered.startswith('"')


def test_metrics_are_rendered_in_the_prometheus_text_format() -> None:
    registry = MetricRegistry()
    requests = registry.counter(
        name="requests_total", help_text="Requests.", label_names=("service", "outcome")
    )
    open_count = registry.gauge(name="connections_count", help_text="Open\nones.")
    latency = registry.latency(name="query_seconds", help_text="Queries.")
    requests.labels(service="guests", outcome='a"\\\n').increment()
    requests.labels(outcome='a"\\\n', service="guests").increment(2)
    open_count.labels().set(1.5)
    latency.labels().record(seconds=0.25)
    lines = registry.render(now_seconds=0.0).splitlines()
    assert lines[:5] == [
        "# HELP requests_total Requests.",
        "# TYPE requests_total counter",
        'requests_total{service="guests",outcome="a\\"\\\\\\n"} 3',
        "# HELP connections_count Open\\nones.",
        "# TYPE connections_count gauge",
    ]
    assert "connections_count 1.5" in lines
    assert "# TYPE query_seconds summary" in lines
    assert "query_seconds_sum 0.25" in lines
    assert "query_seconds_count 1" in lines
    assert sum('quantile="0.5"' in line for line in lines) == 1


def test_metric_names_are_unique_and_end_in_a_unit() -> None:
    assert rejects_counter("taken_total")
    assert rejects_counter("requests")
    assert rejects_counter("Requests_total")
    assert rejects_counter("requests_total", ("quantile",))
    assert not rejects_counter("requests_total", ("service",))


def test_unknown_labels_are_rejected() -> None:
    family = MetricRegistry().counter(
        name="requests_total", help_text="x", label_names=("service",)
    )
    family.labels(service="a")
    try:
        family.labels(service="a", caller="eve")
    except ValueError:
        return
    raise AssertionError("a label that the family lacks was accepted")


def test_quantiles_are_recomputed_once_a_second() -> None:
    histogram = LatencyHistogram(percentiles=(50.0,))
    assert histogram.percentile_ms(50.0, now_seconds=0.0) is None
    histogram.record(seconds=0.1)
    assert histogram.percentile_ms(50.0, now_seconds=0.9) is None
    median_ms = histogram.percentile_ms(50.0, now_seconds=1.0)
    assert median_ms is not None and 99.0 <= median_ms <= 101.0


def test_quantiles_exclude_latencies_older_than_two_windows() -> None:
    histogram = LatencyHistogram(percentiles=(99.0,), window_seconds=10.0)
    histogram.record(seconds=5.0)
    for second in range(25):
        histogram.record(seconds=0.01)
        latest_ms = histogram.percentile_ms(99.0, now_seconds=float(second))
        if second == 9:
            assert latest_ms is not None and latest_ms > 4_900
    assert latest_ms is not None and latest_ms < 11
    assert histogram.count == 26


@settings(derandomize=True, database=None, deadline=None)
@given(seconds=st.floats(min_value=-1.0, max_value=1e6))
def test_any_latency_is_recorded(seconds: float) -> None:
    histogram = LatencyHistogram(percentiles=(50.0,))
    histogram.record(seconds=seconds)
    median_ms = histogram.percentile_ms(50.0, now_seconds=0.0)
    assert median_ms is not None and 0 < median_ms <= 121_000


def test_spans_of_a_sampled_query_are_linked() -> None:
    tracing, exporter = make_tracing()
    with tracing.span("caller_request", parent={"traceparent": SAMPLED}) as outer:
        with tracing.span("shard_attempt", parent=outer.headers, shard=3) as inner:
            inner.annotate(replica="r2")
    attempt, request = exporter.get_finished_spans()
    assert attempt.parent is not None and request.parent is not None
    assert f"{request.parent.span_id:016x}" == SAMPLED.split("-")[2]
    assert (
        f"{attempt.parent.span_id:016x}" == outer.headers["traceparent"].split("-")[2]
    )
    assert attempt.attributes == {"shard": 3, "replica": "r2"}
    assert inner.headers["traceparent"].split("-")[1] == SAMPLED.split("-")[1]


def test_unsampled_query_forwards_its_context_and_records_no_spans() -> None:
    tracing, exporter = make_tracing(sample_share=1.0)
    with tracing.span("a", parent={"traceparent": UNSAMPLED}) as scope:
        scope.annotate(shard=1)
        scope.fail("timeout")
    assert scope.headers == {"traceparent": UNSAMPLED}
    assert exporter.get_finished_spans() == ()


def test_sampling_of_a_query_without_parent_is_decided_once() -> None:
    for share, sampled_flag in ((0.0, 0), (1.0, 1)):
        tracing, exporter = make_tracing(sample_share=share)
        for parent in ({}, {"traceparent": "junk"}, {"traceparent": NO_TRACE}):
            with tracing.span("a", parent=parent) as scope:
                pass
            flags = int(scope.headers["traceparent"].split("-")[3], 16)
            assert flags & 1 == sampled_flag
            with tracing.span("b", parent=scope.headers) as inner:
                pass
            assert (inner.headers == scope.headers) is (sampled_flag == 0)
        assert len(exporter.get_finished_spans()) == 6 * sampled_flag


def test_open_span_is_finished_by_its_end_method() -> None:
    tracing, exporter = make_tracing()
    scope = tracing.open_span("shard_attempt", parent={"traceparent": SAMPLED})
    assert exporter.get_finished_spans() == ()
    scope.fail("connection_lost")
    scope.end()
    (span,) = exporter.get_finished_spans()
    assert span.status.description == "connection_lost"


def test_finished_span_is_logged_as_one_line() -> None:
    tracing, _ = make_tracing(sample_share=1.0, log_spans=True)
    with captured_log() as stream:
        try:
            with tracing.span("shard_attempt", parent={}, shard=3):
                raise TimeoutError
        except TimeoutError:
            pass
    (line,) = stream.getvalue().splitlines()
    assert " event=span shard=3 span=shard_attempt trace_id=" in line
    assert " failed=true " in line and line.endswith("failure=TimeoutError")


def test_logging_of_spans_can_be_disabled() -> None:
    tracing, _ = make_tracing(sample_share=1.0, log_spans=False)
    with captured_log() as stream:
        with tracing.span("a", parent={}):
            pass
    assert stream.getvalue() == ""
