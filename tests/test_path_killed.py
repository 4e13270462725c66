"""Tests of suddenly lost replicas and of reconnecting to them."""

import anyio

from bronzebeam.documents.model import CoverageSpec
from bronzebeam.outcomes import Answered, Outcome, Partial, Refused
from bronzebeam.transport.connection_worker import MAX_RECONNECT_DELAY_SECONDS
from tests.fixtures_path import RequestPath, make_document, run_path


def test_searches_are_complete_a_second_after_each_shard_lost_a_replica() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        await path.warm_up()
        outcomes: list[tuple[float, Outcome]] = []

        async def ask() -> None:
            began = anyio.current_time()
            outcomes.append((began, await path.search()))

        killed_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            for number in range(300):
                if number == 3:
                    killed_at = anyio.current_time()
                    for shard in range(4):
                        path.servers[f"s{shard}a"].kill()
                group.start_soon(ask)
                await anyio.sleep(0.01)
        late = [item for began, item in outcomes if began > killed_at + 1]
        assert len(late) > 100
        assert all(isinstance(item, Answered) for item in late)
        path.assert_idle()

    for seed in range(5):
        run_path(scenario, seed=seed)


def search_without_shard_two(minimum_share: float) -> Outcome:
    coverage = CoverageSpec(minimum_share=minimum_share)

    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()
        for name in ("s2a", "s2b"):
            path.servers[name].kill()
        for _ in range(10):
            await path.search()
        await anyio.sleep(1)
        began = anyio.current_time()
        outcome = await path.search()
        assert anyio.current_time() - began < 0.1
        return outcome

    return run_path(scenario, document=make_document(coverage=coverage))


def test_lost_shard_is_reported_missing_with_its_reason() -> None:
    outcome = search_without_shard_two(0.5)
    assert isinstance(outcome, Partial)
    assert outcome.coverage.included == (0, 1, 3)
    missing = [(item.shard, item.reason) for item in outcome.coverage.missing]
    assert missing == [(2, "no_replica")]


def test_search_that_requires_full_coverage_is_refused_without_a_shard() -> None:
    outcome = search_without_shard_two(1.0)
    assert isinstance(outcome, Refused)
    assert outcome.reason == "below_minimum_coverage" and not outcome.ran
    assert outcome.coverage is not None
    missing = [item.reason for item in outcome.coverage.missing]
    assert missing[2] == "no_replica" and len(missing) == 4


def test_reconnecting_backs_off_and_recovers() -> None:
    async def scenario(path: RequestPath) -> None:
        path.add_shards()
        await path.start()
        server = path.servers["s0a"]
        server.kill()
        await path.search()
        await anyio.sleep(60)
        share = path.backends.pool("s0a").size  # type: ignore[union-attr]
        recent = [at for at in server.connects if at > anyio.current_time() - 20]
        assert 0 < len(recent) <= share * (20 / MAX_RECONNECT_DELAY_SECONDS + 1)
        server.refuses_connections = False
        await anyio.sleep(MAX_RECONNECT_DELAY_SECONDS + 0.5)
        assert len(server.channels) == share
        before = len(server.runs)
        for _ in range(30):
            assert isinstance(await path.search(), Answered)
        assert len(server.runs) > before

    run_path(scenario)


def test_search_quarantined_while_running_is_refused() -> None:
    async def scenario(path: RequestPath) -> Outcome:
        path.add_shards()
        await path.start()
        query = {"crash": True}
        path.quarantine.quarantined.add(path.request(query).fingerprint)
        return await path.search(query)

    outcome = run_path(scenario)
    assert isinstance(outcome, Refused)
    assert outcome.reason == "quarantined" and outcome.ran
