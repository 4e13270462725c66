"""
Tests of the log analysis that docs/OPERATIONS.md describes.

Each follows the log lines from the id of a failed request to the cause.
"""

import asyncio
import re
from pathlib import Path

from tests.fixtures_gateway import (
    BOOKING_PATH,
    FAN_OUT_PATH,
    READ_PATH,
    Cluster,
    RunningGateway,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import Fault, fault_always

PAGE = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
SOURCE_FOLDER = Path(__file__).parent.parent / "src" / "bronzebeam"
FIELD_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')


def parse_fields(line: str) -> dict[str, str]:
    return {name: value.strip('"') for name, value in FIELD_PATTERN.findall(line)}


def grep_log(gateway: RunningGateway, *words: str) -> list[dict[str, str]]:
    """Return the log lines of an instance that contain all words, as `grep` would."""
    gateway.gateway.log.flush()
    return [
        parse_fields(line)
        for line in gateway.written_lines
        if all(word in line for word in words)
    ]


def final_log_line(gateway: RunningGateway, attempt_id: str) -> dict[str, str]:
    return grep_log(gateway, f"request={attempt_id} ")[-1]


def test_log_of_a_failed_request_leads_to_the_unreachable_replicas() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.stop()
        await asyncio.sleep(0.5)
        response = await cluster.send_request(
            gateway, FAN_OUT_PATH, attempt_id="lost-1"
        )
        assert response is not None and response.status == 503
        log_line = final_log_line(gateway, "lost-1")
        assert log_line["status"] == "503"
        assert log_line["cause"] == "too_few_shards"
        assert re.search(
            "shard-0:(replicas_unreachable|unreachable)", log_line["missing"]
        )
        names = {replica.replica for replica in replicas_of_service(cluster, "shard-0")}
        unreachable = {
            item["server"] for item in grep_log(gateway, "server_unreachable")
        }
        assert names <= unreachable

    run_scenario(scenario)


def test_log_of_a_partial_search_shows_when_its_steps_ended() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.work_seconds = 0.3
        await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id="part-1")
        log_line = final_log_line(gateway, "part-1")
        assert log_line["new_connection"] == "true"
        steps = [
            float(log_line[name])
            for name in ("sent_ms", "sufficient_ms", "cutoff_ms", "target_ms")
        ]
        assert 0.0 <= steps[0] <= steps[1] < steps[2] < steps[3] <= 90.0
        assert steps[2] <= float(log_line["elapsed_ms"]) < steps[3]

    run_scenario(scenario)


def test_log_of_a_rejected_request_leads_to_the_overload() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.05
        requests = []
        for number in range(400):
            requests.append(
                asyncio.ensure_future(
                    cluster.send_request(
                        gateway, FAN_OUT_PATH, attempt_id=f"many-{number}"
                    )
                )
            )
            await asyncio.sleep(0.005)
        responses = await asyncio.gather(*requests)
        rejected = [
            number
            for number, response in enumerate(responses)
            if response is not None and response.status == 503
        ]
        log_line = final_log_line(gateway, f"many-{rejected[-1]}")
        assert log_line["cause"].startswith("overload_in_flight_")
        assert log_line["attempts"] == "0"
        found = grep_log(gateway, "event=overload_found", f"route={log_line['route']}")[
            0
        ]
        assert float(found["elapsed_ms"]) > 0.8 * float(found["target_ms"])

    run_scenario(scenario)


def test_log_of_a_partial_response_leads_to_the_slow_replicas() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in replicas_of_service(cluster, "shard-1"):
            replica.work_seconds = 0.4
        for number in range(6):
            await cluster.send_request(
                gateway, FAN_OUT_PATH, attempt_id=f"part-{number}"
            )
            await asyncio.sleep(0.2)
        log_line = final_log_line(gateway, "part-0")
        assert log_line["missing"] == "shard-1:no_reply"
        [first, *_] = log_line["attempts"].split(",")
        name = first.split("@")[0]
        [shunned, *_] = grep_log(gateway, "replica_shunned", f"replica={name} ")
        assert shunned["cause"] == "slow" and shunned["service"] == "shard-1"
        assert float(shunned["pace"]) > 2.0

    run_scenario(scenario)


def test_log_of_a_failed_booking_leads_to_the_replica_that_disconnected() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        faulty = cluster.replicas["i-1"]
        cluster.unregister(cluster.replicas["i-2"])
        faulty.fault = fault_always(Fault.RESET)
        await asyncio.sleep(2.0)
        response = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", attempt_id="book-1"
        )
        assert response is not None and response.status == 502
        log_line = final_log_line(gateway, "book-1")
        assert log_line["cause"] == "connection_lost"
        assert log_line["attempts"].startswith("i-1@+")
        assert log_line["attempts"].endswith(":connection_lost")

    run_scenario(scenario)


def test_log_of_a_refused_key_leads_to_the_malformed_configuration() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        library = {"name": "library", "apiKeys": ["secret-1"]}
        cluster.configure(*cluster.routes, tenants=[library])
        await asyncio.sleep(3.0)
        in_force = cluster.version
        archive = {"name": "archive", "apiKeys": "secret-2"}
        cluster.configure(*cluster.routes, tenants=[library, archive])
        await asyncio.sleep(3.0)
        response = await cluster.send_request(
            gateway,
            READ_PATH,
            attempt_id="k-2",
            headers={"X-Bronzebeam-Key": "secret-2"},
        )
        assert response is not None and response.status == 401
        log_line = final_log_line(gateway, "k-2")
        assert log_line["cause"] == "unknown_key" and log_line["instance"] == "g-1"
        assert log_line["version"] == str(in_force)
        [malformed] = grep_log(gateway, "malformed_record_ignored", "key=op/config")
        assert "apiKeys" in malformed["cause"]
        assert not grep_log(gateway, "secret")

    run_scenario(scenario)


def test_every_event_of_the_gateway_is_documented() -> None:
    page = PAGE.read_text()
    logged = set()
    for folder in ("gateway", "platform", "telemetry"):
        for path in (SOURCE_FOLDER / folder).glob("*.py"):
            logged |= set(
                re.findall(r'log\.(?:event|request)\(\s*"([a-z_]+)"', path.read_text())
            )
            logged |= set(re.findall(r'_append\("([a-z_]+)"', path.read_text()))
    assert len(logged) > 20
    assert {name for name in logged if f"`{name}" not in page} == set()


def test_every_metric_of_the_gateway_is_documented() -> None:
    page = PAGE.read_text()
    names = []
    for module in ("gateway_metrics.py", "quota_metrics.py", "process_metrics.py"):
        source = (SOURCE_FOLDER / "gateway" / module).read_text()
        names += re.findall(r'name="(bronzebeam_[a-z_]+)"', source)
    assert len(names) == 29
    assert [name for name in names if name not in page] == []
