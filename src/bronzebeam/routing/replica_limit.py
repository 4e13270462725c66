"""The limit on requests that a replica in need names."""

import math
from typing import Final

from attrs import frozen

UNREADABLE_LIMIT: Final = "not_a_number"
NEGATIVE_LIMIT: Final = "negative"


@frozen(kw_only=True)
class NamedLimit:
    """
    The limit that a replica names in a reply.

    :ivar per_second: requests a second that it takes from all instances together; None
        if it names none.
    :ivar problem: why a value that it has sent is not used; empty if it is.
    """

    per_second: float | None
    problem: str = ""


def read_limit(value: bytes) -> NamedLimit:
    """Read the value of a limit header, a decimal number; empty if there was none."""
    if not value:
        return NamedLimit(per_second=None)
    try:
        per_second = float(value)
    except ValueError:
        per_second = math.nan
    if math.isnan(per_second):
        return NamedLimit(per_second=None, problem=UNREADABLE_LIMIT)
    if per_second < 0.0:
        return NamedLimit(per_second=0.0, problem=NEGATIVE_LIMIT)
    if math.isinf(per_second):
        return NamedLimit(per_second=None)
    return NamedLimit(per_second=per_second)
