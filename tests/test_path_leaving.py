"""Tests of leaving, cold and changed backend servers."""

import anyio
from attrs import evolve

from bronzebeam.controllers.backends import DocumentChanged
from bronzebeam.documents.model import EnvironmentDocument, FleetSpec
from bronzebeam.outcomes import Answered, Outcome, Partial
from tests.fixtures_path import RequestPath, run_path
from tests.fixtures_servers import CONNECT_DELAY_SECONDS

MAX_DRAIN_DETECTION_SECONDS = 3.0


async def keep_searching(path: RequestPath, seconds: float) -> list[Outcome]:
    """Start a search every 10 ms, so that searches overlap."""
    outcomes: list[Outcome] = []

    async def ask() -> None:
        outcomes.append(await path.search())

    async with anyio.create_task_group() as group:
        for _ in range(round(seconds / 0.01)):
            group.start_soon(ask)
            await anyio.sleep(0.01)
    return outcomes


def test_replica_listed_as_leaving_gets_no_new_requests() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        await keep_searching(path, 0.5)
        left_at = anyio.current_time()
        path.mark_leaving("s0a")
        outcomes = await keep_searching(path, 5)
        last = max(at for at, _ in path.servers["s0a"].arrivals)
        assert last < left_at + 0.1
        assert all(isinstance(item, Answered) for item in outcomes)

    run_path(scenario)


def test_draining_replica_gets_no_new_requests_despite_a_wrong_status() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        await keep_searching(path, 0.5)
        left_at = anyio.current_time()
        path.servers["s0a"].draining = True
        path.servers["s0a"].hides_draining = True
        outcomes = await keep_searching(path, 25)
        last = max(at for at, _ in path.servers["s0a"].arrivals)
        assert last < left_at + MAX_DRAIN_DETECTION_SECONDS
        assert all(isinstance(item, Answered) for item in outcomes)

    run_path(scenario)


def test_replica_that_stopped_draining_is_used_again() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        server = path.servers["s0a"]
        server.draining = True
        await keep_searching(path, 0.2)
        server.draining = False
        await anyio.sleep(90)
        before = len(server.runs)
        await keep_searching(path, 2)
        assert len(server.runs) > before

    run_path(scenario)


def test_queued_requests_move_away_from_a_leaving_replica() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_depots()
        await path.start()
        for server in path.servers.values():
            server.service_seconds = 1.0
            server.slots = 8
        outcomes: list[Outcome] = []

        async def ask() -> None:
            outcomes.append(await path.call("book", deadline_ms=9_000))

        async with anyio.create_task_group() as group:
            for _ in range(30):
                group.start_soon(ask)
            await anyio.sleep(0.1)
            left_at = anyio.current_time()
            path.mark_leaving("da")
        assert all(isinstance(item, Answered) for item in outcomes)
        last = max(at for at, _ in path.servers["da"].arrivals)
        assert last < left_at + 0.1
        assert sum(len(item.runs) for item in path.servers.values()) == 30

    run_path(scenario)


def test_link_of_a_removed_replica_closes_after_its_last_request() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add("d0", "depots", service_seconds=1.0)
        await path.start()
        found: list[Outcome] = []

        async def ask() -> None:
            found.append(await path.call("book", deadline_ms=3_000))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await anyio.sleep(0.1)
            path.listed.clear()
            path.publish()
            await anyio.sleep(0.1)
            assert len(path.servers["d0"].channels) == 1
        await anyio.sleep(0.3)
        assert path.servers["d0"].channels == set()
        return found[0]

    assert isinstance(run_path(scenario), Answered)


def test_unresponsive_link_of_a_removed_replica_is_closed() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add("d0", "depots", service_seconds=1.0)
        path.add("d1", "depots")
        await path.start()
        async with anyio.create_task_group() as group:
            for _ in range(6):
                group.start_soon(path.call, "look")
            await anyio.sleep(0.1)
            path.servers["d0"].stop_responding()
            path.servers["d0"].service_seconds = 1_000
            del path.listed["d0"]
            path.publish()
        await anyio.sleep(1)
        assert path.servers["d0"].channels == set()

    run_path(scenario)


def test_cold_replica_is_ramped_up_slowly() -> None:
    async def scenario(path: RequestPath) -> tuple[int, int]:
        path.add_shards()
        await path.start()
        await keep_searching(path, 0.2)
        cold = path.add("s0c", "guests", refuses_connections=True, holdings=[[1, 0, 4]])
        path.publish()
        await anyio.sleep(20)
        cold.refuses_connections = False
        await anyio.sleep(2.5)
        before = len(cold.runs)
        await keep_searching(path, 2)
        early = len(cold.runs) - before
        await anyio.sleep(10)
        before = len(cold.runs)
        await keep_searching(path, 2)
        return early, len(cold.runs) - before

    early, late = run_path(scenario)
    assert early < 0.6 * late, (early, late)


def test_searches_succeed_while_the_fleet_size_changes() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()

        async def change(instances: int) -> None:
            document: EnvironmentDocument = evolve(
                path.document, fleet=FleetSpec(entry_instances=instances)
            )
            path.backends.post(DocumentChanged(document=document))
            await anyio.sleep(0)
            outcomes = await keep_searching(path, 0.5)
            assert all(isinstance(item, Answered) for item in outcomes)
            await anyio.sleep(CONNECT_DELAY_SECONDS + 0.5)
            share = 8 // instances
            for server in path.servers.values():
                assert len(server.channels) == share, (server.name, instances)

        await change(4)
        await change(1)
        await change(2)

    run_path(scenario)


def test_replica_without_its_shard_gets_no_more_searches() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        path.servers["s0a"].holdings = []
        path.servers["s0b"].holdings = []
        assert isinstance(await path.search(), Partial)
        before = sum(len(path.servers[name].arrivals) for name in ("s0a", "s0b"))
        outcome = await path.search()
        assert isinstance(outcome, Partial)
        assert outcome.coverage.missing[0].reason == "no_replica"
        after = sum(len(path.servers[name].arrivals) for name in ("s0a", "s0b"))
        assert after == before

    run_path(scenario)
