"""Selection of a replica for the next attempt."""

import random
from collections.abc import Collection, Sequence
from typing import Final

from attrs import define, frozen

from bronzebeam.gateway.replica import Replica
from bronzebeam.routing.replica_estimate import (
    FAILURE_COST_MS,
    UNREPEATABLE_FAILURE_COST_MS,
    estimate_reply_ms,
    extra_cost_ms,
)
from bronzebeam.routing.replica_latency import TypicalLatency
from bronzebeam.routing.routes import Route

# Ranks draining and removed replicas after all others.
LAST_RESORT_PENALTY_MS: Final = 10_000.0
# Ranks cold replicas with a limit after warm ones: they bear few requests, and take
# longer.
COLD_PENALTY_MS: Final = 5_000.0
# Replicas whose score is within this ratio of the best are considered equivalent.
SUITABLE_SCORE_RATIO: Final = 1.6
ESTIMATE_SPREAD: Final = 0.15  # random; spreads instances over similar replicas
MIN_SPREAD_REPLICAS: Final = 2  # in one domain; a single one is preferred as it is

Candidate = tuple[float, float, Replica]  # its score, its estimate and the replica


@define(kw_only=True, eq=False, repr=False)
class ReplicaChoice:
    """
    The replica selected for the next attempt.

    :ivar estimate_ms: expected reply time.
    :ivar suitable_domains: failure domains with a replica of about the same score.
    :ivar candidates: all replicas that could be selected, for explanations.
    """

    replica: Replica
    estimate_ms: float
    suitable_domains: tuple[str, ...]
    candidates: Sequence[Candidate]


@frozen(kw_only=True)
class SharedShard:
    """
    A shard of one request to which two instances may send: a peer and its delegator.

    Both together may use no more replicas than the route allows attempts, and there is
    no time to coordinate. Both therefore restrict themselves to the same preferred
    replicas, one fewer than the allowed attempts, those in the peer's failure domain
    first. Only the first peer that the shard is delegated to may use one replica beyond
    these.

    :ivar domain: failure domain of the peer.
    :ivar may_use_any_replica: this instance is the first peer that the shard is
        delegated to.
    """

    domain: str
    may_use_any_replica: bool


def choose_replica(
    replicas: Sequence[Replica],
    *,
    excluded: Collection[Replica],
    route: Route,
    typical: TypicalLatency,
    own_domain: str,
    now_seconds: float,
    rng: random.Random,
    shared: SharedShard | None = None,
    ignore_limit: bool = False,
) -> ReplicaChoice | None:
    """
    Select the replica with the lowest expected reply time and failure cost.

    :param replicas: the replicas of one service.
    :param excluded: replicas that must not be selected.
    :param route: route of the request.
    :param typical: usual reply time of the route.
    :param own_domain: failure domain of this instance.
    :param shared: set if another instance may send to the same shard.
    :param ignore_limit: see `Replica.is_usable`.
    :return: None if no replica of the service may be used.
    """
    candidates: list[Candidate] = []
    failure_ms = FAILURE_COST_MS if route.idempotent else UNREPEATABLE_FAILURE_COST_MS
    if shared is not None and len(replicas) > route.max_attempts:
        preferred = _preferred_replicas(replicas, shared.domain, route.max_attempts - 1)
        if not shared.may_use_any_replica or any(
            item not in preferred for item in excluded
        ):
            replicas = preferred
    # With a spread, one in five sub-requests left the domain although its only replica
    # of the shard was no slower. Without a connection it is not preferred: the links of
    # the whole domain may be broken.
    spreads_own_domain = not route.shards or MIN_SPREAD_REPLICAS <= sum(
        item.record.failure_domain == own_domain for item in replicas
    )
    has_registered = False
    for replica in replicas:
        if not replica.is_usable(now_seconds, ignore_limit=ignore_limit):
            continue
        if replica.departure() is None:
            has_registered = True
        if replica in excluded:
            continue
        load = replica.load(now_seconds, own_domain, typical)
        estimate_ms = estimate_reply_ms(load, typical_ms=typical.typical_ms)
        score_ms = estimate_ms
        is_preferred = load.in_own_domain and load.is_connected
        if spreads_own_domain or not is_preferred:
            score_ms *= 1.0 + ESTIMATE_SPREAD * rng.random()
        score_ms += extra_cost_ms(load, failure_cost_ms=failure_ms)
        if replica.is_leaving or replica.removed_at_seconds is not None:
            score_ms += LAST_RESORT_PENALTY_MS
        if replica.cold is not None:
            score_ms += COLD_PENALTY_MS
        candidates.append((score_ms, estimate_ms, replica))
    if has_registered:
        # A removed replica may have been gone for long, unless all registrations of the
        # service have expired while the store was away.
        candidates = [item for item in candidates if item[2].removed_at_seconds is None]
    if not candidates:
        return None
    best_ms, estimate_ms, best = min(candidates, key=_score)
    limit_ms = best_ms * SUITABLE_SCORE_RATIO
    return ReplicaChoice(
        replica=best,
        estimate_ms=estimate_ms,
        suitable_domains=tuple(
            replica.record.failure_domain
            for score_ms, _, replica in candidates
            if score_ms <= limit_ms
        ),
        candidates=candidates,
    )


def _score(candidate: Candidate) -> float:
    return candidate[0]


def _preferred_replicas(
    replicas: Sequence[Replica], domain: str, count: int
) -> list[Replica]:
    """Return the first replicas in an order that is the same on all instances."""

    def sort_key(replica: Replica) -> tuple[bool, str]:
        return replica.record.failure_domain != domain, replica.record.replica

    return sorted(replicas, key=sort_key)[:count]
