"""Tests of readiness, graceful shutdown and reloads, in virtual time."""

import asyncio
import signal
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from bronzebeam.transport.caller_connection import CallerServer
from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    READ_PATH,
    Caller,
    Cluster,
    Response,
    RunningGateway,
    encode_request,
    make_route,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)

GRACE_SECONDS = 6.0
LOAD_BALANCER_SECONDS = 2.5


async def request_status(caller: Caller, attempt_id: str) -> int | None:
    caller.send(encode_request(READ_PATH, attempt_id=attempt_id))
    response = await caller.responses.get()
    return None if response is None else response.status


async def wait_for_exit(gateway: RunningGateway, cluster: Cluster) -> float:
    started_at = cluster.loop.time()
    async with asyncio.timeout(GRACE_SECONDS + 1.0):
        assert await gateway.task == 0
    return cluster.loop.time() - started_at


def test_instance_is_not_ready_without_a_configuration() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(1.0)
        assert not await cluster.is_ready(gateway)
        gateway.kill(cluster)
        gateway = await start_small_cluster(cluster)
        assert await cluster.is_ready(gateway)

    run_scenario(scenario)


def test_instance_is_not_ready_while_no_replica_is_reachable() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        hosts = {replica.host for replica in cluster.replicas.values()}
        for host in hosts:
            cluster.loop.net.partitioned_pairs.add(frozenset((gateway.host, host)))
            for transport in list(cluster.loop.net.transports):
                if {transport.local_host, transport.remote_host} == {
                    gateway.host,
                    host,
                }:
                    transport._receive_close(reset=True)
                    transport.closed = True
                    transport.protocol.connection_lost(None)
        for _ in range(4):
            await asyncio.sleep(1.0)
            ready = await cluster.is_ready(gateway)
        assert not ready
        cluster.loop.net.partitioned_pairs.clear()
        await asyncio.sleep(3.0)
        assert await cluster.is_ready(gateway)

    run_scenario(scenario)


def test_stopping_instance_is_not_ready_but_keeps_serving_callers() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.stop()
        await asyncio.sleep(0.01)
        assert not await cluster.is_ready(gateway)
        for _ in range(int(LOAD_BALANCER_SECONDS / 0.1)):
            response = await cluster.send_request(gateway, READ_PATH)
            assert response is not None and response.status == 200
            assert response.headers["connection"] == "close"
            await asyncio.sleep(0.1)
        assert (
            await wait_for_exit(gateway, cluster)
            < GRACE_SECONDS - LOAD_BALANCER_SECONDS
        )

    run_scenario(scenario)


def test_request_in_flight_at_sigterm_is_answered() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 2.4
        requests = [
            asyncio.ensure_future(
                cluster.send_request(
                    gateway, READ_PATH, remaining_ms=2_500, attempt_id="s-1"
                )
            )
        ]
        cluster.configure(*[{**item, "timeoutMs": 2_500} for item in cluster.routes])
        await asyncio.sleep(2.0)
        gateway.stop()
        await asyncio.sleep(2.7)
        requests.append(
            asyncio.ensure_future(
                cluster.send_request(
                    gateway, READ_PATH, remaining_ms=2_500, attempt_id="s-2"
                )
            )
        )
        await asyncio.sleep(0.1)
        await wait_for_exit(gateway, cluster)
        responses = await asyncio.gather(*requests)
        assert responses[1] is not None and responses[1].status == 200

    run_scenario(scenario)


def test_persistent_connections_lose_no_request_during_shutdown() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        callers = [await cluster.connect(gateway) for _ in range(4)]
        for number, caller in enumerate(callers):
            assert await request_status(caller, f"k-{number}") == 200
        gateway.stop()
        lost = []
        for step in range(60):
            await asyncio.sleep(0.1)
            for number, caller in enumerate(callers):
                if caller.ended or (step + number) % 7:
                    continue
                if await request_status(caller, f"k-{number}-{step}") is None:
                    lost.append((step, number))
            if gateway.task.done():
                break
        assert lost == []
        assert gateway.task.done() and gateway.task.result() == 0

    run_scenario(scenario)


def stop(cluster: Cluster, gateway: RunningGateway) -> None:
    """Request a graceful shutdown; the end of the process ends its connections."""
    gateway.stop()
    gateway.task.add_done_callback(lambda task: gateway.kill(cluster))


async def configure_long_timeouts(cluster: Cluster) -> None:
    cluster.configure(*[{**item, "timeoutMs": 8_000} for item in cluster.routes])
    await asyncio.sleep(2.0)


async def stop_under_load(
    cluster: Cluster, gateway: RunningGateway, path: str, **options: Any
) -> list[Response | None]:
    """Send requests on new connections until the process has exited."""

    async def send() -> Response | None:
        try:
            return await cluster.send_request(
                gateway, path, remaining_ms=8_000, **options
            )
        except ConnectionRefusedError:
            return None  # nothing was read

    stop(cluster, gateway)
    requests = []
    while not gateway.task.done():
        requests.append(asyncio.create_task(send()))
        await asyncio.sleep(0.02)
    return await asyncio.gather(*requests)


def test_requests_that_come_late_in_the_grace_are_answered_or_refused() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        await configure_long_timeouts(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds, replica.slots = 0.3, 50
        for number in range(5):
            await cluster.send_request(gateway, BOOKING_PATH, method="POST")
        responses = await stop_under_load(
            cluster, gateway, BOOKING_PATH, method="POST", body=b"one chair"
        )
        # The last connections may be refused, or closed before a request was read.
        assert None not in responses[:-12]
        runs = sum(len(replica.runs) for replica in cluster.replicas.values())
        statuses = [item.status for item in responses if item is not None]
        assert runs == 5 + statuses.count(200) and set(statuses) == {200, 503}
        refused = [
            item for item in responses if item is not None and item.status != 200
        ]
        assert all(float(item.headers["retry-after"]) > 0.0 for item in refused)
        assert all(item.elapsed_seconds < 0.05 for item in refused)

    run_scenario(scenario)


def test_requests_read_behind_the_current_one_are_answered_during_a_stop() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.1
        caller = await cluster.connect(gateway)
        for number in range(4):
            caller.send(encode_request(READ_PATH, attempt_id=f"p-{number}"))
        await asyncio.sleep(0.05)
        stop(cluster, gateway)
        for number in range(4):
            response = await caller.responses.get()
            assert response is not None and response.status == 200
            assert ("connection" in response.headers) is (number == 3)

    run_scenario(scenario)


def test_request_whose_body_still_comes_is_answered_during_a_stop() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        caller = await cluster.connect(gateway)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.2
        data = encode_request(
            BOOKING_PATH, attempt_id="b-1", method="POST", body=b"x" * 2_000
        )
        caller.send(encode_request(READ_PATH, attempt_id="b-0") + data[:-500])
        await asyncio.sleep(0.1)
        stop(cluster, gateway)
        response = await caller.responses.get()
        assert response is not None and response.status == 200
        caller.send(data[-500:])
        response = await caller.responses.get()
        assert response is not None and response.status == 200
        assert response.headers["connection"] == "close"

    run_scenario(scenario)


def test_request_that_outlasts_the_grace_gets_an_answer_before_the_exit() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        await configure_long_timeouts(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 20.0
        callers = []
        for number in range(12):
            caller = await cluster.connect(gateway)
            caller.send(
                encode_request(
                    BOOKING_PATH,
                    attempt_id=f"o-{number}",
                    method="POST",
                    body=b"one chair",
                    remaining_ms=8_000,
                )
            )
            callers.append(caller)
        await asyncio.sleep(0.1)
        stop(cluster, gateway)
        for number, caller in enumerate(callers):
            response = await caller.responses.get()
            assert response is not None
            expected = 504 if cluster.run_count(f"o-{number}") else 503
            assert response.status == expected or response.status == 504

    run_scenario(scenario)


def test_search_that_outlasts_the_grace_is_answered_with_the_shards_that_are_in() -> (
    None
):
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, timeoutMs=8_000, targetLatencyMs=7_500
        )
        for _ in range(20):
            await cluster.send_request(gateway, FAN_OUT_PATH, remaining_ms=8_000)
        for replica in replicas_of_service(cluster, "shard-1"):
            replica.work_seconds = 20.0
        stop(cluster, gateway)
        await asyncio.sleep(0.1)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, remaining_ms=8_000)
        assert answer is not None and answer.status == 200 and answer.missing == 1

    run_scenario(scenario)


def test_work_of_a_peer_is_answered_before_the_exit() -> None:
    async def scenario(cluster: Cluster) -> None:
        first = await start_search_cluster(
            cluster, domains=("zone-b",), timeoutMs=8_000, targetLatencyMs=7_500
        )
        second = cluster.start_gateway("g-2", domain="zone-b")
        await asyncio.sleep(3.0)
        for replica in replicas_of_service(cluster, "shard-1"):
            replica.work_seconds = 20.0
        search = asyncio.create_task(
            cluster.send_request(first, FAN_OUT_PATH, remaining_ms=8_000)
        )
        await asyncio.sleep(0.05)
        assert second.gateway._peer_server.in_flight == 1
        stop(cluster, second)
        assert await second.task == 0
        answer = await search
        assert answer is not None and answer.status == 200 and answer.missing == 1

    run_scenario(scenario)


def test_request_that_waits_for_room_is_refused_before_the_exit() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        route = make_route(
            "r-read",
            READ_PATH,
            service=BOOKING_SERVICE,
            timeoutMs=60_000,
            targetLatencyMs=40_000,
            public=True,
        )
        account = {"name": "library", "apiKeys": ["key-1"]}
        cluster.configure(route, tenants=[account])
        await asyncio.sleep(2.0)
        for replica in cluster.replicas.values():
            replica.work_seconds = 20.0
        requests = [
            asyncio.create_task(
                cluster.send_request(gateway, READ_PATH, remaining_ms=60_000)
            )
            for _ in range(40)
        ]
        await asyncio.sleep(0.5)
        stop(cluster, gateway)
        responses = await asyncio.gather(*requests)
        for number, response in enumerate(responses):
            assert response is not None and response.status in (503, 504)
        statuses = [item.status for item in responses if item is not None]
        runs = sum(len(replica.runs) for replica in cluster.replicas.values())
        assert 0 < runs <= statuses.count(504) < len(statuses)

    run_scenario(scenario)


async def send_to_slow_replicas(
    cluster: Cluster, gateway: RunningGateway, count: int
) -> list["asyncio.Task[Response | None]"]:
    """Send requests that outlast the grace, on connections of their own."""
    await configure_long_timeouts(cluster)
    for replica in cluster.replicas.values():
        replica.work_seconds = 20.0
    requests = [
        asyncio.create_task(
            cluster.send_request(gateway, READ_PATH, remaining_ms=8_000)
        )
        for _ in range(count)
    ]
    await asyncio.sleep(0.1)
    return requests


def test_requests_are_answered_if_sigterm_came_while_the_process_was_paused() -> None:
    async def scenario(cluster: Cluster) -> None:
        for paused_seconds in (0.8, 3.0, 5.9):
            gateway = await start_small_cluster(cluster)
            requests = await send_to_slow_replicas(cluster, gateway, 12)
            gateway.gateway._stall_clock._beaten_at_seconds -= paused_seconds
            stop(cluster, gateway)
            assert (
                await wait_for_exit(gateway, cluster) < GRACE_SECONDS - paused_seconds
            )
            for response in await asyncio.gather(*requests):
                assert response is not None and response.status in (503, 504)

    run_scenario(scenario)


def test_exception_during_a_stop_does_not_skip_the_answers_of_others() -> None:
    def fail(*args: Any, min_idle_seconds: float = 1.0) -> None:
        if min_idle_seconds:
            raise RuntimeError("fault of the program")

    async def scenario(cluster: Cluster) -> None:
        for place in ("one_request", "the_stop"):
            gateway = await start_small_cluster(cluster)
            requests = await send_to_slow_replicas(cluster, gateway, 12)
            if place == "one_request":
                [request, *_] = [
                    connection.request
                    for connection in gateway.gateway._caller_server.connections
                    if connection.request is not None
                ]
                request.on_stop = fail
            else:
                faults.enter_context(patch.object(CallerServer, "close_idle", fail))
            stop(cluster, gateway)
            [result] = await asyncio.gather(gateway.task, return_exceptions=True)
            assert (result == 0) is (place == "one_request")
            for response in await asyncio.gather(*requests):
                assert response is not None and response.status in (503, 504)

    with ExitStack() as faults:
        run_scenario(scenario)


def test_requests_are_answered_if_the_machine_was_suspended_during_a_stop() -> None:
    async def scenario(cluster: Cluster) -> None:
        for suspended_seconds in (2.0, 7.0):
            gateway = await start_small_cluster(cluster)
            requests = await send_to_slow_replicas(cluster, gateway, 12)
            stop(cluster, gateway)
            await asyncio.sleep(1.0)
            gateway.suspended_seconds += suspended_seconds
            left_seconds = max(0.5, GRACE_SECONDS - 1.0 - suspended_seconds)
            assert await wait_for_exit(gateway, cluster) < left_seconds
            for response in await asyncio.gather(*requests):
                assert response is not None and response.status in (503, 504)

    run_scenario(scenario)


def test_idle_instance_exits_soon_after_the_load_balancer_has_removed_it() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.stop()
        assert 2.0 < await wait_for_exit(gateway, cluster) < 4.0
        assert "instances/g-1" not in cluster.store.items
        for name in ("stop_started", "stop_ended", "ended"):
            assert len(gateway.log_lines(name)) == 1

    run_scenario(scenario)


def test_changed_settings_are_loaded_without_a_signal() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.settings_text = gateway.settings_text.replace("Slack=50", "Slack=7")
        gateway.settings_version += 1
        await asyncio.sleep(1.5)
        [line] = gateway.log_lines("reloaded")
        assert "changed=true" in line
        assert gateway.gateway._state.repeat_budget("any").limits.slack_count == 7.0

    run_scenario(scenario)


def test_invalid_settings_are_not_applied() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.settings_text = gateway.settings_text.replace(
            "platform.address=", "platform.address=x"
        )
        gateway.settings_version += 1
        await asyncio.sleep(3.0)
        assert len(gateway.log_lines("reload_failed")) == 1
        response = await cluster.send_request(gateway, READ_PATH)
        assert response is not None and response.status == 200

    run_scenario(scenario)


def test_settings_that_are_being_written_are_not_applied() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        text = gateway.settings_text
        [reload] = cluster.loop.signal_handlers[signal.SIGHUP]
        # Ends within the port of the store, and is valid.
        gateway.settings_text = text[: text.index(":8100") + len(":810")]
        for length in range(12):
            gateway.settings_version += 1
            if length % 4 == 0:
                reload()
            await asyncio.sleep(0.1)
        store = gateway.gateway.settings.store
        assert store.port == 8_100 and not gateway.log_lines("reloaded")
        gateway.settings_text = text.replace("Slack=50", "Slack=7")
        gateway.settings_version += 1
        await asyncio.sleep(1.5)
        [line] = gateway.log_lines("reloaded")
        assert "changed=true" in line
        assert gateway.gateway.settings.repeats.slack_count == 7.0
        reload()
        assert len(gateway.log_lines("reloaded")) == 2

    run_scenario(scenario)


def test_changed_store_address_is_used() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        store = cluster.store
        listener = cluster.loop.net.listeners.pop((store.host, store.port))
        cluster.loop.net.listeners[("10.200.0.2", 8_200)] = listener
        cluster.loop.net.reset_connections(store.host)
        gateway.settings_text = gateway.settings_text.replace(
            "10.200.0.1:8100", "10.200.0.2:8200"
        )
        gateway.settings_version += 1
        await asyncio.sleep(4.0)
        cluster.configure(*cluster.routes)
        await asyncio.sleep(3.0)
        table = gateway.gateway._state.table
        assert table is not None and table.version == cluster.version

    run_scenario(scenario)


def test_reload_does_not_interrupt_requests() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.3
        request = asyncio.ensure_future(cluster.send_request(gateway, READ_PATH))
        await asyncio.sleep(0.1)
        for handler in cluster.loop.signal_handlers[signal.SIGHUP]:
            handler()
        response = await request
        assert response is not None and response.status == 200
        [line] = gateway.log_lines("reloaded")
        assert "changed=false" in line

    run_scenario(scenario)
