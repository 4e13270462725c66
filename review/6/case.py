"""A tenant's priority changes while its requests wait for tokens of its quota."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from stage import CannotRun, Client, Gateway, Replica, now, run_case  # noqa: E402

TIMEOUT_MS = 1_000  # of the route
DEADLINE_MS = 2_500  # of the clients
TENANTS = 60
RATE = 24  # quota of each tenant, 1.6 times what it sends
CLIENTS_PER_TENANT = 2
PAUSE_SECONDS = 0.12
OTHER_ROUTES = 400
CHANGES, GAP_SECONDS = 20, 2.0
SETTLE_SECONDS = 10.5  # configApplyMs and stabilityWindowMs, and some


def tenants(priorities):
    return [
        {
            "name": f"tenant{number}",
            "apiKeys": [f"key{number}"],
            "priority": priority,
            "ratePerS": RATE,
            "burst": RATE,
        }
        for number, priority in enumerate(priorities)
        if priority is not None
    ]


def routes():
    others = [
        {
            "name": f"r-other-{number}",
            "host": "app.example",
            "pathPrefix": f"/other/{number}/",
            "routeKind": "idempotent",
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": "search",
            "maxAttempts": 2,
            "public": False,
        }
        for number in range(OTHER_ROUTES)
    ]
    return others + [
        {
            "name": "r-1",
            "host": "app.example",
            "pathPrefix": "/find/",
            "routeKind": "idempotent",
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 300,
            "priority": 1,
            "service": "search",
            "maxAttempts": 2,
            "public": False,
        }
    ]


async def play(stage):
    for number in range(4):
        zone = stage.zones[number % 2]
        replica = Replica(stage, f"i-{number}", "search", zone, work_seconds=0.01)
        stage.replicas[replica.name] = replica
        await replica.start()
        replica.register()
    # Two tenants of three have priority 2 until the operator gives them priority 0, or,
    # in the variant, takes them with their keys out of the configuration.
    other = None if os.environ.get("VARIANT") == "keys" else 0
    ranked, raised = [2, 2, 1] * (TENANTS // 3), [other, other, 1] * (TENANTS // 3)
    stage.configure(routes=routes(), tenants=tenants(ranked))
    for number in range(4):
        gateway = Gateway(stage, f"front-{number}", stage.zones[number % 2])
        stage.gateways.append(gateway)
        await gateway.start()
    for gateway in stage.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(10.0)  # until the owners of the quotas may grant

    outcomes = []
    stop = asyncio.Event()

    async def client(tenant, index):
        gateway = stage.gateways[(tenant + index) % len(stage.gateways)]
        connection = Client(gateway.port)
        await asyncio.sleep(0.003 * (tenant * CLIENTS_PER_TENANT + index))
        while not stop.is_set():
            outcome = await stage.request(
                gateway.port,
                "/find/a",
                deadline_ms=DEADLINE_MS,
                client=connection,
                headers=[("X-Bronzebeam-Key", f"key{tenant}")],
                note=f"tenant{tenant}@{gateway.name}",
            )
            outcomes.append((tenant, gateway.name, outcome))
            await asyncio.sleep(PAUSE_SECONDS)

    clients = [
        asyncio.create_task(client(tenant, index))
        for tenant in range(TENANTS)
        for index in range(CLIENTS_PER_TENANT)
    ]
    await asyncio.sleep(4.0)
    if not any(outcome.status == 200 for _, _, outcome in outcomes):
        raise CannotRun("nothing is served")
    if stage.trouble:
        for number in range(CHANGES):
            priorities = ranked if number % 2 else raised
            stage.configure(routes=routes(), tenants=tenants(priorities))
            await asyncio.sleep(GAP_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    judged_from = now()
    await asyncio.sleep(8.0)
    stop.set()
    await asyncio.gather(*clients)

    judged = [item for item in outcomes if item[2].sent >= judged_from]
    limit = TIMEOUT_MS / 1000
    late = [item for item in judged if item[2].seconds > limit]
    never = [
        item for item in late if item[2].status is None or item[2].seconds > limit + 0.5
    ]
    places = sorted({f"tenant{tenant}@{name}" for tenant, name, _ in never})
    served = sum(1 for item in judged if item[2].status == 200)
    broken = len(never) >= 3 and 2 * len(never) > len(late)
    return broken, (
        f"judged={len(judged)} served={served} unanswered_at_timeout={len(late)} "
        f"half_a_second_later={len(never)} where={','.join(places) or '-'}"
    )


run_case(FOLDER / "record.txt", play)
