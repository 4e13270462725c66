"""Tests of the bounds on what connections from callers receive and keep."""

import asyncio
import gc
from typing import Any

import httptools
from attrs import define, field

from bronzebeam.routing.routes import CallerLimits
from bronzebeam.transport.caller_connection import (
    MAX_BACKLOG_BYTES,
    PIECE_BYTES,
    CallerServer,
)
from bronzebeam.transport.caller_request import HttpRequest
from tests.fixtures_gateway import Caller, encode_request
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
