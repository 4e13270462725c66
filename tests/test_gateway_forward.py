"""Tests of requests forwarded to one replica, with stand-ins in virtual time."""

import asyncio

from bronzebeam.gateway.forward import MAX_REJECTIONS
from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    READ_PATH,
    Cluster,
    encode_request,
    make_route,
    replicas_of_service,
    run_scenario,
    start_small_cluster,
)
from tests.standin_replica import SIGNATURE_HEADER, Fault, fault_always, fault_once


def set_fault_on_all(cluster: Cluster, fault: Fault) -> None:
    for replica in cluster.replicas.values():
        replica.fault = fault_always(fault)


def test_reply_is_returned_unchanged_with_its_signature() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        answer = await cluster.send_request(
            gateway, READ_PATH + "x?q=1", attempt_id="a-7"
        )
        assert answer is not None and answer.status == 200
        [replica] = [item for item in cluster.replicas.values() if item.runs]
        [run] = replica.runs
        assert answer.body == f"{replica.replica}/a-7".encode()
        assert answer.headers[SIGNATURE_HEADER.lower()] == replica.signature("a-7")
        assert (run.method, run.target) == ("GET", READ_PATH + "x?q=1")
        assert 700 < run.remaining_ms <= 800

    run_scenario(scenario)


def test_method_and_chunked_body_reach_the_replica_unchanged() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        head = encode_request(
            BOOKING_PATH, method="POST", headers={"Transfer-Encoding": "chunked"}
        )
        caller = await cluster.connect(gateway)
        caller.send(head + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
        answer = await caller.responses.get()
        assert answer is not None and answer.status == 200
        [run] = [run for item in cluster.replicas.values() for run in item.runs]
        assert (run.method, run.body) == ("POST", b"abcdefg")

    run_scenario(scenario)


def test_non_idempotent_request_is_not_retried_after_a_lost_reply() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for fault in (Fault.RESET, Fault.GARBAGE, Fault.TRUNCATED, Fault.WRONG_ID):
            set_fault_on_all(cluster, fault)
            name = f"a-{fault.value}"
            answer = await cluster.send_request(
                gateway, BOOKING_PATH, method="POST", body=b"x", attempt_id=name
            )
            assert answer is not None and answer.status == 502, fault
            assert cluster.run_count(name) == 1, fault
            await asyncio.sleep(6.0)

    run_scenario(scenario)


def test_rejected_non_idempotent_request_is_retried_and_runs_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.fault = fault_once(Fault.SHED)
        cluster.add_replica(BOOKING_SERVICE)
        await asyncio.sleep(2.0)
        answer = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", body=b"x", attempt_id="b-1"
        )
        assert answer is not None and answer.status == 200
        assert cluster.run_count("b-1") == 1

    run_scenario(scenario)


def test_refused_request_has_not_run_and_is_answered_at_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        set_fault_on_all(cluster, Fault.SHED)
        for path, method in ((BOOKING_PATH, "POST"), (READ_PATH, "GET")):
            answer = await cluster.send_request(
                gateway, path, method=method, attempt_id=f"r-{method}"
            )
            assert answer is not None and answer.status == 503
            assert 0.0 < float(answer.headers["retry-after"]) < 0.1
            assert answer.elapsed_seconds < 0.02
            assert cluster.run_count(f"r-{method}") == 0
        arrivals = sum(len(item.received_ids) for item in cluster.replicas.values())
        assert arrivals <= 2 * MAX_REJECTIONS

    run_scenario(scenario)


def test_idempotent_request_is_retried_after_losses_and_failures() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for fault in (Fault.RESET, Fault.ERROR, Fault.GARBAGE, Fault.NO_SIGNATURE):
            for replica in cluster.replicas.values():
                replica.fault = fault_always(fault)
            healthy = cluster.add_replica(BOOKING_SERVICE)
            for other in replicas_of_service(cluster, BOOKING_SERVICE)[:-2]:
                cluster.unregister(other)
            await asyncio.sleep(4.0)
            answer = await cluster.send_request(
                gateway, READ_PATH, attempt_id=fault.value
            )
            assert answer is not None and answer.status == 200, fault
            assert answer.body.startswith(healthy.replica.encode())
            assert cluster.run_count(fault.value) <= 2

    run_scenario(scenario)


def test_error_reply_of_the_last_replica_is_returned_unchanged() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        set_fault_on_all(cluster, Fault.ERROR)
        answer = await cluster.send_request(gateway, READ_PATH, attempt_id="e-1")
        assert answer is not None and answer.status == 500
        assert answer.body == b"failed"
        signatures = [item.signature("e-1") for item in cluster.replicas.values()]
        assert answer.headers[SIGNATURE_HEADER.lower()] in signatures
        assert cluster.run_count("e-1") == 2

    run_scenario(scenario)


def test_bytes_after_a_reply_reach_no_caller() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for fault in (Fault.EXTRA, Fault.EXTRA_JOINED, Fault.EXTRA_LATE):
            set_fault_on_all(cluster, fault)
            for number in range(6):
                name = f"{fault.value}-{number}"
                answer = await cluster.send_request(gateway, READ_PATH, attempt_id=name)
                assert answer is not None and answer.status == 200
                assert answer.body.endswith(name.encode())
                await asyncio.sleep(0.048)

    run_scenario(scenario)


def test_reply_without_length_is_complete_only_after_a_clean_close() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        set_fault_on_all(cluster, Fault.UNFRAMED)
        answer = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", attempt_id="u"
        )
        assert answer is not None and answer.status == 200
        assert answer.body.endswith(b"/u")
        set_fault_on_all(cluster, Fault.UNFRAMED_RESET)
        answer = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", attempt_id="v"
        )
        assert answer is not None and answer.status == 502
        assert cluster.run_count("v") == 1

    run_scenario(scenario)


def test_other_process_at_the_address_of_a_replica_is_not_used() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        stopped = cluster.replicas["i-1"]
        stopped.stop()
        other = cluster.add_replica("another-service")
        other.host, other.port = stopped.host, stopped.port
        other.listen()
        await asyncio.sleep(2.0)
        for number in range(8):
            answer = await cluster.send_request(gateway, BOOKING_PATH, method="POST")
            assert answer is not None and answer.status == 200, number
        assert other.runs == []
        assert len(other.received_ids) <= 1

    run_scenario(scenario)


def test_unresponsive_replica_is_answered_504_at_the_deadline() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        set_fault_on_all(cluster, Fault.UNRESPONSIVE)
        answer = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", attempt_id="s-1", remaining_ms=300
        )
        assert answer is not None and answer.status == 504
        assert 0.25 < answer.elapsed_seconds <= 0.301
        assert cluster.run_count("s-1") == 1

    run_scenario(scenario)


def test_non_idempotent_request_avoids_connections_that_were_idle_for_long() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        answer = await cluster.send_request(gateway, BOOKING_PATH, method="POST")
        assert answer is not None and answer.status == 200
        await asyncio.sleep(6.0)
        for transport in cluster.loop.net.transports:
            if transport.local_host == gateway.host:
                transport.peer = None
        answer = await cluster.send_request(gateway, BOOKING_PATH, method="POST")
        assert answer is not None and answer.status == 200

    run_scenario(scenario)


def test_hedge_answers_an_idempotent_request_if_a_replica_pauses() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.stalled_until_seconds = 0.0
        now = cluster.loop.time()
        cluster.replicas["i-1"].stalled_until_seconds = now + 5.0
        for number in range(4):
            answer = await cluster.send_request(
                gateway, READ_PATH, attempt_id=f"h-{number}"
            )
            assert answer is not None and answer.status == 200
            assert answer.elapsed_seconds < 0.06

    run_scenario(scenario)


def test_replicas_stop_working_when_the_caller_disconnects() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 2.0
        caller = await cluster.connect(gateway)
        caller.send(encode_request(READ_PATH, attempt_id="g-1", remaining_ms=2_500))
        await asyncio.sleep(0.2)
        caller.transport.close()
        await asyncio.sleep(0.3)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        sent = len(runs)
        assert sent and all(run.aborted for run in runs)
        await asyncio.sleep(3.0)
        assert cluster.run_count("g-1") == sent

    run_scenario(scenario)


def test_route_timeout_ends_a_request_before_its_deadline() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.configure(
            make_route("r-read", READ_PATH, service=BOOKING_SERVICE, timeoutMs=200)
        )
        await asyncio.sleep(2.0)
        set_fault_on_all(cluster, Fault.UNRESPONSIVE)
        answer = await cluster.send_request(gateway, READ_PATH, remaining_ms=2_500)
        assert answer is not None and answer.status == 504
        assert answer.elapsed_seconds <= 0.205

    run_scenario(scenario)


def test_traffic_split_is_kept_if_one_service_is_down() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.add_replica("old")
        cluster.add_replica("new")
        split = [{"service": "old", "weight": 3}, {"service": "new", "weight": 1}]
        cluster.configure(make_route("r-split", READ_PATH, trafficSplit=split))
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(3.0)
        for _ in range(40):
            answer = await cluster.send_request(gateway, READ_PATH)
            assert answer is not None and answer.status == 200
        assert len(replicas_of_service(cluster, "old")[0].runs) == 30
        assert len(replicas_of_service(cluster, "new")[0].runs) == 10
        replicas_of_service(cluster, "new")[0].stop()
        await asyncio.sleep(0.5)
        answers = [await cluster.send_request(gateway, READ_PATH) for _ in range(40)]
        statuses = [item.status for item in answers if item is not None]
        assert statuses.count(503) == 10
        assert len(replicas_of_service(cluster, "old")[0].runs) == 60

    run_scenario(scenario)


def test_unknown_route_is_404_and_missing_configuration_503() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.add_replica(BOOKING_SERVICE)
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(2.0)
        answer = await cluster.send_request(gateway, READ_PATH)
        assert answer is not None and answer.status == 503
        cluster.configure(make_route("r-read", READ_PATH, service=BOOKING_SERVICE))
        await asyncio.sleep(2.0)
        answer = await cluster.send_request(gateway, "/nowhere/x")
        assert answer is not None and answer.status == 404
        answer = await cluster.send_request(gateway, READ_PATH)
        assert answer is not None and answer.status == 200

    run_scenario(scenario)
