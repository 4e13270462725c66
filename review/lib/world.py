"""
Stand-ins of the platform, the replicas and the clients, and control of gateways.

Everything runs on loopback addresses and the real clock, with the standard library
only. The gateways are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "pupu76.example"
PAGE_ITEMS = 50  # the page size of the site file ("page = 50")
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now() -> float:
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to a file, with times in seconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start = now()

    def __call__(self, event: str, **fields) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.start:9.3f} {event} {text}".rstrip() + "\n")
        self.file.flush()


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


async def read_message(reader: asyncio.StreamReader):
    """Read one HTTP message; return its first line, headers and body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        try:
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                body += chunk[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, body


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """
    The platform's store.

    :ivar stale_lag_s: called for each read with `staleOk`; returns how many seconds
        old its answer is.
    """

    def __init__(self, record: Record, host: str = "127.0.0.1") -> None:
        self.record = record
        self.host, self.port = host, free_port(host)
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.log: list[tuple[float, int, str, dict | None]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.stale_lag_s = lambda query: 0.0
        self.calls = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.task = asyncio.ensure_future(self._expire())

    def put(self, key: str, value, lease: int = 0) -> int:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "createdRevision": old["createdRevision"] if old else self.revision,
            "leaseId": lease,
        }
        self.items[key] = item
        self._append(key, item)
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append(key, None)

    def _append(self, key: str, item: dict | None) -> None:
        self.log.append((now(), self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def as_of(self, at: float) -> tuple[int, dict[str, dict]]:
        """Return the revision and the items as they were at a time."""
        items, revision = {}, 1
        for when, number, key, item in self.log:
            if when > at:
                break
            revision = number
            if item is None:
                items.pop(key, None)
            else:
                items[key] = item
        return revision, items

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, ends) in list(self.leases.items()):
                if now() >= ends:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key, item in list(self.items.items()):
            if item["leaseId"] == lease:
                self.remove(key)

    async def _serve(self, reader, writer) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                method, target, _ = first.split(" ")
                parts = urlsplit(target)
                query = {
                    name: values[0]
                    for name, values in parse_qs(
                        parts.query, keep_blank_values=True
                    ).items()
                }
                self.calls += 1
                await asyncio.sleep(0.004)
                status, answer = await self._answer(method, parts.path, query, body)
                writer.write(
                    encode(
                        status,
                        {"Content-Type": "application/json"},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"atRevision": self.revision}
            return 200, {**item, "atRevision": self.revision}
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._txn(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = max(1_000.0, json.loads(body)["ttlMs"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_ms, now() + ttl_ms / 1_000.0)
            return 200, {"leaseId": self.next_lease, "ttlMs": ttl_ms}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][0]
        if path.startswith("/kv-keep/"):
            self.leases[lease] = (ttl_ms, now() + ttl_ms / 1_000.0)
            return 200, {"ttlMs": ttl_ms}
        self._end_lease(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> dict:
        revision, items = self.revision, self.items
        lag = 0.0
        if query.get("staleOk") == "1":
            lag = self.stale_lag_s(query)
            if lag > 0.0:
                revision, items = self.as_of(now() - lag)
        prefix, after = query["pathPrefix"], query.get("after", "")
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(items[key]["value"])
            if page and size > PAGE_BYTES:
                break
            page.append(items[key])
        if query.get("staleOk") == "1" and not prefix:
            self.record(
                "store_stale_read",
                after=after or "-",
                lag_s=lag,
                at_revision=revision,
                latest=self.revision,
                items=len(page),
            )
        return {
            "items": page,
            "hasMore": len(page) < len(keys),
            "atRevision": revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query["pathPrefix"]
        deadline = now() + min(30_000, int(query["waitTimeoutMs"])) / 1_000.0
        kept = [entry for entry in self.log if entry[0] > now() - HISTORY_S]
        oldest = kept[0][1] - 1 if kept else self.revision
        if after < oldest or after > self.revision:
            return 410, {}
        while True:
            changed = self.changed
            events = [
                item or {"key": key, "revision": number, "compacted": True}
                for _, number, key, item in self.log
                if number > after and key.startswith(prefix)
            ]
            if events or now() >= deadline:
                return 200, {"events": events, "atRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), deadline - now())
            except TimeoutError:
                pass

    def _txn(self, body):
        puts = body.get("putOps", [])
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in puts:
            if put.get("leaseId", 0) and put["leaseId"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("leaseId", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Replica:
    """
    One process of a replica.

    :ivar work_s: returns the time that a request takes.
    :ivar runs: attempt id, start and end (None: still at work) of each run.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        service: str,
        zone: str,
        slots: int = 4,
        queue: int = 16,
        connections: int = 96,
        work_s=lambda path: 0.01,
        records: int = 0,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.store, self.record = store, record
        self.name = f"i-{random.getrandbits(32):08x}"
        self.service, self.zone = service, zone
        self.slots, self.queue, self.limit = slots, queue, connections
        self.work_s, self.records = work_s, records
        self.host, self.port = host, port or free_port(host)
        self.born = int(time.time() * 1_000)
        self.sequence = 0
        self.state = "ready"
        self.registers = True
        self.runs: list[dict] = []
        self.received: list[tuple[float, str]] = []
        self.running = self.waiting = self.open = 0
        self.free = asyncio.Condition()
        self.writers = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.task = asyncio.ensure_future(self._beat())

    async def stop(self) -> None:
        self.registers = False
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def write_entry(self) -> None:
        self.sequence += 1
        self.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def _beat(self) -> None:
        while True:
            if self.registers:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _serve(self, reader, writer) -> None:
        self.open += 1
        self.writers.add(writer)
        try:
            if self.open > self.limit:
                writer.transport.abort()
                return
            while (message := await read_message(reader)) is not None:
                await self._handle(message, reader, writer)
        except ConnectionError:
            pass
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, message, reader, writer) -> None:
        first, headers, body = message
        method, path, _ = first.split(" ")
        attempt = headers.get("x-bronzebeam-attempt-id", "")
        echo = {"X-Bronzebeam-Attempt-Id": attempt}
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(encode(status, {"X-Bronzebeam-Replica-Id": self.name}, b""))
            return
        self.received.append((now(), attempt))
        expected = headers.get("x-bronzebeam-expected-replica")
        if expected not in (None, self.name):
            writer.write(
                encode(421, {**echo, "X-Bronzebeam-Replica-Id": self.name}, b"")
            )
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(encode(503, {**echo, "X-Bronzebeam-Not-Executed": "1"}, b""))
            return
        ends = now() + float(headers["x-bronzebeam-deadline-remaining-ms"]) / 1_000.0
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            in_time = now() < ends
            self.running += in_time
        if not in_time:
            writer.write(encode(503, {**echo, "X-Bronzebeam-Not-Executed": "1"}, b""))
            return
        run = {"id": attempt, "start": now(), "end": None, "replica": self.name}
        run.update(method=method, path=path, body=body, headers=headers)
        self.runs.append(run)
        self.record("run", id=attempt, replica=self.name, service=self.service)
        try:
            await asyncio.sleep(min(self.work_s(path), max(0.0, ends - now())))
            in_time = now() < ends
        finally:
            run["end"] = now()
            async with self.free:
                self.running -= 1
                self.free.notify()
        signature = f"{self.service}.{self.name}.{attempt}"
        answer = {**echo, "X-Bronzebeam-Replica-Signature": signature}
        if not in_time:
            writer.write(encode(504, answer, b""))
            return
        text = f"{signature} {path}\n".encode()
        if self.records:
            text = b"".join(random.randbytes(16) for _ in range(self.records))
            run["records"] = text
        writer.write(encode(200, answer, text))
        await writer.drain()


class Node:
    """One machine with a gateway."""

    numbers = itertools.count(1)

    def __init__(self, world: "World", zone: str) -> None:
        self.world, self.zone = world, zone
        number = next(self.numbers)
        self.name = f"frontend-{zone}-{number}"
        self.host = f"127.0.0.{10 + number}"
        self.caller = free_port(self.host)
        self.ready = free_port(self.host)
        self.internal = free_port(self.host)
        self.process: subprocess.Popen | None = None
        self.term_at: float | None = None
        self.starts = 0

    def settings(self) -> str:
        zones = "".join(
            f"zones.{zone}={self.world.region}\n" for zone in self.world.zones
        )
        return f"""nodeName={self.name}
role=gateway
machineClass=frontend
serves=frontend
ipAddress={self.host}
zone={self.zone}
region={self.world.region}
{zones}listenAddresses.frontendAddress={self.host}:{self.caller}
listenAddresses.ready={self.host}:{self.ready}
internalPortRange={self.internal},{self.internal}
bootstrap={"true" if self.starts == 0 else "false"}
failureCounted=false
limits.cpuShare=0.537
limits.cpuCores=2
limits.memoryMb=300
limits.fdLimit=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entryPoint=virtual_ip
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,platform
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addressReuseS=2
bounds.stabilityWindowMs=4000
bounds.ackTimeoutMs=5000
bounds.catchUpS=4
bounds.drainTimeoutMs=3000
bounds.gracePeriodS=6
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=12000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetSlack=56
bounds.recoveryS=12
platform.address={self.world.store.host}:{self.world.store.port}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyRetentionS=20
platform.maxValueBytes=1048576
platform.minTtlMs=1000
"""

    def start(self) -> None:
        if self.world.closed:
            return
        if self not in self.world.nodes:
            self.world.nodes.append(self)
        path = self.world.folder / f"{self.name}.conf"
        path.write_text(self.settings(), encoding="utf-8")
        log = (self.world.folder / f"{self.name}.log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self.process = subprocess.Popen(
            ["python3", "-S", "-m", "bronzebeam.platform"],
            cwd=ROOT,
            env={
                **environment,
                "BRONZEBEAM_NODE_FILE": str(path),
                "PYTHONPATH": "target/deps",
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.starts += 1
        self.world.record("node_start", node=self.name, pid=self.process.pid)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self, number: int = signal.SIGKILL) -> None:
        if self.running:
            self.world.record(
                "signal", node=self.name, name=signal.Signals(number).name
            )
            self.process.send_signal(number)

    async def terminate(self, grace_s: float = 6.0) -> None:
        """Stop the process as the platform does, and start it again."""
        self.term_at = now()
        self.kill(signal.SIGTERM)
        while self.running and now() - self.term_at < grace_s:
            await asyncio.sleep(0.02)
        if self.running:
            self.kill()
            await asyncio.sleep(0.05)
        self.world.record(
            "node_end",
            node=self.name,
            code=self.process.poll(),
            after_s=round(now() - self.term_at, 2),
        )
        await asyncio.sleep(0.3)
        self.start()

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                    message = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return message is not None and message[0].split(" ")[1] == "200"

    def log_text(self) -> str:
        return (self.world.folder / f"{self.name}.log").read_text(errors="replace")


class Ingress:
    """
    The platform's address: picks the node of each new connection.

    It asks each node once a second whether it is ready, takes it out after two misses,
    and uses all nodes of the zone if fewer than half are in rotation.
    """

    def __init__(self, nodes: list[Node], record: Record) -> None:
        self.nodes, self.record = nodes, record
        self.misses = dict.fromkeys((node.name for node in nodes), 0)
        self.tasks = []

    def start(self) -> None:
        self.began = now()
        self.tasks = [asyncio.ensure_future(self._poll(node)) for node in self.nodes]

    async def polled(self, after_s: float) -> None:
        """Wait until `after_s` seconds after a poll."""
        await asyncio.sleep(1.0 - (now() - self.began) % 1.0 + after_s)

    async def _poll(self, node: Node) -> None:
        for number in itertools.count():
            await asyncio.sleep(max(0.0, self.began + number - now()))
            before = self.misses[node.name]
            self.misses[node.name] = 0 if await node.is_ready() else before + 1
            if (before >= 2) is not (self.misses[node.name] >= 2):
                self.record(
                    "rotation", node=node.name, member=self.misses[node.name] < 2
                )

    def pick(self) -> Node:
        members = [node for node in self.nodes if self.misses[node.name] < 2]
        if len(members) * 2 < len(self.nodes):
            members = self.nodes
        return random.choice(members)


class Answer:
    """
    What a client saw of one attempt.

    :ivar status: None if the connection ended without a complete answer.
    """

    def __init__(self, attempt: str, node: Node) -> None:
        self.attempt, self.node = attempt, node
        self.connected = False
        self.sent_at = self.ended_at = 0.0
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.timed_out = False


def request_bytes(
    path: str, attempt: str, remaining_ms: float, *, method="GET", body=b"", extra=""
) -> bytes:
    lines = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Bronzebeam-Attempt-Id: {attempt}\r\n"
        f"X-Bronzebeam-Deadline-Remaining-Ms: {int(remaining_ms)}\r\n{extra}"
    )
    if body or method != "GET":
        lines += f"Content-Length: {len(body)}\r\n"
    return lines.encode() + b"\r\n" + body


def new_attempt() -> str:
    return f"{random.getrandbits(64):016x}"


class World:
    """The store, replicas, nodes and record of one case."""

    def __init__(
        self, record_path: Path, zones: list[str], region: str = "tw-north"
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="bronzebeam-review-"))
        self.record = Record(record_path)
        self.zones, self.region = zones, region
        self.store = Store(self.record)
        self.nodes: list[Node] = []
        self.replicas: list[Replica] = []
        self.version = 0
        self.closed = False

    async def add_replica(self, **options) -> Replica:
        replica = Replica(self.store, self.record, **options)
        await replica.start()
        self.replicas.append(replica)
        return replica

    def put_config(self, routes: list[dict], **extra) -> int:
        """Write a configuration, as the operator does."""
        self.version += 3
        services = {}
        for route in routes:
            names = route.get("fanoutServices") or [route["service"]]
            for name in names:
                services[name] = {
                    "name": name,
                    "healthPath": "/health",
                    "connectionLimit": 44,
                    "protocol": "h1",
                    "tlsEnabled": False,
                }
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": list(services.values()),
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                **extra,
            },
        )
        self.record("config", version=self.version, routes=len(routes))
        return self.version

    async def wait_ready(self, nodes: list[Node], limit_s: float = 20.0) -> bool:
        ends = now() + limit_s
        while now() < ends:
            if all([await node.is_ready() for node in nodes]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def ask(
        self, node: Node, path: str, remaining_ms: float, *, method="GET", body=b""
    ) -> Answer:
        """Send one attempt on a new connection, and wait until the deadline."""
        answer = Answer(new_attempt(), node)
        began = now()
        data = request_bytes(
            path, answer.attempt, remaining_ms, method=method, body=body
        )
        writer = None
        try:
            async with asyncio.timeout(remaining_ms / 1_000.0):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        node.host, node.caller
                    )
                answer.connected = True
                writer.write(data)
                answer.sent_at = now()
                self.record("sent", id=answer.attempt, node=node.name, path=path)
                message = await read_message(reader)
                if message is not None:
                    answer.status = int(message[0].split(" ")[1])
                    answer.headers, answer.body = message[1], message[2]
        except TimeoutError:
            answer.timed_out = answer.connected
        except OSError:
            pass
        finally:
            answer.ended_at = now()
            if writer is not None:
                writer.close()
        result = answer.status
        if result is None:
            result = "timeout" if answer.timed_out else "closed"
            if not answer.connected:
                result = "not_connected"
        self.record(
            "answered",
            id=answer.attempt,
            node=node.name,
            result=result,
            ms=round((answer.ended_at - began) * 1_000),
        )
        return answer

    def close(self) -> None:
        """End all processes that were started."""
        self.closed = True
        for node in self.nodes:
            if node.running:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


BROKEN = 10  # told apart from the exit code of an uncaught exception, which is 1


def run_case(main, record_path: Path) -> None:
    """Run a case; exit with `BROKEN`, 0 if the rule held, or 2 if it could not run."""
    if not (ROOT / "target/deps/bronzebeam").is_dir():
        record_path.write_text("could not run: the build has not run\n")
        print("the build of the deploy file has not run")
        sys.exit(2)
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115.0))
    except Exception as error:  # the case itself failed
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(BROKEN if code == 1 else code)
