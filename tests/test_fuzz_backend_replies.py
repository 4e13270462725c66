"""Fuzz tests of the parsing of replies from backend servers."""

from typing import Any

import orjson
from hypothesis import example, given, settings, strategies as st

from bronzebeam.filters.attempt_outcomes import failure_reason, is_known_not_run
from bronzebeam.routing.snapshots import pick_snapshot
from bronzebeam.transport.backend_protocol import (
    MAX_SHARDS,
    BackendDidNotRun,
    BackendFailed,
    BackendReply,
    BadReply,
    parse_reply,
)
from tests.fixtures_asgi import JSON_VALUES

STATUSES = st.sampled_from([200, 409, 503, 500, 404, 0])
NUMBERS = st.integers(-(2**63), 2**63) | st.floats() | st.booleans()
HOLDINGS = st.lists(
    st.lists(NUMBERS | JSON_VALUES, max_size=4) | JSON_VALUES, max_size=4
)
VALID_REPLY: dict[str, Any] = {
    "request_id": "r-1",
    "load": {"in_flight": 0, "draining": False},
    "holdings": [[1, 0, 2]],
    "result": [],
    "index_version": 1,
    "shard": 0,
    "shard_count": 2,
}
FIELD_CHANGES = st.fixed_dictionaries(
    {},
    optional={
        "request_id": JSON_VALUES | st.just("r-1"),
        "load": JSON_VALUES
        | st.fixed_dictionaries(
            {"in_flight": NUMBERS | JSON_VALUES, "draining": JSON_VALUES}
        ),
        "holdings": HOLDINGS | JSON_VALUES,
        "result": JSON_VALUES,
        "error": JSON_VALUES
        | st.sampled_from(["overloaded", "draining", "version_gone"]),
        "ran": JSON_VALUES | st.just(False),
        "retry_after_ms": JSON_VALUES | NUMBERS,
        "index_version": JSON_VALUES,
        "shard": JSON_VALUES,
        "shard_count": JSON_VALUES,
    },
)


def _check_reply(status: int, body: bytes) -> None:
    reply = parse_reply(replica="a", request_id="r-1", status=status, body=body)
    assert isinstance(reply, (BackendReply, BackendDidNotRun, BackendFailed, BadReply))
    failure_reason(reply)
    if is_known_not_run(reply):
        value = orjson.loads(body)
        assert value["ran"] is False and value["request_id"] == "r-1"
    if not isinstance(reply, (BackendReply, BackendDidNotRun)):
        return
    assert reply.load.in_flight >= 0
    if isinstance(reply, BackendDidNotRun):
        wait = reply.retry_after_ms
        assert wait is None or type(wait) is int and wait >= 0
    for row in reply.holdings or ():
        assert 0 <= row.shard < row.shard_count <= MAX_SHARDS
    if isinstance(reply, BackendReply):
        for number in (reply.index_version, reply.shard, reply.shard_count):
            assert number is None or type(number) is int
    pick_snapshot(reply.holdings or (), {"a"})


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(status=STATUSES, body=st.binary(max_size=200))
@example(status=200, body=b"[" * 100_000)
@example(status=200, body=b"")
@example(
    status=200,
    body=b'{"request_id": "r-1", "load": {"in_flight": 1e999, "draining": 0}}',
)
def test_any_bytes_parse_to_a_typed_reply(status: int, body: bytes) -> None:
    _check_reply(status, body)


@settings(derandomize=True, database=None, deadline=None, max_examples=500)
@given(status=STATUSES, changes=FIELD_CHANGES)
@example(status=503, changes={"ran": False, "error": "no such reason"})
@example(status=503, changes={"ran": False, "error": "draining", "retry_after_ms": "x"})
@example(status=200, changes={"load": {"in_flight": -1, "draining": False}})
@example(status=200, changes={"holdings": [[1, 0, 10**12]]})
@example(status=200, changes={"holdings": [[1, -1, 2]]})
@example(status=200, changes={"index_version": True})
def test_any_fields_parse_to_a_typed_reply(
    status: int, changes: dict[str, Any]
) -> None:
    try:
        body = orjson.dumps({**VALID_REPLY, **changes})
    except TypeError:
        return
    _check_reply(status, body)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(length=st.integers(0, len(orjson.dumps(VALID_REPLY)) - 1))
def test_truncated_reply_is_a_bad_reply(length: int) -> None:
    body = orjson.dumps(VALID_REPLY)[:length]
    reply = parse_reply(replica="a", request_id="r-1", status=200, body=body)
    assert reply == BadReply(reason="truncated_reply")


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(other=JSON_VALUES)
def test_reply_to_another_request_is_a_bad_reply(other: Any) -> None:
    if other == "r-1":
        return
    try:
        body = orjson.dumps({**VALID_REPLY, "request_id": other})
    except TypeError:
        return
    reply = parse_reply(replica="a", request_id="r-1", status=200, body=body)
    assert reply == BadReply(reason="wrong_reply")
