"""Tests of what tells that an instance serves none of its callers' requests."""

import asyncio

from tests.fixtures_gateway import (
    FAN_OUT_PATH,
    PEER_PORT,
    READ_PATH,
    Cluster,
    RunningGateway,
    encode_request,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import Fault, fault_always, no_fault

METRIC_PREFIX = "bronzebeam_gateway_"


async def send_series(
    cluster: Cluster, gateway: RunningGateway, count: int, path: str = READ_PATH
) -> set[int]:
    """Send requests 0.2 s apart, and return the statuses of the answers."""
    statuses = set()
    for _ in range(count):
        response = await cluster.send_request(gateway, path)
        assert response is not None
        statuses.add(response.status)
        await asyncio.sleep(0.2)
    return statuses


async def read_counts(cluster: Cluster, gateway: RunningGateway) -> tuple[int, int]:
    """Return how many requests were received and served, by the metrics."""
    caller = await cluster.connect(gateway, port=PEER_PORT)
    caller.send(encode_request("/metrics", remaining_ms=None))
    response = await caller.responses.get()
    assert response is not None
    values = dict(line.rsplit(" ", 1) for line in response.body.decode().splitlines())
    received, served = [
        int(float(values[f"{METRIC_PREFIX}{name}_total"]))
        for name in ("received", "served")
    ]
    return received, served


def test_log_tells_that_no_request_is_served_and_why() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        assert await send_series(cluster, gateway, 20) == {200}
        assert not gateway.log_lines("none_served")
        for replica in cluster.replicas.values():
            replica.fault = fault_always(Fault.RESET)
        assert await send_series(cluster, gateway, 50) <= {502, 503}
        assert await cluster.is_ready(gateway)
        first, *others = gateway.log_lines("none_served")
        assert "causes=" in first and "unanswered=0" in first
        assert len(others) <= 1  # one each 10 s
        assert not gateway.log_lines("serving_again")
        for replica in cluster.replicas.values():
            replica.fault = no_fault
        await asyncio.sleep(4.0)
        assert 200 in await send_series(cluster, gateway, 5)
        assert len(gateway.log_lines("serving_again")) == 1
        received, served = await read_counts(cluster, gateway)
        assert received == 75 and 20 < served <= 25

    run_scenario(scenario)


def test_log_tells_of_requests_that_stay_unanswered() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.gateway._caller_server.handle = (
            lambda request: gateway.gateway._context.served.record_received(
                cluster.loop.time()
            )
        )
        for _ in range(6):
            caller = await cluster.connect(gateway)
            caller.send(encode_request(READ_PATH))
        await asyncio.sleep(4.0)
        [line] = gateway.log_lines("none_served")
        assert "received=6" in line and "unanswered=6" in line

    run_scenario(scenario)


def test_refused_and_failing_requests_are_told_apart() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        assert await send_series(cluster, gateway, 30, "/nowhere/") == {404}
        assert "causes=no_route:" in gateway.log_lines("none_served")[0]

        def fail(*, host: str, path: bytes) -> None:
            raise RuntimeError("a fault of the program")

        class Table:
            version = 3
            find = staticmethod(fail)

        gateway.gateway._context.state.table = Table()  # type: ignore[assignment]
        assert await send_series(cluster, gateway, 5) == {500}
        assert gateway.gateway._context.served._causes["internal_error"] == 5

    run_scenario(scenario)


def test_few_requests_or_those_of_peers_are_no_sign() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, shards=6, domains=("zone-b", "zone-b")
        )
        other = cluster.start_gateway("g-2", domain="zone-b")
        await asyncio.sleep(2.0)
        for replica in cluster.replicas.values():
            replica.fault = fault_always(Fault.RESET)
        assert await send_series(cluster, gateway, 20, FAN_OUT_PATH) <= {502, 503}
        assert gateway.log_lines("none_served")
        assert not other.log_lines("none_served")
        for _ in range(4):
            response = await cluster.send_request(other, "/nowhere/")
            assert response is not None and response.status == 404
        await asyncio.sleep(10.0)
        assert not other.log_lines("none_served")
        assert (await read_counts(cluster, other))[0] == 4

    run_scenario(scenario)
