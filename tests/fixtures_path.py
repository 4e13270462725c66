"""The request path over backend servers in memory, in virtual time."""

import os
import random
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, TypeVar
from unittest import mock

import anyio
import orjson
import trio
import trio.testing
from attrs import define, evolve, field

from bronzebeam.clock import SystemClock
from bronzebeam.controllers.backends import Backends, DocumentInForce, InstancesListed
from bronzebeam.controllers.extra_work import ServiceBudgets
from bronzebeam.documents.model import (
    BackendSpec,
    CallerLimitSpec,
    ClassSpec,
    CoverageSpec,
    DeadlineSpec,
    EnvironmentDocument,
    FleetSpec,
    HedgingSpec,
    OperationSpec,
    ServiceKind,
    ServiceSpec,
)
from bronzebeam.filters.call import CallHandler
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.filters.search import SearchHandler
from bronzebeam.invariants import STRICT_VARIABLE
from bronzebeam.outcomes import Outcome
from bronzebeam.transport.channel import ChannelClosed, ChannelResponse, Headers
from bronzebeam.transport.instance_list import (
    InstanceRole,
    InstanceState,
    ListedInstance,
)

GUESTS = "guests"
DEPOTS = "depots"
CONNECT_SECONDS = 0.006
SETTLE_SECONDS = 0.5
ResultT = TypeVar("ResultT")


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


@define(kw_only=True)
class ScriptedKillers:
    """A `KillerWatch` that knows what a test tells it."""

    quarantined: set[str] = field(factory=set)
    suspects: set[str] = field(factory=set)

    def release_ms(self, fingerprint: str, now_seconds: float) -> int | None:
        return 1_000 if fingerprint in self.quarantined else None

    def is_suspect(self, fingerprint: str, now_seconds: float) -> bool:
        return fingerprint in self.suspects

    async def settle(self) -> None:
        pass


def make_document(
    *, coverage: CoverageSpec = CoverageSpec(), extra_load_share: float = 0.05
) -> EnvironmentDocument:
    """Build a document with a search service and a call service."""
    backend = BackendSpec(slots=2, connections=8, connect_ms=6.0)
    deadline = DeadlineSpec(default_ms=300, maximum_ms=10_000)
    guests = ServiceSpec(
        name=GUESTS,
        kind=ServiceKind.SEARCH,
        replicas=2,
        shards=4,
        backend=backend,
        deadline=deadline,
        coverage=coverage,
        hedging=HedgingSpec(extra_load_share=extra_load_share),
    )
    depots = ServiceSpec(
        name=DEPOTS,
        kind=ServiceKind.CALL,
        replicas=3,
        backend=backend,
        deadline=deadline,
        hedging=HedgingSpec(extra_load_share=extra_load_share),
        operations=(
            OperationSpec(name="book", idempotent=False),
            OperationSpec(name="look", idempotent=True),
        ),
    )
    return EnvironmentDocument(
        environment="trial",
        fleet=FleetSpec(entry_instances=2),
        classes=(ClassSpec(name="planner", priority=0),),
        caller_limit=CallerLimitSpec(rate_per_second=1.0, burst=1),
        services=(guests, depots),
    )


class RequestPath:
    """
    Handlers of one entry over fake backend servers.

    :ivar listed: the instance list; `publish` hands it to the controller.
    """

    def __init__(self, *, document: EnvironmentDocument, seed: int) -> None:
        self.document = document
        self.rng = random.Random(seed)
        self.servers: dict[str, FakeServer] = {}
        self.listed: dict[str, ListedInstance] = {}
        self.killers = ScriptedKillers()
        self.backends = Backends(clock=SystemClock(), channels=self)
        self.dispatcher = Dispatcher(
            reach=self.backends,
            extra=ServiceBudgets(),
            killers=self.killers,
            clock=SystemClock(),
            rng=random.Random(seed + 1),
            failure_domain="a",
        )
        self.search_handler = SearchHandler(dispatcher=self.dispatcher)
        self.call_handler = CallHandler(dispatcher=self.dispatcher)
        self._made = 0
        self.group: anyio.abc.TaskGroup

    def new_channel(self, address: str) -> FakeChannel:
        return FakeChannel(server=self.servers[address])

    def add(self, name: str, service: str, **settings: Any) -> FakeServer:
        server = self.servers[name] = FakeServer(name=name, **settings)
        self.listed[name] = ListedInstance(
            instance=name,
            role=InstanceRole.BACKEND,
            service=service,
            address=name,
            peer_address=None,
            failure_domain="a",
            state=InstanceState.LIVE,
        )
        return server

    def add_shards(self, *, version: int = 1, count: int = 4) -> None:
        """Add two replicas for each shard, named `s0a`, `s0b` and so on."""
        for shard in range(count):
            for letter in "ab":
                self.add(
                    f"s{shard}{letter}", GUESTS, holdings=[[version, shard, count]]
                )

    def add_depots(self) -> None:
        for letter in "abc":
            self.add(f"d{letter}", DEPOTS)

    def publish(self) -> None:
        self.backends.post(InstancesListed(instances=tuple(self.listed.values())))

    def mark_leaving(self, name: str) -> None:
        self.listed[name] = evolve(self.listed[name], state=InstanceState.LEAVING)
        self.publish()

    async def start(self) -> None:
        """Start the controller and wait until connections are open."""
        self.group.start_soon(self.backends.run)
        await anyio.sleep(0)
        self.backends.post(DocumentInForce(document=self.document))
        self.publish()
        await anyio.sleep(SETTLE_SECONDS)

    def request(
        self,
        query: Any = None,
        *,
        operation: str | None = None,
        deadline_ms: float = 300,
        solo: bool = False,
    ) -> CallerRequest:
        service = self.document.service(DEPOTS if operation else GUESTS)
        assert service is not None
        self._made += 1
        request_id = f"r{self._made}"
        now = anyio.current_time()
        return CallerRequest(
            request_id=request_id,
            caller="ana",
            document=self.document,
            document_revision=1,
            service=service,
            operation=service.operation(operation) if operation else None,
            class_name="planner",
            arrived_at_seconds=now,
            deadline_at_seconds=now + deadline_ms / 1000,
            payload=query if query is not None else {"q": request_id},
            fingerprint=f"f-{orjson.dumps(query).decode()}",
            idempotency_key=request_id,
            solo=solo,
        )

    async def search(self, query: Any = None, **options: Any) -> Outcome:
        return await self.search_handler.handle(self.request(query, **options))

    async def call(self, operation: str, query: Any = None, **options: Any) -> Outcome:
        request = self.request(query, operation=operation, **options)
        return await self.call_handler.handle(request)

    async def warm_up(self, searches: int = 200) -> None:
        """Run searches one by one, so that hedge delay and budget have samples."""
        for _ in range(searches):
            await self.search()

    def swap(self, *, version: int, count: int = 4, names: str = "ab") -> None:
        """Put another index version on the replicas whose name ends in `names`."""
        for name, server in self.servers.items():
            if name[0] == "s" and name[-1] in names:
                shard = int(name[1:-1])
                server.holdings = [[version, shard, count]] if shard < count else []

    def assert_idle(self) -> None:
        """Check that nothing is left of earlier requests."""
        for name in self.servers:
            link = self.backends.link(name)
            if link is not None:
                running = [owner.attempt for owner in link._owners]
                probes = [item for item in running if item is not None]
                assert not any(item.fingerprint for item in probes), name
                assert link.in_flight == len(probes), (name, link.in_flight)
                assert link.queued == 0, name


def run_path(
    scenario: Callable[[RequestPath], Awaitable[ResultT]],
    *,
    document: EnvironmentDocument | None = None,
    seed: int = 1,
) -> ResultT:
    """Run a scenario in virtual time, the same way each time."""

    async def main() -> ResultT:
        path = RequestPath(document=document or make_document(), seed=seed)
        async with anyio.create_task_group() as group:
            path.group = group
            result = await scenario(path)
            group.cancel_scope.cancel()
        return result

    random_scheduling = getattr(trio._core._run, "_r")
    random_scheduling.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    with mock.patch.dict(os.environ, {STRICT_VARIABLE: "1"}):
        return trio.run(main, clock=clock)
