"""Tests of the fleet's pure functions: ranking, watchers, push rings and records."""

from collections import Counter
from random import Random

from hypothesis import given, settings, strategies as st

from bronzebeam.bench.dissemination import (
    FAULT_CASES,
    fleet_members,
    simulate_dissemination,
)
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
from tests.fixtures_fleet import make_member

REPEATABLE = settings(derandomize=True, database=None, deadline=None)
FLEET_NODES = 900
MAX_SPREAD_SECONDS = 6.0

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


def _merge_all(*parts: list[MemberRecord]) -> MemberRecords:
    records: MemberRecords = {}
    for part in parts:
        records = merge_records(records, part).records
    return records


@REPEATABLE
@given(RECORDS, RECORDS, RECORDS)
def test_merge_is_commutative_associative_and_idempotent(
    one: list[MemberRecord], two: list[MemberRecord], three: list[MemberRecord]
) -> None:
    assert _merge_all(one, two) == _merge_all(two, one)
    left = list(_merge_all(one, two).values())
    right = list(_merge_all(two, three).values())
    assert _merge_all(left, three) == _merge_all(one, right)
    assert _merge_all(one, one) == _merge_all(one)
    assert merge_records(_merge_all(one, two), one + two).changed == ()


def test_later_incarnation_wins_over_end_of_earlier_one() -> None:
    gone = make_member("a", incarnation=4).ended(MemberState.GONE, at_ms=9)
    later = make_member("a", incarnation=5)
    assert _merge_all([later], [gone])["a"] == later
    assert _merge_all([gone], [make_member("a", incarnation=4)])["a"] == gone


def test_record_limits_keep_latest_live_and_gone_records() -> None:
    live = [make_member(f"live{i}", incarnation=i) for i in range(100)]
    gone = [
        make_member(f"gone{i}", incarnation=1000 - i).ended(MemberState.GONE, at_ms=i)
        for i in range(MAX_GONE_RECORDS + 50)
    ]
    kept = limit_records(_merge_all(live, gone))
    assert len(kept) == 100 + MAX_GONE_RECORDS
    assert "gone49" not in kept and "gone50" in kept
    many = [make_member(f"m{i}", incarnation=i) for i in range(MAX_MEMBERS + 10)]
    assert len(limit_records(_merge_all(many))) == MAX_MEMBERS


def test_digest_finds_bucket_of_changed_record() -> None:
    records = _merge_all([make_member(f"e{i}") for i in range(200)])
    changed = _merge_all(list(records.values()), [make_member("e7", incarnation=2)])
    one, two = digest_records(records), digest_records(changed)
    assert one.whole != two.whole
    assert len(one.differing(two.buckets)) == 1
    assert digest_records(dict(reversed(list(records.items())))) == one


def test_ranking_keeps_order_of_remaining_members() -> None:
    names = [f"e{i}" for i in range(50)]
    before = rank_members("key", names)
    left = before[3]
    after = rank_members("key", [name for name in names if name != left])
    assert after == tuple(name for name in before if name != left)
    firsts = Counter(rank_members(f"key{i}", names)[0] for i in range(2000))
    assert max(firsts.values()) < 3 * 2000 / 50


def test_ranking_is_cached_until_membership_changes() -> None:
    ranking = RendezvousRanking(revision=1, members=["a", "b"])
    assert ranking.rank("k") is ranking.rank("k")
    assert ranking.for_revision(revision=1, members=["c"]) is ranking
    assert ranking.for_revision(revision=2, members=["c"]).rank("k") == ("c",)


def test_watchers_are_in_distinct_failure_domains() -> None:
    ranked = [make_member(f"e{i}", "a" if i < 5 else "bc"[i % 2]) for i in range(9)]
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


def test_standby_entries_and_watchers_monitor_watchers() -> None:
    members = fleet_members(100)
    records = {item.instance: item for item in members}
    monitored = {}
    for own in members:
        view = MembershipView(
            revision=1, own=own, records=records, plan=build_plan(own, records, {})
        )
        monitored[own.instance] = set(view.monitored_peers)
        watchers = set(view.watchers)
    monitoring = {name for name, peers in monitored.items() if peers}
    assert (
        len(monitoring) == WATCHER_COUNT + STANDBY_WATCHER_COUNT
        and watchers < monitoring
    )
    assert all(monitored[name] == watchers - {name} for name in monitoring)


def test_monitored_peers_get_every_second_exchange() -> None:
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


def test_pushes_are_spread_evenly_over_members() -> None:
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


def test_exchange_interval_grows_with_fleet_size() -> None:
    assert exchange_interval_seconds(8) == 2.0
    assert exchange_interval_seconds(FLEET_NODES) == 3.0
    assert exchange_interval_seconds(10 * FLEET_NODES) == 4.0


def test_update_reaches_900_nodes_within_six_seconds_under_faults() -> None:
    for faults in FAULT_CASES.values():
        run = simulate_dissemination(FLEET_NODES, faults, seed=1)
        assert run.reached_count == run.alive_count
        assert run.seconds <= MAX_SPREAD_SECONDS
        assert run.reached_by_push_count >= 0.9 * run.alive_count
