"""The gateway process: wiring, periodic tasks and signal handling."""

import asyncio
import gc
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

from attrs import define, field

from bronzebeam.findings import FindingsError
from bronzebeam.gateway.admission import Admission
from bronzebeam.gateway.boot_clock import boot_seconds
from bronzebeam.gateway.caller_connection_limit import (
    CALLER_SHARE,
    PEER_SHARE,
    READINESS_SHARE,
    CallerConnectionLimit,
    CallerMemoryLog,
)
from bronzebeam.gateway.change_feed import FEED_PATH, ChangeFeedClient, ChangeFeedServer
from bronzebeam.gateway.change_log import ChangeLog
from bronzebeam.gateway.connection_pool import ConnectionPool
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.crash_query import CRASHES_PATH, CrashQueryHandler
from bronzebeam.gateway.delegation_handler import DelegationRequestHandler
from bronzebeam.gateway.explained_admission import AdmissionExplainer
from bronzebeam.gateway.explained_quota import QuotaExplainer
from bronzebeam.gateway.explanation import EXPLAIN_PATH, Explainer
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.gateway_metrics import GatewayMetrics
from bronzebeam.gateway.graceful_shutdown import (
    LOAD_BALANCER_DELAY_SECONDS,
    GracefulShutdown,
)
from bronzebeam.gateway.header_codec import HeaderCodec
from bronzebeam.gateway.listening import ACCEPT_BATCH, Port, PortOpener
from bronzebeam.gateway.peer_codec import DELEGATION_HEADER, RELAY_HEADER
from bronzebeam.gateway.peer_configuration import (
    CONFIGURATION_PATH,
    PeerConfigurations,
    answer_configuration_request,
)
from bronzebeam.gateway.quota_asker import QuotaAsker
from bronzebeam.gateway.quota_gate import QuotaGate
from bronzebeam.gateway.quota_introduction import QuotaIntroduction
from bronzebeam.gateway.quota_message import QUOTA_PATH
from bronzebeam.gateway.readiness import Readiness
from bronzebeam.gateway.records import GatewayStore, InstanceRecord
from bronzebeam.gateway.relay_handler import RelayRequestHandler
from bronzebeam.gateway.router import Router
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.gateway.start_phase import StartPhase
from bronzebeam.gateway.store_watch import (
    LEASE_SECONDS,
    InstanceRegistration,
    StoreWatch,
)
from bronzebeam.gateway.suspect_reports import SuspectReporter
from bronzebeam.routing.last_use import LastUsePolicy
from bronzebeam.routing.quota_members import RegistrationTimes
from bronzebeam.socket_address import SocketAddress
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.telemetry.metrics import CONTENT_TYPE
from bronzebeam.telemetry.process_resources import ProcessResources
from bronzebeam.telemetry.unhandled_errors import UnhandledErrors
from bronzebeam.transport.caller_connection import CallerServer
from bronzebeam.transport.caller_memory import CallerMemory
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_reply import ClientConnection, ReplyMemory
from bronzebeam.transport.stall_clock import StallClock
from bronzebeam.units import MS_PER_SECOND

# Log lines are written, and lost connections replaced, with at most this delay.
TICK_INTERVAL_SECONDS: Final = 0.25
TASK_RESTART_DELAY_SECONDS: Final = 0.5
METRICS_PATH: Final = b"/metrics"
TICKS_PER_SLOW_CHECK: Final = 4  # ticks between checks of idle callers and settings
TICKS_PER_RESOURCE_CHECK: Final = 20  # listing all descriptors takes milliseconds
GC_FREEZE_TICK: Final = 8
QUEUED_CALLERS_SECONDS: Final = 0.1  # to accept those that connected during the start

StoreFactory = Callable[[GatewaySettings, DecisionLog], GatewayStore]
SettingsReader = Callable[[], GatewaySettings]


async def open_connection(
    *, host: str, port: int, owner: ConnectionPool
) -> ClientConnection:
    """Open a connection to a backend server or a peer."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: ClientConnection(
            owner=owner, loop=loop, reply_memory=owner.reply_memory
        ),
        host,
        port,
    )
    return connection


@define(kw_only=True, eq=False, repr=False)
class Gateway:
    """
    The gateway process.

    :ivar start: what happened before the event loop runs.
    :ivar read_settings: loads the settings again; raises `FindingsError`.
    :ivar loaded_settings_version: number of the settings; 0 if it is unknown.
    :ivar settings_version: returns a number that changes with the settings; 0 if it
        is unknown at present.
    :ivar create_store: creates the client of the platform's store.
    :ivar rng: source of all random choices of the process.
    :ivar boot_seconds: a clock that goes on while the process is suspended.
    :ivar reply_memory: for the replies of replicas, peers and the store.
    :ivar background_tasks: tasks that run until the process ends.
    """

    settings: GatewaySettings
    read_settings: SettingsReader
    settings_version: Callable[[], int]
    create_store: StoreFactory
    header_codec: HeaderCodec
    log: DecisionLog
    start: StartPhase = field(factory=StartPhase)
    loaded_settings_version: int = 0
    rng: random.Random = field(factory=random.Random)
    metrics: GatewayMetrics = field(factory=GatewayMetrics)
    boot_seconds: Callable[[], float] = boot_seconds
    reply_memory: ReplyMemory = field(factory=ReplyMemory)
    _loop: asyncio.AbstractEventLoop = field(init=False)
    _state: FleetState = field(init=False)
    _caller_server: CallerServer = field(init=False)
    _peer_server: CallerServer = field(init=False)
    _ready_server: CallerServer = field(init=False)
    _delegation_handler: DelegationRequestHandler = field(init=False)
    _relay_handler: RelayRequestHandler = field(init=False)
    _crash_query_handler: CrashQueryHandler = field(init=False)
    _quotas: QuotaGate = field(init=False)
    _introduction: QuotaIntroduction = field(init=False)
    _registration_times: RegistrationTimes = field(init=False)
    _explainer: Explainer = field(init=False)
    _readiness: Readiness = field(init=False)
    _suspect_reporter: SuspectReporter = field(init=False)
    _store_watch: StoreWatch = field(init=False)
    _change_log: ChangeLog = field(factory=ChangeLog, init=False)
    _feed_server: ChangeFeedServer = field(init=False)
    _stop_requested: asyncio.Event = field(init=False)
    _stop_requested_at_seconds: float = field(init=False)
    background_tasks: list[asyncio.Task[None]] = field(factory=list, init=False)
    _store: GatewayStore = field(init=False)
    _ticks: int = 0
    _reload_requested: bool = False
    _awaited_settings_version: int | None = None
    _ports: PortOpener = field(init=False)
    _ports_open: asyncio.Event = field(factory=asyncio.Event, init=False)
    _context: GatewayContext = field(init=False)
    _stall_clock: StallClock = field(init=False)
    _resources: ProcessResources = field(init=False)
    _connection_limits: list[CallerConnectionLimit] = field(init=False)
    _memory_log: CallerMemoryLog = field(init=False)

    async def run(self) -> int:
        """Serve until a graceful shutdown is complete; return the exit code."""
        self._loop = loop = asyncio.get_running_loop()
        errors = UnhandledErrors(log=self.log, count=self.metrics.process.count_error)
        loop.set_exception_handler(errors.handle)
        self._stop_requested = asyncio.Event()
        start_ms = round(MS_PER_SECOND * self.start.elapsed_seconds())
        self.log.event("started", start_ms=start_ms)
        self.log.flush()
        if not self.loaded_settings_version:
            self.loaded_settings_version = self.settings_version()
        self._store = store = self._build_components()
        loop.add_signal_handler(signal.SIGTERM, self._request_stop)
        loop.add_signal_handler(signal.SIGINT, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._request_reload)
        if self.start.stop_requested_at_seconds is not None:
            self._stop_requested_at_seconds = self.start.stop_requested_at_seconds
            self._stop_requested.set()
        self._store_watch = watch = StoreWatch(
            store=store,
            state=self._state,
            loop=loop,
            log=self.log,
            rng=self.rng,
            change_log=self._change_log,
            change_bound_seconds=self.settings.change_bound_seconds,
            peer_configurations=PeerConfigurations(
                instance=self.settings.instance,
                log=self.log,
                rng=self.rng,
                reply_memory=self.reply_memory,
            ),
            feed=ChangeFeedClient(
                change_bound_seconds=self.settings.change_bound_seconds,
                instance=self.settings.instance,
                own_domain=self.settings.failure_domain,
                peers=self._state.peers,
                log=self.log,
                rng=self.rng,
                loop=loop,
            ),
        )
        registration = InstanceRegistration(
            store=store,
            record=self._instance_record(),
            log=self.log,
            rng=self.rng,
            times=self._registration_times,
            boot_seconds=self.boot_seconds,
        )
        self._state.on_quotas = registration.on_quotas
        self._state.on_own_removal = registration.on_removed
        self._state.on_reach_change = registration.set_reaches_replicas
        if not self._stop_requested.is_set():
            self._start_background_tasks(registration)
        await self._listen_until_stop()
        shutdown = GracefulShutdown(
            servers=(self._caller_server, self._peer_server),
            listeners=self._ports.listeners,
            set_answer_by=self._set_answer_by,
            loop=loop,
            log=self.log,
            timeout_seconds=self.settings.stop_bound_seconds,
            requested_at_seconds=self._stop_requested_at_seconds,
            boot_seconds=self.boot_seconds,
            # Nobody was sent to an instance that has not opened all its ports.
            routed_seconds=(
                LOAD_BALANCER_DELAY_SECONDS
                if self._ports_open.is_set()
                else QUEUED_CALLERS_SECONDS
            ),
        )
        self._readiness.stopping = True
        # The first one, if any, is the registration.
        for task in self.background_tasks[:1]:
            task.cancel()
        self.background_tasks.append(loop.create_task(registration.deregister()))
        exit_code = await shutdown.run()
        for task in self.background_tasks:
            task.cancel()
        store.close()
        watch.feed.close()
        self.log.event("ended", exit_code=exit_code)
        self.log.flush()
        return exit_code

    def _start_background_tasks(self, registration: InstanceRegistration) -> None:
        store, reporter = self._store, self._suspect_reporter

        def start(name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
            task = self._loop.create_task(self._run_with_restarts(name, run))
            self.background_tasks.append(task)

        start("registration", lambda: self._register(registration))
        start("store_watch", self._store_watch.run)
        start("timers", self._run_ticks)
        start("suspects", lambda: reporter.run(store))
        start(
            "suspects_after_restorations",
            lambda: reporter.repeat_after_restorations(store),
        )

    def _request_stop(self) -> None:
        """Start the shutdown; the signal may have come at any time during a pause."""
        if self._stop_requested.is_set():
            return
        paused_seconds = self._stall_clock.seconds_since_beat() - TICK_INTERVAL_SECONDS
        self._stop_requested_at_seconds = self.boot_seconds() - max(0.0, paused_seconds)
        self._stop_requested.set()

    def _set_answer_by(self, answer_by_seconds: float) -> None:
        self._context.answer_by_seconds = answer_by_seconds

    def _instance_record(self) -> InstanceRecord:
        settings = self.settings
        listen = settings.peer_listen
        return InstanceRecord(
            instance=settings.instance,
            failure_domain=settings.failure_domain,
            host=listen.address if listen is not None else "",
            port=listen.port if listen is not None else 0,
            processor_cores=settings.processor_cores,
        )

    def _build_components(self) -> GatewayStore:
        settings = self.settings
        loop = self._loop
        self._resources = ProcessResources(
            log=self.log,
            max_bytes=settings.memory_limit_bytes,
            max_descriptors=settings.descriptor_limit,
        )
        self._state = FleetState(
            own_domain=settings.failure_domain,
            instance=settings.instance,
            loop=loop,
            connect=open_connection,
            reply_memory=self.reply_memory,
            log=self.log,
            limits=settings.repeats,
            rng=self.rng,
            boot_seconds=self.boot_seconds,
            started_at_seconds=loop.time(),
            registration_timeout_seconds=settings.registration_timeout_seconds,
            cold_tolerance=settings.cold_tolerance,
            regions=settings.regions,
            last_use=LastUsePolicy(drain_seconds=settings.drain_bound_seconds),
        )
        self._readiness = Readiness(state=self._state, loop=loop, log=self.log)
        self._ports = PortOpener(loop=loop, log=self.log)
        self._suspect_reporter = SuspectReporter(
            instance=settings.instance,
            suspects=self._state.suspects,
            log=self.log,
            rng=self.rng,
        )
        self._context = context = GatewayContext(
            state=self._state,
            header_codec=self.header_codec,
            loop=loop,
            log=self.log,
            metrics=self.metrics,
            rng=self.rng,
            suspect_reporter=self._suspect_reporter,
            link_bits_per_second=settings.link_bits_per_second,
        )
        self._registration_times = RegistrationTimes(
            lease_seconds=max(LEASE_SECONDS, settings.lease_min_ms / MS_PER_SECOND)
        )
        self._quotas = QuotaGate(
            context=context,
            asker=QuotaAsker(
                state=self._state,
                registration=self._registration_times,
                tolerance=settings.quota_tolerance,
                rng=self.rng,
                boot_seconds=self.boot_seconds,
                count_ask=self.metrics.quotas.count_asked,
            ),
        )
        admission = Admission(rng=self.rng, log=self.log)
        self._introduction = QuotaIntroduction(
            state=self._state,
            registration=self._registration_times,
            boot_seconds=self.boot_seconds,
        )
        router = Router(
            context=context,
            admission=admission,
            quotas=self._quotas,
            started_at_seconds=loop.time(),
            configuration_bound_seconds=settings.configuration_bound_seconds,
        )
        self._explainer = Explainer(
            context=context,
            quota=QuotaExplainer(asker=self._quotas.asker),
            room=AdmissionExplainer(
                admission=admission, competing=router.competing_admission
            ),
            configuration_bound_seconds=settings.configuration_bound_seconds,
        )
        self._state.on_first_configuration = router.on_first_configuration
        self._stall_clock = StallClock(boot_seconds=self.boot_seconds)
        memory = CallerMemory.for_process(settings.memory_limit_bytes)
        self._memory_log = CallerMemoryLog(memory=memory, log=self.log)
        self._caller_server = CallerServer(
            handle=router.handle,
            loop=loop,
            stall_clock=self._stall_clock,
            memory=memory,
        )
        self._delegation_handler = DelegationRequestHandler(context=context)
        self._relay_handler = RelayRequestHandler(context=context)
        self._crash_query_handler = CrashQueryHandler(context=context)
        self._change_log.all_records = self._state.all_records
        self._feed_server = ChangeFeedServer(
            change_log=self._change_log, can_serve=self._can_serve_changes, loop=loop
        )
        self._peer_server = CallerServer(
            handle=self._handle_peer_request,
            loop=loop,
            stall_clock=self._stall_clock,
            memory=memory,
        )
        self._ready_server = CallerServer(
            handle=self._handle_internal_request, loop=loop, memory=memory
        )
        self._connection_limits = [
            CallerConnectionLimit(
                port=port,
                share=share,
                server=server,
                resources=self._resources,
                log=self.log,
            )
            for port, share, server in (
                ("callers", CALLER_SHARE, self._caller_server),
                ("peers", PEER_SHARE, self._peer_server),
                ("ready", READINESS_SHARE, self._ready_server),
            )
        ]
        return self.create_store(settings, self.log)

    async def _listen_until_stop(self) -> None:
        """
        Open all ports, and serve until a stop is requested.

        Peers and the load balancer are sent here only once all ports are open: until
        then another process may listen on one of them. If the stop was requested during
        the start, only callers that wait already are accepted.
        """
        ports = self._all_ports()
        if self._stop_requested.is_set():
            if self.start.caller_socket is not None:
                await self._ports.open_available(ports[:1])
            return
        awaited_ports = await self._ports.open_available(ports)
        if awaited_ports:
            stop = asyncio.ensure_future(self._stop_requested.wait())
            opening = asyncio.ensure_future(self._ports.open_awaited(awaited_ports))
            try:
                await asyncio.wait((opening, stop), return_when=asyncio.FIRST_COMPLETED)
                if not opening.done():
                    return
                opening.result()
            finally:
                opening.cancel()
                stop.cancel()
        self._readiness.listening = True
        self._ports_open.set()
        await self._stop_requested.wait()

    async def _register(self, registration: InstanceRegistration) -> None:
        await self._ports_open.wait()
        await registration.run()

    def _all_ports(self) -> list[Port]:
        settings = self.settings
        ports = [self._port("callers", self._caller_server, settings.caller_listen)]
        if (caller_socket := self.start.caller_socket) is not None:
            ports[0].listen = lambda: self._loop.create_server(
                self._caller_server.new_connection,
                sock=caller_socket,
                backlog=ACCEPT_BATCH,
            )
        if settings.ready_listen is not None:
            ports.append(self._port("ready", self._ready_server, settings.ready_listen))
        if settings.peer_listen is not None:
            ports.append(self._port("peers", self._peer_server, settings.peer_listen))
        return ports

    def _port(self, name: str, server: CallerServer, address: SocketAddress) -> Port:
        return Port(
            name=name,
            address=address,
            listen=lambda: self._loop.create_server(
                server.new_connection,
                address.address,
                address.port,
                backlog=ACCEPT_BATCH,
            ),
        )

    def _handle_peer_request(self, request: HttpRequest) -> None:
        if request.header(DELEGATION_HEADER):
            self._delegation_handler.handle(request)
        elif request.header(RELAY_HEADER):
            self._relay_handler.handle(request)
        elif request.path == QUOTA_PATH:
            self._quotas.handle_message(request)
        elif request.path == CRASHES_PATH:
            self._crash_query_handler.handle(request)
        elif request.path == FEED_PATH:
            self._feed_server.handle(request)
        elif request.path == CONFIGURATION_PATH:
            answer_configuration_request(request, table=self._state.table)
        elif request.path == EXPLAIN_PATH:
            self._explainer.handle(request)
        else:
            self._handle_internal_request(request)

    def _can_serve_changes(self) -> bool:
        # Peers that read changes from this instance switch to another before it stops.
        return self._store_watch.is_up_to_date and not self._readiness.stopping

    def _handle_internal_request(self, request: HttpRequest) -> None:
        if request.path == self.settings.ready_path:
            reason = self._readiness.not_ready_reason()
            body = f"{reason or 'ready'}\n".encode()
            request.respond(status=503 if reason else 200, headers=[], body=body)
        elif request.path == METRICS_PATH:
            connected, known = self._state.replicas.connection_counts()
            self.metrics.set_replica_counts(
                connected=connected, unconnected=known - connected
            )
            self.metrics.set_malformed(self._store.malformed_count)
            self.metrics.set_evacuated(self._state.evacuations.counts())
            self.metrics.process.set_resources(
                self._resources,
                unfinished_reply_bytes=self.reply_memory.used_bytes,
                replies_given_up=self.reply_memory.given_up_count,
            )
            text = self.metrics.registry.render(now_seconds=self._loop.time())
            request.respond(
                status=200,
                headers=[(b"Content-Type", CONTENT_TYPE.encode())],
                body=text.encode(),
            )
        else:
            request.respond(status=404, headers=[], body=b"no such path\n")

    async def _run_with_restarts(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task; log an exception that it raises, and start it again."""
        while True:
            try:
                await run()
            except Exception as error:
                self.log.event("task_failed", task=name, cause=repr(error))
            await asyncio.sleep(TASK_RESTART_DELAY_SECONDS)

    async def _run_ticks(self) -> None:
        while True:
            try:
                self._tick()
            finally:
                # The log tells why a tick fails, also if each one does.
                self.log.flush()
            due_at_seconds = self._loop.time() + TICK_INTERVAL_SECONDS
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            delay_seconds = max(0.0, self._loop.time() - due_at_seconds)
            self.metrics.process.record_tick_delay(delay_seconds)

    def _tick(self) -> None:
        """
        Do all periodic work.

        :raises Exception: the first error, once all steps have been done.
        """
        self._ticks += 1
        errors: list[Exception] = []
        for step in (
            self._log_stall,
            self._check_served,
            self._reload_if_due,
            self._freeze_objects,
            self._apply_table,
            self._state.maintain,
            self._introduction.update,
            self._close_timed_out,
            self._check_resources,
        ):
            try:
                step()
            except Exception as error:
                errors.append(error)
        if errors:
            raise errors[0]

    def _check_served(self) -> None:
        self._context.served.check(self.log, self._loop.time())

    def _freeze_objects(self) -> None:
        if self._ticks == GC_FREEZE_TICK:
            # Objects created at start-up are permanent: exclude them from collections.
            gc.collect()
            gc.freeze()

    def _apply_table(self) -> None:
        if self._state.table is not None:
            self._caller_server.limits = self._state.table.limits
            self.metrics.set_table(self._state.table)

    def _close_timed_out(self) -> None:
        if self._ticks % TICKS_PER_SLOW_CHECK == 0:
            for server in (self._caller_server, self._peer_server, self._ready_server):
                server.close_timed_out()

    def _check_resources(self) -> None:
        # Not less often: memory can grow by hundreds of megabytes within a second.
        self._resources.check_memory(
            unfinished_reply_bytes=self.reply_memory.used_bytes
        )
        if self._ticks % TICKS_PER_RESOURCE_CHECK == 0:
            self._resources.check_descriptors()
            for limit in self._connection_limits:
                limit.update()
            self._memory_log.update()

    def _log_stall(self) -> None:
        stalled_seconds = self._stall_clock.stalled_seconds()
        if stalled_seconds:
            stalled_ms = round(stalled_seconds * MS_PER_SECOND)
            busy_seconds = self._stall_clock.busy_seconds_since_beat()
            self.log.event(
                "process_stalled",
                stalled_ms=stalled_ms,
                busy_ms=round(busy_seconds * MS_PER_SECOND),
            )
        self._stall_clock.beat()

    def _request_reload(self) -> None:
        version = self.settings_version()
        if version and version == self.loaded_settings_version:
            self._reload(version)
        else:
            self._reload_requested = True

    def _reload_if_due(self) -> None:
        """Read changed settings once they stay the same from one tick to the next."""
        if not self._reload_requested and self._ticks % TICKS_PER_SLOW_CHECK:
            return
        version = self.settings_version()
        # The settings may change without a SIGHUP.
        if version and version != self.loaded_settings_version:
            self._reload_requested = True
        if not self._reload_requested:
            return
        if version != self._awaited_settings_version:
            self._awaited_settings_version = version
            return
        self._reload_requested = False
        self._awaited_settings_version = None
        self._reload(version)

    def _reload(self, version: int) -> None:
        self.loaded_settings_version = version
        try:
            settings = self.read_settings()
        except FindingsError as error:
            self.log.event("reload_failed", cause=str(error))
            return
        previous, self.settings = self.settings, settings
        self._state.apply_limits(settings.repeats)
        self._state.cold.tolerance = settings.cold_tolerance
        self._state.regions = settings.regions
        if settings.store != previous.store:
            self._store.set_address(settings.store)
        self.log.event("reloaded", changed=settings != previous)
