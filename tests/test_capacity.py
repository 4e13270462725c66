"""Tests of the capacity model, with round numbers as input."""

import math

from bronzebeam.bench.capacity import (
    FleetSize,
    UnitCosts,
    control_load,
    query_load,
    replica_load,
    store_load,
    tail_load,
)

SIZE = FleetSize(
    nodes=100,
    replicas=400,
    queries_per_second=1_000,
    shards_per_query=40,
    answered_share=0.99,
    slots=2,
    connections_per_replica=25,
    service_ms=5,
    changes_per_day=864,
    restarts_per_day=8,
    failures_per_day=0,
)
COSTS = UnitCosts(
    query_ms=2.0,
    sub_request_ms=0.5,
    call_ms=1.0,
    booking_ms=3.0,
    replica_kb=100,
    connection_kb=50,
    record_kb=0.5,
    idle_cpu_share=0.01,
    replica_cpu_share=0.0001,
    exchange_ms=3.0,
    exchange_bytes=600,
    push_bytes=1_000,
    listed_bytes=100,
    listed_decode_us=2.0,
    exchange_seconds=3.0,
    pushes_per_change=4.0,
    store_wait_seconds=3.0,
    watchers=3,
    store_writes_per_booking=2.0,
    store_writes_per_second=300,
)


def test_query_load_of_flat_and_tree_fan_out() -> None:
    load = query_load(SIZE, COSTS, groups=4)
    assert load.queries_per_node_second == 10
    assert load.sub_requests_per_node_second == 400
    assert load.flat_query_ms == 22
    assert math.isclose(load.flat_cores_per_node, 0.22)
    assert load.merger_group == 10
    assert load.tree_query_ms == 22 + 4 * 2.5
    assert load.peer_hops_per_node_second == 40


def test_replica_load() -> None:
    load = replica_load(SIZE)
    assert load.sub_requests_per_second == 100
    assert load.slot_ms == 20
    assert load.slot_factor == 0.25
    assert load.connections == 10_000
    assert load.connections_per_node == 100
    assert load.nodes_per_connection == 4


def test_late_shares_yield_the_answered_share() -> None:
    load = tail_load(SIZE)
    assert math.isclose((1 - load.late_share) ** 40, 0.99)
    assert math.isclose((1 - load.hedged_late_share**2) ** 40, 0.99)


def test_control_load_and_its_totals() -> None:
    load = control_load(SIZE, COSTS)
    assert math.isclose(load.exchange_cpu_share, 0.001)
    assert load.exchange_bytes_per_second == 400
    updates_per_second = (864 + 3 * 8) / 86_400
    assert math.isclose(load.push_bytes_per_second, 8_000 * updates_per_second)
    assert load.list_fleet_bytes == 50_000
    assert load.list_bytes_per_second == 500
    assert math.isclose(load.list_cpu_share, 0.00001)
    assert math.isclose(load.replicas_cpu_share, 0.02)
    assert math.isclose(load.total_cpu_share, 0.02101)
    assert load.records_kb == 50
    assert load.own_replicas_kb == 10_000
    assert load.all_replicas_kb == 40_000


def test_store_load() -> None:
    load = store_load(SIZE, COSTS)
    assert load.watch_calls_per_second == 2
    assert load.accept_writes_per_second == 0.01
    assert load.bookings_per_second == 150
