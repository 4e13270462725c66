"""Tests that calls run at most once and that `not_run` answers are correct."""

from typing import Any

import anyio
from hypothesis import given, settings, strategies as st

from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown
from tests.fixtures_path import RequestPath, run_path
from tests.fixtures_servers import Fault

HYPOTHESIS_SETTINGS = settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)
UNKNOWN_FAULTS = {
    Fault.LOST_BEFORE_RUN: "connection_lost",
    Fault.LOST_AFTER_RUN: "connection_lost",
    Fault.HANG_BEFORE_RUN: "timeout",
    Fault.HANG_AFTER_RUN: "timeout",
    Fault.TRUNCATED: "truncated_reply",
    Fault.SWAPPED: "wrong_reply",
    Fault.SERVER_ERROR: "backend_error",
}


def runs_of(path: RequestPath, query: Any) -> int:
    runs = [run for server in path.servers.values() for run in server.runs]
    return sum(run[1] == query for run in runs)


def arrivals(path: RequestPath) -> int:
    return sum(len(server.arrivals) for server in path.servers.values())


def test_booking_that_may_have_run_is_not_resent() -> None:
    async def scenario(path: RequestPath, fault: Fault) -> Outcome:
        path.add_depots()
        await path.start()
        for _ in range(100):
            await path.call("look")
        before = arrivals(path)
        for server in path.servers.values():
            server.next_fault = lambda: fault
        outcome = await path.call("book", {"chair": 1})
        await anyio.sleep(5)
        assert arrivals(path) == before + 1
        path.assert_idle()
        return outcome

    for fault, reason in UNKNOWN_FAULTS.items():
        outcome = run_path(lambda path: scenario(path, fault))
        assert isinstance(outcome, OutcomeUnknown), (fault, outcome)
        assert outcome.reason == reason


def test_booking_is_retried_on_another_replica_after_a_refusal() -> None:
    async def scenario(path: RequestPath, draining: bool) -> None:
        path.add_depots()
        await path.start()
        for _ in range(300):
            await path.call("look")
        for name in ("da", "db"):
            path.servers[name].draining = draining
            path.servers[name].next_fault = lambda: Fault.SHED
        for chair in range(4):
            outcome = await path.call("book", {"chair": chair})
            assert isinstance(outcome, Answered), outcome
            assert runs_of(path, {"chair": chair}) == 1
            assert outcome.result["ran_by"] == "dc"

    for draining in (False, True):
        run_path(lambda path: scenario(path, draining))


def test_queued_booking_times_out_without_being_sent() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add("d0", "depots", service_seconds=2.0, slots=50)
        await path.start()
        for _ in range(4):
            path.group.start_soon(path.call, "look")
        await anyio.sleep(0.1)
        outcome = await path.call("book", {"chair": 1})
        await anyio.sleep(5)
        assert runs_of(path, {"chair": 1}) == 0
        path.assert_idle()
        return outcome

    outcome = run_path(scenario)
    assert isinstance(outcome, NotRun) and outcome.reason == "timeout"


def test_idle_connection_is_probed_before_a_booking() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_depots()
        await path.start()
        await anyio.sleep(3)
        for server in path.servers.values():
            for channel in list(server.channels)[:3]:
                channel.disconnect()
        outcomes = [await path.call("book", {"chair": chair}) for chair in range(6)]
        unknown = [item for item in outcomes if isinstance(item, OutcomeUnknown)]
        assert unknown == []
        answered = sum(isinstance(item, Answered) for item in outcomes)
        ran = sum(runs_of(path, {"chair": chair}) for chair in range(6))
        assert answered == ran

    for seed in range(10):
        run_path(scenario, seed=seed)


def test_idempotent_call_is_retried() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_depots()
        await path.start()
        for _ in range(100):
            await path.call("look")
        for name in ("da", "db"):
            path.servers[name].next_fault = lambda: Fault.LOST_AFTER_RUN
        return await path.call("look", {"chair": 1})

    for seed in range(5):
        assert isinstance(run_path(scenario, seed=seed), Answered)


def test_call_without_replicas_is_not_run() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()
        return await path.call("book")

    outcome = run_path(scenario)
    assert isinstance(outcome, NotRun) and outcome.reason == "no_replica"


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 2**32))
def test_bookings_run_at_most_once_and_not_run_answers_are_correct(seed: int) -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_depots()
        await path.start()
        rng = path.rng
        faults = (*Fault, *[Fault.NONE] * 15)
        for server in path.servers.values():
            server.next_fault = lambda: rng.choice(faults)
            server.service_seconds = rng.choice((0.002, 0.05, 0.3))

        async def inject_faults() -> None:
            for _ in range(10):
                await anyio.sleep(rng.uniform(0, 0.4))
                server = rng.choice(list(path.servers.values()))
                match rng.randrange(5):
                    case 0:
                        server.stop_responding()
                    case 1:
                        server.kill()
                    case 2:
                        server.refuses_connections = False
                    case 3:
                        server.draining = not server.draining
                    case 4:
                        path.mark_leaving(server.name)

        outcomes: dict[int, Outcome] = {}

        async def book(chair: int) -> None:
            await anyio.sleep(rng.uniform(0, 4))
            query = {"chair": chair}
            outcomes[chair] = await path.call("book", query, deadline_ms=400)

        async with anyio.create_task_group() as group:
            group.start_soon(inject_faults)
            for chair in range(40):
                group.start_soon(book, chair)
        await anyio.sleep(5)
        for chair, outcome in outcomes.items():
            ran = runs_of(path, {"chair": chair})
            assert ran <= 1, (chair, outcome)
            if isinstance(outcome, Answered):
                assert ran == 1 and outcome.result["echo"] == {"chair": chair}
            else:
                assert isinstance(outcome, OutcomeUnknown) or ran == 0, outcome
        assert len(outcomes) == 40
        path.assert_idle()

    run_path(scenario, seed=seed)
