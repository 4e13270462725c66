"""Other orders of the admission queue, to compare with the chosen one."""

import random
from collections import defaultdict
from collections.abc import Callable, Collection
from typing import Any

from attrs import define, evolve, field

from bronzebeam.routing.admission_order import AdmissionRequest, WaitingRequest
from bronzebeam.routing.shared_admission import Demand, SharedAdmission
from tests.fixtures_admission import PlainRefusal, Policy, shared_admission

WEIGHTS = {0: 4.0, 1: 2.0, 2: 1.0}  # of the priorities
Key = Callable[[WaitingRequest], Any]


@define(kw_only=True, eq=False)
class KeyOrder:
    """Starts the request with the lowest key first."""

    key: Key

    def first(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        return min(waiting, key=self.key)

    def last(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        return max(waiting, key=self.key)

    def work_ahead(
        self, waiting: Collection[WaitingRequest], queued: WaitingRequest
    ) -> float:
        key = self.key(queued)
        return sum(item.request.work for item in waiting if self.key(item) < key)


class OtherAdmission(SharedAdmission):
    """The same limit and queue, without urgencies, classes and owed requests."""

    def __init__(self, rng: random.Random, order: Callable[[Any], KeyOrder]) -> None:
        super().__init__(rng=rng, rank_count=3)
        self.demands: dict[str, Demand] = {}
        self.queue.order = order(self)

    def build_request(
        self, demand: Demand, *, now_seconds: float
    ) -> tuple[AdmissionRequest, int]:
        self.demands[demand.request_id] = demand
        request, _ = super().build_request(demand, now_seconds=now_seconds)
        plain = evolve(
            request, priority=0, route_priority=0, is_set_back=False, limit_share=1.0
        )
        return plain, 0

    def weight(self, queued: WaitingRequest) -> float:
        return WEIGHTS[self.demands[queued.request.query_id].priority]


def earliest_deadline_first(admission: OtherAdmission) -> KeyOrder:
    return KeyOrder(key=lambda item: (item.latest_start_seconds, item.number))


def value_for_work(admission: OtherAdmission) -> KeyOrder:
    return KeyOrder(
        key=lambda item: (-admission.weight(item) / item.request.work, item.number)
    )


@define(kw_only=True, eq=False)
class FairQueueing(KeyOrder):
    """Weighted fair queueing: by virtual finish times of each account."""

    admission: OtherAdmission
    key: Key = field(init=False)
    tags: dict[str, float] = field(factory=dict)
    finish: dict[str, float] = field(factory=lambda: defaultdict(float))
    virtual: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.key = self.tag

    def tag(self, queued: WaitingRequest) -> float:
        name = queued.request.query_id
        if name not in self.tags:
            account = queued.request.account
            start = max(self.virtual, self.finish[account])
            share = queued.request.work / self.admission.weight(queued)
            self.tags[name] = self.finish[account] = start + share
        return self.tags[name]

    def first(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        chosen = min(waiting, key=self.tag)
        self.virtual = max(self.virtual, self.tag(chosen) - chosen.request.work)
        return chosen


@define(kw_only=True, eq=False)
class RoundRobin(KeyOrder):
    """Deficit round robin over accounts; the quantum is the weight."""

    admission: OtherAdmission
    key: Key = field(init=False)
    deficits: dict[str, float] = field(factory=lambda: defaultdict(float))
    turns: list[str] = field(factory=list)
    chosen: WaitingRequest | None = None

    def __attrs_post_init__(self) -> None:
        self.key = lambda item: (self.position(item), item.number)

    def position(self, queued: WaitingRequest) -> int:
        account = queued.request.account
        if account not in self.turns:
            self.turns.append(account)
        return self.turns.index(account)

    def first(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        if self.chosen is not None and self.chosen not in waiting:
            self.deficits[self.chosen.request.account] -= self.chosen.request.work
        while True:
            chosen = min(waiting, key=self.key)
            account = chosen.request.account
            if self.deficits[account] >= chosen.request.work:
                self.chosen = chosen
                return chosen
            self.deficits[account] += self.admission.weight(chosen)
            self.turns.remove(account)
            self.turns.append(account)


POLICIES: dict[str, Policy] = {
    "plain refusal": PlainRefusal,
    "weighted fair queueing": lambda rng: OtherAdmission(
        rng, lambda admission: FairQueueing(admission=admission)
    ),
    "deficit round robin": lambda rng: OtherAdmission(
        rng, lambda admission: RoundRobin(admission=admission)
    ),
    "earliest deadline first": lambda rng: OtherAdmission(rng, earliest_deadline_first),
    "value for work": lambda rng: OtherAdmission(rng, value_for_work),
    "cost to callers": shared_admission,
}
