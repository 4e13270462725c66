"""Parses and validates the headers of a caller's request."""

import re
from collections.abc import Iterable, Mapping
from typing import Final

from attrs import frozen

from bronzebeam.documents.model import EnvironmentDocument, OperationSpec, ServiceSpec
from bronzebeam.reasons import Reason

DEADLINE_HEADER: Final = "bronzebeam-deadline-ms"
CLASS_HEADER: Final = "bronzebeam-class"
CALLER_HEADER: Final = "bronzebeam-caller"
REQUEST_ID_HEADER: Final = "bronzebeam-request-id"
KEY_HEADER: Final = "idempotency-key"
ATTEMPT_HEADER: Final = "bronzebeam-attempt"

ANONYMOUS_CALLER: Final = "anonymous"
FALLBACK_CLASS: Final = "default"

DEADLINE_PATTERN: Final = re.compile(r"[0-9]{1,9}", re.ASCII)
CALLER_PATTERN: Final = re.compile(r"[A-Za-z0-9._:@-]{1,128}", re.ASCII)
REQUEST_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9._:-]{1,128}", re.ASCII)
ATTEMPT_PATTERN: Final = re.compile(r"[0-9]{1,6}", re.ASCII)
KEY_PATTERN: Final = re.compile(r"[A-Za-z0-9._:~+/=-]{1,255}", re.ASCII)


@frozen(kw_only=True)
class ValidationIssue:
    """
    One validation error in a caller's request.

    :ivar place: name of the header, or `body`.
    :ivar message: description of the error, in one sentence.
    """

    place: str
    reason: Reason
    message: str


def parse_headers(pairs: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """
    Build a mapping of headers with names in lower case.

    Values of a name that occurs more than once are joined by commas, as HTTP
    specifies, so that two different keys or deadlines fail their syntax check.
    """
    headers: dict[str, str] = {}
    for raw_name, raw_value in pairs:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1").strip()
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers


def response_request_id(*, headers: Mapping[str, str], new_request_id: str) -> str:
    """Return the identifier to respond with: the caller's if valid, else the new."""
    given = headers.get(REQUEST_ID_HEADER)
    if given is None or not REQUEST_ID_PATTERN.fullmatch(given):
        return new_request_id
    return given


def parse_deadline_ms(
    headers: Mapping[str, str], service: ServiceSpec, issues: list[ValidationIssue]
) -> int:
    """
    Parse the deadline; add to `issues` if it is invalid.

    :returns: milliseconds from arrival; the service's default if missing or invalid.
    """
    text = headers.get(DEADLINE_HEADER)
    limits = service.deadline
    if text is None:
        return limits.default_ms
    deadline_ms = int(text) if DEADLINE_PATTERN.fullmatch(text) else 0
    if deadline_ms <= 0:
        reason = Reason.DEADLINE_MALFORMED
        message = "The deadline must be a whole number of milliseconds above 0."
    elif deadline_ms < limits.minimum_ms:
        reason = Reason.DEADLINE_TOO_SHORT
        message = f"The least deadline of this service is {limits.minimum_ms} ms."
    elif deadline_ms > limits.maximum_ms:
        reason = Reason.DEADLINE_TOO_LONG
        message = f"The largest deadline of this service is {limits.maximum_ms} ms."
    else:
        return deadline_ms
    issues.append(
        ValidationIssue(place=DEADLINE_HEADER, reason=reason, message=message)
    )
    return limits.default_ms


def parse_class(
    headers: Mapping[str, str],
    document: EnvironmentDocument,
    issues: list[ValidationIssue],
) -> str:
    """Parse the class of work, by default the one with the lowest priority."""
    name = headers.get(CLASS_HEADER)
    if name is None:
        # A larger number means a lower priority.
        lowest = max(document.classes, key=lambda item: item.priority, default=None)
        return FALLBACK_CLASS if lowest is None else lowest.name
    known = [item.name for item in document.classes]
    if name not in known:
        message = "The classes of work are " + ", ".join(known) + "."
        issues.append(
            ValidationIssue(
                place=CLASS_HEADER, reason=Reason.CLASS_UNKNOWN, message=message
            )
        )
    return name


def parse_caller(headers: Mapping[str, str], issues: list[ValidationIssue]) -> str:
    """Parse the caller's name; add to `issues` if it is invalid."""
    caller = headers.get(CALLER_HEADER, ANONYMOUS_CALLER)
    if not CALLER_PATTERN.fullmatch(caller):
        issues.append(
            ValidationIssue(
                place=CALLER_HEADER,
                reason=Reason.CALLER_MALFORMED,
                message="A caller is 1 to 128 letters, digits or any of . _ : @ -",
            )
        )
    return caller


def check_request_id(headers: Mapping[str, str], issues: list[ValidationIssue]) -> None:
    """Add to `issues` if the caller's request identifier is malformed."""
    request_id = headers.get(REQUEST_ID_HEADER)
    if request_id is None or REQUEST_ID_PATTERN.fullmatch(request_id):
        return
    issues.append(
        ValidationIssue(
            place=REQUEST_ID_HEADER,
            reason=Reason.REQUEST_ID_MALFORMED,
            message="A request identifier is 1 to 128 letters, digits or . _ : -",
        )
    )


def parse_idempotency_key(
    headers: Mapping[str, str],
    operation: OperationSpec | None,
    issues: list[ValidationIssue],
) -> str | None:
    """
    Parse the idempotency key; add to `issues` if it is invalid, or missing but needed.

    :returns: None if the key is missing or invalid.
    """
    key = headers.get(KEY_HEADER)
    if key is None and (operation is None or operation.idempotent):
        return None
    if key is None:
        reason = Reason.KEY_MISSING
        message = "An operation that is not idempotent needs an idempotency key."
    elif not KEY_PATTERN.fullmatch(key):
        reason = Reason.KEY_MALFORMED
        message = "A key is 1 to 255 letters, digits or any of . _ : ~ + / = -"
    else:
        return key
    issues.append(ValidationIssue(place=KEY_HEADER, reason=reason, message=message))
    return None


def parse_is_first_attempt(
    headers: Mapping[str, str], issues: list[ValidationIssue]
) -> bool:
    """
    Return whether the caller states that this is its first attempt.

    :returns: False if the header is missing or invalid.
    """
    text = headers.get(ATTEMPT_HEADER)
    if text is None:
        return False
    if ATTEMPT_PATTERN.fullmatch(text) and int(text) >= 1:
        return int(text) == 1
    issues.append(
        ValidationIssue(
            place=ATTEMPT_HEADER,
            reason=Reason.ATTEMPT_MALFORMED,
            message="The attempt must be a whole number from 1 on.",
        )
    )
    return False
