"""Tests of waiting and refusal where accounts compete, as callers see it."""

import asyncio
import random
from functools import partial
from typing import Any

from attrs import define, field

from bronzebeam.gateway.admission_groups import group_routes
from bronzebeam.gateway.competing_admission import _Group
from bronzebeam.gateway.router import Router
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.routes import Route, RouteTable
from tests.fixtures_gateway import (
    FAN_OUT_PATH,
    SETTLE_SECONDS,
    Cluster,
    Response,
    RunningGateway,
    encode_record,
    encode_request,
    make_route,
    run_scenario,
)

SHARDS = 4
WORK_SECONDS = 0.05
TARGET_SECONDS = 0.6
MAX_WAIT_SECONDS = 0.25 * TARGET_SECONDS
QUICK_PATH = "/quick/"
ACCOUNTS = [
    {"name": "urgent", "apiKeys": ["k-urgent"], "priority": 0},
    {"name": "usual", "apiKeys": ["k-usual"], "priority": 1},
    {"name": "other", "apiKeys": ["k-other"], "priority": 1},
]


async def start_cluster(
    cluster: Cluster, *, work_seconds: float = WORK_SECONDS, instances: int = 1
) -> RunningGateway:
    names = [f"shard-{index}" for index in range(SHARDS)]
    for name in names:
        for _ in range(2):
            cluster.add_replica(
                name, records=[encode_record(1)], work_seconds=work_seconds
            )
    fan_out: dict[str, Any] = {
        "fanoutServices": names,
        "topK": 3,
        "minShardFraction": 0.75,
        "targetLatencyMs": 1e3 * TARGET_SECONDS,
        "timeoutMs": 2_000,
    }
    cluster.configure(
        make_route("r-find", FAN_OUT_PATH, priority=1, **fan_out), tenants=ACCOUNTS
    )
    for number in range(instances):
        cluster.start_gateway(f"g-{number}")
    await asyncio.sleep(SETTLE_SECONDS)
    return cluster.gateways["g-0"]


def find_router(gateway: RunningGateway) -> Router:
    router = getattr(gateway.gateway._caller_server.handle, "__self__")  # noqa: B009
    assert isinstance(router, Router)
    return router


async def find_group(cluster: Cluster, gateway: RunningGateway) -> _Group:
    """Return the group of the searches, after one request."""
    await request(cluster, gateway, "warm-up")
    return find_router(gateway).competing_admission._groups["r-find"]


async def limit_to_one(cluster: Cluster, gateway: RunningGateway) -> _Group:
    """Let one search run at a time, and set the time that it is known to take."""
    group = await find_group(cluster, gateway)
    group.admission.limit.limit = 1.0
    group.admission.limit._fraction = 0.9
    return group


async def request(
    cluster: Cluster,
    gateway: RunningGateway,
    name: str,
    *,
    key: str = "k-usual",
    remaining_ms: float = 2_000.0,
) -> Response:
    response = await cluster.send_request(
        gateway,
        FAN_OUT_PATH,
        attempt_id=name,
        remaining_ms=remaining_ms,
        headers={"X-Bronzebeam-Key": key},
    )
    assert response is not None
    return response


def submit(cluster: Cluster, gateway: RunningGateway, name: str, **options: Any) -> Any:
    return asyncio.ensure_future(request(cluster, gateway, name, **options))


def check_not_run(cluster: Cluster, name: str, response: Response) -> None:
    assert response.status == 503
    assert 0.0 < float(response.headers["retry-after"]) <= 10.0
    assert cluster.run_count(name) == 0


def test_request_without_room_waits_and_starts_when_another_ends() -> None:
    # Guards against a request that is forgotten in the queue, or sent twice.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        group = await limit_to_one(cluster, gateway)
        first = submit(cluster, gateway, "first")
        await asyncio.sleep(0.01)
        second = submit(cluster, gateway, "second")
        await asyncio.sleep(0.02)
        assert group.admission.queue.waiting == 1
        assert cluster.run_count("second") == 0
        responses = await asyncio.gather(first, second)
        assert [item.status for item in responses] == [200, 200]
        assert responses[1].elapsed_seconds > WORK_SECONDS
        assert cluster.run_count("second") == SHARDS
        assert not group._waiting and group.admission.is_unused

    run_scenario(scenario)


def test_wait_ends_at_a_quarter_of_the_target_latency() -> None:
    # Guards against callers that learn of a refusal too late to come back in time.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        group = await limit_to_one(cluster, gateway)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.5
        first = submit(cluster, gateway, "first")
        await asyncio.sleep(0.01)
        response = await request(cluster, gateway, "second")
        assert response.elapsed_seconds <= MAX_WAIT_SECONDS + 0.01
        check_not_run(cluster, "second", response)
        [line] = [
            item for item in gateway.log_lines("request_ended") if "second" in item
        ]
        for part in (
            "cause=no_room_waited_too_long",
            "rank=0",
            "waited_ms=1",
            "capacity=1.0",
            "in_flight=1",
            "room_ms=",
            "account=usual",
        ):
            assert part in line, (part, line)
        assert "k-usual" not in "".join(gateway.written_lines)
        assert (await first).status == 200
        await asyncio.sleep(1.0)
        assert cluster.run_count("second") == 0 and not group._waiting

    run_scenario(scenario)


def test_request_that_cannot_be_answered_in_time_is_refused_at_once() -> None:
    # Guards against holding a request that has no chance until its caller gives up.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        group = await limit_to_one(cluster, gateway)
        group.admission.limit._mean_ms = 400.0
        first = submit(cluster, gateway, "first")
        await asyncio.sleep(0.01)
        response = await request(cluster, gateway, "second")
        assert response.elapsed_seconds < 0.01
        check_not_run(cluster, "second", response)
        # The time until there is room, which is nearer than the next second.
        assert 0.1 <= float(response.headers["retry-after"]) <= 0.7
        await first

    run_scenario(scenario)


def test_displaced_request_is_answered_at_once_and_only_once() -> None:
    # Guards against a full queue that holds back urgent requests, and against a
    # displaced request that is run although its caller was told that it was not.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        group = await limit_to_one(cluster, gateway)
        group.admission.limit._mean_ms = 1.0
        first = submit(cluster, gateway, "first")
        await asyncio.sleep(0.01)
        names = [f"usual-{number}" for number in range(8)]
        waiting = [submit(cluster, gateway, name) for name in names]
        await asyncio.sleep(0.005)
        assert group.admission.queue.waiting == 8
        urgent = submit(cluster, gateway, "urgent-1", key="k-urgent")
        await asyncio.sleep(0.01)
        refused = [
            (name, task.result()) for name, task in zip(names, waiting) if task.done()
        ]
        assert len(refused) == 1
        check_not_run(cluster, *refused[0])
        assert (await first).status == 200
        # It starts before all that came earlier.
        assert (await urgent).status == 200
        responses = await asyncio.gather(*waiting)
        started = sum(response.status == 200 for response in responses)
        assert started >= 1 and not group._waiting
        for name, response in zip(names, responses):
            if response.status == 503:
                check_not_run(cluster, name, response)
            else:
                assert cluster.run_count(name) == SHARDS
        [line] = [
            item
            for item in gateway.log_lines("request_ended")
            if "no_room_displaced" in item
        ]
        assert refused[0][0] in line

    run_scenario(scenario)


def test_caller_that_leaves_the_queue_is_not_served() -> None:
    # Guards against replicas that work for nobody, and a place that stays taken.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        group = await limit_to_one(cluster, gateway)
        first = submit(cluster, gateway, "first")
        await asyncio.sleep(0.01)
        caller = await cluster.connect(gateway)
        caller.send(
            encode_request(
                FAN_OUT_PATH,
                attempt_id="left",
                remaining_ms=2_000,
                headers={"X-Bronzebeam-Key": "k-usual"},
            )
        )
        await asyncio.sleep(0.01)
        assert group.admission.queue.waiting == 1
        caller.transport.close()
        await asyncio.sleep(0.005)
        assert group.admission.queue.waiting == 0 and not group._waiting
        third = submit(cluster, gateway, "third")
        assert (await first).status == 200
        assert (await third).status == 200
        assert cluster.run_count("left") == 0

    run_scenario(scenario)


def test_planned_stop_answers_what_waits() -> None:
    # Guards against requests that are cut off since no replica has them yet.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        await limit_to_one(cluster, gateway)
        gateway.stop()
        # The load balancer still routes callers here for some seconds.
        await asyncio.sleep(2.75)
        names = [f"stop-{number}" for number in range(4)]
        tasks = [submit(cluster, gateway, name) for name in names]
        async with asyncio.timeout(5.0):
            assert await gateway.task == 0
        for name, response in zip(names, await asyncio.gather(*tasks)):
            if response.status == 503:
                check_not_run(cluster, name, response)
            else:
                assert response.status == 200 and cluster.run_count(name) == SHARDS
        assert "cut_off=0" in gateway.log_lines("stop_ended")[0]

    run_scenario(scenario)


def test_configuration_change_loses_no_waiting_request() -> None:
    # Guards against a queue that is dropped with the configuration it belongs to.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        await limit_to_one(cluster, gateway)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.1
        first = submit(cluster, gateway, "first")
        await asyncio.sleep(0.01)
        second = submit(cluster, gateway, "second")
        await asyncio.sleep(0.01)
        names = [f"shard-{index}" for index in range(SHARDS - 1)]
        cluster.configure(
            make_route("r-more", FAN_OUT_PATH, fanoutServices=names, topK=3)
        )
        await asyncio.sleep(0.02)
        third = await request(cluster, gateway, "third")
        assert third.status == 200
        for response in (await first, await second):
            assert response.status == 200

    run_scenario(scenario)


@define(kw_only=True, eq=False)
class CompetingCallers:
    """Callers of accounts that come back once each time that they are refused."""

    cluster: Cluster
    answers: list[tuple[str, str, Response, float]] = field(factory=list)

    async def run(self, key: str, *, rate_per_second: float, seconds: float) -> None:
        rng = random.Random(key)
        calls: list[asyncio.Future[None]] = []
        loop = self.cluster.loop
        end_at = loop.time() + seconds
        while loop.time() < end_at:
            await asyncio.sleep(rng.expovariate(rate_per_second))
            name = f"{key}-{len(calls)}"
            calls.append(asyncio.ensure_future(self._call(key, name, rng)))
        await asyncio.gather(*calls)

    async def _call(self, key: str, name: str, rng: random.Random) -> None:
        started_at = self.cluster.loop.time()
        for attempt in range(2):
            elapsed = self.cluster.loop.time() - started_at
            gateway = rng.choice(list(self.cluster.gateways.values()))
            response = await request(
                self.cluster,
                gateway,
                f"{name}-{attempt}",
                key=key,
                remaining_ms=2_000 - 1e3 * elapsed,
            )
            elapsed = self.cluster.loop.time() - started_at
            self.answers.append((key, f"{name}-{attempt}", response, elapsed))
            if response.status != 503:
                return
            await asyncio.sleep(float(response.headers["retry-after"]))

    def served_share(self, key: str) -> float:
        asked = sum(item[0] == key and item[1].endswith("-0") for item in self.answers)
        served = sum(
            item[0] == key and item[2].status == 200 and item[3] <= TARGET_SECONDS
            for item in self.answers
        )
        return served / asked


def test_overload_costs_the_less_urgent_accounts() -> None:
    # Guards against an overload that every account feels alike, or in which one is
    # starved, and against refused requests that were run.
    # At 12 instances each has a third of a slot.
    async def scenario(cluster: Cluster, instances: int) -> None:
        await start_cluster(cluster, instances=instances)
        capacity_per_second = 2 * 2 / WORK_SECONDS
        callers = CompetingCallers(cluster=cluster)
        await asyncio.gather(
            callers.run(
                "k-urgent", rate_per_second=0.5 * capacity_per_second, seconds=6
            ),
            callers.run(
                "k-usual", rate_per_second=0.7 * capacity_per_second, seconds=6
            ),
            callers.run(
                "k-other", rate_per_second=0.7 * capacity_per_second, seconds=6
            ),
        )
        shares = {
            key: callers.served_share(key) for key in ("k-urgent", "k-usual", "k-other")
        }
        assert shares["k-urgent"] >= max(shares["k-usual"], shares["k-other"]), shares
        mean = sum(shares.values()) / 3
        assert min(shares.values()) >= 0.25 * mean, shares
        usual = (shares["k-usual"] + shares["k-other"]) / 2
        assert min(shares["k-usual"], shares["k-other"]) >= 0.8 * usual, shares
        refused = [item for item in callers.answers if item[2].status == 503]
        assert refused
        for _, name, response, _ in refused:
            assert response.elapsed_seconds <= MAX_WAIT_SECONDS + 0.02
            check_not_run(cluster, name, response)

    for instances in (2, 12):
        run_scenario(partial(scenario, instances=instances))


def test_accounts_change_nothing_while_there_is_room() -> None:
    # Guards against waits and refusals without an overload.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster, instances=2)
        callers = CompetingCallers(cluster=cluster)
        rate = 0.25 * 2 * 2 / WORK_SECONDS
        await asyncio.gather(
            callers.run("k-urgent", rate_per_second=rate, seconds=4),
            callers.run("k-usual", rate_per_second=rate, seconds=4),
        )
        assert {item[2].status for item in callers.answers} == {200}
        assert callers.served_share("k-urgent") == callers.served_share("k-usual") == 1
        for gateway in cluster.gateways.values():
            assert not gateway.log_lines("overload_found")

    run_scenario(scenario)


def test_without_accounts_nothing_waits() -> None:
    # Guards against a queue, or other refusals, where no accounts are configured.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        names = [f"shard-{index}" for index in range(SHARDS)]
        cluster.configure(
            make_route("r-find", FAN_OUT_PATH, fanoutServices=names, topK=3)
        )
        await asyncio.sleep(1.0)
        tasks = [submit(cluster, gateway, f"a-{number}") for number in range(60)]
        responses = await asyncio.gather(*tasks)
        refused = [item for item in responses if item.status == 503]
        assert refused and all(item.elapsed_seconds < 0.01 for item in refused)
        router = find_router(gateway)
        assert not router.competing_admission._groups

    run_scenario(scenario)


def test_routes_that_share_a_service_are_one_group() -> None:
    # Guards against classes that compete for the same slots in separate queues.
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

    table = RouteTable(
        version=1,
        routes=(
            build_route("a", 1, "s"),
            build_route("b", 2, "t"),
            build_route("c", 3, "u"),
            build_route("d", 0, "s", "t"),
        ),
        services={},
        accounts=(Account(name="x", priority=0), Account(name="y")),
    )
    groups = {group.routes: group for group in group_routes(table)}
    assert groups.keys() == {frozenset("abd"), frozenset("c")}
    # The account decides first, then the route; the most urgent comes first.
    urgencies = ((0, 0), (0, 1), (0, 2), (1, 1), (2, 2))
    assert groups[frozenset("abd")].urgencies == urgencies
