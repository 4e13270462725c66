"""
nose2 plugin: passes over the failures that are listed in KNOWN-RED.txt.

Only tests whose whole identifier is the first column of an entry are passed over. One
that passes though it is listed is an error, so that its entry goes with the fix; unless
the second column begins with `unsteady`, for a fault that does not show on each run.
"""

import sys
from pathlib import Path
from typing import Any

from nose2 import result
from nose2.events import Plugin

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
UNSTEADY = "unsteady"


def listed_tests() -> dict[str, bool]:
    """Return the first column of each entry, and whether it is unsteady."""
    rows = [line.split("|") for line in LIST.read_text().splitlines() if line.strip()]
    return {row[0].strip(): row[1].strip().startswith(UNSTEADY) for row in rows}


class KnownRed(Plugin):  # type: ignore[misc]
    """Marks listed failures as expected."""

    alwaysOn = True  # noqa: N815  (attribute of nose2)

    def setTestOutcome(self, event: Any) -> None:  # noqa: N802  (hook of nose2)
        """Change the outcome of a listed test before it is reported."""
        listed = listed_tests()
        if event.test.id() not in listed:
            return
        if event.outcome == result.FAIL:
            event.expected = True
        elif event.outcome == result.PASS and not listed[event.test.id()]:
            event.outcome = result.ERROR
            event.exc_info = _unexpected_success()


def _unexpected_success() -> Any:
    try:
        raise AssertionError("the test passes though KNOWN-RED.txt lists it")
    except AssertionError:
        return sys.exc_info()
