"""Tests of requests that crash backend servers, on the complete request path."""

import random

import anyio
import trio

from bronzebeam.clock import SystemClock
from bronzebeam.controllers.backends import BackendController
from bronzebeam.controllers.quarantine import QuarantineController, QuarantineTopic
from bronzebeam.controllers.service_budgets import ServiceBudgets
from bronzebeam.filters.call import CallHandler
from bronzebeam.filters.chain import CallerRequest, Handler, build_chain
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.filters.quarantine import QuarantineFilter
from bronzebeam.filters.search import SearchHandler
from bronzebeam.outcomes import Answered, Outcome, Refused
from bronzebeam.reasons import Reason
from tests.fixtures_path import RequestPath, run_path

CRASHING_QUERY = {"crash": True}
SHARDS = 4
WALL_START_SECONDS = 1_000_000_000.0


class VirtualClock(SystemClock):
    """Wall time that advances with virtual time."""

    def wall_seconds(self) -> float:
        return WALL_START_SECONDS + trio.current_time()


async def _start(path: RequestPath) -> tuple[Handler, QuarantineController]:
    """Start `path` with a quarantine filter; return the chain and the controller."""
    clock = VirtualClock()
    quarantine = QuarantineController(clock=clock)
    path.backends = BackendController(
        clock=clock, channels=path, observers=(quarantine.post,)
    )
    dispatcher = Dispatcher(
        directory=path.backends,
        extra_load=ServiceBudgets(),
        quarantine=quarantine,
        clock=clock,
        rng=random.Random(1),
        failure_domain="a",
    )
    search = SearchHandler(dispatcher=dispatcher)
    call = CallHandler(dispatcher=dispatcher)

    async def last(request: CallerRequest) -> Outcome:
        handler = search.handle if request.operation is None else call.handle
        return await handler(request)

    path.group.start_soon(quarantine.run)
    await path.start()
    guard = QuarantineFilter(quarantine=quarantine, clock=clock)
    return build_chain((guard,), last), quarantine


def _lost(path: RequestPath) -> list[str]:
    return [name for name, server in path.servers.items() if server.refuses_connections]


async def _ask(chain: Handler, request: CallerRequest) -> None:
    await chain(request)


def _is_quarantined(outcome: Outcome) -> bool:
    return isinstance(outcome, Refused) and outcome.reason == Reason.QUARANTINED


async def _warm(path: RequestPath, chain: Handler) -> None:
    for number in range(50):
        await chain(path.request({"warm": number}))


def test_crashing_search_loses_one_replica_beyond_its_first_fan_out() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards(count=SHARDS)
        chain, _ = await _start(path)
        await _warm(path, chain)
        outcomes = [await chain(path.request(CRASHING_QUERY)) for _ in range(5)]
        assert len(_lost(path)) <= SHARDS + 1, _lost(path)
        last = outcomes[-1]
        assert isinstance(last, Refused) and _is_quarantined(last), outcomes
        assert last.retry_after_ms is not None and last.retry_after_ms > 0

    run_path(scenario)


def test_crashing_call_loses_two_replicas_and_is_refused() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_depots()
        chain, _ = await _start(path)
        for number in range(50):
            await chain(path.request({"warm": number}, operation="look"))
        outcomes = [
            await chain(path.request(CRASHING_QUERY, operation="look"))
            for _ in range(4)
        ]
        assert len(_lost(path)) == 2
        assert _is_quarantined(outcomes[-1])

    run_path(scenario)


def test_requests_in_flight_with_a_crashing_one_are_never_refused() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards(count=SHARDS)
        chain, quarantine = await _start(path)
        await _warm(path, chain)
        harmless_queries = [{"q": number} for number in range(6)]
        outcomes: list[Outcome] = []

        async def ask(query: dict[str, int]) -> None:
            outcomes.append(await chain(path.request(query)))

        async with anyio.create_task_group() as group:
            for query in harmless_queries:
                group.start_soon(ask, query)
            group.start_soon(_ask, chain, path.request(CRASHING_QUERY))
        await chain(path.request(CRASHING_QUERY))
        for server in path.servers.values():
            server.refuses_connections = False
        await anyio.sleep(5)
        assert not any(map(_is_quarantined, outcomes)), outcomes
        for query in harmless_queries:
            outcome = await chain(path.request(query))
            assert isinstance(outcome, Answered), outcome
        assert _is_quarantined(await chain(path.request(CRASHING_QUERY)))

    run_path(scenario)


def test_unrelated_replica_losses_quarantine_nothing() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards(count=SHARDS)
        chain, _ = await _start(path)
        await _warm(path, chain)
        for number in range(SHARDS):
            async with anyio.create_task_group() as group:
                group.start_soon(_ask, chain, path.request({"steady": True}))
                await anyio.sleep(0.001)
                path.servers[f"s{number}a"].kill()
            await anyio.sleep(1)
            path.servers[f"s{number}a"].refuses_connections = False
            outcome = await chain(path.request({"steady": True}))
            assert isinstance(outcome, Answered), outcome

    run_path(scenario)


def test_quarantine_is_shared_with_another_entry_and_released() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards(count=SHARDS)
        chain, quarantine = await _start(path)
        await _warm(path, chain)
        for _ in range(2):
            await chain(path.request(CRASHING_QUERY))
        other = QuarantineController(clock=VirtualClock())
        path.group.start_soon(other.run)
        topic = QuarantineTopic(controller=other)
        payload = QuarantineTopic(controller=quarantine).delta(topic.digest())
        assert topic.merge(payload)
        await other.wait_until_losses_applied()
        fingerprint = path.request(CRASHING_QUERY).fingerprint
        release_ms = other.remaining_quarantine_ms(fingerprint, anyio.current_time())
        assert release_ms is not None
        assert not topic.merge(payload)
        await anyio.sleep(release_ms / 1000 + 1)
        assert other.remaining_quarantine_ms(fingerprint, anyio.current_time()) is None
        assert other.is_suspect(fingerprint, anyio.current_time())

    run_path(scenario)
