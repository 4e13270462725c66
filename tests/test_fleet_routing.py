"""Tests of the pure parts of the fleet: ranking, watchers, rings and records."""

from collections import Counter
from random import Random

from hypothesis import given, settings, strategies as st

from bronzebeam.bench.dissemination import CASES, fleet_members, spread
from bronzebeam.controllers.membership_view import MembershipView, build_plan
from bronzebeam.routing.dissemination import (
    PUSH_RINGS,
    choose_exchange_peer,
    exchange_interval_seconds,
    push_candidates,
)
from bronzebeam.routing.membership_state import (
    MAX_GONE_RECORDS,
    MAX_MEMBERS,
    MemberRecord,
    MemberRecords,
    MemberState,
    digest_records,
    limit_records,
    merge_records,
)
from bronzebeam.routing.rendezvous import RendezvousRanking, rank_members
from bronzebeam.routing.watchers import (
    STANDBY_WATCHER_COUNT,
    WATCHER_COUNT,
    choose_standby_watchers,
    choose_watchers,
)
from tests.fixtures_fleet import member

REPEATABLE = settings(derandomize=True, database=None, deadline=None)
FLEET_NODES = 900
IN_FORCE_SECONDS = 6.0

RECORDS = st.lists(
    st.builds(
        MemberRecord,
        instance=st.sampled_from(["a", "b", "c"]),
        incarnation=st.integers(0, 3),
        state=st.sampled_from(MemberState),
        address=st.sampled_from(["x", "y"]),
        peer_address=st.just("p"),
        failure_domain=st.just("d"),
        ended_ms=st.integers(0, 2),
    ),
    max_size=8,
)


def _merged(*parts: list[MemberRecord]) -> MemberRecords:
    records: MemberRecords = {}
    for part in parts:
        records = merge_records(records, part).records
    return records


@REPEATABLE
@given(RECORDS, RECORDS, RECORDS)
def test_merge_is_commutative_associative_and_idempotent(
    one: list[MemberRecord], two: list[MemberRecord], three: list[MemberRecord]
) -> None:
    assert _merged(one, two) == _merged(two, one)
    left = list(_merged(one, two).values())
    right = list(_merged(two, three).values())
    assert _merged(left, three) == _merged(one, right)
    assert _merged(one, one) == _merged(one)
    assert merge_records(_merged(one, two), one + two).changed == ()


def test_later_life_wins_over_the_end_of_an_earlier_one() -> None:
    gone = member("a", incarnation=4).ended(MemberState.GONE, at_ms=9)
    later = member("a", incarnation=5)
    assert _merged([later], [gone])["a"] == later
    assert _merged([gone], [member("a", incarnation=4)])["a"] == gone


def test_records_are_bounded_and_live_ones_kept_before_gone_ones() -> None:
    live = [member(f"live{i}", incarnation=i) for i in range(100)]
    gone = [
        member(f"gone{i}", incarnation=1000 - i).ended(MemberState.GONE, at_ms=i)
        for i in range(MAX_GONE_RECORDS + 50)
    ]
    kept = limit_records(_merged(live, gone))
    assert len(kept) == 100 + MAX_GONE_RECORDS
    assert "gone49" not in kept and "gone50" in kept
    many = [member(f"m{i}", incarnation=i) for i in range(MAX_MEMBERS + 10)]
    assert len(limit_records(_merged(many))) == MAX_MEMBERS


def test_digest_tells_the_bucket_of_a_changed_record() -> None:
    records = _merged([member(f"e{i}") for i in range(200)])
    changed = _merged(list(records.values()), [member("e7", incarnation=2)])
    one, two = digest_records(records), digest_records(changed)
    assert one.whole != two.whole
    assert len(one.differing(two.buckets)) == 1
    assert digest_records(dict(reversed(list(records.items())))) == one


def test_ranking_moves_only_the_member_that_left() -> None:
    names = [f"e{i}" for i in range(50)]
    before = rank_members("key", names)
    left = before[3]
    after = rank_members("key", [name for name in names if name != left])
    assert after == tuple(name for name in before if name != left)
    firsts = Counter(rank_members(f"key{i}", names)[0] for i in range(2000))
    assert max(firsts.values()) < 3 * 2000 / 50


def test_ranking_is_kept_until_the_membership_changes() -> None:
    ranking = RendezvousRanking(revision=1, members=["a", "b"])
    assert ranking.rank("k") is ranking.rank("k")
    assert ranking.for_revision(revision=1, members=["c"]) is ranking
    assert ranking.for_revision(revision=2, members=["c"]).rank("k") == ("c",)


def test_watchers_are_of_distinct_failure_domains() -> None:
    ranked = [member(f"e{i}", "a" if i < 5 else "bc"[i % 2]) for i in range(9)]
    chosen = choose_watchers(ranked)
    assert chosen == ("e0", "e5", "e6")
    assert choose_watchers(ranked, excluded={"e0", "e6"}) == ("e1", "e5", "e8")
    assert choose_watchers(ranked[:5]) == ("e0", "e1", "e2")
    assert choose_standby_watchers(ranked, chosen) == (
        "e1",
        "e2",
        "e3",
        "e4",
        "e7",
        "e8",
    )


def test_standby_entries_and_watchers_check_on_the_watchers() -> None:
    members = fleet_members(100)
    records = {item.instance: item for item in members}
    checked = {}
    for own in members:
        view = MembershipView(
            revision=1, own=own, records=records, plan=build_plan(own, records, {})
        )
        checked[own.instance] = set(view.monitored_peers)
        watchers = set(view.watchers)
    checking = {name for name, peers in checked.items() if peers}
    assert (
        len(checking) == WATCHER_COUNT + STANDBY_WATCHER_COUNT and watchers < checking
    )
    assert all(checked[name] == watchers - {name} for name in checking)


def test_checked_peers_get_every_second_exchange() -> None:
    chosen = [
        choose_exchange_peer(
            peers=("a", "b"),
            priority_peers=("w",),
            suspected=(),
            turn=turn,
            rng=Random(1),
        )
        for turn in range(6)
    ]
    assert chosen[::2] == ["w"] * 3 and "w" not in chosen[1::2]


def test_each_node_is_pushed_to_by_about_as_many_as_it_pushes_to() -> None:
    members = fleet_members(200)
    received: Counter[str] = Counter()
    for own in members:
        rings = push_candidates(own, members)
        firsts = {followers[0] for followers in rings}
        assert own.instance not in firsts and len(rings) == PUSH_RINGS
        domains = {item.instance: item.failure_domain for item in members}
        assert domains[rings[0][0]] != own.failure_domain
        received.update(firsts)
    assert min(received[item.instance] for item in members) >= 3


def test_small_fleets_push_to_every_peer() -> None:
    members = fleet_members(4)
    rings = push_candidates(members[0], members)
    assert {name for followers in rings for name in followers} == {
        item.instance for item in members[1:]
    }
    assert push_candidates(members[0], members[:1]) == ((),) * PUSH_RINGS


def test_exchanges_grow_rarer_with_the_fleet() -> None:
    assert exchange_interval_seconds(8) == 2.0
    assert exchange_interval_seconds(FLEET_NODES) == 3.0
    assert exchange_interval_seconds(10 * FLEET_NODES) == 4.0


def test_rumour_reaches_900_nodes_within_six_seconds_under_faults() -> None:
    for faults in CASES.values():
        run = spread(FLEET_NODES, faults, seed=1)
        assert run.reached == run.alive
        assert run.seconds <= IN_FORCE_SECONDS
        assert run.by_push >= 0.9 * run.alive
