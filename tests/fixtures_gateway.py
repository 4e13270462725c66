"""Cluster of gateways, stand-in replicas and a stand-in store, in virtual time."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, TypeVar

import httptools
import orjson
from attrs import define, field

from bronzebeam.gateway.daemon import Gateway
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.platform.gateway_main import create_store
from bronzebeam.platform.headers import PlatformHeaderCodec
from bronzebeam.platform.node_settings import parse_settings
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.http_reply import ReplyMemory
from tests.standin_replica import ATTEMPT_ID_HEADER, StandinReplica
from tests.standin_store import StandinStore
from tests.virtual_net import VirtualLoop, context_of_host, run_in_virtual_time

ResultT = TypeVar("ResultT")
CALLER_PORT = 8_104
READY_PORT = 8_108
PEER_PORT = 7_380
HOST = "app.example"
FAN_OUT_PATH = "/find/"
BOOKING_PATH = "/book/"
READ_PATH = "/read/"
BOOKING_SERVICE = "booking"
SETTLE_SECONDS = 3.0


@define(kw_only=True, eq=False)
class Response:
    """A response received by a caller."""

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed_seconds: float

    @property
    def signatures(self) -> list[str]:
        text = self.headers.get("x-bronzebeam-shard-signatures", "")
        return [item.strip() for item in text.split(",") if item.strip()]

    @property
    def missing(self) -> int:
        return int(self.headers.get("x-bronzebeam-missing-shards", "0"))


@define(kw_only=True, eq=False)
class Caller:
    """Asyncio protocol of a caller's connection."""

    loop: Any
    transport: Any = None
    ended: bool = False
    responses: "asyncio.Queue[Response | None]" = field(factory=asyncio.Queue)
    _parser: Any = None
    _headers: dict[str, str] = field(factory=dict)
    _body: bytes = b""
    _sent_at: float = 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._parser = httptools.HttpResponseParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        self.responses.put_nowait(None)

    def on_message_begin(self) -> None:
        self._headers, self._body = {}, b""

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self.responses.put_nowait(
            Response(
                status=self._parser.get_status_code(),
                headers=self._headers,
                body=self._body,
                elapsed_seconds=self.loop.time() - self._sent_at,
            )
        )

    def send(self, data: bytes) -> None:
        self._sent_at = self.loop.time()
        self.transport.write(data)


def encode_request(
    path: str,
    *,
    attempt_id: str = "a-1",
    method: str = "GET",
    body: bytes = b"",
    remaining_ms: float | None = 800.0,
    host: str = HOST,
    headers: dict[str, str] | None = None,
) -> bytes:
    fields = {"Host": host, ATTEMPT_ID_HEADER: attempt_id, **(headers or {})}
    if remaining_ms is not None:
        fields["X-Bronzebeam-Deadline-Remaining-Ms"] = str(int(remaining_ms))
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_route(name: str, prefix: str, **overrides: Any) -> dict[str, Any]:
    """Return a route in the format of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": "idempotent",
        "timeoutMs": 800,
        "targetLatencyMs": 90,
        "priority": 1,
        "maxAttempts": 2,
        **overrides,
    }


def make_settings_text(name: str, host: str, domain: str, **overrides: str) -> str:
    fields = {
        "nodeName": name,
        "ipAddress": host,
        "zone": domain,
        "region": "region-1",
        "listenAddresses.frontendAddress": f"{host}:{CALLER_PORT}",
        "listenAddresses.ready": f"{host}:{READY_PORT}",
        "internalPortRange": f"{PEER_PORT},{PEER_PORT + 15}",
        "bounds.gracePeriodS": "6",
        "bounds.retryBudgetRatio": "0.2",
        "bounds.budgetWindowS": "10",
        "bounds.retryBudgetSlack": "50",
        "platform.address": "10.200.0.1:8100",
        "platform.minTtlMs": "1000",
        **overrides,
    }
    return "".join(f"{key}={value}\n" for key, value in fields.items())


@define(kw_only=True, eq=False)
class RunningGateway:
    """
    A gateway of the cluster.

    :ivar written_lines: log lines written so far.
    :ivar task: runs the gateway; its result is the exit code.
    :ivar settings_text: its settings file; `settings_version` changes with it.
    :ivar suspended_seconds: for how long its machine has been suspended; the loop's
        clock does not count this time.
    """

    name: str
    host: str
    gateway: Gateway
    written_lines: list[str]
    task: "asyncio.Task[int]"
    settings_text: str
    settings_version: int = 1
    suspended_seconds: float = 0.0

    def log_lines(self, event: str) -> list[str]:
        """Return the log lines of one event, including those still buffered."""
        self.gateway.log.flush()
        return [line for line in self.written_lines if f" event={event} " in line]

    def stop(self) -> None:
        """Request a graceful shutdown, as SIGTERM does."""
        self.gateway._request_stop()

    def kill(self, cluster: "Cluster") -> None:
        """Kill the process, as SIGKILL does."""
        self.task.cancel()
        for task in self.gateway.background_tasks:
            task.cancel()
        for port in (CALLER_PORT, READY_PORT, PEER_PORT):
            cluster.loop.net.listeners.pop((self.host, port), None)
        cluster.loop.net.reset_connections(self.host)


@define(kw_only=True, eq=False)
class Cluster:
    """Gateways, replicas and the store on a virtual network."""

    loop: VirtualLoop
    store: StandinStore = field(init=False)
    replicas: dict[str, StandinReplica] = field(factory=dict)
    gateways: dict[str, RunningGateway] = field(factory=dict)
    routes: list[dict[str, Any]] = field(factory=list)
    version: int = 0
    _attempts: int = 0

    def __attrs_post_init__(self) -> None:
        self.store = StandinStore(loop=self.loop)
        self.store.listen()

    def add_replica(self, service: str, **overrides: Any) -> StandinReplica:
        number = len(self.replicas) + 1
        replica = StandinReplica(
            loop=self.loop,
            replica=f"i-{number}",
            service=service,
            host=f"10.1.0.{number}",
            **overrides,
        )
        replica.listen()
        self.replicas[replica.replica] = replica
        self.register(replica)
        return replica

    def register(self, replica: StandinReplica, **overrides: Any) -> None:
        self.store.put(f"servers/{replica.replica}", replica.store_record(**overrides))

    def unregister(self, replica: StandinReplica) -> None:
        self.store.remove(f"servers/{replica.replica}")

    def configure(self, *routes: dict[str, Any], **overrides: Any) -> None:
        """Write a new version of the configuration to the store."""
        self.version += 3
        self.routes = list(routes)
        services = {item.service for item in self.replicas.values()}
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": name, "healthPath": "/health", "connectionLimit": 25}
                for name in sorted(services)
            ],
            "limits": {
                "maxHeaderBytes": 4_096,
                "maxBodyBytes": 65_536,
                "headerTimeoutMs": 2_000,
                "idleTimeoutMs": 10_000,
            },
            **overrides,
        }
        self.store.put("op/config", document)

    def start_gateway(
        self, name: str, *, domain: str = "zone-a", **overrides: str
    ) -> RunningGateway:
        number = len(self.gateways) + 1
        known = self.gateways.get(name)
        host = known.host if known is not None else f"10.9.0.{number}"
        lines: list[str] = []

        def write(data: bytes) -> int:
            lines.extend(data.decode().splitlines())
            return len(data)

        def read() -> GatewaySettings:
            return parse_settings(running.settings_text, subject="test")

        def suspended_seconds() -> float:
            started = self.gateways.get(name)
            return 0.0 if started is None else started.suspended_seconds

        text = make_settings_text(name, host, domain, **overrides)
        settings = parse_settings(text, subject="test")
        reply_memory = ReplyMemory.of_process(settings.memory_limit_bytes)
        gateway = Gateway(
            settings=settings,
            read_settings=read,
            settings_version=lambda: running.settings_version,
            create_store=partial(create_store, reply_memory=reply_memory),
            reply_memory=reply_memory,
            header_codec=PlatformHeaderCodec(),
            log=DecisionLog(
                instance=name, write=write, monotonic_seconds=self.loop.time
            ),
            rng=random.Random(number),
            boot_seconds=lambda: self.loop.time() + suspended_seconds(),
        )
        task = self.loop.create_task(gateway.run(), context=context_of_host(host))
        running = RunningGateway(
            name=name,
            host=host,
            gateway=gateway,
            written_lines=lines,
            task=task,
            settings_text=text,
        )
        self.gateways[name] = running
        return running

    async def connect(
        self, gateway: RunningGateway, *, port: int = CALLER_PORT
    ) -> Caller:
        await asyncio.sleep(0.001)
        caller = Caller(loop=self.loop)
        self.loop.net.open_connection(lambda: caller, (gateway.host, port), "caller")
        return caller

    async def send_request(
        self, gateway: RunningGateway, path: str, **options: Any
    ) -> Response | None:
        """Send a request on a new connection; None if the connection was lost."""
        self._attempts += 1
        options.setdefault("attempt_id", f"a-{self._attempts}")
        caller = await self.connect(gateway)
        caller.send(encode_request(path, **options))
        async with asyncio.timeout(20.0):
            response = await caller.responses.get()
        caller.transport.close()
        return response

    async def is_ready(self, gateway: RunningGateway) -> bool:
        caller = await self.connect(gateway, port=READY_PORT)
        caller.send(encode_request("/ready", remaining_ms=None))
        response = await caller.responses.get()
        caller.transport.close()
        return response is not None and response.status == 200

    def run_count(self, attempt_id: str) -> int:
        """Return how often a request was run, over all replicas."""
        return sum(
            run.attempt_id == attempt_id
            for replica in self.replicas.values()
            for run in replica.runs
        )


def encode_record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def run_scenario(
    scenario: Callable[[Cluster], Coroutine[Any, Any, ResultT]],
) -> ResultT:
    """Run `scenario` with a new cluster, in virtual time."""

    async def main(loop: VirtualLoop) -> ResultT:
        return await scenario(Cluster(loop=loop))

    return run_in_virtual_time(main)


async def start_small_cluster(
    cluster: Cluster,
    *,
    gateway_settings: dict[str, str] | None = None,
    **route_overrides: Any,
) -> RunningGateway:
    """Start a gateway and two replicas of one service."""
    cluster.add_replica(BOOKING_SERVICE)
    cluster.add_replica(BOOKING_SERVICE)
    cluster.configure(
        make_route("r-read", READ_PATH, service=BOOKING_SERVICE),
        make_route(
            "r-book",
            BOOKING_PATH,
            service=BOOKING_SERVICE,
            routeKind="non_idempotent",
            **route_overrides,
        ),
    )
    gateway = cluster.start_gateway("g-1", **(gateway_settings or {}))
    await asyncio.sleep(SETTLE_SECONDS)
    return gateway


async def start_search_cluster(
    cluster: Cluster,
    *,
    shards: int = 4,
    domains: tuple[str, ...] = ("zone-a", "zone-a"),
    least: float = 0.75,
    top: int = 5,
    gateway_settings: dict[str, str] | None = None,
    **route_overrides: Any,
) -> RunningGateway:
    """Start a gateway, and a replica of each shard in each domain; it has 3 records."""
    names = [f"shard-{index}" for index in range(shards)]
    for index, name in enumerate(names):
        records = [encode_record(10 * index + offset) for offset in (3, 9, 1)]
        for domain in domains:
            cluster.add_replica(name, domain=domain, records=records)
    cluster.configure(
        make_route(
            "r-find",
            FAN_OUT_PATH,
            fanoutServices=names,
            topK=top,
            minShardFraction=least,
            **route_overrides,
        )
    )
    gateway = cluster.start_gateway("g-1", **(gateway_settings or {}))
    await asyncio.sleep(SETTLE_SECONDS)
    return gateway


def replicas_of_service(cluster: Cluster, service: str) -> list[StandinReplica]:
    return [item for item in cluster.replicas.values() if item.service == service]


def stored_configuration(cluster: Cluster) -> dict[str, Any]:
    value: dict[str, Any] = orjson.loads(cluster.store.items["op/config"].value)
    return value


async def check_work_stops_on_disconnect(
    cluster: Cluster, gateway: RunningGateway, *, runs_at_least: int
) -> None:
    """Check that replicas stop working on a search when its caller disconnects."""
    for replica in cluster.replicas.values():
        replica.work_seconds = 0.7
    caller = await cluster.connect(gateway)
    caller.send(encode_request(FAN_OUT_PATH, attempt_id="left-1"))
    await asyncio.sleep(0.02)
    caller.transport.close()
    await asyncio.sleep(0.1)
    runs = [run for item in cluster.replicas.values() for run in item.runs]
    assert len(runs) >= runs_at_least and all(run.aborted for run in runs)
