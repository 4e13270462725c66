"""Tests of callers' rate limits over several entries."""

from typing import Any

from attrs import define, evolve

from bronzebeam.controllers.caller_usage import CallerUsage
from bronzebeam.documents.model import CallerLimitSpec
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.findings import FindingsError
from tests.fixtures_callers import parse_accepted

RATE_PER_SECOND = 40.0
BURST = 10
STEP_SECONDS = 0.01
EXCHANGE_SECONDS = 1.0
SETTLE_SECONDS = 30.0
MEASUREMENT_SECONDS = 30.0


@define(kw_only=True)
class ManualClock:
    """Clock that only advances when the test sets it."""

    now_seconds: float = 0.0

    def monotonic_seconds(self) -> float:
        return self.now_seconds

    def wall_seconds(self) -> float:
        return 1_800_000_000.0 + self.now_seconds


def _request(caller: str) -> CallerRequest:
    request = parse_accepted(headers={"bronzebeam-caller": caller})
    limit = CallerLimitSpec(rate_per_second=RATE_PER_SECOND, burst=BURST)
    return evolve(request, document=evolve(request.document, caller_limit=limit))


class EntryRing:
    """Entries that exchange their usage reports in a ring."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.is_partitioned = False
        self.usages = [
            CallerUsage(
                instance=f"e{number}", clock=self.clock, live_entries=lambda: count
            )
            for number in range(count)
        ]

    def exchange(self) -> None:
        if self.is_partitioned:
            return
        for usage, peer in zip(self.usages, [*self.usages[1:], self.usages[0]]):
            for one, other in ((usage, peer), (peer, usage)):
                payload = one.delta(other.digest())
                if payload is not None:
                    other.merge(payload)

    def run(self, seconds: float, targets: list[int]) -> int:
        """
        Send requests at ten times the rate to each entry of `targets`.

        Return how many were allowed.
        """
        request, allowed = _request("ward-3"), 0
        steps = round(seconds / STEP_SECONDS)
        for step in range(steps):
            self.clock.now_seconds += STEP_SECONDS
            if step % round(EXCHANGE_SECONDS / STEP_SECONDS) == 0:
                self.exchange()
            for number in targets:
                for _ in range(4):
                    allowed += self.usages[number].take(request).allowed
        return allowed


def test_fleet_rate_holds_for_any_spread_of_requests() -> None:
    for targets in ([0], [0, 1], [0, 1, 2, 3]):
        entries = EntryRing(4)
        entries.run(SETTLE_SECONDS, targets)
        allowed = entries.run(MEASUREMENT_SECONDS, targets)
        expected = RATE_PER_SECOND * MEASUREMENT_SECONDS
        assert 0.75 * expected <= allowed <= expected + BURST, (targets, allowed)


def test_isolated_entry_allows_at_most_whole_rate() -> None:
    entries = EntryRing(4)
    entries.is_partitioned = True
    entries.run(SETTLE_SECONDS, [0])
    allowed = entries.run(MEASUREMENT_SECONDS, [0])
    assert allowed <= RATE_PER_SECOND * MEASUREMENT_SECONDS + BURST


def test_idle_entry_has_nothing_to_report() -> None:
    entries = EntryRing(2)
    entries.run(5.0, [0])
    for _ in range(100):
        entries.clock.now_seconds += EXCHANGE_SECONDS
        entries.exchange()
    one, other = entries.usages
    assert one.delta(other.digest()) is None
    assert one.digest() == {}


def test_malformed_reports_raise_findings_errors() -> None:
    usage = EntryRing(1).usages[0]
    payloads: list[Any] = [None, [], {"e1": 1}, {"e1": {"at_seconds": 1, "demand": 3}}]
    for payload in payloads:
        try:
            usage.merge(payload)
        except FindingsError:
            continue
        raise AssertionError(payload)
