"""Rolling stop of the machines of one zone under steady load."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from world import TROUBLE, Ingress, Node, World, now, run_case  # noqa: E402

# What was sent, answered and run.
RECORD = Path(__file__).resolve().parent / "record.txt"
ZONE = "taipei-a"
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
GAP_S = 1.0
RATE_PER_S = 60.0
WORK_S = (0.20, 0.36)
DEADLINE_MS = 6_000


async def main() -> int:
    world = World(RECORD, [ZONE])
    try:
        return await play(world)
    finally:
        world.close()


async def play(world: World) -> int:
    await world.store.start()
    for _ in range(6):
        await world.add_replica(
            service="depot", zone=ZONE, work_s=lambda path: random.uniform(*WORK_S)
        )
    world.put_config(
        [
            {
                "name": "r-depot",
                "host": "pupu76.example",
                "pathPrefix": "/timi402/",
                "routeKind": "non_idempotent",
                "timeoutMs": 6000,
                "targetLatencyMs": 675,
                "priority": 2,
                "service": "depot",
                "maxAttempts": 2,
            }
        ]
    )
    nodes = [Node(world, ZONE) for _ in range(3)]
    world.nodes = nodes
    for node in nodes:
        node.start()
    if not await world.wait_ready(nodes):
        return 2
    ingress = Ingress(nodes, world.record)
    ingress.start()
    await asyncio.sleep(4.0)
    answers = []
    tasks = []

    async def traffic(until: float) -> None:
        while now() < until:
            await asyncio.sleep(random.expovariate(RATE_PER_S))
            task = asyncio.ensure_future(
                world.ask(
                    ingress.pick(),
                    "/timi402/2f",
                    DEADLINE_MS,
                    method="POST",
                    body=b"x=1",
                )
            )
            task.add_done_callback(lambda done: answers.append(done.result()))
            tasks.append(task)

    load = asyncio.ensure_future(traffic(now() + 22.0))
    await asyncio.sleep(8.0)
    stopped = {}
    if TROUBLE:
        stops = []
        await ingress.polled(0.8)
        for node in nodes[:2]:
            stopped[node.name] = now()
            stops.append(asyncio.ensure_future(node.terminate(GRACE_S)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*stops)
    await load
    await asyncio.gather(*tasks)
    broken = 0
    runs = {run["id"]: run for replica in world.replicas for run in replica.runs}
    for answer in answers:
        stopped_at = stopped.get(answer.node.name)
        if answer.status is not None or answer.timed_out or stopped_at is None:
            continue
        if not answer.sent_at or answer.ended_at < stopped_at:
            continue
        if answer.sent_at > stopped_at + GRACE_S + 1.0:
            continue
        run = runs.get(answer.attempt)
        if run is None and answer.ended_at - answer.sent_at <= LOSS_SLACK_S:
            continue
        sent_after = answer.sent_at - stopped_at
        ended_after = answer.ended_at - stopped_at
        excused = sent_after <= 3.0 and run is not None and ended_after > 5.0
        world.record(
            "lost",
            id=answer.attempt,
            node=answer.node.name,
            sent_after_term_s=round(sent_after, 2),
            ended_after_term_s=round(ended_after, 2),
            ran=run is not None,
            excused=excused,
        )
        broken += not excused
    good = sum(answer.status == 200 for answer in answers)
    print(f"requests {len(answers)}, answered 200 {good}, lost {broken}")
    world.record("result", requests=len(answers), good=good, lost=broken)
    return 1 if broken else 0


run_case(main, RECORD)
