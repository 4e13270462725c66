"""Admission of requests that compete for too little capacity."""

import random
from copy import copy
from typing import Final

from attrs import define, field, frozen

from bronzebeam.routing.account_shares import FairShares, OwedRequests
from bronzebeam.routing.admission import AdmissionQueue, AdmissionStep, Capacity
from bronzebeam.routing.admission_order import AdmissionRequest, CostOrder, Urgency
from bronzebeam.routing.class_shares import ClassShares
from bronzebeam.routing.overload import RETRY_FACTOR
from bronzebeam.routing.shared_limit import LATE_SERVICE_SHARE, SharedLimit
from bronzebeam.units import MS_PER_SECOND

# A wait ends early enough for the caller to come back in time after a refusal.
MAX_WAIT_SHARE: Final = 0.25
# A start needs this share of the target at most, whatever earlier answers took: after
# an overload the estimate would otherwise refuse whatever can't start at once.
MAX_SERVICE_SHARE: Final = 0.75
MIN_RETRY_AFTER_MS: Final = 16.0  # a sooner return is not recognized as one
# A return goes to any instance and may find room there, so a caller that can still be
# answered in time comes back in time. Others come back once there is room here.
RETURN_SHARE: Final = 0.25
MAX_RETRY_AFTER_MS: Final = 5_000.0
MIN_WAITING: Final = 8
WAITING_PER_LIMIT: Final = 2.0
OWED_PRIORITY: Final = -1  # below any configured priority


@frozen(kw_only=True)
class Demand:
    """
    A request for capacity.

    :ivar account: name of its account; empty if there is none.
    :ivar priority: priority of its account, or of its route if the account has none.
    :ivar route_priority: priority of its route.
    :ivar rank: rank of its urgency among those possible here; 0 is the most urgent.
    :ivar is_return: its caller was refused before.
    :ivar is_late: it can't be answered within the target of its caller's first attempt.
    :ivar arrived_at_seconds: monotonic time at which it arrived.
    :ivar target_at_seconds: monotonic time at which its target latency is reached.
    :ivar work_ms: sub-requests times their usual reply time.
    :ivar usual_ms: time that an answer takes, used before the first is known.
    """

    request_id: str
    route: str
    account: str
    priority: int
    route_priority: int
    rank: int
    is_return: bool
    is_late: bool
    arrived_at_seconds: float
    target_at_seconds: float
    target_latency_ms: float
    work_ms: float
    usual_ms: float


@frozen(kw_only=True)
class ForeseenStep:
    """
    What would happen if a request came now.

    :ivar step: the decisions about it and the requests that wait.
    :ivar has_room: it would find room if no other waited.
    """

    request: AdmissionRequest
    step: AdmissionStep
    capacity: Capacity
    has_room: bool


@define(kw_only=True, eq=False, repr=False)
class _Admitted:
    """
    A demand that waits or runs.

    :ivar level: its class for `ClassShares`; 0 is the most urgent.
    :ivar started_at_seconds: monotonic time of its start; 0 before.
    """

    demand: Demand
    level: int
    work: float
    started_at_seconds: float = 0.0


@define(kw_only=True, eq=False, repr=False)
class SharedAdmission:
    """
    Queue and limit of one instance for the services that a group of routes shares.

    Protects callers while more is asked for than the replicas can answer in time: what
    is refused is what costs them least. See docs/design/admission.md.

    :ivar rank_count: number of different urgencies.
    """

    rng: random.Random
    rank_count: int
    limit: SharedLimit = field(factory=SharedLimit)
    classes: ClassShares = field(init=False)
    shares: dict[Urgency, FairShares] = field(factory=dict, init=False)
    owed: OwedRequests = field(init=False)
    queue: AdmissionQueue = field(init=False)
    _demands: dict[str, _Admitted] = field(factory=dict)
    _usual_ms: float = 1.0

    def __attrs_post_init__(self) -> None:
        # Two classes for each urgency: accounts within their share, and beyond it.
        self.classes = ClassShares(level_count=2 * self.rank_count)
        self.owed = OwedRequests(rng=self.rng)
        self.queue = AdmissionQueue(
            max_waiting=MIN_WAITING,
            rng=self.rng,
            order=CostOrder(shares=self.shares),
        )

    def set_rank_count(self, count: int) -> None:
        """Change the number of different urgencies."""
        self.rank_count = count
        self.classes.set_level_count(2 * count)

    @property
    def is_unused(self) -> bool:
        """Whether no request waits or runs."""
        return not self._demands

    @property
    def capacity(self) -> Capacity:
        """Return the current capacity."""
        return self.limit.capacity(usual_ms=self._usual_ms)

    @property
    def next_step_seconds(self) -> float:
        """Return the monotonic time at which to call `advance`."""
        return self.queue.next_step_seconds(self.capacity)

    def submit(self, demand: Demand, *, now_seconds: float) -> AdmissionStep:
        """Start, queue or refuse a request."""
        self._usual_ms = demand.usual_ms
        request, level = self.build_request(demand, now_seconds=now_seconds)
        return self._submit(demand, request, level, now_seconds)

    def foresee(
        self, demand: Demand, *, rank_count: int, now_seconds: float, rng: random.Random
    ) -> ForeseenStep:
        """
        Return what `submit` would decide, without a change.

        :param rank_count: number of different urgencies, which may be about to change.
        :param rng: used for what `submit` draws at random.
        """
        other = self._copy(rng)
        other.set_rank_count(rank_count)
        other._usual_ms = demand.usual_ms
        request, level = other.build_request(demand, now_seconds=now_seconds)
        capacity = other.capacity
        return ForeseenStep(
            request=request,
            capacity=capacity,
            has_room=capacity.has_room(
                request, running=capacity.running, now_seconds=now_seconds
            ),
            step=other._submit(demand, request, level, now_seconds),
        )

    def _copy(self, rng: random.Random) -> "SharedAdmission":
        other = copy(self)
        other.rng = rng
        other.limit = copy(self.limit)
        other.classes = self.classes.copy()
        other.shares = {name: item.copy() for name, item in self.shares.items()}
        other.owed = self.owed.copy(rng)
        other.queue = self.queue.copy(order=CostOrder(shares=other.shares), rng=rng)
        other._demands = {name: copy(item) for name, item in self._demands.items()}
        return other

    def _submit(
        self,
        demand: Demand,
        request: AdmissionRequest,
        level: int,
        now_seconds: float,
    ) -> AdmissionStep:
        self._demands[demand.request_id] = _Admitted(
            demand=demand, level=level, work=request.work
        )
        limit = self.limit.limit
        self.queue.max_waiting = max(MIN_WAITING, int(WAITING_PER_LIMIT * limit))
        step = self.queue.submit(
            request, capacity=self.capacity, now_seconds=now_seconds
        )
        if demand.request_id not in step.started and request.limit_share >= 1.0:
            self.limit.was_short = True
        return self._apply(step, now_seconds)

    def advance(self, *, now_seconds: float) -> AdmissionStep:
        """Start and refuse requests after time has passed or one has ended."""
        step = self.queue.advance(capacity=self.capacity, now_seconds=now_seconds)
        return self._apply(step, now_seconds)

    def cancel(self, request_id: str) -> None:
        """Remove a waiting request whose caller has disconnected."""
        if self.queue.cancel(request_id):
            del self._demands[request_id]

    def end(
        self,
        request_id: str,
        *,
        service_ms: float | None,
        was_refused: bool,
        now_seconds: float,
    ) -> None:
        """
        Record that a started request has ended.

        :param service_ms: time from its start until it could be answered; None if it
            does not depend on the load.
        :param was_refused: replicas turned sub-requests away for lack of room.
        """
        admitted = self._demands.pop(request_id)
        demand = admitted.demand
        waited_seconds = admitted.started_at_seconds - demand.arrived_at_seconds
        duration_ms = (now_seconds - admitted.started_at_seconds) * MS_PER_SECOND
        # What takes longer is due to queues that the limit prevents from now on.
        longest_ms = LATE_SERVICE_SHARE * demand.target_latency_ms
        self.limit.leave_work(
            work=admitted.work,
            duration_ms=min(duration_ms, longest_ms),
            now_seconds=now_seconds,
        )
        remaining_seconds = demand.target_at_seconds - demand.arrived_at_seconds
        if service_ms is not None:
            self.limit.observe_route(
                demand.route,
                service_ms=service_ms,
                waited_ms=waited_seconds * MS_PER_SECOND,
                remaining_ms=remaining_seconds * MS_PER_SECOND,
                target_latency_ms=demand.target_latency_ms,
                was_refused=was_refused,
                now_seconds=now_seconds,
            )

    def build_request(
        self, demand: Demand, *, now_seconds: float
    ) -> tuple[AdmissionRequest, int]:
        """Return the request for the queue, and its class for `ClassShares`."""
        account, work = demand.account, self.limit.relative_work(demand.work_ms)
        shares = self._shares_of(demand)
        if not demand.is_return:
            shares.record_asked(account, work=work, now_seconds=now_seconds)
        is_beyond = shares.is_beyond_share(account)
        is_owed = self.owed.record_asked(account, now_seconds=now_seconds)
        is_set_back = not is_owed and (is_beyond or demand.is_late)
        level = 0 if is_owed else 2 * demand.rank + is_set_back
        limit_share = self.classes.share(level, now_seconds=now_seconds)
        if demand.is_return and not is_set_back:
            limit_share *= RETRY_FACTOR
        service_ms = self.limit.service_ms(demand.route, usual_ms=demand.usual_ms)
        longest_ms = MAX_SERVICE_SHARE * demand.target_latency_ms
        max_wait_ms = MAX_WAIT_SHARE * demand.target_latency_ms
        return_ms = RETURN_SHARE * demand.target_latency_ms
        remaining_ms = (demand.target_at_seconds - now_seconds) * MS_PER_SECOND
        if remaining_ms < 1.25 * return_ms + 0.75 * min(service_ms, longest_ms):
            return_ms = MAX_RETRY_AFTER_MS
        request = AdmissionRequest(
            query_id=demand.request_id,
            priority=OWED_PRIORITY if is_owed else demand.priority,
            route_priority=demand.route_priority,
            deadline_at_seconds=demand.target_at_seconds,
            account=demand.account,
            is_return=demand.is_return,
            is_set_back=is_set_back,
            work=work,
            service_ms=min(service_ms, longest_ms),
            expires_at_seconds=demand.arrived_at_seconds + max_wait_ms / MS_PER_SECOND,
            limit_share=limit_share,
            retry_bounds_ms=(MIN_RETRY_AFTER_MS, return_ms),
            may_be_late=True,
        )
        return request, level

    def _shares_of(self, demand: Demand) -> FairShares:
        urgency = demand.priority, demand.route_priority
        return self.shares.setdefault(urgency, FairShares())

    def _apply(self, step: AdmissionStep, now_seconds: float) -> AdmissionStep:
        for request_id in step.started:
            admitted = self._demands[request_id]
            admitted.started_at_seconds = now_seconds
            demand = admitted.demand
            self.limit.enter_work(
                work=admitted.work, work_ms=demand.work_ms, rng=self.rng
            )
            self._shares_of(demand).record_started(
                demand.account, work=admitted.work, now_seconds=now_seconds
            )
            self.owed.record_started(demand.account, now_seconds=now_seconds)
        for rejection in step.rejected:
            admitted = self._demands.pop(rejection.query_id)
            self.classes.record_refused(admitted.level, now_seconds=now_seconds)
        return step
