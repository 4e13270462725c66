"""Tests of open connections that stop responding while new ones work."""

import anyio

from bronzebeam.outcomes import Answered, Outcome
from bronzebeam.transport.backend_pool import PROBE_AFTER_IDLE_SECONDS
from bronzebeam.transport.connection_worker import (
    LATE_REPLY_TIMEOUT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
)
from tests.fixtures_path import RequestPath, run_path
from tests.fixtures_servers import Fault

TICK_SECONDS = 0.1


def silence_all(path: RequestPath) -> None:
    for server in path.servers.values():
        server.stop_responding()


def test_attempts_on_unresponsive_connections_end_and_new_ones_succeed() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        silence_all(path)
        outcomes: list[Outcome] = []

        async def ask() -> None:
            outcomes.append(await path.search(deadline_ms=200))

        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(ask)
        assert len(outcomes) == 20
        await anyio.sleep(PROBE_TIMEOUT_SECONDS + LATE_REPLY_TIMEOUT_SECONDS + 0.3)
        path.assert_idle()
        for server in path.servers.values():
            assert server.channels, server.name
            assert not any(channel.unresponsive for channel in server.channels)
        assert isinstance(await path.search(), Answered)

    run_path(scenario)


def test_hedge_avoids_an_unresponsive_connection() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        await path.warm_up()
        path.servers["s1a"].stop_responding()
        for _ in range(4):
            began = anyio.current_time()
            assert isinstance(await path.search(deadline_ms=1_000), Answered)
            assert anyio.current_time() - began < 0.1

    for seed in range(5):
        run_path(scenario, seed=seed)


def test_probe_replaces_idle_unresponsive_connections() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        silence_all(path)
        await anyio.sleep(PROBE_AFTER_IDLE_SECONDS + PROBE_TIMEOUT_SECONDS + 0.5)
        await anyio.sleep(LATE_REPLY_TIMEOUT_SECONDS)
        for server in path.servers.values():
            assert len(server.channels) == 4
            assert not any(channel.unresponsive for channel in server.channels)
        assert isinstance(await path.search(), Answered)

    run_path(scenario)


def test_unresponsive_connection_triggers_probes_of_the_others() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add("d0", "depots")
        await path.start()
        path.servers["d0"].stop_responding()
        await path.call("look", deadline_ms=200)
        bound = (
            0.2
            + LATE_REPLY_TIMEOUT_SECONDS
            + PROBE_TIMEOUT_SECONDS
            + LATE_REPLY_TIMEOUT_SECONDS
        )
        await anyio.sleep(bound + 2 * TICK_SECONDS)
        channels = path.servers["d0"].channels
        assert len(channels) == 4 and not any(item.unresponsive for item in channels)

    run_path(scenario)


def test_booking_avoids_an_unresponsive_idle_connection() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_depots()
        await path.start()
        await anyio.sleep(3)
        for name in ("da", "db"):
            path.servers[name].stop_responding()
        outcome = await path.call("book", deadline_ms=800)
        ran = sum(len(item.runs) for item in path.servers.values())
        assert ran == 1
        return outcome

    for seed in range(5):
        assert isinstance(run_path(scenario, seed=seed), Answered)


def test_unresponsive_connection_in_mid_request_ends_at_the_deadline() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        for server in path.servers.values():
            server.next_fault = lambda: Fault.HANG_BEFORE_RUN
        began = anyio.current_time()
        await path.search(deadline_ms=200)
        assert anyio.current_time() - began <= 0.2
        await anyio.sleep(LATE_REPLY_TIMEOUT_SECONDS + 2 * TICK_SECONDS)
        path.assert_idle()

    run_path(scenario)
