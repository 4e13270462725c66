"""Admission of requests where accounts compete for too little capacity."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Final

from attrs import define, field

from bronzebeam.gateway.admission import AdmissionPermit
from bronzebeam.gateway.admission_groups import RouteGroup, group_routes, urgency_of
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.outcome import Outcome, answer_failure, answer_no_room
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.admission import AdmissionStep, Rejection
from bronzebeam.routing.fan_out_timing import MIN_TARGET_FACTOR
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.routing.shared_admission import Demand, ForeseenStep, SharedAdmission
from bronzebeam.transport.caller_request import STOPPING
from bronzebeam.units import MS_PER_SECOND

SLOTS_INTERVAL_SECONDS: Final = 1.0  # replicas and instances come and go
# Above this share of refused sub-requests the replicas as a whole lack room.
MAX_REFUSED_SHARE: Final = 0.1
RISE_PER_SECOND: Final = 0.01
CAUSE_PREFIX: Final = "no_room_"
FORESEEN_ID: Final = "foreseen"  # of a request that is explained; others are numbers

StartRequest = Callable[[RoutedRequest, AdmissionPermit], None]


@define(kw_only=True, eq=False, repr=False)
class _Waiting:
    """
    A request that has asked for admission.

    :ivar is_counted: it found no room at its arrival, and is counted as waiting.
    """

    routed: RoutedRequest
    start: StartRequest
    demand: Demand
    is_counted: bool = False


@define(kw_only=True, eq=False, repr=False)
class CompetingPermit(AdmissionPermit):
    """
    Permit of a request of a group of routes.

    :ivar group: frees the room for the next request.
    """

    group: "_Group"
    request_id: str
    waited_ms: float

    def release(self, *, elapsed_ms: float | None, now_seconds: float) -> None:
        """Release the permit; the next request is started soon after."""
        if not self.take_release():
            return
        was_reduced = self.limit.is_reduced
        sub_requests = len(self.route.shards) or 1
        service_ms = elapsed_ms
        if elapsed_ms is not None and self.route.shards:
            # The time of a fan-out counts from its arrival.
            service_ms = max(0.0, elapsed_ms - self.waited_ms)
        self.group.admission.end(
            self.request_id,
            service_ms=service_ms,
            was_refused=self.refused_count > MAX_REFUSED_SHARE * sub_requests,
            now_seconds=now_seconds,
        )
        if elapsed_ms is not None and self.limit.is_reduced is not was_reduced:
            self._log_change(elapsed_ms)
        self.group.advance_soon()


@define(kw_only=True, eq=False, repr=False)
class _Group:
    """Queue, limit and waiting requests of a group of routes."""

    context: GatewayContext
    definition: RouteGroup
    admission: SharedAdmission
    waiting_counts: "Counter[int]"
    _waiting: dict[str, _Waiting] = field(factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _is_advance_scheduled: bool = False
    _slots_read_at_seconds: float = -math.inf

    def submit(
        self, demand: Demand, routed: RoutedRequest, start: StartRequest
    ) -> None:
        """Start the request, let it wait or refuse it."""
        now_seconds = self.context.loop.time()
        if now_seconds - self._slots_read_at_seconds > SLOTS_INTERVAL_SECONDS:
            self._slots_read_at_seconds = now_seconds
            self._read_slots()
        item = _Waiting(routed=routed, start=start, demand=demand)
        self._waiting[demand.request_id] = item
        routed.request.on_disconnect = lambda: self._on_disconnect(demand.request_id)
        routed.request.on_stop = lambda: self._on_stop(demand.request_id)
        self._apply(self.admission.submit(demand, now_seconds=now_seconds))
        if demand.request_id in self._waiting:
            item.is_counted = True
            self._count_waiting(demand, 1)

    def advance_soon(self) -> None:
        """Start what there is room for, once the current event has been handled."""
        if self._waiting and not self._is_advance_scheduled:
            self._is_advance_scheduled = True
            self.context.loop.call_soon(self._advance)

    def _advance(self) -> None:
        self._is_advance_scheduled = False
        self._apply(self.admission.advance(now_seconds=self.context.loop.time()))

    def _apply(self, step: AdmissionStep) -> None:
        """Start and refuse requests; each is removed before, so none is twice."""
        for request_id in step.started:
            self._start(request_id, self._remove(request_id))
        for rejection in step.rejected:
            self._refuse(self._remove(rejection.query_id), rejection)
        self._schedule()

    def _start(self, request_id: str, item: _Waiting) -> None:
        permit = CompetingPermit(
            limit=self.admission.limit,
            route=item.routed.route,
            log=self.context.log,
            group=self,
            request_id=request_id,
            waited_ms=self._waited_seconds(item) * MS_PER_SECOND,
        )
        item.start(item.routed, permit)

    def _refuse(self, item: _Waiting, rejection: Rejection) -> None:
        reason = rejection.reason.value
        limit = self.admission.limit
        self.context.metrics.count_no_room(priority=item.demand.priority, reason=reason)
        answer_no_room(
            self.context,
            item.routed,
            outcome=Outcome(
                attempts=(),
                cause=CAUSE_PREFIX + reason,
                details={
                    "account": item.demand.account,
                    "priority": item.demand.priority,
                    "rank": rejection.rank,
                    "waited_ms": round(self._waited_seconds(item) * MS_PER_SECOND, 1),
                    "capacity": round(limit.limit, 2),
                    "in_flight": limit.in_flight,
                    "room_ms": rejection.retry_after_ms,
                },
            ),
            return_seconds=rejection.retry_after_ms / MS_PER_SECOND,
        )

    def _on_disconnect(self, request_id: str) -> None:
        item = self._remove(request_id)
        self.admission.cancel(request_id)
        item.routed.give_back_token()
        self.context.metrics.count_caller_disconnect(item.routed.route)
        Outcome(attempts=(), cause="caller_left").log(
            self.context, item.routed, status=None, good=False
        )

    def _on_stop(self, request_id: str) -> None:
        """Refuse a request that waits, since the process is about to exit."""
        item = self._remove(request_id)
        self.admission.cancel(request_id)
        outcome = Outcome(attempts=(), cause=STOPPING)
        answer_failure(self.context, item.routed, status=503, outcome=outcome)

    def _remove(self, request_id: str) -> _Waiting:
        item = self._waiting.pop(request_id)
        item.routed.request.on_disconnect = None
        if item.is_counted:
            self._count_waiting(item.demand, -1)
            self.context.metrics.record_wait(
                priority=item.demand.priority, seconds=self._waited_seconds(item)
            )
        return item

    def _count_waiting(self, demand: Demand, change: int) -> None:
        self.waiting_counts[demand.priority] += change
        self.context.metrics.set_waiting(
            priority=demand.priority, count=self.waiting_counts[demand.priority]
        )

    def _waited_seconds(self, item: _Waiting) -> float:
        return self.context.loop.time() - item.routed.request.arrived_at_seconds

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at_seconds = self.admission.next_step_seconds
        if self._waiting and at_seconds < math.inf:
            self._timer = self.context.loop.call_at(at_seconds, self._advance)

    def _read_slots(self) -> None:
        """Compute this instance's share of the slots of the scarcest service."""
        state = self.context.state
        slots: Counter[str] = Counter()
        for record in state.replicas.registered():
            slots[record.service] += record.slots
        fewest = min((slots[name] for name in self.definition.services), default=0)
        self.admission.limit.slot_share = max(1, fewest) / state.peers.live_count


@define(kw_only=True, eq=False, repr=False)
class CompetingAdmission:
    """
    Admits requests in the order of what a delay or refusal costs their callers.

    Used where the configuration has accounts. A request without room waits, for a
    quarter of its target latency at most, or is refused at once.
    """

    context: GatewayContext
    _version: int = 0
    _groups: dict[str, _Group] = field(factory=dict)
    _numbers: "count[int]" = field(factory=count)
    _waiting_counts: "Counter[int]" = field(factory=Counter)
    _least_ms: dict[str, tuple[float, float]] = field(factory=dict)

    def submit(
        self, routed: RoutedRequest, *, table: RouteTable, start: StartRequest
    ) -> None:
        """
        Start the request now or later, or refuse it.

        :param start: sends the request, and releases its permit when it has ended.
        """
        # A request that waited for a token may come with an earlier table.
        if table.version > self._version or routed.route.name not in self._groups:
            self._apply_table(table)
        group = self._groups[routed.route.name]
        group.submit(self._build_demand(routed, group.definition), routed, start)

    def find_group(
        self, table: RouteTable, route: Route
    ) -> tuple[RouteGroup, SharedAdmission | None]:
        """Return the group of a route, and its queue and limit; None if it is new."""
        if table.version == self._version:
            group = self._groups[route.name]
            return group.definition, group.admission
        definition = next(
            item for item in group_routes(table) if route.name in item.routes
        )
        for group in self._groups.values():
            if group.definition.services == definition.services:
                return definition, group.admission
        return definition, None

    def foresee(
        self,
        *,
        table: RouteTable,
        route: Route,
        account: Account | None,
        target_ms: float,
        rng: random.Random,
    ) -> tuple[Demand, ForeseenStep]:
        """
        Return what would be decided about a caller's first attempt that comes now.

        :param target_ms: time to its target latency.
        :param rng: used for what would be drawn at random.
        """
        definition, admission = self.find_group(table, route)
        if admission is None:
            admission = SharedAdmission(rng=rng, rank_count=len(definition.urgencies))
        now_seconds = self.context.loop.time()
        typical_ms = self.context.state.known_latency(route).typical_ms
        demand = build_demand(
            request_id=FORESEEN_ID,
            route=route,
            account=account,
            group=definition,
            typical_ms=typical_ms,
            unloaded_ms=self._unloaded_ms(route, typical_ms),
            arrived_at_seconds=now_seconds,
            target_at_seconds=now_seconds + target_ms / MS_PER_SECOND,
        )
        return demand, admission.foresee(
            demand,
            rank_count=len(definition.urgencies),
            now_seconds=now_seconds,
            rng=rng,
        )

    def _build_demand(self, routed: RoutedRequest, group: RouteGroup) -> Demand:
        typical_ms = self.context.state.typical_latency(routed.route).typical_ms
        unloaded_ms, _ = self._least_ms[routed.route.name] = (
            self._unloaded_ms(routed.route, typical_ms),
            self.context.loop.time(),
        )
        return build_demand(
            request_id=str(next(self._numbers)),
            route=routed.route,
            account=routed.account,
            group=group,
            typical_ms=typical_ms,
            unloaded_ms=unloaded_ms,
            arrived_at_seconds=routed.request.arrived_at_seconds,
            target_at_seconds=routed.target_at_seconds,
            is_retry=routed.is_retry,
            is_past_target=routed.is_past_target,
        )

    def _unloaded_ms(self, route: Route, typical_ms: float) -> float:
        """
        Return the reply time of a sub-request without queues at the replicas.

        The least typical time seen, which rises slowly in case the work has changed.
        With queues included, a request would count for more work the longer they are.
        """
        now_seconds = self.context.loop.time()
        least_ms, at_seconds = self._least_ms.get(route.name, (typical_ms, now_seconds))
        risen_ms = least_ms * (1.0 + RISE_PER_SECOND * (now_seconds - at_seconds))
        return min(typical_ms, risen_ms)

    def _apply_table(self, table: RouteTable) -> None:
        """Group the routes; a group that stays the same keeps its limit and queue."""
        self._version = table.version
        previous = {item.definition.services: item for item in self._groups.values()}
        groups = {}
        for definition in group_routes(table):
            group = previous.get(definition.services)
            if group is None:
                group = _Group(
                    context=self.context,
                    definition=definition,
                    admission=SharedAdmission(
                        rng=self.context.rng, rank_count=len(definition.urgencies)
                    ),
                    waiting_counts=self._waiting_counts,
                )
            group.definition = definition
            group.admission.set_rank_count(len(definition.urgencies))
            groups.update(dict.fromkeys(definition.routes, group))
        for name in self._least_ms.keys() - groups.keys():
            del self._least_ms[name]
        # What waits in a group that is gone is started or refused by its own timer.
        self._groups = groups


def build_demand(
    *,
    request_id: str,
    route: Route,
    account: Account | None,
    group: RouteGroup,
    typical_ms: float,
    unloaded_ms: float,
    arrived_at_seconds: float,
    target_at_seconds: float,
    is_retry: bool = False,
    is_past_target: bool = False,
) -> Demand:
    """
    Return what a request asks for.

    :param typical_ms: usual reply time of the route.
    :param unloaded_ms: the same without queues at the replicas.
    :param is_retry: see `RoutedRequest`.
    :param is_past_target: see `RoutedRequest`.
    """
    urgency = urgency_of(route, None if account is None else account.priority)
    return Demand(
        request_id=request_id,
        route=route.name,
        account="" if account is None else account.name,
        priority=urgency[0],
        route_priority=urgency[1],
        rank=group.urgencies.index(urgency),
        is_return=is_retry,
        is_late=is_past_target,
        arrived_at_seconds=arrived_at_seconds,
        target_at_seconds=target_at_seconds,
        target_latency_ms=route.target_latency_ms,
        work_ms=unloaded_ms * (len(route.shards) or 1),
        usual_ms=typical_ms * (MIN_TARGET_FACTOR if route.shards else 1.0),
    )
