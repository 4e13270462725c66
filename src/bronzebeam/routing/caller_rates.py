"""Fleet-wide rate limits of callers, divided among the entries."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from itertools import islice
from typing import Final

from attrs import define, field, frozen

from bronzebeam.documents.model import CallerLimitSpec

# Share of the fleet-wide rate that is split evenly; the rest is split by demand.
BASE_SHARE: Final = 0.2
DEMAND_TIME_CONSTANT_SECONDS: Final = 5.0
MAX_CALLERS: Final = 10_000


def entry_share(*, own_demand: float, peer_demand: float, live_entries: int) -> float:
    """
    Return this entry's share of a caller's fleet-wide rate.

    The shares of entries that know each other's demand add up to 1.

    :param own_demand: the caller's requests per second at this entry.
    :param peer_demand: the same, summed over the other live entries.
    :param live_entries: number of live entries, this one included.
    """
    entries = max(1, live_entries)
    total_demand = own_demand + peer_demand
    demand_share = own_demand / total_demand if total_demand > 0 else 1.0 / entries
    return BASE_SHARE / entries + (1.0 - BASE_SHARE) * demand_share


@frozen(kw_only=True)
class RateDecision:
    """
    Whether a caller's request is within its rate limit.

    :ivar retry_after_ms: time until the next request is allowed; 0 if this one is.
    """

    allowed: bool
    retry_after_ms: int = 0


@define(kw_only=True)
class _CallerState:
    """
    Token bucket and demand of one caller.

    :ivar demand: requests per second, allowed or not, with exponential decay.
    """

    tokens: float
    updated_at_seconds: float
    demand: float = 0.0

    def advance(self, *, now_seconds: float, rate_per_second: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self.updated_at_seconds)
        self.tokens += elapsed_seconds * rate_per_second
        self.demand *= math.exp(-elapsed_seconds / DEMAND_TIME_CONSTANT_SECONDS)
        self.updated_at_seconds = now_seconds


@define(kw_only=True)
class CallerRates:
    """
    Token buckets of the callers most recently seen by this entry.

    :ivar spec: rate (above 0) and burst of each caller over the whole fleet.
    :ivar max_callers: callers stored; the least recently seen one is dropped first.
    """

    spec: CallerLimitSpec
    max_callers: int = MAX_CALLERS
    _callers: OrderedDict[str, _CallerState] = field(factory=OrderedDict, init=False)
    _peer_demand: dict[str, float] = field(factory=dict, init=False)
    _live_entries: int = field(default=1, init=False)

    def take(self, caller: str, *, now_seconds: float) -> RateDecision:
        """Take one token from the caller's bucket, if there is one."""
        state = self._state_of(caller, now_seconds)
        share = self._share_of(caller, state.demand)
        rate_per_second = self.spec.rate_per_second * share
        state.advance(now_seconds=now_seconds, rate_per_second=rate_per_second)
        state.tokens = min(state.tokens, max(1.0, self.spec.burst * share))
        state.demand += 1.0 / DEMAND_TIME_CONSTANT_SECONDS
        if state.tokens >= 1.0:
            state.tokens -= 1.0
            return RateDecision(allowed=True)
        wait_ms = 1000 * (1.0 - state.tokens) / rate_per_second
        return RateDecision(allowed=False, retry_after_ms=math.ceil(wait_ms))

    def report(self, *, now_seconds: float, max_callers: int) -> dict[str, float]:
        """Return the demand of the most recent callers, to be sent to peers."""
        names = list(islice(reversed(self._callers), max_callers))
        return {name: self._demand_of(name, now_seconds) for name in names}

    def apply_peer_reports(
        self, reports: Iterable[Mapping[str, float]], *, live_entries: int
    ) -> None:
        """
        Replace the known demand at the other entries.

        :param reports: the last report of each other live entry.
        :param live_entries: number of live entries, this one included.
        """
        demand: dict[str, float] = {}
        for report in reports:
            for caller, rate in report.items():
                if caller in demand or len(demand) < self.max_callers:
                    demand[caller] = demand.get(caller, 0.0) + max(0.0, rate)
        self._peer_demand = demand
        self._live_entries = live_entries

    @property
    def peer_demand(self) -> Mapping[str, float]:
        """Requests per second of each caller at the other entries."""
        return dict(self._peer_demand)

    @property
    def caller_count(self) -> int:
        """Number of callers with a bucket."""
        return len(self._callers)

    def _state_of(self, caller: str, now_seconds: float) -> _CallerState:
        state = self._callers.get(caller)
        if state is not None:
            self._callers.move_to_end(caller)
            return state
        # While the table is full, a new caller gets one token: with a full burst, a
        # caller that was dropped would get a second burst.
        tokens = 1.0
        if len(self._callers) < self.max_callers:
            tokens = max(1.0, self.spec.burst * self._share_of(caller, 0.0))
        else:
            self._callers.popitem(last=False)
        state = _CallerState(tokens=tokens, updated_at_seconds=now_seconds)
        self._callers[caller] = state
        return state

    def _share_of(self, caller: str, own_demand: float) -> float:
        return entry_share(
            own_demand=own_demand,
            peer_demand=self._peer_demand.get(caller, 0.0),
            live_entries=self._live_entries,
        )

    def _demand_of(self, caller: str, now_seconds: float) -> float:
        state = self._callers[caller]
        idle_seconds = max(0.0, now_seconds - state.updated_at_seconds)
        return state.demand * math.exp(-idle_seconds / DEMAND_TIME_CONSTANT_SECONDS)
