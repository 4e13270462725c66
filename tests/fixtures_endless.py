"""Servers that send as much as is read from them, and a gateway in front of them."""

import asyncio
import resource
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final

import httpx
from attrs import define, field

from tests.fixtures_gateway import HOST, READ_PATH, make_route
from tests.test_gateway_process import (
    LOOPBACK,
    GatewayPlace,
    RealGateway,
    run_with_gateway,
)

MEMORY_LIMIT_MB: Final = 100
CALLERS: Final = 24
REQUESTS_PER_CALLER: Final = 4
MAX_ADDRESS_BYTES: Final = 1024 * 1024 * 1024  # far more than is allowed
MAX_WAIT_SECONDS: Final = 30.0
WRITE_BYTES: Final = 64 * 1024
HEAD_END: Final = b"\r\n\r\n"


@define(kw_only=True, frozen=True)
class ReplyForm:
    """
    What a server sends in reply to each request.

    :ivar repeats: how often it sends `part`, and then nothing; 0 for without end.
    """

    name: str
    start: bytes
    part: bytes
    repeats: int = 0


@define(kw_only=True, eq=False)
class SendingServer:
    """
    Replies with bytes of one form, as fast as they are read.

    :ivar begun: number of replies that it has begun.
    """

    form: ReplyForm
    port: int = 0
    begun: int = 0
    _server: asyncio.Server | None = None
    _tasks: set["asyncio.Task[None]"] = field(factory=set)

    async def listen(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=WRITE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def wait_for_replies(self, count: int) -> None:
        async with asyncio.timeout(MAX_WAIT_SECONDS):
            while self.begun < count:
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        form = self.form
        count = max(1, WRITE_BYTES // len(form.part))
        try:
            while True:
                await reader.readuntil(HEAD_END)
                self.begun += 1
                writer.write(form.start)
                left = form.repeats
                while not form.repeats or left > 0:
                    sent = min(count, left) if form.repeats else count
                    writer.write(form.part * sent)
                    left -= sent
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


def peak_bytes(gateway: RealGateway) -> int:
    """Return the highest resident memory that the process has had."""
    text = Path(f"/proc/{gateway.process.pid}/status").read_text()
    (line,) = [item for item in text.splitlines() if item.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024


def run_with_limited_memory(
    use: Callable[[RealGateway], Awaitable[None]],
    *,
    limit_mb: int = MEMORY_LIMIT_MB,
) -> None:
    """Run a gateway; it must live, stay within its memory, and serve at the end."""

    def limit_memory(place: GatewayPlace) -> None:
        place.text += f"limits.memoryMb={limit_mb}\n"
        place.settings.write_text(place.text)

    async def protect_machine(gateway: RealGateway) -> None:
        pid = gateway.process.pid
        resource.prlimit(pid, resource.RLIMIT_AS, (MAX_ADDRESS_BYTES,) * 2)

    async def check(gateway: RealGateway) -> None:
        await use(gateway)
        assert gateway.process.returncode is None
        peak_mb = peak_bytes(gateway) / 1024 / 1024
        assert peak_mb < limit_mb, f"{peak_mb:.0f} of {limit_mb} MB were used"
        assert (await gateway.send_request("ordinary")).status_code == 200

    run_with_gateway(check, before_start=limit_memory, during_start=protect_machine)


async def call_servers(
    gateway: RealGateway,
    form: ReplyForm,
    *,
    shards: int = 0,
    domain: str = "zone-a",
    servers_per_service: int = 4,
    timeout_ms: int = 800,
    max_attempts: int = 2,
    requests_per_caller: int = REQUESTS_PER_CALLER,
    callers: int = CALLERS,
) -> None:
    """
    Let callers use a route whose servers reply with a form.

    :param shards: number of shards that each request goes to; 0 for a route of a
        single service.
    """
    prefix = f"/{form.name}/"
    names = [f"{form.name}-{number}" for number in range(shards or 1)]
    servers = [
        (name, SendingServer(form=form))
        for name in names
        for _ in range(servers_per_service)
    ]
    for _, server in servers:
        await server.listen()
    for number, (name, server) in enumerate(servers):
        record = {
            **gateway.replica.store_record(),
            "service": name,
            "zone": domain,
            "address": f"{LOOPBACK}:{server.port}",
        }
        gateway.store.put(f"servers/{name}-{number}", record)
    target: dict[str, Any] = {"service": names[0]}
    if shards:
        target = {"fanoutServices": names, "topK": 5, "minShardFraction": 0.75}
    document = {
        "version": gateway.store.revision + 10,
        "routes": [
            make_route("r-read", READ_PATH, service="s", timeoutMs=5_000),
            make_route(
                f"r-{form.name}",
                prefix,
                timeoutMs=timeout_ms,
                maxAttempts=max_attempts,
                **target,
            ),
        ],
        "services": [
            {"name": name, "connectionLimit": 25} for name in ["s", *sorted(set(names))]
        ],
    }
    gateway.store.put("op/config", document)
    limits = httpx.Limits(max_connections=CALLERS)
    async with httpx.AsyncClient(timeout=20.0, limits=limits) as client:

        async def send(number: int) -> int:
            headers = {
                "Host": HOST,
                "X-Bronzebeam-Attempt-Id": f"{form.name}-{number}",
                "X-Bronzebeam-Deadline-Remaining-Ms": str(timeout_ms),
            }
            try:
                response = await client.get(
                    f"{gateway.caller_url}{prefix}", headers=headers
                )
            except httpx.TransportError:
                assert gateway.process.returncode is None, "the process has ended"
                return 0
            return response.status_code

        while await send(0) == 404 or not any(item.begun for _, item in servers):
            await asyncio.sleep(0.05)

        async def call(caller: int) -> None:
            for number in range(requests_per_caller):
                await send(1 + caller * requests_per_caller + number)

        await asyncio.gather(*(call(number) for number in range(callers)))
    for name, server in servers:
        await server.close()


async def call_with_forms(gateway: RealGateway, forms: Sequence[ReplyForm]) -> None:
    for form in forms:
        await call_servers(gateway, form)
