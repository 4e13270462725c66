"""Tests of replicas that limit the requests of all instances, in virtual time."""

import asyncio
import random
from collections.abc import Sequence

from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    READ_PATH,
    Cluster,
    Response,
    RunningGateway,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import StandinReplica

# The platform's bound on what a replica gets in any window, from all instances that it
# has told of its limit.
WINDOW_SECONDS = 4.0
EXCESS_RATIO = 1.5
EXCESS_COUNT = 5
LEARNING_SECONDS = 4.0  # after a replica first names a limit


async def send_from_callers(
    cluster: Cluster,
    gateways: Sequence[RunningGateway],
    path: str,
    *,
    per_second: float,
    seconds: float,
) -> list[Response | None]:
    """Send requests at random times, each to a random one of the gateways."""
    rng = random.Random(7)
    tasks = []
    end_at = cluster.loop.time() + seconds
    while cluster.loop.time() < end_at:
        await asyncio.sleep(rng.expovariate(per_second))
        gateway = rng.choice(gateways)
        tasks.append(
            asyncio.create_task(cluster.send_request(gateway, path, remaining_ms=800))
        )
    return await asyncio.gather(*tasks)


def most_in_window(replica: StandinReplica, since_seconds: float) -> int:
    """Return the most requests that a replica received in any window since a time."""
    times = [item for item in replica.received_at_seconds if item >= since_seconds]
    return max(
        sum(start <= item < start + WINDOW_SECONDS for item in times) for start in times
    )


def allowed_in_window(per_second: float) -> float:
    return EXCESS_RATIO * WINDOW_SECONDS * per_second + EXCESS_COUNT


def test_instances_together_keep_the_limit_of_a_shards_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        for name, domain in (("g-2", "zone-a"), ("g-3", "zone-b"), ("g-4", "zone-c")):
            cluster.start_gateway(name, domain=domain)
        await start_search_cluster(cluster, domains=("zone-a", "zone-b"))
        await asyncio.sleep(2.0)
        limited = replicas_of_service(cluster, "shard-0")[0]
        limited.limit = "10"
        limited_at = cluster.loop.time()
        responses = await send_from_callers(
            cluster,
            list(cluster.gateways.values()),
            FAN_OUT_PATH,
            per_second=80,
            seconds=16.0,
        )
        most = most_in_window(limited, limited_at + LEARNING_SECONDS)
        assert most <= allowed_in_window(10.0), most
        statuses = [item.status if item else 0 for item in responses]
        assert set(statuses) == {200}
        assert sum(item.missing for item in responses if item) == 0

    run_scenario(scenario)


def test_instances_together_keep_the_limit_of_a_single_services_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        for number in range(2, 7):
            cluster.start_gateway(f"g-{number}")
        await start_small_cluster(cluster)
        await asyncio.sleep(2.0)
        limited, other = replicas_of_service(cluster, BOOKING_SERVICE)
        limited.limit = "8.5"
        limited_at = cluster.loop.time()
        responses = await send_from_callers(
            cluster,
            list(cluster.gateways.values()),
            READ_PATH,
            per_second=60,
            seconds=16.0,
        )
        most = most_in_window(limited, limited_at + LEARNING_SECONDS)
        assert most <= allowed_in_window(8.5), most
        assert {item.status if item else 0 for item in responses} == {200}

    run_scenario(scenario)
