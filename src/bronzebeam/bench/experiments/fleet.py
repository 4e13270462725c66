"""Time to activate a document on eight entries, and the control load of an idle one."""

from typing import Final

import anyio
from attrs import frozen

from bronzebeam.bench.documents import rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.rig import EntryProcess, Rig, RigSpec, running_rig
from bronzebeam.bench.seeding import accept_document
from bronzebeam.documents.loading import document_from_json

ENTRIES: Final = 8
SHARDS: Final = 4
DOCUMENT_CHANGES: Final = 3
SETTLE_SECONDS: Final = 3.0
IDLE_SECONDS: Final = 6.0
MAX_ACTIVATION_SECONDS: Final = 2.0
MAX_CPU_SHARE: Final = 0.016
MAX_BYTES_PER_SECOND: Final = 3_000
MAX_MEMORY_MB: Final = 32
CONTROL_BYTES_PREFIX: Final = "bronzebeam_control_bytes{"


async def run() -> list[Figure]:
    """Measure with eight entries that receive no requests from callers."""
    document = rig_document(shard_count=SHARDS, entry_count=ENTRIES)
    spec = RigSpec(document=document, entry_count=ENTRIES, backend_process_count=1)
    async with running_rig(spec) as rig:
        await anyio.sleep(SETTLE_SECONDS)
        idle = await _measure_idle_entries(rig)
        max_activation_seconds = 0.0
        for number in range(DOCUMENT_CHANGES):
            max_activation_seconds = max(
                max_activation_seconds, await _measure_activation(rig, number)
            )
    return [
        Figure(
            name="document_in_force_seconds",
            value=max_activation_seconds,
            unit="s",
            bound=MAX_ACTIVATION_SECONDS,
        ),
        *idle,
    ]


async def _measure_activation(rig: Rig, number: int) -> float:
    """Accept a changed document; return the seconds until it is active everywhere."""
    limit = {"rate_per_second": 1000 + number, "burst": 1000}
    changed = document_from_json({**rig.spec.document, "caller_limit": limit})
    revision = await accept_document(store_url=rig.store_url, document=changed)
    accepted_at = anyio.current_time()
    async with anyio.create_task_group() as group:
        for entry in rig.entries:
            group.start_soon(rig.wait_for_revision, entry, revision)
    return anyio.current_time() - accepted_at


async def _measure_idle_entries(rig: Rig) -> list[Figure]:
    before = [await _read_usage(rig, entry) for entry in rig.entries]
    started = anyio.current_time()
    await anyio.sleep(IDLE_SECONDS)
    elapsed = anyio.current_time() - started
    after = [await _read_usage(rig, entry) for entry in rig.entries]
    cpu = max(b.cpu_seconds - a.cpu_seconds for a, b in zip(before, after)) / elapsed
    traffic = max(b.traffic_bytes - a.traffic_bytes for a, b in zip(before, after))
    return [
        Figure(name="control_cpu_share", value=cpu, unit="share", bound=MAX_CPU_SHARE),
        Figure(
            name="control_bytes_per_second",
            value=traffic / elapsed,
            unit="B/s",
            bound=MAX_BYTES_PER_SECOND,
        ),
        Figure(
            name="control_memory_mb",
            value=max(map(_memory_mb, rig.entries))
            - rig.platform_processes[1].memory_mb(),
            unit="MB",
            bound=MAX_MEMORY_MB,
        ),
    ]


def _memory_mb(entry: EntryProcess) -> float:
    return entry.process.memory_mb()


@frozen(kw_only=True)
class _ResourceUsage:
    cpu_seconds: float
    traffic_bytes: float


async def _read_usage(rig: Rig, entry: EntryProcess) -> _ResourceUsage:
    """Return the processor time of an entry and the traffic that its metrics count."""
    reply = await rig.client.get(f"http://{entry.peer_address}/metrics")
    lines = [
        line
        for line in reply.text.splitlines()
        if line.startswith(CONTROL_BYTES_PREFIX)
    ]
    return _ResourceUsage(
        cpu_seconds=entry.process.cpu_seconds(),
        traffic_bytes=sum(float(line.rpartition(" ")[2]) for line in lines),
    )
