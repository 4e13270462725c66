"""Tests of readiness, graceful shutdown and reloads, in virtual time."""

import asyncio
import signal

from tests.fixtures_gateway import (
    READ_PATH,
    Caller,
    Cluster,
    RunningGateway,
    encode_request,
    run_scenario,
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
        await asyncio.sleep(2.9)
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
