"""Controller of backend servers: connections, load, health and index snapshots."""

import math
from collections.abc import Mapping, Sequence
from itertools import count
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.controllers.replica_evidence import choose_snapshots, ejection_evidence
from bronzebeam.controllers.replica_state import ReplicaState
from bronzebeam.documents.model import EnvironmentDocument, ServiceKind, ServiceSpec
from bronzebeam.routing.choice import ReplicaView
from bronzebeam.routing.ejection import ShardEjections
from bronzebeam.routing.snapshots import Snapshot
from bronzebeam.transport.attempt import AttemptOutcome
from bronzebeam.transport.backend_pool import (
    AttemptEvent,
    AttemptObserver,
    BackendConnectionPool,
)
from bronzebeam.transport.backend_protocol import (
    STATUS_PATH,
    BackendDidNotRun,
    BackendReply,
)
from bronzebeam.transport.channel import ChannelFactory
from bronzebeam.transport.instance_list import ListedInstance

TICK_INTERVAL_SECONDS: Final = 0.1
IDLE_POOL_TICKS: Final = 10
WARM_UP_TIMEOUT_SECONDS: Final = 3.0
STALE_PROBE_INTERVAL_SECONDS: Final = 2.0


@frozen(kw_only=True)
class BackendListReceived:
    """A new instance list was read; `instances` contains only backend servers."""

    instances: tuple[ListedInstance, ...]


@frozen(kw_only=True)
class DocumentChanged:
    """Another configuration document became active."""

    document: EnvironmentDocument


BackendMessage = BackendListReceived | DocumentChanged | AttemptEvent


class BackendController(Controller[BackendMessage]):
    """
    Owns the connection pools of backend servers and the state from their replies.

    :param observers: called at the end of each attempt, as this controller is.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        channels: ChannelFactory,
        observers: Sequence[AttemptObserver] = (),
    ) -> None:
        super().__init__()
        self._document: EnvironmentDocument | None = None
        self._clock = clock
        self._channels = channels
        self._observers = observers
        self._replicas: dict[str, ReplicaState] = {}
        self._snapshots: Mapping[str, Snapshot | None] = {}
        self._ejections: dict[str, ShardEjections] = {}
        self._tasks: TaskGroup | None = None
        self._listed_at_seconds: float | None = None
        self._listed: tuple[ListedInstance, ...] = ()
        self._retired: list[BackendConnectionPool] = []
        self._stale_replicas: tuple[str, ...] = ()
        self._stale_probed_at_seconds = -math.inf

    def is_warmed_up(self) -> bool:
        """
        Return whether this entry has enough connections to serve requests.

        True once each listed backend server is connected or leaving. After
        `WARM_UP_TIMEOUT_SECONDS` from the first list it is true in any case, because
        an unreachable backend server must not keep an entry from serving.
        """
        if self._listed_at_seconds is None:
            return False
        now = self._clock.monotonic_seconds()
        if now - self._listed_at_seconds > WARM_UP_TIMEOUT_SECONDS:
            return True
        replicas = self._replicas.values()
        return bool(replicas) and all(item.usable or item.leaving for item in replicas)

    def snapshot(self, service: str) -> Snapshot | None:
        """Return the newest index snapshot that can serve queries of `service`."""
        return self._snapshots.get(service)

    def members(self, service: str) -> tuple[str, ...]:
        """Return the replicas of a call service."""
        return tuple(
            name
            for name, replica in self._replicas.items()
            if replica.listed.service == service
        )

    def view(self, name: str) -> ReplicaView | None:
        """Return the state of a replica that routing decides on."""
        replica = self._replicas.get(name)
        now = self._clock.monotonic_seconds()
        if replica is None:
            return None
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

    def pool(self, name: str) -> BackendConnectionPool | None:
        """Return the connection pool of a replica, also while a delisted one drains."""
        replica = self._replicas.get(name)
        if replica is not None:
            return replica.pool
        retired = (pool for pool in self._retired if pool.replica == name)
        return next(retired, None)

    @property
    def draining_pool_count(self) -> int:
        """Number of pools of delisted replicas that still have attempts in flight."""
        return len(self._retired)

    async def run(self) -> None:
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._tick)
            await super().run()

    async def handle(self, message: BackendMessage) -> None:
        match message:
            case BackendListReceived():
                self._listed = message.instances
                self._apply_list()
            case DocumentChanged():
                self._document = message.document
                self._apply_list()
            case AttemptEvent():
                self._handle_attempt_event(message)

    async def _tick(self) -> None:
        for tick_number in count():
            await anyio.sleep(TICK_INTERVAL_SECONDS)
            now = self._clock.monotonic_seconds()
            # A pool without attempts in flight has nothing to do but probe its
            # connections, for which one tick in every `IDLE_POOL_TICKS` is enough.
            all_pools = tick_number % IDLE_POOL_TICKS == 0
            for replica in self._replicas.values():
                if all_pools or replica.pool.in_flight:
                    replica.pool.maintain(now)
            self._retired = [pool for pool in self._retired if not pool.is_closed]
            for pool in self._retired:
                pool.maintain(now)
            if (
                self._stale_replicas
                and now - self._stale_probed_at_seconds >= STALE_PROBE_INTERVAL_SECONDS
            ):
                self._probe_stale_replicas()

    def _probe_stale_replicas(self) -> None:
        """Probe replicas that may hold a newer index version than they reported."""
        self._stale_probed_at_seconds = self._clock.monotonic_seconds()
        for name in self._stale_replicas:
            replica = self._replicas.get(name)
            if replica is not None:
                replica.pool.probe_once()

    def _apply_list(self) -> None:
        document = self._document
        if document is None:
            return
        with_service = (
            item for item in self._listed if document.service(item.service or "")
        )
        listed = {item.instance: item for item in with_service}
        for name in [name for name in self._replicas if name not in listed]:
            self._retire(name)
        for name, item in listed.items():
            service = document.service(item.service or "")
            if service is not None:
                self._add_or_update_replica(
                    item, service, document.connection_share(service)
                )
        if listed and self._listed_at_seconds is None:
            self._listed_at_seconds = self._clock.monotonic_seconds()
        self._choose_snapshots()

    def _add_or_update_replica(
        self, item: ListedInstance, service: ServiceSpec, share: int
    ) -> None:
        existing = self._replicas.get(item.instance)
        if existing is not None:
            if existing.pool.address == item.address:
                existing.update(item, slots=service.backend.slots, share=share)
                self._update_usable(existing)
                return
            self._retire(item.instance)
        now = self._clock.monotonic_seconds()
        first_list = self._listed_at_seconds is None
        pool = BackendConnectionPool(
            replica=item.instance,
            address=item.address,
            size=share,
            clock=self._clock,
            channels=self._channels,
            observer=self._on_attempt_event,
        )
        replica = ReplicaState(
            listed=item,
            pool=pool,
            slots=service.backend.slots,
            group=service.name,
            sharded=service.kind is ServiceKind.SEARCH,
            # Replicas of the first list were running before this entry started, so
            # they need no slow start.
            available_since_seconds=-math.inf if first_list else now,
        )
        self._replicas[item.instance] = replica
        assert self._tasks is not None
        self._tasks.start_soon(pool.run)

    def _on_attempt_event(self, event: AttemptEvent) -> None:
        self.post(event)
        for observer in self._observers:
            observer(event)

    def _retire(self, name: str) -> None:
        pool = self._replicas.pop(name).pool
        pool.drain()
        self._retired.append(pool)

    def _handle_attempt_event(self, event: AttemptEvent) -> None:
        replica = self._replicas.get(event.replica)
        if replica is None:
            return
        outcome = event.outcome
        is_probe = not event.attempt.fingerprint
        if isinstance(outcome, (BackendReply, BackendDidNotRun)):
            replica.reported_in_flight = outcome.load.in_flight
            replica.record_drain_state(
                draining=outcome.load.draining,
                is_status_reply=event.attempt.path == STATUS_PATH,
                now_seconds=self._clock.monotonic_seconds(),
            )
            if replica.update_holdings(outcome.holdings):
                self._choose_snapshots()
        self._update_usable(replica)
        if not is_probe:
            self._record_evidence(replica, outcome)
        if event.latency_ms is not None and not is_probe:
            replica.latency = replica.latency.observe(
                latency_ms=event.latency_ms,
                now_seconds=self._clock.monotonic_seconds(),
            )

    def _update_usable(self, replica: ReplicaState) -> None:
        usable = not replica.leaving and replica.pool.open_connections > 0
        if replica.leaving:
            replica.pool.fail_queued_attempts()
        if usable != replica.usable:
            replica.usable = usable
            self._choose_snapshots()
        replica.update_availability(self._clock.monotonic_seconds())

    def _record_evidence(self, replica: ReplicaState, outcome: AttemptOutcome) -> None:
        evidence = ejection_evidence(outcome)
        if evidence is None:
            return
        ejections = self._ejections.get(replica.group, ShardEjections())
        self._ejections[replica.group] = ejections.observe(
            replica=replica.listed.instance,
            evidence=evidence,
            now_seconds=self._clock.monotonic_seconds(),
            replicas=self._group_members(replica.group),
        )

    def _choose_snapshots(self) -> None:
        choice = choose_snapshots(self._replicas.values())
        self._snapshots = choice.by_service
        has_new_stale = not set(choice.stale_replicas) <= set(self._stale_replicas)
        self._stale_replicas = choice.stale_replicas
        if has_new_stale:
            self._probe_stale_replicas()
