"""Run-time checks of invariants."""

import os
from collections import Counter
from typing import Final

STRICT_VARIABLE: Final = "BRONZEBEAM_STRICT"

violations: Counter[str] = Counter()


class InvariantViolated(AssertionError):
    """An invariant does not hold; raised in strict mode only."""


def check(holds: bool, message: str) -> None:
    """
    Count a violation of an invariant and, in strict mode, raise.

    :param message: constant description of the violation, by which it is counted.
    :raises InvariantViolated: if the invariant fails and `BRONZEBEAM_STRICT` is set.
    """
    if holds:
        return
    violations[message] += 1
    if os.environ.get(STRICT_VARIABLE):
        raise InvariantViolated(message)
