"""The gateway process: assembly, timers and signals."""

import asyncio
import gc
import random
import signal
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Final

from attrs import define, field

from bronzebeam.findings import FindingsError
from bronzebeam.gateway.admission import Admission
from bronzebeam.gateway.change_feed import FEED_PATH, ChangeFeed, ChangeFeedServer
from bronzebeam.gateway.change_log import ChangeLog
from bronzebeam.gateway.connection_pool import ConnectionPool
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.dialect import HeaderCodec
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.gateway_metrics import GatewayMetrics
from bronzebeam.gateway.peer_codec import DELEGATION_HEADER
from bronzebeam.gateway.peer_gathers import DelegationRequestHandler
from bronzebeam.gateway.planned_stop import PlannedStop
from bronzebeam.gateway.readiness import Readiness
from bronzebeam.gateway.records import GatewayStore, InstanceRecord
from bronzebeam.gateway.router import Router
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.gateway.store_watch import Registration, StoreWatch
from bronzebeam.gateway.suspect_reports import SuspectReporter
from bronzebeam.socket_address import SocketAddress
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.telemetry.metrics import CONTENT_TYPE
from bronzebeam.transport.caller_connection import CallerServer
from bronzebeam.transport.caller_request import CallerRequest
from bronzebeam.transport.http_reply import ClientConnection
from bronzebeam.units import MS_PER_SECOND

TICK_SECONDS: Final = 0.25  # log lines and replacements of connections wait this long
BACKLOG: Final = 1_024  # a full queue costs a caller seconds
RESTART_SECONDS: Final = 0.5  # before a task that failed is run again
METRICS_PATH: Final = b"/metrics"
SLOW_TICKS: Final = 4  # of each so many turns one looks at callers and settings
FIRST_FREEZE_TICKS: Final = 8

MakeStore = Callable[[GatewaySettings, DecisionLog], GatewayStore]
ReadSettings = Callable[[], GatewaySettings]


async def open_connection(
    *, host: str, port: int, owner: ConnectionPool
) -> ClientConnection:
    """Open a connection to a backend server or a peer."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: ClientConnection(owner=owner, loop=loop), host, port
    )
    return connection


@define(kw_only=True, eq=False, repr=False)
class Gateway:
    """
    One gateway process.

    :ivar callers_socket: listens for callers already; None if it does not.
    :ivar read_settings: reads the settings anew; raises `FindingsError`.
    :ivar rng: source of every random choice of the process.
    :ivar settings_stamp: returns another number once the settings have changed; 0
        if that is not known at the moment.
    :ivar background_tasks: run as long as the process.
    :ivar make_store: makes the client of the platform's store.
    """

    settings: GatewaySettings
    callers_socket: socket.socket | None
    read_settings: ReadSettings
    settings_stamp: Callable[[], int]
    make_store: MakeStore
    header_codec: HeaderCodec
    log: DecisionLog
    rng: random.Random = field(factory=random.Random)
    metrics: GatewayMetrics = field(factory=GatewayMetrics)
    _loop: asyncio.AbstractEventLoop = field(init=False)
    _state: FleetState = field(init=False)
    _server: CallerServer = field(init=False)
    _peer_server: CallerServer = field(init=False)
    _delegation_handler: DelegationRequestHandler = field(init=False)
    _readiness: Readiness = field(init=False)
    _suspects: SuspectReporter = field(init=False)
    _watch: StoreWatch = field(init=False)
    _changes: ChangeLog = field(factory=ChangeLog, init=False)
    _feed_server: ChangeFeedServer = field(init=False)
    _stop: asyncio.Event = field(init=False)
    background_tasks: list[asyncio.Task[None]] = field(factory=list, init=False)
    _store: GatewayStore = field(init=False)
    _stamp: int = 0
    _ticks: int = 0

    async def run(self) -> int:
        """Serve until a planned stop has ended; return the exit code."""
        self._loop = loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        self.log.event("started")
        self._stamp = self.settings_stamp()
        self._store = store = self._build()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._watch = watch = StoreWatch(
            store=store,
            state=self._state,
            loop=loop,
            log=self.log,
            rng=self.rng,
            changes=self._changes,
            feed=ChangeFeed(
                change_bound_seconds=self.settings.change_bound_seconds,
                instance=self.settings.instance,
                own_domain=self.settings.failure_domain,
                peers=self._state.peers,
                log=self.log,
                rng=self.rng,
                loop=loop,
            ),
        )
        registration = Registration(
            store=store,
            record=self._own_record(),
            log=self.log,
            rng=self.rng,
            lease_min_seconds=self.settings.lease_min_ms / MS_PER_SECOND,
        )
        registering = loop.create_task(
            self._keep_running("registration", registration.run)
        )
        self.background_tasks = [
            registering,
            loop.create_task(self._keep_running("store_watch", watch.run)),
            loop.create_task(self._keep_running("timers", self._tick_forever)),
            loop.create_task(
                self._keep_running("suspects", lambda: self._suspects.run(store))
            ),
        ]
        await self._listen()
        await self._stop.wait()
        stop = PlannedStop(
            servers=(self._server, self._peer_server),
            loop=loop,
            log=self.log,
            bound_seconds=self.settings.stop_bound_seconds,
        )
        self._readiness.stopping = True
        self.background_tasks.append(loop.create_task(registration.end()))
        registering.cancel()
        exit_code = await stop.run()
        for task in self.background_tasks:
            task.cancel()
        store.close()
        watch.feed.close()
        self.log.event("ended", exit_code=exit_code)
        self.log.flush()
        return exit_code

    def _own_record(self) -> InstanceRecord:
        settings = self.settings
        listen = settings.peer_listen
        return InstanceRecord(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            host=listen.address if listen is not None else "",
            port=listen.port if listen is not None else 0,
            processor_cores=settings.processor_cores,
        )

    def _build(self) -> GatewayStore:
        settings = self.settings
        loop = self._loop
        self._state = FleetState(
            own_domain=settings.failure_domain,
            instance=settings.instance,
            loop=loop,
            connect=open_connection,
            log=self.log,
            limits=settings.repeats,
            rng=self.rng,
            started_at_seconds=loop.time(),
        )
        self._readiness = Readiness(state=self._state, loop=loop, log=self.log)
        self._suspects = SuspectReporter(
            instance=settings.instance,
            suspects=self._state.suspects,
            log=self.log,
            rng=self.rng,
        )
        context = GatewayContext(
            state=self._state,
            header_codec=self.header_codec,
            loop=loop,
            log=self.log,
            metrics=self.metrics,
            rng=self.rng,
            suspects=self._suspects,
        )
        router = Router(
            context=context,
            admission=Admission(rng=self.rng, log=self.log),
            started_at_seconds=loop.time(),
        )
        self._state.on_first_table = router.on_first_configuration
        self._server = CallerServer(handle=router.handle, loop=loop)
        self._delegation_handler = DelegationRequestHandler(context=context)
        self._feed_server = ChangeFeedServer(
            log=self._changes, following=self._is_following, loop=loop
        )
        self._peer_server = CallerServer(handle=self._answer_peer, loop=loop)
        return self.make_store(settings, self.log)

    async def _listen(self) -> None:
        settings = self.settings
        if self.callers_socket is not None:
            await self._loop.create_server(
                self._server.new_connection, sock=self.callers_socket, backlog=BACKLOG
            )
        else:
            await self._serve(self._server, settings.caller_listen)
        if settings.ready_listen is not None:
            readiness = CallerServer(handle=self._answer_internal, loop=self._loop)
            await self._serve(readiness, settings.ready_listen)
        if settings.peer_listen is not None:
            await self._serve(self._peer_server, settings.peer_listen)

    async def _serve(self, server: CallerServer, listen: SocketAddress) -> None:
        await self._loop.create_server(
            server.new_connection, listen.address, listen.port, backlog=BACKLOG
        )

    def _answer_peer(self, request: CallerRequest) -> None:
        if request.header(DELEGATION_HEADER):
            self._delegation_handler.handle(request)
        elif request.path == FEED_PATH:
            self._feed_server.handle(request)
        else:
            self._answer_internal(request)

    def _is_following(self) -> bool:
        # Peers that follow this instance are to turn elsewhere before it stops.
        return self._watch.following and not self._readiness.stopping

    def _answer_internal(self, request: CallerRequest) -> None:
        if request.path == self.settings.ready_path:
            reason = self._readiness.not_ready_reason()
            body = f"{reason or 'ready'}\n".encode()
            request.answer(status=503 if reason else 200, headers=[], body=body)
        elif request.path == METRICS_PATH:
            text = self.metrics.registry.render(now_seconds=self._loop.time())
            request.answer(
                status=200,
                headers=[(b"Content-Type", CONTENT_TYPE.encode())],
                body=text.encode(),
            )
        else:
            request.answer(status=404, headers=[], body=b"no such path\n")

    async def _keep_running(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task again if it ends by a fault of the program."""
        while True:
            try:
                await run()
            except Exception as error:
                self.log.event("task_failed", task=name, cause=repr(error))
            await asyncio.sleep(RESTART_SECONDS)

    async def _tick_forever(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        self._ticks += 1
        if self._ticks == FIRST_FREEZE_TICKS:
            # What start-up made lives on; collections need not visit it.
            gc.collect()
            gc.freeze()
        if self._state.table is not None:
            self._server.limits = self._state.table.limits
        self._state.maintain()
        if self._ticks % SLOW_TICKS == 0:
            self._server.close_overdue()
            self._look_at_settings()
        self.log.flush()

    def _look_at_settings(self) -> None:
        # The settings may change without a signal.
        stamp = self.settings_stamp()
        if stamp and stamp != self._stamp:
            self._reload()

    def _reload(self) -> None:
        self._stamp = self.settings_stamp()
        try:
            settings = self.read_settings()
        except FindingsError as error:
            self.log.event("reload_failed", cause=str(error))
            return
        earlier, self.settings = self.settings, settings
        self._state.take_limits(settings.repeats)
        if settings.store != earlier.store:
            self._store.redirect(settings.store)
        self.log.event("reloaded", changed=settings != earlier)
