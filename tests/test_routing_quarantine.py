"""Tests of the quarantine of requests that crash backend servers."""

import random

from hypothesis import given, strategies as st

from bronzebeam.routing import quarantine
from bronzebeam.routing.quarantine import (
    LostReplica,
    Quarantine,
    QuarantineRecord,
    QuarantineState,
)
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

names = st.sampled_from(["crasher", "x", "y", "z"])
events = st.tuples(st.sets(names), st.sets(names), names, st.floats(0, 90))


def lose(
    state: Quarantine,
    in_flight: str,
    *,
    solo: str = "",
    replica: str = "r",
    at: float = 0.0,
) -> str | None:
    lost = LostReplica(
        replica=replica,
        in_flight=frozenset(in_flight.split()),
        solo=frozenset(solo.split()),
        at_seconds=at,
    )
    return state.observe_loss(lost, wall_seconds=at)


def state_of(state: Quarantine, name: str, at: float = 0.0) -> QuarantineState:
    return state.state_of(name, wall_seconds=at)


def make_quarantine(
    name: str = "crasher", replica: str = "r", at: float = 0.0
) -> Quarantine:
    state = Quarantine()
    lose(state, name, at=at)
    assert lose(state, name, solo=name, replica=replica, at=at) == name
    return state


def test_second_loss_quarantines_a_suspect() -> None:
    state = Quarantine()
    assert lose(state, "crasher") is None
    assert state_of(state, "crasher") is QuarantineState.SUSPECT
    assert lose(state, "crasher", solo="crasher", at=1.0) == "crasher"
    assert state_of(state, "crasher", 1.0) is QuarantineState.QUARANTINED
    assert state.remaining_quarantine_ms("crasher", wall_seconds=1.0) == 60_000
    assert lose(state, "crasher", solo="crasher", at=2.0) is None
    for at in (61.0, 3660.0):
        assert state_of(state, "crasher", at) is QuarantineState.SUSPECT
    assert state_of(state, "crasher", 3661.0) is QuarantineState.CLEAR
    assert state.remaining_quarantine_ms("crasher", wall_seconds=61.0) == 0


def test_each_further_quarantine_lasts_twice_as_long() -> None:
    state, now = make_quarantine(), 60.0
    for _ in range(10):
        assert lose(state, "crasher x", solo="crasher", at=now) == "crasher"
        assert state_of(state, "x", now) is QuarantineState.CLEAR
        released = state.remaining_quarantine_ms("crasher", wall_seconds=now) / 1000
        now += released
    assert released == quarantine.MAX_QUARANTINE_SECONDS
    assert [quarantine.quarantine_seconds(n) for n in (1, 2, 3)] == [60.0, 120.0, 240.0]


def test_crashing_search_does_not_quarantine_requests_in_flight_with_it() -> None:
    state = Quarantine()
    for shard in range(30):
        assert lose(state, "crasher x y", replica=f"r{shard}") is None
    state.observe_success("x", now_seconds=0.1)
    assert state_of(state, "x", 0.1) is QuarantineState.CLEAR
    assert lose(state, "crasher y", solo="y", replica="s0", at=0.2) is None
    assert state_of(state, "y", 0.2) is QuarantineState.SUSPECT
    assert lose(state, "crasher", solo="crasher", replica="s1", at=0.3) == "crasher"
    assert state_of(state, "crasher", 0.3) is QuarantineState.QUARANTINED
    assert state_of(state, "y", 0.3) is QuarantineState.CLEAR


def test_confirmed_cause_explains_only_losses_with_it_in_flight() -> None:
    state = Quarantine()
    lose(state, "crasher x")
    lose(state, "x")
    lose(state, "crasher", solo="crasher")
    assert state_of(state, "x") is QuarantineState.SUSPECT


def test_recently_answered_request_is_not_suspected() -> None:
    state = Quarantine()
    state.observe_success("x", now_seconds=0.0)
    lose(state, "crasher x")
    assert state_of(state, "x") is QuarantineState.CLEAR
    assert lose(state, "crasher x", solo="crasher") == "crasher"
    assert lose(state, "x", at=61.0) is None
    assert state_of(state, "x", 61.0) is QuarantineState.SUSPECT


def test_suspects_expire() -> None:
    state = Quarantine()
    lose(state, "x")
    assert state_of(state, "x", 299.0) is QuarantineState.SUSPECT
    assert state_of(state, "x", 301.0) is QuarantineState.CLEAR
    lose(state, "y", at=301.0)
    assert [record.fingerprint for record in state.records] == ["y"]
    lose(state, "y", at=602.0)
    assert state_of(state, "y", 603.0) is QuarantineState.SUSPECT


def test_cleared_suspect_can_become_a_suspect_again() -> None:
    state = Quarantine()
    lose(state, "crasher x")
    state.observe_success("x", now_seconds=0.0)
    lose(state, "x", at=61.0)
    assert state_of(state, "x", 61.0) is QuarantineState.SUSPECT
    state.observe_success("x", now_seconds=61.0)
    lose(state, "crasher x", at=130.0)
    assert lose(state, "crasher", solo="crasher", at=130.0) == "crasher"
    assert state_of(state, "x", 130.0) is QuarantineState.CLEAR


def test_expired_suspect_stays_clear_after_a_later_quarantine() -> None:
    state = Quarantine()
    lose(state, "crasher x")
    lose(state, "crasher", at=400.0)
    assert lose(state, "crasher", solo="crasher", at=400.0) == "crasher"
    assert state_of(state, "x", 400.0) is QuarantineState.CLEAR


@HYPOTHESIS_SETTINGS
@given(st.lists(st.tuples(st.sets(names), st.floats(0, 30)), max_size=40))
def test_losses_without_solo_requests_quarantine_nothing(
    losses: list[tuple[set[str], float]],
) -> None:
    state, now = Quarantine(), 0.0
    for in_flight, pause in losses:
        now += pause
        assert lose(state, " ".join(in_flight), at=now) is None


@HYPOTHESIS_SETTINGS
@given(st.lists(events, max_size=40))
def test_requests_in_flight_with_a_crashing_one_are_never_quarantined(
    events: list[tuple[set[str], set[str], str, float]],
) -> None:
    state, now = Quarantine(), 0.0
    for beside, solo, answered, pause in events:
        now += pause
        if answered != "crasher":
            state.observe_success(answered, now_seconds=now)
        found = lose(state, " ".join(beside | {"crasher"}), solo=" ".join(solo), at=now)
        assert found in (None, "crasher")
        for name in "xyz":
            assert state_of(state, name, now) is not QuarantineState.QUARANTINED


def exchange(one: Quarantine, other: Quarantine, at: float) -> None:
    records = one.records
    one.merge(other.records, wall_seconds=at)
    other.merge(records, wall_seconds=at)


def test_quarantine_and_its_end_are_shared_with_peers() -> None:
    state, peer = make_quarantine(), Quarantine()
    lose(peer, "crasher x")
    exchange(state, peer, 1.0)
    assert state_of(peer, "crasher", 1.0) is QuarantineState.QUARANTINED
    assert state_of(peer, "x", 1.0) is QuarantineState.CLEAR
    peer.observe_success("crasher", now_seconds=2.0)
    exchange(state, peer, 2.0)
    assert state_of(state, "crasher", 2.0) is QuarantineState.CLEAR


def test_conflicting_quarantines_for_one_loss_leave_only_suspects() -> None:
    one, other = make_quarantine("crasher", "s1"), make_quarantine("x", "s1", at=1.0)
    exchange(one, other, 1.0)
    for state in (one, other):
        for name in ("crasher", "x"):
            assert state_of(state, name, 1.0) is QuarantineState.SUSPECT
    assert lose(one, "crasher", solo="crasher", replica="s2", at=2.0) == "crasher"
    exchange(one, other, 2.0)
    for state in (one, other):
        assert state_of(state, "crasher", 2.0) is QuarantineState.QUARANTINED
        assert state_of(state, "x", 2.0) is QuarantineState.CLEAR


def test_crashers_of_different_losses_are_both_quarantined() -> None:
    for replica, at in (("s2", 0.0), ("s1", 6.0)):
        one, other = make_quarantine("crasher", "s1"), make_quarantine(
            "worse", replica, at
        )
        exchange(one, other, at)
        for name in ("crasher", "worse"):
            assert state_of(one, name, at) is QuarantineState.QUARANTINED


records = st.lists(
    st.builds(
        QuarantineRecord,
        fingerprint=st.sampled_from("abcdef"),
        quarantines=st.integers(0, 2),
        released_at_seconds=st.sampled_from([1.0, 2.0]),
        lifted=st.booleans(),
        crashed_replica=st.sampled_from(["", "r"]),
    ),
    max_size=8,
)


@HYPOTHESIS_SETTINGS
@given(records, records, records, st.integers(1, 6))
def test_merge_is_commutative_associative_and_idempotent(
    one: list[QuarantineRecord],
    two: list[QuarantineRecord],
    three: list[QuarantineRecord],
    max_records: int,
) -> None:
    def merge(*sets: list[QuarantineRecord]) -> list[QuarantineRecord]:
        return quarantine.merge_records(*sets, max_records=max_records)

    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(merge(one, two), two) == merge(one, two) == merge(merge(one, two))
    assert len(merge(one, two)) <= max_records


def test_state_is_bounded() -> None:
    state = make_quarantine()
    for _ in range(quarantine.MAX_LOSSES + 1):
        lose(state, "x")
    assert len(state._losses["x"]) == quarantine.MAX_LOSSES
    for number in range(quarantine.MAX_RECORDS + 100):
        lose(state, f"x{number}")
    for number in range(quarantine.MAX_CLEARED + 100):
        state.observe_success(f"y{number}", now_seconds=0.0)
    assert len(state.records) == quarantine.MAX_RECORDS
    assert state.cleared_count == quarantine.MAX_CLEARED
    assert state_of(state, "crasher") is QuarantineState.QUARANTINED


def test_suspects_run_on_the_shards_in_different_orders() -> None:
    first_shards = [
        quarantine.solo_order(str(random.Random(n).random()), 30)[0] for n in range(60)
    ]
    assert sorted(quarantine.solo_order("a", 30)) == list(range(30))
    assert len(set(first_shards)) > 15
