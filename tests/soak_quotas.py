"""Quotas of accounts in a soak run: the settings, and the rules that must hold."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

from attrs import frozen

from tests.soak_accounts import QUOTAS
from tests.soak_history import SoakHistory

WINDOW_SECONDS: Final = 5.0
OVERAGE_RATIO: Final = 0.1
# With 20, two owners of an account with a rate of 4 would stay within the bound.
SLACK_COUNT: Final = 8.0
QUOTA_SETTINGS: Final = {
    "bounds.quotaWindowS": str(WINDOW_SECONDS),
    "bounds.quotaOverage": str(OVERAGE_RATIO),
    "bounds.quotaSlack": str(SLACK_COUNT),
}
# Time without faults after which accounts get their quota; a process that has become
# ready is an owner after 8 s.
SETTLED_SECONDS: Final = 10.0
LIGHT_SHARE: Final = 1.0 / 3.0  # of its quota, below which an account is not refused
QUOTA_EXCEEDED: Final = 429
UNAUTHORIZED: Final = 401


@frozen(kw_only=True)
class SoakQuota:
    """The quota of one account, as the soak configures it."""

    rate_per_second: float
    burst_count: float

    @property
    def count_per_window(self) -> float:
        return self.rate_per_second * WINDOW_SECONDS + self.burst_count

    @property
    def highest_count(self) -> float:
        """Return the most requests that replicas may run in one window."""
        return self.count_per_window * (1.0 + OVERAGE_RATIO) + SLACK_COUNT


def _quotas() -> dict[str, SoakQuota]:
    return {
        name: SoakQuota(rate_per_second=quota["ratePerS"], burst_count=quota["burst"])
        for name, quota in QUOTAS.items()
    }


def check_quota_sums(history: SoakHistory) -> Iterable[str]:
    """
    Replicas run no more requests of an account in any window than its bound.

    A request counts once, when the first replica runs it.
    """
    first_runs: dict[str, dict[str, float]] = defaultdict(dict)
    for arrival in history.arrivals:
        if arrival.ran and arrival.account is not None:
            runs = first_runs[arrival.account]
            known_seconds = runs.get(arrival.attempt_id, arrival.at_seconds)
            runs[arrival.attempt_id] = min(known_seconds, arrival.at_seconds)
    for account, quota in _quotas().items():
        count, start = _fullest_window(sorted(first_runs[account].values()))
        if count > quota.highest_count:
            yield (
                f"{count} requests of {account} ran in {WINDOW_SECONDS} s from "
                f"{start:.2f}, {quota.highest_count:.1f} may"
            )


def _fullest_window(times: Sequence[float]) -> tuple[int, float]:
    """Return the highest count in one window, and the start of that window."""
    highest, start, first = 0, 0.0, 0
    for index, at_seconds in enumerate(times):
        while times[first] <= at_seconds - WINDOW_SECONDS:
            first += 1
        if index - first + 1 > highest:
            highest, start = index - first + 1, times[first]
    return highest, start


def check_quota_refusals(history: SoakHistory) -> Iterable[str]:
    """Accounts well within their quota get no 429 while there is no fault."""
    quotas = _quotas()
    sent: dict[str, list[float]] = defaultdict(list)
    for row in sorted(history.requests, key=lambda item: item.sent_at_seconds):
        known = history.keys.get(row.key)
        status = row.response.status if row.response is not None else 0
        if known is None or status == UNAUTHORIZED:
            continue
        times = sent[known.account]
        times.append(row.sent_at_seconds)
        if status != QUOTA_EXCEEDED or row.ended_at_seconds is None:
            continue
        quota = quotas.get(known.account)
        if quota is None:
            yield f"{row.attempt_id} of {known.account} got 429, it has no quota"
            continue
        if _was_faulty(history, row.sent_at_seconds, row.ended_at_seconds):
            continue
        count = sum(item > row.sent_at_seconds - WINDOW_SECONDS for item in times)
        if count < LIGHT_SHARE * quota.count_per_window:
            yield (
                f"{row.attempt_id} of {known.account} got 429 at "
                f"{row.sent_at_seconds:.2f} from {row.gateway}, after {count} in "
                f"{WINDOW_SECONDS} s, {quota.count_per_window:.0f} may be sent"
            )


def _was_faulty(history: SoakHistory, start: float, end: float) -> bool:
    """Whether there was a fault, or a process became ready, until shortly before."""
    starts = [(started_at, started_at) for started_at in history.starts.values()]
    starts += [
        (process.started_at_seconds, process.ready_at_seconds)
        for process in history.processes.values()
        if process.ready_at_seconds is not None
    ]
    return any(
        since <= end and until + SETTLED_SECONDS >= start
        for since, until in [*history.faults, *starts]
    )
