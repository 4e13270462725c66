"""Tests of callers' connections: framing, limits and pipelining."""

import asyncio

from tests.fixtures_gateway import (
    BOOKING_PATH,
    PEER_PORT,
    READ_PATH,
    READY_PORT,
    Cluster,
    encode_request,
    run_scenario,
    start_small_cluster,
)


def runs(cluster: Cluster) -> list[tuple[str, str, bytes]]:
    return [
        (run.method, run.target, run.body)
        for replica in cluster.replicas.values()
        for run in replica.runs
    ]


def test_pipelined_requests_are_answered_in_order() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.replicas["i-1"].work_seconds = 0.05
        caller = await cluster.connect(gateway)
        names = [f"p-{number}" for number in range(40)]
        caller.send(
            b"".join(encode_request(READ_PATH, attempt_id=name) for name in names)
        )
        for name in names:
            answer = await caller.responses.get()
            assert answer is not None and answer.body.endswith(f"/{name}".encode())

    run_scenario(scenario)


def test_request_inside_a_body_is_not_run() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        inner = encode_request("/read/inner", attempt_id="smuggled")
        answer = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", body=inner
        )
        assert answer is not None and answer.status == 200
        assert runs(cluster) == [("POST", BOOKING_PATH, inner)]

    run_scenario(scenario)


def test_ambiguous_framing_is_rejected_and_nothing_runs() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        inner = encode_request("/read/inner", attempt_id="smuggled")
        for headers in (
            {"Transfer-Encoding": "chunked", "Content-Length": "5"},
            {"Content-Length": "x"},
            {"Transfer-Encoding": "chunked, identity"},
        ):
            head = encode_request(BOOKING_PATH, method="POST", headers=headers)
            caller = await cluster.connect(gateway)
            caller.send(head + b"0\r\n\r\n" + inner)
            answer = await caller.responses.get()
            assert answer is not None and answer.status == 400, headers
            assert await caller.responses.get() is None
        assert runs(cluster) == []

    run_scenario(scenario)


def test_trailers_of_a_request_are_not_passed_on_as_headers() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        caller = await cluster.connect(gateway)
        head = encode_request(
            BOOKING_PATH, method="POST", headers={"Transfer-Encoding": "chunked"}
        )
        caller.send(head + b"3\r\nabc\r\n0\r\nX-Late: 1\r\nX-Later: 2\r\n\r\n")
        answer = await caller.responses.get()
        assert answer is not None and answer.status == 200
        caller.send(encode_request(READ_PATH, attempt_id="a-2"))
        answer = await caller.responses.get()
        assert answer is not None and answer.status == 200
        received = [
            name.lower()
            for replica in cluster.replicas.values()
            for headers in replica.received_headers
            for name in headers
        ]
        assert "x-bronzebeam-attempt-id" in received
        assert "x-late" not in received and "x-later" not in received

    run_scenario(scenario)


def test_configured_header_and_body_limits_are_enforced() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        answer = await cluster.send_request(
            gateway, READ_PATH, headers={"X-Long": "x" * 5_000}
        )
        assert answer is not None and answer.status == 431
        answer = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", body=b"x" * 70_000
        )
        assert answer is not None and answer.status == 413
        answer = await cluster.send_request(
            gateway, BOOKING_PATH, method="POST", body=b"x" * 60_000
        )
        assert answer is not None and answer.status == 200

    run_scenario(scenario)


def test_slow_and_idle_callers_are_disconnected() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        slow, idle = await cluster.connect(gateway), await cluster.connect(gateway)
        slow.send(b"GET /read/ HTTP/1.1\r\nHost: app")
        idle.send(encode_request(READ_PATH))
        assert (await idle.responses.get()) is not None
        await asyncio.sleep(1.9)
        assert not slow.ended
        await asyncio.sleep(2.5)
        answer = await slow.responses.get()
        assert answer is not None and answer.status == 408
        await asyncio.sleep(4.0)
        idle.send(encode_request(READ_PATH, attempt_id="again"))
        answer = await idle.responses.get()
        assert answer is not None and answer.status == 200
        await asyncio.sleep(12.5)
        assert idle.ended

    run_scenario(scenario)


def test_expect_100_continue_is_answered() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        caller = await cluster.connect(gateway)
        head = encode_request(
            BOOKING_PATH,
            method="POST",
            headers={"Expect": "100-continue", "Content-Length": "3"},
        )
        caller.send(head)
        interim = await caller.responses.get()
        assert interim is not None and interim.status == 100
        caller.send(b"abc")
        answer = await caller.responses.get()
        assert answer is not None and answer.status == 200
        assert runs(cluster) == [("POST", BOOKING_PATH, b"abc")]

    run_scenario(scenario)


def test_request_without_an_attempt_id_is_rejected() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        caller = await cluster.connect(gateway)
        caller.send(b"GET /read/x HTTP/1.1\r\nHost: app.example\r\n\r\n")
        answer = await caller.responses.get()
        assert answer is not None and answer.status == 400
        assert runs(cluster) == []

    run_scenario(scenario)


def test_connection_close_header_is_honored() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        caller = await cluster.connect(gateway)
        caller.send(encode_request(READ_PATH, headers={"Connection": "close"}))
        answer = await caller.responses.get()
        assert answer is not None and answer.headers["connection"] == "close"
        assert await caller.responses.get() is None

    run_scenario(scenario)


def test_slow_and_idle_connections_to_the_other_ports_are_closed() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for port in (PEER_PORT, READY_PORT):
            slow, idle = [await cluster.connect(gateway, port=port) for _ in range(2)]
            slow.send(b"GET /ready HTTP/1.1\r\nHost: x\r\n")
            await asyncio.sleep(12.0)
            assert slow.ended
            await asyncio.sleep(50.0)
            assert idle.ended

    run_scenario(scenario)
