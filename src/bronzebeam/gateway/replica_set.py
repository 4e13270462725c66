"""The replicas known to an instance."""

import asyncio
import math
import random
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence, Set
from typing import Final

from attrs import define, field, frozen

from bronzebeam.gateway.connection_pool import Connect, ConnectionPool
from bronzebeam.gateway.load_codec import ReplicaReading
from bronzebeam.gateway.peer_codec import LeavingReplica
from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.replica_choice import (
    ReplicaChoice,
    SharedShard,
    choose_replica,
)
from bronzebeam.gateway.replica_limits import ReplicaLimits
from bronzebeam.gateway.replica_links import ReplicaLinks
from bronzebeam.routing.connection_shares import share_connections
from bronzebeam.routing.last_use import LastUsePolicy, News
from bronzebeam.routing.older_copy import KnownState
from bronzebeam.routing.replica_latency import TypicalLatency
from bronzebeam.routing.replica_pause import RequestedPause
from bronzebeam.routing.reported_load import UsualLoad
from bronzebeam.routing.routes import BackendService, Route
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.http_reply import ReplyMemory
from bronzebeam.units import MS_PER_SECOND

DEFAULT_DRAIN_BOUND_SECONDS: Final = 3.0
DEFAULT_CONNECTION_LIMIT: Final = 16  # for services missing in the configuration
# Opening more at once would delay requests.
MAX_CONNECTIONS_OPENED_PER_RUN: Final = 64
WARM_CONNECTIONS_WITHOUT_SHARD: Final = 1
TIMER_MARGIN_SECONDS: Final = 0.01  # timers may fire that much early
MAX_STOPPED_REPLICAS: Final = 4_096  # bounds the memory; the oldest are dropped
# Peers are not asked for a service again for this long if they don't reach it either.
UNREACHABLE_AT_PEERS_SECONDS: Final = 1.0
# Of different failure domains if possible: the links of a whole one may be broken.
PEERS_FOR_GONE_REPLICAS: Final = 2
PROBED_REPLICAS: Final = 3  # if none is reached and no connection is kept open
PAUSED: Final = "replica_paused"
LEAVING: Final = "replica_leaving"
# Why no replica of a service may be used.
REPLICAS_PAUSED: Final = "replicas_paused"
REPLICAS_LIMITED: Final = "replicas_limited"
REPLICAS_COLD: Final = "replicas_cold"
REPLICAS_UNREACHABLE: Final = "replicas_unreachable"
DOMAIN_EVACUATED: Final = "domain_evacuated"
OUTSIDE_REGIONS: Final = "outside_regions"


@frozen(kw_only=True)
class NextUse:
    """
    When a replica of a service may be used.

    :ivar after_seconds: 0 if one may be used now; infinite if that is not known.
    :ivar cause: why that is not now; empty if it is, or if it is not known when.
    """

    after_seconds: float
    cause: str = ""


@frozen(kw_only=True)
class StoppedReplica:
    """
    What is known of a replica that is no longer used.

    :ivar record: its latest registration.
    :ivar announced_leaving_at_seconds: see `Replica`.
    """

    record: ReplicaRecord
    announced_leaving_at_seconds: float | None


@define(kw_only=True, eq=False, repr=False)
class ReplicaSet:
    """
    All replicas that may still be used.

    :ivar own_domain: failure domain of this instance.
    :ivar last_use: until when replicas that leave may be used.
    :ivar made_after_seconds: monotonic time after which the changes were made that are
        being applied; minus infinity if that is not known.
    :ivar store_recovered_at_seconds: monotonic time at which the store answered again
        after its latest outage.
    :ivar limits: the limits on requests that replicas name.
    :ivar links: whether this instance reaches any replica.
    :ivar evacuated: failure domains whose replicas get no requests. Connections to them
        are kept, so that they can be used as soon as the evacuation ends.
    :ivar states_load: a replica has stated its load.
    :ivar _unreachable_until_seconds: until when peers are not asked for a service that
        they don't reach either.
    :ivar _announced: the replicas that have said that they stop.
    :ivar _stopped: the replicas that were dropped most recently, by identifier.
    """

    own_domain: str
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    rng: random.Random
    limits: ReplicaLimits
    last_use: LastUsePolicy = LastUsePolicy(drain_seconds=DEFAULT_DRAIN_BOUND_SECONDS)
    made_after_seconds: float = -math.inf
    store_recovered_at_seconds: float = -math.inf
    evacuated: frozenset[str] = frozenset()
    _replicas: dict[str, Replica] = field(factory=dict)
    _announced: set[Replica] = field(factory=set)
    _stopped: OrderedDict[str, StoppedReplica] = field(factory=OrderedDict)
    _by_service: dict[str, list[Replica]] = field(factory=dict)
    links: ReplicaLinks = field(init=False)
    states_load: bool = False
    reply_memory: ReplyMemory = field(factory=ReplyMemory)
    _unreachable_until_seconds: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.links = ReplicaLinks(loop=self.loop, log=self.log)

    def domains_by_service(self) -> dict[str, frozenset[str]]:
        """Return the failure domains that serve each service; see `domains`."""
        return {
            service: frozenset(
                item.record.failure_domain
                for item in self._serving(service)
                if item.removed_at_seconds is None
            )
            for service in self._by_service
        }

    def domains(
        self, service: str, allowed: frozenset[str] | None = None
    ) -> tuple[str, ...]:
        """
        Return the domains of a service's replicas, without evacuated domains.

        :param allowed: the only domains to return; None for any.
        """
        return tuple(
            sorted(
                {
                    item.record.failure_domain
                    for item in self._serving(service, allowed)
                    if item.removed_at_seconds is None
                }
            )
        )

    def all_domains(self) -> frozenset[str]:
        """Return the failure domains of all replicas."""
        return frozenset(item.record.failure_domain for item in self._replicas.values())

    def _serving(
        self, service: str, domains: frozenset[str] | None = None
    ) -> Sequence[Replica]:
        """
        Return the replicas of a service that are not in evacuated domains.

        :param domains: the only domains that the request may be sent to; None for any.
        """
        replicas = self._by_service.get(service, ())
        if not self.evacuated and domains is None:
            return replicas
        return [
            item
            for item in replicas
            if item.record.failure_domain not in self.evacuated
            and (domains is None or item.record.failure_domain in domains)
        ]

    def registered(self) -> list[ReplicaRecord]:
        """Return the registrations of all replicas that are not removed."""
        return [
            item.record
            for item in self._replicas.values()
            if item.removed_at_seconds is None
        ]

    def all(self) -> Iterable[Replica]:
        """Return all replicas."""
        return self._replicas.values()

    def mark_age_unknown(self, names: Iterable[str]) -> None:
        """Record that registrations may have been written long before."""
        for name in names:
            replica = self._replicas.get(name)
            if replica is not None:
                replica.is_age_unknown = True

    def of_service(
        self, service: str, domains: frozenset[str] | None = None
    ) -> Sequence[Replica]:
        """Return the replicas of a service that may be used; see `choose`."""
        return self._serving(service, domains)

    def find(self, name: str, *, started_at_ms: int) -> Replica | None:
        """Return a replica; None if it is unknown, or was started at another time."""
        replica = self._replicas.get(name)
        if replica is None or replica.record.started_at_ms != started_at_ms:
            return None
        return replica

    @property
    def names(self) -> Set[str]:
        """Return the identifiers of all replicas."""
        return self._replicas.keys()

    def last_known(self, name: str) -> tuple[ReplicaRecord, KnownState] | None:
        """Return the last registration of a replica and its state; None if unknown."""
        replica = self._replicas.get(name)
        if replica is None:
            stopped = self._stopped.get(name)
            return None if stopped is None else (stopped.record, KnownState.REMOVED)
        state = KnownState.LEAVING if replica.is_leaving else KnownState.IN_USE
        if replica.removed_at_seconds is not None:
            state = KnownState.REMOVED
        return replica.record, state

    # Called when the store reports a change.

    def put(self, record: ReplicaRecord) -> None:
        """Add a replica, or update a known one."""
        replica = self._replicas.get(record.replica)
        now_seconds = self.loop.time()
        if replica is not None and _is_same_process(replica.record, record):
            self._log_state_change(replica, record, now_seconds)
            # Registrations are read again after a loss of the store, and say how long
            # the replica was cold when they were written.
            if record != replica.record and (
                record.age_order >= replica.record.age_order
            ):
                replica.record_cold(record.cold_ms / MS_PER_SECOND, now_seconds)
                replica.is_age_unknown = False
            is_known = replica.removed_at_seconds is None
            replica.record = record
            replica.removed_at_seconds = None
            self._record_draining(replica, is_known=is_known)
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
                link_times=self.links.times,
                reply_memory=self.reply_memory,
            )
            replica = Replica(
                record=record,
                pool=pool,
                cold_until_seconds=now_seconds + record.cold_ms / MS_PER_SECOND,
            )
            stopped = self._stopped.pop(record.replica, None)
            if stopped is not None and _is_same_process(stopped.record, record):
                replica.announced_leaving_at_seconds = (
                    stopped.announced_leaving_at_seconds
                )
                replica.announced_last_use_seconds = -math.inf
                if replica.announced_leaving_at_seconds is not None:
                    self._announced.add(replica)
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
            self._record_draining(replica, is_known=False)

    def _record_draining(self, replica: Replica, *, is_known: bool) -> None:
        """
        Record whether a replica is registered as draining.

        :param is_known: it was registered until now, and not as draining.
        """
        if not replica.record.leaving:
            replica.draining_since_seconds = None
        elif replica.draining_since_seconds is None:
            news = (
                self._news() if is_known else News(learnt_at_seconds=self.loop.time())
            )
            replica.draining_since_seconds = news.learnt_at_seconds
            replica.draining_last_use_seconds = self.last_use.of_draining(news)
        self._limit_waiting(replica)

    def _limit_waiting(self, replica: Replica) -> None:
        """Send what waits for a leaving replica elsewhere, now or at its last use."""
        replica.pool.last_use_seconds = replica.last_use_seconds
        if replica.departure() is None:
            return
        self._send_waiting_elsewhere(replica, LEAVING)
        self.loop.call_at(
            max(replica.last_use_seconds, self.loop.time()) + TIMER_MARGIN_SECONDS,
            replica.pool.fail_overdue,
        )

    def _news(self) -> News:
        """Return the times of a change that is being applied."""
        return News(
            learnt_at_seconds=self.loop.time(),
            made_after_seconds=self.made_after_seconds,
        )

    def mark_removed(self, name: str) -> None:
        """Record that a replica is no longer registered."""
        replica = self._replicas.get(name)
        if replica is None or replica.removed_at_seconds is not None:
            return
        news = self._news()
        replica.removed_at_seconds = news.learnt_at_seconds
        replica.removed_last_use_seconds = self.last_use.of_removed(
            news, store_back_at_seconds=self.store_recovered_at_seconds
        )
        self._limit_waiting(replica)
        replica.pool.closing = True
        self.log.event(
            "replica_gone",
            replica=name,
            service=replica.record.service,
            was_draining=replica.record.leaving,
        )

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """
        Set the failure domains whose replicas get no requests.

        Requests that wait for a connection there go elsewhere, or end as not sent;
        those that were sent may finish.
        """
        added, self.evacuated = domains - self.evacuated, domains
        for replica in list(self._replicas.values()):
            if replica.record.failure_domain in added:
                replica.pool.fail_waiting(DOMAIN_EVACUATED)

    def record_announced_leaving(
        self, replica: Replica, *, is_misdirected: bool, is_first_hand: bool = True
    ) -> None:
        """
        Record that a replica has stated in a reply that it is about to stop.

        :param is_misdirected: the reply was from another replica at the same address.
        :param is_first_hand: the reply has just come; a peer may have known for long.
        """
        address = (replica.record.host, replica.record.port)
        for other in self._replicas.values():
            is_meant = other is replica
            if is_misdirected and other is not replica:
                is_meant = (other.record.host, other.record.port) == address
            if is_meant and other.announced_leaving_at_seconds is None:
                now_seconds = self.loop.time()
                made_after = now_seconds if is_first_hand else -math.inf
                news = News(
                    learnt_at_seconds=now_seconds, made_after_seconds=made_after
                )
                other.announced_leaving_at_seconds = now_seconds
                other.announced_last_use_seconds = self.last_use.of_draining(news)
                self._announced.add(other)
                self.log.event(
                    "replica_leaving",
                    replica=other.record.replica,
                    service=other.record.service,
                    registered_as_leaving=other.record.leaving,
                )
                self._limit_waiting(other)

    def announced_leaving(self, services: Collection[str]) -> list[LeavingReplica]:
        """Return the replicas of some services that have said that they stop."""
        return [
            LeavingReplica(
                replica=item.record.replica, started_at_ms=item.record.started_at_ms
            )
            for item in self._announced
            if item.record.service in services
        ]

    def record_leaving_at_peer(self, leaving: Iterable[LeavingReplica]) -> None:
        """Record what replicas have said to a peer."""
        for item in leaving:
            replica = self.find(item.replica, started_at_ms=item.started_at_ms)
            if replica is not None:
                self.record_announced_leaving(
                    replica, is_misdirected=False, is_first_hand=False
                )

    def record_load(
        self, replica: Replica, value: bytes, usual_load: UsualLoad
    ) -> None:
        """
        Record the load that a replica states in a reply.

        :param usual_load: usual load of the replicas of the request's route.
        """
        reading = replica.record_load(value, self.loop.time())
        if reading is not None:
            self.states_load = True
            usual_load.observe(reading)

    def record_loads_at_peer(
        self, readings: Iterable[ReplicaReading], usual_load: UsualLoad
    ) -> None:
        """
        Record the load that replicas have stated to a peer.

        :param usual_load: usual load of the replicas of the request's route.
        """
        for item in readings:
            replica = self.find(item.replica, started_at_ms=item.started_at_ms)
            if replica is not None:
                self.states_load = True
                replica.record_earlier_load(item.reading)
                usual_load.observe(item.reading)

    def record_pause(self, replica: Replica, pause: RequestedPause) -> None:
        """Record that a replica wants no requests for a while."""
        now_seconds = self.loop.time()
        until_seconds = now_seconds + pause.seconds
        if not replica.is_paused(now_seconds) or pause.problem:
            self.log.event(
                "replica_paused",
                replica=replica.record.replica,
                service=replica.record.service,
                pause_ms=round(pause.seconds * MS_PER_SECOND),
                problem=pause.problem,
            )
        replica.paused_until_seconds = max(replica.paused_until_seconds, until_seconds)
        replica.pool.fail_waiting(PAUSED)

    def next_use(self, service: str, domains: frozenset[str] | None = None) -> NextUse:
        """
        Return when a replica of a service may be used.

        :param domains: the only domains that the request may be sent to; None for any.
        """
        now_seconds = self.loop.time()
        replicas = self._serving(service, domains)
        if any(item.is_usable(now_seconds) for item in replicas):
            return NextUse(after_seconds=0.0)
        possible_uses = []
        for item in replicas:
            if item.is_leaving:
                continue
            if item.is_paused(now_seconds):
                seconds = item.paused_until_seconds - now_seconds
                possible_uses.append(
                    NextUse(after_seconds=seconds, cause=REPLICAS_PAUSED)
                )
            elif item.is_usable(now_seconds, ignore_limit=True):
                seconds = item.seconds_until_turn(now_seconds)
                cause = REPLICAS_LIMITED if item.cold is None else REPLICAS_COLD
                possible_uses.append(NextUse(after_seconds=seconds, cause=cause))
        if not possible_uses:
            cause = ""
            if self._may_reach_through_peer(service, replicas):
                cause = REPLICAS_UNREACHABLE
            elif service in self._by_service:
                cause = self._exclusion_cause(service, domains)
            return NextUse(after_seconds=math.inf, cause=cause)
        return min(possible_uses, key=lambda item: item.after_seconds)

    def record_unreachable_at_peers(self, service: str) -> None:
        """Record that several peers reach no replica of a service."""
        until_seconds = self.loop.time() + UNREACHABLE_AT_PEERS_SECONDS
        self._unreachable_until_seconds[service] = until_seconds

    def _exclusion_cause(self, service: str, domains: frozenset[str] | None) -> str:
        """Return why replicas of a service are left out; empty if none is."""
        allowed = [
            item.record.failure_domain
            for item in self._by_service[service]
            if domains is None or item.record.failure_domain in domains
        ]
        if not allowed:
            return OUTSIDE_REGIONS
        return DOMAIN_EVACUATED if not self.evacuated.isdisjoint(allowed) else ""

    def _may_reach_through_peer(
        self, service: str, replicas: Sequence[Replica]
    ) -> bool:
        """Whether peers may reach these replicas, and this instance none of them."""
        if not replicas or any(item.pool.is_reachable for item in replicas):
            return False
        return self._may_ask_peers(service)

    def may_reach_more_through_peer(
        self, service: str, domains: frozenset[str] | None = None
    ) -> bool:
        """Whether peers may reach replicas of a service that this instance does not."""
        return self._may_ask_peers(service) and any(
            not item.pool.is_reachable
            and not item.is_leaving
            and item.removed_at_seconds is None
            for item in self._serving(service, domains)
        )

    def _may_ask_peers(self, service: str) -> bool:
        """Whether peers are not known to reach no replica of a service either."""
        return self.loop.time() >= self._unreachable_until_seconds.get(service, 0.0)

    def _send_waiting_elsewhere(self, replica: Replica, cause: str) -> None:
        """Move waiting requests to other replicas of the service, if there are any."""
        now_seconds = self.loop.time()
        if any(
            item.departure() is None and item.is_usable(now_seconds)
            for item in self._serving(replica.record.service)
        ):
            replica.pool.fail_waiting(cause)

    def maintain(self, now_seconds: float, max_exchange_seconds: float) -> None:
        """Drop removed replicas, and keep connections to the others open."""
        self.limits.update_shares(self._replicas.values())
        pools = [item.pool for item in self._replicas.values()]
        if self.links.update(pools):
            for pool in pools:
                if self.links.lost_at_seconds is None:
                    pool.resume()
                else:
                    pool.suspend()
        opened = 0
        for name, replica in list(self._replicas.items()):
            replica.pool.close_stuck(now_seconds, max_exchange_seconds)
            replica.pool.is_kept_open = (
                _should_stay_connected(replica) and replica.warm_connections > 0
            )
            if replica.removed_at_seconds is not None:
                expired = now_seconds > replica.removed_last_use_seconds
                if expired and not replica.pool.busy:
                    self._drop(name)
            elif opened < MAX_CONNECTIONS_OPENED_PER_RUN and _should_stay_connected(
                replica
            ):
                opened += replica.keep_warm(now_seconds)
        if self.links.lost_at_seconds is not None and not opened:
            self._probe(now_seconds)

    def _probe(self, now_seconds: float) -> None:
        """Find out if a replica can be reached, if no connection is kept open."""
        pools = [item.pool for item in self._replicas.values()]
        if not any(pool.is_kept_open for pool in pools):
            for pool in pools[:PROBED_REPLICAS]:
                pool.keep_warm(now_seconds, 1)

    def share_connections(
        self,
        *,
        services: Mapping[str, BackendService],
        fan_out_services: Collection[str],
        instances: int,
        domains: Mapping[str, int],
        owned: Collection[str],
        isolated: bool,
    ) -> None:
        """
        Set this instance's share of the connections to each replica.

        :param services: services of the configuration, by name.
        :param fan_out_services: names of the services that are shards, or may become
            shards with the next configuration.
        :param instances: number of live instances, including this one.
        :param domains: number of failure domains with owners of each shard.
        :param owned: names of the shards that this instance owns.
        :param isolated: this instance reaches only few of its peers.
        """
        for service, replicas in self._by_service.items():
            limit = _connection_limit(services.get(service))
            for replica in replicas:
                share = share_connections(
                    limit=limit,
                    instance_count=instances,
                    domain_count=domains.get(service, 1),
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
        typical: TypicalLatency,
        shared: SharedShard | None = None,
        ignore_limit: bool = False,
        rng: random.Random | None = None,
        domains: frozenset[str] | None = None,
    ) -> ReplicaChoice | None:
        """
        Select a replica of a service; see `choose_replica`.

        :param rng: source of the random spread; None for that of this instance.
        :param domains: the only domains that the request may be sent to; None for any.
        """
        return choose_replica(
            self._serving(service, domains),
            excluded=excluded,
            route=route,
            typical=typical,
            own_domain=self.own_domain,
            now_seconds=self.loop.time(),
            rng=rng or self.rng,
            shared=shared,
            ignore_limit=ignore_limit,
        )

    def all_of_service(self, service: str) -> Sequence[Replica]:
        """Return the replicas of a service, those of evacuated domains too."""
        return self._by_service.get(service, ())

    def connection_counts(self) -> tuple[int, int]:
        """Return the number of replicas with an open connection, and of all."""
        connected = sum(
            1 for item in self._replicas.values() if item.pool.open_connections
        )
        return connected, len(self._replicas)

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
        self._announced.discard(replica)
        self._stopped[name] = StoppedReplica(
            record=replica.record,
            announced_leaving_at_seconds=replica.announced_leaving_at_seconds,
        )
        while len(self._stopped) > MAX_STOPPED_REPLICAS:
            self._stopped.popitem(last=False)
        members = self._by_service[replica.record.service]
        members.remove(replica)
        if not members:
            del self._by_service[replica.record.service]
            self._unreachable_until_seconds.pop(replica.record.service, None)


def _connection_limit(service: BackendService | None) -> int:
    return DEFAULT_CONNECTION_LIMIT if service is None else service.connection_limit


def _should_stay_connected(replica: Replica) -> bool:
    return not replica.is_leaving and not replica.mismatched


def _is_same_process(one: ReplicaRecord, other: ReplicaRecord) -> bool:
    return (one.service, one.host, one.port, one.started_at_ms) == (
        other.service,
        other.host,
        other.port,
        other.started_at_ms,
    )
