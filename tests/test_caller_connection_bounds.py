"""Tests of the bounds on what connections from callers receive and keep."""

import asyncio
import gc
from typing import Any

import httptools
from attrs import define, evolve, field

from bronzebeam.routing.routes import CallerLimits
from bronzebeam.transport.caller_connection import (
    MAX_BACKLOG_BYTES,
    PIECE_BYTES,
    CallerServer,
)
from bronzebeam.transport.caller_memory import CallerMemory
from bronzebeam.transport.caller_request import HttpRequest
from tests.fixtures_gateway import (
    BOOKING_PATH,
    PEER_PORT,
    READ_PATH,
    READY_PORT,
    Caller,
    Cluster,
    encode_request,
    run_scenario,
    start_small_cluster,
)
from tests.virtual_net import VirtualLoop, run_in_virtual_time

ADDRESS = ("10.9.0.1", 80)
LIMITS = CallerLimits(
    header_max_bytes=4_096,
    body_max_bytes=8_192,
    header_timeout_ms=5_000.0,
    idle_timeout_ms=8_000.0,
)
CHUNKED_HEAD = encode_request(
    "/", method="POST", headers={"Transfer-Encoding": "chunked"}
)


@define(kw_only=True, eq=False)
class ServerRig:
    """
    A server in virtual time; its requests are answered only if a test does so.

    :ivar requests: handled so far.
    """

    loop: VirtualLoop
    server: CallerServer = field(init=False)
    requests: list[HttpRequest] = field(factory=list)

    async def start(self, **options: Any) -> None:
        def handle(request: HttpRequest) -> None:
            self.requests.append(request)

        self.server = CallerServer(
            handle=handle, loop=self.loop, limits=LIMITS, **options
        )
        await self.loop.create_server(self.server.new_connection, *ADDRESS)

    async def connect(self) -> Caller:
        caller = Caller(loop=self.loop)
        self.loop.net.open_connection(lambda: caller, ADDRESS, "caller")
        await asyncio.sleep(0.01)
        return caller

    async def send(self, data: bytes, caller: Caller | None = None) -> Caller:
        """Send on a new connection, if none is given, and let it arrive."""
        caller = caller or await self.connect()
        caller.send(data)
        await asyncio.sleep(0.01)
        return caller

    def answer(self, body: bytes = b"") -> None:
        """Answer the latest request."""
        self.requests[-1].respond(status=200, headers=[], body=body)


def count_parsers() -> int:
    return sum(type(item) is httptools.HttpRequestParser for item in gc.get_objects())


async def status_of(caller: Caller) -> int | None:
    """Return the status of the next response; None if the connection ended."""
    async with asyncio.timeout(1.0):
        response = await caller.responses.get()
    return None if response is None else response.status


def test_ended_connection_is_freed_without_a_collection_of_cycles() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        gc.collect()
        before = count_parsers()
        gc.disable()
        try:
            caller = await rig.send(b"GET / HTTP/1.1\r\nX-Long: " + b"a" * 1_000)
            assert count_parsers() == before + 1
            caller.transport.abort()
            await asyncio.sleep(0.1)
            assert not rig.server.connections and count_parsers() == before
        finally:
            gc.enable()

    run_in_virtual_time(main)


def test_bytes_that_the_parser_keeps_are_limited_at_each_stage_of_a_request() -> None:
    endless = {
        "method": (b"", b"A"),
        "target": (b"GET /", b"a"),
        "header name": (b"GET / HTTP/1.1\r\n", b"a"),
        "header value": (b"GET / HTTP/1.1\r\nA: ", b"a"),
        "spaces": (b"GET / HTTP/1.1\r\nA:", b" "),
        "headers": (b"GET / HTTP/1.1\r\n", b"a:\r\n"),
        "empty lines": (b"", b"\r\n"),
        "empty lines after a request": (encode_request("/"), b"\r\n"),
        "chunk extension": (CHUNKED_HEAD + b"1;", b"a"),
        "trailer": (CHUNKED_HEAD + b"0\r\nA: ", b"a"),
        "trailers": (CHUNKED_HEAD + b"0\r\n", b"a:\r\n"),
    }

    async def main(loop: VirtualLoop) -> None:
        for name, (start, part) in endless.items():
            rig = ServerRig(loop=loop)
            await rig.start()
            caller = await rig.send(start)
            sent_bytes = 0
            while not caller.ended and sent_bytes < 10 * LIMITS.header_max_bytes:
                await rig.send(512 // len(part) * part, caller)
                sent_bytes += 512
                for request in rig.requests:
                    request.respond(status=200, headers=[], body=b"")
            assert sent_bytes <= 2 * LIMITS.header_max_bytes, name
            statuses = [await status_of(caller) for _ in range(len(rig.requests) + 1)]
            assert statuses[-1] in (431, 400), name
            rig.loop.net.listeners.clear()

    run_in_virtual_time(main)


def test_empty_lines_do_not_keep_a_connection_open() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        caller = await rig.connect()
        for _ in range(20):
            await rig.send(b"\r\n", caller)
            await asyncio.sleep(1.0)
            rig.server.close_timed_out()
        assert caller.ended

    run_in_virtual_time(main)


def test_request_at_the_limits_is_served() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        long = "a" * (LIMITS.header_max_bytes - 200)
        caller = await rig.send(b"\r\n" + encode_request("/", headers={"X-Long": long}))
        rig.answer()
        assert await status_of(caller) == 200
        await rig.send(CHUNKED_HEAD + LIMITS.body_max_bytes * b"1\r\na\r\n", caller)
        await rig.send(b"0\r\n\r\n", caller)
        rig.answer()
        assert await status_of(caller) == 200
        assert rig.requests[-1].body == LIMITS.body_max_bytes * b"a"

    run_in_virtual_time(main)


def test_body_in_small_chunks_takes_no_more_memory_than_its_bytes() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        await rig.send(CHUNKED_HEAD + 4_000 * b"2\r\nab\r\n")
        [connection] = rig.server.connections
        gc.collect()
        kept = gc.get_referents(connection) + gc.get_referents(connection._body)
        assert len(connection._body) == 8_000
        assert sum(isinstance(item, bytes) for item in kept) < 10

    run_in_virtual_time(main)


def test_requests_behind_one_in_work_are_parsed_when_it_is_answered() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        started_at = loop.time()
        caller = await rig.send(encode_request("/first"))
        for _ in range(500):
            await rig.send(20 * encode_request("/more"), caller)
        [connection] = rig.server.connections
        assert len(rig.requests) == 1 and not connection._pending_requests
        assert connection._backlog_bytes < 2 * MAX_BACKLOG_BYTES
        for number in range(1, 10_001):
            rig.answer()
            assert await status_of(caller) == 200
            await asyncio.sleep(0.0)
            assert len(rig.requests) == number + 1
            assert len(connection._pending_requests) < PIECE_BYTES
        last = rig.requests[-1]
        assert last.target == b"/more" and last.arrived_at_seconds > started_at + 4.0
        rig.answer()
        assert await status_of(caller) == 200
        await asyncio.sleep(1.0)
        assert not connection._backlog and connection._backlog_bytes == 0

    run_in_virtual_time(main)


def test_request_read_behind_one_in_work_counts_as_received_then() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        caller = await rig.send(encode_request("/first"))
        sent_at = loop.time()
        await rig.send(encode_request("/second"), caller)
        await asyncio.sleep(2.0)
        rig.answer()
        await asyncio.sleep(0.1)
        assert sent_at <= rig.requests[-1].arrived_at_seconds <= sent_at + 0.01

    run_in_virtual_time(main)


def test_memory_is_released_however_a_request_ends() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        parts = (
            b"GET / HTTP/1.1\r\nX-Long: abc",
            CHUNKED_HEAD + b"2\r\nab",
            encode_request("/") + encode_request("/behind") + b"GET /",
            encode_request("/", headers={"X-Long": "a" * LIMITS.header_max_bytes}),
            encode_request("/", method="POST", body=bytes(2 * LIMITS.body_max_bytes)),
            b"no request\r\n\r\n",
            encode_request("/") + b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nother bytes",
        )
        for part in parts:
            caller = await rig.send(part)
            caller.transport.abort()
            await asyncio.sleep(0.1)
            assert rig.server.memory.received_bytes == 0, part
            caller = await rig.send(part)
            for request in rig.requests:
                request.respond(status=200, headers=[], body=b"")
            await asyncio.sleep(0.1)
            caller.transport.abort()
            await asyncio.sleep(0.1)
            assert rig.server.memory.received_bytes == 0, part
            assert not rig.server.memory.users

    run_in_virtual_time(main)


def test_small_requests_of_many_connections_take_bounded_memory_in_sum() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        memory = CallerMemory(max_received_bytes=256 * 1024)
        await rig.start(memory=memory)
        part = encode_request("/", method="POST", headers={"Content-Length": "8000"})
        callers = [await rig.send(part + bytes(7_000)) for _ in range(200)]
        assert memory.received_bytes <= memory.max_received_bytes
        refused = [caller for caller in callers if not caller.responses.empty()]
        assert len(refused) == memory.refused_count > 0
        for caller in refused:
            assert await status_of(caller) == 503
        await rig.send(encode_request("/ordinary"))
        assert [request.target for request in rig.requests] == [b"/ordinary"]

    run_in_virtual_time(main)


def test_limits_on_memory_follow_that_of_the_process() -> None:
    for limit_bytes, received_bytes in ((0.0, 64), (300e6, 57), (100e6, 19)):
        memory = CallerMemory.for_process(limit_bytes)
        assert memory.max_received_bytes // (1024 * 1024) == received_bytes
        assert memory.max_unread_bytes <= 48 * 1024 * 1024

    async def scenario(cluster: Cluster) -> None:
        settings = {"limits.memoryMb": "200"}
        cluster_gateway = await start_small_cluster(cluster, gateway_settings=settings)
        gateway = cluster_gateway.gateway
        servers = gateway._caller_server, gateway._peer_server, gateway._ready_server
        [memory] = {server.memory for server in servers}
        assert memory.max_received_bytes < 64 * 1024 * 1024

    run_scenario(scenario)


def test_slow_callers_make_room_for_others_if_all_connections_are_taken() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start(max_connections=20)
        slow = [await rig.send(b"GET / HTTP/1.1\r\n") for _ in range(20)]
        caller = await rig.send(encode_request("/"))
        rig.answer()
        assert await status_of(caller) == 200
        assert await status_of(slow[0]) == 408
        assert sum(item.ended for item in slow) == 1
        assert rig.server.slow_closed_count == 1
        assert len(rig.server.connections) <= 20

    run_in_virtual_time(main)


def test_each_port_has_a_limit_on_connections() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for port, server in (
            (PEER_PORT, gateway.gateway._peer_server),
            (READY_PORT, gateway.gateway._ready_server),
        ):
            allowed = gateway.gateway._resources.allowed_descriptors
            assert 1 <= server.max_connections <= 0.2 * allowed
            server.max_connections = 5
            for _ in range(20):
                await cluster.connect(gateway, port=port)
            assert len(server.connections) <= 5
            assert server.idle_closed_count == 15

    run_scenario(scenario)


def test_reached_limits_on_memory_are_logged() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        memory = gateway.gateway._caller_server.memory
        memory.max_received_bytes = 20_000
        caller = await cluster.connect(gateway)
        caller.send(encode_request(BOOKING_PATH, method="POST", body=bytes(30_000)))
        assert await status_of(caller) == 503
        await asyncio.sleep(10.0)
        [line] = gateway.log_lines("caller_memory_limited")
        assert " limit=20000 refused=1 " in line

    run_scenario(scenario)


def test_refusal_behind_a_request_in_work_is_answered() -> None:
    async def main(loop: VirtualLoop) -> None:
        behind = (
            (b"no request\r\n\r\n", 400),
            (encode_request("/", method="POST", body=bytes(9_000)), 413),
        )
        for data, status in behind:
            for is_closing in (False, True):
                rig = ServerRig(loop=loop)
                await rig.start()
                caller = await rig.send(encode_request("/") + data)
                rig.server.closing = is_closing
                rig.answer()
                assert await status_of(caller) == 200
                assert await status_of(caller) == status
                assert await status_of(caller) is None
                rig.loop.net.listeners.clear()

    run_in_virtual_time(main)


def test_request_refused_for_memory_behind_one_in_work_is_answered() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        caller = await rig.send(encode_request("/"))
        await rig.send(encode_request("/", method="POST", body=bytes(7_000)), caller)
        [connection] = rig.server.connections
        connection.refuse_for_memory()
        await asyncio.sleep(0.01)
        rig.requests[0].respond(status=200, headers=[], body=b"")
        assert [await status_of(caller) for _ in range(2)] == [200, 503]

    run_in_virtual_time(main)


def test_time_in_which_reading_was_paused_does_not_count_against_the_caller() -> None:
    async def main(loop: VirtualLoop) -> None:
        rig = ServerRig(loop=loop)
        await rig.start()
        rig.server.limits = evolve(LIMITS, body_max_bytes=100_000)
        caller = await rig.send(encode_request("/"))
        upload = encode_request("/", method="POST", body=bytes(60_000))
        await rig.send(upload[:20_000], caller)
        await asyncio.sleep(LIMITS.header_timeout_ms / 1_000 + 1.5)
        rig.answer()
        assert await status_of(caller) == 200
        rig.server.close_timed_out()
        await rig.send(upload[20_000:], caller)
        rig.answer()
        assert await status_of(caller) == 200 and len(rig.requests) == 2

    run_in_virtual_time(main)


@define(kw_only=True, eq=False)
class FakeMemoryUser:
    """Receives a request that never ends, and sends nothing."""

    memory: CallerMemory
    receiving_bytes: int = 0
    unread_bytes: int = 0

    def receive(self, count: int) -> None:
        self.receiving_bytes += count
        self.memory.users.add(self)
        self.memory.add_received(self, count)

    def refuse_for_memory(self) -> None:
        count, self.receiving_bytes = self.receiving_bytes, 0
        self.memory.add_received(self, -count)

    def abort(self) -> None:
        pass


def test_memory_is_limited_again_after_requests_in_work_have_taken_all() -> None:
    memory = CallerMemory(max_received_bytes=100_000)
    in_work = FakeMemoryUser(memory=memory)
    memory.add_received(in_work, 160_000)
    memory.add_received(in_work, -160_000)
    users = [FakeMemoryUser(memory=memory) for _ in range(20)]
    for _ in range(8):
        for user in users:
            user.receive(1_000)
            assert memory.received_bytes <= memory.max_received_bytes


def test_finished_requests_are_freed_without_a_collection_of_cycles() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        caller = await cluster.connect(gateway)
        gc.collect()
        gc.disable()
        try:
            for number, path in enumerate((READ_PATH, BOOKING_PATH)):
                caller.send(
                    encode_request(
                        path, attempt_id=f"a-{number}", method="POST", body=bytes(9_000)
                    )
                )
                assert await status_of(caller) == 200
            await asyncio.sleep(6.0)
            bodies = [
                len(item.body) for item in gc.get_objects() if type(item) is HttpRequest
            ]
            assert bodies.count(9_000) == 0
        finally:
            gc.enable()

    run_scenario(scenario)


def test_bodies_of_callers_that_have_left_are_not_held() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.work_seconds = 2.0
        for path in (BOOKING_PATH, READ_PATH):
            caller = await cluster.connect(gateway)
            caller.send(encode_request(path, method="POST", body=bytes(9_000)))
            await asyncio.sleep(0.1)
            caller.transport.abort()
            await asyncio.sleep(0.1)
            held = [item for item in gc.get_objects() if type(item) is HttpRequest]
            assert not any(item.body for item in held)
        await asyncio.sleep(3.0)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        assert {run.target for run in runs} == {READ_PATH, BOOKING_PATH}
        assert all(len(run.body) == 9_000 for run in runs)

    run_scenario(scenario)
