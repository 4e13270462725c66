"""Tests of the reasons that explanations of gateways give, in virtual time."""

import asyncio
import gzip
from urllib.parse import urlencode

import orjson

from bronzebeam.gateway.explanation import Refusal, Situation
from bronzebeam.routing.crash_suspects import fingerprint
from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    HOST,
    PEER_PORT,
    READ_PATH,
    READY_PORT,
    SETTLE_SECONDS,
    Cluster,
    encode_request,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import StandinReplica
from tests.test_gateway_explain import causes, described_replicas, explain, get

SECRET = "k-very-secret"
TENANTS = [
    {"name": "acme", "apiKeys": [SECRET], "priority": 2, "ratePerS": 5, "burst": 10},
    {"name": "zeta", "apiKeys": ["k-2"], "priority": 1},
]


def test_reasons_that_exclude_a_replica_are_named() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        first, second = replicas_of_service(cluster, BOOKING_SERVICE)

        async def excluded(replica: StandinReplica) -> list[str]:
            answer = await explain(cluster, gateway, READ_PATH)
            reasons: list[str] = described_replicas(answer)[replica.replica][
                "excluded_by"
            ]
            return reasons

        first.pause = "4"
        for _ in range(6):
            await cluster.send_request(gateway, READ_PATH)
        assert await excluded(first) == ["paused"]
        first.pause = ""
        await asyncio.sleep(4.5)
        first.limit = "0"
        second.work_seconds = 0.05
        for _ in range(20):
            await cluster.send_request(gateway, READ_PATH)
        assert await excluded(first) == ["limited"]
        first.limit = ""
        second.work_seconds = 0.005
        await asyncio.sleep(6.0)
        cluster.register(first, coldRemainingMs=60_000)
        await asyncio.sleep(0.5)
        answer = await explain(cluster, gateway, READ_PATH)
        described = described_replicas(answer)
        assert "cold" in described[first.replica]["conditions"]
        assert described[first.replica]["cold_ms"] > 50_000
        cluster.register(first, state="draining")
        await asyncio.sleep(SETTLE_SECONDS)
        assert "leaving" in await excluded(first)
        second.stop()
        await asyncio.sleep(1.0)
        assert await excluded(second) == ["unreachable"]

    run_scenario(scenario)


def test_refusals_are_the_same_as_those_of_a_request() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        answer = await explain(cluster, gateway, "/nowhere/")
        assert causes(answer) == [(404, "no_route")]
        for replica in cluster.replicas.values():
            replica.pause = "3"
        for _ in range(3):
            await cluster.send_request(gateway, READ_PATH)
        answer = await explain(cluster, gateway, READ_PATH)
        assert causes(answer) == [(503, "replicas_paused")]
        assert answer["services"][0]["chosen"] is None
        assert 0.0 < answer["services"][0]["usable_after_s"] <= 3.0
        response = await cluster.send_request(gateway, READ_PATH)
        assert response is not None and response.status == 503
        assert response.body == b"replicas_paused\n"

    run_scenario(scenario)


def test_overload_and_quarantine_are_named() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        await cluster.send_request(gateway, READ_PATH)
        explainer = gateway.gateway._explainer
        route = gateway.gateway._state.table
        assert route is not None
        found = route.by_name("r-read")
        assert found is not None
        limit = explainer.room.admission.limit_for(found)
        assert limit is not None
        limit.in_flight = 500
        answer = await explain(cluster, gateway, READ_PATH)
        assert causes(answer) == [(503, "overload")]
        assert answer["admission"]["in_flight"] == 500
        limit.in_flight = 0
        suspect = fingerprint(
            host=HOST.encode(), target=READ_PATH.encode() + b"?x=1", body=b""
        )
        gateway.gateway._state.suspects.record_losses(suspect, instance="g-2", losses=9)
        answer = await explain(cluster, gateway, READ_PATH + "?x=1")
        assert causes(answer) == [(503, "quarantined")]
        assert causes(await explain(cluster, gateway, READ_PATH)) == []

    run_scenario(scenario)


def test_instance_without_a_configuration_says_so() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(1.0)
        answer = await explain(cluster, gateway, READ_PATH)
        assert causes(answer) == [(503, "no_configuration")]
        assert answer["configuration_version"] is None

    run_scenario(scenario)


def test_account_is_explained_and_keys_are_never_repeated() -> None:
    """Guards against a key in an answer, a log line or a metric."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.configure(*cluster.routes, tenants=TENANTS)
        await asyncio.sleep(SETTLE_SECONDS)
        # An instance without others is the owner as soon as it is registered.
        answer = await explain(cluster, gateway, READ_PATH, account="acme")
        assert answer["account"]["is_limited"] and causes(answer) == []
        assert answer["account"]["rate_per_second"] == 5.0
        answer = await explain(cluster, gateway, READ_PATH, account="zeta")
        assert not answer["account"]["is_limited"]
        # Without an account it is not known whether the key is.
        answer = await explain(cluster, gateway, READ_PATH)
        assert answer["account"]["needs_key"] and causes(answer) == []
        texts = []
        for parameters in (
            {"account": SECRET},
            {"key": SECRET},
            {"X-Bronzebeam-Key": SECRET, "account": "acme"},
        ):
            query = urlencode({"host": HOST, "path": READ_PATH, **parameters})
            status, body = await get(cluster, gateway, f"/explain?{query}")
            assert status == 200
            texts.append(body.decode())
            path = urlencode({"host": HOST, "path": f"{READ_PATH}?key={SECRET}"})
            texts.append((await get(cluster, gateway, f"/explain?{path}"))[1].decode())
        texts.append((await get(cluster, gateway, f"/explain?k={SECRET}"))[1].decode())
        gateway.gateway.log.flush()
        texts.extend(gateway.written_lines)
        texts.append(gateway.gateway.metrics.registry.render(now_seconds=0.0))
        assert not [text for text in texts if SECRET in text]
        unknown = await explain(cluster, gateway, READ_PATH, account="nobody")
        assert causes(unknown) == [(401, "unknown_key")]
        assert unknown["account"]["is_unknown"]
        assert "digest" not in str(answer)

    run_scenario(scenario)


def test_question_is_checked_and_answered_on_the_peer_port_only() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for query in (
            "",
            "?",
            "?host=a",
            "?path=/read/",
            "?host=&path=/read/",
            "?host=a&path=read",
            "?host&path",
            "?host=%ff%fe&path=",
            "?" + "&".join(f"a{number}=1" for number in range(50)),
        ):
            status, body = await get(cluster, gateway, "/explain" + query)
            assert status == 400 and "error" in orjson.loads(body), query
        query = urlencode({"host": HOST, "path": READ_PATH})
        status, _ = await get(cluster, gateway, f"/explain?{query}", READY_PORT)
        assert status == 404
        response = await cluster.send_request(gateway, f"/explain?{query}")
        assert response is not None and response.status == 404
        for path in ("/\u00e9\u4e2d/", "/%00", "/" + "x" * 500):
            await explain(cluster, gateway, path)

    run_scenario(scenario)


def test_other_modules_can_add_sections_and_refusals() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        explainer = gateway.gateway._explainer

        def refuse(situation: Situation) -> Refusal | None:
            assert situation.route.name == "r-read"
            return Refusal(status=429, cause="quota_spent")

        explainer.sections["quota"] = lambda situation: {"tokens": 0}
        explainer.refusal_checks.append(refuse)
        answer = await explain(cluster, gateway, READ_PATH)
        assert answer["quota"] == {"tokens": 0}
        assert causes(answer) == [(429, "quota_spent")]

    run_scenario(scenario)


def test_fault_in_a_section_is_logged_and_answered() -> None:
    """Guards against a question that is never answered, and a key in the log."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)

        def fail(situation: Situation) -> None:
            raise ValueError(situation.question.path)

        gateway.gateway._explainer.sections["broken"] = fail
        query = urlencode({"host": HOST, "path": f"{READ_PATH}?key={SECRET}"})
        status, body = await get(cluster, gateway, f"/explain?{query}")
        assert status == 500 and SECRET not in body.decode()
        (line,) = gateway.log_lines("explanation_failed")
        assert "cause=ValueError" in line and SECRET not in line
        response = await cluster.send_request(gateway, READ_PATH)
        assert response is not None and response.status == 200

    run_scenario(scenario)


def test_large_explanation_is_compressed_for_those_who_accept_it() -> None:
    """Guards against 200 KB on a link that answers to callers need."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster, shards=20)
        query = urlencode({"host": HOST, "path": FAN_OUT_PATH})
        _, plain = await get(cluster, gateway, f"/explain?{query}")
        caller = await cluster.connect(gateway, port=PEER_PORT)
        caller.send(
            encode_request(
                f"/explain?{query}",
                remaining_ms=None,
                headers={"Accept-Encoding": "gzip, deflate"},
            )
        )
        response = await caller.responses.get()
        assert response is not None and response.headers["content-encoding"] == "gzip"
        assert len(response.body) < len(plain) / 4
        answer = orjson.loads(gzip.decompress(response.body))
        assert len(answer["services"]) == len(orjson.loads(plain)["services"]) == 20

    run_scenario(scenario)
