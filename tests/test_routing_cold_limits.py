"""Tests of the limits on requests to cold replicas."""

import math
import random

from hypothesis import given, strategies as st

from bronzebeam.routing.cold_limits import (
    ARRIVAL_WINDOW_SECONDS,
    MAX_COLD_SECONDS,
    ColdTolerance,
    ColdTurns,
    choose_senders,
    is_start_over,
    read_cold_seconds,
    share_cold_rate,
)
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

REPLICA, REPLICA_DOMAIN = "i-1", "domain-1"
# Requests that are sent in order may arrive closer together by this much.
MAX_DELAY_SECONDS = ARRIVAL_WINDOW_SECONDS - 1.0


def members_by_domain(names: list[int]) -> dict[str, dict[str, float]]:
    members: dict[str, dict[str, float]] = {}
    for number in names:
        domain = members.setdefault(f"domain-{number % 3}", {})
        domain[f"instance-{number}"] = 1.0
    return members


def interval_in_view(
    instance: int, view: list[int], *, rate: float, max_per_second: float
) -> float:
    """Return the interval of an instance that knows only the instances in its view."""
    share = share_cold_rate(
        rate_per_second=rate, max_per_second=max_per_second, candidate_count=len(view)
    )
    senders = choose_senders(
        REPLICA,
        domain=REPLICA_DOMAIN,
        candidates=members_by_domain(view),
        count=share.sender_count,
    )
    is_sender = f"instance-{instance}" in senders
    return share.interval_seconds if is_sender else math.inf


def most_in_a_second(arrivals: list[float]) -> int:
    return max(
        (sum(start <= item < start + 1.0 for item in arrivals) for start in arrivals),
        default=0,
    )


@given(
    st.integers(min_value=1, max_value=40),
    st.floats(min_value=0.2, max_value=80.0),
    st.floats(min_value=1.0, max_value=2.0),
    st.floats(min_value=4.0, max_value=10.0),
    st.floats(min_value=0.0, max_value=1.0),
    st.randoms(use_true_random=False),
)
@HYPOTHESIS_SETTINGS
def test_instances_with_unequal_views_keep_the_cold_bound_in_any_second(
    fleet: int,
    rate: float,
    overage: float,
    slack: float,
    known_to_both: float,
    rng: random.Random,
) -> None:
    """Guards against too many requests from instances that go by different views."""
    tolerance = ColdTolerance(overage_ratio=overage, slack_count=slack)
    max_per_second = tolerance.max_per_second(rate)
    everyone = list(range(fleet))
    views: list[list[int]] = [[], []]
    for number in everyone:
        known = views if rng.random() < known_to_both else [rng.choice(views)]
        for view in known:
            view.append(number)
    turns = {number: ColdTurns(rng=rng) for number in everyone}
    next_view = {}

    def apply_view(number: int, view: list[int], now_seconds: float) -> None:
        interval_seconds = math.inf  # unless it is in the view itself
        if number in view:
            interval_seconds = interval_in_view(
                number, view, rate=rate, max_per_second=max_per_second
            )
        turns[number].set_interval(interval_seconds, start_at_seconds=now_seconds)

    for number in everyone:
        first = rng.randrange(2) if number in views[0] and number in views[1] else 0
        own = first if number in views[first] else 1
        next_view[number] = views[1 - own]
        apply_view(number, views[own], 0.0)
    # After a quiet time all have requests at once. Some learn of the other view.
    now_seconds, sent_at = 100.0, {}
    learns_at = {number: now_seconds + rng.random() * 6.0 for number in everyone}
    arrivals = []
    while now_seconds < 103.0:
        for number in everyone:
            if learns_at[number] <= now_seconds and number in next_view[number]:
                apply_view(number, next_view[number], now_seconds)
                learns_at[number] = math.inf
            if turns[number].seconds_until_next(now_seconds) == 0.0:
                turns[number].use()
                turns[number].record_sent(now_seconds)
                # The first request is late, so that the next one follows sooner.
                delay = 0.0 if number in sent_at else MAX_DELAY_SECONDS
                sent_at[number] = now_seconds
                arrivals.append(now_seconds + delay)
        now_seconds += 0.01
    assert arrivals or not any(views)
    assert most_in_a_second(arrivals) <= max_per_second


@given(
    st.floats(min_value=0.1, max_value=200.0),
    st.floats(min_value=1.0, max_value=2.0),
    st.floats(min_value=0.0, max_value=20.0),
    st.integers(min_value=1, max_value=900),
)
@HYPOTHESIS_SETTINGS
def test_senders_together_stay_below_the_stated_rate(
    rate: float, overage: float, slack: float, candidates: int
) -> None:
    share = share_cold_rate(
        rate_per_second=rate,
        max_per_second=ColdTolerance(
            overage_ratio=overage, slack_count=slack
        ).max_per_second(rate),
        candidate_count=candidates,
    )
    assert 1 <= share.sender_count <= candidates
    assert share.sender_count / share.interval_seconds <= rate * (1.0 + 1e-9)


def test_a_cold_replica_gets_a_good_part_of_its_rate() -> None:
    """Guards against a rate that keeps the bound by sending next to nothing."""
    tolerance = ColdTolerance(overage_ratio=1.5, slack_count=5.0)
    for rate, candidates, least in ((2.0, 71, 1.8), (10.0, 3, 6.0), (10.0, 71, 4.5)):
        share = share_cold_rate(
            rate_per_second=rate,
            max_per_second=tolerance.max_per_second(rate),
            candidate_count=candidates,
        )
        assert share.sender_count / share.interval_seconds >= least, rate


def test_senders_are_in_the_replicas_domain_if_there_are_enough() -> None:
    members = members_by_domain(list(range(12)))
    for count in (1, 4):
        senders = choose_senders(
            REPLICA, domain=REPLICA_DOMAIN, candidates=members, count=count
        )
        assert len(set(senders)) == count
        assert set(senders) <= members[REPLICA_DOMAIN].keys()
    senders = choose_senders(
        REPLICA, domain=REPLICA_DOMAIN, candidates=members, count=6
    )
    assert members[REPLICA_DOMAIN].keys() < set(senders) and len(set(senders)) == 6


def test_unused_turns_do_not_add_up() -> None:
    """Guards against a burst after a quiet time."""
    turns = ColdTurns(rng=random.Random(1))
    turns.set_interval(0.5, start_at_seconds=10.0)
    assert turns.seconds_until_next(10.0) <= 0.5
    assert turns.seconds_until_next(60.0) == 0.0
    turns.use()
    turns.record_sent(60.0)
    assert turns.seconds_until_next(60.1) > 0.39


def test_interval_counts_from_when_a_request_was_sent() -> None:
    """Guards against requests that waited for a connection and leave together."""
    turns = ColdTurns(rng=random.Random(1))
    turns.set_interval(0.5, start_at_seconds=10.0)
    turns.use()
    assert turns.seconds_until_next(15.0) > 0.0
    turns.record_sent(15.0)
    assert turns.seconds_until_next(15.4) > 0.0
    assert turns.seconds_until_next(15.6) == 0.0
    turns.use()
    turns.give_back()
    assert turns.seconds_until_next(15.6) == 0.0


def test_interval_holds_for_an_instance_that_was_no_sender_in_between() -> None:
    turns = ColdTurns(rng=random.Random(1))
    turns.set_interval(2.0, start_at_seconds=10.0)
    turns.use()
    turns.record_sent(20.0)
    turns.set_interval(math.inf, start_at_seconds=10.0)
    assert turns.seconds_until_next(30.0) == math.inf
    turns.set_interval(2.0, start_at_seconds=10.0)
    assert 1.0 <= turns.seconds_until_next(21.0) <= 3.0


def test_start_is_over_once_the_clocks_leave_no_doubt() -> None:
    for age_seconds, cold_seconds, expected in (
        (29.0, 20.0, False),
        (31.0, 20.0, True),
        (1e9, 0.0, False),
        (-50.0, 20.0, False),
    ):
        over = is_start_over(
            started_at_ms=1_700_000_000_000,
            cold_start_seconds=cold_seconds,
            wall_seconds=1_700_000_000 + age_seconds,
        )
        assert over is expected, age_seconds
    assert not is_start_over(
        started_at_ms=0, cold_start_seconds=20.0, wall_seconds=1_700_000_000
    )


def test_cold_time_in_a_reply_is_bounded() -> None:
    assert read_cold_seconds(b"1500") == 1.5
    for value in (b"", b"soon", b"-5", b"nan", b"inf", b"\xff"):
        assert read_cold_seconds(value) == 0.0, value
    assert read_cold_seconds(b"1e12") == MAX_COLD_SECONDS
