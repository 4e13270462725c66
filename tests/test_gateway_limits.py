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
from tests.test_gateway_owners import start_large_fleet

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


def test_limit_that_can_not_be_read_keeps_the_earlier_one() -> None:
    async def scenario(cluster: Cluster) -> None:
        limited, other = await start_limited_pair(cluster, instances=2, limit="5")
        other.limit = ""
        gateways = list(cluster.gateways.values())
        await send_from_callers(cluster, gateways, READ_PATH, per_second=60, seconds=4)
        limited.limit = "five"
        changed_at = cluster.loop.time()
        await send_from_callers(cluster, gateways, READ_PATH, per_second=60, seconds=8)
        assert most_in_window(limited, changed_at) <= allowed_in_window(5.0)
        for gateway in gateways:
            assert len(gateway.log_lines("replica_limit_unreadable")) == 1

    run_scenario(scenario)


def test_burst_after_a_quiet_time_keeps_the_limit() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_limited_pair(cluster, instances=6, limit="6")
        gateways = list(cluster.gateways.values())
        limited_at = cluster.loop.time()
        await send_from_callers(cluster, gateways, READ_PATH, per_second=20, seconds=3)
        for _ in range(3):
            await asyncio.sleep(20.0)
            await send_from_callers(
                cluster, gateways, READ_PATH, per_second=100, seconds=5.0
            )
        for replica in replicas:
            most = most_in_window(replica, limited_at + LEARNING_SECONDS)
            assert most <= allowed_in_window(6.0), most

    run_scenario(scenario)


async def start_limited_pair(
    cluster: Cluster, *, instances: int, limit: str
) -> list[StandinReplica]:
    """Start instances and the only two replicas of a service, both with a limit."""
    for number in range(2, instances + 1):
        cluster.start_gateway(f"g-{number}")
    await start_small_cluster(cluster)
    await asyncio.sleep(2.0)
    replicas = replicas_of_service(cluster, BOOKING_SERVICE)
    for replica in replicas:
        replica.limit = limit
    return replicas


def test_requests_beyond_all_limits_are_refused_with_the_time_to_return() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_limited_pair(cluster, instances=3, limit="10")
        limited_at = cluster.loop.time()
        gateways = list(cluster.gateways.values())
        await send_from_callers(cluster, gateways, READ_PATH, per_second=60, seconds=5)
        received = [len(item.received_ids) for item in replicas]
        responses = await send_from_callers(
            cluster, gateways, READ_PATH, per_second=60, seconds=10
        )
        for replica in replicas:
            most = most_in_window(replica, limited_at + LEARNING_SECONDS)
            assert most <= allowed_in_window(10.0), most
        answered = [item for item in responses if item and item.status == 200]
        refused = [item for item in responses if item and item.status == 503]
        assert len(answered) + len(refused) == len(responses)
        # Two replicas take 20 a second; a tenth is left for unknown instances.
        assert 160 <= len(answered) <= 200
        assert all(0.0 < float(item.headers["retry-after"]) < 1 for item in refused)
        assert all(item.elapsed_seconds < 0.005 for item in refused)
        sent_count = sum(len(item.received_ids) for item in replicas) - sum(received)
        assert sent_count == len(answered)
        assert "cause=replicas_limited" in gateways[0].log_lines("request_ended")[-1]

    run_scenario(scenario)


def test_search_that_lacks_too_many_limited_shards_reaches_no_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster, least=0.75)
        for name in ("shard-0", "shard-1"):
            for replica in replicas_of_service(cluster, name):
                replica.limit = "2"
        gateways = [gateway]
        await send_from_callers(
            cluster, gateways, FAN_OUT_PATH, per_second=30, seconds=5.0
        )
        unlimited = replicas_of_service(cluster, "shard-2")
        before = sum(len(item.runs) for item in unlimited)
        responses = await send_from_callers(
            cluster, gateways, FAN_OUT_PATH, per_second=30, seconds=10.0
        )
        answered = [item for item in responses if item and item.status == 200]
        refused = [item for item in responses if item and item.status == 503]
        assert len(answered) + len(refused) == len(responses)
        assert len(answered) >= 25 and all(item.missing <= 1 for item in answered)
        assert refused and all("retry-after" in item.headers for item in refused)
        assert sum(len(item.runs) for item in unlimited) - before == len(answered)

    run_scenario(scenario)


def test_replica_is_used_in_full_again_after_its_limit_ends() -> None:
    for limit in ("5", "0"):

        async def scenario(cluster: Cluster) -> None:
            limited, other = await start_limited_pair(cluster, instances=2, limit=limit)
            other.limit = ""
            gateways = list(cluster.gateways.values())
            await send_from_callers(
                cluster, gateways, READ_PATH, per_second=60, seconds=8.0
            )
            limited.limit = ""
            await send_from_callers(
                cluster, gateways, READ_PATH, per_second=60, seconds=10.0
            )
            before = len(limited.received_ids)
            await send_from_callers(
                cluster, gateways, READ_PATH, per_second=60, seconds=4.0
            )
            assert len(limited.received_ids) - before > 60

        run_scenario(scenario)


def test_limit_holds_while_most_instances_lose_their_registration() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_limited_pair(cluster, instances=6, limit="30")
        limited_at = cluster.loop.time()
        gateways = list(cluster.gateways.values())
        # Half of all callers reach the instance that stays registered.
        sending = asyncio.ensure_future(
            send_from_callers(
                cluster,
                gateways + 4 * gateways[5:],
                READ_PATH,
                per_second=250,
                seconds=20.0,
            )
        )
        await asyncio.sleep(6.0)
        for gateway in gateways[:5]:
            # The store drops what these have written, and turns them away.
            cluster.loop.net.partitioned_pairs.add(
                frozenset((gateway.host, cluster.store.host))
            )
            for key in list(cluster.store.items):
                if key.endswith(f"/{gateway.name}"):
                    cluster.store.remove(key)
        await asyncio.sleep(4.0)
        assert gateways[5].gateway._state.peers.live_count == 1
        responses = await sending
        for replica in replicas:
            most = most_in_window(replica, limited_at + LEARNING_SECONDS)
            assert most <= allowed_in_window(30.0), most
        assert sum(item is not None and item.status == 200 for item in responses) > 900

    run_scenario(scenario)


def test_limit_holds_while_instances_restart_one_by_one() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_limited_pair(cluster, instances=4, limit="9")
        limited_at = cluster.loop.time()
        gateways = list(cluster.gateways.values())
        sending = asyncio.ensure_future(
            send_from_callers(cluster, gateways, READ_PATH, per_second=80, seconds=24.0)
        )
        for index, gateway in enumerate(gateways):
            await asyncio.sleep(5.0)
            gateway.kill(cluster)
            gateways[index] = cluster.start_gateway(gateway.name)
        responses = await sending
        for replica in replicas:
            most = most_in_window(replica, limited_at + LEARNING_SECONDS)
            assert most <= allowed_in_window(9.0), most
        assert sum(item is not None and item.status == 200 for item in responses) > 200

    run_scenario(scenario)


def test_owners_together_keep_the_limit_of_a_replica_in_a_large_fleet() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_fleet(cluster)
        limited = replicas_of_service(cluster, "shard-0")
        for replica in limited:
            replica.limit = "10"
        limited_at = cluster.loop.time()
        responses = await send_from_callers(
            cluster, gateways, FAN_OUT_PATH, per_second=80, seconds=20.0
        )
        for replica in limited:
            most = most_in_window(replica, limited_at + LEARNING_SECONDS)
            assert most <= allowed_in_window(10.0), most
            assert len(replica.received_ids) > 20 * 10 / 2
        assert {item.status if item else 0 for item in responses} == {200}
        assert all(item.missing <= 1 for item in responses if item)

    run_scenario(scenario)
