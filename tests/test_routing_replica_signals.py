"""Tests of the decisions on pauses of replicas and on older registrations."""

import math

from hypothesis import given, strategies as st

from bronzebeam.routing.older_copy import KnownState, is_doubtful
from bronzebeam.routing.replica_limit import read_limit
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
