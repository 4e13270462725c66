"""Tests of the gateway as a real process, with stand-ins on the loopback interface."""

import asyncio
import json
import os
import signal
import sys
import sysconfig
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType
from typing import Any

import httpx
from attrs import define, field
from click.testing import CliRunner

from bronzebeam.cli_explain import explain
from tests.fixtures_gateway import HOST, READ_PATH, make_route, make_settings_text
from tests.fixtures_serving import find_free_port
from tests.standin_http import StandinConnection
from tests.standin_replica import StandinReplica
from tests.standin_store import StandinStore

SOURCE_FOLDER = Path(__file__).parent.parent / "src"
LOOPBACK = "127.0.0.1"
MAX_START_SECONDS = 20.0
MAX_STOP_SECONDS = 12.0


@define(kw_only=True, eq=False)
class GatewayPlace:
    """Where a gateway process finds its settings, and the ports in them."""

    settings: Path
    ports: dict[str, int]
    text: str = ""


@define(kw_only=True, eq=False)
class RealGateway:
    """A gateway process and what it is connected to."""

    process: asyncio.subprocess.Process
    place: GatewayPlace
    replica: StandinReplica
    store: StandinStore
    client: httpx.AsyncClient = field(
        factory=lambda: httpx.AsyncClient(timeout=MAX_START_SECONDS)
    )

    @property
    def caller_url(self) -> str:
        return f"http://{LOOPBACK}:{self.place.ports['callers']}"

    @property
    def ready_url(self) -> str:
        return f"http://{LOOPBACK}:{self.place.ports['ready']}"

    @property
    def peer_address(self) -> str:
        return f"{LOOPBACK}:{self.place.ports['peers']}"

    async def send_request(self, attempt_id: str) -> httpx.Response:
        headers = {
            "Host": HOST,
            "X-Bronzebeam-Attempt-Id": attempt_id,
            "X-Bronzebeam-Deadline-Remaining-Ms": "5000",
        }
        return await self.client.get(f"{self.caller_url}{READ_PATH}x", headers=headers)

    async def is_ready(self) -> bool:
        try:
            response = await self.client.get(f"{self.ready_url}/ready")
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    async def wait_for_event(self, name: str) -> str:
        """Return the first line of an event, after those returned before."""
        assert self.process.stdout is not None
        async with asyncio.timeout(MAX_START_SECONDS):
            while line := (await self.process.stdout.readline()).decode():
                if f" event={name} " in line:
                    return line
        raise AssertionError(f"the process ended without the event {name}")

    async def wait_for_end(self) -> str:
        """Return the rest of the log and the exit code, as `code=CODE`."""
        assert self.process.stdout is not None
        async with asyncio.timeout(MAX_STOP_SECONDS):
            text = (await self.process.stdout.read()).decode()
            return f"{text}code={await self.process.wait()}"

    async def wait_ready(self) -> None:
        async with asyncio.timeout(MAX_START_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


async def do_nothing(gateway: RealGateway) -> None:
    pass


def run_with_gateway(
    use: Callable[[RealGateway], Awaitable[None]],
    *,
    during_start: Callable[[RealGateway], Awaitable[None]] = do_nothing,
    is_ready: bool = True,
    before_start: Callable[[GatewayPlace], None] = lambda place: None,
    configuration: Mapping[str, Any] = MappingProxyType({}),
    **process_options: Any,
) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        store = StandinStore(loop=loop)

        def new_connection() -> Any:
            return StandinConnection(server=store)

        replica = StandinReplica(
            loop=loop, replica="i-1", service="s", host=LOOPBACK, port=find_free_port()
        )
        store_port = find_free_port()
        accept: Any = replica._accept
        servers = [
            await loop.create_server(new_connection, LOOPBACK, store_port),
            await loop.create_server(accept, LOOPBACK, replica.port),
        ]
        store.put("servers/i-1", replica.store_record())
        document = {
            "version": 3,
            "routes": [make_route("r-read", READ_PATH, service="s", timeoutMs=5_000)],
            "services": [{"name": "s", "connectionLimit": 25}],
            **configuration,
        }
        store.put("op/config", document)
        with TemporaryDirectory() as folder:
            place = make_place(Path(folder), store_port)
            before_start(place)
            gateway = await start_process(place, replica, store, **process_options)
            try:
                await during_start(gateway)
                if is_ready:
                    await gateway.wait_ready()
                await use(gateway)
                await gateway.client.aclose()
            finally:
                if gateway.process.returncode is None:
                    gateway.process.kill()
                    await gateway.process.wait()
                for server in servers:
                    server.close()

    asyncio.run(main())


def make_place(folder: Path, store_port: int) -> GatewayPlace:
    """Choose ports, and write the settings file."""
    place = GatewayPlace(
        settings=folder / "node.conf",
        ports={name: find_free_port() for name in ("callers", "ready", "peers")},
    )
    callers, ready, peers = place.ports.values()
    place.text = make_settings_text(
        "g-1",
        LOOPBACK,
        "zone-a",
        **{
            "listenAddresses.frontendAddress": f"{LOOPBACK}:{callers}",
            "listenAddresses.ready": f"{LOOPBACK}:{ready}",
            "internalPortRange": f"{peers},{peers}",
            "platform.address": f"{LOOPBACK}:{store_port}",
        },
    )
    place.settings.write_text(place.text)
    return place


async def start_process(
    place: GatewayPlace,
    replica: StandinReplica,
    store: StandinStore,
    program: tuple[str, str] = ("-m", "bronzebeam.platform"),
    **process_options: Any,
) -> RealGateway:
    libraries = sysconfig.get_paths()["platlib"]
    options = {"stdout": asyncio.subprocess.PIPE, **process_options}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-S",
        *program,
        env={
            **os.environ,
            "PYTHONPATH": f"{SOURCE_FOLDER}{os.pathsep}{libraries}",
            "BRONZEBEAM_NODE_FILE": str(place.settings),
        },
        **options,
    )
    return RealGateway(
        process=process,
        place=place,
        replica=replica,
        store=store,
    )


def test_process_serves_reloads_and_stops_without_a_lost_request() -> None:
    async def use(gateway: RealGateway) -> None:
        response = await gateway.send_request("p-1")
        assert response.status_code == 200
        assert response.content == b"i-1/p-1"
        gateway.process.send_signal(signal.SIGHUP)
        gateway.replica.work_seconds = 1.0
        slow = asyncio.ensure_future(gateway.send_request("p-2"))
        while len(gateway.replica.runs) < 2:
            await asyncio.sleep(0.01)
        gateway.process.send_signal(signal.SIGTERM)
        while await gateway.is_ready():
            await asyncio.sleep(0.01)
        response = await gateway.send_request("p-3")
        assert response.status_code == 200
        assert response.headers["connection"] == "close"
        assert (await slow).content == b"i-1/p-2"
        assert gateway.process.stdout is not None
        async with asyncio.timeout(MAX_STOP_SECONDS):
            text = (await gateway.process.stdout.read()).decode()
            assert await gateway.process.wait() == 0
        for event in ("started", "ready", "reloaded", "stop_started", "ended"):
            assert f" event={event} " in text, event
        assert "cut_off=0" in text

    run_with_gateway(use)


def test_signal_to_reload_during_the_start_does_not_end_the_process() -> None:
    async def send_signals(gateway: RealGateway) -> None:
        status = Path(f"/proc/{gateway.process.pid}/status")

        def has(mask: str) -> bool:
            (line,) = [x for x in status.read_text().splitlines() if x.startswith(mask)]
            return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)

        while not has("SigIgn") and not has("SigCgt"):
            await asyncio.sleep(0.001)
        assert has("SigIgn")  # before the modules are loaded
        while not await gateway.is_ready():
            gateway.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)

    async def use(gateway: RealGateway) -> None:
        assert gateway.process.returncode is None

    run_with_gateway(use, during_start=send_signals)


def test_command_explains_where_a_request_to_a_process_would_go() -> None:
    async def use(gateway: RealGateway) -> None:
        gateway.replica.states_load = True
        response = await gateway.send_request("p-1")
        assert response.status_code == 200
        options = ["--instance", gateway.peer_address, "--host", HOST]
        for path, exit_code in ((f"{READ_PATH}x", 0), ("/elsewhere/", 3)):
            # The command runs an event loop of its own.
            result = await asyncio.to_thread(
                CliRunner().invoke, explain, [*options, "--path", path, "--json"]
            )
            assert result.exit_code == exit_code, result.output
            answer = json.loads(result.output)
            if exit_code == 0:
                assert answer["services"][0]["chosen"] == "i-1"
                assert answer["services"][0]["replicas"][0]["reading"]["slots"] == 2
        assert gateway.replica.received_ids == ["p-1"]

    run_with_gateway(use)


def test_unread_output_does_not_block_the_process() -> None:
    async def use(gateway: RealGateway) -> None:
        stdout: Any = gateway.process.stdout
        stdout._transport.pause_reading()
        for number in range(300):
            response = await gateway.send_request(f"p-{number}")
            assert response.status_code == 200
            gateway.process.send_signal(signal.SIGHUP)
        assert await gateway.is_ready()
        stdout._transport.resume_reading()
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(MAX_STOP_SECONDS):
            await stdout.read()
            assert await gateway.process.wait() == 0

    run_with_gateway(use)


def test_invalid_settings_end_the_process_with_exit_code_2() -> None:
    async def main() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bronzebeam.platform",
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "PYTHONPATH": str(SOURCE_FOLDER),
                "BRONZEBEAM_NODE_FILE": "/nowhere/node.conf",
            },
        )
        _, text = await process.communicate()
        assert process.returncode == 2
        assert b"cannot be read" in text

    asyncio.run(main())
