"""Tests of replica choice, slow start and ejection."""

import random

from hypothesis import given, strategies as st

from bronzebeam.routing.choice import LatencyAverage, ReplicaView, choose_replica
from bronzebeam.routing.ejection import (
    MAX_EJECTION_SECONDS as MAX_SECONDS,
    Evidence,
    ShardEjections,
)
from bronzebeam.routing.slow_start import slow_start_weight
from tests.fixtures_routing import HYPOTHESIS_SETTINGS, OWN_DOMAIN, replica_view

views = st.builds(
    replica_view,
    st.sampled_from("abcdef"),
    failure_domain=st.sampled_from([OWN_DOMAIN, "domain-2"]),
    own_in_flight=st.integers(0, 5),
    reported_in_flight=st.integers(0, 5),
    latency_ms=st.floats(0, 1000),
    leaving=st.booleans(),
    ejected=st.booleans(),
    weight=st.floats(0, 1),
    free_connections=st.integers(0, 2),
)


def choose(*candidates: ReplicaView, excluded: str = "", seed: int = 1) -> str | None:
    chosen = choose_replica(
        candidates=candidates,
        own_failure_domain=OWN_DOMAIN,
        excluded=set(excluded),
        rng=random.Random(seed),
    )
    return chosen.replica if chosen else None


@HYPOTHESIS_SETTINGS
@given(
    st.lists(views, max_size=6, unique_by=lambda view: view.replica),
    st.sets(st.sampled_from("abcdef")),
    st.integers(0, 99),
)
def test_chosen_replica_is_usable_and_if_possible_not_ejected(
    candidates: list[ReplicaView], excluded: set[str], seed: int
) -> None:
    usable = [v for v in candidates if not v.leaving and v.replica not in excluded]
    preferred = [view for view in usable if not view.ejected] or usable
    name = choose(*candidates, excluded="".join(excluded), seed=seed)
    assert name in {view.replica for view in preferred} or not (name or usable)


def test_choice_weighs_load_latency_and_domain() -> None:
    better = replica_view("a")
    for worse in (
        replica_view("b", own_in_flight=1),
        replica_view("b", reported_in_flight=2),
        replica_view("b", latency_ms=20.0),
        replica_view("b", failure_domain="domain-2"),
        replica_view("b", latency_ms=1.0, free_connections=0),
    ):
        for pair in ((better, worse), (worse, better)):
            assert {choose(*pair, seed=seed) for seed in range(20)} == {"a"}


def test_choice_spreads_over_equal_replicas() -> None:
    names = [choose(*map(replica_view, "abc"), seed=seed) for seed in range(300)]
    assert all(70 <= names.count(name) <= 130 for name in "abc")


def test_cold_replica_is_chosen_in_proportion_to_its_weight() -> None:
    warm = replica_view("a", own_in_flight=2)
    cold = replica_view("b", weight=0.1)
    names = [choose(warm, cold, seed=seed) for seed in range(1000)]
    assert 60 <= names.count("b") <= 140


def test_slow_start_weight_grows_to_one() -> None:
    weights = [slow_start_weight(available_for_seconds=s) for s in (-1, 0, 5, 10, 99)]
    assert weights == [0.1, 0.1, 0.55, 1.0, 1.0]


def test_latency_average_follows_samples_and_decays() -> None:
    average = LatencyAverage().observe(latency_ms=100.0, now_seconds=0.0)
    assert average.at(0.0) == 100.0
    assert average.at(30.0) < 6.0
    for tenth in range(1, 301):
        average = average.observe(latency_ms=10.0, now_seconds=tenth / 10)
    assert 9.0 < average.at(30.0) < 16.0
    for _ in range(500):
        average = average.observe(latency_ms=50.0, now_seconds=30.0)
    assert average.at(30.0) > 45.0


def observe(
    state: ShardEjections,
    replica: str,
    evidence: Evidence,
    now: float,
    replicas: str = "ab",
) -> ShardEjections:
    return state.observe(
        replica=replica, evidence=evidence, now_seconds=now, replicas=replicas
    )


def eject(
    state: ShardEjections, replica: str, now: float, replicas: str = "ab"
) -> ShardEjections:
    for _ in range(2):
        state = observe(state, replica, Evidence.LOST_CONNECTION, now, replicas)
    return state


names = st.sampled_from("abcde")
evidences = st.sampled_from(Evidence)
shards = st.sampled_from(["ab", "abc", "abcde", "a", "de"])


@HYPOTHESIS_SETTINGS
@given(st.lists(st.tuples(names, evidences, st.floats(0, 3), shards), max_size=60))
def test_at_most_half_of_the_replicas_are_ejected(
    events: list[tuple[str, Evidence, float, str]],
) -> None:
    state, now = ShardEjections(), 0.0
    for replica, evidence, pause, replicas in events:
        now += pause
        before, state = state, observe(state, replica, evidence, now, replicas)
        ejected = state.ejected(now_seconds=now, replicas=replicas)
        assert 2 * len(ejected) <= len(replicas)
        assert ejected <= set(replicas)
        assert state is before or set(state.records) <= {*replicas, replica}
        assert not state.ejected(now_seconds=now + MAX_SECONDS, replicas=replicas)


def test_only_consecutive_failures_eject() -> None:
    state = ShardEjections()
    for evidence in [Evidence.FAILURE, Evidence.FAILURE, Evidence.SUCCESS] * 5:
        state = observe(state, "a", evidence, 0.0)
    assert not state.ejected(now_seconds=0.0, replicas="ab")
    for _ in range(3):
        state = observe(state, "a", Evidence.FAILURE, 0.0)
    assert state.ejected(now_seconds=0.0, replicas="ab") == {"a"}


def test_newest_evidence_wins_when_half_are_ejected() -> None:
    state = eject(eject(ShardEjections(), "a", 0.0), "b", 0.5)
    assert state.ejected(now_seconds=0.5, replicas="ab") == {"b"}
    state = eject(eject(ShardEjections(), "a", 0.0), "a", 1.0)
    state = eject(state, "b", 1.5)
    assert state.ejected(now_seconds=1.5, replicas="ab") == {"b"}


def test_fewer_replicas_stay_ejected_when_the_shard_shrinks() -> None:
    state = eject(ShardEjections(), "a", 0.0, "abcde")
    assert not state.ejected(now_seconds=0.0, replicas="bc")
    state = eject(state, "b", 0.1, "abcde")
    assert state.ejected(now_seconds=0.1, replicas="abcde") == {"a", "b"}
    assert state.ejected(now_seconds=0.1, replicas="ab") == {"b"}


def test_ejection_time_is_bounded() -> None:
    state, now = ShardEjections(), 0.0
    for _ in range(10):
        state = eject(state, "a", now)
        now += MAX_SECONDS
        assert not state.ejected(now_seconds=now, replicas="ab")
    assert state.ejected(now_seconds=now - 0.1, replicas="ab") == {"a"}


def test_ejections_get_longer_until_the_replica_has_recovered() -> None:
    state = eject(ShardEjections(), "a", 0.0)
    assert not state.ejected(now_seconds=1.0, replicas="ab")
    state = observe(state, "a", Evidence.FAILURE, 1.0)
    assert state.ejected(now_seconds=2.9, replicas="ab") == {"a"}
    state = observe(state, "a", Evidence.SUCCESS, 3.5)
    state = eject(state, "a", 4.0)
    assert state.ejected(now_seconds=7.9, replicas="ab") == {"a"}
    state = observe(state, "a", Evidence.SUCCESS, 20.0)
    assert not state.records
    assert not eject(state, "a", 30.0).ejected(now_seconds=31.0, replicas="ab")
