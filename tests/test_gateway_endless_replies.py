"""Tests of replicas that send bytes without end, in virtual time."""

import asyncio
import gc
import random

from bronzebeam.routing.record_merge import merge_greatest
from bronzebeam.transport.http_reply import HttpReply
from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    READ_PATH,
    Cluster,
    RunningGateway,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import ENDLESS_PARTS, Fault, fault_always
from tests.test_gateway_resources import read_metrics

# A tenth of the memory of a small instance, which is 300 MB.
MAX_BUFFERED_BYTES = 30 * 1024 * 1024
SHARDS = 12


def received_bytes(cluster: Cluster, gateway: RunningGateway) -> int:
    """Return the bytes on open connections to replicas that are no complete reply."""
    hosts = {item.host for item in cluster.replicas.values()}
    return sum(
        transport.protocol.unfinished_bytes
        for transport in cluster.loop.net.transports
        if transport.local_host == gateway.host and transport.remote_host in hosts
    )


def test_endless_replies_of_a_single_service_end_and_are_bounded() -> None:
    for fault in ENDLESS_PARTS:

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_small_cluster(cluster)
            endless, other = replicas_of_service(cluster, BOOKING_SERVICE)
            endless.fault = fault_always(fault)
            other.work_seconds = 0.02
            for number in range(10):
                answer = await cluster.send_request(
                    gateway, READ_PATH, attempt_id=f"e-{number}"
                )
                assert answer is not None and answer.status == 200, fault
                assert answer.body.endswith(f"/e-{number}".encode())
                assert received_bytes(cluster, gateway) <= MAX_BUFFERED_BYTES
            await asyncio.sleep(3.0)
            assert received_bytes(cluster, gateway) == 0
            assert endless.received_ids

        run_scenario(scenario)


def test_metrics_show_what_was_received_of_endless_replies() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        name = "bronzebeam_gateway_unfinished_reply_bytes"
        assert (await read_metrics(cluster, gateway))[name] == 0
        for replica in replicas_of_service(cluster, BOOKING_SERVICE):
            replica.fault = fault_always(Fault.ENDLESS_BODY)
        answer = asyncio.ensure_future(cluster.send_request(gateway, READ_PATH))
        await asyncio.sleep(0.02)
        assert (await read_metrics(cluster, gateway))[name] > 64 * 1024
        await answer

    run_scenario(scenario)


def test_endless_replies_of_many_shards_stay_within_the_memory() -> None:
    for fault in (Fault.ENDLESS_BODY, Fault.ENDLESS_HEAD, Fault.ENDLESS_CHUNK):

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_search_cluster(cluster, shards=SHARDS)
            for replica in cluster.replicas.values():
                replica.fault = fault_always(fault)
            searches = [
                asyncio.ensure_future(
                    cluster.send_request(gateway, f"{FAN_OUT_PATH}{number}")
                )
                for number in range(3)
            ]
            most = 0
            for _ in range(300):
                await asyncio.sleep(0.01)
                most = max(most, received_bytes(cluster, gateway))
            assert most <= MAX_BUFFERED_BYTES, most
            for search in searches:
                answer = await search
                assert answer is not None and answer.status in (502, 503, 504)

        run_scenario(scenario)


def test_large_parts_that_wait_for_the_other_shards_take_bounded_memory() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, shards=SHARDS, domains=("zone-a",), least=1.0, top=50
        )
        rng = random.Random(1)
        replicas = list(cluster.replicas.values())
        for replica in replicas:
            replica.records = [rng.randbytes(16) for _ in range(20_000)]
        replicas[0].work_seconds = 0.4
        search = asyncio.ensure_future(cluster.send_request(gateway, FAN_OUT_PATH))
        await asyncio.sleep(0.3)
        held_bytes = sum(
            len(item.body) for item in gc.get_objects() if type(item) is HttpReply
        )
        assert held_bytes < SHARDS * 1_000
        answer = await search
        assert answer is not None and answer.status == 200
        parts = [b"".join(replica.records) for replica in replicas]
        assert answer.body == merge_greatest(parts, count=50)

    run_scenario(scenario)
