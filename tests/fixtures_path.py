"""A request path over in-memory backend servers, run in virtual time."""

import os
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar
from unittest import mock

import anyio
import orjson
import trio
import trio.testing
from attrs import define, evolve, field

from bronzebeam.clock import SystemClock
from bronzebeam.controllers.backends import (
    BackendController,
    BackendListReceived,
    DocumentChanged,
)
from bronzebeam.controllers.service_budgets import ServiceBudgets
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
from bronzebeam.transport.instance_list import (
    InstanceRole,
    InstanceState,
    ListedInstance,
)
from tests.fixtures_servers import FakeChannel, FakeServer

GUESTS = "guests"
DEPOTS = "depots"
STARTUP_SECONDS = 0.5
ResultT = TypeVar("ResultT")


@define(kw_only=True)
class ScriptedQuarantine:
    """A `QuarantinePolicy` whose state is set by the test."""

    quarantined: set[str] = field(factory=set)
    suspects: set[str] = field(factory=set)

    def remaining_quarantine_ms(
        self, fingerprint: str, now_seconds: float
    ) -> int | None:
        return 1_000 if fingerprint in self.quarantined else None

    def is_suspect(self, fingerprint: str, now_seconds: float) -> bool:
        return fingerprint in self.suspects

    async def wait_until_losses_applied(self) -> None:
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
    Request handlers of one entry over fake backend servers.

    :ivar listed: the instance list; `publish` sends it to the controller.
    """

    def __init__(self, *, document: EnvironmentDocument, seed: int) -> None:
        self.document = document
        self.rng = random.Random(seed)
        self.servers: dict[str, FakeServer] = {}
        self.listed: dict[str, ListedInstance] = {}
        self.quarantine = ScriptedQuarantine()
        self.backends = BackendController(clock=SystemClock(), channels=self)
        self.dispatcher = Dispatcher(
            directory=self.backends,
            extra_load=ServiceBudgets(),
            quarantine=self.quarantine,
            clock=SystemClock(),
            rng=random.Random(seed + 1),
            failure_domain="a",
        )
        self.search_handler = SearchHandler(dispatcher=self.dispatcher)
        self.call_handler = CallHandler(dispatcher=self.dispatcher)
        self._request_count = 0
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
        self.backends.post(BackendListReceived(instances=tuple(self.listed.values())))

    def mark_leaving(self, name: str) -> None:
        self.listed[name] = evolve(self.listed[name], state=InstanceState.LEAVING)
        self.publish()

    async def start(self) -> None:
        """Start the controller and wait until its connections are open."""
        self.group.start_soon(self.backends.run)
        await anyio.sleep(0)
        self.backends.post(DocumentChanged(document=self.document))
        self.publish()
        await anyio.sleep(STARTUP_SECONDS)

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
        self._request_count += 1
        request_id = f"r{self._request_count}"
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
        """Run searches one by one to collect samples for the hedge delay and budget."""
        for _ in range(searches):
            await self.search()

    def swap_version(self, *, version: int, count: int = 4, names: str = "ab") -> None:
        """Switch replicas whose name ends in a letter of `names` to another version."""
        for name, server in self.servers.items():
            if name[0] == "s" and name[-1] in names:
                shard = int(name[1:-1])
                server.holdings = [[version, shard, count]] if shard < count else []

    def assert_idle(self) -> None:
        """Check that no attempts of earlier requests are left."""
        for name in self.servers:
            pool = self.backends.pool(name)
            if pool is not None:
                running = [worker.attempt for worker in pool._workers]
                probes = [item for item in running if item is not None]
                assert not any(item.fingerprint for item in probes), name
                assert pool.in_flight == len(probes), (name, pool.in_flight)
                assert pool.queued == 0, name


def run_path(
    scenario: Callable[[RequestPath], Awaitable[ResultT]],
    *,
    document: EnvironmentDocument | None = None,
    seed: int = 1,
) -> ResultT:
    """Run a scenario deterministically in virtual time."""

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
