"""An instance's view of the configuration, the replicas and its peers."""

import asyncio
import math
import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from attrs import define, field

from bronzebeam.gateway.boot_clock import boot_seconds
from bronzebeam.gateway.cold_limits import ColdLimits, Members
from bronzebeam.gateway.connection_pool import Connect
from bronzebeam.gateway.evacuations import Evacuations
from bronzebeam.gateway.older_copy import OlderCopy
from bronzebeam.gateway.peers import Peer, PeerSet
from bronzebeam.gateway.records import (
    Change,
    EvacuationRecord,
    InstanceRecord,
    RecordKind,
    ReplicaRecord,
    StoreSnapshot,
    SuspectRecord,
)
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.replica_choice import ReplicaChoice, SharedShard
from bronzebeam.gateway.replica_limits import ReplicaLimits
from bronzebeam.gateway.replica_set import ReplicaSet
from bronzebeam.gateway.shard_ownership import ShardOwnership
from bronzebeam.routing.cold_limits import ColdTolerance
from bronzebeam.routing.crash_suspects import QUARANTINE_SECONDS, CrashSuspects
from bronzebeam.routing.instance_share import ShareRatios
from bronzebeam.routing.last_use import LastUsePolicy
from bronzebeam.routing.quota_members import QuotaMembers
from bronzebeam.routing.regions import RegionMap
from bronzebeam.routing.repeat_budget import (
    SLACK_RATIOS,
    RepeatBudget,
    RepeatLimits,
)
from bronzebeam.routing.replica_latency import TypicalLatency
from bronzebeam.routing.replica_limit import LIMIT_RATIOS, RecentInstanceCount
from bronzebeam.routing.replica_reach import ReportedReach
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.routing.shard_owners import ShardOwners
from bronzebeam.routing.weighted_split import WeightedSplit
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.http_reply import ReplyMemory
from bronzebeam.units import MS_PER_SECOND

# A request may take this much longer than the longest timeout of a route.
EXCHANGE_MARGIN_SECONDS: Final = 1.0


@define(kw_only=True, eq=False, repr=False)
class FleetState:
    """
    State that `StoreWatch` writes and request handlers read.

    What the store has acknowledged once stays in force if the store comes back from an
    older copy: the configuration until there is a newer one, evacuations and
    registrations of replicas and peers until they should have been written again, and
    reports of suspect requests until they would have expired.

    :ivar own_domain: failure domain of this instance.
    :ivar limits: limits on repeats (hedges and retries).
    :ivar table: active configuration; None until one has been loaded.
    :ivar last_use: until when replicas that leave may be used.
    :ivar on_first_configuration: called once, after the first configuration has been
        applied.
    :ivar on_quotas: called when the configuration has accounts with a quota for the
        first time.
    :ivar on_own_removal: called when this instance's own registration was removed.
    :ivar on_reach_change: called when this instance's links to the replicas are broken,
        with false, or are mended, with true.
    :ivar replicas: all replicas that may still be used.
    :ivar peers: the registered live instances.
    :ivar registration_timeout_seconds: see `OlderCopy`.
    :ivar cold_tolerance: see `GatewaySettings`.
    :ivar regions: regions of the failure domains.
    :ivar evacuations: the failure domains whose replicas get no requests.
    :ivar cold: the limits on requests to cold replicas.
    :ivar synced_at_seconds: monotonic time of the latest response of the store, or of a
        source of changes that is in contact with it.
    :ivar boot_seconds: a clock that goes on while the process is suspended.
    :ivar quota_members: the live instances as owners of accounts; kept only while the
        configuration has quotas.
    :ivar reply_memory: see `Gateway`.
    :ivar suspects: requests suspected of crashing replicas.
    """

    own_domain: str
    instance: str
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    limits: RepeatLimits
    rng: random.Random
    table: RouteTable | None = None
    on_first_configuration: Callable[[], None] | None = None
    on_quotas: Callable[[], None] | None = None
    on_own_removal: Callable[[], None] | None = None
    on_reach_change: Callable[[bool], None] | None = None
    last_use: LastUsePolicy
    registration_timeout_seconds: float
    cold_tolerance: ColdTolerance
    boot_seconds: Callable[[], float] = boot_seconds
    quota_members: QuotaMembers = field(init=False)
    regions: RegionMap
    cold: ColdLimits = field(init=False)
    replicas: ReplicaSet = field(init=False)
    peers: PeerSet = field(init=False)
    evacuations: Evacuations = field(init=False)
    _older_copy: OlderCopy = field(init=False)
    reply_memory: ReplyMemory = field(factory=ReplyMemory)
    started_at_seconds: float = 0.0
    synced_at_seconds: float = -math.inf
    suspects: CrashSuspects = field(factory=CrashSuspects)
    _suspect_records: dict[str, SuspectRecord] = field(factory=dict)
    _unconfirmed_suspects: dict[str, float] = field(factory=dict)
    _era: int | None = None
    _was_restored: bool = False
    _ownership: ShardOwnership = field(init=False)
    _reach: ReportedReach = field(factory=ReportedReach)
    _recent_instances: RecentInstanceCount = field(factory=RecentInstanceCount)
    _typical_latency_by_route: dict[str, TypicalLatency] = field(factory=dict)
    _split_by_route: dict[str, WeightedSplit] = field(factory=dict)
    _budget_by_service: dict[str, RepeatBudget] = field(factory=dict)
    _max_wait_ms_by_route: dict[str, float] = field(factory=dict)
    _fan_out_services: frozenset[str] = frozenset()
    _routed_services: frozenset[str] = frozenset()
    _is_isolated: bool = False
    _serving_members: Members = field(factory=dict)
    _owners_changed_at_seconds: float = field(init=False)
    _max_exchange_seconds: float = EXCHANGE_MARGIN_SECONDS

    def __attrs_post_init__(self) -> None:
        self._owners_changed_at_seconds = self.started_at_seconds
        self._ownership = ShardOwnership(
            instance=self.instance, own_domain=self.own_domain
        )
        self.quota_members = QuotaMembers(instance=self.instance)
        self.peers = PeerSet(
            instance=self.instance,
            own_domain=self.own_domain,
            loop=self.loop,
            connect=self.connect,
            log=self.log,
            rng=self.rng,
            reply_memory=self.reply_memory,
        )
        self.replicas = ReplicaSet(
            own_domain=self.own_domain,
            loop=self.loop,
            connect=self.connect,
            log=self.log,
            rng=self.rng,
            reply_memory=self.reply_memory,
            last_use=self.last_use,
            limits=ReplicaLimits(
                loop=self.loop, log=self.log, rng=self.rng, share_of=self._limit_share
            ),
        )
        self._older_copy = OlderCopy(
            replicas=self.replicas,
            registration_timeout_seconds=self.registration_timeout_seconds,
        )
        self.cold = ColdLimits(
            instance=self.instance,
            loop=self.loop,
            log=self.log,
            rng=self.rng,
            tolerance=self.cold_tolerance,
            candidates_of=self._cold_candidates,
        )
        self.evacuations = Evacuations(
            replicas=self.replicas,
            registration_timeout_seconds=self.registration_timeout_seconds,
        )

    @property
    def owners(self) -> ShardOwners | None:
        """Return the owners of the shards; see `ShardOwnership`."""
        return self._ownership.owners

    # Updates, from StoreWatch and from periodic tasks.

    def apply_snapshot(
        self, snapshot: StoreSnapshot, *, made_after_seconds: float
    ) -> None:
        """
        Replace the state by the complete contents of the store.

        :param made_after_seconds: see `ReplicaSet`.
        """
        self.replicas.made_after_seconds = made_after_seconds
        is_first_of_era = self._era is not None and snapshot.era != self._era
        # Later reads in the new era may still find registrations of the older copy.
        self._was_restored = self._was_restored or is_first_of_era
        self._era = snapshot.era
        if snapshot.table is not None:
            self._apply_table(snapshot.table)
        for name, suspect in snapshot.suspects.items():
            self._apply_suspect(name, suspect)
        lost_suspects = self._suspect_records.keys() - snapshot.suspects.keys()
        for name in lost_suspects - self._unconfirmed_suspects.keys():
            if is_first_of_era:
                expire_at = self.loop.time() + QUARANTINE_SECONDS
                self._unconfirmed_suspects[name] = expire_at
            else:
                self._remove_suspect(name)
        self.peers.replace(snapshot.instances, keep_missing=is_first_of_era)
        new_replicas = snapshot.replicas.keys() - self.replicas.names
        if self._was_restored:
            self._older_copy.apply(snapshot.replicas, keep_missing=is_first_of_era)
        else:
            for record in snapshot.replicas.values():
                self.replicas.put(record)
            for name in self.replicas.names - snapshot.replicas.keys():
                self.replicas.mark_removed(name)
        self.replicas.mark_age_unknown(new_replicas)
        # An evacuation moves requests that wait, also to replicas that are cold.
        self.cold.update(self.replicas.all(), members_changed=False)
        self.evacuations.apply(snapshot.evacuations, keep_missing=is_first_of_era)
        self._update_derived_state()
        self.maintain()

    def apply_changes(
        self, changes: Iterable[Change], *, made_after_seconds: float
    ) -> None:
        """
        Apply changes, in the order in which they were made.

        :param made_after_seconds: see `ReplicaSet`.
        """
        self.replicas.made_after_seconds = made_after_seconds
        for change in changes:
            value = change.value
            if isinstance(value, InstanceRecord):
                self.peers.put(value)
            elif change.kind is RecordKind.INSTANCE:
                self.peers.remove(change.name)
                if change.name == self.instance and self.on_own_removal is not None:
                    self.on_own_removal()
            elif isinstance(value, RouteTable):
                self._apply_table(value)
            elif isinstance(value, ReplicaRecord):
                self._older_copy.confirm(change.name)
                self.replicas.put(value)
            elif change.kind is RecordKind.REPLICA:
                self._older_copy.confirm(change.name)
                self.replicas.mark_removed(change.name)
            elif isinstance(value, SuspectRecord):
                self._apply_suspect(change.name, value)
            elif change.kind is RecordKind.SUSPECT:
                self._remove_suspect(change.name)
            elif isinstance(value, EvacuationRecord):
                self.cold.update(self.replicas.all(), members_changed=False)
                self.evacuations.put(change.name)
            elif change.kind is RecordKind.EVACUATION:
                self.evacuations.remove(change.name)
        self._update_derived_state()

    def all_records(self) -> list[Change]:
        """
        Return all records as changes, for a peer that lacks some of them.

        These are the records in the store. What is believed in spite of an older copy
        is left out, since the peer would not learn when it no longer is.
        """
        changes = [
            Change(kind=RecordKind.REPLICA, name=record.replica, value=record)
            for record in self._older_copy.registered()
        ]
        changes.extend(
            Change(kind=RecordKind.INSTANCE, name=record.instance, value=record)
            for record in self.peers.registered()
        )
        changes.extend(
            Change(kind=RecordKind.SUSPECT, name=name, value=suspect)
            for name, suspect in self._suspect_records.items()
            if name not in self._unconfirmed_suspects
        )
        changes.extend(self.evacuations.registered())
        if self.table is not None:
            changes.append(
                Change(kind=RecordKind.CONFIGURATION, name="", value=self.table)
            )
        return changes

    def confirm_members(self, as_of_seconds: float) -> None:
        """
        Record that all instances are known that were registered at a time.

        :param as_of_seconds: boot time at which the call was sent that shows it.
        """
        if self.table is not None and self.table.has_quotas:
            self.quota_members.confirm(as_of_seconds, self.boot_seconds())

    def apply_limits(self, limits: RepeatLimits) -> None:
        """Apply new limits on repeats."""
        self.limits = limits
        for budget in self._budget_by_service.values():
            budget.limits = limits

    def record_cold(self, replica: Replica, seconds: float) -> None:
        """Record that a replica states in a reply for how long it stays cold."""
        if seconds > 0.0 and self.cold.has_rate(replica.record.service):
            replica.record_cold(seconds, self.loop.time())
            if replica.cold is None:
                self.cold.update(self.replicas.all(), members_changed=False)

    def maintain(self) -> None:
        """Remove replicas and peers that are gone; keep the others connected."""
        now_seconds = self.loop.time()
        for name, expire_at in list(self._unconfirmed_suspects.items()):
            if now_seconds >= expire_at:
                self._remove_suspect(name)
        self._older_copy.settle(now_seconds)
        evacuations_ended = self.evacuations.settle(now_seconds)
        if self.peers.settle_older_copy(now_seconds) or evacuations_ended:
            self._update_derived_state()
        self.peers.maintain(now_seconds, self._max_exchange_seconds)
        self._update_isolation(now_seconds)
        self.replicas.maintain(now_seconds, self._max_exchange_seconds)
        self.cold.update(self.replicas.all(), members_changed=False)
        if self._reach.update(
            is_cut_off=self.replicas.links.lost_at_seconds is not None,
            is_impaired=self.replicas.links.is_impaired,
            now_seconds=now_seconds,
        ):
            self._update_derived_state()
            if self.on_reach_change is not None:
                self.on_reach_change(self._reach.reaches_replicas)

    # Queries of request handlers.

    def choose_replica(
        self,
        *,
        service: str,
        excluded: Collection[Replica],
        route: Route,
        shared: SharedShard | None = None,
        ignore_limit: bool = False,
        domains: frozenset[str] | None = None,
    ) -> ReplicaChoice | None:
        """Choose a replica of a service; see `ReplicaSet.choose`."""
        return self.replicas.choose(
            service=service,
            excluded=excluded,
            route=route,
            typical=self.typical_latency(route),
            shared=shared,
            ignore_limit=ignore_limit,
            domains=domains,
        )

    def domains_for_peer(
        self, regions: frozenset[str] | None, evacuated: frozenset[str]
    ) -> frozenset[str] | None:
        """
        Return the failure domains whose replicas may get a peer's request.

        :param regions: regions that the request may be sent to; None for any.
        :param evacuated: domains that the peer knows to be evacuated. This instance may
            have lost the store.
        :return: None for any domain.
        """
        domains = self.regions.domains_in(regions)
        if evacuated <= self.replicas.evacuated:
            return domains
        if domains is None:
            domains = self.replicas.all_domains()
        return domains - evacuated

    def barred_peers(self, regions: frozenset[str] | None) -> list[Peer]:
        """
        Return the peers that must not get the body of a request.

        :param regions: regions that the request may be sent to; None for any.
        """
        return self.peers.outside(self.regions.peer_domains(regions))

    def cold_senders(
        self, service: str, domains: frozenset[str] | None
    ) -> frozenset[str]:
        """
        Return the instances that send to the cold replicas of a service.

        :param domains: see `ReplicaSet.choose`.
        """
        return frozenset(
            name
            for replica in self.replicas.of_service(service, domains)
            if replica.cold is not None
            for name in replica.cold.senders
        )

    def typical_latency(self, route: Route) -> TypicalLatency:
        """Return the typical reply time of a route's sub-requests."""
        typical = self._typical_latency_by_route.get(route.name)
        if typical is None:
            typical = TypicalLatency.from_target(route.target_latency_ms)
            self._typical_latency_by_route[route.name] = typical
        return typical

    def earlier_attempts_ms(self, route: Route, remaining_ms: float) -> float:
        """
        Estimate the time that a caller's earlier attempts at a request have taken.

        Callers send the full timeout with a first attempt and the remainder with a
        retry, so the difference from the longest timeout seen is the time spent.

        :param remaining_ms: timeout that the caller sent with the current attempt.
        """
        max_wait_ms = max(self._max_wait_ms_by_route.get(route.name, 0.0), remaining_ms)
        self._max_wait_ms_by_route[route.name] = max_wait_ms
        return max_wait_ms - remaining_ms

    def next_service(self, route: Route) -> str:
        """Return the service to send the next request of a route to."""
        if len(route.destinations) == 1:
            return route.destinations[0].service
        split = self._split_by_route.get(route.name)
        if split is None or split.destinations != route.destinations:
            split = WeightedSplit(destinations=route.destinations)
            self._split_by_route[route.name] = split
        return split.next_service()

    def repeat_budget(self, service: str) -> RepeatBudget:
        """Return the repeat budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatBudget(
                limits=self.limits, started_at_seconds=self._owners_changed_at_seconds
            )
            self._budget_by_service[service] = budget
        return budget

    def is_sent_by_owners(self, service: str) -> bool:
        """Whether other instances, the owners, send to the replicas of a shard."""
        return self.owners is not None and service not in self._ownership.owned

    def remaining_repeats(self, service: str) -> float:
        """Return how many repeats the service's budget allows now."""
        share = self._share(SLACK_RATIOS, service, instance_count=self.peers.live_count)
        return self.repeat_budget(service).available(self.loop.time(), share=share)

    def recent_instance_count(self) -> int:
        """Return how many instances may be sending, including some that are gone."""
        return self._recent_instances.highest(self.loop.time())

    # Queries that change nothing, to explain what a request would meet.

    def known_latency(self, route: Route) -> TypicalLatency:
        """Return the typical reply time of a route's sub-requests."""
        known = self._typical_latency_by_route.get(route.name)
        return known or TypicalLatency.from_target(route.target_latency_ms)

    def peek_service(self, route: Route) -> str:
        """Return what `next_service` would."""
        split = self._split_by_route.get(route.name)
        if split is None or split.destinations != route.destinations:
            split = WeightedSplit(destinations=route.destinations)
        return split.peek()

    def peek_repeats(self, service: str) -> float:
        """Return what `remaining_repeats` would."""
        share = self._share(SLACK_RATIOS, service, instance_count=self.peers.live_count)
        budget = self._budget_by_service.get(service) or RepeatBudget(
            limits=self.limits, started_at_seconds=self._owners_changed_at_seconds
        )
        return budget.peek(self.loop.time(), share=share)

    def _limit_share(self, service: str) -> float:
        instance_count = self.recent_instance_count()
        return self._share(LIMIT_RATIOS, service, instance_count=instance_count)

    def _share(
        self, ratios: ShareRatios, service: str, *, instance_count: int
    ) -> float:
        """Return this instance's share of what all may send to a service."""
        owners = self._ownership.owners_of(service)
        return ratios.share(
            instance_count=instance_count,
            owner_count=owners.owner_count(service) if owners is not None else None,
            is_owner=service in self._ownership.owned,
        )

    def _cold_candidates(self, record: ReplicaRecord) -> Members:
        """
        Return the instances that may send to a replica while it is cold.

        Where a shard has owners, these are the ones in the replica's domain, to which
        its shard is delegated; all owners if there is none.
        """
        owners = self._ownership.owners_of(record.service)
        if owners is None:
            return self._serving_members
        domains = owners.owner_domains(record.service)
        if record.failure_domain in domains:
            domains = [record.failure_domain]
        candidates = {}
        for domain in domains:
            number = owners.slice_number_of(record.service, domain)
            members = owners.members[domain]
            candidates[domain] = {
                name: members[name] for name in owners.owners(domain, number)
            }
        return candidates

    def _update_derived_state(self) -> None:
        """Recompute what depends on the replicas, the peers and the configuration."""
        services = self.table.services if self.table is not None else {}
        self._serving_members = self.peers.serving_members(
            is_impaired=not self._reach.reaches_replicas
        )
        members_changed = self._ownership.update(
            services=services,
            shards=self._fan_out_services,
            routed=self._routed_services,
            members=self._serving_members,
            instance_count=self.peers.live_count,
            replica_domains=self.replicas.domains_by_service(),
        )
        if members_changed:
            self._owners_changed_at_seconds = self.loop.time()
        self._recent_instances.observe(self.peers.live_count, self.loop.time())
        if self.table is not None and self.table.has_quotas:
            self.quota_members.update(
                [name for name, item in self.peers.records.items() if item.host],
                self.boot_seconds(),
                registered=self.peers.records,
            )
        self._allocate_connections()
        if self.instance in self.peers.records:
            self.cold.record_registered()
        self.cold.update(self.replicas.all(), members_changed=True)
        callback = self.on_first_configuration
        if self.table is not None and callback is not None:
            self.on_first_configuration = None
            callback()

    def _allocate_connections(self) -> None:
        owner_domain_counts = self._ownership.owner_domain_counts()
        self.replicas.share_connections(
            services=self.table.services if self.table is not None else {},
            fan_out_services=self._fan_out_services | owner_domain_counts.keys(),
            instances=self.peers.live_count,
            domains=owner_domain_counts,
            owned=self._ownership.owned,
            isolated=self._is_isolated,
        )

    def _update_isolation(self, now_seconds: float) -> None:
        isolated = self.peers.is_isolated(now_seconds) and self.owners is not None
        if isolated is self._is_isolated:
            return
        self._is_isolated = isolated
        self.log.event("isolated" if isolated else "no_longer_isolated")
        self._allocate_connections()

    def _apply_suspect(self, name: str, report: SuspectRecord) -> None:
        self._unconfirmed_suspects.pop(name, None)
        self._suspect_records[name] = report
        self.suspects.apply_report(
            report.suspect, instance=report.instance, losses=report.losses
        )

    def _remove_suspect(self, name: str) -> None:
        self._unconfirmed_suspects.pop(name, None)
        report = self._suspect_records.pop(name, None)
        if report is not None:
            self.suspects.remove_report(report.suspect, instance=report.instance)

    def _apply_table(self, table: RouteTable) -> None:
        current = self.table
        if current is not None and table.version <= current.version:
            if table.version < current.version:
                self.log.event(
                    "older_configuration_ignored",
                    version=table.version,
                    version_in_force=current.version,
                )
            return
        self.table = table
        self._fan_out_services = frozenset(
            service for route in table.routes for service in route.shards
        )
        self._routed_services = frozenset(
            service for route in table.routes for service in route.services
        )
        self._max_exchange_seconds = EXCHANGE_MARGIN_SECONDS + max(
            (route.timeout_ms / MS_PER_SECOND for route in table.routes), default=0.0
        )
        self._remove_unused(table)
        if self.on_quotas is not None and any(
            account.is_limited for account in table.accounts
        ):
            self.on_quotas()
            self.on_quotas = None
        self.cold.set_services(table.services)
        self.log.event(
            "configuration_in_force",
            version=table.version,
            earlier_version=current.version if current else None,
            routes=len(table.routes),
            services=len(table.services),
        )

    def _remove_unused(self, table: RouteTable) -> None:
        """Remove the state of routes and services that are no longer configured."""
        for by_name in (
            self._typical_latency_by_route,
            self._split_by_route,
            self._max_wait_ms_by_route,
        ):
            for name in by_name.keys() - {route.name for route in table.routes}:
                del by_name[name]
        for name in self._budget_by_service.keys() - self._routed_services:
            del self._budget_by_service[name]
