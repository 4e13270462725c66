"""Renders the outcome of a request as an HTTP response."""

import math
from dataclasses import replace
from http import HTTPStatus
from typing import Any, Final

import orjson
from attrs import frozen

from bronzebeam.outcomes import (
    Answered,
    Coverage,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Partial,
    Refused,
)
from bronzebeam.reasons import Reason
from bronzebeam.units import MS_PER_SECOND

CONTENT_TYPE: Final = "application/json"

STATUS_OF_REASON: Final[dict[str, HTTPStatus]] = {
    Reason.UNKNOWN_PATH: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_OPERATION: HTTPStatus.NOT_FOUND,
    Reason.METHOD_NOT_ALLOWED: HTTPStatus.METHOD_NOT_ALLOWED,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.BODY_MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.DEADLINE_MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.DEADLINE_TOO_SHORT: HTTPStatus.BAD_REQUEST,
    Reason.DEADLINE_TOO_LONG: HTTPStatus.BAD_REQUEST,
    Reason.CLASS_UNKNOWN: HTTPStatus.BAD_REQUEST,
    Reason.CALLER_MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.REQUEST_ID_MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.ATTEMPT_MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.KEY_MISSING: HTTPStatus.BAD_REQUEST,
    Reason.KEY_MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.KEY_EXPIRED: HTTPStatus.GONE,
    Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.KEY_AHEAD: HTTPStatus.CONFLICT,
    Reason.KEY_UNKNOWN: HTTPStatus.GONE,
    Reason.CLAIM_IN_PROGRESS: HTTPStatus.CONFLICT,
    Reason.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.QUARANTINED: HTTPStatus.FORBIDDEN,
    Reason.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.STORE_REGRESSED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.BUCKET_UNREADABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.CLAIMS_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.CLAIMS_OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.OWNER_LEAVING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.OWNER_OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.OWNER_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_REPLICA: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_CONNECTION: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.VERSION_GONE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.BELOW_MINIMUM_COVERAGE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.TIMEOUT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.ATTEMPT_INTERRUPTED: HTTPStatus.BAD_GATEWAY,
    Reason.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.WRONG_REPLY: HTTPStatus.BAD_GATEWAY,
    Reason.TRUNCATED_REPLY: HTTPStatus.BAD_GATEWAY,
    Reason.BACKEND_ERROR: HTTPStatus.BAD_GATEWAY,
    Reason.INTERNAL_ERROR: HTTPStatus.INTERNAL_SERVER_ERROR,
}
"""Status code of each reason; docs/callers.md lists the same table."""


@frozen(kw_only=True)
class HttpResponse:
    """
    An HTTP response.

    :ivar headers: names in lower case, without the headers that the server adds.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def render_outcome(outcome: Outcome, *, request_id: str) -> HttpResponse:
    """
    Render `outcome` as a response; never raises.

    If the result cannot be encoded as JSON, the outcome becomes `outcome_unknown`,
    because the request has run.

    :param request_id: identifier to return, see `headers.response_request_id`.
    """
    try:
        body = orjson.dumps(_response_body(outcome, request_id))
    except TypeError:
        outcome = _to_encodable(outcome)
        body = orjson.dumps(_response_body(outcome, request_id))
    return HttpResponse(
        status=status_of(outcome),
        headers=tuple(_response_headers(outcome, request_id)),
        body=body,
    )


def status_of(outcome: Outcome) -> int:
    """Return the HTTP status code of `outcome`."""
    if isinstance(outcome, (Answered, Partial)):
        return HTTPStatus.OK.value
    fallback = HTTPStatus.INTERNAL_SERVER_ERROR
    return STATUS_OF_REASON.get(outcome.reason, fallback).value


def retry_after_seconds(retry_after_ms: int) -> int:
    """Return whole seconds, rounded up, so that no caller retries too early."""
    return max(0, math.ceil(retry_after_ms / MS_PER_SECOND))


def _to_encodable(outcome: Outcome) -> Outcome:
    if isinstance(outcome, (Answered, Partial)):
        return OutcomeUnknown(
            reason=Reason.WRONG_REPLY, detail="The reply cannot be encoded as JSON."
        )
    detail = outcome.detail.encode(errors="backslashreplace").decode()
    if isinstance(outcome, NotRun):
        return replace(outcome, detail=detail, extra={})
    return replace(outcome, detail=detail)


def _response_headers(outcome: Outcome, request_id: str) -> list[tuple[str, str]]:
    headers = [
        ("content-type", CONTENT_TYPE),
        ("bronzebeam-request-id", request_id),
        ("bronzebeam-outcome", outcome.tag),
    ]
    if isinstance(outcome, (Answered, Partial)):
        return headers
    if outcome.retry_after_ms is not None:
        headers.append(
            ("retry-after", str(retry_after_seconds(outcome.retry_after_ms)))
        )
    if outcome.reason == Reason.METHOD_NOT_ALLOWED:
        headers.append(("allow", "POST"))
    return headers


def _response_body(outcome: Outcome, request_id: str) -> dict[str, Any]:
    body: dict[str, Any] = dict(outcome.extra) if isinstance(outcome, NotRun) else {}
    body["outcome"] = outcome.tag
    body["request_id"] = request_id
    body["ran"] = _has_run(outcome)
    if isinstance(outcome, (Answered, Partial)):
        body["result"] = outcome.result
    else:
        body["reason"] = outcome.reason
        body["retry_after_ms"] = outcome.retry_after_ms
        body["detail"] = outcome.detail
    coverage = getattr(outcome, "coverage", None)
    if coverage is not None:
        body["coverage"] = _coverage_to_json(coverage)
    return body


def _has_run(outcome: Outcome) -> bool | None:
    if isinstance(outcome, OutcomeUnknown):
        return None
    if isinstance(outcome, Refused):
        return outcome.ran
    return not isinstance(outcome, NotRun)


def _coverage_to_json(coverage: Coverage) -> dict[str, Any]:
    return {
        "index_version": coverage.index_version,
        "shard_count": coverage.shard_count,
        "included": coverage.included,
        "missing": [
            {"shard": item.shard, "reason": item.reason} for item in coverage.missing
        ],
        "complete": coverage.complete,
    }
