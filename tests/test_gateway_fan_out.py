"""Tests of fan-outs to the shards of an index, in virtual time."""

import asyncio

from tests.fixtures_gateway import (
    FAN_OUT_PATH,
    Cluster,
    Response,
    check_work_stops_on_disconnect,
    encode_record,
    make_route,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
)
from tests.standin_replica import Fault, fault_always, fault_once

SHARDS = 4
TOP_RECORDS = [39, 33, 31, 29, 23]


def encode_records(*values: int) -> bytes:
    return b"".join(encode_record(value) for value in values)


def check_signatures(cluster: Cluster, answer: Response, attempt_id: str) -> set[str]:
    """Check that each signature is from a different shard; return the shards."""
    owners = {
        replica.signature(attempt_id): replica.service
        for replica in cluster.replicas.values()
    }
    services = [owners[item] for item in answer.signatures]
    assert len(set(services)) == len(services)
    return set(services)


def test_answer_has_the_top_records_and_one_signature_per_shard() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id="f-1")
        assert answer is not None and answer.status == 200
        assert answer.body == encode_records(*TOP_RECORDS)
        assert answer.missing == 0
        assert len(check_signatures(cluster, answer, "f-1")) == SHARDS
        assert cluster.run_count("f-1") == SHARDS

    run_scenario(scenario)


def test_search_stays_in_its_domain_while_no_other_replica_is_faster() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, domains=("zone-a", "zone-b", "zone-c"), targetLatencyMs=234
        )
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.045
        for number in range(30):
            if number == 10:  # the usual reply time is known from here on
                for replica in cluster.replicas.values():
                    replica.runs.clear()
            await cluster.send_request(
                gateway, FAN_OUT_PATH, attempt_id=f"f-{number}", remaining_ms=1_500
            )
        own = [item for item in cluster.replicas.values() if item.domain == "zone-a"]
        others = [item for item in cluster.replicas.values() if item not in own]
        assert sum(len(item.runs) for item in others) == 0
        assert sum(len(item.runs) for item in own) == 20 * SHARDS

    run_scenario(scenario)


def test_unavailable_shard_is_reported_missing_without_delay() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in replicas_of_service(cluster, "shard-3"):
            replica.stop()
        await asyncio.sleep(0.3)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id="f-1")
        assert answer is not None and answer.status == 200
        assert answer.missing == 1
        assert answer.body == encode_records(29, 23, 21, 19, 13)
        assert answer.elapsed_seconds < 0.03
        services = check_signatures(cluster, answer, "f-1")
        assert services == {"shard-0", "shard-1", "shard-2"}

    run_scenario(scenario)


def test_request_fails_at_once_if_too_few_shards_are_reachable() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for service in ("shard-2", "shard-3"):
            for replica in replicas_of_service(cluster, service):
                replica.stop()
        await asyncio.sleep(0.3)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id="f-1")
        assert answer is not None
        run_count = cluster.run_count("f-1")
        assert answer.status == (502 if run_count else 503)
        assert float(answer.headers["retry-after"]) > 0.0
        assert answer.elapsed_seconds < 0.03
        assert answer.signatures == []

    run_scenario(scenario)


def test_request_fails_before_slow_shards_reply_if_too_few_can() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.3
        for service in ("shard-2", "shard-3"):
            for replica in replicas_of_service(cluster, service):
                replica.fault = fault_always(Fault.SHED)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert answer is not None and answer.status == 502
        assert answer.elapsed_seconds < 0.03

    run_scenario(scenario)


def test_request_sent_to_no_replica_is_answered_503() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.stop()
        await asyncio.sleep(0.3)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id="f-1")
        assert answer is not None and answer.status == 503
        assert cluster.run_count("f-1") == 0

    run_scenario(scenario)


def test_hedge_covers_a_paused_replica_within_the_target_latency() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for number in range(10):
            paused = replicas_of_service(cluster, "shard-1")[number % 2]
            paused.stalled_until_seconds = cluster.loop.time() + 0.1
            answer = await cluster.send_request(gateway, FAN_OUT_PATH)
            assert answer is not None and answer.status == 200
            assert answer.missing == 0
            assert answer.elapsed_seconds < 0.06
            await asyncio.sleep(0.5)

    run_scenario(scenario)


def test_slow_shard_is_left_out_at_the_target_latency() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.fault = fault_always(Fault.UNRESPONSIVE)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id="f-1")
        assert answer is not None and answer.status == 200
        assert answer.missing == 1
        assert 0.07 < answer.elapsed_seconds < 0.09

    run_scenario(scenario)


def test_answer_waits_past_the_target_latency_for_its_minimum_share() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster, least=1.0)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.work_seconds = 0.2
        answer = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert answer is not None and answer.status == 200
        assert answer.missing == 0
        assert 0.19 < answer.elapsed_seconds < 0.22

    run_scenario(scenario)


def test_failed_and_malformed_replies_are_not_merged() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster, shards=8)
        faults = (
            Fault.ERROR,
            Fault.RESET,
            Fault.TRUNCATED,
            Fault.WRONG_ID,
            Fault.NO_SIGNATURE,
            Fault.GARBAGE,
            Fault.UNFRAMED_RESET,
        )
        for fault in faults:
            for replica in replicas_of_service(cluster, "shard-7"):
                replica.fault = fault_always(fault)
            name = f"f-{fault.value}"
            answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id=name)
            assert answer is not None and answer.status == 200, fault
            assert answer.missing == 1, fault
            assert answer.body == encode_records(69, 63, 61, 59, 53), fault
            assert len(check_signatures(cluster, answer, name)) == 7, fault
            await asyncio.sleep(6.0)

    run_scenario(scenario)


def test_rejected_sub_requests_are_retried_within_the_budget() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.fault = fault_once(Fault.SHED)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id="f-1")
        assert answer is not None and answer.status == 200
        assert answer.missing == 0
        assert cluster.run_count("f-1") == SHARDS

    run_scenario(scenario)


def test_shard_uses_no_more_replicas_than_max_attempts() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for _ in range(3):
            cluster.add_replica("shard-0", records=[encode_record(5)])
        await asyncio.sleep(2.0)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.fault = fault_always(Fault.ERROR)
        for number in range(5):
            name = f"f-{number}"
            answer = await cluster.send_request(gateway, FAN_OUT_PATH, attempt_id=name)
            assert answer is not None and answer.status == 200
            used_replicas = [
                replica
                for replica in replicas_of_service(cluster, "shard-0")
                if any(run.attempt_id == name for run in replica.runs)
            ]
            assert len(used_replicas) <= 2

    run_scenario(scenario)


def test_repeats_stay_within_the_budget_if_all_replicas_reject() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.fault = fault_always(Fault.SHED)
        for _ in range(300):
            await cluster.send_request(gateway, FAN_OUT_PATH)
            await asyncio.sleep(0.005)
        for index in range(SHARDS):
            replicas = replicas_of_service(cluster, f"shard-{index}")
            arrivals = sum(len(item.received_ids) for item in replicas)
            assert arrivals <= 300 + 0.2 * 300 + 50

    run_scenario(scenario)


def test_shard_with_only_slow_replicas_is_skipped_until_it_recovers() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        for _ in range(30):
            await cluster.send_request(gateway, FAN_OUT_PATH)
        slow = replicas_of_service(cluster, "shard-0")
        for replica in slow:
            replica.work_seconds = 0.25
        for _ in range(20):
            await cluster.send_request(gateway, FAN_OUT_PATH)
            await asyncio.sleep(0.1)
        elapsed = []
        for _ in range(10):
            answer = await cluster.send_request(gateway, FAN_OUT_PATH)
            assert answer is not None and answer.status == 200
            elapsed.append(answer.elapsed_seconds)
            await asyncio.sleep(0.1)
        assert sorted(elapsed)[5] < 0.03
        for replica in slow:
            replica.work_seconds = 0.005
        await asyncio.sleep(10.0)
        for _ in range(10):
            answer = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert answer is not None and answer.missing == 0

    run_scenario(scenario)


def test_all_shards_of_an_answer_are_from_one_configuration() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        names = [f"next-{index}" for index in range(3)]
        for index, name in enumerate(names):
            cluster.add_replica(name, records=[encode_record(100 + index)])
        await asyncio.sleep(1.5)
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.03
        answer_tasks = [
            asyncio.ensure_future(
                cluster.send_request(gateway, FAN_OUT_PATH, attempt_id=f"p-{number}")
            )
            for number in range(3)
        ]
        cluster.configure(
            make_route(
                "r-find",
                FAN_OUT_PATH,
                fanoutServices=names,
                topK=5,
                minShardFraction=0.75,
            )
        )
        for number in range(60):
            await asyncio.sleep(0.02)
            answer_tasks.append(
                asyncio.ensure_future(
                    cluster.send_request(
                        gateway, FAN_OUT_PATH, attempt_id=f"q-{number}"
                    )
                )
            )
        sets = [{f"shard-{index}" for index in range(SHARDS)}, set(names)]
        names_of = [f"p-{i}" for i in range(3)] + [f"q-{i}" for i in range(60)]
        seen = set()
        for name, answer in zip(names_of, await asyncio.gather(*answer_tasks)):
            assert answer is not None and answer.status == 200
            services = check_signatures(cluster, answer, name)
            [whole] = [item for item in sets if services <= item]
            assert len(services) + answer.missing == len(whole)
            seen.add(len(whole))
        assert seen == {3, 4}

    run_scenario(scenario)


def test_all_shards_stop_working_when_the_caller_disconnects() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster, targetLatencyMs=700)
        await check_work_stops_on_disconnect(cluster, gateway, runs_at_least=SHARDS)

    run_scenario(scenario)


def test_retry_after_the_target_latency_is_served_like_a_new_request() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        await cluster.send_request(gateway, FAN_OUT_PATH, remaining_ms=800)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.work_seconds = 0.06
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, remaining_ms=650)
        assert answer is not None and answer.status == 200
        assert answer.missing == 0

    run_scenario(scenario)


def test_retry_is_answered_within_the_rest_of_the_target_latency() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        await cluster.send_request(gateway, FAN_OUT_PATH, remaining_ms=800)
        for replica in replicas_of_service(cluster, "shard-0"):
            replica.fault = fault_always(Fault.UNRESPONSIVE)
        answer = await cluster.send_request(gateway, FAN_OUT_PATH, remaining_ms=750)
        assert answer is not None and answer.status == 200
        assert answer.elapsed_seconds < 0.04

    run_scenario(scenario)
