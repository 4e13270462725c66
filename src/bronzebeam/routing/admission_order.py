"""The order in which waiting queries start, and in which they are refused."""

import math
from collections.abc import Collection, Mapping
from typing import Final, Protocol

from attrs import define, field, frozen

from bronzebeam.routing.account_shares import FairShares

RETRY_AFTER_BOUNDS_MS: Final = (50.0, 10_000.0)
Urgency = tuple[int, int]


@frozen(kw_only=True)
class AdmissionRequest:
    """
    A query that asks for admission.

    :ivar priority: priority of its account or traffic class; 0 is served first.
    :ivar deadline_at_seconds: monotonic time after which an answer is useless, or, with
        `may_be_late`, has lost most of its value.
    :ivar route_priority: decides between queries of the same priority.
    :ivar account: its account; empty if there is none.
    :ivar is_return: its caller was refused before.
    :ivar is_set_back: it goes behind the others of its urgency: its account has had
        more than its share, or it is late already.
    :ivar work: its work, in queries of average work.
    :ivar service_ms: time from its start to its answer; None for that of the service.
    :ivar expires_at_seconds: monotonic time until which it may wait.
    :ivar limit_share: share of the limit that queries like it may use.
    :ivar retry_bounds_ms: least and longest delay after which its caller may retry.
    :ivar may_be_late: start it if there is room, even if it can't be answered in time.
    """

    query_id: str
    priority: int
    deadline_at_seconds: float
    route_priority: int = 0
    account: str = ""
    is_return: bool = False
    is_set_back: bool = False
    work: float = 1.0
    service_ms: float | None = None
    expires_at_seconds: float = math.inf
    limit_share: float = 1.0
    retry_bounds_ms: tuple[float, float] = RETRY_AFTER_BOUNDS_MS
    may_be_late: bool = False

    @property
    def urgency(self) -> Urgency:
        """Return the first criterion of the order; the lowest is served first."""
        return self.priority, self.route_priority


@define(kw_only=True)
class WaitingRequest:
    """
    A query in the queue.

    :ivar number: increases with each arrival.
    :ivar latest_start_seconds: monotonic time after which it can't be answered in time.
    """

    request: AdmissionRequest
    number: int
    latest_start_seconds: float = field(default=math.inf)

    @property
    def expires_at_seconds(self) -> float:
        """Return the monotonic time at which it stops waiting."""
        return min(self.latest_start_seconds, self.request.expires_at_seconds)


class AdmissionOrder(Protocol):
    """Orders waiting queries of the same urgency."""

    def first(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        """Return the query to start next."""

    def last(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        """Return the query to refuse if the queue is full."""

    def work_ahead(
        self, waiting: Collection[WaitingRequest], queued: WaitingRequest
    ) -> float:
        """Return the work of the queries that would start before `queued`."""


@frozen(kw_only=True)
class ArrivalOrder:
    """Starts queries in the order of their arrival, and refuses the newest."""

    def first(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        """Return the oldest query."""
        return next(iter(waiting))

    def last(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        """Return the newest query."""
        *_, newest = waiting
        return newest

    def work_ahead(
        self, waiting: Collection[WaitingRequest], queued: WaitingRequest
    ) -> float:
        """Return the work of all queries, each of which counts as average."""
        return float(len(waiting))


@frozen(kw_only=True)
class CostOrder:
    """
    Starts first what costs callers most if it is delayed or refused.

    In sequence: requests that are not set back; callers that come back after a refusal;
    accounts that do not have more than their share; the earliest latest start; the
    least work. A return of an account beyond its share is set back like its other
    requests: the refused requests of a hot account would otherwise come back before
    the first requests of the others.

    :ivar shares: fair shares of the accounts, for each urgency.
    """

    shares: Mapping[Urgency, FairShares]

    def first(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        """Return the query that costs most if it waits."""
        return min(waiting, key=self._key)

    def last(self, waiting: Collection[WaitingRequest]) -> WaitingRequest:
        """Return the query that costs least if it is refused."""
        return max(waiting, key=self._key)

    def work_ahead(
        self, waiting: Collection[WaitingRequest], queued: WaitingRequest
    ) -> float:
        """Return the work of the queries that cost more."""
        if not waiting:
            return 0.0
        key = self._key(queued)
        return sum(item.request.work for item in waiting if self._key(item) < key)

    def _key(
        self, queued: WaitingRequest
    ) -> tuple[bool, bool, bool, float, float, int]:
        request = queued.request
        shares = self.shares.get(request.urgency)
        is_beyond = shares is not None and shares.is_beyond_share(request.account)
        return (
            request.is_set_back,
            is_beyond or not request.is_return,
            is_beyond,
            queued.latest_start_seconds,
            request.work,
            queued.number,
        )
