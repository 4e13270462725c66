"""What the choice of a replica depends on, for operators; nothing is changed."""

import math
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
from bronzebeam.gateway.replica_choice import ReplicaChoice
from bronzebeam.routing.replica_estimate import ReplicaLoad, estimate_reply_ms
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


class FullSpread(random.Random):
    """Random source that gives each replica the highest score that it may get."""

    def random(self) -> float:
        """Return the limit of the numbers."""
        return 1.0


@frozen(kw_only=True)
class ViewedReplica:
    """
    A replica at the time of an explanation.

    :ivar ignore_limit: see `Replica.is_usable`.
    :ivar evacuated: failure domains whose replicas get no requests.
    :ivar allowed_domains: the only domains that the request may be sent to; None for
        any.
    """

    replica: Replica
    now_seconds: float
    ignore_limit: bool
    evacuated: frozenset[str]
    allowed_domains: frozenset[str] | None

    @property
    def domain(self) -> str:
        """Return the failure domain of the replica."""
        return self.replica.record.failure_domain


Condition = Callable[[ViewedReplica], bool]


def _is_outside_regions(item: ViewedReplica) -> bool:
    return item.allowed_domains is not None and item.domain not in item.allowed_domains


def _is_limited(item: ViewedReplica) -> bool:
    limited = item.replica.limited
    if limited is None or item.ignore_limit:
        return False
    return limited.turns.seconds_until_next(item.now_seconds) > 0.0


def _has_no_cold_turn(item: ViewedReplica) -> bool:
    wait_seconds = item.replica.seconds_until_cold_turn(item.now_seconds)
    return wait_seconds > 0.0 and not item.ignore_limit


def _is_cold(item: ViewedReplica) -> bool:
    return item.now_seconds < item.replica.cold_until_seconds


# Why a replica is not considered, as in `ReplicaSet.of_service`.
DOMAIN_EXCLUSIONS: Final[tuple[tuple[str, Condition], ...]] = (
    ("evacuated", lambda item: item.domain in item.evacuated),
    ("outside_regions", _is_outside_regions),
)
# Why a replica gets no request, in the order of `Replica.is_usable`.
EXCLUSIONS: Final[tuple[tuple[str, Condition], ...]] = (
    ("mismatched", lambda item: item.replica.mismatched),
    ("unreachable", lambda item: not item.replica.pool.is_reachable),
    ("paused", lambda item: item.replica.is_paused(item.now_seconds)),
    ("limited", _is_limited),
    ("cold", _has_no_cold_turn),
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
    """
    Explains the choice between the replicas of a service for one request.

    :ivar domains: the only failure domains that it may be sent to; None for any.
    """

    state: FleetState
    route: Route
    typical: TypicalLatency
    domains: frozenset[str] | None = None
    _no_spread: NoSpread = field(factory=NoSpread)
    _full_spread: FullSpread = field(factory=FullSpread)

    @property
    def now_seconds(self) -> float:
        """Return the monotonic time by which replicas are chosen."""
        return self.state.loop.time()

    def choose(self, service: str, *, ignore_limit: bool) -> ReplicaChoice | None:
        """Return the choice of the request path, without its random spread."""
        return self._choose(service, self._no_spread, ignore_limit=ignore_limit)

    def _choose(
        self, service: str, rng: random.Random, *, ignore_limit: bool
    ) -> ReplicaChoice | None:
        return self.state.replicas.choose(
            service=service,
            excluded=(),
            route=self.route,
            typical=self.typical,
            ignore_limit=ignore_limit,
            rng=rng,
            domains=self.domains,
        )

    def describe_all(self, service: str, *, ignore_limit: bool) -> list[dict[str, Any]]:
        """Describe the replicas of a service, those with the best score first."""
        lowest_ms = self._scores(service, self._no_spread, ignore_limit=ignore_limit)
        highest_ms = self._scores(service, self._full_spread, ignore_limit=ignore_limit)
        # Whatever the spread, the best one gets no higher score.
        best_ms = min(highest_ms.values(), default=0.0)
        replicas = sorted(
            self.state.replicas.all_of_service(service),
            key=lambda item: lowest_ms.get(item, math.inf),
        )
        described = []
        for replica in replicas:
            score_ms = lowest_ms.get(replica)
            item = self._describe(replica, score_ms, ignore_limit=ignore_limit)
            item["may_be_chosen"] = score_ms is not None and score_ms <= best_ms
            item["has_spread"] = highest_ms.get(replica) != score_ms
            described.append(item)
        return described

    def _scores(
        self, service: str, rng: random.Random, *, ignore_limit: bool
    ) -> dict[Replica, float]:
        """Return the scores of the replicas that the request path may choose."""
        choice = self._choose(service, rng, ignore_limit=ignore_limit)
        if choice is None:
            return {}
        return {replica: score_ms for score_ms, _, replica in choice.candidates}

    def _describe(
        self, replica: Replica, score_ms: float | None, *, ignore_limit: bool
    ) -> dict[str, Any]:
        item = ViewedReplica(
            replica=replica,
            now_seconds=self.now_seconds,
            ignore_limit=ignore_limit,
            evacuated=self.state.replicas.evacuated,
            allowed_domains=self.domains,
        )
        load = replica.load(self.now_seconds, self.state.own_domain, self.typical)
        estimate_ms = estimate_reply_ms(load, typical_ms=self.typical.typical_ms)
        return {
            "replica": replica.record.replica,
            "domain": replica.record.failure_domain,
            "excluded_by": self._exclusions(item) if score_ms is None else [],
            "conditions": _names(CONDITIONS, item),
            "estimate_ms": _round(estimate_ms),
            "extra_cost_ms": (
                None if score_ms is None else _round(score_ms - estimate_ms)
            ),
            "score_ms": None if score_ms is None else _round(score_ms),
            "may_be_chosen": False,
            "parts": _describe_load(load),
            "reading": self._describe_reading(replica),
            "paused_ms": _ms_until(replica.paused_until_seconds, self.now_seconds),
            "cold_ms": _ms_until(replica.cold_until_seconds, self.now_seconds),
            "cold_senders": [] if replica.cold is None else list(replica.cold.senders),
            "next_turn_ms": _round(
                replica.seconds_until_turn(self.now_seconds) * MS_PER_SECOND
            ),
        }

    def _exclusions(self, item: ViewedReplica) -> list[str]:
        names = _names(DOMAIN_EXCLUSIONS, item)
        if not item.replica.is_usable(self.now_seconds, ignore_limit=item.ignore_limit):
            names += _names(EXCLUSIONS, item)
        return names or [NOT_USABLE]

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
