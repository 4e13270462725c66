"""Decides when a search is answered, and whether its coverage is sufficient."""

import math
from enum import Enum
from typing import Final

from attrs import frozen

from bronzebeam.documents.model import CoverageSpec

_ROUNDING: Final = 1e-9


class CoverageDecision(Enum):
    """What to do with a search while some of its shards have replied."""

    WAIT = "wait"
    COMPLETE = "complete"
    PARTIAL = "partial"
    BELOW_MINIMUM = "below_minimum"


@frozen(kw_only=True)
class ShardProgress:
    """
    Counts of the shards of a search, by state.

    :ivar shard_count: size of the snapshot's shard map.
    :ivar included: shards whose complete reply has been received.
    :ivar missing: shards that have failed; all others are still awaited.
    """

    shard_count: int
    included: int
    missing: int

    @property
    def awaited(self) -> int:
        return self.shard_count - self.included - self.missing


def required_shards(spec: CoverageSpec, shard_count: int) -> int:
    """Return the minimum number of shards in an answer; at least 1."""
    return max(1, math.ceil(spec.minimum_share * shard_count - _ROUNDING))


def decide_coverage(
    spec: CoverageSpec,
    progress: ShardProgress,
    *,
    elapsed_ms: float,
    deadline_ms: float,
) -> CoverageDecision:
    """
    Decide whether to wait for more shards or to answer now.

    :param elapsed_ms: time since the search arrived.
    :param deadline_ms: time from the search's arrival to the caller's deadline.
    """
    if progress.included == progress.shard_count:
        return CoverageDecision.COMPLETE
    required = required_shards(spec, progress.shard_count)
    if progress.included + progress.awaited < required:
        return CoverageDecision.BELOW_MINIMUM
    enough = progress.included >= required
    if progress.awaited == 0:
        return CoverageDecision.PARTIAL
    if elapsed_ms >= deadline_ms:
        return CoverageDecision.PARTIAL if enough else CoverageDecision.BELOW_MINIMUM
    soft_ms = spec.soft_deadline_ms
    if soft_ms is not None and elapsed_ms >= soft_ms and enough:
        return CoverageDecision.PARTIAL
    return CoverageDecision.WAIT


def next_decision_ms(
    spec: CoverageSpec, *, elapsed_ms: float, deadline_ms: float
) -> float:
    """Return the next time at which the decision may change without a new reply."""
    soft_ms = spec.soft_deadline_ms
    if soft_ms is not None and elapsed_ms < soft_ms < deadline_ms:
        return soft_ms
    return deadline_ms
