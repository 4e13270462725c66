"""The controller of backend servers: links, load, health and held snapshots."""

import math
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.controllers.replica_evidence import evidence_of, replicas_behind
from bronzebeam.controllers.replica_state import ReplicaState
from bronzebeam.documents.model import EnvironmentDocument, ServiceKind, ServiceSpec
from bronzebeam.routing.choice import ReplicaView
from bronzebeam.routing.ejection import ShardEjections
from bronzebeam.routing.snapshots import ReplicaHolding, Snapshot, pick_snapshot
from bronzebeam.transport.attempt import AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    STATUS_PATH,
    BackendDidNotRun,
    BackendReply,
)
from bronzebeam.transport.channel import ChannelFactory
from bronzebeam.transport.instance_list import ListedInstance
from bronzebeam.transport.link import LinkEvent, ReplicaLink

TICK_SECONDS: Final = 0.1
ASK_BEHIND_SECONDS: Final = 2.0


@frozen(kw_only=True)
class InstancesListed:
    """A new instance list; `instances` holds backend servers only."""

    instances: tuple[ListedInstance, ...]


@frozen(kw_only=True)
class DocumentInForce:
    """Another document is in force."""

    document: EnvironmentDocument


BackendsMessage = InstancesListed | DocumentInForce | LinkEvent


class Backends(Controller[BackendsMessage]):
    """Owns the links to backend servers and what their replies tell."""

    def __init__(
        self,
        *,
        clock: Clock,
        channels: ChannelFactory,
    ) -> None:
        super().__init__()
        self._document: EnvironmentDocument | None = None
        self._clock = clock
        self._channels = channels
        self._replicas: dict[str, ReplicaState] = {}
        self._snapshots: dict[str, Snapshot | None] = {}
        self._ejections: dict[str, ShardEjections] = {}
        self._group: TaskGroup | None = None
        self._settled = False
        self._listed: tuple[ListedInstance, ...] = ()
        self._retired: list[ReplicaLink] = []
        self._behind: tuple[str, ...] = ()
        self._asked_at_seconds = -math.inf

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
        return replica.view(now, ejected=self._is_ejected(replica, now))

    def _is_ejected(self, replica: ReplicaState, now: float) -> bool:
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
        """Return the link to a replica, also while its last attempts run."""
        replica = self._replicas.get(name)
        if replica is not None:
            return replica.link
        retired = (link for link in self._retired if link.replica == name)
        return next(retired, None)

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
            self._retired = [link for link in self._retired if not link.ended]
            for link in self._retired:
                link.tick(now)
            if self._behind and now - self._asked_at_seconds >= ASK_BEHIND_SECONDS:
                self._ask_behind()

    def _ask_behind(self) -> None:
        """Ask the replicas that may hold a newer version without our knowing."""
        self._asked_at_seconds = self._clock.monotonic_seconds()
        for name in self._behind:
            replica = self._replicas.get(name)
            if replica is not None:
                replica.link.probe_once()

    def _apply_list(self) -> None:
        document = self._document
        if document is None:
            return
        known = (item for item in self._listed if document.service(item.service or ""))
        listed = {item.instance: item for item in known}
        for name in [name for name in self._replicas if name not in listed]:
            self._retire(name)
        for name, item in listed.items():
            service = document.service(item.service or "")
            if service is not None:
                self._apply_listed(item, service, document.connection_share(service))
        self._settled = self._settled or bool(listed)
        self._choose_snapshots()

    def _apply_listed(
        self, item: ListedInstance, service: ServiceSpec, share: int
    ) -> None:
        known = self._replicas.get(item.instance)
        if known is not None:
            if known.link.address == item.address:
                self._update_listed(known, item, service, share)
                return
            self._retire(item.instance)
        now = self._clock.monotonic_seconds()
        link = ReplicaLink(
            replica=item.instance,
            address=item.address,
            share=share,
            clock=self._clock,
            channels=self._channels,
            observer=self.post,
        )
        replica = ReplicaState(
            listed=item,
            link=link,
            slots=service.backend.slots,
            group=service.name,
            sharded=service.kind is ServiceKind.SEARCH,
            # What the first list holds was running before this entry started.
            available_since_seconds=now if self._settled else -math.inf,
        )
        self._replicas[item.instance] = replica
        assert self._group is not None
        self._group.start_soon(link.run)

    def _update_listed(
        self,
        replica: ReplicaState,
        item: ListedInstance,
        service: ServiceSpec,
        share: int,
    ) -> None:
        replica.listed = item
        replica.slots = service.backend.slots
        if replica.link.share != share:
            replica.link.resize(share)
        self._note_usable(replica)

    def _retire(self, name: str) -> None:
        link = self._replicas.pop(name).link
        link.retire()
        self._retired.append(link)

    def _apply_event(self, event: LinkEvent) -> None:
        replica = self._replicas.get(event.replica)
        if replica is None:
            return
        outcome = event.outcome
        probe = not event.attempt.fingerprint
        if isinstance(outcome, (BackendReply, BackendDidNotRun)):
            replica.reported_in_flight = outcome.load.in_flight
            replica.note_drain(
                draining=outcome.load.draining,
                probe=event.attempt.path == STATUS_PATH,
                now_seconds=self._clock.monotonic_seconds(),
            )
            self._note_holdings(replica, outcome.holdings)
        self._note_usable(replica)
        if not probe:
            self._note_evidence(replica, outcome)
        if event.latency_ms is not None and not probe:
            replica.latency = replica.latency.observe(
                latency_ms=event.latency_ms,
                now_seconds=self._clock.monotonic_seconds(),
            )

    def _note_usable(self, replica: ReplicaState) -> None:
        usable = not replica.leaving and replica.link.open_connections > 0
        if replica.leaving:
            replica.link.return_queued()
        if usable != replica.usable:
            replica.usable = usable
            self._choose_snapshots()
        replica.note_available(self._clock.monotonic_seconds())

    def _note_evidence(self, replica: ReplicaState, outcome: AttemptOutcome) -> None:
        evidence = evidence_of(outcome)
        if evidence is None:
            return
        known = self._ejections.get(replica.group, ShardEjections())
        self._ejections[replica.group] = known.observe(
            replica=replica.listed.instance,
            evidence=evidence,
            now_seconds=self._clock.monotonic_seconds(),
            replicas=self._group_members(replica.group),
        )

    def _note_holdings(
        self, replica: ReplicaState, holdings: tuple[ReplicaHolding, ...] | None
    ) -> None:
        if holdings is None or holdings == replica.holdings:
            return
        replica.holdings = holdings
        if holdings:
            newest = max(holdings, key=lambda item: item.index_version)
            replica.group = f"{replica.listed.service}/{newest.shard}"
        self._choose_snapshots()

    def _choose_snapshots(self) -> None:
        by_service: dict[str, list[ReplicaState]] = {}
        for replica in self._replicas.values():
            by_service.setdefault(replica.listed.service or "", []).append(replica)
        self._snapshots = {
            service: pick_snapshot(
                tuple(row for item in replicas for row in item.holdings),
                frozenset(item.listed.instance for item in replicas if item.usable),
            )
            for service, replicas in by_service.items()
        }
        behind = tuple(
            name
            for service, replicas in by_service.items()
            for name in replicas_behind(self._snapshots[service], replicas)
        )
        more = not set(behind) <= set(self._behind)
        self._behind = behind
        if more:
            self._ask_behind()
