"""The replicas that an instance knows, and the choice among them."""

import asyncio
import math
import random
from collections.abc import Collection, Mapping, Sequence
from typing import Final

from attrs import define, field, frozen

from bronzebeam.gateway.connection_pool import Connect, ConnectionPool
from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.gateway.replica import Replica
from bronzebeam.routing.connection_shares import share_connections
from bronzebeam.routing.replica_estimate import (
    FAILURE_COST_MS,
    UNREPEATABLE_FAILURE_COST_MS,
    estimate_reply_ms,
    extra_cost_ms,
)
from bronzebeam.routing.routes import BackendService, Route
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND

# A removal may be seen a second late; nothing may be sent three seconds after it.
REMOVED_GRACE_SECONDS: Final = 1.8
# Entries that lapsed with the store are back within two seconds of its return.
LAPSED_GRACE_SECONDS: Final = 2.5
STORE_RECOVERY_SECONDS: Final = 4.0  # removals seen within this time may be lapses
# A draining replica goes on serving for longer; it is used where no other is left.
LEAVING_GRACE_SECONDS: Final = 1.5
LAST_RESORT_PENALTY_MS: Final = (
    10_000.0  # any listed replica goes before one that leaves
)
SUITABLE_SCORE_RATIO: Final = (
    1.6  # ratio of estimates within which either replica will do
)
ESTIMATE_SPREAD: Final = 0.15  # spreads instances over replicas of like estimates
DEFAULT_CONNECTION_LIMIT: Final = 16  # for a service that the configuration lacks
MAX_CONNECTIONS_OPENED_PER_RUN: Final = (
    64  # in one turn, so that requests do not wait behind them
)
WARM_CONNECTIONS_WITHOUT_SHARD: Final = 1


@define(kw_only=True, eq=False, repr=False)
class ReplicaChoice:
    """
    A replica for the next attempt.

    :ivar estimate_ms: expected time to its reply.
    :ivar domains: failure domains with a replica that is about as good.
    """

    replica: Replica
    estimate_ms: float
    suitable_domains: tuple[str, ...]


@frozen(kw_only=True)
class SharedShard:
    """
    Work of two instances, a peer and its sender, on the shard of one request.

    They have no time to talk, yet together may use no more replicas than the route
    allows. So both keep to the home replicas, one fewer than that, of which those in
    the peer's failure domain come first; only the first peer may use one other replica.

    :ivar domain: failure domain of the peer.
    :ivar free_choice: this instance is that first peer.
    """

    domain: str
    may_use_any_replica: bool


@define(kw_only=True, eq=False, repr=False)
class ReplicaSet:
    """
    All replicas that may still be used.

    :ivar own_domain: failure domain of this instance.
    :ivar store_returned_at_seconds: monotonic time at which the store answered again.
    """

    own_domain: str
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    rng: random.Random
    store_recovered_at_seconds: float = -math.inf
    _replicas: dict[str, Replica] = field(factory=dict)
    _by_service: dict[str, list[Replica]] = field(factory=dict)

    @property
    def names(self) -> Collection[str]:
        """Return the identifiers of all replicas."""
        return self._replicas.keys()

    # Written by the watch of the store.

    def put(self, record: ReplicaRecord) -> None:
        """Take in a replica, new or changed."""
        held = self._replicas.get(record.replica)
        now_seconds = self.loop.time()
        if held is not None and _has_same_address(held.record, record):
            self._log_state_change(held, record, now_seconds)
            held.record = record
            held.removed_at_seconds = None
            held.pool.closing = False
        else:
            if held is not None:
                self._drop(record.replica)
            pool = ConnectionPool(
                name=record.replica,
                host=record.host,
                port=record.port,
                loop=self.loop,
                connect=self.connect,
                log=self.log,
            )
            held = Replica(record=record, pool=pool)
            self._replicas[record.replica] = held
            self._by_service.setdefault(record.service, []).append(held)
            self.log.event(
                "replica_seen",
                replica=record.replica,
                service=record.service,
                domain=record.failure_domain,
                leaving=record.leaving,
                cold_ms=record.cold_ms,
            )
        held.cold_until_seconds = now_seconds + record.cold_ms / MS_PER_SECOND
        if not record.leaving:
            held.leaving_since_seconds = None
        elif held.leaving_since_seconds is None:
            held.leaving_since_seconds = now_seconds

    def mark_removed(self, name: str) -> None:
        """Note that a replica is no longer listed."""
        replica = self._replicas.get(name)
        if replica is None or replica.removed_at_seconds is not None:
            return
        now_seconds = self.loop.time()
        lapsed = now_seconds - self.store_recovered_at_seconds < STORE_RECOVERY_SECONDS
        linger_seconds = LAPSED_GRACE_SECONDS if lapsed else REMOVED_GRACE_SECONDS
        replica.removed_at_seconds = now_seconds
        replica.last_resort_until_seconds = now_seconds + linger_seconds
        replica.pool.closing = True
        self.log.event(
            "replica_gone",
            replica=name,
            service=replica.record.service,
            was_draining=replica.record.leaving,
        )

    def maintain(self, now_seconds: float, max_exchange_seconds: float) -> None:
        """Drop replicas that are gone, and keep connections to the others open."""
        opened = 0
        for name, replica in list(self._replicas.items()):
            replica.pool.close_stuck(now_seconds, max_exchange_seconds)
            if replica.removed_at_seconds is not None:
                over = now_seconds > replica.last_resort_until_seconds
                if over and not replica.pool.busy:
                    self._drop(name)
            elif opened < MAX_CONNECTIONS_OPENED_PER_RUN and _should_stay_connected(
                replica
            ):
                opened += replica.keep_warm(now_seconds)

    def share_connections(
        self,
        *,
        services: Mapping[str, BackendService],
        fan_out_services: Collection[str],
        instances: int,
        domains: int,
        owned: Collection[str],
        isolated: bool,
    ) -> None:
        """
        Divide the replicas' connections among the instances.

        :param services: services of the configuration, by name.
        :param fan_out_services: those that hold shards.
        :param instances: live instances, this one included.
        :param domains: failure domains with live instances.
        :param owned: shards that this instance is an owner of.
        :param isolated: this instance reaches few of its peers.
        """
        for service, replicas in self._by_service.items():
            limit = _connection_limit(services.get(service))
            for replica in replicas:
                share = share_connections(
                    limit=limit,
                    instance_count=instances,
                    domain_count=domains,
                    in_own_domain=replica.record.failure_domain == self.own_domain,
                    is_owner=service in owned or service not in fan_out_services,
                    is_isolated=isolated,
                )
                replica.pool.max_connections = share.max_open
                fan_out = service in fan_out_services
                replica.warm_connections = (
                    share.warm if fan_out else WARM_CONNECTIONS_WITHOUT_SHARD
                )

    # Read by requests.

    def choose(
        self,
        *,
        service: str,
        excluded: Collection[Replica],
        route: Route,
        typical_ms: float,
        shared: SharedShard | None = None,
    ) -> ReplicaChoice | None:
        """
        Choose the replica with the least expected reply time.

        :param excluded: replicas that must not be chosen.
        :param route: route of the request.
        :param typical_ms: usual reply time of the route.
        :param shared: another instance works on the request too; None if none does.
        :return: None if no replica of the service may be used.
        """
        candidates: list[tuple[float, float, Replica]] = []
        now_seconds = self.loop.time()
        failure_ms = (
            FAILURE_COST_MS if route.idempotent else UNREPEATABLE_FAILURE_COST_MS
        )
        replicas: Sequence[Replica] = self._by_service.get(service, ())
        if shared is not None and len(replicas) > route.max_attempts:
            home = _preferred_replicas(replicas, shared.domain, route.max_attempts - 1)
            if not shared.may_use_any_replica or any(
                item not in home for item in excluded
            ):
                replicas = home
        for replica in replicas:
            if replica in excluded or not self._is_usable(replica, now_seconds):
                continue
            load = replica.load(now_seconds, self.own_domain)
            estimate_ms = estimate_reply_ms(load, typical_ms=typical_ms)
            score_ms = estimate_ms * (1.0 + ESTIMATE_SPREAD * self.rng.random())
            score_ms += extra_cost_ms(load, failure_cost_ms=failure_ms)
            if replica.record.leaving or replica.removed_at_seconds is not None:
                score_ms += LAST_RESORT_PENALTY_MS
            candidates.append((score_ms, estimate_ms, replica))
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
        )

    def connected_services(self) -> frozenset[str]:
        """Return the services of which a replica has an open connection."""
        return frozenset(
            service
            for service, replicas in self._by_service.items()
            if any(item.pool.open_connections for item in replicas)
        )

    def _log_state_change(
        self, held: Replica, record: ReplicaRecord, now_seconds: float
    ) -> None:
        if held.removed_at_seconds is not None:
            self.log.event(
                "replica_back",
                replica=record.replica,
                service=record.service,
                absent_ms=round(
                    (now_seconds - held.removed_at_seconds) * MS_PER_SECOND
                ),
            )
        if record.leaving and not held.record.leaving:
            self.log.event(
                "replica_draining", replica=record.replica, service=record.service
            )

    def _drop(self, name: str) -> None:
        replica = self._replicas.pop(name)
        replica.pool.close()
        members = self._by_service[replica.record.service]
        members.remove(replica)
        if not members:
            del self._by_service[replica.record.service]

    def _is_usable(self, replica: Replica, now_seconds: float) -> bool:
        if replica.mismatched or not replica.pool.is_reachable:
            return False
        if replica.removed_at_seconds is not None:
            if now_seconds > replica.last_resort_until_seconds:
                return False
        if not replica.record.leaving:
            return True
        leaving_at = replica.leaving_since_seconds
        return leaving_at is None or now_seconds - leaving_at <= LEAVING_GRACE_SECONDS


def _score(candidate: tuple[float, float, Replica]) -> float:
    return candidate[0]


def _preferred_replicas(
    replicas: Sequence[Replica], domain: str, count: int
) -> list[Replica]:
    """Return the first replicas in an order that all instances agree on."""

    def order(replica: Replica) -> tuple[bool, str]:
        return replica.record.failure_domain != domain, replica.record.replica

    return sorted(replicas, key=order)[:count]


def _connection_limit(service: BackendService | None) -> int:
    return DEFAULT_CONNECTION_LIMIT if service is None else service.connection_limit


def _should_stay_connected(replica: Replica) -> bool:
    return not replica.record.leaving and not replica.mismatched


def _has_same_address(one: ReplicaRecord, other: ReplicaRecord) -> bool:
    return (one.service, one.host, one.port) == (other.service, other.host, other.port)
