"""Tests of the decisions on pauses of replicas and on older registrations."""

import math
import random

from hypothesis import given, strategies as st

from bronzebeam.routing.older_copy import KnownState, is_doubtful
from bronzebeam.routing.replica_limit import (
    FORMER_INSTANCE_SECONDS,
    LIMIT_RATIOS,
    MIN_TURN_LIFETIME_SECONDS,
    TURN_LIFETIME_REQUESTS,
    RecentInstanceCount,
    SendTurns,
    read_limit,
)
from bronzebeam.routing.replica_pause import (
    MAX_PAUSE_SECONDS,
    UNREADABLE_PAUSE_SECONDS,
    read_pause,
    return_after_seconds,
)
from tests.fixtures_routing import HYPOTHESIS_SETTINGS


def test_pause_is_read_with_fractions() -> None:
    assert read_pause(b"2").seconds == 2.0
    assert read_pause(b" 0.25 ").seconds == 0.25
    assert read_pause(b"2").problem == ""


def test_malformed_pause_is_bounded_and_explained() -> None:
    cases = {
        b"-3": (0.0, "negative"),
        b"1e9": (MAX_PAUSE_SECONDS, "too_long"),
        b"inf": (MAX_PAUSE_SECONDS, "too_long"),
        b"nan": (UNREADABLE_PAUSE_SECONDS, "not_a_number"),
        b"Fri, 04 Dec 2026 10:00:00 GMT": (UNREADABLE_PAUSE_SECONDS, "not_a_number"),
        b"": (UNREADABLE_PAUSE_SECONDS, "not_a_number"),
        b"\xff": (UNREADABLE_PAUSE_SECONDS, "not_a_number"),
    }
    for value, (seconds, problem) in cases.items():
        pause = read_pause(value)
        assert (pause.seconds, pause.problem) == (seconds, problem), value


@given(st.binary(max_size=40))
@HYPOTHESIS_SETTINGS
def test_any_pause_is_within_the_bounds(value: bytes) -> None:
    assert 0.0 <= read_pause(value).seconds <= MAX_PAUSE_SECONDS


def test_limit_is_read_as_a_decimal_number() -> None:
    assert read_limit(b"10.8").per_second == 10.8
    assert read_limit(b" 0 ").per_second == 0.0
    assert read_limit(b"").per_second is None
    assert read_limit(b"").problem == ""


def test_malformed_limit_is_explained() -> None:
    cases = {
        b"-3": (0.0, "negative"),
        b"-inf": (0.0, "negative"),
        b"inf": (None, ""),
        b"nan": (None, "not_a_number"),
        b"ten": (None, "not_a_number"),
        b"\xff": (None, "not_a_number"),
    }
    for value, (per_second, problem) in cases.items():
        limit = read_limit(value)
        assert (limit.per_second, limit.problem) == (per_second, problem), value


@given(
    st.integers(min_value=1, max_value=200),
    st.floats(min_value=0.5, max_value=50.0),
    st.lists(st.floats(min_value=0.0, max_value=3.0), min_size=1, max_size=200),
    st.randoms(use_true_random=False),
)
@HYPOTHESIS_SETTINGS
def test_turns_in_any_window_are_no_more_than_come_and_have_not_expired(
    instances: int, limit: float, gaps: list[float], rng: random.Random
) -> None:
    turns = SendTurns(rng=rng)
    share = LIMIT_RATIOS.share(
        instance_count=instances, owner_count=None, is_owner=False
    )
    now_seconds, used_at = 100.0, []
    turns.set_rate(limit_per_second=limit, share=share, now_seconds=now_seconds)
    for gap in gaps:
        now_seconds += gap
        if turns.seconds_until_next(now_seconds) == 0.0:
            turns.use()
            used_at.append(now_seconds)
    lifetime = MIN_TURN_LIFETIME_SECONDS + TURN_LIFETIME_REQUESTS / limit
    for start in used_at:
        used = sum(start <= item < start + 4.0 for item in used_at)
        assert used <= (4.0 + lifetime) * limit * share + 1.0


def test_turn_that_was_given_back_can_be_used_again() -> None:
    turns = SendTurns(rng=random.Random(1))
    turns.set_rate(limit_per_second=1.0, share=0.5, now_seconds=10.0)
    first_seconds = turns.seconds_until_next(10.0)
    assert 0.0 < first_seconds <= 2.0
    assert turns.seconds_until_next(12.0) == 0.0
    turns.use()
    assert turns.seconds_until_next(12.0) == first_seconds
    turns.give_back()
    assert turns.seconds_until_next(12.0) == 0.0


def test_instances_count_for_a_while_after_they_are_gone() -> None:
    counts = RecentInstanceCount()
    assert counts.highest(0.0) == 1
    counts.observe(6, 1.0)
    counts.observe(2, 10.0)
    counts.observe(3, 12.0)
    assert counts.highest(10.0 + FORMER_INSTANCE_SECONDS) == 6
    assert counts.highest(13.0 + FORMER_INSTANCE_SECONDS) == 3
    counts.observe(7, 30.0)
    assert counts.highest(30.0) == 7


def test_caller_returns_when_enough_shards_are_back() -> None:
    pauses = [5.0, 0.4, math.inf, 2.0]
    assert return_after_seconds(pauses=pauses, needed=1) == 0.4
    assert return_after_seconds(pauses=pauses, needed=3) == 5.0
    assert return_after_seconds(pauses=pauses, needed=4) is None
    assert return_after_seconds(pauses=pauses, needed=5) is None
    assert return_after_seconds(pauses=pauses, needed=0) is None


def test_only_registrations_older_than_the_last_known_are_doubted() -> None:
    for state, older, same, newer in (
        (KnownState.IN_USE, False, False, False),
        (KnownState.LEAVING, True, False, False),
        (KnownState.REMOVED, True, True, False),
    ):
        for registration, expected in (
            ((7, 2), older),
            ((6, 9), older),
            ((7, 3), same),
            ((7, 4), newer),
            ((8, 1), newer),
        ):
            doubtful = is_doubtful(registration, known=(7, 3), known_state=state)
            assert doubtful is expected, (state, registration)
