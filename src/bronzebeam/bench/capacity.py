"""
The arithmetic of docs/CAPACITY.md: loads of each role from sizes and slopes.

``python -m bronzebeam.bench.capacity`` prints the figures as JSON lines.
"""

from typing import Final

import orjson
from attrs import asdict, frozen

DAY_SECONDS: Final = 86_400


@frozen(kw_only=True)
class Size:
    """
    The size that the fleet is to reach.

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
class Slopes:
    """
    What one unit of work costs.

    :ivar query_ms: processor time of a query apart from its sub-requests.
    :ivar replica_kb: memory of a replica held, its idle connections included.
    :ivar connection_kb: memory of an idle connection of a caller.
    :ivar idle_cpu_share: share of a core that an entry without replicas or peers uses.
    :ivar replica_cpu_share: share of a core that each idle replica held adds.
    :ivar exchange_ms: processor time of a peer exchange, both ends together.
    :ivar exchange_bytes: bytes of a peer exchange, counted once.
    :ivar push_bytes: bytes of a push and its receipt, counted once.
    :ivar listed_bytes: bytes of one line of the instance list.
    :ivar listed_decode_us: processor time to read one line of the instance list.
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


MEASURED: Final = Slopes(
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

    :ivar merger_group: shards that one merger asks in a tree of two levels.
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


def query_load(size: Size, slopes: Slopes, *, groups: int = 20) -> QueryLoad:
    """
    Compute what queries cost, flat and over a tree of two levels.

    :param groups: mergers that one query is divided over.
    """
    queries = size.queries_per_second / size.nodes
    flat_ms = slopes.query_ms + size.shards_per_query * slopes.sub_request_ms
    group = -(-size.shards_per_query // groups)
    # A peer hop costs its sender a sub-request and its receiver a query.
    tree_ms = flat_ms + groups * (slopes.sub_request_ms + slopes.query_ms)
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

    :ivar slot_ms: time that one sub-request may take in its slot at full use.
    :ivar slot_factor: how many times over the slots are asked for.
    """

    sub_requests_per_second: float
    slot_ms: float
    slot_factor: float
    connections: int
    connections_per_node: float
    nodes_per_connection: float
    replicas_per_node: float


def replica_load(size: Size) -> ReplicaLoad:
    """Compute what reaches a replica."""
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
    What the tail of a query asks of its sub-requests.

    :ivar late_share: share of sub-requests that may be late without a hedge.
    :ivar hedged_late_share: the same if each late one is sent once more and the two
        are late independently of each other.
    """

    late_share: float
    hedged_late_share: float


def tail_load(size: Size) -> TailLoad:
    """Compute the share of late sub-requests that the answered share allows."""
    late = 1 - size.answered_share ** (1 / size.shards_per_query)
    return TailLoad(late_share=late, hedged_late_share=late**0.5)


@frozen(kw_only=True)
class ControlLoad:
    """Load of one node's control; bytes count both directions."""

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


def control_load(size: Size, slopes: Slopes) -> ControlLoad:
    """Compute what a node spends on control, one list read a second in the fleet."""
    exchange_cpu = slopes.exchange_ms / 1000 / slopes.exchange_seconds
    # Each node begins one exchange an interval and answers one, so both ends count.
    exchange_bytes = 2 * slopes.exchange_bytes / slopes.exchange_seconds
    # Joining, leaving and gone are one news each, next to the changes accepted.
    news = size.changes_per_day + 3 * (size.restarts_per_day + size.failures_per_day)
    push_bytes = 2 * slopes.pushes_per_change * slopes.push_bytes * news / DAY_SECONDS
    listed = size.nodes + size.replicas
    list_bytes = listed * slopes.listed_bytes
    list_cpu = listed * slopes.listed_decode_us / 1e6 / size.nodes
    replicas = replica_load(size).replicas_per_node
    replicas_cpu = slopes.idle_cpu_share + replicas * slopes.replica_cpu_share
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
        records_kb=size.nodes * slopes.record_kb,
        own_replicas_kb=replicas * slopes.replica_kb,
        all_replicas_kb=size.replicas * slopes.replica_kb,
    )


@frozen(kw_only=True)
class StoreLoad:
    """Load of the platform's store, over the whole fleet."""

    watch_calls_per_second: float
    accept_writes_per_second: float
    bookings_per_second: float


def store_load(size: Size, slopes: Slopes) -> StoreLoad:
    """Compute the calls to the store and the bookings that it carries."""
    # After each wait without news a watcher reads the key once.
    watch = 2 * slopes.watchers / slopes.store_wait_seconds
    return StoreLoad(
        watch_calls_per_second=watch,
        accept_writes_per_second=size.changes_per_day / DAY_SECONDS,
        bookings_per_second=slopes.store_writes_per_second
        / slopes.store_writes_per_booking,
    )


def main() -> None:
    """Print all figures at the aimed size."""
    size = Size()
    parts = {
        "query": asdict(query_load(size, MEASURED)),
        "replica": asdict(replica_load(size)),
        "tail": asdict(tail_load(size)),
        "control": asdict(control_load(size, MEASURED)),
        "store": asdict(store_load(size, MEASURED)),
    }
    for role, part in parts.items():
        for name, value in part.items():
            line = {"role": role, "figure": name, "value": float(f"{value:.4g}")}
            print(orjson.dumps(line).decode())


if __name__ == "__main__":
    main()
