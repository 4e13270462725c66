"""The entry daemon: one process on each entry instance."""

import random
import signal
import time
from typing import Final

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from bronzebeam.clock import SystemClock
from bronzebeam.controllers.backends import Backends
from bronzebeam.controllers.extra_work import ServiceBudgets
from bronzebeam.entry.admin_app import AdminApp
from bronzebeam.entry.caller_app import CallerApp
from bronzebeam.entry.fleet import Fleet, build_fleet
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.entry.relay import Relay
from bronzebeam.entry.server import Application, serve_http
from bronzebeam.filters.call import CallHandler
from bronzebeam.filters.chain import CallerRequest, Handler, build_chain
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.filters.policy import NoKillerWatch
from bronzebeam.filters.search import SearchHandler
from bronzebeam.outcomes import Outcome
from bronzebeam.settings import EntrySettings
from bronzebeam.telemetry.logs import log_event
from bronzebeam.telemetry.query_metrics import QueryMetrics
from bronzebeam.telemetry.traces import Tracing
from bronzebeam.transport.channel import HttpcoreChannelFactory
from bronzebeam.transport.instance_list import HttpInstanceList
from bronzebeam.transport.peer import HttpPeerClient
from bronzebeam.transport.store_http import HttpStore

GRACE_AFTER_DRAIN_SECONDS: Final = 1.0
MS_PER_SECOND: Final = 1_000


@define(kw_only=True, eq=False)
class Entry:
    """
    One entry: its controllers, request path and servers.

    :ivar hedging: False switches hedges off, as the baseline of an experiment.
    """

    settings: EntrySettings
    hedging: bool = True
    clock: SystemClock = field(factory=SystemClock, init=False)
    rng: random.Random = field(factory=random.Random, init=False)
    lifecycle: Lifecycle = field(init=False)
    metrics: QueryMetrics = field(factory=QueryMetrics, init=False)
    backends: Backends = field(init=False)
    fleet: Fleet = field(init=False)

    async def run(self) -> int:
        """
        Serve until a planned stop has ended; return the exit code.

        :returns: 0, or 1 if requests were still in flight at the bound of the stop.
        """
        settings = self.settings
        self.lifecycle = Lifecycle(drain_settings=settings.drain, clock=self.clock)
        self.backends = Backends(clock=self.clock, channels=HttpcoreChannelFactory())
        peers = HttpPeerClient()
        async with (
            HttpStore(
                base_url=settings.store_url,
                call_seconds=settings.store_timeout_ms / MS_PER_SECOND,
            ) as store,
            HttpInstanceList(base_url=settings.instance_list_url) as instance_list,
        ):
            self.fleet = build_fleet(
                settings=settings,
                incarnation=time.time_ns() // 1_000_000,
                store=store,
                instance_list=instance_list,
                peers=peers,
                topics=(),
                clock=self.clock,
                rng=self.rng,
            )
            await self._serve()
        await peers.aclose()
        return 1 if self.lifecycle.cut_off else 0

    async def _serve(self) -> None:
        async with anyio.create_task_group() as group:
            self.fleet.start(group)
            group.start_soon(self.backends.run)
            group.start_soon(Relay(fleet=self.fleet, backends=self.backends).run)
            group.start_soon(self._watch_signals)
            log_event("entry_started", instance=self.settings.instance)
            await self._serve_ports(group)
            group.cancel_scope.cancel()
        log_event("entry_ended", instance=self.settings.instance)

    async def _serve_ports(self, outer: TaskGroup) -> None:
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
            readiness=self.fleet.not_ready_reason,
            lifecycle=self.lifecycle,
            clock=self.clock,
            metrics=metrics,
        )

    def _caller_app(self) -> CallerApp:
        settings = self.settings
        return CallerApp(
            chain=self._chain(),
            document=self.fleet.document,
            lifecycle=self.lifecycle,
            tracing=Tracing(
                instance=settings.instance,
                sample_share=settings.trace_sample_share,
                log_spans=settings.log_spans,
            ),
            metrics=self.metrics,
            clock=self.clock,
            body_max_bytes=settings.request_body_max_bytes,
        )

    def _chain(self) -> Handler:
        dispatcher = Dispatcher(
            reach=self.backends,
            extra=ServiceBudgets(hedging=self.hedging),
            killers=NoKillerWatch(),
            clock=self.clock,
            rng=self.rng,
            failure_domain=self.settings.failure_domain,
        )
        search = SearchHandler(dispatcher=dispatcher)
        call = CallHandler(dispatcher=dispatcher)

        async def answer(request: CallerRequest) -> Outcome:
            handler = search if request.operation is None else call
            return await handler.handle(request)

        return build_chain((), answer)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as group:
                async for number in signals:
                    log_event("signal_received", signal=number.name)
                    if not self.lifecycle.draining:
                        self.fleet.leave()
                        group.start_soon(self.lifecycle.drain)
                        await anyio.lowlevel.checkpoint()
