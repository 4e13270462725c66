"""A request that crashes each replica that runs it comes again and again."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from world import (  # noqa: E402
    HEARTBEAT_S,
    TROUBLE,
    Node,
    Record,
    Replica,
    Store,
    World,
    encode,
    now,
    run_case,
)

# What was sent, answered and run.
RECORD = Path(__file__).resolve().parent / "record.txt"
ZONE = "taipei-a"
BAD_PATH = "/timi402/77"
STABILITY_S = 4.0
BACK_AFTER_S = 3.0
AGAIN_EVERY_S = 1.0
RATE_PER_S = 15.0
# Whether a replica has begun to answer when it crashes.
BEGINS_ANSWER = os.environ.get("BEGINS_ANSWER", "1") != "0"


class FragileReplica(Replica):
    """Crashes while it answers the bad request; back after some seconds."""

    crashes: list[tuple[float, str]] = []

    async def _handle(self, message, reader, writer) -> None:
        first, headers, _ = message
        expected = headers.get("x-bronzebeam-expected-replica")
        if first.split(" ")[1] != BAD_PATH or expected not in (None, self.name):
            await super()._handle(message, reader, writer)
            return
        attempt = headers["x-bronzebeam-attempt-id"]
        self.received.append((now(), attempt))
        self.record("run", id=attempt, replica=self.name, bad=True)
        await asyncio.sleep(0.05)
        if BEGINS_ANSWER:
            answer = encode(
                200,
                {
                    "X-Bronzebeam-Attempt-Id": attempt,
                    "X-Bronzebeam-Replica-Signature": f"{self.service}.{attempt}",
                },
                b"x" * 6000,
            )
            writer.write(answer[:2000])
            await asyncio.sleep(0.01)
        self.crashes.append((now(), attempt))
        self.record("crash", replica=self.name, id=attempt)
        asyncio.ensure_future(self._crash())

    async def _crash(self) -> None:
        """End this process; another one starts at its address some seconds later."""
        await self.stop()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.store.remove, f"servers/{self.name}"
        )
        await asyncio.sleep(BACK_AFTER_S)
        await start_replica(self.store, self.record, port=self.port)


async def start_replica(store: Store, record: Record, *, port: int = 0) -> None:
    replica = FragileReplica(
        store,
        record,
        service="depot-desk",
        zone=ZONE,
        connections=44,
        work_s=lambda path: random.uniform(0.06, 0.12),
        port=port,
    )
    await replica.start()
    record("replica_up", replica=replica.name)


async def main() -> int:
    world = World(RECORD, [ZONE])
    try:
        return await play(world)
    finally:
        world.close()


async def play(world: World) -> int:
    await world.store.start()
    for _ in range(4):
        await start_replica(world.store, world.record)
    world.put_config(
        [
            {
                "name": "r-depot",
                "host": "pupu76.example",
                "pathPrefix": "/timi402/",
                "routeKind": "non_idempotent",
                "timeoutMs": 2500,
                "targetLatencyMs": 346,
                "priority": 2,
                "service": "depot-desk",
                "maxAttempts": 2,
            }
        ]
    )
    world.nodes = [Node(world, ZONE) for _ in range(3)]
    for node in world.nodes:
        node.start()
    if not await world.wait_ready(world.nodes):
        return 2
    await asyncio.sleep(5.0)
    tasks, bad = [], []

    async def traffic(until: float) -> None:
        number = 0
        while now() < until:
            await asyncio.sleep(random.expovariate(RATE_PER_S))
            number += 1
            tasks.append(
                asyncio.ensure_future(
                    world.ask(
                        random.choice(world.nodes),
                        f"/timi402/{number:x}a",
                        2_500,
                        method="POST",
                        body=b"%d" % number,
                    )
                )
            )

    async def again(until: float) -> None:
        while now() < until:
            node = random.choice(world.nodes)
            bad.append(await world.ask(node, BAD_PATH, 2_500, method="POST", body=b"b"))
            await asyncio.sleep(AGAIN_EVERY_S)

    ends = now() + 30.0
    jobs = [asyncio.ensure_future(traffic(ends))]
    if TROUBLE:
        jobs.append(asyncio.ensure_future(again(ends)))
    await asyncio.gather(*jobs)
    answers = await asyncio.gather(*tasks)
    crashes = FragileReplica.crashes
    late = []
    if len(crashes) >= 3:
        due = crashes[2][0] + STABILITY_S
        ids = {item.attempt for item in bad if item.sent_at > due}
        late = [item for item in ids if any(item == a for _, a in crashes)]
    lost = sum(item.status != 200 for item in answers)
    refused = sum(item.status == 503 for item in answers)
    print(
        f"crashes {len(crashes)}, retries at replicas after the bound {len(late)}, "
        f"other requests {len(answers)}, not served {lost}, of these refused {refused}"
    )
    world.record("result", crashes=len(crashes), late=len(late), lost=lost)
    return 1 if len(late) > 3 else 0


run_case(main, RECORD)
