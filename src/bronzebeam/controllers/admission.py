"""The controller that admits queries, service by service."""

import math
import random
import statistics
from typing import Final

import anyio
from attrs import define, field, frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.documents.model import EnvironmentDocument, ServiceSpec
from bronzebeam.filters.chain import CallerRequest, QueryStats
from bronzebeam.routing.admission import (
    AdmissionQueue,
    AdmissionRequest,
    AdmissionStep,
    Capacity,
    Rejection,
)
from bronzebeam.routing.limits import ConcurrencyLimit, LimitBounds, QuerySample
from bronzebeam.telemetry.histogram import LatencyHistogram

SERVICE_PERCENTILE: Final = 90.0
SERVICE_WINDOW_SECONDS: Final = 10.0
LOWEST_LIMIT: Final = 1
LEAST_WAITING: Final = 4
NO_TIMER_SECONDS: Final = 1.0


@define(kw_only=True, eq=False)
class Ticket:
    """
    A query's wait for admission.

    :ivar given_up: set if the query is not to run.
    """

    request: CallerRequest
    priority: int
    decided: anyio.Event = field(factory=anyio.Event)
    given_up: Rejection | None = None
    started_seconds: float | None = None


@frozen(kw_only=True)
class QueryArrived:
    """A query asks for admission."""

    ticket: Ticket


@frozen(kw_only=True)
class QueryLeft:
    """A query ended, or its caller no longer waits for admission."""

    ticket: Ticket


AdmissionMessage = QueryArrived | QueryLeft


@define(kw_only=True)
class _Service:
    queue: AdmissionQueue
    limit: ConcurrencyLimit
    times: LatencyHistogram
    tickets: dict[str, Ticket] = field(factory=dict)
    running: int = 0

    def capacity(self, now: float) -> Capacity:
        service_ms = self.times.percentile_ms(SERVICE_PERCENTILE, now_seconds=now)
        return Capacity(
            limit=self.limit.limit, running=self.running, service_ms=service_ms or 0.0
        )


class AdmissionController(Controller[AdmissionMessage]):
    """Owns the queue and the concurrency limit of each service on this entry."""

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        super().__init__()
        self._clock = clock
        self._rng = rng
        self._services: dict[str, _Service] = {}

    def limit_of(self, service: str) -> int:
        """Return the present concurrency limit of a service; 0 before any query."""
        state = self._services.get(service)
        return state.limit.limit if state is not None else 0

    async def run(self) -> None:
        """Handle messages, and give up in time on queries that wait too long."""
        while True:
            wait_seconds = self._next_expiry_seconds() - self._clock.monotonic_seconds()
            with anyio.move_on_after(max(0.0, min(wait_seconds, NO_TIMER_SECONDS))):
                await self.handle(await self._inbox.receive())
                await self._handle_waiting()
                continue
            self._advance_all()

    async def handle(self, message: AdmissionMessage) -> None:
        """Apply one message to the state."""
        ticket = message.ticket
        service = self._service(ticket.request)
        now = self._clock.monotonic_seconds()
        if isinstance(message, QueryArrived):
            service.tickets[ticket.request.request_id] = ticket
            step = service.queue.submit(
                _arrival(ticket), capacity=service.capacity(now), now_seconds=now
            )
        else:
            self._leave(service, ticket, now)
            step = service.queue.advance(
                capacity=service.capacity(now), now_seconds=now
            )
        _carry_out(service, step, now)

    def _leave(self, service: _Service, ticket: Ticket, now: float) -> None:
        request = ticket.request
        service.tickets.pop(request.request_id, None)
        if ticket.started_seconds is None:
            service.queue.cancel(request.request_id)
            return
        running = service.running
        service.running -= 1
        service.times.record(seconds=now - ticket.started_seconds)
        sample = _sample(request.stats, running)
        if sample is not None:
            service.limit = service.limit.observe(sample, now_seconds=now)

    def _advance_all(self) -> None:
        now = self._clock.monotonic_seconds()
        for service in self._services.values():
            if now >= service.queue.next_expiry_seconds:
                step = service.queue.advance(
                    capacity=service.capacity(now), now_seconds=now
                )
                _carry_out(service, step, now)

    def _next_expiry_seconds(self) -> float:
        return min(
            (item.queue.next_expiry_seconds for item in self._services.values()),
            default=math.inf,
        )

    def _service(self, request: CallerRequest) -> _Service:
        name = request.service.name
        state = self._services.get(name)
        highest = highest_limit(request.document, request.service)
        if state is None or state.limit.bounds.maximum != highest:
            state = self._services[name] = self._new_service(highest, state)
        return state

    def _new_service(self, highest: int, old: _Service | None) -> _Service:
        limit = ConcurrencyLimit(
            bounds=LimitBounds(minimum=LOWEST_LIMIT, maximum=highest),
            value=float(max(LOWEST_LIMIT, highest // 2)),
        )
        if old is not None:
            old.limit = limit
            return old
        return _Service(
            queue=AdmissionQueue(
                max_waiting=max(LEAST_WAITING, highest), rng=self._rng
            ),
            limit=limit,
            times=LatencyHistogram(
                percentiles=(SERVICE_PERCENTILE,), window_seconds=SERVICE_WINDOW_SECONDS
            ),
        )


def highest_limit(document: EnvironmentDocument, service: ServiceSpec) -> int:
    """
    Return the most queries that one entry may run at a time for a service.

    A search uses a connection to one replica of each shard, a call one connection
    to any replica; so both are bounded by this entry's connections to `replicas`.
    """
    share = document.connection_share(service)
    return max(LOWEST_LIMIT, share * service.replicas)


def _arrival(ticket: Ticket) -> AdmissionRequest:
    return AdmissionRequest(
        query_id=ticket.request.request_id,
        priority=ticket.priority,
        deadline_at_seconds=ticket.request.deadline_at_seconds,
    )


def _carry_out(service: _Service, step: AdmissionStep, now: float) -> None:
    for query_id in step.started:
        ticket = service.tickets[query_id]
        ticket.started_seconds = now
        service.running += 1
        ticket.decided.set()
    for given_up in step.rejected:
        ticket = service.tickets.pop(given_up.query_id)
        ticket.given_up = given_up
        ticket.decided.set()


def _sample(stats: QueryStats, running: int) -> QuerySample | None:
    if not stats.latencies_ms:
        return None
    return QuerySample(
        latency_ms=statistics.median(stats.latencies_ms),
        sub_requests=stats.sent,
        shed=stats.shed,
        running=running,
    )
