"""Tests of the fleet-wide rate limits of callers."""

from hypothesis import given, strategies as st

from bronzebeam.documents.model import CallerLimitSpec
from bronzebeam.routing.caller_rates import CallerRates, entry_share
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

SPEC = CallerLimitSpec(rate_per_second=10.0, burst=20)


@HYPOTHESIS_SETTINGS
@given(st.lists(st.floats(0, 1e4), min_size=1, max_size=20))
def test_shares_of_all_entries_add_up_to_one(demands: list[float]) -> None:
    shares = [
        entry_share(
            own_demand=demand,
            peer_demand=sum(demands[:index]) + sum(demands[index + 1 :]),
            live_entries=len(demands),
        )
        for index, demand in enumerate(demands)
    ]
    assert abs(sum(shares) - 1.0) < 1e-6
    assert min(shares) > 0


@HYPOTHESIS_SETTINGS
@given(st.lists(st.floats(0, 0.5), max_size=80))
def test_bucket_enforces_rate_and_burst(pauses: list[float]) -> None:
    rates, now, allowed_count = CallerRates(spec=SPEC), 0.0, 0
    for pause in pauses:
        now += pause
        decision = rates.take("a", now_seconds=now)
        allowed_count += decision.allowed
        assert allowed_count <= 20 + 10 * now + 1e-6
        if not decision.allowed:
            later = now + decision.retry_after_ms / 1000
            assert 10 * later + 20 >= allowed_count + 1 - 1e-6


def run_fleet(pattern: list[int], seconds: float) -> int:
    """Return how many of a caller's 40 requests per second a fleet of 4 allows."""
    fleet = [CallerRates(spec=SPEC) for _ in range(4)]
    allowed_count = 0
    for tick in range(int(seconds * 40)):
        now = tick / 40
        if tick % 40 == 0:
            reports = [entry.report(now_seconds=now, max_callers=9) for entry in fleet]
            for index, entry in enumerate(fleet):
                others = reports[:index] + reports[index + 1 :]
                entry.apply_peer_reports(others, live_entries=4)
        entry = fleet[pattern[tick % len(pattern)]]
        allowed_count += entry.take("a", now_seconds=now).allowed
    return allowed_count


def test_fleet_enforces_the_rate_for_spread_and_sticky_callers() -> None:
    for pattern in ([0, 1, 2, 3], [0], [0, 0, 0, 1]):
        allowed = run_fleet(pattern, 60.0)
        assert 0.8 * 600 <= allowed <= 1.05 * 600 + SPEC.burst


def test_dropped_caller_gets_no_new_burst() -> None:
    rates = CallerRates(spec=SPEC, max_callers=2)
    for name in ("a", "b"):
        assert all(rates.take(name, now_seconds=0.0).allowed for _ in range(20))
    rates.take("c", now_seconds=0.0)
    assert rates.caller_count == 2
    decisions = [rates.take("a", now_seconds=0.0).allowed for _ in range(5)]
    assert decisions == [True, False, False, False, False]


def test_bucket_refills_up_to_its_burst() -> None:
    rates = CallerRates(spec=SPEC)
    for now in (0.0, 100.0):
        decisions = [rates.take("a", now_seconds=now) for _ in range(21)]
        assert [item.allowed for item in decisions] == [True] * 20 + [False]
        assert decisions[-1].retry_after_ms == 100
    assert abs(rates.report(now_seconds=100.0, max_callers=1)["a"] - 4.2) < 1e-6


def test_least_recently_seen_caller_is_dropped() -> None:
    rates = CallerRates(spec=SPEC, max_callers=2)
    for name in ("a", "b", "a", "c"):
        rates.take(name, now_seconds=0.0)
    assert set(rates.report(now_seconds=0.0, max_callers=9)) == {"a", "c"}


def test_new_caller_gets_an_even_share_at_each_entry() -> None:
    rates = CallerRates(spec=SPEC)
    rates.apply_peer_reports([{"a": 1.0}, {"a": 1.0}], live_entries=4)
    allowed = [rates.take("b", now_seconds=0.0).allowed for _ in range(20)]
    assert sum(allowed) == 5
    assert rates.take("a", now_seconds=0.0).allowed
    assert not rates.take("a", now_seconds=0.0).allowed


def test_idle_demand_decays_and_peer_demand_is_bounded() -> None:
    rates = CallerRates(spec=SPEC, max_callers=2)
    rates.take("a", now_seconds=0.0)
    assert rates.report(now_seconds=0.0, max_callers=5)["a"] == 0.2
    assert rates.report(now_seconds=60.0, max_callers=5)["a"] < 1e-5
    assert rates.report(now_seconds=0.0, max_callers=0) == {}
    reports = [{"a": 1.0, "b": 1.0, "c": 1.0}, {"a": 2.0}]
    rates.apply_peer_reports(reports, live_entries=3)
    assert rates.peer_demand == {"a": 3.0, "b": 1.0}
