"""Outcomes of calls as JSON between entries."""

from dataclasses import asdict
from typing import Any, Final

from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Refused

CALL_OUTCOMES: Final = {
    kind.tag: kind for kind in (Answered, NotRun, OutcomeUnknown, Refused)
}


def outcome_to_json(outcome: Outcome) -> dict[str, Any]:
    """Return the JSON form of a call's outcome, which has no coverage."""
    return {"tag": outcome.tag, **asdict(outcome)}


def outcome_from_json(value: Any) -> Outcome:
    """
    Read a call's outcome.

    :raises ValueError: if it is malformed.
    """
    try:
        fields = dict(value)
        return CALL_OUTCOMES[fields.pop("tag")](**fields)
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"malformed outcome: {error!r}") from error
