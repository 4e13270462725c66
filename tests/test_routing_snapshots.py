"""Tests of the choice of a snapshot and of the coverage policy."""

from hypothesis import given, strategies as st

from bronzebeam.documents.model import CoverageSpec
from bronzebeam.routing import coverage
from bronzebeam.routing.coverage import CoverageDecision, ShardProgress
from bronzebeam.routing.snapshots import ReplicaHolding, Snapshot, pick_snapshot
from tests.fixtures_routing import HYPOTHESIS_SETTINGS


def holding(replica: str, version: int, shard: int, count: int) -> ReplicaHolding:
    return ReplicaHolding(
        replica=replica, index_version=version, shard=shard, shard_count=count
    )


replicas, small_counts = st.sampled_from("abcdef"), st.integers(1, 3)
any_holding = st.builds(
    holding, replicas, small_counts, st.integers(0, 3), small_counts
)


@HYPOTHESIS_SETTINGS
@given(st.lists(any_holding, max_size=25), st.sets(replicas))
def test_snapshot_is_one_version_served_by_usable_replicas(
    holdings: list[ReplicaHolding], usable: set[str]
) -> None:
    snapshot = pick_snapshot(holdings, usable)
    assert snapshot == pick_snapshot(holdings[::-1], usable)
    if snapshot is None:
        assert not any(complete_versions(holdings, usable))
        return
    assert snapshot.covered > 0
    assert len(snapshot.replicas_by_shard) == snapshot.shard_count
    version, count = snapshot.index_version, snapshot.shard_count
    for shard, names in enumerate(snapshot.replicas_by_shard):
        assert usable.issuperset(names)
        assert all(holding(name, version, shard, count) in holdings for name in names)
    complete = complete_versions(holdings, usable)
    assert snapshot.complete == bool(complete)
    assert not complete or version == max(complete)


def complete_versions(holdings: list[ReplicaHolding], usable: set[str]) -> set[int]:
    """Return the versions of which all shards can be served, computed independently."""
    complete = set()
    valid = [item for item in holdings if item.shard < item.shard_count]
    for version in {item.index_version for item in valid}:
        votes: dict[int, set[str]] = {}
        for item in valid:
            if item.index_version == version:
                votes.setdefault(item.shard_count, set()).add(item.replica)
        count = sorted(votes, key=lambda n: (len(votes[n]), n))[-1]
        if all(
            any(holding(name, version, shard, count) in holdings for name in usable)
            for shard in range(count)
        ):
            complete.add(version)
    return complete


def test_snapshot_waits_for_the_last_shard_of_a_new_version() -> None:
    old = [holding(name, 1, shard, 2) for shard, name in enumerate("ab")]
    new = [holding(name, 2, shard, 3) for shard, name in enumerate("abc")]
    assert pick_snapshot(old + new[:2], "abc") == Snapshot(
        index_version=1, shard_count=2, replicas_by_shard=(("a",), ("b",))
    )
    assert pick_snapshot(old + new, "abc") == Snapshot(
        index_version=2, shard_count=3, replicas_by_shard=(("a",), ("b",), ("c",))
    )


def test_best_covered_version_is_picked_when_none_is_complete() -> None:
    holdings = [holding("a", 1, 0, 2), holding("b", 2, 0, 3), holding("c", 2, 1, 3)]
    picked = pick_snapshot(holdings, "abc")
    assert picked is not None and picked.index_version == 2
    picked = pick_snapshot(holdings, "ab")
    assert picked is not None and picked.index_version == 1
    assert pick_snapshot(holdings, "") is None


def test_shard_count_reported_by_a_minority_is_ignored() -> None:
    holdings = [holding(name, 1, shard, 3) for shard, name in enumerate("abc")]
    picked = pick_snapshot(
        [*holdings, holding("d", 1, 0, 1), holding("e", 1, 0, 9)], "abcde"
    )
    assert picked is not None and picked.shard_count == 3
    assert picked.replicas_by_shard[0] == ("a",)


def decide(
    spec: CoverageSpec, included: int, missing: int, elapsed_ms: float
) -> CoverageDecision:
    progress = ShardProgress(shard_count=10, included=included, missing=missing)
    return coverage.decide_coverage(
        spec, progress, elapsed_ms=elapsed_ms, deadline_ms=100.0
    )


def test_coverage_waits_or_answers_by_policy() -> None:
    soft = CoverageSpec(soft_deadline_ms=50, minimum_share=0.8)
    hard = CoverageSpec(minimum_share=0.8)
    assert decide(soft, 9, 0, 49.0) is CoverageDecision.WAIT
    assert decide(soft, 9, 0, 50.0) is CoverageDecision.PARTIAL
    assert decide(hard, 9, 0, 50.0) is CoverageDecision.WAIT
    assert decide(hard, 8, 0, 100.0) is CoverageDecision.PARTIAL
    assert decide(hard, 7, 0, 100.0) is CoverageDecision.BELOW_MINIMUM
    assert decide(soft, 7, 0, 60.0) is CoverageDecision.WAIT
    assert decide(hard, 8, 2, 1.0) is CoverageDecision.PARTIAL
    assert decide(hard, 0, 3, 1.0) is CoverageDecision.BELOW_MINIMUM
    assert decide(CoverageSpec(), 0, 10, 1.0) is CoverageDecision.BELOW_MINIMUM
    assert coverage.next_decision_ms(soft, elapsed_ms=1.0, deadline_ms=100.0) == 50.0
    assert coverage.next_decision_ms(soft, elapsed_ms=50.0, deadline_ms=100.0) == 100.0


soft_times, counts = st.none() | st.integers(1, 120), st.integers(0, 10)


@HYPOTHESIS_SETTINGS
@given(soft_times, st.floats(0, 1), counts, counts, st.floats(0, 150))
def test_coverage_decision_matches_the_shard_counts(
    soft_ms: int | None, share: float, included: int, missing: int, elapsed_ms: float
) -> None:
    missing = min(missing, 10 - included)
    spec = CoverageSpec(soft_deadline_ms=soft_ms, minimum_share=share)
    decision = decide(spec, included, missing, elapsed_ms)
    assert (decision is CoverageDecision.COMPLETE) == (included == 10)
    if decision is CoverageDecision.PARTIAL:
        assert included >= max(1, share * 10 - 1e-6)
    if decision is CoverageDecision.WAIT:
        assert elapsed_ms < 100.0 and included + missing < 10
    if decision is CoverageDecision.BELOW_MINIMUM:
        reachable = 10 - missing if elapsed_ms < 100.0 else included
        assert reachable < max(1, share * 10 + 1e-6)
