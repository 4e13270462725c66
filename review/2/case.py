"""An entry of another writer among the replicas' entries, then a new configuration."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from world import TROUBLE, Node, World, now, run_case  # noqa: E402

# What was sent, answered and run.
RECORD = Path(__file__).resolve().parent / "record.txt"
ZONE = "taipei-a"
CONFIG_APPLY_S = 3.0


def route(service: str) -> dict:
    return {
        "name": "r-depot",
        "host": "pupu76.example",
        "pathPrefix": "/timi402/",
        "routeKind": "idempotent",
        "timeoutMs": 2500,
        "targetLatencyMs": 346,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    }


async def main() -> int:
    world = World(RECORD, [ZONE])
    try:
        return await play(world)
    finally:
        world.close()


async def play(world: World) -> int:
    await world.store.start()
    for service in ("depot-desk", "carer-notify"):
        for _ in range(3):
            await world.add_replica(service=service, zone=ZONE)
    world.put_config([route("depot-desk")])
    world.nodes = [Node(world, ZONE) for _ in range(2)]
    for node in world.nodes:
        node.start()
    if not await world.wait_ready(world.nodes):
        return 2
    await asyncio.sleep(5.0)
    if TROUBLE:
        world.store.put(
            "servers/i-5c1f00d2",
            {
                "service": "depot-desk",
                "address": "127.0.0.1:808\u00b2",
                "zone": ZONE,
                "version": "v1",
                "slots": 2,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
            },
        )
        world.record("entry_of_another_writer", key="servers/i-5c1f00d2")
    await asyncio.sleep(2.0)
    # The route moves to the other service.
    world.put_config([route("carer-notify")])
    acknowledged = now()
    answers = []
    while now() < acknowledged + 12.0:
        answers.append(
            await world.ask(random.choice(world.nodes), "/timi402/2f", 2_500)
        )
        await asyncio.sleep(0.1)
    if os.environ.get("RESTART"):
        node = world.nodes[0]
        node.kill()
        node.process.wait()
        node.start()
        ready = await world.wait_ready([node], limit_s=15.0)
        world.record("restarted", node=node.name, ready=ready)
        print(f"a restarted machine became ready: {ready}")
    service_of = {
        run["id"]: replica.service for replica in world.replicas for run in replica.runs
    }
    late = [item for item in answers if item.sent_at > acknowledged + CONFIG_APPLY_S]
    old = [item for item in late if service_of.get(item.attempt) == "depot-desk"]
    for item in old:
        world.record(
            "run_by_old_service",
            id=item.attempt,
            node=item.node.name,
            after_ack_s=round(item.sent_at - acknowledged, 2),
        )
    new = sum(service_of.get(item.attempt) == "carer-notify" for item in late)
    print(f"sent after the bound {len(late)}, by the old service {len(old)}, new {new}")
    world.record("result", late=len(late), old=len(old), new=new)
    return 1 if old else 0


run_case(main, RECORD)
