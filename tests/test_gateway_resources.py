"""Tests of unhandled errors, and of processes short of descriptors or memory."""

import asyncio
import errno
import math
import os
import resource
import socket
from unittest.mock import patch

import httpx
import orjson

from bronzebeam.gateway.change_codec import encode_changes
from bronzebeam.gateway.change_log import ChangeLog
from bronzebeam.gateway.crash_check import has_crashed
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.gateway_metrics import MAX_ROUTE_NAMES, GatewayMetrics
from bronzebeam.gateway.records import Change, RecordKind
from bronzebeam.platform.configuration import decode_configuration
from bronzebeam.routing.routes import CallerLimits, RouteTable
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.telemetry.process_resources import ProcessResources
from bronzebeam.telemetry.unhandled_errors import LINES_BURST
from bronzebeam.transport.caller_connection import PIECE_BYTES, CallerServer
from bronzebeam.transport.caller_memory import (
    MAX_ALL_UNREAD_BYTES,
    MAX_BODY_BYTES,
    SMALL_BODY_BYTES,
)
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_reply import ClientConnection
from tests.fixtures_gateway import (
    PEER_PORT,
    READ_PATH,
    Caller,
    Cluster,
    RunningGateway,
    encode_request,
    make_route,
    run_scenario,
    start_small_cluster,
)
from tests.test_decision_log import LimitedOutput
from tests.test_gateway_process import LOOPBACK, RealGateway, run_with_gateway
from tests.virtual_net import FakeTransport, VirtualLoop, run_in_virtual_time

SPARE_DESCRIPTORS = 20
MAX_DESCRIPTORS = 100


async def read_metrics(cluster: Cluster, gateway: RunningGateway) -> dict[str, float]:
    caller = await cluster.connect(gateway, port=PEER_PORT)
    caller.send(encode_request("/metrics"))
    response = await caller.responses.get()
    assert response is not None
    rows = [line.rpartition(" ") for line in response.body.decode().splitlines()]
    return {name: float(value) for name, _, value in rows if name[0] != "#"}


def fail_with(secret: str) -> None:
    raise KeyError("route gone")


def fail_if_handled(request: HttpRequest) -> None:
    raise AssertionError(request.target)


def test_unhandled_errors_are_logged_with_their_place_and_counted() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for _ in range(30):
            cluster.loop.call_soon(fail_with, "secret-1")
        await asyncio.sleep(2.0)
        cluster.loop.call_soon(fail_with, "secret-1")
        await asyncio.sleep(1.0)
        lines = gateway.log_lines("unhandled_error")
        assert len(lines) == LINES_BURST + 1
        assert "route gone" in lines[0] and "raised_in=fail_with" in lines[0]
        assert "test_gateway_resources.py:" in lines[0] and "secret" not in lines[0]
        assert " left_out=10 " in lines[-1]
        metrics = await read_metrics(cluster, gateway)
        assert metrics["bronzebeam_gateway_unhandled_errors_total"] == 31
        assert metrics["bronzebeam_gateway_resident_memory_bytes"] > 10_000_000
        assert metrics["bronzebeam_gateway_open_descriptors_count"] >= 3

    run_scenario(scenario)


def test_scarce_resource_is_logged_once_until_there_is_plenty_again() -> None:
    output = LimitedOutput()
    log = DecisionLog(instance="g-1", write=output)
    resources = ProcessResources(log=log, max_bytes=1.0)
    for max_bytes in (1.0, 1.0, 1e12, 1e12):
        resources.max_bytes = max_bytes
        resources.check_memory(unfinished_reply_bytes=7)
        resources.check_descriptors()
    log.flush()
    scarce, available = output.lines
    assert "event=resource_scarce resource=memory_bytes" in scarce
    assert " unfinished_reply_bytes=7 " in scarce
    assert "event=resource_available resource=memory_bytes" in available


def full_pipe() -> tuple[int, int]:
    """Return the ends of a pipe that accepts no more bytes; writes wait for a read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4_096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    return reader, writer


def test_errors_do_not_block_a_process_whose_standard_error_nobody_reads() -> None:
    async def use(gateway: RealGateway) -> None:
        pid = gateway.process.pid
        used = len(os.listdir(f"/proc/{pid}/fd"))
        _, most = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (used + SPARE_DESCRIPTORS, most))
        port = int(gateway.caller_url.rpartition(":")[2])
        callers = [
            socket.create_connection((LOOPBACK, port))
            for _ in range(2 * SPARE_DESCRIPTORS)
        ]
        await asyncio.sleep(0.5)
        for caller in callers:
            caller.close()
        assert (await gateway.send_request("after-1")).status_code == 200

    reader, writer = full_pipe()
    try:
        run_with_gateway(use, stderr=writer)
    finally:
        os.close(reader)
        os.close(writer)


def test_request_whose_handling_fails_does_not_stay_in_flight() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        server = gateway.gateway._caller_server
        handle = server.handle

        def handle_or_fail(request: HttpRequest) -> None:
            if request.path.endswith(b"faulty"):
                raise KeyError("route gone")
            handle(request)

        server.handle = handle_or_fail
        caller = await cluster.connect(gateway)
        names = ("1", "faulty", "2", "faulty")
        caller.send(b"".join(encode_request(READ_PATH + name) for name in names))
        async with asyncio.timeout(5.0):
            responses = [await caller.responses.get() for _ in names]
        statuses = [None if item is None else item.status for item in responses]
        assert statuses == [200, 500, 200, 500] and server.in_flight == 0
        assert len(gateway.log_lines("unhandled_error")) == 2

    run_scenario(scenario)


def test_answers_that_callers_do_not_read_take_bounded_memory() -> None:
    handled = 0
    answer_bytes = 4 * 1024 * 1024

    def handle(request: HttpRequest) -> None:
        nonlocal handled
        handled += 1
        request.respond(status=200, headers=[], body=bytes(answer_bytes))

    async def main() -> None:
        loop = asyncio.get_running_loop()
        server = CallerServer(handle=handle, loop=loop)
        listener = await loop.create_server(server.new_connection, LOOPBACK, 0)
        address = listener.sockets[0].getsockname()
        callers = [socket.create_connection(address) for _ in range(20)]
        for caller in callers:
            caller.sendall(100 * encode_request("/"))
        await asyncio.sleep(0.5)
        # What the operating system has taken of the answers is not known.
        assert handled < 10 * len(callers)
        unread_bytes = sum(item.unread_bytes for item in server.connections)
        assert unread_bytes <= MAX_ALL_UNREAD_BYTES
        server.limits = CallerLimits(idle_timeout_ms=-1.0)
        for _ in range(2):
            server.close_timed_out()
        await asyncio.sleep(0.1)
        assert not server.connections and not server.memory.unread
        listener.close()
        for caller in callers:
            caller.close()

    asyncio.run(main())


def test_requests_sent_before_earlier_ones_are_answered_take_bounded_memory() -> None:
    encoded = encode_request("/")
    read_bytes = 256 * 1024  # that asyncio reads at once

    async def main() -> None:
        loop = asyncio.get_running_loop()
        handled: asyncio.Queue[HttpRequest] = asyncio.Queue()

        def handle(request: HttpRequest) -> None:
            handled.put_nowait(request)

        server = CallerServer(handle=handle, loop=loop)
        listener = await loop.create_server(server.new_connection, LOOPBACK, 0)
        reader, writer = await asyncio.open_connection(
            *listener.sockets[0].getsockname()
        )
        writer.write(encoded * (40 * read_bytes // len(encoded)))
        for _ in range(100):
            request = await handled.get()
            [connection] = server.connections
            waiting = len(connection._pending_requests)
            assert waiting <= PIECE_BYTES / len(encoded)
            await asyncio.sleep(0.005)
            request.respond(status=200, headers=[], body=b"")
        writer.transport.abort()
        listener.close()

    asyncio.run(main())


def test_bodies_of_many_callers_take_bounded_memory() -> None:
    async def scenario(cluster: Cluster) -> None:
        held: list[HttpRequest] = []

        def handle(request: HttpRequest) -> None:
            held.append(request)

        server = CallerServer(handle=handle, loop=cluster.loop)
        await cluster.loop.create_server(server.new_connection, "10.9.0.1", 80)

        async def send(body: bytes) -> Caller:
            caller = Caller(loop=cluster.loop)
            cluster.loop.net.open_connection(lambda: caller, ("10.9.0.1", 80), "c")
            caller.send(encode_request("/", method="POST", body=body))
            await asyncio.sleep(0.1)
            return caller

        limit = server.limits.body_max_bytes
        callers = [await send(bytes(limit)) for _ in range(100)]
        assert server.memory.received_bytes <= MAX_BODY_BYTES + SMALL_BODY_BYTES
        response = await callers[-1].responses.get()
        assert response is not None and response.status == 503
        assert response.headers["retry-after"] == "1"
        handled_before = len(held)
        callers.append(await send(b"small"))
        assert len(held) == handled_before + 1
        held[0].respond(status=200, headers=[], body=b"")
        for caller in callers:
            caller.transport.close()
        await asyncio.sleep(1.0)
        assert server.memory.received_bytes == 0

    run_scenario(scenario)


def test_headers_of_many_callers_take_bounded_memory() -> None:
    async def scenario(cluster: Cluster) -> None:
        server = CallerServer(handle=fail_if_handled, loop=cluster.loop)
        await cluster.loop.create_server(server.new_connection, "10.9.0.1", 80)

        async def send_headers() -> Caller:
            caller = Caller(loop=cluster.loop)
            cluster.loop.net.open_connection(lambda: caller, ("10.9.0.1", 80), "c")
            caller.send(b"GET / HTTP/1.1\r\n" + 10_000 * b"ab:\r\n")
            await asyncio.sleep(0.05)
            return caller

        callers = [await send_headers() for _ in range(100)]
        headers = sum(len(item._headers) for item in server.connections)
        assert headers < 50 * 10_000
        response = await callers[-1].responses.get()
        assert response is not None and response.status == 503
        assert response.headers["retry-after"] == "1"
        for caller in callers:
            caller.transport.close()
        await asyncio.sleep(0.5)
        assert server.memory.received_bytes == 0

    run_scenario(scenario)


def test_idle_callers_do_not_take_the_descriptors_of_replicas_and_readiness() -> None:
    async def limit_descriptors(gateway: RealGateway) -> None:
        pid = gateway.process.pid
        _, most = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, most))

    async def use(gateway: RealGateway) -> None:
        port = int(gateway.caller_url.rpartition(":")[2])
        callers = []
        for _ in range(2 * MAX_DESCRIPTORS):
            callers.append(socket.create_connection((LOOPBACK, port)))
            await asyncio.sleep(0.002)
        for connection in list(gateway.replica.connections):
            connection.abort()
        async with httpx.AsyncClient(timeout=5.0) as client:
            response = await client.get(f"{gateway.ready_url}/ready")
        assert response.status_code == 200
        assert (await gateway.send_request("among-idle-1")).status_code == 200
        for caller in callers:
            caller.close()

    run_with_gateway(use, during_start=limit_descriptors)


def test_new_callers_are_refused_if_all_connections_are_busy() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.gateway._caller_server.max_connections = 2
        for replica in cluster.replicas.values():
            replica.work_seconds = 0.3
        callers = [await cluster.connect(gateway) for _ in range(2)]
        for number, caller in enumerate(callers):
            caller.send(encode_request(READ_PATH, attempt_id=f"busy-{number}"))
        await asyncio.sleep(0.1)
        refused = await cluster.connect(gateway)
        async with asyncio.timeout(1.0):
            assert await refused.responses.get() is None
            for caller in callers:
                response = await caller.responses.get()
                assert response is not None and response.status == 200
            await asyncio.sleep(0.1)
            assert await cluster.send_request(gateway, READ_PATH) is not None
        await asyncio.sleep(6.0)
        [line] = gateway.log_lines("caller_connections_limited")
        assert "idle_closed=1 refused=1 " in line

    run_scenario(scenario)


def test_closing_connections_with_unread_responses_count_against_the_limit() -> None:
    async def scenario(loop: VirtualLoop) -> None:
        server = CallerServer(handle=lambda request: None, loop=loop, max_connections=1)
        unread = server.new_connection()
        transport = FakeTransport(net=loop.net, local_host="a", remote_host="b")
        transport.protocol = unread
        unread.connection_made(transport)
        unread.close_if_unused()
        assert not server.accept(server.new_connection())
        assert server.connections == {unread}

    run_in_virtual_time(scenario)


def test_metrics_of_routes_do_not_grow_with_each_configuration() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        sizes = []
        for version in range(3):
            routes = [
                make_route(f"r-{version}-{n}", f"/{version}/{n}/", service="booking")
                for n in range(MAX_ROUTE_NAMES + 5)
            ]
            cluster.configure(*routes)
            await asyncio.sleep(4.0)
            for route in routes:
                await cluster.send_request(gateway, route["pathPrefix"])
            metrics = await read_metrics(cluster, gateway)
            names = [name for name in metrics if "_request_seconds_count" in name]
            sizes.append(len(names))
            assert any(f'route="r-{version}-0"' in name for name in names)
        assert sizes == [MAX_ROUTE_NAMES + 1] * 3

    run_scenario(scenario)


def test_log_of_changes_keeps_no_configuration_that_a_later_one_replaces() -> None:
    def configuration(version: int) -> Change:
        table = RouteTable(version=version, routes=(), services={})
        return Change(kind=RecordKind.CONFIGURATION, name="", value=table)

    log = ChangeLog()
    log.reset(10)
    for number in range(30):
        left = Change(kind=RecordKind.REPLICA, name=f"i-{number}")
        versions = [configuration(2 * number), configuration(2 * number + 1)]
        log.append(11 + number, [versions[0], left, versions[1]])
    encoded = log.encoded_changes_after(10)
    assert encoded is not None and len(orjson.loads(encoded)) == 31
    assert (
        orjson.loads(encoded)[-1]
        == orjson.loads(encode_changes([configuration(59)]))[0]
    )
    # One with a lower version does not come into force.
    log.append(50, [configuration(7)])
    assert log.encoded_changes_after(49) == encode_changes([configuration(7)])
    assert log.encoded_changes_after(39) == encode_changes(
        [
            Change(kind=RecordKind.REPLICA, name="i-29"),
            configuration(59),
            configuration(7),
        ]
    )


def test_only_the_last_of_many_configurations_at_once_is_decoded() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        await asyncio.sleep(3.0)
        for _ in range(20):
            cluster.configure(*cluster.routes)
        last = cluster.version
        cluster.store.put("op/config", {"version": last + 1, "routes": "none"})
        await asyncio.sleep(4.0)
        [*_, line] = lines = gateway.log_lines("configuration_in_force")
        assert f" version={last} " in line and len(lines) <= 3
        [line] = gateway.log_lines("malformed_record_ignored")

    run_scenario(scenario)


def test_configuration_that_comes_with_earlier_ones_is_decoded_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        await asyncio.sleep(3.0)
        with patch(
            "bronzebeam.platform.store.decode_configuration",
            wraps=decode_configuration,
        ) as decode:
            for _ in range(5):
                cluster.configure(*cluster.routes)
            await asyncio.sleep(4.0)
        [*_, line] = gateway.log_lines("configuration_in_force")
        assert f" version={cluster.version} " in line
        values = [call.args[0] for call in decode.call_args_list]
        assert len(values) == len(set(values))

    run_scenario(scenario)


def test_connection_that_fails_for_lack_of_memory_does_not_keep_its_place() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        pools = [item.pool for item in gateway.gateway._state.replicas.all()]
        connects = [pool.connect for pool in pools]

        async def fail(**options: object) -> ClientConnection:
            raise MemoryError

        for pool in pools:
            pool.connect = fail
        cluster.loop.net.reset_connections(gateway.host)
        await asyncio.sleep(5.0)
        assert not any(pool.is_opening for pool in pools)
        for pool, connect in zip(pools, connects):
            pool.connect = connect
        await asyncio.sleep(3.0)
        response = await cluster.send_request(gateway, READ_PATH)
        assert response is not None and response.status == 200

    run_scenario(scenario)


def test_log_is_written_while_each_tick_fails() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        with patch.object(FleetState, "maintain", side_effect=KeyError("gone")):
            await asyncio.sleep(5.0)
            # Not `log_lines`, which would write them.
            [*_, line] = gateway.written_lines
            assert "event=task_failed task=timers cause=" in line
            assert await cluster.is_ready(gateway)

    run_scenario(scenario)


def test_unlimited_descriptors_limit_no_callers() -> None:
    unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    with patch.object(resource, "getrlimit", return_value=unlimited):
        log = DecisionLog(instance="g-1", write=LimitedOutput())
        resources = ProcessResources(log=log)
        assert resources.allowed_descriptors == math.inf
        resources.check_memory()
        resources.check_descriptors()
        resources.max_descriptors = 100
        assert resources.allowed_descriptors == 100
        metrics = GatewayMetrics()
        metrics.process.set_resources(
            ProcessResources(log=log), unfinished_reply_bytes=7, replies_given_up=0
        )
        assert (
            "\nbronzebeam_gateway_allowed_descriptors_count "
            not in metrics.registry.render(now_seconds=0.0)
        )


def test_lack_of_own_descriptors_is_not_taken_for_the_crash_of_a_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        pool = next(iter(gateway.gateway._state.replicas.all())).pool

        async def fail(**options: object) -> ClientConnection:
            raise OSError(errno.EMFILE, "Too many open files")

        pool.connect = fail
        cluster.loop.net.reset_connections(gateway.host)
        assert not await has_crashed(pool)
        assert pool.link().is_failing and not pool.is_opening

    run_scenario(scenario)
