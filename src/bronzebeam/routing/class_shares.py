"""Shares of the limit that less urgent classes may use."""

import math
from copy import copy
from typing import Final

from attrs import define, field

MIN_SHARE: Final = 0.002
REFUSED_FACTOR: Final = 0.8
RECOVERY_SECONDS: Final = 3.0
# Faster recovery for each square second in which no more urgent request was refused.
CALM_FACTOR: Final = 2.0
MAX_GROWTH: Final = 20.0  # keeps the exponential within its range


@define(kw_only=True, eq=False, repr=False)
class _Share:
    value: float = 1.0
    at_seconds: float = 0.0
    refused_at_seconds: float = 0.0


@define(kw_only=True, eq=False, repr=False)
class ClassShares:
    """
    Lowers the share of less urgent classes while more urgent requests are refused.

    Each of many instances has so few requests waiting at a time that the order of its
    queue decides little. Without shares, instances with only less urgent requests at a
    moment would use the slots that the urgent requests of other instances lack.

    :ivar level_count: number of classes.
    """

    level_count: int
    _shares: list[_Share] = field(factory=list)

    def set_level_count(self, count: int) -> None:
        """Change the number of classes."""
        self.level_count = count
        del self._shares[count:]

    def copy(self) -> "ClassShares":
        """Return a copy, to find out what would come without a change."""
        other = copy(self)
        other._shares = [copy(item) for item in self._shares]
        return other

    def share(self, level: int, *, now_seconds: float) -> float:
        """
        Return the share of the limit that a class may use.

        :param level: 0 for the most urgent class.
        """
        if level == 0:
            return 1.0
        self._extend(now_seconds)
        return self._advance(self._shares[level], now_seconds)

    def record_refused(self, level: int, *, now_seconds: float) -> None:
        """Record that a request of a class was refused for lack of room."""
        self._extend(now_seconds)
        for entry in self._shares[level + 1 :]:
            value = self._advance(entry, now_seconds) * REFUSED_FACTOR
            entry.value = max(MIN_SHARE, value)
            entry.refused_at_seconds = now_seconds

    def _extend(self, now_seconds: float) -> None:
        while len(self._shares) < self.level_count:
            self._shares.append(
                _Share(at_seconds=now_seconds, refused_at_seconds=now_seconds)
            )

    def _advance(self, entry: _Share, now_seconds: float) -> float:
        """Let a share recover, in case no urgent request comes any more."""
        calm_seconds = now_seconds - entry.refused_at_seconds
        elapsed_seconds = now_seconds - entry.at_seconds
        entry.at_seconds = now_seconds
        per_second = (1.0 + CALM_FACTOR * calm_seconds**2) / RECOVERY_SECONDS
        growth = math.exp(min(elapsed_seconds * per_second, MAX_GROWTH))
        entry.value = min(1.0, entry.value * growth)
        return entry.value
