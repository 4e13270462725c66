"""Tests of the load that replicas state, and of the choice that follows it."""

import statistics
from collections import Counter
from typing import Any

from hypothesis import given, strategies as st

from bronzebeam.gateway.load_codec import (
    MAX_READINGS,
    ReplicaReading,
    decode_readings,
    encode_readings,
)
from bronzebeam.gateway.peer_codec import MalformedDelegation
from bronzebeam.routing.hedge_timing import hedge_delay_ms, should_hedge_early
from bronzebeam.routing.replica_estimate import ReplicaLoad, estimate_reply_ms
from bronzebeam.routing.replica_latency import RelativeLatency
from bronzebeam.routing.reported_load import (
    MAX_AGE_SECONDS,
    LoadReading,
    UsualLoad,
    explained_ratio,
    read_load,
)
from tests.fixtures_load_play import LoadPlay, play
from tests.fixtures_routing import HYPOTHESIS_SETTINGS

TYPICAL_MS = 10.0
SEEDS = (1, 2, 3, 4)


def make_reading(value: bytes, at_seconds: float = 1.0) -> LoadReading:
    reading = read_load(value, at_seconds=at_seconds)
    assert reading is not None
    return reading


def make_load(
    value: bytes | None = None,
    *,
    age_seconds: float = 0.0,
    sent_since: int = 0,
    usual: UsualLoad | None = None,
    **changed: object,
) -> ReplicaLoad:
    """Return the load of a replica with the reading `value` of this age."""
    fields: dict[str, object] = {
        "latency_factor": 1.0,
        "in_flight": sent_since,
        "oldest_age_ms": 0.0,
        "slots": 2,
        "is_cold": False,
        "is_connected": True,
        "failure_share": 0.0,
        "in_own_domain": True,
        **changed,
    }
    load = ReplicaLoad(**fields)  # type: ignore[arg-type]
    if value is not None:
        reading = make_reading(value, 0.0)
        if reading.is_valid(age_seconds):
            (usual or UsualLoad()).apply(
                load,
                reading,
                sent_since=sent_since,
                typical_ms=TYPICAL_MS,
                now_seconds=age_seconds,
            )
    return load


def estimate(value: bytes | None = None, **changed: object) -> float:
    load = make_load(value, **changed)  # type: ignore[arg-type]
    return estimate_reply_ms(load, typical_ms=TYPICAL_MS)


def test_load_is_read_with_and_without_the_pace() -> None:
    assert make_reading(b"2,3,4,150") == LoadReading(
        running=2, waiting=3, slots=4, pace=1.5, at_seconds=1.0
    )
    assert make_reading(b"2, 3, 4").pace == 1.0
    assert make_reading(b"0,0,2,87.5").pace == 0.875
    # A later build of the replicas may state more.
    assert make_reading(b"1,0,2,100,9").running == 1


def test_load_that_can_not_be_read_is_none() -> None:
    """Guards against a crash, a division by zero and estimates without bound."""
    for value in (
        b"",
        b",,,",
        b"1,2",
        b"a,0,2,100",
        b"-1,0,2,100",
        b"1,-1,2,100",
        b"1,0,0,100",
        b"1,0,2,0",
        b"1,0,2,-5",
        b"1,0,2,nan",
        b"1,0,2,inf",
        b"1,0,2,",
        b"1.5,0,2,100",
        b"1,9999999999,2,100",
        b"1,0,2,1e30",
        b"\xff,0,2",
        b"9" * 5_000 + b",0,2",
    ):
        assert read_load(value, at_seconds=1.0) is None, value


@HYPOTHESIS_SETTINGS
@given(
    running=st.integers(0, 200),
    waiting=st.integers(0, 200),
    slots=st.integers(1, 20),
    percent=st.integers(20, 2_000),
    age_seconds=st.floats(0.0, 0.3),
    sent_since=st.integers(0, 5),
    usual=st.floats(0.5, 20.0),
)
def test_estimate_grows_with_the_load_and_stays_positive(
    running: int,
    waiting: int,
    slots: int,
    percent: int,
    age_seconds: float,
    sent_since: int,
    usual: float,
) -> None:
    def estimate_for(extra: int, extra_percent: int) -> float:
        value = b"%d,%d,%d,%d" % (
            running,
            waiting + extra,
            slots,
            percent + extra_percent,
        )
        return estimate(
            value,
            age_seconds=age_seconds,
            sent_since=sent_since,
            usual=UsualLoad(queue_factor=usual),
        )

    least_ms = estimate_for(0, 0)
    assert 0.0 < least_ms <= estimate_for(3, 0) <= estimate_for(3, 300)


def test_estimate_follows_the_reading_and_counts_own_requests_since() -> None:
    assert estimate(b"0,0,2,100") == estimate()
    # A slot is free, so nothing has to be waited for.
    assert estimate(b"1,0,2,100") < 1.1 * TYPICAL_MS
    # Two requests before the new one have to end: one and a half times the work.
    assert 1.4 * TYPICAL_MS < estimate(b"2,0,2,100") < 1.8 * TYPICAL_MS
    assert estimate(b"2,4,2,100") > 3.0 * TYPICAL_MS
    assert estimate(b"0,0,2,300") == 3.0 * estimate()
    assert estimate(b"1,0,2,100", sent_since=3) == estimate(b"2,2,2,100")


def test_reading_fades_and_is_ignored_after_200_ms() -> None:
    """Guards against a choice by queues that have long changed."""
    ages = (0.0, 0.01, 0.05, 0.1, 0.15, 0.19)
    estimates = [estimate(b"2,8,2,200", age_seconds=age) for age in ages]
    assert estimates == sorted(estimates, reverse=True)
    assert estimates[-1] < 1.1 * estimate()
    for age in (MAX_AGE_SECONDS, 0.25, 5.0):
        assert estimate(b"2,8,2,200", age_seconds=age) == estimate()


def test_replica_without_a_reading_is_expected_to_be_as_busy_as_usual() -> None:
    """Guards against all instances turning to replicas they know nothing of."""
    usual = UsualLoad()
    for _ in range(200):
        usual.observe(make_reading(b"2,2,2,120"))
    assert abs(usual.pace - 1.2) < 0.1
    ratio = estimate(b"2,2,2,120", usual=usual) / estimate(usual=usual)
    assert 0.9 < ratio < 1.1
    assert estimate(b"0,0,2,120", usual=usual) < 0.6 * estimate(usual=usual)


def test_own_requests_in_flight_count_as_before_without_a_reading() -> None:
    for in_flight, expected_ms in ((0, 10.0), (1, 11.0), (2, 17.0), (3, 23.0)):
        assert abs(estimate(in_flight=in_flight) - expected_ms) < 1e-9


def test_queue_that_the_replica_states_is_no_sign_of_a_stall() -> None:
    waiting: dict[str, Any] = {"in_flight": 1, "oldest_age_ms": 40.0}
    assert estimate(**waiting) > 40.0 + TYPICAL_MS
    queued_ms = estimate(b"2,8,2,100", **waiting)
    assert queued_ms < 8.0 * TYPICAL_MS
    # A reading from before the stall says little of it.
    assert estimate(b"2,8,2,100", age_seconds=0.15, **waiting) > 40.0 + TYPICAL_MS


def test_stated_load_does_not_count_as_slowness_as_well() -> None:
    """Guards against avoiding a replica for seconds after its queue has emptied."""
    ratio = explained_ratio(make_load(b"2,4,2,150"))
    latency = RelativeLatency()
    for number in range(20):
        latency.observe(
            latency_ms=TYPICAL_MS * ratio,
            typical_ms=TYPICAL_MS * ratio,
            now_seconds=0.01 * number,
        )
    assert ratio > 4.0 and latency.at(0.2) <= 1.0
    # A replica that states less than its replies show is known as slow.
    for number in range(20, 40):
        latency.observe(
            latency_ms=TYPICAL_MS * 5.0,
            typical_ms=TYPICAL_MS * explained_ratio(make_load(b"0,0,2,100")),
            now_seconds=0.01 * number,
        )
    assert latency.at(0.4) > 3.0
    assert explained_ratio(make_load(b"0,0,2,50")) == 1.0


def mean_ms(plays: list[LoadPlay]) -> float:
    return statistics.mean(item.mean_ms() for item in plays)


def test_readings_avoid_a_replica_that_others_keep_busy() -> None:
    """
    Guards against queueing behind requests of instances that this one can't see.

    8 of 20 instances send to one of three replicas only; the others choose. Without
    relative latency, which finds a replica that is busy all the time as well.
    """
    options: dict[str, Any] = {
        "instance_count": 20,
        "utilization": 0.6,
        "fixed_count": 8,
        "uses_latency": False,
    }
    without, with_readings = (
        [play(uses_readings=uses, seed=seed, **options) for seed in SEEDS]
        for uses in (False, True)
    )
    assert mean_ms(with_readings) < 0.85 * mean_ms(without)
    without_p99, with_p99 = (
        statistics.mean(item.percentile_ms(0.99) for item in plays)
        for plays in (without, with_readings)
    )
    assert with_p99 < 0.85 * without_p99


def test_readings_avoid_replicas_that_others_keep_busy_for_short_times() -> None:
    """
    Guards against queueing behind bursts of other instances.

    2 of 6 instances turn to another replica each 100 ms, which relative latency is too
    slow to follow.
    """
    plays = {
        uses: [
            play(
                uses_readings=uses,
                instance_count=6,
                utilization=0.7,
                fixed_count=2,
                burst_seconds=0.1,
                seed=seed,
            )
            for seed in SEEDS
        ]
        for uses in (False, True)
    }
    assert mean_ms(plays[True]) < 0.92 * mean_ms(plays[False])


def test_readings_avoid_a_replica_with_a_slow_pace() -> None:
    """Guards against waiting for the replies that would show how slow it is."""
    plays = {
        uses: [
            play(
                uses_readings=uses,
                instance_count=20,
                utilization=0.6,
                paces=(1.0, 1.0, 3.0),
                uses_latency=False,
                seed=seed,
            )
            for seed in SEEDS
        ]
        for uses in (False, True)
    }
    assert mean_ms(plays[True]) < 0.7 * mean_ms(plays[False])


def largest_shares(played: LoadPlay, window_seconds: float) -> list[float]:
    """Return the largest share that one replica received in each window."""
    counts: Counter[tuple[int, int]] = Counter()
    totals: Counter[int] = Counter()
    for index, replica in enumerate(played.replicas):
        for at_seconds in replica.received_at_seconds:
            window = int(at_seconds / window_seconds)
            counts[window, index] += 1
            totals[window] += 1
    return [
        max(counts[window, index] for index in range(len(played.replicas))) / total
        for window, total in totals.items()
    ]


def test_instances_do_not_all_run_to_the_same_replica() -> None:
    """
    Guards against a herd: all instances see an empty queue and fill it together.

    Equal replicas must be used evenly, also within 50 ms, and no request may pay for
    it: reply times stay as they are without readings.
    """
    for instance_count in (20, 71):
        plays = {
            uses: [
                play(
                    uses_readings=uses,
                    instance_count=instance_count,
                    utilization=0.8,
                    seed=seed,
                )
                for seed in SEEDS
            ]
            for uses in (False, True)
        }
        shares = {
            uses: statistics.mean(
                statistics.mean(largest_shares(item, 0.05)) for item in items
            )
            for uses, items in plays.items()
        }
        assert shares[True] < shares[False] + 0.05
        assert shares[True] < 0.5
        assert mean_ms(plays[True]) < 1.05 * mean_ms(plays[False])


def test_early_hedge_needs_a_late_replica_and_a_much_faster_one() -> None:
    hedge_ms = hedge_delay_ms(
        typical_ms=TYPICAL_MS, target_latency_ms=90.0, is_fan_out=True
    )

    def is_hedged(reported_ms: float, other_ms: float) -> bool:
        return should_hedge_early(
            reported_ms=reported_ms,
            elapsed_ms=hedge_ms / 2.0,
            other_ms=other_ms,
            hedge_after_ms=hedge_ms,
        )

    assert is_hedged(60.0, TYPICAL_MS)
    # It would not be hedged later either.
    assert not is_hedged(24.0, 1.0)
    # All replicas are busy: a hedge would only add to the work.
    assert not is_hedged(60.0, 40.0)


def make_replica_reading(name: str, at_seconds: float) -> ReplicaReading:
    return ReplicaReading(
        replica=name,
        started_at_ms=1_700_000_000_000,
        reading=make_reading(b"2,1,2,130", at_seconds),
    )


def test_readings_are_passed_with_their_age() -> None:
    readings = [make_replica_reading("i-1", 5.0), make_replica_reading("i-2", 5.05)]
    value = encode_readings(readings, now_seconds=5.06)
    # The clock of the other instance has another origin.
    decoded = decode_readings(value, now_seconds=100.0)
    assert [item.replica for item in decoded] == ["i-1", "i-2"]
    assert [round(item.reading.at_seconds, 3) for item in decoded] == [99.94, 99.99]
    assert decoded[0].reading.waiting == 1 and decoded[0].reading.pace == 1.3
    assert decoded[0].started_at_ms == 1_700_000_000_000


def test_old_readings_are_not_passed_and_their_number_is_bounded() -> None:
    assert encode_readings([make_replica_reading("i-1", 5.0)], now_seconds=5.2) == b""
    many = [make_replica_reading(f"i-{n}", 5.0 + n / 10_000) for n in range(500)]
    value = encode_readings(many, now_seconds=5.1)
    decoded = decode_readings(value, now_seconds=5.1)
    assert len(decoded) == MAX_READINGS and len(value) < 50 * MAX_READINGS
    assert {item.replica for item in decoded} == {f"i-{n}" for n in range(436, 500)}


@HYPOTHESIS_SETTINGS
@given(value=st.binary(max_size=60))
def test_readings_of_a_peer_are_checked(value: bytes) -> None:
    for sent in (
        value,
        b'[["i-1",1,5,2,1,2,100],3]',
        b'[["i-1",1,5,2,1,2]]',
        b'[["i-1",1,5,2,1,2,"x"]]',
        b"[[7,1,5,2,1,2,100]]",
        b'{"a":1}',
        b"[null]",
        b"7",
    ):
        try:
            decoded = decode_readings(sent, now_seconds=1.0)
        except MalformedDelegation:
            continue
        assert decoded == []
    for ignored in (b"-5", b"200", b"1e300"):
        sent = b'[["i-1",1,%s,2,1,2,100]]' % ignored
        assert decode_readings(sent, now_seconds=1.0) == []
    assert decode_readings(b'[["i-1",1,5,2,1,0,100]]', now_seconds=1.0) == []
