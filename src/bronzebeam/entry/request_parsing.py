"""Validates a caller's HTTP request and converts it to a `CallerRequest`."""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import orjson
from attrs import frozen

from bronzebeam.documents.model import (
    AcceptedDocument,
    EnvironmentDocument,
    OperationSpec,
    ServiceKind,
    ServiceSpec,
)
from bronzebeam.entry.headers import (
    ValidationIssue,
    check_request_id,
    parse_caller,
    parse_class,
    parse_deadline_ms,
    parse_idempotency_key,
    parse_is_first_attempt,
)
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.outcomes import NotRun
from bronzebeam.reasons import Reason
from bronzebeam.telemetry.traces import trace_context_of
from bronzebeam.units import MS_PER_SECOND

ALLOWED_METHOD: Final = "POST"
BODY_PLACE: Final = "body"
MAX_QUOTED_CHARACTERS: Final = 100
MAX_BODY_DEPTH: Final = 250


@frozen(kw_only=True)
class RequestTarget:
    """The service and operation in a request path; no operation means a search."""

    service: ServiceSpec
    operation: OperationSpec | None


def parse_request(
    *,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    document: AcceptedDocument,
    now_seconds: float,
    new_request_id: str,
    body_max_bytes: int,
    trace_headers: Mapping[str, str] | None = None,
) -> CallerRequest | NotRun:
    """
    Validate a caller's request against the active document; never raises.

    :param headers: names in lower case; see `headers.parse_headers`.
    :param now_seconds: monotonic time of arrival.
    :param new_request_id: identifier of this attempt, unique within the fleet; the
        caller's own identifier may not be unique, so it is only returned to it.
    :param trace_headers: trace context to propagate; the caller's own by default.
    """
    target = find_target(path=path, document=document.document)
    if isinstance(target, NotRun):
        return target
    if method != ALLOWED_METHOD:
        return _not_run(
            Reason.METHOD_NOT_ALLOWED, f"Use {ALLOWED_METHOD}, not {_quote(method)}."
        )
    if len(body) > body_max_bytes:
        return _not_run(
            Reason.BODY_TOO_LARGE,
            f"The body has {len(body)} bytes, more than {body_max_bytes}.",
        )
    issues: list[ValidationIssue] = []
    deadline_ms = parse_deadline_ms(headers, target.service, issues)
    class_name = parse_class(headers, document.document, issues)
    caller = parse_caller(headers, issues)
    check_request_id(headers, issues)
    is_first_attempt = parse_is_first_attempt(headers, issues)
    key = parse_idempotency_key(headers, target.operation, issues)
    payload, fingerprint = _parse_body(body, target, issues)
    if issues:
        return _reject(issues)
    return CallerRequest(
        request_id=new_request_id,
        caller=caller,
        document=document.document,
        document_revision=document.revision,
        service=target.service,
        operation=target.operation,
        class_name=class_name,
        arrived_at_seconds=now_seconds,
        deadline_at_seconds=now_seconds + deadline_ms / MS_PER_SECOND,
        payload=payload,
        fingerprint=fingerprint,
        idempotency_key=key,
        first_attempt=is_first_attempt,
        trace_headers=trace_context_of(
            headers if trace_headers is None else trace_headers
        ),
    )


def find_target(*, path: str, document: EnvironmentDocument) -> RequestTarget | NotRun:
    """Find the service and operation in `path`; `NotRun` if there are none."""
    match path.split("/"):
        case ["", "v1", "services", name, "search"]:
            operation_name = None
        case ["", "v1", "services", name, "calls", operation_name]:
            pass
        case _:
            return _not_run(Reason.UNKNOWN_PATH, f"There is nothing at {_quote(path)}.")
    service = document.service(name)
    if service is None:
        return _not_run(Reason.UNKNOWN_SERVICE, f"There is no service {_quote(name)}.")
    if operation_name is None:
        if service.kind is ServiceKind.SEARCH:
            return RequestTarget(service=service, operation=None)
        return _not_run(
            Reason.UNKNOWN_OPERATION, f"Service {name} takes calls, not searches."
        )
    operation = service.operation(operation_name)
    if operation is None:
        return _not_run(
            Reason.UNKNOWN_OPERATION,
            f"Service {name} has no operation {_quote(operation_name)}.",
        )
    return RequestTarget(service=service, operation=operation)


def compute_fingerprint(*, service: str, operation: str | None, payload: Any) -> str:
    """
    Hash a request; the hash is the same if the request is sent again.

    :raises TypeError: if the payload cannot be encoded as JSON, for example because
        it is nested 254 levels deep.
    """
    canonical = orjson.dumps([service, operation, payload], option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(canonical).hexdigest()


def _parse_body(
    body: bytes, target: RequestTarget, issues: list[ValidationIssue]
) -> tuple[Any, str]:
    try:
        payload = orjson.loads(body)
    except ValueError as error:
        return _report_malformed_body(issues, f"The body is not JSON: {error}.")
    if _exceeds_max_depth(body, payload):
        return _report_malformed_body(
            issues, f"The body has more than {MAX_BODY_DEPTH} levels."
        )
    fingerprint = compute_fingerprint(
        service=target.service.name,
        operation=target.operation.name if target.operation else None,
        payload=payload,
    )
    return payload, fingerprint


def _report_malformed_body(
    issues: list[ValidationIssue], message: str
) -> tuple[None, str]:
    issues.append(
        ValidationIssue(place=BODY_PLACE, reason=Reason.BODY_MALFORMED, message=message)
    )
    return None, ""


def _exceeds_max_depth(body: bytes, payload: Any) -> bool:
    # The JSON encoder supports 254 levels, and messages to backend servers and peers
    # wrap the body in further levels.
    if body.count(b"[") + body.count(b"{") <= MAX_BODY_DEPTH:
        return False
    level = [payload]
    for _ in range(MAX_BODY_DEPTH):
        level = [inner for value in level for inner in _children(value)]
    return any(isinstance(value, (dict, list)) for value in level)


def _children(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _reject(issues: list[ValidationIssue]) -> NotRun:
    reasons = {issue.reason for issue in issues}
    reason = reasons.pop() if len(reasons) == 1 else Reason.BAD_REQUEST
    findings = [
        {"place": issue.place, "reason": issue.reason, "message": issue.message}
        for issue in issues
    ]
    detail = " ".join(f"{issue.place}: {issue.message}" for issue in issues)
    return NotRun(reason=reason, detail=detail, extra={"findings": findings})


def _not_run(reason: Reason, detail: str) -> NotRun:
    return NotRun(reason=reason, detail=detail)


def _quote(text: str) -> str:
    return ascii(text[:MAX_QUOTED_CHARACTERS])
