"""Tests of the parsing and validation of callers' requests."""

from typing import Any

import orjson
from hypothesis import given, settings, strategies as st

from bronzebeam.entry.headers import parse_headers, response_request_id
from bronzebeam.entry.responses import render_outcome
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.outcomes import NotRun
from bronzebeam.reasons import Reason
from tests.fixtures_callers import (
    BODY_MAX_BYTES,
    BOOK_PATH,
    SEARCH_PATH,
    parse,
    parse_accepted,
    parse_rejected,
)

TRACE_PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
ANY_TEXT = st.text(st.characters())
HEADER_NAMES = st.sampled_from(
    [
        "bronzebeam-deadline-ms",
        "bronzebeam-class",
        "bronzebeam-caller",
        "bronzebeam-request-id",
        "idempotency-key",
        "bronzebeam-attempt",
        "traceparent",
    ]
)


def test_search_uses_defaults_for_missing_headers() -> None:
    request = parse_accepted()
    assert request.operation is None and request.idempotent
    assert request.class_name == "planner"
    assert request.caller == "anonymous"
    assert request.deadline_at_seconds == 100.3
    assert request.document_revision == 7
    assert request.payload == {"q": 1}
    assert request.idempotency_key is None


def test_call_reads_headers() -> None:
    request = parse_accepted(
        path=BOOK_PATH,
        headers={
            "bronzebeam-deadline-ms": "1500",
            "bronzebeam-class": "check-in",
            "bronzebeam-caller": "ward-3",
            "bronzebeam-request-id": "mine",
            "idempotency-key": "k-1",
            "traceparent": TRACE_PARENT,
        },
    )
    assert request.operation is not None and request.operation.name == "book"
    assert request.deadline_at_seconds == 101.5
    assert request.class_name == "check-in"
    assert request.caller == "ward-3"
    assert request.idempotency_key == "k-1"
    assert request.trace_headers == {"traceparent": TRACE_PARENT}


def test_caller_request_id_is_returned_but_not_used_internally() -> None:
    headers = {"bronzebeam-request-id": "mine"}
    assert parse_accepted(headers=headers).request_id == "new-1"
    assert response_request_id(headers=headers, new_request_id="new-1") == "mine"
    malformed = {"bronzebeam-request-id": "a b"}
    assert response_request_id(headers=malformed, new_request_id="new-1") == "new-1"


def test_all_issues_of_a_request_are_reported_together() -> None:
    outcome = parse_rejected(
        path=BOOK_PATH,
        headers={
            "bronzebeam-deadline-ms": "soon",
            "bronzebeam-class": "royal",
            "bronzebeam-caller": "a b",
            "bronzebeam-request-id": "a\nb",
        },
        body=b"{",
    )
    assert outcome.reason == Reason.BAD_REQUEST
    assert outcome.retry_after_ms is None
    assert [item["reason"] for item in outcome.extra["findings"]] == [
        "deadline_malformed",
        "class_unknown",
        "caller_malformed",
        "request_id_malformed",
        "key_missing",
        "body_malformed",
    ]


def test_single_issue_sets_the_reason() -> None:
    cases: list[tuple[dict[str, Any], Reason]] = [
        ({"path": "/v1/services/guests"}, Reason.UNKNOWN_PATH),
        ({"path": SEARCH_PATH + "/"}, Reason.UNKNOWN_PATH),
        ({"path": "/v1/services/none/search"}, Reason.UNKNOWN_SERVICE),
        ({"path": "/v1/services/depots/search"}, Reason.UNKNOWN_OPERATION),
        ({"path": "/v1/services/depots/calls/pay"}, Reason.UNKNOWN_OPERATION),
        ({"path": "/v1/services/guests/calls/book"}, Reason.UNKNOWN_OPERATION),
        ({"method": "GET"}, Reason.METHOD_NOT_ALLOWED),
        ({"body": b" " * (BODY_MAX_BYTES + 1)}, Reason.BODY_TOO_LARGE),
        ({"body": b""}, Reason.BODY_MALFORMED),
        ({"body": b'"\xff"'}, Reason.BODY_MALFORMED),
        ({"body": b"[" * 600 + b"]" * 600}, Reason.BODY_MALFORMED),
        ({"path": BOOK_PATH}, Reason.KEY_MISSING),
    ]
    for arguments, reason in cases:
        assert parse_rejected(**arguments).reason == reason, arguments


def test_invalid_header_sets_the_reason() -> None:
    cases = [
        ("bronzebeam-deadline-ms", "0", Reason.DEADLINE_MALFORMED),
        ("bronzebeam-deadline-ms", "-5", Reason.DEADLINE_MALFORMED),
        ("bronzebeam-deadline-ms", "1e3", Reason.DEADLINE_MALFORMED),
        ("bronzebeam-deadline-ms", "\u0663\u0660", Reason.DEADLINE_MALFORMED),
        ("bronzebeam-deadline-ms", "4", Reason.DEADLINE_TOO_SHORT),
        ("bronzebeam-deadline-ms", "2001", Reason.DEADLINE_TOO_LONG),
        ("bronzebeam-class", "", Reason.CLASS_UNKNOWN),
        ("bronzebeam-caller", "x" * 129, Reason.CALLER_MALFORMED),
        ("bronzebeam-request-id", "", Reason.REQUEST_ID_MALFORMED),
        ("idempotency-key", "", Reason.KEY_MALFORMED),
        ("idempotency-key", "k-1\n", Reason.KEY_MALFORMED),
    ]
    for name, value, reason in cases:
        assert parse_rejected(headers={name: value}).reason == reason, (name, value)


def test_nesting_depth_of_the_body_is_limited() -> None:
    allowed = b"[" * 249 + b'{"a":1}' + b"]" * 249
    assert isinstance(parse_accepted(body=allowed).payload, list)
    for too_deep in (b"[" + allowed + b"]", b'{"a":' + allowed + b"}"):
        assert parse_rejected(body=too_deep).reason == Reason.BODY_MALFORMED
    parse_accepted(body=b"[" + b'{"a":[]},' * 300 + b"1]")
    parse_accepted(body=b'"' + b"[" * 300 + b'"')


def test_deadline_limits_are_inclusive() -> None:
    for text in ("5", "2000"):
        request = parse_accepted(headers={"bronzebeam-deadline-ms": text})
        assert request.deadline_at_seconds == 100.0 + int(text) / 1_000


def test_repeated_key_header_is_malformed() -> None:
    headers = parse_headers([(b"Idempotency-Key", b"a"), (b"idempotency-key", b"b")])
    assert (
        parse_rejected(path=BOOK_PATH, headers=headers).reason == Reason.KEY_MALFORMED
    )


def test_fingerprint_ignores_only_key_order_and_whitespace() -> None:
    first = parse_accepted(body=b'{"a":1,"b":[1,2]}').fingerprint
    assert parse_accepted(body=b' {"b":[1, 2],\n"a":1}').fingerprint == first
    assert parse_accepted(body=b'{"a":1,"b":[2,1]}').fingerprint != first
    key = {"idempotency-key": "k"}
    booking = parse_accepted(path=BOOK_PATH, headers=key).fingerprint
    lookup = parse_accepted(path="/v1/services/depots/calls/look").fingerprint
    assert len({booking, lookup, parse_accepted().fingerprint}) == 3


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(
    method=st.one_of(st.just("POST"), ANY_TEXT),
    path=st.one_of(st.sampled_from([SEARCH_PATH, BOOK_PATH]), ANY_TEXT),
    headers=st.dictionaries(HEADER_NAMES, ANY_TEXT),
    body=st.one_of(st.just(b"{}"), st.binary()),
)
def test_arbitrary_requests_never_raise(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> None:
    outcome = parse(method=method, path=path, headers=headers, body=body)
    if isinstance(outcome, CallerRequest):
        assert 100.0 < outcome.deadline_at_seconds <= 102.0
        return
    assert isinstance(outcome, NotRun)
    request_id = response_request_id(headers=headers, new_request_id="new-1")
    response = render_outcome(outcome, request_id=request_id)
    assert 400 <= response.status < 500
    assert orjson.loads(response.body)["ran"] is False


@settings(derandomize=True, database=None, deadline=None)
@given(pairs=st.lists(st.tuples(st.binary(), st.binary())))
def test_arbitrary_header_bytes_never_raise(pairs: list[tuple[bytes, bytes]]) -> None:
    headers = parse_headers(pairs)
    parse(headers=headers)
    assert all(name == name.lower() for name in headers)


def test_attempt_header_marks_only_attempt_1_as_first() -> None:
    for text, first in (("1", True), ("2", False)):
        request = parse_accepted(
            path=BOOK_PATH,
            headers={"idempotency-key": "k-1", "bronzebeam-attempt": text},
        )
        assert request.first_attempt is first
    for text in ("0", "-1", "one", ""):
        outcome = parse_rejected(
            path=BOOK_PATH,
            headers={"idempotency-key": "k-1", "bronzebeam-attempt": text},
        )
        assert outcome.reason == Reason.ATTEMPT_MALFORMED
