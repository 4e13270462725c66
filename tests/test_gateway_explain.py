"""Tests of explanations of running gateways, in virtual time."""

import asyncio
import random
from typing import Any
from urllib.parse import urlencode

import orjson

from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    HOST,
    PEER_PORT,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    encode_request,
    make_route,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.test_gateway_owners import start_large_fleet
from tests.test_gateway_peers import count_delegations, start_two_domains


async def get(
    cluster: Cluster, gateway: RunningGateway, target: str, port: int = PEER_PORT
) -> tuple[int, bytes]:
    caller = await cluster.connect(gateway, port=port)
    caller.send(encode_request(target, remaining_ms=None))
    response = await caller.responses.get()
    assert response is not None
    caller.transport.close()
    return response.status, response.body


async def explain(
    cluster: Cluster, gateway: RunningGateway, path: str, **parameters: str
) -> dict[str, Any]:
    query = urlencode({"host": HOST, "path": path, **parameters})
    status, body = await get(cluster, gateway, f"/explain?{query}")
    assert status == 200, body
    answer: dict[str, Any] = orjson.loads(body)
    return answer


def described_replicas(answer: dict[str, Any]) -> dict[str, dict[str, Any]]:
    return {
        item["replica"]: item
        for service in answer["services"]
        for item in service["replicas"]
    }


def causes(answer: dict[str, Any]) -> list[tuple[int, str]]:
    return [(item["status"], item["cause"]) for item in answer["refused_by"]]


def received_counts(cluster: Cluster) -> dict[str, int]:
    return {
        name: len(replica.received_ids) for name, replica in cluster.replicas.items()
    }


def test_route_replicas_and_chosen_one_are_explained() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        answer = await explain(cluster, gateway, READ_PATH + "x?page=2")
        assert answer["instance"] == "g-1" and answer["refused_by"] == []
        assert answer["route"]["name"] == "r-read"
        assert answer["timing"]["hedge_after_ms"] > 0.0
        assert answer["admission"]["in_flight"] == 0
        assert answer["admission"]["limit"] > 0.0
        (service,) = answer["services"]
        assert service["service"] == BOOKING_SERVICE and service["is_next"]
        assert service["remaining_repeats"] > 0.0
        assert service["peer_asked_because"] == ""
        replicas = described_replicas(answer)
        assert replicas.keys() == {"i-1", "i-2"}
        chosen = replicas[service["chosen"]]
        assert chosen["score_ms"] == min(item["score_ms"] for item in replicas.values())
        for item in replicas.values():
            assert item["may_be_chosen"] and item["excluded_by"] == []
            total = item["estimate_ms"] + item["extra_cost_ms"]
            assert abs(total - item["score_ms"]) < 0.02
        # A request that must not run twice is not hedged.
        answer = await explain(cluster, gateway, BOOKING_PATH)
        assert answer["timing"]["hedge_after_ms"] is None

    run_scenario(scenario)


def test_requests_go_to_a_replica_that_the_explanation_says_may_be_chosen() -> None:
    """Guards against an explanation that differs from what the request path does."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        rng = random.Random(1)
        replicas = replicas_of_service(cluster, BOOKING_SERVICE)
        for _ in range(80):
            for replica in replicas:
                replica.states_load = rng.random() < 0.7
                replica.load = f"{rng.randrange(3)},{rng.randrange(6)},2,100"
                replica.work_seconds = rng.choice((0.003, 0.006, 0.012))
            answer = await explain(cluster, gateway, READ_PATH)
            before = received_counts(cluster)
            await cluster.send_request(gateway, READ_PATH)
            known = described_replicas(answer)
            sent_to = [
                name
                for name, count in received_counts(cluster).items()
                if count > before[name]
            ]
            assert known[answer["services"][0]["chosen"]]["may_be_chosen"]
            if len(sent_to) == 1:
                assert known[sent_to[0]]["may_be_chosen"]
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.3)))

    run_scenario(scenario)


def test_explanation_sends_and_changes_nothing() -> None:
    """Guards against an operator's question that alters what requests meet."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        small = replicas_of_service(cluster, "shard-0")[0]
        small.limit = "3"
        cluster.configure(
            *cluster.routes,
            make_route(
                "r-split",
                "/split/",
                trafficSplit=[
                    {"service": "shard-1", "weight": 1},
                    {"service": "shard-2", "weight": 2},
                ],
            ),
        )
        await asyncio.sleep(SETTLE_SECONDS)
        await cluster.send_request(gateway, FAN_OUT_PATH)
        await cluster.send_request(gateway, "/split/")
        await asyncio.sleep(0.3)
        state = gateway.gateway._state

        def snapshot() -> list[Any]:
            return [
                gateway.gateway.rng.getstate(),
                received_counts(cluster),
                [len(item.connections) for item in cluster.replicas.values()],
                repr(sorted(state._budget_by_service)),
                [
                    (list(map(list, item._buckets)), item._target_share)
                    for item in state._budget_by_service.values()
                ],
                sorted(state._typical_latency_by_route),
                {
                    name: list(item._credits)
                    for name, item in state._split_by_route.items()
                },
                state._max_wait_ms_by_route.copy(),
                gateway.gateway.metrics.registry.render(now_seconds=0.0),
                len(gateway.written_lines),
            ]

        before = snapshot()
        for path in (FAN_OUT_PATH, "/split/", "/unknown"):
            for _ in range(3):
                first = await explain(cluster, gateway, path)
        assert snapshot() == before
        assert first["route"] is None
        # The next service is the one that the request then goes to.
        for _ in range(4):
            answer = await explain(cluster, gateway, "/split/")
            (expected,) = [
                item["service"] for item in answer["services"] if item["is_next"]
            ]
            counts = received_counts(cluster)
            await cluster.send_request(gateway, "/split/")
            changed = {
                cluster.replicas[name].service
                for name, count in received_counts(cluster).items()
                if count > counts[name]
            }
            assert changed == {expected}

    run_scenario(scenario)


def test_missing_shards_of_a_search_are_explained() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        answer = await explain(cluster, gateway, FAN_OUT_PATH)
        assert [item["shard"] for item in answer["services"]] == [0, 1, 2, 3]
        assert causes(answer) == []
        for service, count in (("shard-0", 1), ("shard-1", 2)):
            for replica in replicas_of_service(cluster, service):
                replica.pause = "5"
            for _ in range(3):
                await cluster.send_request(gateway, FAN_OUT_PATH)
            answer = await explain(cluster, gateway, FAN_OUT_PATH)
            missing = [
                item["service"]
                for item in answer["services"]
                if item["missing_cause"] == "replicas_paused"
            ]
            assert len(missing) == count
            expected = [] if count == 1 else [(503, "too_few_shards")]
            assert causes(answer) == expected

    run_scenario(scenario)


def test_peers_that_would_be_asked_are_named() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway, peer = await start_two_domains(cluster)
        answer = await explain(cluster, gateway, FAN_OUT_PATH)
        for item in answer["services"]:
            assert item["peer_asked_because"] == "replica_in_other_domain"
            assert item["peers"] == ["near"]
        answer = await explain(cluster, peer, FAN_OUT_PATH)
        assert {item["peer_asked_because"] for item in answer["services"]} == {""}
        before = count_delegations(cluster)
        await cluster.send_request(gateway, FAN_OUT_PATH)
        assert count_delegations(cluster) == before + 1

    run_scenario(scenario)


def test_instance_without_peers_sends_to_other_domains_itself() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster, domains=("zone-b", "zone-b"))
        answer = await explain(cluster, gateway, FAN_OUT_PATH)
        assert {item["peer_asked_because"] for item in answer["services"]} == {""}
        assert all(item["chosen"] for item in answer["services"])

    run_scenario(scenario)


def test_owners_of_shards_are_named_where_connections_are_scarce() -> None:
    async def scenario(cluster: Cluster) -> None:
        reasons = set()
        for gateway in await start_large_fleet(cluster):
            answer = await explain(cluster, gateway, FAN_OUT_PATH)
            assert causes(answer) == []
            owned = gateway.gateway._state._ownership.owned
            for item in answer["services"]:
                reasons.add(item["peer_asked_because"])
                assert gateway.name not in item["peers"]
                if item["peer_asked_because"]:
                    assert item["peers"]
                else:
                    assert item["service"] in owned
        assert "owned_by_peers" in reasons

    run_scenario(scenario)
