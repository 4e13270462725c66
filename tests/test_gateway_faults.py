"""Tests that a fault in one place leaves callers served."""

import asyncio
from typing import Any
from unittest import mock

from bronzebeam.gateway.forward import ReplicaRequest
from bronzebeam.gateway.peers import PeerSet
from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    READ_PATH,
    Cluster,
    RunningGateway,
    make_route,
    run_scenario,
    start_small_cluster,
)

FAULT_COUNT = 60  # above the limit on requests in flight at the start
KEY_HEADERS = {"X-Bronzebeam-Key": "secret-1"}
ACCOUNTS: tuple[list[Any], ...] = (
    [],
    [{"name": "library", "apiKeys": ["secret-1"]}],
)


async def start_cluster(cluster: Cluster, accounts: list[Any]) -> RunningGateway:
    gateway = await start_small_cluster(cluster)
    cluster.configure(*cluster.routes, tenants=accounts)
    await asyncio.sleep(3.0)
    return gateway


def test_requests_whose_start_fails_do_not_use_up_the_room_of_others() -> None:
    for accounts in ACCOUNTS:

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_cluster(cluster, accounts)
            start = ReplicaRequest.start

            def fail(request: ReplicaRequest) -> None:
                if request.routed.route.name == "r-book":
                    raise RuntimeError("a fault of the program")
                start(request)

            with mock.patch.object(ReplicaRequest, "start", fail):
                for _ in range(FAULT_COUNT):
                    response = await cluster.send_request(
                        gateway, BOOKING_PATH, headers=KEY_HEADERS
                    )
                    assert response is not None and response.status == 500
                responses = await asyncio.gather(
                    *(
                        cluster.send_request(gateway, READ_PATH, headers=KEY_HEADERS)
                        for _ in range(20)
                    )
                )
            assert {item.status for item in responses if item} == {200}

        run_scenario(scenario)


def test_fault_after_a_start_has_set_its_deadline_is_counted_once() -> None:
    for accounts in ACCOUNTS:

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_cluster(cluster, accounts)

            def fail(*_: Any, **__: Any) -> bool:
                raise RuntimeError("a fault of the program")

            with mock.patch.object(ReplicaRequest, "_send", fail):
                response = await cluster.send_request(
                    gateway, READ_PATH, headers=KEY_HEADERS
                )
            assert response is not None and response.status == 500
            await asyncio.sleep(2.0)  # past its deadline
            assert len(gateway.log_lines("unhandled_error")) == 1
            response = await cluster.send_request(
                gateway, READ_PATH, headers=KEY_HEADERS
            )
            assert response is not None and response.status == 200

        run_scenario(scenario)


def test_route_without_a_service_is_refused_without_an_error() -> None:
    for accounts in ACCOUNTS:

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_small_cluster(cluster)
            cluster.configure(
                make_route("r-odd", "/odd/"),
                make_route("r-read", READ_PATH, service=BOOKING_SERVICE),
                tenants=accounts,
            )
            await asyncio.sleep(3.0)
            for _ in range(FAULT_COUNT):
                response = await cluster.send_request(
                    gateway, "/odd/", headers=KEY_HEADERS
                )
                assert response is not None and response.status == 503
                assert response.body == b"no_service\n"
            assert not gateway.log_lines("unhandled_error")

        run_scenario(scenario)


def test_limits_that_no_request_can_meet_are_not_applied() -> None:
    for name in (
        "maxHeaderBytes",
        "maxBodyBytes",
        "headerTimeoutMs",
        "idleTimeoutMs",
        "timeoutMs",
        "targetLatencyMs",
    ):

        async def scenario(cluster: Cluster, name: str = name) -> None:
            gateway = await start_small_cluster(cluster)
            routes = [{**route, name: -1} for route in cluster.routes]
            cluster.configure(*routes, limits={name: -1})
            await asyncio.sleep(3.0)
            table = gateway.gateway._state.table
            assert table is not None and table.version == cluster.version
            response = await cluster.send_request(
                gateway, BOOKING_PATH, method="POST", body=b"one chair"
            )
            assert response is not None and response.status == 200, name

        run_scenario(scenario)


def test_fault_in_periodic_work_does_not_keep_connections_open() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)

        def fail(*_: Any, **__: Any) -> None:
            raise RuntimeError("a fault of the program")

        with mock.patch.object(PeerSet, "maintain", fail):
            caller = await cluster.connect(gateway)
            caller.send(b"GET /half HT")
            await asyncio.sleep(8.0)
        assert caller.ended
        failed = gateway.log_lines("task_failed")
        assert failed and all("task=timers" in line for line in failed)

    run_scenario(scenario)
