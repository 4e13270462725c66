"""
The capacity model behind docs/CAPACITY.md.

Computes the load of each role from the size of the fleet and the cost of one unit of
work. ``python -m bronzebeam.bench.capacity`` prints the results as JSON lines.
"""

from typing import Final

import orjson
from attrs import asdict, frozen

DAY_SECONDS: Final = 86_400


@frozen(kw_only=True)
class FleetSize:
    """
    Size and traffic of the fleet that the model is computed for.

    :ivar deadline_ms: deadline of a query.
    :ivar answered_share: share of queries whose sub-requests must all be on time.
    :ivar domains: number of failure domains.
    :ivar slots: sub-requests that a replica runs at the same time.
    :ivar service_ms: time that a backend server takes for one sub-request.
    """

    nodes: int = 900
    replicas: int = 4_800
    queries_per_second: float = 200_000
    shards_per_query: int = 400
    deadline_ms: float = 120
    answered_share: float = 0.99
    regions: int = 2
    domains: int = 4
    slots: int = 2
    connections_per_replica: int = 25
    service_ms: float = 5
    changes_per_day: float = 940
    restarts_per_day: float = 430
    failures_per_day: float = 11
    control_cpu_share: float = 0.016
    control_bytes_per_second: float = 3_000
    control_memory_mb: float = 32


@frozen(kw_only=True)
class UnitCosts:
    """
    Cost of one unit of work in processor time, memory or network traffic.

    :ivar query_ms: processor time of a query, excluding its sub-requests.
    :ivar replica_kb: memory of one replica's state in an entry, including its idle
        connections.
    :ivar connection_kb: memory of an idle caller connection.
    :ivar record_kb: memory of one membership record.
    :ivar idle_cpu_share: share of a core used by an entry without replicas or peers.
    :ivar replica_cpu_share: additional share of a core for each idle replica that an
        entry tracks.
    :ivar exchange_ms: processor time of a peer exchange, sum of both ends.
    :ivar exchange_bytes: bytes of a peer exchange, counted at one end only.
    :ivar push_bytes: bytes of a push and its reply, counted at one end only.
    :ivar listed_bytes: bytes of one entry of the instance list.
    :ivar listed_decode_us: processor time to decode one entry of the instance list.
    :ivar exchange_seconds: interval between the peer exchanges that a node starts.
    :ivar pushes_per_change: pushes that each node sends for one change.
    :ivar store_wait_seconds: time after which a watch call without a change returns.
    :ivar watchers: nodes that watch the store on behalf of the fleet.
    """

    query_ms: float
    sub_request_ms: float
    call_ms: float
    booking_ms: float
    replica_kb: float
    connection_kb: float
    record_kb: float
    idle_cpu_share: float
    replica_cpu_share: float
    exchange_ms: float
    exchange_bytes: float
    push_bytes: float
    listed_bytes: float
    listed_decode_us: float
    exchange_seconds: float = 3.0
    pushes_per_change: float = 4.0
    store_wait_seconds: float = 3.0
    watchers: int = 3
    store_writes_per_booking: float = 2.0
    store_writes_per_second: float = 300


MEASURED_COSTS: Final = UnitCosts(
    query_ms=0.5,
    sub_request_ms=0.3,
    call_ms=1.1,
    booking_ms=3.4,
    replica_kb=85,
    connection_kb=80,
    record_kb=0.33,
    idle_cpu_share=0.0080,
    replica_cpu_share=0.000051,
    exchange_ms=3.74,
    exchange_bytes=807,
    push_bytes=977,
    listed_bytes=162.3,
    listed_decode_us=1.71,
)


@frozen(kw_only=True)
class QueryLoad:
    """
    Load of the query path.

    Fields named ``flat_`` are for a node that sends all sub-requests itself, fields
    named ``tree_`` for a two-level tree, in which mergers query a group of shards each.

    :ivar merger_group: shards that one merger queries.
    """

    queries_per_node_second: float
    sub_requests_per_node_second: float
    flat_query_ms: float
    flat_cores_per_node: float
    flat_queries_per_core_second: float
    tree_query_ms: float
    tree_cores_per_node: float
    merger_group: int
    peer_hops_per_node_second: float


def query_load(size: FleetSize, costs: UnitCosts, *, groups: int = 20) -> QueryLoad:
    """
    Compute the cost of queries for flat fan-out and for a two-level tree.

    :param groups: number of mergers that the shards of one query are divided among.
    """
    queries = size.queries_per_second / size.nodes
    flat_ms = costs.query_ms + size.shards_per_query * costs.sub_request_ms
    group = -(-size.shards_per_query // groups)
    # A request to a merger costs as much as a sub-request at its sender and as much
    # as a query at its receiver.
    tree_ms = flat_ms + groups * (costs.sub_request_ms + costs.query_ms)
    return QueryLoad(
        queries_per_node_second=queries,
        sub_requests_per_node_second=queries * size.shards_per_query,
        flat_query_ms=flat_ms,
        flat_cores_per_node=queries * flat_ms / 1000,
        flat_queries_per_core_second=1000 / flat_ms,
        tree_query_ms=tree_ms,
        tree_cores_per_node=queries * tree_ms / 1000,
        merger_group=group,
        peer_hops_per_node_second=queries * groups,
    )


@frozen(kw_only=True)
class ReplicaLoad:
    """
    Load of one replica.

    :ivar slot_ms: service time of a sub-request at which all slots are busy.
    :ivar slot_factor: utilization of the slots; above 1, the replica is overloaded.
    """

    sub_requests_per_second: float
    slot_ms: float
    slot_factor: float
    connections: int
    connections_per_node: float
    nodes_per_connection: float
    replicas_per_node: float


def replica_load(size: FleetSize) -> ReplicaLoad:
    """Compute the sub-requests and connections of one replica."""
    rate = size.queries_per_second * size.shards_per_query / size.replicas
    slot_ms = size.slots * 1000 / rate
    connections = size.replicas * size.connections_per_replica
    return ReplicaLoad(
        sub_requests_per_second=rate,
        slot_ms=slot_ms,
        slot_factor=size.service_ms / slot_ms,
        connections=connections,
        connections_per_node=connections / size.nodes,
        nodes_per_connection=size.nodes / size.connections_per_replica,
        replicas_per_node=connections / size.nodes,
    )


@frozen(kw_only=True)
class TailLoad:
    """
    Share of sub-requests that may be late if queries are to meet their deadline.

    :ivar late_share: maximum share of late sub-requests without hedging.
    :ivar hedged_late_share: the same if each late sub-request is hedged once and the
        two attempts are late independently of each other.
    """

    late_share: float
    hedged_late_share: float


def tail_load(size: FleetSize) -> TailLoad:
    """Compute the maximum share of late sub-requests for `FleetSize.answered_share`."""
    late = 1 - size.answered_share ** (1 / size.shards_per_query)
    return TailLoad(late_share=late, hedged_late_share=late**0.5)


@frozen(kw_only=True)
class ControlLoad:
    """
    Load of the control plane on one node; bytes count both directions.

    :ivar own_replicas_kb: memory of the replicas that one node is connected to.
    :ivar all_replicas_kb: the same if a node were connected to every replica.
    """

    exchange_cpu_share: float
    exchange_bytes_per_second: float
    push_bytes_per_second: float
    list_fleet_bytes: float
    list_bytes_per_second: float
    list_cpu_share: float
    replicas_cpu_share: float
    total_cpu_share: float
    total_bytes_per_second: float
    records_kb: float
    own_replicas_kb: float
    all_replicas_kb: float


def control_load(size: FleetSize, costs: UnitCosts) -> ControlLoad:
    """
    Compute the control load of a node.

    Assumes that the fleet as a whole reads the instance list once a second.
    """
    exchange_cpu = costs.exchange_ms / 1000 / costs.exchange_seconds
    # In each interval a node starts one exchange and answers one on average.
    exchange_bytes = 2 * costs.exchange_bytes / costs.exchange_seconds
    # Besides the accepted changes, each restart or failure causes three updates: the
    # member joins, is leaving and is gone.
    updates_per_day = size.changes_per_day + 3 * (
        size.restarts_per_day + size.failures_per_day
    )
    push_bytes = (
        2 * costs.pushes_per_change * costs.push_bytes * updates_per_day / DAY_SECONDS
    )
    listed = size.nodes + size.replicas
    list_bytes = listed * costs.listed_bytes
    list_cpu = listed * costs.listed_decode_us / 1e6 / size.nodes
    replicas = replica_load(size).replicas_per_node
    replicas_cpu = costs.idle_cpu_share + replicas * costs.replica_cpu_share
    return ControlLoad(
        exchange_cpu_share=exchange_cpu,
        exchange_bytes_per_second=exchange_bytes,
        push_bytes_per_second=push_bytes,
        list_fleet_bytes=list_bytes,
        list_bytes_per_second=list_bytes / size.nodes,
        list_cpu_share=list_cpu,
        replicas_cpu_share=replicas_cpu,
        total_cpu_share=exchange_cpu + list_cpu + replicas_cpu,
        total_bytes_per_second=exchange_bytes + push_bytes + list_bytes / size.nodes,
        records_kb=size.nodes * costs.record_kb,
        own_replicas_kb=replicas * costs.replica_kb,
        all_replicas_kb=size.replicas * costs.replica_kb,
    )


@frozen(kw_only=True)
class StoreLoad:
    """Load of the platform's store, summed over the fleet."""

    watch_calls_per_second: float
    accept_writes_per_second: float
    bookings_per_second: float


def store_load(size: FleetSize, costs: UnitCosts) -> StoreLoad:
    """Compute the rate of store calls and the booking rate that the store supports."""
    # After each watch call that returns without a change, a watcher reads the key.
    watch = 2 * costs.watchers / costs.store_wait_seconds
    return StoreLoad(
        watch_calls_per_second=watch,
        accept_writes_per_second=size.changes_per_day / DAY_SECONDS,
        bookings_per_second=costs.store_writes_per_second
        / costs.store_writes_per_booking,
    )


def main() -> None:
    """Print all figures for the default `FleetSize`."""
    size = FleetSize()
    parts = {
        "query": asdict(query_load(size, MEASURED_COSTS)),
        "replica": asdict(replica_load(size)),
        "tail": asdict(tail_load(size)),
        "control": asdict(control_load(size, MEASURED_COSTS)),
        "store": asdict(store_load(size, MEASURED_COSTS)),
    }
    for role, part in parts.items():
        for name, value in part.items():
            line = {"role": role, "figure": name, "value": float(f"{value:.4g}")}
            print(orjson.dumps(line).decode())


if __name__ == "__main__":
    main()
