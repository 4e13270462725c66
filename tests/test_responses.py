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


def show(outcome: Outcome) -> tuple[HttpResponse, dict[str, Any]]:
    """Render `outcome` and decode the body."""
    answer = render_outcome(outcome, request_id="r-1")
    return answer, orjson.loads(answer.body)


def test_partial_answer_states_its_coverage() -> None:
    answer, body = show(Partial(result=[1], coverage=PARTIAL_COVERAGE))
    assert answer.status == 200
    assert dict(answer.headers)["bronzebeam-outcome"] == "partial"
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


def test_call_answer_has_no_coverage() -> None:
    answer, body = show(Answered(result={"seat": 4}))
    assert answer.status == 200
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
        assert show(outcome)[1]["ran"] is ran, outcome


def test_retry_after_is_whole_seconds_rounded_up() -> None:
    answer, body = show(NotRun(reason=Reason.RATE_LIMITED, retry_after_ms=1_001))
    assert answer.status == 429
    assert dict(answer.headers)["retry-after"] == "2"
    assert body["retry_after_ms"] == 1_001
    never = show(NotRun(reason=Reason.UNKNOWN_SERVICE))[0]
    assert "retry-after" not in dict(never.headers)


def test_wrong_method_names_the_right_one() -> None:
    answer = show(NotRun(reason=Reason.METHOD_NOT_ALLOWED))[0]
    assert answer.status == 405
    assert dict(answer.headers)["allow"] == "POST"


def test_findings_cannot_replace_fixed_fields() -> None:
    extra = {"findings": [1], "outcome": "answered", "ran": True, "reason": "none"}
    body = show(NotRun(reason=Reason.BAD_REQUEST, extra=extra))[1]
    assert body["findings"] == [1]
    assert (body["outcome"], body["ran"]) == ("not_run", False)
    assert body["reason"] == "bad_request"


def test_result_beyond_json_is_not_called_answered() -> None:
    nested: Any = 1
    for _ in range(300):
        nested = [nested]
    for result in (nested, object(), "\ud800"):
        answer, body = show(Answered(result=result))
        assert answer.status == 502
        assert (body["outcome"], body["ran"]) == ("outcome_unknown", None)


def test_not_run_stays_not_run_when_its_detail_cannot_be_encoded() -> None:
    body = show(NotRun(reason=Reason.UNKNOWN_PATH, detail="\ud800"))[1]
    assert (body["outcome"], body["detail"]) == ("not_run", "\\ud800")


def test_unlisted_reason_is_a_server_error() -> None:
    assert show(OutcomeUnknown(reason="gremlins"))[0].status == 500


@settings(derandomize=True, database=None, deadline=None)
@given(retry_after_ms=st.integers(min_value=0, max_value=10**9))
def test_retry_after_is_never_too_early(retry_after_ms: int) -> None:
    seconds = retry_after_seconds(retry_after_ms)
    assert 0 <= seconds * 1_000 - retry_after_ms < 1_000


def test_page_repeats_the_table_of_reasons() -> None:
    page = (Path(__file__).parent.parent / "docs" / "callers.md").read_text()
    rows = re.findall(r"^\| `([a-z_]+)` \| (\d{3}) \|", page, re.MULTILINE)
    listed = {reason: int(status) for reason, status in rows}
    assert len(rows) == len(listed)
    assert listed == {str(key): int(code) for key, code in STATUS_OF_REASON.items()}
