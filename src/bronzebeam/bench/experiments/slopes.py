"""
Measures the processor time and memory of one unit of work, for the capacity model.

Each figure is measured at several sizes; its slope over them is the unit cost.
"""

import os
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Final

import anyio

from bronzebeam.bench.documents import (
    BOOK_PATH,
    FIND_PATH,
    SEARCH_PATH,
    rig_document,
)
from bronzebeam.bench.experiments.slopes_pure import in_process_figures
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.load import Caller, CallerResponse, new_idempotency_key
from bronzebeam.bench.rig import EntryProcess, Rig, RigSpec, running_rig

SHARD_COUNTS: Final = (5, 15, 30)
QUERIES: Final = 100
CALLS: Final = 200
WARM_UP_REQUESTS: Final = 40
ROUNDS: Final = 3
CONCURRENCY: Final = 4
CALLER_CONNECTIONS: Final = 400
DEADLINE_MS: Final = 2_000
SETTLE_SECONDS: Final = 0.5
IDLE_SECONDS: Final = 8.0

SendRequest = Callable[[int], Awaitable[CallerResponse]]


async def run() -> list[Figure]:
    """Measure the pure functions first, then one rig at a time."""
    figures = [*in_process_figures()]
    for shards in SHARD_COUNTS:
        figures.extend(await _measure_rig(shards))
    return figures


async def _measure_rig(shards: int) -> list[Figure]:
    spec = RigSpec(
        document=rig_document(shard_count=shards),
        entry_count=1,
        backend_process_count=4,
        entry_arguments=("--no-hedging",),
    )
    async with running_rig(spec) as rig:
        await anyio.sleep(SETTLE_SECONDS)
        figures = _memory_figures(rig.entries[0], shards, "idle")
        figures.append(await _idle_figure(rig.entries[0], shards))
        figures.append(await _query_figure(rig, shards))
        figures.extend(await _call_figures(rig, shards))
        figures.extend(_memory_figures(rig.entries[0], shards, "used"))
        figures.append(await _connection_figure(rig, shards))
    return figures


async def _idle_figure(entry: EntryProcess, shards: int) -> Figure:
    """Measure the processor share that replicas and the store cost an idle entry."""
    before, started = entry.process.cpu_seconds(), anyio.current_time()
    await anyio.sleep(IDLE_SECONDS)
    spent = entry.process.cpu_seconds() - before
    share = spent / (anyio.current_time() - started)
    return Figure(name=f"idle_cpu_{shards}_shards", value=share, unit="share")


def _memory_figures(entry: EntryProcess, shards: int, when: str) -> list[Figure]:
    suffix = f"{when}_{shards}_shards"
    memory_mb, sockets = entry.process.memory_mb(), _count_sockets(entry)
    return [
        Figure(name=f"entry_memory_{suffix}", value=memory_mb, unit="MB"),
        Figure(name=f"entry_sockets_{suffix}", value=sockets, unit="sockets"),
    ]


async def _connection_figure(rig: Rig, shards: int) -> Figure:
    """Measure the memory of one idle caller connection."""
    entry = rig.entries[0]
    host, _, port = entry.caller_address.partition(":")
    before_mb, sockets = entry.process.memory_mb(), _count_sockets(entry)
    async with AsyncExitStack() as stack:
        for _ in range(CALLER_CONNECTIONS):
            stream = await anyio.connect_tcp(host, int(port))
            await stack.enter_async_context(stream)
        await anyio.sleep(SETTLE_SECONDS)
        grown_mb = entry.process.memory_mb() - before_mb
        opened = _count_sockets(entry) - sockets
    value = grown_mb * 1024 / opened
    return Figure(name=f"connection_memory_{shards}_shards", value=value, unit="KB")


def _count_sockets(entry: EntryProcess) -> int:
    folder = f"/proc/{entry.process.pid}/fd"
    links = (os.readlink(f"{folder}/{name}") for name in os.listdir(folder))
    return sum(link.startswith("socket:") for link in links)


async def _query_figure(rig: Rig, shards: int) -> Figure:
    caller = _caller(rig)

    async def query(number: int) -> CallerResponse:
        return await caller.post(SEARCH_PATH, {"q": number}, deadline_ms=DEADLINE_MS)

    value = await _min_cpu_ms(rig, query, QUERIES)
    return Figure(name=f"query_cpu_{shards}_shards", value=value, unit="ms/query")


async def _call_figures(rig: Rig, shards: int) -> list[Figure]:
    caller = _caller(rig)
    rng = random.Random(1)

    async def call(number: int) -> CallerResponse:
        return await caller.post(FIND_PATH, {"guest": number}, deadline_ms=DEADLINE_MS)

    async def book(number: int) -> CallerResponse:
        key = new_idempotency_key(now_ms=time.time_ns() // 1_000_000, rng=rng)
        body = {"guest": number}
        return await caller.post(BOOK_PATH, body, deadline_ms=DEADLINE_MS, key=key)

    return [
        Figure(
            name=f"call_cpu_{shards}_shards",
            value=await _min_cpu_ms(rig, call, CALLS),
            unit="ms/call",
        ),
        Figure(
            name=f"booking_cpu_{shards}_shards",
            value=await _min_cpu_ms(rig, book, CALLS),
            unit="ms/booking",
        ),
    ]


def _caller(rig: Rig) -> Caller:
    return Caller(addresses=lambda: [rig.entries[0].caller_address])


async def _min_cpu_ms(rig: Rig, request: SendRequest, count: int) -> float:
    """Return the entry's processor time per request, the minimum of `ROUNDS`."""
    await _send_all(request, WARM_UP_REQUESTS)
    return min([await _measure_round_ms(rig, request, count) for _ in range(ROUNDS)])


async def _measure_round_ms(rig: Rig, request: SendRequest, count: int) -> float:
    process = rig.entries[0].process
    before = process.cpu_seconds()
    answers = await _send_all(request, count)
    elapsed_ms = (process.cpu_seconds() - before) * 1000
    complete = sum(answer.is_complete for answer in answers)
    if complete < count:
        raise RuntimeError(f"only {complete} of {count} requests got a complete answer")
    return elapsed_ms / count


async def _send_all(request: SendRequest, count: int) -> list[CallerResponse]:
    limiter = anyio.CapacityLimiter(CONCURRENCY)
    answers: list[CallerResponse] = []

    async def send_one(number: int) -> None:
        async with limiter:
            answers.append(await request(number))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send_one, number)
    return answers
