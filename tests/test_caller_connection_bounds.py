"""Tests of the bounds on what connections from callers receive and keep."""

import asyncio
import gc
from typing import Any

import httptools
from attrs import define, field

from bronzebeam.routing.routes import CallerLimits
from bronzebeam.transport.caller_connection import CallerServer
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
