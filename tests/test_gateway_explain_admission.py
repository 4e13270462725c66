"""Tests of explanations of admission where accounts compete, in virtual time."""

import asyncio
import random
from typing import Any

from bronzebeam.routing.shared_admission import Demand, SharedAdmission
from tests.fixtures_gateway import (
    FAN_OUT_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    make_route,
    run_scenario,
)
from tests.test_gateway_admission import (
    ACCOUNTS,
    WORK_SECONDS,
    limit_to_one,
    request,
    start_cluster,
    submit,
)
from tests.test_gateway_explain import causes, explain


async def explain_room(
    cluster: Cluster, gateway: RunningGateway, account: str = "usual"
) -> tuple[dict[str, Any], list[tuple[int, str]]]:
    answer = await explain(cluster, gateway, FAN_OUT_PATH, account=account)
    return answer["admission"], causes(answer)


def test_request_that_would_wait_is_explained() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        # Before the first request there is no queue yet.
        room, refused = await explain_room(cluster, gateway)
        assert room["decision"] == "starts" and refused == []
        group = await limit_to_one(cluster, gateway)
        room, refused = await explain_room(cluster, gateway)
        assert room["decision"] == "starts" and refused == []
        assert room["has_room"] and room["room"] == room["limit"] == 1.0
        assert (room["priority"], room["route_priority"]) == (1, 1)
        first = submit(cluster, gateway, "first")
        await asyncio.sleep(0.01)
        room, refused = await explain_room(cluster, gateway)
        assert room["decision"] == "waits" and refused == []
        assert not room["has_room"] and room["room"] < 0.5
        assert room["in_flight"] == 1 and room["waiting_count"] == 0
        second = submit(cluster, gateway, "second")
        await asyncio.sleep(0.01)
        assert group.admission.queue.waiting == 1
        room, _ = await explain_room(cluster, gateway, "urgent")
        assert room["waiting_count"] == 1 and room["priority"] == 0
        assert room["waiting"] == [{"priority": 1, "route_priority": 1, "count": 1}]
        responses = await asyncio.gather(first, second)
        assert [item.status for item in responses] == [200, 200]

    run_scenario(scenario)


def test_request_that_would_be_refused_is_explained() -> None:
    """Guards against an answer that differs from what the next request meets."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        await limit_to_one(cluster, gateway)
        tasks = []
        found = set()
        # All come before the first one ends.
        for number in range(9):
            room, refused = await explain_room(cluster, gateway, "other")
            task = submit(cluster, gateway, f"a-{number}", key="k-other")
            tasks.append((room, refused, task))
            await asyncio.sleep(0.002)
        for room, refused, task in tasks:
            response = await task
            found.add(room["decision"])
            if room["decision"] == "refused":
                [(status, cause)] = refused
                assert response.status == status == 503
                assert response.body == cause.encode() + b"\n"
                assert cause.startswith("no_room_") and room["retry_after_ms"] > 0
            else:
                assert refused == [] and room["retry_after_ms"] is None
                if room["decision"] == "starts":
                    assert response.elapsed_seconds < WORK_SECONDS + 0.02
        assert found == {"starts", "waits", "refused"}

    run_scenario(scenario)


def test_explanation_leaves_the_queue_as_it_is() -> None:
    """Guards against an account that counts as asking because operators do."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        group = await limit_to_one(cluster, gateway)
        tasks = [submit(cluster, gateway, f"a-{number}") for number in range(4)]
        await asyncio.sleep(0.01)
        admission = group.admission

        def snapshot() -> list[Any]:
            return [
                gateway.gateway.rng.getstate(),
                gateway.gateway.metrics.registry.render(now_seconds=0.0),
                describe_state(admission),
            ]

        before = snapshot()
        for account in ("urgent", "usual", "other", "nobody"):
            await explain_room(cluster, gateway, account)
        assert snapshot() == before
        await asyncio.gather(*tasks)

    run_scenario(scenario)


def test_queue_of_a_configuration_that_no_request_has_met_is_explained() -> None:
    """Guards against a failure between a new configuration and its first request."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        await request(cluster, gateway, "first")
        [route] = cluster.routes
        more = make_route("r-more", "/more/", service="shard-1", priority=0)
        accounts = [*ACCOUNTS, {"name": "late", "apiKeys": ["k-late"], "priority": 9}]
        cluster.configure(route, more, tenants=accounts)
        await asyncio.sleep(SETTLE_SECONDS)
        room, refused = await explain_room(cluster, gateway, "late")
        assert refused == [] and room["decision"] == "starts"
        assert room["priority"] == 9 and room["rank"] > 3
        answer = await explain(cluster, gateway, "/more/x", account="urgent")
        assert answer["admission"]["rank"] == 0 and causes(answer) == []

    run_scenario(scenario)


def test_configuration_without_accounts_shows_the_adaptive_limit() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_cluster(cluster)
        cluster.configure(*cluster.routes)
        await asyncio.sleep(SETTLE_SECONDS)
        answer = await explain(cluster, gateway, FAN_OUT_PATH)
        assert answer["admission"].keys() == {
            "in_flight",
            "limit",
            "rank",
            "is_reduced",
        }
        assert answer["quota"] == {"is_limited": None}

    run_scenario(scenario)


def describe_state(admission: SharedAdmission) -> list[Any]:
    """Return what the decisions of an admission depend on."""
    queue = admission.queue
    return [
        admission.rng.getstate(),
        admission.rank_count,
        admission._usual_ms,
        [getattr(admission.limit, name) for name in LIMIT_FIELDS],
        [
            (item.value, item.at_seconds, item.refused_at_seconds)
            for item in admission.classes._shares
        ],
        [
            (
                urgency,
                shares._started,
                shares._fair_part,
                shares._decay.weight,
                [
                    (name, item.asked, item.started)
                    for name, item in shares._accounts.items()
                ],
            )
            for urgency, shares in admission.shares.items()
        ],
        admission.owed._asked_count,
        admission.owed._started_count,
        [
            (name, item.requests, item.asked_count)
            for name, item in admission.owed._credits.items()
        ],
        {urgency: list(waiting) for urgency, waiting in queue._queues.items()},
        (queue.max_waiting, queue._next_expiry_seconds, queue._arrival_count),
        [(name, item.started_at_seconds) for name, item in admission._demands.items()],
    ]


LIMIT_FIELDS = (
    "limit",
    "in_flight",
    "in_flight_work",
    "was_short",
    "mean_work_ms",
    "_fraction",
    "_mean_ms",
)


def test_foreseen_decision_is_the_one_that_follows() -> None:
    rng = random.Random(11)
    admission = SharedAdmission(rng=random.Random(1), rank_count=3)
    admission.limit.limit = 3.0
    now = 100.0
    running: list[str] = []
    outcomes = {"started": 0, "rejected": 0, "waiting": 0}
    for number in range(3_000):
        now += rng.expovariate(60.0)
        priority = rng.randrange(3)
        demand = Demand(
            request_id=str(number),
            route=f"r-{priority}",
            account=f"c-{rng.randrange(6)}",
            priority=priority,
            route_priority=1,
            rank=priority,
            is_return=rng.random() < 0.2,
            is_late=False,
            arrived_at_seconds=now,
            target_at_seconds=now + 0.3,
            target_latency_ms=300.0,
            work_ms=rng.choice((40.0, 80.0)),
            usual_ms=60.0,
        )
        same = random.Random()
        same.setstate(admission.rng.getstate())
        before = describe_state(admission)
        foreseen = admission.foresee(demand, rank_count=3, now_seconds=now, rng=same)
        assert describe_state(admission) == before
        step = admission.submit(demand, now_seconds=now)
        assert foreseen.step == step
        is_started = demand.request_id in step.started
        is_rejected = any(item.query_id == demand.request_id for item in step.rejected)
        outcomes["started"] += is_started
        outcomes["rejected"] += is_rejected
        outcomes["waiting"] += not is_started and not is_rejected
        running.extend(step.started)
        while running and rng.random() < 0.4:
            admission.end(
                running.pop(0),
                service_ms=rng.uniform(100.0, 280.0),
                was_refused=False,
                now_seconds=now,
            )
            running.extend(admission.advance(now_seconds=now).started)
    assert min(outcomes.values()) > 100, outcomes
