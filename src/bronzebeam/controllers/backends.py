"""The controller of backend servers: links, load, health and held snapshots."""

import math
from collections.abc import Sequence
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.documents.model import EnvironmentDocument, ServiceSpec
from bronzebeam.routing.choice import LatencyAverage, ReplicaView
from bronzebeam.routing.ejection import Evidence, ShardEjections
from bronzebeam.routing.slow_start import slow_start_weight
from bronzebeam.routing.snapshots import ReplicaHolding, Snapshot, pick_snapshot
from bronzebeam.transport.attempt import AttemptLost, AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    BackendDidNotRun,
    BackendFailed,
    BackendReply,
    BadReply,
)
from bronzebeam.transport.channel import ChannelFactory
from bronzebeam.transport.instance_list import InstanceState, ListedInstance
from bronzebeam.transport.link import LinkEvent, LinkObserver, ReplicaLink

TICK_SECONDS: Final = 0.1
HONEST_PROBES: Final = 3
WARM_BOUND_SECONDS: Final = 3.0


@frozen(kw_only=True)
class InstancesListed:
    """A new instance list; `instances` holds backend servers only."""

    instances: tuple[ListedInstance, ...]


@frozen(kw_only=True)
class DocumentInForce:
    """Another document is in force."""

    document: EnvironmentDocument


BackendsMessage = InstancesListed | DocumentInForce | LinkEvent


@define(kw_only=True, eq=False)
class _Replica:
    """
    What is known of one backend server.

    :ivar group: replicas that stand in for each other, for ejection.
    :ivar refused_drain: it said by its own reply that it is leaving.
    :ivar usable: whether the snapshots count it in.
    :ivar available_since_seconds: monotonic time since which it takes work.
    """

    listed: ListedInstance
    link: ReplicaLink
    slots: int
    group: str
    available_since_seconds: float
    holdings: tuple[ReplicaHolding, ...] = ()
    latency: LatencyAverage = LatencyAverage()
    reported_in_flight: int = 0
    refused_drain: bool = False
    honest_probes: int = 0
    usable: bool = False

    @property
    def leaving(self) -> bool:
        return self.refused_drain or self.listed.state is InstanceState.LEAVING


class Backends(Controller[BackendsMessage]):
    """
    Owns the links to backend servers and what their replies tell.

    :param observers: told of the end of each attempt, besides this controller.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        channels: ChannelFactory,
        observers: Sequence[LinkObserver] = (),
    ) -> None:
        super().__init__()
        self._document: EnvironmentDocument | None = None
        self._clock = clock
        self._channels = channels
        self._observers = observers
        self._replicas: dict[str, _Replica] = {}
        self._snapshots: dict[str, Snapshot | None] = {}
        self._ejections: dict[str, ShardEjections] = {}
        self._group: TaskGroup | None = None
        self._listed_at_seconds: float | None = None
        self._listed: tuple[ListedInstance, ...] = ()

    def is_warm(self) -> bool:
        """
        Tell whether this entry has connections enough to take requests.

        That is so once each listed backend server has answered, or some time after
        the first list, since a lost one must not keep an entry from serving.
        """
        if self._listed_at_seconds is None:
            return False
        now = self._clock.monotonic_seconds()
        if now - self._listed_at_seconds > WARM_BOUND_SECONDS:
            return True
        replicas = self._replicas.values()
        return bool(replicas) and all(item.usable or item.leaving for item in replicas)

    def snapshot(self, service: str) -> Snapshot | None:
        """Return the newest snapshot that `service` can answer from."""
        return self._snapshots.get(service)

    def members(self, service: str) -> tuple[str, ...]:
        """Return the replicas of a call service."""
        return tuple(
            name
            for name, replica in self._replicas.items()
            if replica.listed.service == service
        )

    def view(self, name: str) -> ReplicaView | None:
        """Return what routing needs to know of a replica."""
        replica = self._replicas.get(name)
        if replica is None:
            return None
        now = self._clock.monotonic_seconds()
        return ReplicaView(
            replica=name,
            failure_domain=replica.listed.failure_domain,
            slots=replica.slots,
            own_in_flight=replica.link.in_flight,
            reported_in_flight=replica.reported_in_flight,
            latency_ms=replica.latency.at(now),
            leaving=replica.leaving or not replica.link.open_connections,
            ejected=self._is_ejected(replica, now),
            weight=slow_start_weight(
                available_for_seconds=now - replica.available_since_seconds
            ),
            free_connections=replica.link.free_connections,
        )

    def _is_ejected(self, replica: _Replica, now: float) -> bool:
        ejections = self._ejections.get(replica.group)
        if ejections is None or not ejections.records:
            return False
        names = self._group_members(replica.group)
        return replica.listed.instance in ejections.ejected(
            now_seconds=now, replicas=names
        )

    def _group_members(self, group: str) -> tuple[str, ...]:
        return tuple(
            name
            for name, replica in self._replicas.items()
            if replica.group == group and not replica.leaving
        )

    def link(self, name: str) -> ReplicaLink | None:
        """Return the link to a replica."""
        replica = self._replicas.get(name)
        return replica.link if replica is not None else None

    async def run(self) -> None:
        async with anyio.create_task_group() as self._group:
            self._group.start_soon(self._tick)
            await super().run()

    async def handle(self, message: BackendsMessage) -> None:
        match message:
            case InstancesListed():
                self._listed = message.instances
                self._apply_list()
            case DocumentInForce():
                self._document = message.document
                self._apply_list()
            case LinkEvent():
                self._apply_event(message)

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_SECONDS)
            now = self._clock.monotonic_seconds()
            for replica in self._replicas.values():
                replica.link.tick(now)

    def _apply_list(self) -> None:
        document = self._document
        if document is None:
            return
        listed = {item.instance: item for item in self._listed}
        for name in [name for name in self._replicas if name not in listed]:
            self._retire(name)
        for name, item in listed.items():
            service = document.service(item.service or "")
            if service is not None:
                self._apply_listed(item, service, document.connection_share(service))
        if listed and self._listed_at_seconds is None:
            self._listed_at_seconds = self._clock.monotonic_seconds()
        self._choose_snapshots()

    def _apply_listed(
        self, item: ListedInstance, service: ServiceSpec, share: int
    ) -> None:
        known = self._replicas.get(item.instance)
        if known is not None:
            same = known.link.address == item.address and known.link.share == share
            if same:
                known.listed = item
                self._note_usable(known)
                return
            self._retire(item.instance)
        link = ReplicaLink(
            replica=item.instance,
            address=item.address,
            share=share,
            clock=self._clock,
            channels=self._channels,
            observer=self._observe,
        )
        replica = _Replica(
            listed=item,
            link=link,
            slots=service.backend.slots,
            group=service.name,
            available_since_seconds=self._first_available_seconds(),
        )
        self._replicas[item.instance] = replica
        assert self._group is not None
        self._group.start_soon(link.run)

    def _observe(self, event: LinkEvent) -> None:
        self.post(event)
        for observer in self._observers:
            observer(event)

    def _first_available_seconds(self) -> float:
        """Return when a replica listed now counts as available, for slow start."""
        now = self._clock.monotonic_seconds()
        # What the first list holds was running before this entry started.
        return now if self._listed_at_seconds is not None else -math.inf

    def _retire(self, name: str) -> None:
        self._replicas.pop(name).link.retire()

    def _apply_event(self, event: LinkEvent) -> None:
        replica = self._replicas.get(event.replica)
        if replica is None:
            return
        outcome = event.outcome
        probe = not event.attempt.fingerprint
        if isinstance(outcome, (BackendReply, BackendDidNotRun)):
            replica.reported_in_flight = outcome.load.in_flight
            self._note_drain(replica, draining=outcome.load.draining, probe=probe)
            self._note_holdings(replica, outcome.holdings)
        self._note_usable(replica)
        if not probe:
            self._note_evidence(replica, outcome)
        if event.latency_ms is not None and not probe:
            replica.latency = replica.latency.observe(
                latency_ms=event.latency_ms,
                now_seconds=self._clock.monotonic_seconds(),
            )

    def _note_usable(self, replica: _Replica) -> None:
        usable = not replica.leaving and replica.link.open_connections > 0
        if usable != replica.usable:
            replica.usable = usable
            self._choose_snapshots()

    def _note_evidence(self, replica: _Replica, outcome: AttemptOutcome) -> None:
        evidence = _evidence(outcome)
        if evidence is None:
            return
        known = self._ejections.get(replica.group, ShardEjections())
        self._ejections[replica.group] = known.observe(
            replica=replica.listed.instance,
            evidence=evidence,
            now_seconds=self._clock.monotonic_seconds(),
            replicas=self._group_members(replica.group),
        )

    def _note_drain(self, replica: _Replica, *, draining: bool, probe: bool) -> None:
        """A probe may set the mark, but only several in a row may clear it."""
        if draining:
            replica.refused_drain = True
            replica.honest_probes = 0
            return
        if not replica.refused_drain or not probe:
            return
        replica.honest_probes += 1
        if replica.honest_probes >= HONEST_PROBES:
            replica.refused_drain = False
            replica.available_since_seconds = self._clock.monotonic_seconds()

    def _note_holdings(
        self, replica: _Replica, holdings: tuple[ReplicaHolding, ...]
    ) -> None:
        if holdings and holdings != replica.holdings:
            replica.holdings = holdings
            newest = max(holdings, key=lambda item: item.index_version)
            replica.group = f"{replica.listed.service}/{newest.shard}"
            self._choose_snapshots()

    def _choose_snapshots(self) -> None:
        by_service: dict[str, list[_Replica]] = {}
        for replica in self._replicas.values():
            by_service.setdefault(replica.listed.service or "", []).append(replica)
        self._snapshots = {
            service: pick_snapshot(
                tuple(row for item in replicas for row in item.holdings),
                frozenset(item.listed.instance for item in replicas if item.usable),
            )
            for service, replicas in by_service.items()
        }


def _evidence(outcome: AttemptOutcome) -> Evidence | None:
    match outcome:
        case BackendReply():
            return Evidence.SUCCESS
        case AttemptLost(reason="timeout", sent=True) | BadReply() | BackendFailed():
            return Evidence.FAILURE
        case AttemptLost(reason="connection_lost" | "no_connection"):
            return Evidence.LOST_CONNECTION
    return None
