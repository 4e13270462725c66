"""Tests of the quarantine of requests that crash backend servers."""

import random

from hypothesis import given, strategies as st

from bronzebeam.routing import quarantine
from bronzebeam.routing.quarantine import LostReplica, Quarantine, Record, Standing
from tests.fixtures_routing import COMMON

names = st.sampled_from(["killer", "x", "y", "z"])


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


def standing(state: Quarantine, name: str, at: float = 0.0) -> Standing:
    return state.standing(name, wall_seconds=at)


def convicted(name: str = "killer", replica: str = "r", at: float = 0.0) -> Quarantine:
    state = Quarantine()
    lose(state, name, at=at)
    assert lose(state, name, solo=name, replica=replica, at=at) == name
    return state


def test_second_lost_replica_quarantines() -> None:
    state = Quarantine()
    assert lose(state, "killer") is None
    assert standing(state, "killer") is Standing.SUSPECT
    assert lose(state, "killer", solo="killer", at=1.0) == "killer"
    assert standing(state, "killer", 1.0) is Standing.QUARANTINED
    assert state.release_after_ms("killer", wall_seconds=1.0) == 60_000
    assert lose(state, "killer", solo="killer", at=2.0) is None
    for at in (61.0, 3660.0):
        assert standing(state, "killer", at) is Standing.SUSPECT
    assert standing(state, "killer", 3661.0) is Standing.CLEAR
    assert state.release_after_ms("killer", wall_seconds=61.0) == 0


def test_repeated_offence_doubles_the_quarantine() -> None:
    state, now = convicted(), 60.0
    for _ in range(10):
        assert lose(state, "killer x", solo="killer", at=now) == "killer"
        assert standing(state, "x", now) is Standing.CLEAR
        released = state.release_after_ms("killer", wall_seconds=now) / 1000
        now += released
    assert released == quarantine.LONGEST_QUARANTINE_SECONDS
    assert [quarantine.quarantine_seconds(n) for n in (1, 2, 3)] == [60.0, 120.0, 240.0]


def test_killer_search_does_not_quarantine_innocents_beside_it() -> None:
    state = Quarantine()
    for shard in range(30):
        assert lose(state, "killer x y", replica=f"r{shard}") is None
    state.observe_success("x", now_seconds=0.1)
    assert standing(state, "x", 0.1) is Standing.CLEAR
    assert lose(state, "killer y", solo="y", replica="s0", at=0.2) is None
    assert standing(state, "y", 0.2) is Standing.SUSPECT
    assert lose(state, "killer", solo="killer", replica="s1", at=0.3) == "killer"
    assert standing(state, "killer", 0.3) is Standing.QUARANTINED
    assert standing(state, "y", 0.3) is Standing.CLEAR


def test_loss_without_the_culprit_in_flight_is_not_explained() -> None:
    state = Quarantine()
    lose(state, "killer x")
    lose(state, "x")
    lose(state, "killer", solo="killer")
    assert standing(state, "x") is Standing.SUSPECT


def test_request_that_was_answered_is_no_candidate() -> None:
    state = Quarantine()
    state.observe_success("x", now_seconds=0.0)
    lose(state, "killer x")
    assert standing(state, "x") is Standing.CLEAR
    assert lose(state, "killer x", solo="killer") == "killer"
    assert lose(state, "x", at=61.0) is None
    assert standing(state, "x", 61.0) is Standing.SUSPECT


def test_suspicion_lapses() -> None:
    state = Quarantine()
    lose(state, "x")
    assert standing(state, "x", 299.0) is Standing.SUSPECT
    assert standing(state, "x", 301.0) is Standing.CLEAR
    lose(state, "y", at=301.0)
    assert [record.fingerprint for record in state.records] == ["y"]
    lose(state, "y", at=602.0)
    assert standing(state, "y", 603.0) is Standing.SUSPECT


def test_cleared_or_lapsed_suspect_starts_afresh() -> None:
    state = Quarantine()
    lose(state, "killer x")
    state.observe_success("x", now_seconds=0.0)
    lose(state, "x", at=61.0)
    assert standing(state, "x", 61.0) is Standing.SUSPECT
    state.observe_success("x", now_seconds=61.0)
    lose(state, "killer x", at=130.0)
    assert lose(state, "killer", solo="killer", at=130.0) == "killer"
    assert standing(state, "x", 130.0) is Standing.CLEAR


def test_lapsed_suspect_is_not_cleared_again() -> None:
    state = Quarantine()
    lose(state, "killer x")
    lose(state, "killer", at=400.0)
    assert lose(state, "killer", solo="killer", at=400.0) == "killer"
    assert standing(state, "x", 400.0) is Standing.CLEAR


@COMMON
@given(st.lists(st.tuples(st.sets(names), st.floats(0, 30)), max_size=40))
def test_one_event_of_any_size_quarantines_nobody(
    losses: list[tuple[set[str], float]],
) -> None:
    state, now = Quarantine(), 0.0
    for in_flight, pause in losses:
        now += pause
        assert lose(state, " ".join(in_flight), at=now) is None


@COMMON
@given(
    st.lists(
        st.tuples(st.sets(names), st.sets(names), names, st.floats(0, 90)), max_size=40
    )
)
def test_innocents_beside_a_killer_are_never_quarantined(
    events: list[tuple[set[str], set[str], str, float]],
) -> None:
    state, now = Quarantine(), 0.0
    for beside, solo, answered, pause in events:
        now += pause
        if answered != "killer":
            state.observe_success(answered, now_seconds=now)
        found = lose(state, " ".join(beside | {"killer"}), solo=" ".join(solo), at=now)
        assert found in (None, "killer")
        for name in "xyz":
            assert standing(state, name, now) is not Standing.QUARANTINED


def exchange(one: Quarantine, other: Quarantine, at: float) -> None:
    records = one.records
    one.merge(other.records, wall_seconds=at)
    other.merge(records, wall_seconds=at)


def test_quarantine_and_its_end_reach_peers() -> None:
    state, peer = convicted(), Quarantine()
    lose(peer, "killer x")
    exchange(state, peer, 1.0)
    assert standing(peer, "killer", 1.0) is Standing.QUARANTINED
    assert standing(peer, "x", 1.0) is Standing.CLEAR
    peer.observe_success("killer", now_seconds=2.0)
    exchange(state, peer, 2.0)
    assert standing(state, "killer", 2.0) is Standing.CLEAR


def test_two_entries_that_blame_one_loss_leave_suspects() -> None:
    one, other = convicted("killer", "s1"), convicted("x", "s1", at=1.0)
    exchange(one, other, 1.0)
    for state in (one, other):
        for name in ("killer", "x"):
            assert standing(state, name, 1.0) is Standing.SUSPECT
    assert lose(one, "killer", solo="killer", replica="s2", at=2.0) == "killer"
    exchange(one, other, 2.0)
    for state in (one, other):
        assert standing(state, "killer", 2.0) is Standing.QUARANTINED
        assert standing(state, "x", 2.0) is Standing.CLEAR


def test_killers_of_different_losses_are_both_quarantined() -> None:
    for replica, at in (("s2", 0.0), ("s1", 6.0)):
        one, other = convicted("killer", "s1"), convicted("worse", replica, at)
        exchange(one, other, at)
        for name in ("killer", "worse"):
            assert standing(one, name, at) is Standing.QUARANTINED


records = st.lists(
    st.builds(
        Record,
        fingerprint=st.sampled_from("abcdef"),
        offences=st.integers(0, 2),
        released_at_seconds=st.sampled_from([1.0, 2.0]),
        lifted=st.booleans(),
        convicted_on=st.sampled_from(["", "r"]),
    ),
    max_size=8,
)


@COMMON
@given(records, records, records, st.integers(1, 6))
def test_merge_is_commutative_associative_and_idempotent(
    one: list[Record], two: list[Record], three: list[Record], most: int
) -> None:
    def merge(*sets: list[Record]) -> list[Record]:
        return quarantine.merge_records(*sets, most=most)

    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))
    assert merge(merge(one, two), two) == merge(one, two) == merge(merge(one, two))
    assert len(merge(one, two)) <= most


def test_state_is_bounded() -> None:
    state = convicted()
    for _ in range(quarantine.MOST_LOSSES + 1):
        lose(state, "x")
    assert len(state._losses["x"]) == quarantine.MOST_LOSSES
    for number in range(quarantine.MOST_RECORDS + 100):
        lose(state, f"x{number}")
    for number in range(quarantine.MOST_EXONERATED + 100):
        state.observe_success(f"y{number}", now_seconds=0.0)
    assert len(state.records) == quarantine.MOST_RECORDS
    assert state.exonerated_held == quarantine.MOST_EXONERATED
    assert standing(state, "killer") is Standing.QUARANTINED


def test_suspects_take_the_shards_in_different_orders() -> None:
    firsts = [
        quarantine.solo_order(str(random.Random(n).random()), 30)[0] for n in range(60)
    ]
    assert sorted(quarantine.solo_order("a", 30)) == list(range(30))
    assert len(set(firsts)) > 15
