"""Whether a request would find room, for operators; nothing is changed."""

from typing import Any, Final

from attrs import define, field

from bronzebeam.gateway.admission import Admission
from bronzebeam.gateway.competing_admission import (
    CAUSE_PREFIX,
    FORESEEN_ID,
    CompetingAdmission,
)
from bronzebeam.gateway.explained_replicas import NoSpread
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.admission import Rejection
from bronzebeam.routing.overload import RANK_FACTOR, AdaptiveLimit
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.routing.shared_admission import ForeseenStep
from bronzebeam.routing.shared_limit import SharedLimit

STARTS: Final = "starts"
WAITS: Final = "waits"
REFUSED: Final = "refused"
OVERLOAD: Final = "overload"


@define(kw_only=True, eq=False, repr=False)
class AdmissionExplainer:
    """
    Explains whether the next request would be started, wait or be refused.

    :ivar admission: used where the configuration has no accounts.
    :ivar competing: used where it has some.
    """

    admission: Admission
    competing: CompetingAdmission
    _rng: NoSpread = field(factory=NoSpread)

    def describe(
        self,
        *,
        table: RouteTable,
        route: Route,
        account: Account | None,
        target_ms: float,
    ) -> tuple[dict[str, Any], str]:
        """
        Describe the room for a caller's first attempt.

        :param account: the caller's account; None if there is none.
        :param target_ms: time to its target latency.
        :return: the description, and why it would be refused; empty if it would not.
        """
        if not table.accounts:
            return self._describe_limit(route)
        demand, foreseen = self.competing.foresee(
            table=table,
            route=route,
            account=account,
            target_ms=target_ms,
            rng=self._rng,
        )
        _, admission = self.competing.find_group(table, route)
        limit = SharedLimit() if admission is None else admission.limit
        waiting = {} if admission is None else admission.queue.waiting_counts()
        capacity, request = foreseen.capacity, foreseen.request
        rejection = _own_rejection(foreseen)
        room = capacity.limit * request.limit_share - capacity.running
        described = {
            "in_flight": limit.in_flight,
            "limit": round(capacity.limit, 2),
            "rank": demand.rank,
            "is_reduced": limit.is_reduced,
            "in_flight_work": round(capacity.running, 2),
            "limit_share": round(request.limit_share, 3),
            "room": round(max(0.0, room), 2),
            "has_room": foreseen.has_room,
            "work": round(request.work, 2),
            "is_set_back": request.is_set_back,
            "priority": request.priority,
            "route_priority": request.route_priority,
            "waiting_count": sum(waiting.values()),
            "waiting": [
                {"priority": priority, "route_priority": second, "count": count}
                for (priority, second), count in waiting.items()
            ],
            "decision": _decision(foreseen, rejection),
            "refuses_waiting_count": sum(
                item.query_id != FORESEEN_ID for item in foreseen.step.rejected
            ),
            "retry_after_ms": None if rejection is None else rejection.retry_after_ms,
        }
        cause = "" if rejection is None else CAUSE_PREFIX + rejection.reason.value
        return described, cause

    def _describe_limit(self, route: Route) -> tuple[dict[str, Any], str]:
        limit = self.admission.limit_for(route) or AdaptiveLimit()
        rank = self.admission.rank_of(route)
        has_room = limit.should_admit(rank=rank, is_retry=False, rng=self._rng)
        described = {
            "in_flight": limit.in_flight,
            "limit": round(limit.limit * RANK_FACTOR**rank, 1),
            "rank": rank,
            "is_reduced": limit.is_reduced,
        }
        return described, "" if has_room else OVERLOAD


def _own_rejection(foreseen: ForeseenStep) -> Rejection | None:
    for item in foreseen.step.rejected:
        if item.query_id == FORESEEN_ID:
            return item
    return None


def _decision(foreseen: ForeseenStep, rejection: Rejection | None) -> str:
    if rejection is not None:
        return REFUSED
    return STARTS if FORESEEN_ID in foreseen.step.started else WAITS
