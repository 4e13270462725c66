"""Invariants asserted inside the program."""

import os
from collections import Counter
from typing import Final

STRICT_VARIABLE: Final = "BRONZEBEAM_STRICT"

violations: Counter[str] = Counter()


class InvariantViolated(AssertionError):
    """An invariant does not hold; raised in strict runs only."""


def check(holds: bool, message: str) -> None:
    """
    Count a violation of an invariant and, in strict runs, raise.

    :param message: the invariant's violation, as a fixed sentence.
    :raises InvariantViolated: if the invariant fails and strict runs are asked for.
    """
    if holds:
        return
    violations[message] += 1
    if os.environ.get(STRICT_VARIABLE):
        raise InvariantViolated(message)
