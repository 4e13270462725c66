"""Tests of the command `explain`, with the answers of a gateway in virtual time."""

import asyncio
import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from attrs import define, field
from click.testing import CliRunner, Result

from bronzebeam.cli import main
from bronzebeam.cli_explain import MAX_SHOWN_SHARDS, format_explanation
from bronzebeam.standins.http_json import (
    JsonRequest,
    JsonResponse,
    build_json_app,
    serve_app,
)
from tests.fixtures_cold import start_cold_service
from tests.fixtures_gateway import (
    FAN_OUT_PATH,
    READ_PATH,
    Cluster,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.fixtures_serving import find_free_port, running_servers
from tests.test_gateway_evacuation import EVACUATION_BOUND_SECONDS, evacuate
from tests.test_gateway_explain import explain
from tests.test_gateway_quotas import make_account, start_quota_cluster

SHARDS = 12


@define(kw_only=True)
class AskedInstance:
    """
    Stand-in of an instance's peer port.

    :ivar questions: parameters of the requests that it got.
    """

    address: str = ""
    response: JsonResponse = JsonResponse()
    questions: list[dict[str, str]] = field(factory=list)

    def run(self, *arguments: str) -> Result:
        options = ("--instance", self.address, "--host", "app.example")
        return CliRunner().invoke(main, ["explain", *options, *arguments])


@contextmanager
def asked_instance() -> Iterator[AskedInstance]:
    with running_servers() as start:

        async def handle(request: JsonRequest) -> JsonResponse:
            assert request.path == "/explain"
            instance.questions.append(request.query)
            return instance.response

        async def serve(address: str, port: int) -> None:
            await serve_app(build_json_app(handle), address=address, port=port)

        instance = AskedInstance()
        instance.address = start(serve)
        yield instance


def answer_for_read(*, paused: bool) -> dict[str, Any]:
    async def scenario(cluster: Cluster) -> dict[str, Any]:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.pause = "3" if paused else ""
            replica.states_load, replica.load = True, "1,4,2,130"
        for _ in range(4):
            await cluster.send_request(gateway, READ_PATH)
        return await explain(cluster, gateway, READ_PATH)

    return run_scenario(scenario)


def answer_for_search() -> dict[str, Any]:
    async def scenario(cluster: Cluster) -> dict[str, Any]:
        gateway = await start_search_cluster(cluster, shards=SHARDS)
        for replica in replicas_of_service(cluster, "shard-7"):
            replica.pause = "3"
        for _ in range(3):
            await cluster.send_request(gateway, FAN_OUT_PATH)
        return await explain(cluster, gateway, FAN_OUT_PATH)

    return run_scenario(scenario)


def test_command_prints_text_or_json_and_exits_by_the_answer() -> None:
    sent, refused = answer_for_read(paused=False), answer_for_read(paused=True)
    with asked_instance() as instance:
        instance.response = JsonResponse(body=sent)
        text = instance.run("--path", READ_PATH, "--account", "acme")
        assert text.exit_code == 0, text.output
        assert "refused: no" in text.output and "chosen=i-" in text.output
        assert "stated_waiting=4" in text.output
        as_json = instance.run("--path", READ_PATH, "--json")
        assert as_json.exit_code == 0 and json.loads(as_json.output) == sent
        instance.response = JsonResponse(body=refused)
        text = instance.run("--path", READ_PATH)
        assert text.exit_code == 3
        assert "refused: status=503 cause=replicas_paused" in text.output
        assert "excluded_by=paused" in text.output and "chosen=none" in text.output
        as_json = instance.run("--path", READ_PATH, "--json")
        assert as_json.exit_code == 3 and json.loads(as_json.output) == refused
    assert instance.questions[0] == {
        "host": "app.example",
        "path": READ_PATH,
        "account": "acme",
    }
    assert "account" not in instance.questions[1]


def test_command_exits_with_1_if_there_is_no_usable_answer() -> None:
    with asked_instance() as instance:
        for response in (
            JsonResponse(status=404, body="no such path"),
            JsonResponse(status=500, body={}),
            JsonResponse(body=[]),
            JsonResponse(body={"status": "fine"}),
            JsonResponse(body={"route": None}, truncated=True),
        ):
            instance.response = response
            result = instance.run("--path", READ_PATH)
            assert result.exit_code == 1, (response, result.output)
            assert "gave no usable answer" in result.output
        for address in (f"127.0.0.1:{find_free_port()}", "not an address", "a:b:c"):
            instance.address = address
            assert instance.run("--path", READ_PATH).exit_code == 1, address


def test_wrong_usage_exits_with_2() -> None:
    """Guards against a key on the command line, where others may see it."""
    with asked_instance() as instance:
        assert instance.run().exit_code == 2
        assert instance.run("--path", READ_PATH, "--key", "k-1").exit_code == 2
        instance.response = JsonResponse(status=400, body={"error": "path is missing"})
        result = instance.run("--path", "read")
        assert result.exit_code == 2 and "path is missing" in result.output


def test_text_of_a_search_shows_a_summary_and_the_worst_shards() -> None:
    """Guards against 135 shards of 3 replicas each on the operator's screen."""
    answer = answer_for_search()
    lines = list(format_explanation(answer))
    (summary,) = [line for line in lines if line.startswith("shards: ")]
    assert f"count={SHARDS}" in summary and "missing=1" in summary
    assert "missing: replicas_paused=1" in lines
    assert "excluded: paused=2" in lines
    shown = [line for line in lines if line.startswith("service=")]
    assert len(shown) == MAX_SHOWN_SHARDS and "service=shard-7" in shown[0]
    assert len(answer["services"]) == SHARDS
    assert len(lines) < 40


def test_text_shows_parts_that_this_build_does_not_know() -> None:
    answer = answer_for_read(paused=False)
    answer["quota"] = {"tokens": 3.5, "owner": "g-7", "deputies": ["g-1"]}
    answer["evacuated"] = ["zone-b"]
    lines = list(format_explanation(answer))
    assert 'quota: tokens=3.5 owner=g-7 deputies="[\\"g-1\\"]"' in lines
    assert 'evacuated: ["zone-b"]' in lines


def test_text_of_an_unknown_route_and_of_a_missing_account() -> None:
    answer: dict[str, Any] = {
        "instance": "g-1",
        "route": None,
        "account": None,
        "refused_by": [{"status": 404, "cause": "no_route"}],
    }
    assert list(format_explanation(answer)) == [
        "instance=g-1 account=null",
        "refused: status=404 cause=no_route",
    ]
    answer = answer_for_read(paused=False)
    answer["account"] = {"name": None, "is_unknown": False, "needs_key": True}
    assert any("name its account" in line for line in format_explanation(answer))


def test_text_shows_quota_admission_and_cold_replicas() -> None:
    async def scenario(cluster: Cluster) -> dict[str, Any]:
        await start_cold_service(cluster, instances=1, per_second=0.2)
        gateway = cluster.gateways["g-1"]
        evacuate(cluster, "zone-z")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        for _ in range(3):
            await cluster.send_request(gateway, READ_PATH)
        return await explain(cluster, gateway, READ_PATH)

    answer = run_scenario(scenario)
    lines = list(format_explanation(answer))
    assert 'evacuated: ["zone-z"]' in lines
    assert "regions: is_restricted=false allowed=none domains=none" in lines
    assert "quota: is_limited=null" in lines
    replicas = [line for line in lines if line.startswith("  replica=")]
    assert len(replicas) == 2
    for line in replicas:
        assert "excluded_by=cold" in line and "cold_senders=g-1" in line
    assert "refused: status=503 cause=replicas_cold" in lines


def test_text_of_an_account_names_its_owner_and_the_decision() -> None:
    async def scenario(cluster: Cluster) -> dict[str, Any]:
        [gateway] = await start_quota_cluster(cluster, make_account(), instances=1)
        return await explain(cluster, gateway, READ_PATH, account="shop")

    lines = list(format_explanation(run_scenario(scenario)))
    [quota] = [line for line in lines if line.startswith("quota: ")]
    assert "role=owner" in quota and "not_owner_because=none" in quota
    assert "refuses_as=null" in quota and "held_count=0" in quota
    [admission] = [line for line in lines if line.startswith("admission: ")]
    assert "decision=starts" in admission and "waiting=none" in admission
    assert "refused: no" in lines
