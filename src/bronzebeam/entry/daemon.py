"""The entry daemon: one process on each entry instance."""

import random
import signal
import time
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from bronzebeam.clock import SystemClock
from bronzebeam.controllers import (
    caller_usage,
    instance_topic,
    quarantine,
    store_view_topic,
)
from bronzebeam.controllers.caller_usage import CallerUsage
from bronzebeam.controllers.gossip import TopicSpec
from bronzebeam.controllers.instance_topic import InstanceTopic
from bronzebeam.controllers.quarantine import QuarantineTopic
from bronzebeam.controllers.store_view_topic import StoreViewTopic
from bronzebeam.entry.admin_app import AdminApp
from bronzebeam.entry.caller_app import CallerApp
from bronzebeam.entry.collector import freeze_when_ready
from bronzebeam.entry.fleet import Fleet, build_fleet
from bronzebeam.entry.forwarding import ForwardRoute
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.entry.relay import Relay
from bronzebeam.entry.request_path import Baseline, RequestPath, new_peer_client
from bronzebeam.entry.server import Application, serve_http
from bronzebeam.entry.state_metrics import StateMetrics
from bronzebeam.settings import EntrySettings
from bronzebeam.telemetry.logs import log_event
from bronzebeam.telemetry.query_metrics import QueryMetrics
from bronzebeam.telemetry.traces import Tracing
from bronzebeam.transport.instance_list import HttpInstanceList
from bronzebeam.transport.owner_route import (
    FORWARD_PATH,
    HttpOwnerRoute,
    incarnation_id,
)
from bronzebeam.transport.peer import HttpPeerClient
from bronzebeam.transport.store_http import HttpStore
from bronzebeam.units import MS_PER_SECOND

GRACE_AFTER_DRAIN_SECONDS: Final = 1.0
FLUSH_CLAIMS_SECONDS: Final = 2.0
CONNECTING: Final = "connecting_to_backend_servers"
NS_PER_MS: Final = 1_000_000


@define(kw_only=True, eq=False)
class Entry:
    """One entry: its controllers, request path and servers."""

    settings: EntrySettings
    baseline: Baseline = field(factory=Baseline)
    clock: SystemClock = field(factory=SystemClock, init=False)
    rng: random.Random = field(factory=random.Random, init=False)
    lifecycle: Lifecycle = field(init=False)
    metrics: QueryMetrics = field(factory=QueryMetrics, init=False)
    path: RequestPath = field(init=False)
    fleet: Fleet = field(init=False)
    _store: HttpStore = field(init=False)
    _route: HttpOwnerRoute = field(init=False)

    async def run(self) -> int:
        """
        Serve until a planned stop has ended; return the exit code.

        :returns: 0, or 1 if requests were still in flight at the bound of the stop.
        """
        settings = self.settings
        self.lifecycle = Lifecycle(drain_settings=settings.drain, clock=self.clock)
        traffic = self.metrics.traffic
        peers = HttpPeerClient(traffic=traffic)
        async with (
            HttpStore(
                base_url=settings.store_url,
                call_timeout_seconds=settings.store_timeout_ms / MS_PER_SECOND,
                traffic=traffic,
            ) as self._store,
            HttpInstanceList(
                base_url=settings.instance_list_url, traffic=traffic
            ) as instance_list,
            new_peer_client() as client,
        ):
            self._build(peers, instance_list)
            self._route = HttpOwnerRoute(
                members=lambda: self.fleet.membership.view.records,
                client=client,
                clock=self.clock,
            )
            await self._serve()
        self.path.tracing.close()
        await peers.aclose()
        return 1 if self.lifecycle.cut_off else 0

    def _build(self, peers: HttpPeerClient, instance_list: HttpInstanceList) -> None:
        settings = self.settings
        incarnation = time.time_ns() // NS_PER_MS
        usage = CallerUsage(instance=settings.instance, clock=self.clock)
        instances = InstanceTopic(source=instance_list, clock=self.clock)
        self.path = RequestPath(
            settings=settings,
            life=incarnation_id(instance=settings.instance, incarnation=incarnation),
            store=self._store,
            usage=usage,
            clock=self.clock,
            rng=self.rng,
            tracing=Tracing(
                instance=settings.instance,
                sample_share=settings.trace_sample_share,
                log_spans=settings.log_spans,
            ),
            baseline=self.baseline,
        )
        self.fleet = build_fleet(
            settings=settings,
            incarnation=incarnation,
            store=self._store,
            instance_list=instances,
            peers=peers,
            topics=self._topics(usage, instances),
            traffic=self.metrics.traffic,
            clock=self.clock,
            rng=self.rng,
        )
        usage.live_entries = lambda: len(self.fleet.membership.view.members)
        self.path.quarantine.publish = self.fleet.gossip.publish
        self.metrics.before_render = StateMetrics(
            registry=self.metrics.registry, fleet=self.fleet, path=self.path
        ).update
        topic = self._store_view_topic()
        self.path.claims.store_view.on_claims_lost = lambda: self.fleet.gossip.publish(
            store_view_topic.TOPIC, topic.digest()
        )
        instances.membership = self.fleet.membership
        instances.publish = self.fleet.gossip.publish

    def _topics(
        self, usage: CallerUsage, instances: InstanceTopic
    ) -> tuple[TopicSpec, ...]:
        return (
            TopicSpec(
                name=instance_topic.TOPIC,
                topic=instances,
                pushed=True,
                max_bytes=instance_topic.MAX_TOPIC_BYTES,
            ),
            TopicSpec(
                name=quarantine.TOPIC,
                topic=QuarantineTopic(controller=self.path.quarantine),
                pushed=True,
                max_bytes=quarantine.MAX_TOPIC_BYTES,
            ),
            TopicSpec(
                name=store_view_topic.TOPIC,
                topic=self._store_view_topic(),
                pushed=True,
                max_bytes=store_view_topic.MAX_TOPIC_BYTES,
            ),
            TopicSpec(
                name=caller_usage.TOPIC,
                topic=usage,
                pushed=False,
                max_bytes=caller_usage.MAX_TOPIC_BYTES,
            ),
        )

    def _store_view_topic(self) -> StoreViewTopic:
        return StoreViewTopic(view=self.path.claims.store_view)

    async def _serve(self) -> None:
        async with anyio.create_task_group() as group:
            self.fleet.start(group)
            self.path.start(group)
            group.start_soon(Relay(fleet=self.fleet, backends=self.path.backends).run)
            group.start_soon(self._watch_signals)
            group.start_soon(
                freeze_when_ready, lambda: self._not_ready_reason() is None
            )
            log_event("entry_started", instance=self.settings.instance)
            await self._serve_ports()
            self.path.owned_keys.close()
            with anyio.move_on_after(FLUSH_CLAIMS_SECONDS):
                await self.path.claims.flush()
            group.cancel_scope.cancel()
        log_event("entry_ended", instance=self.settings.instance)

    async def _serve_ports(self) -> None:
        forwarding = ForwardRoute(
            chain=self.path.chain(None),
            document=self.fleet.document,
            lifecycle=self.lifecycle,
            clock=self.clock,
        )
        self.fleet.peer_app.routes[("POST", FORWARD_PATH)] = forwarding.answer
        caller_app = self._admin(self._caller_app(), metrics=None)
        peer_app = self._admin(self.fleet.peer_app, metrics=self.metrics)
        async with anyio.create_task_group() as group:
            for app, listen in (
                (caller_app, self.settings.caller_listen),
                (peer_app, self.settings.peer_listen),
            ):
                group.start_soon(self._serve_port, app, listen.bind)

    async def _serve_port(self, app: AdminApp, bind: str) -> None:
        await serve_http(
            app,
            bind=bind,
            stop=self.lifecycle.wait_ended,
            graceful_seconds=GRACE_AFTER_DRAIN_SECONDS,
        )

    def _admin(self, inner: Application, *, metrics: QueryMetrics | None) -> AdminApp:
        return AdminApp(
            inner=inner,
            readiness=self._not_ready_reason,
            lifecycle=self.lifecycle,
            clock=self.clock,
            metrics=metrics,
        )

    def _not_ready_reason(self) -> str | None:
        reason = self.fleet.not_ready_reason()
        if reason is None and not self.path.backends.is_warmed_up():
            return CONNECTING
        return reason

    def _caller_app(self) -> CallerApp:
        settings = self.settings
        return CallerApp(
            chain=self.path.chain(self._route),
            document=self.fleet.document,
            mint_key=self.path.owned_keys.mint,
            lifecycle=self.lifecycle,
            tracing=self.path.tracing,
            metrics=self.metrics,
            clock=self.clock,
            body_max_bytes=settings.request_body_max_bytes,
        )

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as group:
                async for number in signals:
                    log_event("signal_received", signal=number.name)
                    if not self.lifecycle.draining:
                        self._start_drain(group)

    def _start_drain(self, group: TaskGroup) -> None:
        self.fleet.leave()
        self.lifecycle.begin_drain()
        group.start_soon(self.lifecycle.drain)
