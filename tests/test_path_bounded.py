"""Tests that no state accumulates in long runs with faults."""

import anyio
from hypothesis import given, settings, strategies as st

from bronzebeam.outcomes import Answered
from bronzebeam.transport.instance_list import InstanceState
from tests.fixtures_path import RequestPath, run_path
from tests.fixtures_servers import Fault

HYPOTHESIS_SETTINGS = settings(
    derandomize=True, database=None, deadline=None, max_examples=6
)
CONNECTIONS_PER_SERVER = 4


async def inject_faults(path: RequestPath) -> None:
    """Inject faults into random backend servers."""
    rng = path.rng
    for number in range(25):
        await anyio.sleep(rng.uniform(0, 0.4))
        name = rng.choice(sorted(path.servers))
        server = path.servers[name]
        match rng.randrange(6):
            case 0:
                server.stop_responding()
            case 1:
                server.kill()
            case 2:
                server.refuses_connections = False
            case 3:
                server.draining = not server.draining
            case 4:
                path.listed.pop(name, None)
                path.publish()
            case 5:
                shard = int(name[1]) if name[0] == "s" else 0
                service = "guests" if name[0] == "s" else "depots"
                holdings = [[1, shard, 4]] if service == "guests" else []
                path.add(f"{name[:2]}n{number}", service, holdings=holdings)
                path.publish()


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 2**32))
def test_no_state_is_left_after_many_queries_with_faults(seed: int) -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        path.add_depots()
        await path.start()
        rng = path.rng
        faults = (*Fault, *[Fault.NONE] * 30)
        for server in path.servers.values():
            server.next_fault = lambda: rng.choice(faults)
            server.service_seconds = rng.choice((0.002, 0.02, 0.2))
        max_open = 0

        async def watch() -> None:
            nonlocal max_open
            while True:
                for server in path.servers.values():
                    max_open = max(max_open, len(server.channels))
                await anyio.sleep(0.01)

        async def ask(number: int) -> None:
            await anyio.sleep(rng.uniform(0, 5))
            with anyio.move_on_after(rng.choice((0.03, 1.0))):
                if number % 3:
                    await path.search(deadline_ms=rng.choice((20, 150, 600)))
                else:
                    await path.call(rng.choice(("book", "look")), deadline_ms=200)

        path.group.start_soon(watch)
        async with anyio.create_task_group() as group:
            group.start_soon(inject_faults, path)
            for number in range(120):
                group.start_soon(ask, number)
        await anyio.sleep(5)
        path.assert_idle()
        assert path.backends.draining_pool_count == 0
        assert 0 < max_open <= CONNECTIONS_PER_SERVER

    run_path(scenario, seed=seed)


def test_entry_recovers_after_all_backend_servers_failed_at_once() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        for index, server in enumerate(path.servers.values()):
            if index % 2:
                server.kill()
            else:
                server.stop_responding()
        for _ in range(20):
            await path.search(deadline_ms=100)
        for server in path.servers.values():
            server.refuses_connections = False
        await anyio.sleep(5)
        for _ in range(20):
            assert isinstance(await path.search(), Answered)
        states = {item.state for item in path.listed.values()}
        assert states == {InstanceState.LIVE}
        path.assert_idle()

    run_path(scenario)
