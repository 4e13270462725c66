"""Fuzz tests of the callers' HTTP interface with raw ASGI requests."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson
import trio
import trio.testing
from hypothesis import example, given, settings, strategies as st

from bronzebeam.clock import SystemClock
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.entry.caller_app import CallerApp
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.outcomes import Answered, Coverage, Outcome
from bronzebeam.settings import DrainSettings
from bronzebeam.telemetry.query_metrics import QueryMetrics
from bronzebeam.telemetry.traces import Tracing
from tests.fixtures_asgi import (
    ANY_TEXT,
    JSON_VALUES,
    RawRequest,
    is_complete_response,
    raw_requests,
)
from tests.fixtures_callers import BOOK_PATH, SEARCH_PATH, make_document

BODY_MAX_BYTES = 2_000
OUTCOMES = {"answered", "partial", "not_run", "outcome_unknown", "refused"}
HEADER_NAMES = [
    b"bronzebeam-deadline-ms",
    b"bronzebeam-class",
    b"bronzebeam-caller",
    b"bronzebeam-request-id",
    b"idempotency-key",
    b"traceparent",
    b"tracestate",
    b"Content-Length",
]
HEADER_VALUES = st.binary(max_size=60) | st.sampled_from(
    [b"300", b"-1", b"planner", b"ward-3", b"k-1", b"9" * 400, b"\xff", b"a\r\nb: c"]
)
HEADERS = st.lists(
    st.tuples(st.sampled_from(HEADER_NAMES) | st.binary(max_size=20), HEADER_VALUES),
    max_size=8,
)
PATHS = (
    st.sampled_from([SEARCH_PATH, BOOK_PATH, "", "/", "/v1/services/guests/calls/"])
    | ANY_TEXT
)
METHODS = st.sampled_from(["POST", "GET", "HEAD"]) | ANY_TEXT
BODIES = st.one_of(
    st.binary(max_size=200),
    JSON_VALUES.filter(lambda value: _is_encodable(value)).map(orjson.dumps),
    st.sampled_from([b"[" * 900, b"[" * 251 + b"]" * 251, b"x" * 3_000, b"1e999", b""]),
)
RAW_REQUESTS = raw_requests(
    methods=METHODS, paths=PATHS, headers=HEADERS, bodies=BODIES
)
TYPICAL_REQUEST = RawRequest(
    method="POST", path=SEARCH_PATH, headers=[], chunks=[b'{"q":1}']
)
DEEPLY_NESTED_REQUEST = RawRequest(
    method="POST", path=SEARCH_PATH, headers=[], chunks=[b"[" * 254 + b"]" * 254]
)


def _is_encodable(value: Any) -> bool:
    try:
        orjson.dumps(value)
    except TypeError:
        return False
    return True


async def _echo(request: CallerRequest) -> Outcome:
    await anyio.sleep(0.01 if request.payload else 0.02)
    coverage = Coverage(index_version=1, shard_count=1, included=(0,))
    return Answered(result=[request.payload], coverage=coverage)


def _make_app(
    document: Callable[[], AcceptedDocument | None] = make_document,
) -> CallerApp:
    clock = SystemClock()
    return CallerApp(
        chain=_echo,
        active_document=document,
        mint_key=lambda: None,
        lifecycle=Lifecycle(
            drain_settings=DrainSettings(lag_ms=1, bound_ms=2), clock=clock
        ),
        tracing=Tracing(instance="entry-1", sample_share=0.0, log_spans=False),
        metrics=QueryMetrics(),
        clock=clock,
        body_max_bytes=BODY_MAX_BYTES,
    )


def _run_requests(app: CallerApp, *requests: RawRequest) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            for request in requests:
                group.start_soon(app, request.scope, request.receive, request.send)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@settings(derandomize=True, database=None, deadline=None, max_examples=400)
@given(request=RAW_REQUESTS)
@example(request=TYPICAL_REQUEST)
@example(request=DEEPLY_NESTED_REQUEST)
def test_any_request_gets_one_complete_response_unless_truncated(
    request: RawRequest,
) -> None:
    app = _make_app()
    _run_requests(app, request)
    assert app.lifecycle.in_flight == 0
    assert request.read_bytes <= BODY_MAX_BYTES + max(map(len, request.chunks))
    if not request.sent_messages:
        assert request.is_truncated
        return
    assert is_complete_response(request)
    value = orjson.loads(request.body)
    assert value["outcome"] in OUTCOMES
    assert (value["outcome"] == "not_run") == (value["ran"] is False)


@settings(derandomize=True, database=None, deadline=None, max_examples=100)
@given(request=RAW_REQUESTS)
def test_any_request_before_the_first_document_is_not_run(request: RawRequest) -> None:
    _run_requests(_make_app(document=lambda: None), request)
    assert orjson.loads(request.body)["reason"] == "not_ready"


@settings(derandomize=True, database=None, deadline=None, max_examples=100)
@given(
    others=st.lists(RAW_REQUESTS, max_size=4),
    payloads=st.lists(st.integers(0, 10**6), min_size=2, max_size=5, unique=True),
)
def test_concurrent_callers_get_their_own_responses(
    others: list[RawRequest], payloads: list[int]
) -> None:
    own = [
        RawRequest(
            method="POST",
            path=SEARCH_PATH,
            headers=[],
            chunks=[orjson.dumps({"secret": payload})],
        )
        for payload in payloads
    ]
    _run_requests(_make_app(), *others, *own)
    for request, payload in zip(own, payloads):
        value = orjson.loads(request.body)
        assert value["result"] == [{"secret": payload}]
    for request in others:
        if request.sent_messages:
            assert b"secret" not in request.body or b"secret" in b"".join(
                request.chunks
            )


@settings(derandomize=True, database=None, deadline=None, max_examples=50)
@given(paths=st.lists(ANY_TEXT, min_size=5, max_size=20))
def test_unknown_paths_add_no_metrics(paths: list[str]) -> None:
    app = _make_app()
    sizes = []
    for path in paths:
        _run_requests(
            app, RawRequest(method="POST", path=path, headers=[], chunks=[b"1"])
        )
        sizes.append(app.metrics.render(now_seconds=0.0).count("\n"))
    assert len(set(sizes)) == 1
