"""A machine restarts just after a replica's entry was removed; reads may be stale."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from world import TROUBLE, Node, World, now, run_case  # noqa: E402

# What was sent, answered and run.
RECORD = Path(__file__).resolve().parent / "record.txt"
ZONES = ["taipei-a", "taoyuan-b"]
DRAIN_S = 3.0
STABILITY_S = 4.0
LAGS_S = (0.1, 3.0)  # of the store's copies, for the first page and for later ones
SERVES_ON_S = 20.0
RATE_PER_S = 20.0


async def main() -> int:
    world = World(RECORD, ZONES)
    try:
        return await play(world)
    finally:
        world.close()


async def play(world: World) -> int:
    world.store.stale_lag_s = lambda query: LAGS_S[bool(query.get("after"))]
    await world.store.start()
    shards = [f"shard{number:02d}" for number in range(20)]
    for service in shards:
        for zone in ZONES:
            await world.add_replica(service=service, zone=zone, slots=2, records=25)
    for zone in (*ZONES, ZONES[0]):
        await world.add_replica(
            service="depot-desk",
            zone=zone,
            connections=44,
            work_s=lambda path: random.uniform(0.06, 0.12),
        )
    for number in range(12):  # of the next set of shards
        await world.add_replica(service=f"later{number:02d}", zone=ZONES[0], slots=2)
    depot = [item for item in world.replicas if item.service == "depot-desk"]
    leaving = depot[0]
    # The entry lies on the second page of 50.
    leaving.name = "i-fff0a7c1"
    common = {"host": "pupu76.example", "routeKind": "idempotent", "maxAttempts": 2}
    world.put_config(
        [
            {
                **common,
                "name": "r-depot",
                "pathPrefix": "/timi402/",
                "timeoutMs": 2500,
                "targetLatencyMs": 346,
                "priority": 2,
                "service": "depot-desk",
            },
            {
                **common,
                "name": "r-sweep",
                "pathPrefix": "/ziti980/",
                "timeoutMs": 800,
                "targetLatencyMs": 92,
                "priority": 1,
                "fanoutServices": shards,
                "topK": 20,
                "minShardFraction": 0.89,
            },
        ]
    )
    world.nodes = [Node(world, zone) for zone in ZONES]
    for node in world.nodes:
        node.start()
    if not await world.wait_ready(world.nodes):
        return 2
    node = world.nodes[0]
    tasks, answers = [], []

    async def traffic(until: float) -> None:
        while now() < until:
            await asyncio.sleep(random.expovariate(RATE_PER_S))
            tasks.append(asyncio.ensure_future(world.ask(node, "/timi402/2f", 2_500)))

    load = asyncio.ensure_future(traffic(now() + 30.0))
    await asyncio.sleep(9.0)
    leaving.registers = False
    world.store.remove(f"servers/{leaving.name}")
    removed = now()
    world.record("entry_removed", replica=leaving.name)
    await asyncio.sleep(0.5)
    touched = 0.0
    if TROUBLE:
        node.kill(signal.SIGKILL)
        node.process.wait()
        await asyncio.sleep(0.3)
        node.start()
        touched = now() + STABILITY_S
    await asyncio.sleep(max(0.0, removed + SERVES_ON_S - now()))
    await leaving.stop()
    world.record("replica_ended", replica=leaving.name)
    await load
    answers = await asyncio.gather(*tasks)
    sent_at = {item.attempt: item.sent_at for item in answers}
    due = max(removed + DRAIN_S, touched)
    late = [
        (at, attempt)
        for at, attempt in leaving.received
        if at > due and sent_at.get(attempt, 0.0) > due
    ]
    for at, attempt in late:
        world.record(
            "reached_removed_replica", id=attempt, after_s=round(at - removed, 2)
        )
    print(
        f"requests {len(answers)}, at the removed replica after the bound {len(late)}"
    )
    world.record("result", requests=len(answers), late=len(late))
    return 1 if late else 0


run_case(main, RECORD)
