"""What an instance knows of the configuration, the replicas and its peers."""

import asyncio
import math
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Final

from attrs import define, field

from bronzebeam.gateway.connection_pool import MS_PER_SECOND, Connect, ConnectionPool
from bronzebeam.gateway.peers import PeerSet
from bronzebeam.gateway.records import (
    Change,
    InstanceRecord,
    RecordKind,
    ReplicaRecord,
    StoreContents,
)
from bronzebeam.gateway.replica import Replica
from bronzebeam.routing.connection_shares import share_connections
from bronzebeam.routing.pace import TypicalLatency
from bronzebeam.routing.replica_estimate import (
    FAILURE_MS,
    UNREPEATABLE_FAILURE_MS,
    cost_ms,
    estimate_reply_ms,
)
from bronzebeam.routing.routes import BackendService, Route, RouteTable
from bronzebeam.routing.second_sends import SecondSendBudget, SecondSendLimits
from bronzebeam.routing.weighted_split import WeightedSplit
from bronzebeam.telemetry.decisions import DecisionLog

# A removal may be seen a second late; nothing may be sent three seconds after it.
REMOVED_LINGER_SECONDS: Final = 1.8
# Entries that lapsed with the store are back within two seconds of its return.
LAPSED_LINGER_SECONDS: Final = 2.5
STORE_RETURN_SECONDS: Final = 4.0  # removals seen within this time may be lapses
# A draining replica goes on serving for longer; it is used where no other is left.
LEAVING_LINGER_SECONDS: Final = 1.5
LAST_RESORT_MS: Final = 10_000.0  # any listed replica goes before one that leaves
ABOUT_AS_GOOD: Final = 1.6  # ratio of estimates within which either replica will do
ESTIMATE_SPREAD: Final = 0.15  # spreads instances over replicas of like estimates
DEFAULT_CONNECTION_LIMIT: Final = 16  # for a service that the configuration lacks
OPENED_MAX: Final = 64  # in one turn, so that requests do not wait behind them
EXCHANGE_SLACK_SECONDS: Final = 1.0  # beyond the longest timeout of a route
WARM_OTHER: Final = 1


@define(kw_only=True, eq=False, repr=False)
class Choice:
    """
    A replica for the next attempt.

    :ivar estimate_ms: expected time to its reply.
    :ivar domains: failure domains with a replica that is about as good.
    """

    replica: Replica
    estimate_ms: float
    domains: tuple[str, ...]


@define(kw_only=True, eq=False, repr=False)
class FleetState:
    """
    The state that requests read, and that the watch of the store writes.

    :ivar own_domain: failure domain of this instance.
    :ivar table: configuration in force; None before the first was read.
    :ivar on_first_table: called once everything was read for the first time.
    :ivar store_returned_at_seconds: monotonic time at which the store answered again.
    :ivar replicas: all replicas that may still be used, by identifier.
    :ivar peers: live instances that are registered.
    """

    own_domain: str
    instance: str
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    limits: SecondSendLimits
    rng: random.Random
    table: RouteTable | None = None
    on_first_table: Callable[[], None] | None = None
    replicas: dict[str, Replica] = field(factory=dict)
    peers: PeerSet = field(init=False)
    started_at_seconds: float = 0.0
    store_returned_at_seconds: float = -math.inf
    _by_service: dict[str, list[Replica]] = field(factory=dict)
    _leaving_at_seconds: dict[str, float] = field(factory=dict)
    _typical: dict[str, TypicalLatency] = field(factory=dict)
    _splits: dict[str, tuple[Route, WeightedSplit]] = field(factory=dict)
    _budgets: dict[str, SecondSendBudget] = field(factory=dict)
    _fan_out_services: frozenset[str] = frozenset()
    _exchange_max_seconds: float = EXCHANGE_SLACK_SECONDS

    def __attrs_post_init__(self) -> None:
        self.peers = PeerSet(
            instance=self.instance,
            own_domain=self.own_domain,
            loop=self.loop,
            connect=self.connect,
            log=self.log,
            rng=self.rng,
        )

    # Written by the watch of the store.

    def replace(self, contents: StoreContents) -> None:
        """Take in everything that the store holds."""
        if contents.table is not None:
            self._take_table(contents.table)
        for record in contents.replicas.values():
            self._put_replica(record)
        for name in self.replicas.keys() - contents.replicas.keys():
            self._remove_replica(name)
        self.peers.replace(contents.instances)
        self._settle()
        self.tend()

    def apply(self, changes: Iterable[Change]) -> None:
        """Take in changes, in the order in which they were made."""
        for change in changes:
            value = change.value
            if isinstance(value, InstanceRecord):
                self.peers.put(value)
            elif change.kind is RecordKind.INSTANCE:
                self.peers.remove(change.name)
            elif isinstance(value, RouteTable):
                self._take_table(value)
            elif isinstance(value, ReplicaRecord):
                self._put_replica(value)
            elif change.kind is RecordKind.REPLICA:
                self._remove_replica(change.name)
        self._settle()

    def take_limits(self, limits: SecondSendLimits) -> None:
        """Put changed bounds on repeated sub-requests in force."""
        self.limits = limits
        for budget in self._budgets.values():
            budget.limits = limits

    def tend(self) -> None:
        """Drop replicas that are gone, and keep connections to the others open."""
        now_seconds = self.loop.time()
        self.peers.tend(now_seconds, self._exchange_max_seconds)
        opened = 0
        for name, replica in list(self.replicas.items()):
            replica.pool.close_stuck(now_seconds, self._exchange_max_seconds)
            if replica.gone_at_seconds is not None:
                over = now_seconds > replica.last_resort_until_seconds
                if over and not replica.pool.busy:
                    self._forget(name)
            elif opened < OPENED_MAX and _is_wanted(replica):
                opened += replica.keep_warm(now_seconds)

    # Read by requests.

    def choose(
        self,
        *,
        service: str,
        excluded: Collection[Replica],
        route: Route,
        shared_domain: str | None = None,
    ) -> Choice | None:
        """
        Choose the replica with the least expected reply time.

        :param excluded: replicas that must not be chosen.
        :param route: route of the request.
        :param shared_domain: failure domain of the peer that works on the request
            too. Both then keep to the same few replicas, those of that domain first,
            so that the request runs on no more than its route allows.
        :return: None if no replica of the service may be used.
        """
        candidates: list[tuple[float, float, Replica]] = []
        now_seconds = self.loop.time()
        typical_ms = self.typical(route).typical_ms
        failure_ms = FAILURE_MS if route.idempotent else UNREPEATABLE_FAILURE_MS
        replicas: Sequence[Replica] = self._by_service.get(service, ())
        if shared_domain is not None and len(replicas) > route.max_attempts:
            replicas = _shared_replicas(replicas, shared_domain, route.max_attempts)
        for replica in replicas:
            if replica in excluded or not self._usable(replica, now_seconds):
                continue
            load = replica.load(now_seconds, self.own_domain)
            estimate_ms = estimate_reply_ms(load, typical_ms=typical_ms)
            score_ms = estimate_ms * (1.0 + ESTIMATE_SPREAD * self.rng.random())
            score_ms += cost_ms(load, failure_ms=failure_ms)
            if replica.record.leaving or replica.gone_at_seconds is not None:
                score_ms += LAST_RESORT_MS
            candidates.append((score_ms, estimate_ms, replica))
        if not candidates:
            return None
        best_ms, estimate_ms, best = min(candidates, key=_score)
        limit_ms = best_ms * ABOUT_AS_GOOD
        return Choice(
            replica=best,
            estimate_ms=estimate_ms,
            domains=tuple(
                replica.record.failure_domain
                for score_ms, _, replica in candidates
                if score_ms <= limit_ms
            ),
        )

    def usable_count(self, service: str) -> int:
        """Return how many replicas of a service may be used."""
        now_seconds = self.loop.time()
        replicas = self._by_service.get(service, ())
        return sum(1 for item in replicas if self._usable(item, now_seconds))

    def typical(self, route: Route) -> TypicalLatency:
        """Return the usual reply time of a route's sub-requests."""
        typical = self._typical.get(route.name)
        if typical is None:
            typical = TypicalLatency.from_target(route.target_latency_ms)
            self._typical[route.name] = typical
        return typical

    def next_service(self, route: Route) -> str:
        """Return the service that takes the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        held = self._splits.get(route.name)
        if held is None or held[0].destinations != route.destinations:
            held = (route, WeightedSplit(destinations=route.destinations))
            self._splits[route.name] = held
        return held[1].next_service()

    def budget(self, service: str) -> SecondSendBudget:
        """Return the budget of repeated sub-requests to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SecondSendBudget(
                limits=self.limits, started_at_seconds=self.started_at_seconds
            )
            self._budgets[service] = budget
        return budget

    def repeats_left(self, service: str) -> float:
        """Return how many repeated sub-requests the service's budget allows now."""
        return self.budget(service).left(
            self.loop.time(), instances=self.peers.live_count
        )

    def connected_services(self) -> frozenset[str]:
        """Return the services of which a replica has an open connection."""
        return frozenset(
            service
            for service, replicas in self._by_service.items()
            if any(item.pool.open_connections for item in replicas)
        )

    def _settle(self) -> None:
        self._share_connections()
        callback = self.on_first_table
        if self.table is not None and callback is not None:
            self.on_first_table = None
            callback()

    def _take_table(self, table: RouteTable) -> None:
        held = self.table
        if held is not None and table.version <= held.version:
            if table.version < held.version:
                self.log.event(
                    "older_configuration_ignored",
                    version=table.version,
                    version_in_force=held.version,
                )
            return
        self.table = table
        self._fan_out_services = frozenset(
            service for route in table.routes for service in route.shards
        )
        self._exchange_max_seconds = EXCHANGE_SLACK_SECONDS + max(
            (route.timeout_ms / MS_PER_SECOND for route in table.routes), default=0.0
        )
        self.log.event(
            "configuration_in_force",
            version=table.version,
            earlier_version=held.version if held else None,
            routes=len(table.routes),
            services=len(table.services),
        )

    def _put_replica(self, record: ReplicaRecord) -> None:
        held = self.replicas.get(record.replica)
        now_seconds = self.loop.time()
        if held is not None and _same_place(held.record, record):
            self._note_state(held, record, now_seconds)
            held.record = record
            held.gone_at_seconds = None
            held.pool.closing = False
        else:
            if held is not None:
                self._forget(record.replica)
            pool = ConnectionPool(
                name=record.replica,
                host=record.host,
                port=record.port,
                loop=self.loop,
                connect=self.connect,
                log=self.log,
            )
            held = Replica(record=record, pool=pool)
            self.replicas[record.replica] = held
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
        if record.leaving:
            self._leaving_at_seconds.setdefault(record.replica, now_seconds)
        else:
            self._leaving_at_seconds.pop(record.replica, None)

    def _note_state(
        self, held: Replica, record: ReplicaRecord, now_seconds: float
    ) -> None:
        if held.gone_at_seconds is not None:
            self.log.event(
                "replica_back",
                replica=record.replica,
                service=record.service,
                absent_ms=round((now_seconds - held.gone_at_seconds) * MS_PER_SECOND),
            )
        if record.leaving and not held.record.leaving:
            self.log.event(
                "replica_draining", replica=record.replica, service=record.service
            )

    def _remove_replica(self, name: str) -> None:
        replica = self.replicas.get(name)
        if replica is None or replica.gone_at_seconds is not None:
            return
        now_seconds = self.loop.time()
        lapsed = now_seconds - self.store_returned_at_seconds < STORE_RETURN_SECONDS
        linger_seconds = LAPSED_LINGER_SECONDS if lapsed else REMOVED_LINGER_SECONDS
        replica.gone_at_seconds = now_seconds
        replica.last_resort_until_seconds = now_seconds + linger_seconds
        replica.pool.closing = True
        self.log.event(
            "replica_gone",
            replica=name,
            service=replica.record.service,
            was_draining=replica.record.leaving,
        )

    def _forget(self, name: str) -> None:
        replica = self.replicas.pop(name)
        replica.pool.close()
        self._leaving_at_seconds.pop(name, None)
        members = self._by_service[replica.record.service]
        members.remove(replica)
        if not members:
            del self._by_service[replica.record.service]

    def _usable(self, replica: Replica, now_seconds: float) -> bool:
        if replica.mismatched or not replica.pool.reachable:
            return False
        if replica.gone_at_seconds is not None:
            if now_seconds > replica.last_resort_until_seconds:
                return False
        if not replica.record.leaving:
            return True
        leaving_at = self._leaving_at_seconds.get(replica.record.replica, 0.0)
        return now_seconds - leaving_at <= LEAVING_LINGER_SECONDS

    def _share_connections(self) -> None:
        services = self.table.services if self.table is not None else {}
        instances = self.peers.live_count
        domain_instances = self.peers.count_in(self.own_domain)
        for service, replicas in self._by_service.items():
            limit = _connection_limit(services.get(service))
            for replica in replicas:
                share = share_connections(
                    limit=limit,
                    instances=instances,
                    domain_instances=domain_instances,
                    own_domain=replica.record.failure_domain == self.own_domain,
                )
                replica.pool.connections_max = share.most
                fan_out = service in self._fan_out_services
                replica.warm_connections = share.warm if fan_out else WARM_OTHER


def _score(candidate: tuple[float, float, Replica]) -> float:
    return candidate[0]


def _shared_replicas(
    replicas: Sequence[Replica], domain: str, count: int
) -> list[Replica]:
    """Return the first replicas in an order that all instances agree on."""

    def order(replica: Replica) -> tuple[bool, str]:
        return replica.record.failure_domain != domain, replica.record.replica

    return sorted(replicas, key=order)[:count]


def _connection_limit(service: BackendService | None) -> int:
    return DEFAULT_CONNECTION_LIMIT if service is None else service.connection_limit


def _is_wanted(replica: Replica) -> bool:
    return not replica.record.leaving and not replica.mismatched


def _same_place(one: ReplicaRecord, other: ReplicaRecord) -> bool:
    return (one.service, one.host, one.port) == (other.service, other.host, other.port)
