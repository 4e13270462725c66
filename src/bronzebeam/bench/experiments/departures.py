"""Effect of backend servers that leave and of replicas that are killed."""

from typing import Any, Final

import anyio

from bronzebeam.bench.documents import SEARCH_SERVICE, rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.load import CallerResponse
from bronzebeam.bench.rig import Rig, RigSpec, running_rig
from bronzebeam.bench.searches import run_searches

SHARDS: Final = 6
RATE_PER_SECOND: Final = 60.0
LOAD_SECONDS: Final = 6.0
EVENT_DELAY_SECONDS: Final = 1.5
DEADLINE_MS: Final = 1_000
MAX_LEAVING_SECONDS: Final = 3.0
RECOVERY_SECONDS: Final = 1.0
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
    Measure how long a leaving backend server still receives new sub-requests.

    Only the instance list says that it is leaving: the backend server itself still
    accepts requests and does not report that it is draining. Some backend servers
    behave like this.
    """
    name = f"{SEARCH_SERVICE}-00-r0"
    async with running_rig(_spec()) as rig:
        event_times: dict[str, float] = {}

        async def leave() -> None:
            listed = (await rig.client.get(f"{rig.instances_url}/instances")).json()
            item = next(i for i in listed["instances"] if i["instance"] == name)
            url = f"{rig.instances_url}/instances/{name}"
            event_times["at"] = anyio.current_time()
            await rig.client.put(url, json={**item, "state": "leaving"})

        await _run_load_with_event(rig, leave)
        reports = await rig.fetch_backend_reports()
    starts = [row["at_seconds"] for row in reports[name]["runs"]]
    last = max((start - event_times["at"] for start in starts), default=0.0)
    return [
        Figure(
            name="leaving_last_work_seconds",
            value=max(0.0, last),
            unit="s",
            bound=MAX_LEAVING_SECONDS,
        )
    ]


async def run_killed() -> list[Figure]:
    """Count incomplete searches after one replica of each of 3 shards is killed."""
    async with running_rig(_spec()) as rig:
        event_times: dict[str, float] = {}

        async def kill() -> None:
            event_times["at"] = anyio.current_time()
            for shard in range(KILLED_SHARDS):
                await rig.set_faults(f"{SEARCH_SERVICE}-{shard:02d}-r1", crash=True)

        answers = await _run_load_with_event(rig, kill)
    recovered_at = event_times["at"] + RECOVERY_SECONDS
    before = [item for item in answers if item.started_seconds < recovered_at]
    after = [item for item in answers if item.started_seconds >= recovered_at]
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


async def _run_load_with_event(rig: Rig, event: Any) -> list[CallerResponse]:
    async def trigger_event() -> None:
        await anyio.sleep(EVENT_DELAY_SECONDS)
        await event()

    await anyio.sleep(0.5)
    async with anyio.create_task_group() as group:
        group.start_soon(trigger_event)
        answers = await run_searches(
            rig,
            rate_per_second=RATE_PER_SECOND,
            seconds=LOAD_SECONDS,
            deadline_ms=DEADLINE_MS,
        )
    return answers
