"""Backend servers in memory, behind the interface of a connection."""

from collections.abc import Callable
from enum import Enum
from typing import Any

import anyio
import orjson
import trio
from attrs import define, field

from bronzebeam.transport.channel import ChannelClosed, ChannelResponse, Headers

CONNECT_SECONDS = 0.006


class Fault(Enum):
    """What a backend server does to one request."""

    NONE = "none"
    SHED = "shed"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    SILENT_BEFORE = "silent_before"
    SILENT_AFTER = "silent_after"
    TRUNCATED = "truncated"
    SWAPPED = "swapped"
    DUPLICATED = "duplicated"
    OTHER_VERSION = "other_version"
    OTHER_COUNT = "other_count"
    SERVER_ERROR = "server_error"


def no_fault() -> Fault:
    return Fault.NONE


def no_delay() -> float:
    return 0.0


@define(kw_only=True, eq=False)
class FakeServer:
    """
    One backend server.

    :ivar holdings: rows of index version, shard and shard count.
    :ivar next_fault: what to do to the next request.
    :ivar hold_seconds: time from a request's arrival to its admission.
    :ivar extra_seconds: further service time of the next request.
    :ivar lies: the status path denies draining.
    :ivar runs: request identifier and query of each request that began to run.
    """

    name: str
    holdings: list[list[int]] = field(factory=list)
    service_seconds: float = 0.005
    hold_seconds: float = 0.0
    extra_seconds: Callable[[], float] = no_delay
    slots: int = 2
    next_fault: Callable[[], Fault] = no_fault
    refuse: bool = False
    refusal_word: str = "overloaded"
    draining: bool = False
    lies: bool = False
    runs: list[tuple[str, Any]] = field(factory=list)
    arrivals: list[tuple[float, str]] = field(factory=list)
    channels: set["FakeChannel"] = field(factory=set)
    connects: list[float] = field(factory=list)
    running: int = 0
    most_running: int = 0
    _slots: anyio.CapacityLimiter = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = anyio.CapacityLimiter(self.slots)

    def kill(self) -> None:
        """Break every connection and refuse new ones."""
        self.refuse = True
        for channel in list(self.channels):
            channel.break_off()

    def silence(self) -> None:
        """Let the open connections answer nothing from now on."""
        for channel in self.channels:
            channel.silent = True

    async def answer(
        self, channel: "FakeChannel", path: str, request_id: str, value: Any
    ) -> ChannelResponse:
        if path == "/status":
            return self._reply(request_id, {"result": None}, lie=self.lies)
        if path == "/cancel":
            return self._reply(request_id, {"result": None})
        self.arrivals.append((anyio.current_time(), request_id))
        await anyio.sleep(self.hold_seconds)
        fault = self.next_fault()
        if self.draining:
            return self._not_run(request_id, "draining")
        if fault is Fault.SHED:
            return self._not_run(request_id, self.refusal_word)
        if fault is Fault.LOST_BEFORE:
            raise ChannelClosed
        if fault is Fault.SILENT_BEFORE:
            channel.silent = True
            await anyio.sleep_forever()
        held = self._held(value)
        if path == "/search" and held is None:
            return self._not_run(request_id, "version_gone", 409)
        await self._run(request_id, value)
        return await self._damaged(channel, fault, request_id, value, held)

    async def _run(self, request_id: str, value: Any) -> None:
        async with self._slots:
            query = value.get("query", value.get("payload"))
            self.runs.append((request_id, query))
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            try:
                if isinstance(query, dict) and query.get("crash"):
                    self.kill()
                await anyio.sleep(self.service_seconds + self.extra_seconds())
            finally:
                self.running -= 1

    async def _damaged(
        self,
        channel: "FakeChannel",
        fault: Fault,
        request_id: str,
        value: Any,
        held: list[int] | None,
    ) -> ChannelResponse:
        if fault is Fault.LOST_AFTER:
            raise ChannelClosed
        if fault is Fault.SILENT_AFTER:
            channel.silent = True
            await anyio.sleep_forever()
        if fault is Fault.SERVER_ERROR:
            return self._reply(request_id, {"error": "internal"}, status=500)
        result = {"result": {"ran_by": self.name, "echo": value.get("payload")}}
        if held is not None:
            result = self._search_result(fault, value, held)
        if fault is Fault.SWAPPED:
            request_id = "another-request"
        response = self._reply(request_id, result)
        if fault is Fault.TRUNCATED:
            return ChannelResponse(status=200, body=response.body[:-9])
        if fault is Fault.DUPLICATED:
            channel.late.append(response)
        return response

    def _search_result(
        self, fault: Fault, value: Any, held: list[int]
    ) -> dict[str, Any]:
        version, shard, count = held
        version += fault is Fault.OTHER_VERSION
        count += fault is Fault.OTHER_COUNT
        query = value["query"]
        empty = isinstance(query, dict) and shard in query.get("empty", ())
        hit = {"version": version, "shard": shard, "count": count, "query": query}
        return {
            "result": [] if empty else [hit | {"score": 1.0}],
            "index_version": version,
            "shard": shard,
            "shard_count": count,
        }

    def _held(self, value: Any) -> list[int] | None:
        asked = [value.get("index_version"), value.get("shard")]
        return next((row for row in self.holdings if row[:2] == asked), None)

    def _not_run(
        self, request_id: str, error: str, status: int = 503
    ) -> ChannelResponse:
        return self._reply(request_id, {"error": error, "ran": False}, status=status)

    def _reply(
        self,
        request_id: str,
        fields: dict[str, Any],
        *,
        status: int = 200,
        lie: bool = False,
    ) -> ChannelResponse:
        load = {"in_flight": self.running, "draining": self.draining and not lie}
        value = {"request_id": request_id, "load": load, "holdings": self.holdings}
        return ChannelResponse(status=status, body=orjson.dumps(value | fields))


@define(kw_only=True, eq=False)
class FakeChannel:
    """
    A connection to a `FakeServer`.

    A reply that its reader did not wait for is what the next reader gets, as on a
    real connection.
    """

    server: FakeServer
    silent: bool = False
    _connected: bool = False
    _broken: bool = False
    _busy: bool = False
    late: list[ChannelResponse] = field(factory=list)
    _scope: anyio.CancelScope | None = None

    def break_off(self) -> None:
        self._broken = True
        if self._scope is not None:
            self._scope.cancel()

    async def exchange(
        self, *, method: str, path: str, headers: Headers, body: bytes
    ) -> ChannelResponse:
        assert not self._busy, "two requests on one connection at a time"
        self._busy = True
        try:
            with anyio.CancelScope() as self._scope:
                await self._connect()
                return await self._exchange(path, dict(headers), body)
            raise ChannelClosed
        finally:
            self._busy = False

    async def _connect(self) -> None:
        if not self._connected:
            self.server.connects.append(anyio.current_time())
            await anyio.sleep(CONNECT_SECONDS)
            if self.server.refuse:
                raise ChannelClosed
            self._connected = True
            self.server.channels.add(self)
        if self._broken:
            raise ChannelClosed

    async def _exchange(
        self, path: str, headers: dict[bytes, bytes], body: bytes
    ) -> ChannelResponse:
        if self.silent:
            await anyio.sleep_forever()
        request_id = headers[b"x-request-id"].decode()
        value = orjson.loads(body) if body else {}
        await anyio.sleep(0.0005)
        earlier = self.late.pop() if self.late else None
        try:
            response = await self.server.answer(self, path, request_id, value)
            return earlier or response
        except trio.Cancelled:
            late: dict[str, Any] = {
                "request_id": request_id,
                "load": {},
                "result": None,
            }
            self.late.append(ChannelResponse(status=200, body=orjson.dumps(late)))
            raise

    async def aclose(self) -> None:
        self._broken = True
        self.server.channels.discard(self)
