"""Outcomes of non-idempotent requests, in the size-limited form stored for resends."""

from typing import Any, Final

import orjson

from bronzebeam.outcomes import Answered, Outcome, OutcomeUnknown, Refused

MAX_RECORDED_RESULT_BYTES: Final = 1024
RESULT_OMITTED: Final = {"ran": True, "result_kept": False}


def encode_outcome(outcome: Outcome) -> dict[str, Any]:
    """
    Return `outcome` as JSON of limited size.

    A result over `MAX_RECORDED_RESULT_BYTES` is replaced by the fact that the request
    ran. Any outcome other than an answer is recorded as unknown.
    """
    if isinstance(outcome, Answered):
        return {"tag": outcome.tag, "result": _omit_if_too_large(outcome.result)}
    reason = outcome.reason if isinstance(outcome, OutcomeUnknown | Refused) else ""
    return {"tag": OutcomeUnknown.tag, "reason": reason[:MAX_RECORDED_RESULT_BYTES]}


def decode_outcome(recorded: dict[str, Any]) -> Answered | OutcomeUnknown:
    """Return the outcome with which a resend is answered."""
    if recorded.get("tag") == Answered.tag:
        return Answered(result=recorded.get("result"))
    return OutcomeUnknown(
        reason=recorded.get("reason") or "outcome_not_recorded",
        detail="An earlier attempt may have run; it will not be run again.",
    )


def _omit_if_too_large(result: Any) -> Any:
    try:
        encoded = orjson.dumps(result)
    except TypeError:
        return RESULT_OMITTED
    return result if len(encoded) <= MAX_RECORDED_RESULT_BYTES else RESULT_OMITTED
