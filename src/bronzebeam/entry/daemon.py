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
from bronzebeam.entry.backend_updater import BackendUpdater
from bronzebeam.entry.caller_app import CallerApp
from bronzebeam.entry.fleet_controllers import FleetControllers, build_fleet_controllers
from bronzebeam.entry.forwarding import ForwardedRequestHandler
from bronzebeam.entry.garbage_collection import freeze_heap_when_ready
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.entry.request_pipeline import (
    FeatureSwitches,
    RequestPipeline,
    create_peer_client,
)
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

SERVER_CLOSE_TIMEOUT_SECONDS: Final = 1.0
FLUSH_CLAIMS_TIMEOUT_SECONDS: Final = 2.0
CONNECTING_REASON: Final = "connecting_to_backend_servers"
NS_PER_MS: Final = 1_000_000


@define(kw_only=True, eq=False)
class EntryDaemon:
    """Runs one entry: its controllers, request pipeline and servers."""

    settings: EntrySettings
    features: FeatureSwitches = field(factory=FeatureSwitches)
    clock: SystemClock = field(factory=SystemClock, init=False)
    rng: random.Random = field(factory=random.Random, init=False)
    lifecycle: Lifecycle = field(init=False)
    metrics: QueryMetrics = field(factory=QueryMetrics, init=False)
    pipeline: RequestPipeline = field(init=False)
    fleet: FleetControllers = field(init=False)
    _store: HttpStore = field(init=False)
    _owner_route: HttpOwnerRoute = field(init=False)

    async def run(self) -> int:
        """
        Serve until a graceful shutdown is complete; return the exit code.

        :returns: 0, or 1 if requests were still in flight at the shutdown timeout.
        """
        settings = self.settings
        self.lifecycle = Lifecycle(
            drain_settings=settings.drain,
            clock=self.clock,
            close_seconds=SERVER_CLOSE_TIMEOUT_SECONDS + FLUSH_CLAIMS_TIMEOUT_SECONDS,
        )
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
            create_peer_client() as client,
        ):
            self._build(peers, instance_list)
            self._owner_route = HttpOwnerRoute(
                members=lambda: self.fleet.membership.view.records,
                client=client,
                clock=self.clock,
            )
            await self._serve()
        self.pipeline.tracing.close()
        await peers.aclose()
        return 1 if self.lifecycle.aborted_count else 0

    def _build(self, peers: HttpPeerClient, instance_list: HttpInstanceList) -> None:
        settings = self.settings
        incarnation = time.time_ns() // NS_PER_MS
        usage = CallerUsage(instance=settings.instance, clock=self.clock)
        instances = InstanceTopic(source=instance_list, clock=self.clock)
        self.pipeline = RequestPipeline(
            settings=settings,
            incarnation_id=incarnation_id(
                instance=settings.instance, incarnation=incarnation
            ),
            store=self._store,
            caller_usage=usage,
            clock=self.clock,
            rng=self.rng,
            tracing=Tracing(
                instance=settings.instance,
                sample_share=settings.trace_sample_share,
                log_spans=settings.log_spans,
            ),
            features=self.features,
        )
        self.fleet = build_fleet_controllers(
            settings=settings,
            incarnation=incarnation,
            store=self._store,
            instance_list=instances,
            peers=peers,
            topics=self._gossip_topics(usage, instances),
            traffic=self.metrics.traffic,
            clock=self.clock,
            rng=self.rng,
        )
        usage.live_entries = lambda: len(self.fleet.membership.view.members)
        self.pipeline.quarantine.publish = self.fleet.gossip.publish
        self.metrics.before_render = StateMetrics(
            registry=self.metrics.registry, fleet=self.fleet, pipeline=self.pipeline
        ).update
        store_view = self._store_view_topic()
        self.pipeline.claims.store_view.on_claims_lost = (
            lambda: self.fleet.gossip.publish(
                store_view_topic.TOPIC, store_view.digest()
            )
        )
        instances.membership = self.fleet.membership
        instances.publish = self.fleet.gossip.publish

    def _gossip_topics(
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
                topic=QuarantineTopic(controller=self.pipeline.quarantine),
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
        return StoreViewTopic(view=self.pipeline.claims.store_view)

    async def _serve(self) -> None:
        async with anyio.create_task_group() as group:
            self.fleet.start(group)
            self.pipeline.start(group)
            group.start_soon(
                BackendUpdater(fleet=self.fleet, backends=self.pipeline.backends).run
            )
            group.start_soon(self._handle_signals)
            group.start_soon(
                freeze_heap_when_ready, lambda: self._not_ready_reason() is None
            )
            log_event("entry_started", instance=self.settings.instance)
            await self._serve_ports()
            self.pipeline.owned_keys.close()
            with anyio.move_on_after(FLUSH_CLAIMS_TIMEOUT_SECONDS):
                await self.pipeline.claims.flush()
            group.cancel_scope.cancel()
        log_event("entry_ended", instance=self.settings.instance)

    async def _serve_ports(self) -> None:
        forward_handler = ForwardedRequestHandler(
            chain=self.pipeline.build_filter_chain(None),
            active_document=self.fleet.active_document,
            lifecycle=self.lifecycle,
            clock=self.clock,
        )
        self.fleet.peer_app.routes[("POST", FORWARD_PATH)] = forward_handler.handle
        caller_app = self._with_admin_endpoints(self._build_caller_app(), metrics=None)
        peer_app = self._with_admin_endpoints(self.fleet.peer_app, metrics=self.metrics)
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
            shutdown_trigger=self.lifecycle.wait_until_ended,
            graceful_timeout_seconds=SERVER_CLOSE_TIMEOUT_SECONDS,
        )

    def _with_admin_endpoints(
        self, inner: Application, *, metrics: QueryMetrics | None
    ) -> AdminApp:
        return AdminApp(
            app=inner,
            check_readiness=self._not_ready_reason,
            lifecycle=self.lifecycle,
            clock=self.clock,
            metrics=metrics,
        )

    def _not_ready_reason(self) -> str | None:
        reason = self.fleet.not_ready_reason()
        if reason is None and not self.pipeline.backends.is_warmed_up():
            return CONNECTING_REASON
        return reason

    def _build_caller_app(self) -> CallerApp:
        settings = self.settings
        return CallerApp(
            chain=self.pipeline.build_filter_chain(self._owner_route),
            active_document=self.fleet.active_document,
            mint_key=self.pipeline.owned_keys.mint,
            lifecycle=self.lifecycle,
            tracing=self.pipeline.tracing,
            metrics=self.metrics,
            clock=self.clock,
            body_max_bytes=settings.request_body_max_bytes,
        )

    async def _handle_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as group:
                async for number in signals:
                    log_event("signal_received", signal=number.name)
                    if not self.lifecycle.is_draining:
                        self._start_shutdown(group)

    def _start_shutdown(self, group: TaskGroup) -> None:
        self.fleet.leave()
        self.lifecycle.mark_draining()
        group.start_soon(self.lifecycle.drain)
