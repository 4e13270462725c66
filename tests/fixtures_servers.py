"""In-memory backend servers that are reached through `Channel` objects."""

from collections.abc import Callable
from enum import Enum
from typing import Any

import anyio
import orjson
import trio
from attrs import define, field

from bronzebeam.transport.channel import ChannelClosed, ChannelResponse, Headers

CONNECT_DELAY_SECONDS = 0.006


class Fault(Enum):
    """A fault that a backend server applies to one request."""

    NONE = "none"
    SHED = "shed"
    LOST_BEFORE_RUN = "lost_before"
    LOST_AFTER_RUN = "lost_after"
    HANG_BEFORE_RUN = "silent_before"
    HANG_AFTER_RUN = "silent_after"
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
    :ivar next_fault: returns the fault for the next request.
    :ivar admission_delay_seconds: time from a request's arrival to its admission.
    :ivar extra_service_seconds: returns additional service time of the next request.
    :ivar not_run_reason: reason that `Fault.SHED` reports.
    :ivar hides_draining: status replies never report that the server drains.
    :ivar runs: request identifier and query of each request that started to run.
    """

    name: str
    holdings: list[list[int]] = field(factory=list)
    service_seconds: float = 0.005
    admission_delay_seconds: float = 0.0
    extra_service_seconds: Callable[[], float] = no_delay
    slots: int = 2
    next_fault: Callable[[], Fault] = no_fault
    refuses_connections: bool = False
    not_run_reason: str = "overloaded"
    draining: bool = False
    hides_draining: bool = False
    runs: list[tuple[str, Any]] = field(factory=list)
    arrivals: list[tuple[float, str]] = field(factory=list)
    channels: set["FakeChannel"] = field(factory=set)
    connects: list[float] = field(factory=list)
    running: int = 0
    max_running: int = 0
    _slots: anyio.CapacityLimiter = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = anyio.CapacityLimiter(self.slots)

    def kill(self) -> None:
        """Close every connection and refuse new ones."""
        self.refuses_connections = True
        for channel in list(self.channels):
            channel.disconnect()

    def stop_responding(self) -> None:
        """Send no more replies on the open connections."""
        for channel in self.channels:
            channel.unresponsive = True

    async def handle_request(
        self, channel: "FakeChannel", path: str, request_id: str, value: Any
    ) -> ChannelResponse:
        if path == "/status":
            return self._reply(request_id, {"result": None}, lie=self.hides_draining)
        if path == "/cancel":
            return self._reply(request_id, {"result": None})
        self.arrivals.append((anyio.current_time(), request_id))
        await anyio.sleep(self.admission_delay_seconds)
        fault = self.next_fault()
        if self.draining:
            return self._not_run(request_id, "draining")
        if fault is Fault.SHED:
            return self._not_run(request_id, self.not_run_reason)
        if fault is Fault.LOST_BEFORE_RUN:
            raise ChannelClosed
        if fault is Fault.HANG_BEFORE_RUN:
            channel.unresponsive = True
            await anyio.sleep_forever()
        holding = self._find_holding(value)
        if path == "/search" and holding is None:
            return self._not_run(request_id, "version_gone", 409)
        await self._run(request_id, value)
        return await self._reply_with_fault(channel, fault, request_id, value, holding)

    async def _run(self, request_id: str, value: Any) -> None:
        async with self._slots:
            query = value.get("query", value.get("payload"))
            self.runs.append((request_id, query))
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            try:
                if isinstance(query, dict) and query.get("crash"):
                    self.kill()
                await anyio.sleep(self.service_seconds + self.extra_service_seconds())
            finally:
                self.running -= 1

    async def _reply_with_fault(
        self,
        channel: "FakeChannel",
        fault: Fault,
        request_id: str,
        value: Any,
        holding: list[int] | None,
    ) -> ChannelResponse:
        if fault is Fault.LOST_AFTER_RUN:
            raise ChannelClosed
        if fault is Fault.HANG_AFTER_RUN:
            channel.unresponsive = True
            await anyio.sleep_forever()
        if fault is Fault.SERVER_ERROR:
            return self._reply(request_id, {"error": "internal"}, status=500)
        result = {"result": {"ran_by": self.name, "echo": value.get("payload")}}
        if holding is not None:
            result = self._search_result(fault, value, holding)
        if fault is Fault.SWAPPED:
            request_id = "another-request"
        response = self._reply(request_id, result)
        if fault is Fault.TRUNCATED:
            return ChannelResponse(status=200, body=response.body[:-9])
        if fault is Fault.DUPLICATED:
            channel.late_replies.append(response)
        return response

    def _search_result(
        self, fault: Fault, value: Any, holding: list[int]
    ) -> dict[str, Any]:
        version, shard, count = holding
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

    def _find_holding(self, value: Any) -> list[int] | None:
        requested = [value.get("index_version"), value.get("shard")]
        return next((row for row in self.holdings if row[:2] == requested), None)

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

    If the reader of a reply did not wait for it, the next reader receives it, as on a
    real connection.
    """

    server: FakeServer
    unresponsive: bool = False
    _connected: bool = False
    _broken: bool = False
    _busy: bool = False
    late_replies: list[ChannelResponse] = field(factory=list)
    _scope: anyio.CancelScope | None = None

    def disconnect(self) -> None:
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
            await anyio.sleep(CONNECT_DELAY_SECONDS)
            if self.server.refuses_connections:
                raise ChannelClosed
            self._connected = True
            self.server.channels.add(self)
        if self._broken:
            raise ChannelClosed

    async def _exchange(
        self, path: str, headers: dict[bytes, bytes], body: bytes
    ) -> ChannelResponse:
        if self.unresponsive:
            await anyio.sleep_forever()
        request_id = headers[b"x-request-id"].decode()
        value = orjson.loads(body) if body else {}
        await anyio.sleep(0.0005)
        late_reply = self.late_replies.pop() if self.late_replies else None
        try:
            response = await self.server.handle_request(self, path, request_id, value)
            return late_reply or response
        except trio.Cancelled:
            late: dict[str, Any] = {
                "request_id": request_id,
                "load": {},
                "result": None,
            }
            self.late_replies.append(
                ChannelResponse(status=200, body=orjson.dumps(late))
            )
            raise

    async def aclose(self) -> None:
        self._broken = True
        self.server.channels.discard(self)
