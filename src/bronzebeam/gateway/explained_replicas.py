"""What the choice of a replica depends on, for operators; nothing is changed."""

import random
from collections.abc import Callable, Iterable
from typing import Any, Final

from attrs import define, field, frozen

from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.replica import (
    FAILING_REPLY_SHARE,
    SLOW_LATENCY_FACTOR,
    Replica,
)
from bronzebeam.gateway.replica_choice import (
    ESTIMATE_SPREAD,
    LAST_RESORT_PENALTY_MS,
    ReplicaChoice,
)
from bronzebeam.routing.replica_estimate import (
    FAILURE_COST_MS,
    UNREPEATABLE_FAILURE_COST_MS,
    ReplicaLoad,
    estimate_reply_ms,
    extra_cost_ms,
)
from bronzebeam.routing.replica_latency import TypicalLatency
from bronzebeam.routing.routes import Route
from bronzebeam.units import MS_PER_SECOND

NOT_USABLE: Final = "not_usable"  # for a reason that has no entry in `EXCLUSIONS`
FIGURE_DIGITS: Final = 2


class NoSpread(random.Random):
    """
    Random source for choices that are explained but not made.

    It leaves the source of the process as it is, and always chooses the best replica.
    """

    def random(self) -> float:
        """Return the lowest number."""
        return 0.0


@frozen(kw_only=True)
class ViewedReplica:
    """
    A replica at the time of an explanation.

    :ivar ignore_limit: see `Replica.is_usable`.
    """

    replica: Replica
    now_seconds: float
    ignore_limit: bool


Condition = Callable[[ViewedReplica], bool]


def _is_limited(item: ViewedReplica) -> bool:
    wait_seconds = item.replica.seconds_until_turn(item.now_seconds)
    return wait_seconds > 0.0 and not item.ignore_limit


def _is_cold(item: ViewedReplica) -> bool:
    return item.now_seconds < item.replica.cold_until_seconds


# Why a replica gets no request, in the order of `Replica.is_usable`.
EXCLUSIONS: Final[tuple[tuple[str, Condition], ...]] = (
    ("mismatched", lambda item: item.replica.mismatched),
    ("unreachable", lambda item: not item.replica.pool.is_reachable),
    ("paused", lambda item: item.replica.is_paused(item.now_seconds)),
    ("limited", _is_limited),
    ("removed", lambda item: item.replica.removed_at_seconds is not None),
    ("leaving", lambda item: item.replica.is_leaving),
)
# What makes a replica less suitable, but does not exclude it by itself.
CONDITIONS: Final[tuple[tuple[str, Condition], ...]] = (
    ("cold", _is_cold),
    ("leaving", lambda item: item.replica.is_leaving),
    ("removed", lambda item: item.replica.removed_at_seconds is not None),
    ("names_a_limit", lambda item: item.replica.limited is not None),
    (
        "slow",
        lambda item: item.replica.relative_latency.at(item.now_seconds)
        > SLOW_LATENCY_FACTOR,
    ),
    (
        "failing",
        lambda item: item.replica.failure_rate.at(item.now_seconds)
        > FAILING_REPLY_SHARE,
    ),
)


@define(kw_only=True, eq=False, repr=False)
class ReplicaExplainer:
    """Explains the choice between the replicas of a service for one route."""

    state: FleetState
    route: Route
    now_seconds: float
    typical: TypicalLatency
    _rng: NoSpread = field(factory=NoSpread)

    def choose(self, service: str, *, ignore_limit: bool) -> ReplicaChoice | None:
        """Return the choice of the request path, without its random spread."""
        return self.state.replicas.choose(
            service=service,
            excluded=(),
            route=self.route,
            typical=self.typical,
            ignore_limit=ignore_limit,
            rng=self._rng,
        )

    def describe_all(self, service: str, *, ignore_limit: bool) -> list[dict[str, Any]]:
        """Describe the replicas of a service, those with the best score first."""
        described = [
            self._describe(
                ViewedReplica(
                    replica=replica,
                    now_seconds=self.now_seconds,
                    ignore_limit=ignore_limit,
                )
            )
            for replica in self.state.replicas.of_service(service)
        ]
        described.sort(key=lambda item: (bool(item["excluded_by"]), item["score_ms"]))
        _mark_possible(item for item in described if not item["excluded_by"])
        return described

    def _describe(self, item: ViewedReplica) -> dict[str, Any]:
        replica = item.replica
        excluded_by: list[str] = []
        if not replica.is_usable(
            self.now_seconds,
            self.state.replicas.leaving_grace_seconds,
            ignore_limit=item.ignore_limit,
        ):
            excluded_by = _names(EXCLUSIONS, item) or [NOT_USABLE]
        load = replica.load(self.now_seconds, self.state.own_domain, self.typical)
        estimate_ms = estimate_reply_ms(load, typical_ms=self.typical.typical_ms)
        extra_ms = extra_cost_ms(
            load,
            failure_cost_ms=(
                FAILURE_COST_MS
                if self.route.idempotent
                else UNREPEATABLE_FAILURE_COST_MS
            ),
        )
        if replica.is_leaving or replica.removed_at_seconds is not None:
            extra_ms += LAST_RESORT_PENALTY_MS
        return {
            "replica": replica.record.replica,
            "domain": replica.record.failure_domain,
            "excluded_by": excluded_by,
            "conditions": _names(CONDITIONS, item),
            "estimate_ms": _round(estimate_ms),
            "extra_cost_ms": _round(extra_ms),
            "score_ms": _round(estimate_ms + extra_ms),
            "may_be_chosen": False,
            "parts": _describe_load(load),
            "reading": self._describe_reading(replica),
            "paused_ms": _ms_until(replica.paused_until_seconds, self.now_seconds),
            "cold_ms": _ms_until(replica.cold_until_seconds, self.now_seconds),
            "next_turn_ms": _round(
                replica.seconds_until_turn(self.now_seconds) * MS_PER_SECOND
            ),
        }

    def _describe_reading(self, replica: Replica) -> dict[str, Any] | None:
        reading = replica.reading
        if reading is None:
            return None
        age_seconds = self.now_seconds - reading.at_seconds
        return {
            "running": reading.running,
            "waiting": reading.waiting,
            "slots": reading.slots,
            "pace": _round(reading.pace),
            "age_ms": _round(age_seconds * MS_PER_SECOND),
            "is_used": reading.is_valid(self.now_seconds),
        }


def _mark_possible(usable: Iterable[dict[str, Any]]) -> None:
    """Mark the replicas that the random spread of the request path may prefer."""
    items = list(usable)
    highest_best_ms = min(
        (item["score_ms"] + item["estimate_ms"] * ESTIMATE_SPREAD for item in items),
        default=0.0,
    )
    for item in items:
        item["may_be_chosen"] = item["score_ms"] <= highest_best_ms


def _names(
    conditions: Iterable[tuple[str, Condition]], item: ViewedReplica
) -> list[str]:
    return [name for name, applies in conditions if applies(item)]


def _describe_load(load: ReplicaLoad) -> dict[str, Any]:
    return {
        "latency_factor": _round(load.latency_factor),
        "in_flight": load.in_flight,
        "oldest_age_ms": _round(load.oldest_age_ms),
        "slots": load.slots,
        "is_cold": load.is_cold,
        "is_connected": load.is_connected,
        "failure_share": _round(load.failure_share),
        "in_own_domain": load.in_own_domain,
        "reported_pace": _round(load.reported_pace),
        "reported_queue": _round(load.reported_queue),
        "reported_weight": _round(load.reported_weight),
    }


def _ms_until(at_seconds: float, now_seconds: float) -> float:
    return _round(max(0.0, at_seconds - now_seconds) * MS_PER_SECOND)


def _round(value: float) -> float:
    return round(value, FIGURE_DIGITS)
