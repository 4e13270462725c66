"""Outcomes of calls as JSON between entries."""

from typing import Any

from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Refused


def outcome_to_json(outcome: Outcome) -> dict[str, Any]:
    """Return the JSON form of a call's outcome."""
    if isinstance(outcome, NotRun):
        return {
            "tag": outcome.tag,
            "reason": outcome.reason,
            "retry_after_ms": outcome.retry_after_ms,
            "detail": outcome.detail,
            "extra": outcome.extra,
        }
    if isinstance(outcome, OutcomeUnknown):
        return {
            "tag": outcome.tag,
            "reason": outcome.reason,
            "retry_after_ms": outcome.retry_after_ms,
            "detail": outcome.detail,
        }
    if isinstance(outcome, Refused):
        return {
            "tag": outcome.tag,
            "reason": outcome.reason,
            "retry_after_ms": outcome.retry_after_ms,
            "detail": outcome.detail,
            "ran": outcome.ran,
        }
    return {"tag": Answered.tag, "result": outcome.result}


def outcome_from_json(value: Any) -> Outcome:
    """
    Read a call's outcome.

    :raises ValueError: if it is malformed.
    """
    try:
        tag, fields = value["tag"], {k: v for k, v in value.items() if k != "tag"}
        match tag:
            case Answered.tag:
                return Answered(result=fields["result"])
            case NotRun.tag:
                return NotRun(**fields)
            case OutcomeUnknown.tag:
                return OutcomeUnknown(**fields)
            case Refused.tag:
                return Refused(**fields)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed outcome: {error!r}") from error
    raise ValueError(f"unknown outcome: {tag!r}")
