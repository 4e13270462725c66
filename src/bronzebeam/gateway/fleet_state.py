"""What an instance knows of the configuration, the replicas and its peers."""

import asyncio
import random
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

from attrs import define, field

from bronzebeam.gateway.connection_pool import Connect
from bronzebeam.gateway.peers import PeerSet
from bronzebeam.gateway.records import (
    Change,
    InstanceRecord,
    RecordKind,
    ReplicaRecord,
    StoreContents,
    SuspectRecord,
)
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.replica_set import ReplicaChoice, ReplicaSet, SharedShard
from bronzebeam.routing.connection_shares import is_scarce
from bronzebeam.routing.crash_suspects import CrashSuspects
from bronzebeam.routing.replica_latency import TypicalLatency
from bronzebeam.routing.resend_budget import (
    ResendBudget,
    ResendLimits,
    slack_share,
)
from bronzebeam.routing.routes import BackendService, Route, RouteTable
from bronzebeam.routing.shard_owners import ShardOwners
from bronzebeam.routing.weighted_split import WeightedSplit
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND

EXCHANGE_SLACK_SECONDS: Final = 1.0  # beyond the longest timeout of a route


@define(kw_only=True, eq=False, repr=False)
class FleetState:
    """
    The state that requests read, and that the watch of the store writes.

    :ivar own_domain: failure domain of this instance.
    :ivar table: configuration in force; None before the first was read.
    :ivar on_first_table: called once everything was read for the first time.
    :ivar replicas: all replicas that may still be used.
    :ivar peers: live instances that are registered.
    :ivar owners: owners of the shards; None if every instance may hold connections to
        every replica.
    :ivar suspects: requests that seem to crash replicas.
    """

    own_domain: str
    instance: str
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    limits: ResendLimits
    rng: random.Random
    table: RouteTable | None = None
    on_first_table: Callable[[], None] | None = None
    replicas: ReplicaSet = field(init=False)
    peers: PeerSet = field(init=False)
    started_at_seconds: float = 0.0
    suspects: CrashSuspects = field(factory=CrashSuspects)
    _reports: dict[str, SuspectRecord] = field(factory=dict)
    owners: ShardOwners | None = None
    _typical: dict[str, TypicalLatency] = field(factory=dict)
    _splits: dict[str, WeightedSplit] = field(factory=dict)
    _budgets: dict[str, ResendBudget] = field(factory=dict)
    _longest_wait_ms: dict[str, float] = field(factory=dict)
    _fan_out_services: frozenset[str] = frozenset()
    _owned: frozenset[str] = frozenset()
    _isolated: bool = False
    _shares_since_seconds: float = field(init=False)
    _exchange_max_seconds: float = EXCHANGE_SLACK_SECONDS

    def __attrs_post_init__(self) -> None:
        self._shares_since_seconds = self.started_at_seconds
        self.peers = PeerSet(
            instance=self.instance,
            own_domain=self.own_domain,
            loop=self.loop,
            connect=self.connect,
            log=self.log,
            rng=self.rng,
        )
        self.replicas = ReplicaSet(
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
            self.replicas.put(record)
        for name in set(self.replicas.names) - contents.replicas.keys():
            self.replicas.mark_removed(name)
        self.peers.replace(contents.instances)
        for name, suspect in contents.suspects.items():
            self._take_report(name, suspect)
        for name in self._reports.keys() - contents.suspects.keys():
            self._drop_report(name)
        self._settle()
        self.maintain()

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
                self.replicas.put(value)
            elif change.kind is RecordKind.REPLICA:
                self.replicas.mark_removed(change.name)
            elif isinstance(value, SuspectRecord):
                self._take_report(change.name, value)
            elif change.kind is RecordKind.SUSPECT:
                self._drop_report(change.name)
        self._settle()

    def take_limits(self, limits: ResendLimits) -> None:
        """Put changed bounds on repeated sub-requests in force."""
        self.limits = limits
        for budget in self._budgets.values():
            budget.limits = limits

    def maintain(self) -> None:
        """Drop replicas that are gone, and keep connections to the others open."""
        now_seconds = self.loop.time()
        self.peers.maintain(now_seconds, self._exchange_max_seconds)
        self._note_isolation(now_seconds)
        self.replicas.maintain(now_seconds, self._exchange_max_seconds)

    # Read by requests.

    def choose_replica(
        self,
        *,
        service: str,
        excluded: Collection[Replica],
        route: Route,
        shared: SharedShard | None = None,
    ) -> ReplicaChoice | None:
        """Choose a replica of a service; see `ReplicaSet.choose`."""
        return self.replicas.choose(
            service=service,
            excluded=excluded,
            route=route,
            typical_ms=self.typical_latency(route).typical_ms,
            shared=shared,
        )

    def typical_latency(self, route: Route) -> TypicalLatency:
        """Return the usual reply time of a route's sub-requests."""
        typical = self._typical.get(route.name)
        if typical is None:
            typical = TypicalLatency.from_target(route.target_latency_ms)
            self._typical[route.name] = typical
        return typical

    def earlier_attempts_ms(self, route: Route, remaining_ms: float) -> float:
        """
        Return the time that a caller's earlier attempts have taken.

        A first attempt grants the longest wait; a retry grants what is left of it.

        :param remaining_ms: wait that the attempt at hand grants.
        """
        longest_ms = max(self._longest_wait_ms.get(route.name, 0.0), remaining_ms)
        self._longest_wait_ms[route.name] = longest_ms
        return longest_ms - remaining_ms

    def next_service(self, route: Route) -> str:
        """Return the service that takes the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        split = self._splits.get(route.name)
        if split is None or split.destinations != route.destinations:
            split = WeightedSplit(destinations=route.destinations)
            self._splits[route.name] = split
        return split.next_service()

    def resend_budget(self, service: str) -> ResendBudget:
        """Return the budget of repeated sub-requests to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = ResendBudget(
                limits=self.limits, started_at_seconds=self._shares_since_seconds
            )
            self._budgets[service] = budget
        return budget

    def remaining_resends(self, service: str) -> float:
        """Return how many repeated sub-requests the service's budget allows now."""
        owners = self.owners if service in self._fan_out_services else None
        share = slack_share(
            instance_count=self.peers.live_count,
            owner_count=owners.owner_count(service) if owners is not None else None,
            is_owner=service in self._owned,
        )
        return self.resend_budget(service).available(self.loop.time(), share=share)

    def _settle(self) -> None:
        """Take in a change of the replicas, the peers or the configuration."""
        self._choose_owners(self.table.services if self.table is not None else {})
        self._share_connections()
        callback = self.on_first_table
        if self.table is not None and callback is not None:
            self.on_first_table = None
            callback()

    def _share_connections(self) -> None:
        self.replicas.share_connections(
            services=self.table.services if self.table is not None else {},
            fan_out_services=self._fan_out_services,
            instances=self.peers.live_count,
            domains=len(self.peers.members()),
            owned=self._owned,
            isolated=self._isolated,
        )

    def _note_isolation(self, now_seconds: float) -> None:
        isolated = self.peers.is_isolated(now_seconds) and self.owners is not None
        if isolated is self._isolated:
            return
        self._isolated = isolated
        self.log.event("isolated" if isolated else "no_longer_isolated")
        self._share_connections()

    def _choose_owners(self, services: Mapping[str, BackendService]) -> None:
        """Divide the shards among owners, if their connections are scarce."""
        instances = self.peers.live_count
        scarce = any(
            is_scarce(limit=services[name].connection_limit, instance_count=instances)
            for name in self._fan_out_services & services.keys()
        )
        if not scarce:
            self.owners, self._owned = None, self._fan_out_services
            return
        members, shards = self.peers.members(), self._fan_out_services
        held = self.owners
        if held is not None and (held.members, held.services) == (members, shards):
            return
        self.owners = owners = ShardOwners(members=members, services=shards)
        self._owned = frozenset(
            service
            for service in shards
            if owners.is_owner(self.instance, domain=self.own_domain, service=service)
        )
        self._shares_since_seconds = self.loop.time()

    def _take_report(self, name: str, report: SuspectRecord) -> None:
        self._reports[name] = report
        self.suspects.apply_report(
            report.suspect, instance=report.instance, losses=report.losses
        )

    def _drop_report(self, name: str) -> None:
        report = self._reports.pop(name, None)
        if report is not None:
            self.suspects.remove_report(report.suspect, instance=report.instance)

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
        self._forget_unused(table)
        self.log.event(
            "configuration_in_force",
            version=table.version,
            earlier_version=held.version if held else None,
            routes=len(table.routes),
            services=len(table.services),
        )

    def _forget_unused(self, table: RouteTable) -> None:
        """Drop what was kept for routes and services that are no longer there."""
        for kept in (self._typical, self._splits, self._longest_wait_ms):
            for name in kept.keys() - {route.name for route in table.routes}:
                del kept[name]
        services = {name for route in table.routes for name in route.services}
        for name in self._budgets.keys() - services:
            del self._budgets[name]
