"""Processor time of a fan-out, compared with a plain HTTP client with a pool."""

import time
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import httpx

from bronzebeam.bench.documents import SEARCH_PATH, SEARCH_SERVICE, rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.load import Caller
from bronzebeam.bench.rig import Rig, RigSpec, running_rig
from bronzebeam.transport.backend_protocol import encode_search

SHARDS: Final = 30
QUERIES: Final = 120
POOLED_QUERIES: Final = 20
CONCURRENCY: Final = 4
WARM_UP_QUERIES: Final = 10
DEADLINE_MS: Final = 2_000
MAX_CPU_RATIO: Final = 0.25


async def run() -> list[Figure]:
    """Measure the processor time per sub-request of a 30-way fan-out."""
    spec = RigSpec(
        document=rig_document(shard_count=SHARDS),
        entry_count=1,
        backend_process_count=4,
        backend_arguments=("--service-ms", "2"),
        entry_arguments=("--no-hedging",),
    )
    async with running_rig(spec) as rig:
        await anyio.sleep(0.5)
        entry_ms = await _measure_entry_ms(rig)
        pooled_ms = await _measure_pooled_client_ms(rig)
    return [
        Figure(name="fanout_cpu_entry", value=entry_ms, unit="ms/sub-request"),
        Figure(name="fanout_cpu_pooled_client", value=pooled_ms, unit="ms/sub-request"),
        Figure(
            name="fanout_cpu_ratio",
            value=entry_ms / pooled_ms,
            unit="ratio",
            bound=MAX_CPU_RATIO,
        ),
    ]


async def _measure_entry_ms(rig: Rig) -> float:
    entry = rig.entries[0]
    caller = Caller(addresses=lambda: [entry.caller_address])
    for _ in range(WARM_UP_QUERIES):
        await caller.post(SEARCH_PATH, {"q": "warm"}, deadline_ms=DEADLINE_MS)
    sub_request_count = 0

    async def send_query(number: int) -> None:
        nonlocal sub_request_count
        answer = await caller.post(SEARCH_PATH, {"q": number}, deadline_ms=DEADLINE_MS)
        sub_request_count += len(answer.body["coverage"]["included"])

    before = entry.process.cpu_seconds()
    await _run_concurrently(QUERIES, send_query)
    return (entry.process.cpu_seconds() - before) * 1000 / sub_request_count


async def _run_concurrently(
    count: int, send_query: Callable[[int], Awaitable[None]]
) -> None:
    """Call `send_query` for each number below `count`, `CONCURRENCY` at a time."""
    limiter = anyio.CapacityLimiter(CONCURRENCY)

    async def run_one(number: int) -> None:
        async with limiter:
            await send_query(number)

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(run_one, number)


async def _measure_pooled_client_ms(rig: Rig) -> float:
    addresses = await _first_replica_addresses(rig)
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
    async with httpx.AsyncClient(limits=limits, trust_env=False) as client:

        async def send_query(number: int) -> None:
            await _send_pooled_query(client, addresses, number)

        await _run_concurrently(CONCURRENCY, send_query)
        before = time.process_time()
        await _run_concurrently(POOLED_QUERIES, send_query)
        elapsed = time.process_time() - before
    return elapsed * 1000 / (POOLED_QUERIES * len(addresses))


async def _send_pooled_query(
    client: httpx.AsyncClient, addresses: list[str], number: int
) -> None:
    async with anyio.create_task_group() as group:
        for shard, address in enumerate(addresses):
            group.start_soon(_send_pooled_request, client, address, shard, number)


async def _send_pooled_request(
    client: httpx.AsyncClient, address: str, shard: int, number: int
) -> None:
    request_id = f"{number}-{shard}"
    body = encode_search(
        request_id=request_id, index_version=1, shard=shard, query={"q": number}
    )
    response = await client.post(
        f"http://{address}/search",
        content=body,
        headers={"x-request-id": request_id, "x-deadline-ms": str(DEADLINE_MS)},
    )
    assert response.json()["request_id"] == request_id


async def _first_replica_addresses(rig: Rig) -> list[str]:
    listed = (await rig.client.get(f"{rig.instances_url}/instances")).json()
    by_name = {item["instance"]: item["address"] for item in listed["instances"]}
    return [by_name[f"{SEARCH_SERVICE}-{shard:02d}-r0"] for shard in range(SHARDS)]
