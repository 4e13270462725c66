"""Backend servers that leave, and replicas that are killed."""

from typing import Any, Final

import anyio

from bronzebeam.bench.documents import SEARCH_SERVICE, rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.load import CallerResponse
from bronzebeam.bench.rig import Rig, RigSpec, running_rig
from bronzebeam.bench.searches import run_searches

SHARDS: Final = 6
RATE_PER_SECOND: Final = 60.0
SECONDS: Final = 6.0
EVENT_AT_SECONDS: Final = 1.5
DEADLINE_MS: Final = 1_000
LEAVING_BOUND_SECONDS: Final = 3.0
SETTLED_AFTER_SECONDS: Final = 1.0
KILLED_SHARDS: Final = 3


def _spec() -> RigSpec:
    return RigSpec(
        document=rig_document(shard_count=SHARDS),
        entry_count=2,
        backend_process_count=2,
        backend_arguments=("--service-ms", "5"),
    )


async def run_leaving() -> list[Figure]:
    """
    Measure when a backend server that is leaving gets its last new sub-request.

    The signal is the instance list's word alone: the backend server itself goes on
    taking work and denies that it leaves, as the misleading kind does.
    """
    name = f"{SEARCH_SERVICE}-00-r0"
    async with running_rig(_spec()) as rig:
        marks: dict[str, float] = {}

        async def leave() -> None:
            listed = (await rig.client.get(f"{rig.instances_url}/instances")).json()
            item = next(i for i in listed["instances"] if i["instance"] == name)
            url = f"{rig.instances_url}/instances/{name}"
            marks["at"] = anyio.current_time()
            await rig.client.put(url, json={**item, "state": "leaving"})

        await _load(rig, leave)
        reports = await rig.fetch_backend_reports()
    starts = [row["at_seconds"] for row in reports[name]["runs"]]
    last = max((start - marks["at"] for start in starts), default=0.0)
    return [
        Figure(
            name="leaving_last_work_seconds",
            value=max(0.0, last),
            unit="s",
            bound=LEAVING_BOUND_SECONDS,
        )
    ]


async def run_killed() -> list[Figure]:
    """Count searches not complete after one replica of each of 3 shards is killed."""
    async with running_rig(_spec()) as rig:
        marks: dict[str, float] = {}

        async def kill() -> None:
            marks["at"] = anyio.current_time()
            for shard in range(KILLED_SHARDS):
                await rig.set_faults(f"{SEARCH_SERVICE}-{shard:02d}-r1", crash=True)

        answers = await _load(rig, kill)
    settled_at = marks["at"] + SETTLED_AFTER_SECONDS
    before = [item for item in answers if item.started_seconds < settled_at]
    after = [item for item in answers if item.started_seconds >= settled_at]
    return [
        Figure(
            name="killed_replica_errors_first_second",
            value=sum(not item.is_complete for item in before),
            unit="searches",
        ),
        Figure(
            name="killed_replica_errors",
            value=sum(not item.is_complete for item in after),
            unit="searches",
            bound=0,
        ),
        Figure(name="killed_replica_searches", value=len(after), unit="searches"),
    ]


async def _load(rig: Rig, event: Any) -> list[CallerResponse]:
    async def later() -> None:
        await anyio.sleep(EVENT_AT_SECONDS)
        await event()

    await anyio.sleep(0.5)
    async with anyio.create_task_group() as group:
        group.start_soon(later)
        answers = await run_searches(
            rig,
            rate_per_second=RATE_PER_SECOND,
            seconds=SECONDS,
            deadline_ms=DEADLINE_MS,
        )
    return answers
