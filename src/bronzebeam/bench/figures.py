"""Figures that experiments measure, with the bounds that they are checked against."""

from enum import Enum

import orjson
from attrs import frozen


class BoundKind(Enum):
    """Whether a bound is an upper or a lower bound."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"


@frozen(kw_only=True)
class Figure:
    """
    One measured figure.

    :ivar bound: None for a figure that is reported without a check.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    bound_kind: BoundKind = BoundKind.AT_MOST

    @property
    def is_within_bound(self) -> bool:
        """Return whether the figure is within its bound; true without a bound."""
        if self.bound is None:
            return True
        if self.bound_kind is BoundKind.AT_MOST:
            return self.value <= self.bound
        return self.value >= self.bound

    def to_line(self) -> str:
        """Return the figure as one line of JSON."""
        value: dict[str, object] = {
            "figure": self.name,
            "value": round(self.value, 4),
            "unit": self.unit,
        }
        if self.bound is not None:
            value[self.bound_kind.value] = self.bound
            value["within"] = self.is_within_bound
        return orjson.dumps(value).decode()
