"""Tests of requests that go to one replica, over stand-ins in virtual time."""

import asyncio

from bronzebeam.gateway.forward import MAX_REJECTIONS
from tests.fixtures_gateway import (
    CALL_PATH,
    CALL_SERVICE,
    READ_PATH,
    Cluster,
    encode_request,
    replicas_of,
    route,
    small_cluster,
    with_cluster,
)
from tests.standin_replica import SIGNATURE_HEADER, Fault, every, once


def faults_on_all(cluster: Cluster, fault: Fault) -> None:
    for replica in cluster.replicas.values():
        replica.fault = every(fault)


def test_reply_comes_back_whole_with_its_signature() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        answer = await cluster.ask(gateway, READ_PATH + "x?q=1", attempt_id="a-7")
        assert answer is not None and answer.status == 200
        [replica] = [item for item in cluster.replicas.values() if item.runs]
        [run] = replica.runs
        assert answer.body == f"{replica.replica}/a-7".encode()
        assert answer.headers[SIGNATURE_HEADER.lower()] == replica.signature("a-7")
        assert (run.method, run.target) == ("GET", READ_PATH + "x?q=1")
        assert 700 < run.remaining_ms <= 800

    with_cluster(scenario)


def test_body_and_method_arrive_unchanged_also_from_chunks() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        head = encode_request(
            CALL_PATH, method="POST", headers={"Transfer-Encoding": "chunked"}
        )
        caller = await cluster.connect(gateway)
        caller.send(head + b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
        answer = await caller.answers.get()
        assert answer is not None and answer.status == 200
        [run] = [run for item in cluster.replicas.values() for run in item.runs]
        assert (run.method, run.body) == ("POST", b"abcdefg")

    with_cluster(scenario)


def test_booking_whose_reply_was_lost_is_not_sent_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        for fault in (Fault.RESET, Fault.GARBAGE, Fault.TRUNCATED, Fault.OTHER_ID):
            faults_on_all(cluster, fault)
            name = f"a-{fault.value}"
            answer = await cluster.ask(
                gateway, CALL_PATH, method="POST", body=b"x", attempt_id=name
            )
            assert answer is not None and answer.status == 502, fault
            assert cluster.runs_of(name) == 1, fault
            await asyncio.sleep(6.0)

    with_cluster(scenario)


def test_booking_that_was_turned_away_goes_to_another_replica_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.fault = once(Fault.SHED)
        cluster.add_replica(CALL_SERVICE)
        await asyncio.sleep(2.0)
        answer = await cluster.ask(
            gateway, CALL_PATH, method="POST", body=b"x", attempt_id="b-1"
        )
        assert answer is not None and answer.status == 200
        assert cluster.runs_of("b-1") == 1

    with_cluster(scenario)


def test_refusal_says_not_run_and_is_true_and_at_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        faults_on_all(cluster, Fault.SHED)
        for path, method in ((CALL_PATH, "POST"), (READ_PATH, "GET")):
            answer = await cluster.ask(
                gateway, path, method=method, attempt_id=f"r-{method}"
            )
            assert answer is not None and answer.status == 503
            assert 0.0 < float(answer.headers["retry-after"]) < 0.1
            assert answer.elapsed_seconds < 0.02
            assert cluster.runs_of(f"r-{method}") == 0
        arrivals = sum(len(item.arrivals) for item in cluster.replicas.values())
        assert arrivals <= 2 * MAX_REJECTIONS

    with_cluster(scenario)


def test_read_is_sent_again_after_a_loss_and_after_a_failure() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        for fault in (Fault.RESET, Fault.ERROR, Fault.GARBAGE, Fault.NO_SIGNATURE):
            for replica in cluster.replicas.values():
                replica.fault = every(fault)
            healthy = cluster.add_replica(CALL_SERVICE)
            for other in replicas_of(cluster, CALL_SERVICE)[:-2]:
                cluster.unregister(other)
            await asyncio.sleep(4.0)
            answer = await cluster.ask(gateway, READ_PATH, attempt_id=fault.value)
            assert answer is not None and answer.status == 200, fault
            assert answer.body.startswith(healthy.replica.encode())
            assert cluster.runs_of(fault.value) <= 2

    with_cluster(scenario)


def test_failure_of_the_last_replica_is_passed_on_as_it_is() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        faults_on_all(cluster, Fault.ERROR)
        answer = await cluster.ask(gateway, READ_PATH, attempt_id="e-1")
        assert answer is not None and answer.status == 500
        assert answer.body == b"failed"
        signatures = [item.signature("e-1") for item in cluster.replicas.values()]
        assert answer.headers[SIGNATURE_HEADER.lower()] in signatures
        assert cluster.runs_of("e-1") == 2

    with_cluster(scenario)


def test_bytes_behind_a_reply_reach_no_caller() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        for fault in (Fault.EXTRA, Fault.EXTRA_JOINED, Fault.EXTRA_LATE):
            faults_on_all(cluster, fault)
            for number in range(6):
                name = f"{fault.value}-{number}"
                answer = await cluster.ask(gateway, READ_PATH, attempt_id=name)
                assert answer is not None and answer.status == 200
                assert answer.body.endswith(name.encode())
                await asyncio.sleep(0.048)

    with_cluster(scenario)


def test_reply_without_length_is_whole_only_if_the_connection_was_closed() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        faults_on_all(cluster, Fault.UNFRAMED)
        answer = await cluster.ask(gateway, CALL_PATH, method="POST", attempt_id="u")
        assert answer is not None and answer.status == 200
        assert answer.body.endswith(b"/u")
        faults_on_all(cluster, Fault.UNFRAMED_RESET)
        answer = await cluster.ask(gateway, CALL_PATH, method="POST", attempt_id="v")
        assert answer is not None and answer.status == 502
        assert cluster.runs_of("v") == 1

    with_cluster(scenario)


def test_another_process_at_the_address_is_not_taken_for_the_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        taken = cluster.replicas["i-1"]
        taken.stop()
        other = cluster.add_replica("another-service")
        other.host, other.port = taken.host, taken.port
        other.listen()
        await asyncio.sleep(2.0)
        for number in range(8):
            answer = await cluster.ask(gateway, CALL_PATH, method="POST")
            assert answer is not None and answer.status == 200, number
        assert other.runs == []
        assert len(other.arrivals) <= 1

    with_cluster(scenario)


def test_silent_replica_ends_with_the_deadline_and_promises_nothing() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        faults_on_all(cluster, Fault.SILENT)
        answer = await cluster.ask(
            gateway, CALL_PATH, method="POST", attempt_id="s-1", remaining_ms=300
        )
        assert answer is not None and answer.status == 504
        assert 0.25 < answer.elapsed_seconds <= 0.301
        assert cluster.runs_of("s-1") == 1

    with_cluster(scenario)


def test_booking_is_not_lost_on_a_connection_that_went_silent_while_idle() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        answer = await cluster.ask(gateway, CALL_PATH, method="POST")
        assert answer is not None and answer.status == 200
        await asyncio.sleep(6.0)
        for transport in cluster.loop.net.transports:
            if transport.own == gateway.host:
                transport.peer = None
        answer = await cluster.ask(gateway, CALL_PATH, method="POST")
        assert answer is not None and answer.status == 200

    with_cluster(scenario)


def test_slow_read_is_sent_to_a_second_replica_and_answered_by_it() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.paused_until_seconds = 0.0
        now = cluster.loop.time()
        cluster.replicas["i-1"].paused_until_seconds = now + 5.0
        for number in range(4):
            answer = await cluster.ask(gateway, READ_PATH, attempt_id=f"h-{number}")
            assert answer is not None and answer.status == 200
            assert answer.elapsed_seconds < 0.06

    with_cluster(scenario)


def test_work_is_stopped_once_the_caller_has_left() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
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
        assert cluster.runs_of("g-1") == sent

    with_cluster(scenario)


def test_route_timeout_ends_a_request_before_its_deadline() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await small_cluster(cluster)
        cluster.configure(
            route("r-read", READ_PATH, service=CALL_SERVICE, timeoutMs=200)
        )
        await asyncio.sleep(2.0)
        faults_on_all(cluster, Fault.SILENT)
        answer = await cluster.ask(gateway, READ_PATH, remaining_ms=2_500)
        assert answer is not None and answer.status == 504
        assert answer.elapsed_seconds <= 0.205

    with_cluster(scenario)


def test_shares_of_a_split_are_kept_and_what_does_not_fit_stays() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.add_replica("old")
        cluster.add_replica("new")
        split = [{"service": "old", "weight": 3}, {"service": "new", "weight": 1}]
        cluster.configure(route("r-split", READ_PATH, trafficSplit=split))
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(3.0)
        for _ in range(40):
            answer = await cluster.ask(gateway, READ_PATH)
            assert answer is not None and answer.status == 200
        assert len(replicas_of(cluster, "old")[0].runs) == 30
        assert len(replicas_of(cluster, "new")[0].runs) == 10
        replicas_of(cluster, "new")[0].stop()
        await asyncio.sleep(0.5)
        answers = [await cluster.ask(gateway, READ_PATH) for _ in range(40)]
        statuses = [item.status for item in answers if item is not None]
        assert statuses.count(503) == 10
        assert len(replicas_of(cluster, "old")[0].runs) == 60

    with_cluster(scenario)


def test_unknown_route_is_told_from_a_missing_configuration() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.add_replica(CALL_SERVICE)
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(2.0)
        answer = await cluster.ask(gateway, READ_PATH)
        assert answer is not None and answer.status == 503
        cluster.configure(route("r-read", READ_PATH, service=CALL_SERVICE))
        await asyncio.sleep(2.0)
        answer = await cluster.ask(gateway, "/nowhere/x")
        assert answer is not None and answer.status == 404
        answer = await cluster.ask(gateway, READ_PATH)
        assert answer is not None and answer.status == 200

    with_cluster(scenario)
