"""Admission control: queues and concurrency limits of each service."""

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

SERVICE_TIME_PERCENTILE: Final = 90.0
SERVICE_TIME_WINDOW_SECONDS: Final = 10.0
MIN_LIMIT: Final = 1
MIN_QUEUE_LENGTH: Final = 4
MAX_IDLE_WAIT_SECONDS: Final = 1.0


@define(kw_only=True, eq=False)
class Ticket:
    """
    A query that waits for admission.

    :ivar decided: set once the query is either admitted or rejected.
    :ivar rejection: why the query must not run; None if it was admitted.
    :ivar started_seconds: monotonic time of its admission.
    """

    request: CallerRequest
    priority: int
    decided: anyio.Event = field(factory=anyio.Event)
    rejection: Rejection | None = None
    started_seconds: float | None = None


@frozen(kw_only=True)
class QueryArrived:
    """A query requests admission."""

    ticket: Ticket


@frozen(kw_only=True)
class QueryEnded:
    """A query has finished, or its caller stopped waiting for admission."""

    ticket: Ticket


AdmissionMessage = QueryArrived | QueryEnded


@define(kw_only=True)
class _ServiceState:
    queue: AdmissionQueue
    limit: ConcurrencyLimit
    service_times: LatencyHistogram
    tickets: dict[str, Ticket] = field(factory=dict)
    running: int = 0

    def capacity(self, now: float) -> Capacity:
        service_ms = self.service_times.percentile_ms(
            SERVICE_TIME_PERCENTILE, now_seconds=now
        )
        return Capacity(
            limit=self.limit.limit, running=self.running, service_ms=service_ms or 0.0
        )


class AdmissionController(Controller[AdmissionMessage]):
    """Owns the queue and the concurrency limit of each service on this entry."""

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        super().__init__()
        self._clock = clock
        self._rng = rng
        self._services: dict[str, _ServiceState] = {}

    def concurrency_limit(self, service: str) -> int:
        """Return the current concurrency limit of a service; 0 before any query."""
        service_state = self._services.get(service)
        return service_state.limit.limit if service_state is not None else 0

    async def run(self) -> None:
        """Handle messages, and reject queries that have waited too long."""
        while True:
            wait_seconds = self._next_expiry_seconds() - self._clock.monotonic_seconds()
            with anyio.move_on_after(
                max(0.0, min(wait_seconds, MAX_IDLE_WAIT_SECONDS))
            ):
                await self.handle(await self._inbox.receive())
                await self._handle_queued()
                continue
            self._reject_expired()

    async def handle(self, message: AdmissionMessage) -> None:
        """Apply one message to the state."""
        ticket = message.ticket
        service = self._service_state(ticket.request)
        now = self._clock.monotonic_seconds()
        if isinstance(message, QueryArrived):
            service.tickets[ticket.request.request_id] = ticket
            step = service.queue.submit(
                _arrival(ticket), capacity=service.capacity(now), now_seconds=now
            )
        else:
            self._remove_query(service, ticket, now)
            step = service.queue.advance(
                capacity=service.capacity(now), now_seconds=now
            )
        _apply_step(service, step, now)

    def _remove_query(self, service: _ServiceState, ticket: Ticket, now: float) -> None:
        request = ticket.request
        service.tickets.pop(request.request_id, None)
        if ticket.started_seconds is None:
            service.queue.cancel(request.request_id)
            return
        running = service.running
        service.running -= 1
        service.service_times.record(seconds=now - ticket.started_seconds)
        sample = _query_sample(request.stats, running)
        if sample is not None:
            service.limit = service.limit.observe(sample, now_seconds=now)

    def _reject_expired(self) -> None:
        now = self._clock.monotonic_seconds()
        for service in self._services.values():
            if now >= service.queue.next_expiry_seconds:
                step = service.queue.advance(
                    capacity=service.capacity(now), now_seconds=now
                )
                _apply_step(service, step, now)

    def _next_expiry_seconds(self) -> float:
        return min(
            (item.queue.next_expiry_seconds for item in self._services.values()),
            default=math.inf,
        )

    def _service_state(self, request: CallerRequest) -> _ServiceState:
        name = request.service.name
        service_state = self._services.get(name)
        maximum = max_concurrent_queries(request.document, request.service)
        if service_state is None or service_state.limit.bounds.maximum != maximum:
            service_state = self._services[name] = self._create_service(
                maximum, service_state
            )
        return service_state

    def _create_service(
        self, maximum: int, previous: _ServiceState | None
    ) -> _ServiceState:
        limit = ConcurrencyLimit(
            bounds=LimitBounds(minimum=MIN_LIMIT, maximum=maximum),
            value=float(max(MIN_LIMIT, maximum // 2)),
        )
        if previous is not None:
            previous.limit = limit
            return previous
        return _ServiceState(
            queue=AdmissionQueue(
                max_waiting=max(MIN_QUEUE_LENGTH, maximum), rng=self._rng
            ),
            limit=limit,
            service_times=LatencyHistogram(
                percentiles=(SERVICE_TIME_PERCENTILE,),
                window_seconds=SERVICE_TIME_WINDOW_SECONDS,
            ),
        )


def max_concurrent_queries(document: EnvironmentDocument, service: ServiceSpec) -> int:
    """
    Return the maximum number of queries that one entry may run at once for a service.

    A search needs a connection to one replica of each shard, and a call needs one
    connection to any replica, so both are limited by this entry's share of the
    connections to each of the `replicas`.
    """
    share = document.connection_share(service)
    return max(MIN_LIMIT, share * service.replicas)


def _arrival(ticket: Ticket) -> AdmissionRequest:
    return AdmissionRequest(
        query_id=ticket.request.request_id,
        priority=ticket.priority,
        deadline_at_seconds=ticket.request.deadline_at_seconds,
    )


def _apply_step(service: _ServiceState, step: AdmissionStep, now: float) -> None:
    for query_id in step.started:
        ticket = service.tickets[query_id]
        ticket.started_seconds = now
        service.running += 1
        ticket.decided.set()
    for rejection in step.rejected:
        ticket = service.tickets.pop(rejection.query_id)
        ticket.rejection = rejection
        ticket.decided.set()


def _query_sample(stats: QueryStats, running: int) -> QuerySample | None:
    if not stats.latencies_ms:
        return None
    return QuerySample(
        latency_ms=statistics.median(stats.latencies_ms),
        sub_requests=stats.sent,
        shed=stats.shed,
        running=running,
    )
