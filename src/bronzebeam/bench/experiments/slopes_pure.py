"""Cost of functions that are measured in this process, for the capacity model."""

import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any, Final

import orjson

from bronzebeam.bench.documents import rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.routing.membership_state import (
    MemberRecord,
    MemberState,
    digest_records,
)
from bronzebeam.routing.rendezvous import rank_members
from bronzebeam.routing.snapshots import ReplicaHolding, pick_snapshot
from bronzebeam.transport.instance_list import (
    InstanceRole,
    InstanceState,
    ListedInstance,
)

REPEATS: Final = 5
MEMBER_COUNTS: Final = (100, 900)
REPLICA_COUNTS: Final = (100, 4_800)
LISTED_COUNTS: Final = (100, 5_700)
SERVICE_COUNTS: Final = (2, 20)
REPLICAS_PER_SHARD: Final = 12


def in_process_figures() -> list[Figure]:
    """Measure all figures that need no rig."""
    figures = []
    for count in MEMBER_COUNTS:
        figures.extend(_member_figures(count))
    for count in REPLICA_COUNTS:
        figures.append(_snapshot_figure(count))
    for count in LISTED_COUNTS:
        figures.extend(_list_figures(count))
    for count in SERVICE_COUNTS:
        figures.append(_document_figure(count))
    return figures


def _min_cpu_ms(action: Callable[[], object]) -> float:
    """Return the minimum processor time of `REPEATS` runs."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times) * 1000


def _retained_kb(build: Callable[[], object]) -> float:
    """Return the size of the memory that the return value of `build` retains."""
    tracemalloc.start()
    try:
        value = build()
        size_bytes = tracemalloc.get_traced_memory()[0]
        del value
    finally:
        tracemalloc.stop()
    return size_bytes / 1024


def _record(number: int) -> MemberRecord:
    return MemberRecord(
        instance=f"entry-{number:04d}",
        incarnation=1_790_000_000_000 + number,
        state=MemberState.LIVE,
        address=f"10.0.{number // 250}.{number % 250}:8080",
        peer_address=f"10.0.{number // 250}.{number % 250}:8081",
        failure_domain="abcd"[number % 4],
    )


def _member_figures(count: int) -> list[Figure]:
    def build() -> dict[str, MemberRecord]:
        return {item.instance: item for item in map(_record, range(count))}

    records = build()
    digest = partial(digest_records, records)
    return [
        Figure(name=f"records_{count}", value=_retained_kb(build), unit="KB"),
        Figure(
            name=f"rank_{count}",
            value=_min_cpu_ms(lambda: rank_members("watch", records)),
            unit="ms",
        ),
        Figure(name=f"digest_{count}", value=_min_cpu_ms(digest), unit="ms"),
    ]


def _snapshot_figure(replicas: int) -> Figure:
    shards = max(1, replicas // REPLICAS_PER_SHARD)
    holdings = [
        ReplicaHolding(
            replica=f"r{number}",
            index_version=1,
            shard=number % shards,
            shard_count=shards,
        )
        for number in range(replicas)
    ]
    usable = frozenset(item.replica for item in holdings)
    elapsed_ms = _min_cpu_ms(lambda: pick_snapshot(holdings, usable))
    return Figure(name=f"pick_snapshot_{replicas}", value=elapsed_ms, unit="ms")


def _list_figures(count: int) -> list[Figure]:
    items = [
        {
            "instance": f"guest-search-{number:04d}-r{number % 12}",
            "role": "backend",
            "service": "guest-search",
            "address": f"10.1.{number // 250}.{number % 250}:8080",
            "peer_address": None,
            "failure_domain": "abcd"[number % 4],
            "state": "live",
        }
        for number in range(count)
    ]
    body = orjson.dumps({"instances": items})
    return [
        Figure(name=f"list_bytes_{count}", value=len(body), unit="B"),
        Figure(
            name=f"list_decode_{count}",
            value=_min_cpu_ms(partial(_decode_list, body)),
            unit="ms",
        ),
        Figure(
            name=f"list_memory_{count}",
            value=_retained_kb(partial(_decode_list, body)),
            unit="KB",
        ),
    ]


def _decode_list(body: bytes) -> tuple[ListedInstance, ...]:
    return tuple(map(_decode_instance, orjson.loads(body)["instances"]))


def _decode_instance(item: dict[str, Any]) -> ListedInstance:
    return ListedInstance(
        instance=item["instance"],
        role=InstanceRole(item["role"]),
        service=item["service"],
        address=item["address"],
        peer_address=item["peer_address"],
        failure_domain=item["failure_domain"],
        state=InstanceState(item["state"]),
    )


def _document_figure(count: int) -> Figure:
    document = rig_document(shard_count=30)
    services = (document["services"] * count)[:count]
    size_bytes = len(orjson.dumps({**document, "services": services}))
    return Figure(name=f"document_bytes_{count}", value=size_bytes, unit="B")
