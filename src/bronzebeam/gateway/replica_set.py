"""The replicas known to an instance, and the selection of one for each attempt."""

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

# An instance may see a removal one second late, and no request may be sent to a replica
# later than three seconds after its removal.
REMOVED_GRACE_SECONDS: Final = 1.8
# Registrations that expired during a store outage are renewed within two seconds of its
# end.
EXPIRED_GRACE_SECONDS: Final = 2.5
# Removals seen this soon after a store outage may be expired registrations of replicas
# that are still running.
STORE_RECOVERY_SECONDS: Final = 4.0
# A draining replica serves for longer than this; it is used if there is no other.
LEAVING_GRACE_SECONDS: Final = 1.5
# Ranks draining and removed replicas after all others.
LAST_RESORT_PENALTY_MS: Final = 10_000.0
# Replicas whose score is within this ratio of the best are considered equivalent.
SUITABLE_SCORE_RATIO: Final = 1.6
ESTIMATE_SPREAD: Final = 0.15  # random; spreads instances over similar replicas
DEFAULT_CONNECTION_LIMIT: Final = 16  # for services missing in the configuration
# Opening more at once would delay requests.
MAX_CONNECTIONS_OPENED_PER_RUN: Final = 64
WARM_CONNECTIONS_WITHOUT_SHARD: Final = 1


@define(kw_only=True, eq=False, repr=False)
class ReplicaChoice:
    """
    The replica selected for the next attempt.

    :ivar estimate_ms: expected reply time.
    :ivar suitable_domains: failure domains with a replica of about the same score.
    """

    replica: Replica
    estimate_ms: float
    suitable_domains: tuple[str, ...]


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


@define(kw_only=True, eq=False, repr=False)
class ReplicaSet:
    """
    All replicas that may still be used.

    :ivar own_domain: failure domain of this instance.
    :ivar store_recovered_at_seconds: monotonic time at which the store answered again
        after its latest outage.
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

    # Called when the store reports a change.

    def put(self, record: ReplicaRecord) -> None:
        """Add a replica, or update a known one."""
        replica = self._replicas.get(record.replica)
        now_seconds = self.loop.time()
        if replica is not None and _has_same_address(replica.record, record):
            self._log_state_change(replica, record, now_seconds)
            replica.record = record
            replica.removed_at_seconds = None
            replica.pool.closing = False
        else:
            if replica is not None:
                self._drop(record.replica)
            pool = ConnectionPool(
                name=record.replica,
                host=record.host,
                port=record.port,
                loop=self.loop,
                connect=self.connect,
                log=self.log,
            )
            replica = Replica(record=record, pool=pool)
            self._replicas[record.replica] = replica
            self._by_service.setdefault(record.service, []).append(replica)
            self.log.event(
                "replica_seen",
                replica=record.replica,
                service=record.service,
                domain=record.failure_domain,
                leaving=record.leaving,
                cold_ms=record.cold_ms,
            )
        replica.cold_until_seconds = now_seconds + record.cold_ms / MS_PER_SECOND
        if not record.leaving:
            replica.leaving_since_seconds = None
        elif replica.leaving_since_seconds is None:
            replica.leaving_since_seconds = now_seconds

    def mark_removed(self, name: str) -> None:
        """Record that a replica is no longer registered."""
        replica = self._replicas.get(name)
        if replica is None or replica.removed_at_seconds is not None:
            return
        now_seconds = self.loop.time()
        may_be_running = (
            now_seconds - self.store_recovered_at_seconds < STORE_RECOVERY_SECONDS
        )
        grace_seconds = (
            EXPIRED_GRACE_SECONDS if may_be_running else REMOVED_GRACE_SECONDS
        )
        replica.removed_at_seconds = now_seconds
        replica.last_resort_until_seconds = now_seconds + grace_seconds
        replica.pool.closing = True
        self.log.event(
            "replica_gone",
            replica=name,
            service=replica.record.service,
            was_draining=replica.record.leaving,
        )

    def maintain(self, now_seconds: float, max_exchange_seconds: float) -> None:
        """Drop removed replicas, and keep connections to the others open."""
        opened = 0
        for name, replica in list(self._replicas.items()):
            replica.pool.close_stuck(now_seconds, max_exchange_seconds)
            if replica.removed_at_seconds is not None:
                expired = now_seconds > replica.last_resort_until_seconds
                if expired and not replica.pool.busy:
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
        Set this instance's share of the connections to each replica.

        :param services: services of the configuration, by name.
        :param fan_out_services: names of the services that are shards.
        :param instances: number of live instances, including this one.
        :param domains: number of failure domains with live instances.
        :param owned: names of the shards that this instance owns.
        :param isolated: this instance reaches only few of its peers.
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

    # Called while handling requests.

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
        Select the replica with the lowest expected reply time and failure cost.

        :param excluded: replicas that must not be selected.
        :param route: route of the request.
        :param typical_ms: usual reply time of the route.
        :param shared: set if another instance may send to the same shard.
        :return: None if no replica of the service may be used.
        """
        candidates: list[tuple[float, float, Replica]] = []
        now_seconds = self.loop.time()
        failure_ms = (
            FAILURE_COST_MS if route.idempotent else UNREPEATABLE_FAILURE_COST_MS
        )
        replicas: Sequence[Replica] = self._by_service.get(service, ())
        if shared is not None and len(replicas) > route.max_attempts:
            preferred = _preferred_replicas(
                replicas, shared.domain, route.max_attempts - 1
            )
            if not shared.may_use_any_replica or any(
                item not in preferred for item in excluded
            ):
                replicas = preferred
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
        """Return the services with an open connection to at least one replica."""
        return frozenset(
            service
            for service, replicas in self._by_service.items()
            if any(item.pool.open_connections for item in replicas)
        )

    def _log_state_change(
        self, replica: Replica, record: ReplicaRecord, now_seconds: float
    ) -> None:
        if replica.removed_at_seconds is not None:
            self.log.event(
                "replica_back",
                replica=record.replica,
                service=record.service,
                absent_ms=round(
                    (now_seconds - replica.removed_at_seconds) * MS_PER_SECOND
                ),
            )
        if record.leaving and not replica.record.leaving:
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
    """Return the first replicas in an order that is the same on all instances."""

    def sort_key(replica: Replica) -> tuple[bool, str]:
        return replica.record.failure_domain != domain, replica.record.replica

    return sorted(replicas, key=sort_key)[:count]


def _connection_limit(service: BackendService | None) -> int:
    return DEFAULT_CONNECTION_LIMIT if service is None else service.connection_limit


def _should_stay_connected(replica: Replica) -> bool:
    return not replica.record.leaving and not replica.mismatched


def _has_same_address(one: ReplicaRecord, other: ReplicaRecord) -> bool:
    return (one.service, one.host, one.port) == (other.service, other.host, other.port)
