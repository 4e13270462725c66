"""Store, backend server and entries for booking tests in virtual time."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any
from uuid import UUID

import anyio
import trio
from anyio.abc import TaskGroup
from attrs import define, field
from trio._core import _run as trio_run
from trio.testing import MockClock

from bronzebeam.controllers.claims import ClaimsController
from bronzebeam.controllers.owned_keys import OwnedKeys
from bronzebeam.documents.model import (
    BackendSpec,
    CallerLimitSpec,
    DeadlineSpec,
    EnvironmentDocument,
    FleetSpec,
    OperationSpec,
    ServiceKind,
    ServiceSpec,
)
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.idempotency import IdempotencyFilter
from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown
from tests.fixtures_booking_history import Attempt, check_history
from tests.fixtures_booking_store import START_SECONDS, FakeStore, VirtualClock

BACKEND_SECONDS = 0.02
STALL_SECONDS = 4.0

SERVICE = ServiceSpec(
    name="booking",
    kind=ServiceKind.CALL,
    replicas=3,
    backend=BackendSpec(slots=4, connections=45, connect_ms=1),
    deadline=DeadlineSpec(default_ms=1000, maximum_ms=5000),
    operations=(OperationSpec(name="book", idempotent=False),),
)
DOCUMENT = EnvironmentDocument(
    environment="test",
    fleet=FleetSpec(entry_instances=2),
    classes=(),
    caller_limit=CallerLimitSpec(rate_per_second=1, burst=1),
    services=(SERVICE,),
)


def run_virtual(
    main: Callable[[], Awaitable[None]], *instruments: Any, seed: int = 0
) -> None:
    """
    Run `main` on trio with a clock that advances when all tasks are waiting.

    :param seed: seed of the order in which ready tasks run.
    """
    # Trio shuffles ready tasks unpredictably; Hypothesis's hook makes the order
    # depend on the seed.
    trio_run._hypothesis_plugin_setup()
    trio_run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    trio.run(main, clock=clock, instruments=instruments)


def caller_key(number: int, *, age_seconds: float = 0.0) -> str:
    """Return a UUIDv7 minted `age_seconds` before the start of the test."""
    milliseconds = int((START_SECONDS - age_seconds) * 1000)
    return str(UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | number))


@define(kw_only=True)
class Backend:
    """
    Runs bookings and records when they ran.

    :ivar next_behaviour: returns how to treat the next booking: "answer", "lose" (run
        it without a reply), "stall" (run it late, as if its sender had been paused)
        or "refuse" (reply that it did not run).
    """

    attempts: list[Attempt] = field(factory=list)
    next_behaviour: Callable[[], str] = lambda: "answer"

    async def run(self, attempt: Attempt) -> Outcome:
        behaviour = self.next_behaviour()
        if behaviour == "refuse":
            await anyio.sleep(BACKEND_SECONDS)
            return NotRun(reason="backend_refused", retry_after_ms=10)
        if behaviour == "stall":
            await anyio.sleep(STALL_SECONDS)
        attempt.ran_at_seconds.append(anyio.current_time())
        number = sum(len(item.ran_at_seconds) for item in self.attempts)
        await anyio.sleep(BACKEND_SECONDS)
        if behaviour == "lose":
            return OutcomeUnknown(reason="connection_lost")
        return Answered(result={"booking": number})


class Entry:
    """An entry instance with its claims controller and idempotency filter."""

    def __init__(self, name: str, store: FakeStore, backend: Backend) -> None:
        self.claims = ClaimsController(
            store=store, clock=store.clock, environment="test", incarnation=name
        )
        self.owned_keys = OwnedKeys(incarnation=name, clock=store.clock)
        self.peers: dict[str, Entry] = {}
        self.filter = IdempotencyFilter(
            claims=self.claims,
            owned_keys=self.owned_keys,
            clock=store.clock,
            owner_route=self,
        )
        self.backend = backend
        self.alive = True
        self._scopes: list[anyio.CancelScope] = []

    async def run(self) -> None:
        """Run the claims controller until the entry is killed."""
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            await self.claims.run()

    def kill(self) -> None:
        """Cancel all tasks of the entry at once."""
        self.alive = False
        for scope in self._scopes:
            scope.cancel()

    async def forward(
        self, *, incarnation: str, request: CallerRequest
    ) -> Outcome | None:
        peer = self.peers.get(incarnation)
        if peer is None or not peer.alive:
            return None
        attempt = request.payload
        return await peer.filter.apply_forwarded(
            request, lambda _: self.backend.run(attempt)
        )

    def make_request(
        self,
        *,
        key: str | None,
        payload: Any = None,
        fingerprint: str = "",
        timeout_seconds: float = 1.0,
    ) -> CallerRequest:
        """Return a booking as the entry receives it."""
        now = anyio.current_time()
        return CallerRequest(
            request_id=f"request-{len(self.backend.attempts)}",
            caller="planner",
            document=DOCUMENT,
            document_revision=1,
            service=SERVICE,
            operation=SERVICE.operations[0],
            class_name="check-in",
            arrived_at_seconds=now,
            deadline_at_seconds=now + timeout_seconds,
            payload=payload,
            fingerprint=fingerprint,
            idempotency_key=key,
        )

    async def book(
        self, key: str, *, payload: str = "chair", timeout_seconds: float = 1.0
    ) -> Attempt:
        """Send one attempt; its outcome stays None if the entry is killed."""
        attempt = Attempt(
            key=key, payload=payload, sent_at_seconds=anyio.current_time()
        )
        self.backend.attempts.append(attempt)
        request = self.make_request(
            key=key,
            payload=attempt,
            fingerprint=payload,
            timeout_seconds=timeout_seconds,
        )
        if not self.alive:
            return attempt
        with anyio.CancelScope() as scope:
            self._scopes.append(scope)
            attempt.outcome = await self.filter.apply(
                request, lambda _: self.backend.run(attempt)
            )
        return attempt


@define(kw_only=True)
class Fleet:
    """Entries that share one store and one backend server."""

    clock: VirtualClock
    store: FakeStore
    backend: Backend
    tasks: TaskGroup
    entries: list[Entry] = field(factory=list)

    def add_entry(self) -> Entry:
        """Start another entry."""
        entry = Entry(f"entry-{len(self.entries)}", self.store, self.backend)
        self.entries.append(entry)
        entry.peers = {item.owned_keys.incarnation: item for item in self.entries}
        for item in self.entries:
            item.peers[entry.owned_keys.incarnation] = entry
        self.tasks.start_soon(entry.run)
        return entry


@asynccontextmanager
async def open_fleet(entries: int = 2) -> AsyncIterator[Fleet]:
    """Run a fleet and check the history of its bookings at the end."""
    clock = VirtualClock()
    backend = Backend()
    async with anyio.create_task_group() as tasks:
        store = FakeStore(clock=clock, tasks=tasks)
        fleet = Fleet(clock=clock, store=store, backend=backend, tasks=tasks)
        for _ in range(entries):
            fleet.add_entry()
        await anyio.sleep(0)
        yield fleet
        check_history(backend.attempts)
        tasks.cancel_scope.cancel()
