"""Tests that searches are answered in time for their callers, in virtual time."""

import asyncio

from tests.fixtures_gateway import (
    FAN_OUT_PATH,
    Cluster,
    Response,
    RunningGateway,
    encode_request,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
)
from tests.test_gateway_owners import start_large_fleet

TARGET_SECONDS = 0.09
CALLER_DELAY_SECONDS = 0.002


async def search_on_new_connection(
    cluster: Cluster, gateway: RunningGateway
) -> tuple[Response, float]:
    """Return the answer, and the time since the caller began to connect."""
    started_at = cluster.loop.time()
    await asyncio.sleep(2 * cluster.loop.net.one_way_seconds(gateway.host, "caller"))
    response = await cluster.send_request(gateway, FAN_OUT_PATH)
    assert response is not None and response.status == 200
    # `connect` waits for a millisecond by itself.
    return response, cluster.loop.time() - started_at - 0.001


def delay_callers(cluster: Cluster) -> None:
    """Let callers be as far away as those of another failure domain."""
    cluster.loop.net.reports_round_trips = True
    for gateway in cluster.gateways.values():
        pair = frozenset((gateway.host, "caller"))
        cluster.loop.net.delayed_pairs[pair] = CALLER_DELAY_SECONDS


def test_partial_answer_on_a_new_connection_arrives_by_the_target() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        delay_callers(cluster)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.work_seconds = 0.3
        for _ in range(3):
            response, elapsed_seconds = await search_on_new_connection(cluster, gateway)
            assert response.missing == 1
            assert elapsed_seconds <= TARGET_SECONDS

    run_scenario(scenario)


def test_long_partial_answer_over_a_slow_link_arrives_by_the_target() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster,
            shards=40,
            top=100,
            gateway_settings={"limits.linkMbps": "4.0"},
        )
        delay_callers(cluster)
        cluster.loop.net.link_bytes_per_second[gateway.host] = 500_000.0
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.work_seconds = 0.3
        caller = await cluster.connect(gateway)
        for number in range(4):
            caller.send(encode_request(FAN_OUT_PATH, attempt_id=f"b-{number}"))
            response = await caller.responses.get()
            assert response is not None and response.missing == 1
            if number:
                assert response.elapsed_seconds <= TARGET_SECONDS

    run_scenario(scenario)


def test_replies_of_busy_peers_are_in_the_answer_at_the_target() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_fleet(cluster)
        await asyncio.sleep(10.0)
        sender = gateways[-1]
        for gateway in gateways:
            cluster.loop.net.processing_seconds[gateway.host] = 0.004
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.work_seconds = 0.3
        late = partial = 0
        caller = await cluster.connect(sender)
        for number in range(60):
            caller.send(encode_request(FAN_OUT_PATH, attempt_id=f"b-{number}"))
            answer = await caller.responses.get()
            assert answer is not None and answer.status == 200
            if number >= 40:
                late += answer.elapsed_seconds > TARGET_SECONDS
                partial += answer.missing > 1
            await asyncio.sleep(0.1)
        assert late + partial <= 2

    run_scenario(scenario)
