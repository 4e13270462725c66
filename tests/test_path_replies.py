"""Tests of mismatched, late, truncated and abandoned replies."""

from typing import Any

import anyio
from hypothesis import given, settings, strategies as st

from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Partial
from bronzebeam.transport.connection_worker import LATE_REPLY_TIMEOUT_SECONDS
from tests.fixtures_path import RequestPath, run_path
from tests.fixtures_servers import Fault

HYPOTHESIS_SETTINGS = settings(
    derandomize=True, database=None, deadline=None, max_examples=40
)
REPLY_FAULTS = (
    Fault.NONE,
    Fault.SHED,
    Fault.LOST_BEFORE_RUN,
    Fault.LOST_AFTER_RUN,
    Fault.HANG_AFTER_RUN,
    Fault.TRUNCATED,
    Fault.SWAPPED,
    Fault.DUPLICATED,
    Fault.OTHER_VERSION,
    Fault.OTHER_COUNT,
    Fault.SERVER_ERROR,
)


def assert_own_hits(outcome: Outcome, query: Any) -> None:
    """Check that every hit belongs to `query` and to an included shard."""
    if not isinstance(outcome, (Answered, Partial)):
        return
    coverage = outcome.coverage
    assert coverage is not None
    assert all(hit["query"] == query for hit in outcome.result)
    assert all(hit["version"] == coverage.index_version for hit in outcome.result)
    assert sorted(hit["shard"] for hit in outcome.result) == list(coverage.included)
    missing = [item.shard for item in coverage.missing]
    everything = sorted([*coverage.included, *missing])
    assert everything == list(range(coverage.shard_count))


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 2**32))
def test_each_caller_gets_its_own_complete_answer(seed: int) -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        for server in path.servers.values():
            server.service_seconds = path.rng.choice((0.002, 0.01, 0.4))
            server.next_fault = lambda: path.rng.choice(
                (*REPLY_FAULTS, *[Fault.NONE] * 20)
            )

        async def ask(number: int) -> None:
            await anyio.sleep(path.rng.random())
            with anyio.move_on_after(path.rng.choice((0.02, 1))):
                query = {"q": number}
                outcome = await path.search(query, deadline_ms=150)
                assert_own_hits(outcome, query)

        async with anyio.create_task_group() as group:
            for number in range(20):
                group.start_soon(ask, number)
        await anyio.sleep(1)
        path.assert_idle()

    run_path(scenario, seed=seed)


def test_connection_with_a_mismatched_reply_is_closed() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        server = path.servers["s0a"]
        server.next_fault = lambda: Fault.SWAPPED
        before = set(server.channels)
        while server.runs == []:
            assert_own_hits(await path.search({"q": 1}), {"q": 1})
        assert len(before - server.channels) == len(server.runs)

    run_path(scenario)


def test_duplicated_reply_does_not_answer_a_later_request() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add("d0", "depots", next_fault=lambda: Fault.DUPLICATED)
        await path.start()
        unknown = 0
        for chair in range(20):
            outcome = await path.call("book", {"chair": chair})
            if isinstance(outcome, Answered):
                assert outcome.result["echo"] == {"chair": chair}
                continue
            assert isinstance(outcome, OutcomeUnknown), outcome
            assert outcome.reason == "wrong_reply"
            unknown += 1
            await anyio.sleep(0.2)
        assert 0 < unknown < 20

    run_path(scenario)


def test_late_reply_is_never_read_by_the_next_request() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        for server in path.servers.values():
            server.service_seconds = 0.2
        for _ in range(10):
            with anyio.move_on_after(0.03):
                await path.search({"q": "left"}, deadline_ms=2_000)
        for server in path.servers.values():
            server.service_seconds = 0.002
        outcome = await path.search({"q": "mine"}, deadline_ms=2_000)
        assert isinstance(outcome, Answered)
        assert_own_hits(outcome, {"q": "mine"})

    run_path(scenario)


def test_abandoned_attempt_frees_its_connection_in_bounded_time() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        for server in path.servers.values():
            server.service_seconds = 60
        with anyio.move_on_after(0.05):
            await path.search(deadline_ms=10_000)
        await anyio.sleep(LATE_REPLY_TIMEOUT_SECONDS + 0.3)
        path.assert_idle()

    run_path(scenario)


def test_queued_attempts_of_a_disconnected_caller_are_not_sent() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add("d0", "depots", service_seconds=0.2, slots=50)
        await path.start()
        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(path.call, "look", {"q": "first"})
            await anyio.sleep(0.01)
            with anyio.move_on_after(0.05):
                await path.call("look", {"q": "left"})
        await anyio.sleep(1)
        asked = [query["q"] for _, query in path.servers["d0"].runs]
        assert asked == ["first"] * 4
        path.assert_idle()

    run_path(scenario)


def test_unknown_refusal_reason_is_a_backend_error() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_depots()
        await path.start()
        for server in path.servers.values():
            server.not_run_reason = "out-of-paper"
            server.next_fault = lambda: Fault.SHED
        return await path.call("book")

    outcome = run_path(scenario)
    assert isinstance(outcome, NotRun) and outcome.reason == "backend_error"


def test_server_error_is_not_an_answer() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_depots()
        await path.start()
        for server in path.servers.values():
            server.next_fault = lambda: Fault.SERVER_ERROR
        return await path.call("look")

    assert isinstance(run_path(scenario), OutcomeUnknown)
