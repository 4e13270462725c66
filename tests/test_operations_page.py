"""Tests that walk docs/OPERATIONS.md: from a failed request's id to its cause."""

import asyncio
import re
from pathlib import Path

from tests.fixtures_gateway import (
    CALL_PATH,
    GATHER_PATH,
    Cluster,
    RunningGateway,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import Fault, fault_always

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
SOURCES = Path(__file__).parent.parent / "src" / "bronzebeam"
PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')


def fields_of(line: str) -> dict[str, str]:
    return {name: value.strip('"') for name, value in PAIR.findall(line)}


def search(gateway: RunningGateway, *words: str) -> list[dict[str, str]]:
    """Do what `grep` does on the log of one instance."""
    gateway.gateway.log.flush()
    return [
        fields_of(line)
        for line in gateway.written_lines
        if all(word in line for word in words)
    ]


def ending_of(gateway: RunningGateway, attempt_id: str) -> dict[str, str]:
    return search(gateway, f"request={attempt_id} ")[-1]


def test_refused_request_leads_to_the_replicas_that_are_unreachable() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.stop()
        await asyncio.sleep(0.5)
        answer = await cluster.send_request(gateway, GATHER_PATH, attempt_id="lost-1")
        assert answer is not None and answer.status == 503
        ending = ending_of(gateway, "lost-1")
        assert ending["status"] == "503"
        assert ending["cause"] == "too_few_shards"
        assert re.search("shard-0:(no_replica|unreachable)", ending["missing"])
        names = {replica.replica for replica in replicas_of_service(cluster, "shard-0")}
        unreachable = {item["server"] for item in search(gateway, "server_unreachable")}
        assert names <= unreachable

    run_scenario(scenario)


def test_refused_request_leads_to_the_overload() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.05
        asking = []
        for number in range(400):
            asking.append(
                asyncio.ensure_future(
                    cluster.send_request(
                        gateway, GATHER_PATH, attempt_id=f"many-{number}"
                    )
                )
            )
            await asyncio.sleep(0.005)
        answers = await asyncio.gather(*asking)
        refused = [
            number
            for number, answer in enumerate(answers)
            if answer is not None and answer.status == 503
        ]
        ending = ending_of(gateway, f"many-{refused[-1]}")
        assert ending["cause"].startswith("overload_in_flight_")
        assert ending["attempts"] == "0"
        found = search(gateway, "event=overload_found", f"route={ending['route']}")[0]
        assert float(found["elapsed_ms"]) > 0.8 * float(found["target_ms"])

    run_scenario(scenario)


def test_partial_answer_leads_to_the_slow_replicas() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in replicas_of_service(cluster, "shard-1"):
            replica.work_seconds = 0.4
        for number in range(6):
            await cluster.send_request(
                gateway, GATHER_PATH, attempt_id=f"part-{number}"
            )
            await asyncio.sleep(0.2)
        ending = ending_of(gateway, "part-0")
        assert ending["missing"] == "shard-1:no_reply"
        [first, *_] = ending["attempts"].split(",")
        name = first.split("@")[0]
        [shunned, *_] = search(gateway, "replica_shunned", f"replica={name} ")
        assert shunned["cause"] == "slow" and shunned["service"] == "shard-1"
        assert float(shunned["pace"]) > 2.0

    run_scenario(scenario)


def test_failed_booking_leads_to_the_replica_that_broke_off() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        guilty = cluster.replicas["i-1"]
        cluster.unregister(cluster.replicas["i-2"])
        guilty.fault = fault_always(Fault.RESET)
        await asyncio.sleep(2.0)
        answer = await cluster.send_request(
            gateway, CALL_PATH, method="POST", attempt_id="book-1"
        )
        assert answer is not None and answer.status == 502
        ending = ending_of(gateway, "book-1")
        assert ending["cause"] == "connection_lost"
        assert ending["attempts"].startswith("i-1@+")
        assert ending["attempts"].endswith(":connection_lost")

    run_scenario(scenario)


def test_every_event_of_the_gateway_is_on_the_page() -> None:
    page = PAGE.read_text()
    logged = set()
    for folder in ("gateway", "platform", "telemetry"):
        for path in (SOURCES / folder).glob("*.py"):
            logged |= set(
                re.findall(r'log\.(?:event|request)\(\s*"([a-z_]+)"', path.read_text())
            )
            logged |= set(re.findall(r'_append\("([a-z_]+)"', path.read_text()))
    assert len(logged) > 20
    assert {name for name in logged if f"`{name}" not in page} == set()


def test_every_metric_of_the_gateway_is_on_the_page() -> None:
    page = PAGE.read_text()
    source = (SOURCES / "gateway" / "gateway_metrics.py").read_text()
    names = re.findall(r'name="(bronzebeam_[a-z_]+)"', source)
    assert len(names) == 5
    assert [name for name in names if name not in page] == []
