"""Tests of admission control under simulated overload, as seen by callers."""

import asyncio
import random
import zlib
from collections import Counter
from typing import Any

from attrs import define, field

from bronzebeam.gateway.admission import Admission
from bronzebeam.routing.overload import MIN_LIMIT, START_LIMIT, AdaptiveLimit
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.telemetry.decisions import DecisionLog
from tests.fixtures_gateway import (
    FAN_OUT_PATH,
    SETTLE_SECONDS,
    Cluster,
    Response,
    encode_record,
    make_route,
    replicas_of_service,
    run_scenario,
)

SHARDS = 4
WORK_SECONDS = 0.02
TARGET_SECONDS = 0.1
CAPACITY_PER_SECOND = 2 * 2 / WORK_SECONDS
QUICK_PATH = "/quick/"


@define(kw_only=True, eq=False)
class LoadGenerator:
    """Simulates callers that send one request each, and retry once if refused."""

    cluster: Cluster
    answers: list[tuple[str, str, Response, float]] = field(factory=list)
    _number: int = 0

    async def run(
        self, *, rate_per_second: float, seconds: float, path: str = FAN_OUT_PATH
    ) -> None:
        rng = random.Random(5)
        callers = []
        end_at = self.cluster.loop.time() + seconds
        while self.cluster.loop.time() < end_at:
            await asyncio.sleep(rng.expovariate(rate_per_second))
            self._number += 1
            callers.append(
                asyncio.ensure_future(self._call(path, f"{path}-{self._number}"))
            )
        await asyncio.gather(*callers)

    async def _call(self, path: str, name: str) -> None:
        gateways = list(self.cluster.gateways.values())
        started_at = self.cluster.loop.time()
        for attempt in range(2):
            remaining_ms = 800 - 1e3 * (self.cluster.loop.time() - started_at)
            attempt_id = f"{name}-{attempt}"
            answer = await self.cluster.send_request(
                gateways[zlib.crc32(attempt_id.encode()) % len(gateways)],
                path,
                attempt_id=attempt_id,
                remaining_ms=remaining_ms,
            )
            assert answer is not None
            elapsed = self.cluster.loop.time() - started_at
            self.answers.append((path, attempt_id, answer, elapsed))
            if answer.status != 503:
                return
            await asyncio.sleep(float(answer.headers["retry-after"]))

    def count_in_time(self, path: str = FAN_OUT_PATH) -> int:
        return sum(
            answer.status == 200 and answer.elapsed_seconds <= TARGET_SECONDS
            for asked, _, answer, _ in self.answers
            if asked == path
        )


async def start_cluster(cluster: Cluster, *, instances: int = 2) -> None:
    names = [f"shard-{index}" for index in range(SHARDS)]
    for name in names:
        for _ in range(2):
            cluster.add_replica(
                name, records=[encode_record(1)], work_seconds=WORK_SECONDS
            )
    fan_out: dict[str, Any] = {
        "fanoutServices": names,
        "topK": 3,
        "minShardFraction": 0.75,
        "targetLatencyMs": 1e3 * TARGET_SECONDS,
    }
    cluster.configure(
        make_route("r-find", FAN_OUT_PATH, priority=1, **fan_out),
        make_route("r-quick", QUICK_PATH, priority=2, **fan_out),
    )
    for number in range(instances):
        cluster.start_gateway(f"g-{number}")
    await asyncio.sleep(SETTLE_SECONDS)


def test_excess_load_is_refused_at_once_and_the_rest_served_in_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        load = LoadGenerator(cluster=cluster)
        seconds = 4.0
        await load.run(rate_per_second=1.5 * CAPACITY_PER_SECOND, seconds=seconds)
        assert load.count_in_time() >= 0.6 * CAPACITY_PER_SECOND * seconds
        refused = [item for item in load.answers if item[2].status == 503]
        assert refused
        for _, attempt_id, answer, _ in refused:
            assert answer.elapsed_seconds < 0.01
            assert cluster.run_count(attempt_id) == 0

    run_scenario(scenario)


def test_load_within_capacity_is_not_refused() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        load = LoadGenerator(cluster=cluster)
        await load.run(rate_per_second=0.5 * CAPACITY_PER_SECOND, seconds=4.0)
        statuses = Counter(answer.status for _, _, answer, _ in load.answers)
        assert set(statuses) == {200}
        assert load.count_in_time() >= 0.98 * len(load.answers)

    run_scenario(scenario)


def test_service_recovers_soon_after_an_overload() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        load = LoadGenerator(cluster=cluster)
        await load.run(rate_per_second=2.0 * CAPACITY_PER_SECOND, seconds=2.0)
        await load.run(rate_per_second=0.4 * CAPACITY_PER_SECOND, seconds=1.0)
        load.answers.clear()
        await load.run(rate_per_second=0.4 * CAPACITY_PER_SECOND, seconds=2.0)
        assert load.count_in_time() >= 0.97 * len(load.answers)

    run_scenario(scenario)


def test_higher_priority_requests_are_served_at_least_as_often() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        load = LoadGenerator(cluster=cluster)
        rate = 0.75 * CAPACITY_PER_SECOND
        await asyncio.gather(
            load.run(rate_per_second=rate, seconds=4.0, path=FAN_OUT_PATH),
            load.run(rate_per_second=rate, seconds=4.0, path=QUICK_PATH),
        )
        served: Counter[str] = Counter()
        asked: Counter[str] = Counter()
        for path, attempt_id, answer, _ in load.answers:
            asked[path] += attempt_id.endswith("-0")
            served[path] += answer.status == 200
        urgent = served[FAN_OUT_PATH] / asked[FAN_OUT_PATH]
        assert urgent >= served[QUICK_PATH] / asked[QUICK_PATH] - 0.05

    run_scenario(scenario)


def test_single_slow_shard_is_not_treated_as_overload() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.work_seconds = 8 * WORK_SECONDS
        load = LoadGenerator(cluster=cluster)
        await load.run(rate_per_second=0.3 * CAPACITY_PER_SECOND, seconds=4.0)
        assert {answer.status for _, _, answer, _ in load.answers} == {200}
        assert load.count_in_time() >= 0.95 * len(load.answers)

    run_scenario(scenario)


def test_limit_falls_with_late_answers_and_recovers() -> None:
    limit = AdaptiveLimit()
    now = 0.0
    for _ in range(60):
        limit.enter()
    for _ in range(20):
        now += 0.2
        limit.observe(elapsed_ms=150.0, target_latency_ms=100.0, now_seconds=now)
    assert limit.limit < START_LIMIT
    for _ in range(60):
        limit.leave()
    for _ in range(100):
        now += 0.2
        limit.observe(elapsed_ms=150.0, target_latency_ms=100.0, now_seconds=now)
    assert limit.limit == MIN_LIMIT
    for _ in range(100):
        now += 0.02
        limit.observe(elapsed_ms=30.0, target_latency_ms=100.0, now_seconds=now)
    assert limit.limit >= START_LIMIT


def test_simultaneous_late_answers_lower_the_limit_once() -> None:
    limit = AdaptiveLimit()
    for _ in range(20):
        limit.enter()
    for number in range(5):
        limit.observe(
            elapsed_ms=150.0, target_latency_ms=100.0, now_seconds=10.0 + number / 1e3
        )
    lowered_limit = limit.limit
    assert lowered_limit < START_LIMIT
    for _ in range(10):
        limit.observe(elapsed_ms=150.0, target_latency_ms=100.0, now_seconds=10.05)
    assert limit.limit == lowered_limit


def test_few_late_answers_do_not_lower_the_limit() -> None:
    limit = AdaptiveLimit()
    limit.enter()
    for number in range(200):
        elapsed_ms = 150.0 if number % 8 == 0 else 40.0
        now = number * 0.1
        limit.observe(elapsed_ms=elapsed_ms, target_latency_ms=100.0, now_seconds=now)
    assert limit.limit >= START_LIMIT


def test_limit_is_higher_for_retries_and_urgent_requests() -> None:
    rng = random.Random(1)
    limit = AdaptiveLimit(limit=10.0, in_flight=9)
    assert limit.should_admit(rank=0, is_retry=True, rng=rng)
    assert not limit.should_admit(rank=1, is_retry=False, rng=rng)


def test_routes_are_ranked_among_routes_to_the_same_services() -> None:
    def build_route(name: str, priority: int, *shards: str) -> Route:
        return Route(
            name=name,
            host="h",
            path_prefix=f"/{name}/".encode(),
            idempotent=True,
            timeout_ms=800.0,
            target_latency_ms=90.0,
            max_attempts=2,
            priority=priority,
            shards=shards,
        )

    routes = (
        build_route("a", 5, "s", "t"),
        build_route("b", 2, "t", "s"),
        build_route("c", 9, "u"),
    )
    table = RouteTable(version=1, routes=routes, services={})
    log = DecisionLog(instance="g-1", write=lambda data: len(data))
    admission = Admission(rng=random.Random(1), log=log)
    for item in routes:
        assert admission.admit(table=table, route=item, is_retry=False) is not None
    assert admission._ranks == {"a": 1, "b": 0, "c": 0}
    shared = admission.limit_for(routes[0])
    assert shared is admission.limit_for(routes[1])
    assert shared is not None and shared.in_flight == 2
