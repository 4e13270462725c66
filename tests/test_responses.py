"""Tests of outcomes rendered as HTTP responses."""

import re
from pathlib import Path
from typing import Any

import orjson
from hypothesis import given, settings, strategies as st

from bronzebeam.entry.responses import (
    STATUS_OF_REASON,
    HttpResponse,
    render_outcome,
    retry_after_seconds,
)
from bronzebeam.outcomes import (
    Answered,
    Coverage,
    MissingShard,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Partial,
    Refused,
)
from bronzebeam.reasons import Reason

PARTIAL_COVERAGE = Coverage(
    index_version=12,
    shard_count=3,
    included=(0, 2),
    missing=(MissingShard(shard=1, reason=Reason.TIMEOUT),),
)


def render_and_parse(outcome: Outcome) -> tuple[HttpResponse, dict[str, Any]]:
    """Render `outcome` and parse the body of the response."""
    response = render_outcome(outcome, request_id="r-1")
    return response, orjson.loads(response.body)


def test_partial_outcome_includes_coverage() -> None:
    response, body = render_and_parse(Partial(result=[1], coverage=PARTIAL_COVERAGE))
    assert response.status == 200
    assert dict(response.headers)["bronzebeam-outcome"] == "partial"
    assert body == {
        "outcome": "partial",
        "request_id": "r-1",
        "ran": True,
        "result": [1],
        "coverage": {
            "index_version": 12,
            "shard_count": 3,
            "included": [0, 2],
            "missing": [{"shard": 1, "reason": "timeout"}],
            "complete": False,
        },
    }


def test_call_response_has_no_coverage() -> None:
    response, body = render_and_parse(Answered(result={"seat": 4}))
    assert response.status == 200
    assert body["result"] == {"seat": 4}
    assert "coverage" not in body


def test_every_reason_has_a_status_code() -> None:
    assert set(STATUS_OF_REASON) == set(Reason)
    assert all(status >= 400 for status in STATUS_OF_REASON.values())


def test_ran_is_false_only_where_nothing_ran() -> None:
    cases: list[tuple[Outcome, bool | None]] = [
        (Answered(result=1), True),
        (NotRun(reason=Reason.OVERLOADED), False),
        (OutcomeUnknown(reason=Reason.TIMEOUT), None),
        (Refused(reason=Reason.QUARANTINED), False),
        (Refused(reason=Reason.QUARANTINED, ran=True), True),
    ]
    for outcome, ran in cases:
        assert render_and_parse(outcome)[1]["ran"] is ran, outcome


def test_retry_after_is_whole_seconds_rounded_up() -> None:
    response, body = render_and_parse(
        NotRun(reason=Reason.RATE_LIMITED, retry_after_ms=1_001)
    )
    assert response.status == 429
    assert dict(response.headers)["retry-after"] == "2"
    assert body["retry_after_ms"] == 1_001
    response_without_delay = render_and_parse(NotRun(reason=Reason.UNKNOWN_SERVICE))[0]
    assert "retry-after" not in dict(response_without_delay.headers)


def test_method_not_allowed_has_allow_header() -> None:
    response = render_and_parse(NotRun(reason=Reason.METHOD_NOT_ALLOWED))[0]
    assert response.status == 405
    assert dict(response.headers)["allow"] == "POST"


def test_extra_fields_do_not_override_standard_fields() -> None:
    extra = {"findings": [1], "outcome": "answered", "ran": True, "reason": "none"}
    body = render_and_parse(NotRun(reason=Reason.BAD_REQUEST, extra=extra))[1]
    assert body["findings"] == [1]
    assert (body["outcome"], body["ran"]) == ("not_run", False)
    assert body["reason"] == "bad_request"


def test_unencodable_result_becomes_outcome_unknown() -> None:
    nested: Any = 1
    for _ in range(300):
        nested = [nested]
    for result in (nested, object(), "\ud800"):
        response, body = render_and_parse(Answered(result=result))
        assert response.status == 502
        assert (body["outcome"], body["ran"]) == ("outcome_unknown", None)


def test_not_run_stays_not_run_when_its_detail_cannot_be_encoded() -> None:
    body = render_and_parse(NotRun(reason=Reason.UNKNOWN_PATH, detail="\ud800"))[1]
    assert (body["outcome"], body["detail"]) == ("not_run", "\\ud800")


def test_unknown_reason_maps_to_status_500() -> None:
    assert render_and_parse(OutcomeUnknown(reason="gremlins"))[0].status == 500


@settings(derandomize=True, database=None, deadline=None)
@given(retry_after_ms=st.integers(min_value=0, max_value=10**9))
def test_retry_after_is_never_too_early(retry_after_ms: int) -> None:
    seconds = retry_after_seconds(retry_after_ms)
    assert 0 <= seconds * 1_000 - retry_after_ms < 1_000


def test_documentation_lists_every_reason_and_status() -> None:
    page = (Path(__file__).parent.parent / "docs" / "callers.md").read_text()
    rows = re.findall(r"^\| `([a-z_]+)` \| (\d{3}) \|", page, re.MULTILINE)
    listed = {reason: int(status) for reason, status in rows}
    assert len(rows) == len(listed)
    assert listed == {str(key): int(code) for key, code in STATUS_OF_REASON.items()}
