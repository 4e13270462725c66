"""JSON encoding of call outcomes, for messages between entries."""

from dataclasses import asdict
from typing import Any, Final

from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Refused

CALL_OUTCOMES: Final = {
    kind.tag: kind for kind in (Answered, NotRun, OutcomeUnknown, Refused)
}


def outcome_to_json(outcome: Outcome) -> dict[str, Any]:
    """Encode the outcome of a call; outcomes of searches are not supported."""
    return {"tag": outcome.tag, **asdict(outcome)}


def outcome_from_json(value: Any) -> Outcome:
    """
    Decode the outcome of a call.

    :raises ValueError: if it is malformed.
    """
    try:
        fields = dict(value)
        return CALL_OUTCOMES[fields.pop("tag")](**fields)
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"malformed outcome: {error!r}") from error
