"""Tests that each answer has a single index version while versions change."""

from typing import Any

import anyio
from hypothesis import given, settings, strategies as st

from bronzebeam.outcomes import Answered, Outcome, Partial, Refused
from tests.fixtures_path import RequestPath, run_path
from tests.fixtures_servers import Fault
from tests.test_path_replies import assert_own_hits

HYPOTHESIS_SETTINGS = settings(
    derandomize=True, database=None, deadline=None, max_examples=60
)


async def search_during(
    path: RequestPath, change: Any, *, after_seconds: float = 0.0, **options: Any
) -> Outcome:
    """Search while `change` is applied to the backend servers."""
    found: list[Outcome] = []

    async def ask() -> None:
        found.append(await path.search({"q": 1}, **options))

    async with anyio.create_task_group() as group:
        group.start_soon(ask)
        await anyio.sleep(after_seconds)
        change()
    assert_own_hits(found[0], {"q": 1})
    return found[0]


def test_version_swap_on_all_replicas_restarts_the_search() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()
        return await search_during(path, lambda: path.swap_version(version=2))

    outcome = run_path(scenario)
    assert isinstance(outcome, Answered) and outcome.coverage is not None
    assert outcome.coverage.index_version == 2


def test_version_swap_restarts_without_waiting_for_a_slow_shard() -> None:
    async def scenario(path: RequestPath) -> tuple[Outcome, float]:
        path.add_shards()
        await path.start()

        def change() -> None:
            path.swap_version(version=2)
            for name in ("s3a", "s3b"):
                path.servers[name].holdings = [[1, 3, 4], [2, 3, 4]]
                path.servers[name].service_seconds = 0.25

        await path.search()
        for name in ("s3a", "s3b"):
            path.servers[name].holdings = [[1, 3, 4], [2, 3, 4]]
        for _ in range(8):
            await path.search()
        began = anyio.current_time()
        outcome = await search_during(path, change, deadline_ms=600)
        return outcome, anyio.current_time() - began

    for seed in range(10):
        outcome, seconds = run_path(scenario, seed=seed)
        assert isinstance(outcome, Answered) and outcome.coverage is not None, outcome
        assert outcome.coverage.index_version == 2
        assert seconds < 0.35, seconds


def test_repartition_restarts_with_the_new_shard_map() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        for shard in (4, 5):
            for letter in "ab":
                path.add(f"s{shard}{letter}", "guests")
        await path.start()
        return await search_during(path, lambda: path.swap_version(version=2, count=6))

    outcome = run_path(scenario)
    assert isinstance(outcome, Answered), outcome
    assert outcome.coverage is not None
    assert outcome.coverage.index_version == 2
    assert outcome.coverage.included == (0, 1, 2, 3, 4, 5)


def test_repartitioned_index_is_fully_searched_once_known() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        for shard in (4, 5):
            for letter in "ab":
                path.add(f"s{shard}{letter}", "guests")
        await path.start()
        path.swap_version(version=2, count=6)
        await path.search()
        await anyio.sleep(12)
        return await path.search()

    outcome = run_path(scenario)
    assert isinstance(outcome, Answered) and outcome.coverage is not None
    assert outcome.coverage.included == (0, 1, 2, 3, 4, 5)


def test_search_is_complete_while_half_the_replicas_have_swapped() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        path.swap_version(version=2, names="b")
        for _ in range(5):
            outcome = await path.search()
            assert isinstance(outcome, Answered), outcome
            assert outcome.coverage is not None

    for seed in range(10):
        run_path(scenario, seed=seed)


def test_reply_with_another_version_or_shard_count_is_rejected() -> None:
    async def scenario(path: RequestPath, fault: Fault) -> Outcome:
        path.add_shards()
        await path.start()
        for name in ("s2a", "s2b"):
            path.servers[name].next_fault = lambda: fault
        return await path.search({"q": 1})

    for fault in (Fault.OTHER_VERSION, Fault.OTHER_COUNT):
        outcome = run_path(lambda path: scenario(path, fault))
        assert isinstance(outcome, Partial)
        assert outcome.coverage.included == (0, 1, 3)
        assert [item.reason for item in outcome.coverage.missing] == ["wrong_reply"]


def test_empty_shard_is_included_and_truncated_one_is_missing() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()
        for name in ("s2a", "s2b"):
            path.servers[name].next_fault = lambda: Fault.TRUNCATED
        return await path.search({"empty": [1]})

    outcome = run_path(scenario)
    assert isinstance(outcome, Partial)
    assert outcome.coverage.included == (0, 1, 3)
    assert outcome.coverage.missing[0].reason == "truncated_reply"
    assert sorted(hit["shard"] for hit in outcome.result) == [0, 3]


def test_shard_without_the_version_is_reported_missing() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()

        def change() -> None:
            for name in ("s1a", "s1b"):
                path.servers[name].holdings = [[2, 1, 4]]

        return await search_during(path, change)

    outcome = run_path(scenario)
    assert isinstance(outcome, Partial)
    assert outcome.coverage.index_version == 1
    assert outcome.coverage.included == (0, 2, 3)
    assert outcome.coverage.missing[0].reason == "version_gone"


def test_restart_that_times_out_keeps_the_better_result() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()

        def change() -> None:
            path.swap_version(version=2)
            for server in path.servers.values():
                server.service_seconds = 1.0

        for name in ("s0a", "s0b"):
            path.servers[name].slots = 1
            path.servers[name].admission_delay_seconds = 0.02
        return await search_during(path, change, after_seconds=0.01, deadline_ms=200)

    outcome = run_path(scenario)
    assert isinstance(outcome, Partial), outcome
    assert outcome.coverage.included == (1, 2, 3)


def test_search_that_ran_before_a_restart_is_not_reported_as_not_run() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()

        def change() -> None:
            path.swap_version(version=2)
            first = iter([Fault.NONE])
            for server in path.servers.values():
                server.next_fault = lambda: Fault.SHED
            for name in ("s0a", "s0b"):
                path.servers[name].next_fault = lambda: next(first, Fault.SHED)

        for server in path.servers.values():
            if server.name[1] != "0":
                server.next_fault = lambda: Fault.SERVER_ERROR
        for name in ("s0a", "s0b"):
            path.servers[name].admission_delay_seconds = 0.02
        return await search_during(path, change, after_seconds=0.01)

    outcome = run_path(scenario)
    assert isinstance(outcome, Refused) and outcome.ran, outcome


@HYPOTHESIS_SETTINGS
@given(st.integers(0, 2**32))
def test_random_swaps_never_mix_versions(seed: int) -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        for shard in (4, 5):
            for letter in "ab":
                path.add(f"s{shard}{letter}", "guests")
        await path.start()
        rng = path.rng

        async def swap_often() -> None:
            for version in range(2, 9):
                await anyio.sleep(rng.uniform(0, 0.04))
                count = rng.choice((4, 6))
                for name in sorted(path.servers):
                    if rng.random() < 0.3:
                        await anyio.sleep(rng.uniform(0, 0.005))
                    keep = path.servers[name].holdings if rng.random() < 0.5 else []
                    path.swap_version(version=version, count=count, names=name[-1])
                    path.servers[name].holdings += keep

        async def ask(number: int) -> None:
            await anyio.sleep(rng.uniform(0, 0.25))
            query = {"q": number}
            assert_own_hits(await path.search(query, deadline_ms=100), query)

        for server in path.servers.values():
            server.next_fault = lambda: rng.choice(
                (Fault.OTHER_VERSION, Fault.OTHER_COUNT, *[Fault.NONE] * 20)
            )
        async with anyio.create_task_group() as group:
            group.start_soon(swap_often)
            for number in range(20):
                group.start_soon(ask, number)
        await anyio.sleep(1)
        path.assert_idle()

    run_path(scenario, seed=seed)
