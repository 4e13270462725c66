"""Test rig: stand-ins of the platform and entries as processes on loopback ports."""

import json
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

import anyio
import httpx
from attrs import define, field, frozen

from bronzebeam.bench.processes import LOOPBACK, ChildProcess, find_free_port
from bronzebeam.bench.seeding import accept_document
from bronzebeam.documents.loading import document_from_json
from bronzebeam.documents.model import EnvironmentDocument
from bronzebeam.standins.backend_fleet import list_placements

READY_TIMEOUT_SECONDS: Final = 20.0
REPORT_TIMEOUT_SECONDS: Final = 30.0
POLL_INTERVAL_SECONDS: Final = 0.05


@frozen(kw_only=True)
class RigSpec:
    """
    Processes and settings of a rig.

    :ivar backend_arguments: extra command line arguments of the backend stand-ins.
    :ivar backend_process_count: number of processes that host the backend servers.
    :ivar environment: additional environment variables of every process.
    """

    document: dict[str, Any]
    entry_count: int = 2
    failure_domain_count: int = 4
    backend_process_count: int = 2
    backend_arguments: tuple[str, ...] = ()
    entry_arguments: tuple[str, ...] = ()
    drain_lag_ms: int = 200
    drain_timeout_ms: int = 5_000
    environment: dict[str, str] = field(factory=dict)


@define(kw_only=True, eq=False)
class EntryProcess:
    """An entry process and its addresses."""

    process: ChildProcess
    caller_address: str
    peer_address: str
    failure_domain: str = ""

    @property
    def name(self) -> str:
        return self.process.name


@define(kw_only=True, eq=False)
class Rig:
    """
    The processes of a running rig; use `running_rig` to create one.

    :ivar controls: control URL of each backend server by its name.
    """

    spec: RigSpec
    directory: Path
    store_url: str = ""
    instances_url: str = ""
    entries: list[EntryProcess] = field(factory=list)
    backend_processes: list[ChildProcess] = field(factory=list)
    platform_processes: list[ChildProcess] = field(factory=list)
    controls: dict[str, str] = field(factory=dict)
    client: httpx.AsyncClient = field(factory=httpx.AsyncClient)
    _entry_count: int = field(default=0, init=False)

    async def start(self) -> None:
        """Start all processes and wait until each entry is ready."""
        self._start_platform_processes()
        await self.wait_until_ok(f"{self.store_url}/calls")
        await self.wait_until_ok(f"{self.instances_url}/instances")
        await self._accept_document()
        self._start_backends()
        await self._wait_until_backends_listed()
        for _ in range(self.spec.entry_count):
            await self.start_entry()
        for entry in self.entries:
            await self.wait_until_ready(entry)

    async def stop(self) -> None:
        """Stop all processes."""
        for entry in self.entries:
            entry.process.kill()
        for process in [*self.backend_processes, *self.platform_processes]:
            process.kill()
        await self.client.aclose()

    def _start_platform_processes(self) -> None:
        store_port, instances_port = find_free_port(), find_free_port()
        self.store_url = f"http://{LOOPBACK}:{store_port}"
        self.instances_url = f"http://{LOOPBACK}:{instances_port}"
        for kind, port in (("store", store_port), ("instances", instances_port)):
            process = self._build_process(kind, ("standin", kind, "--port", str(port)))
            self.platform_processes.append(process)
            process.start()

    async def _accept_document(self) -> None:
        await accept_document(store_url=self.store_url, document=self.document)

    @property
    def document(self) -> EnvironmentDocument:
        return document_from_json(self.spec.document)

    def _start_backends(self) -> None:
        path = self.directory / "document.json"
        path.write_text(json.dumps(self.spec.document))
        names = [placement.name for placement in list_placements(self.document)]
        for part in range(self.spec.backend_process_count):
            control_port = find_free_port()
            for name in names[part :: self.spec.backend_process_count]:
                self.controls[name] = f"http://{LOOPBACK}:{control_port}"
            arguments = (
                "standin",
                "backends",
                "--document",
                str(path),
                "--instances-url",
                self.instances_url,
                "--domains",
                str(self.spec.failure_domain_count),
                "--part",
                str(part),
                "--parts",
                str(self.spec.backend_process_count),
                "--control-port",
                str(control_port),
                *self.spec.backend_arguments,
            )
            process = self._build_process(f"backends-{part}", arguments)
            self.backend_processes.append(process)
            process.start()

    async def _wait_until_backends_listed(self) -> None:
        expected = {placement.name for placement in list_placements(self.document)}
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            while not expected <= set(await self.instance_addresses()):
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def instance_addresses(self) -> dict[str, str]:
        """Return the listed address of each instance by its name."""
        reply = await self.client.get(f"{self.instances_url}/instances")
        return {item["instance"]: item["address"] for item in reply.json()["instances"]}

    async def start_entry(self) -> EntryProcess:
        """Start another entry and register it as live in the instance list."""
        self._entry_count += 1
        number = self._entry_count
        caller_port, peer_port = find_free_port(), find_free_port()
        name = f"entry-{number}"
        domain = "abcdefgh"[(number - 1) % self.spec.failure_domain_count]
        settings = self._entry_settings(name, domain, caller_port, peer_port)
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self._build_process(
            name, ("entry", "--settings", str(path), *self.spec.entry_arguments)
        )
        entry = EntryProcess(
            process=process,
            caller_address=f"{LOOPBACK}:{caller_port}",
            peer_address=f"{LOOPBACK}:{peer_port}",
            failure_domain=domain,
        )
        process.start()
        self.entries.append(entry)
        await self.register_entry(entry, "live")
        return entry

    async def register_entry(self, entry: EntryProcess, state: str) -> None:
        """Add an entry to the instance list, or change its state there."""
        value = {
            "role": "entry",
            "service": None,
            "address": entry.caller_address,
            "peer_address": entry.peer_address,
            "failure_domain": entry.failure_domain,
            "state": state,
        }
        url = f"{self.instances_url}/instances/{entry.name}"
        (await self.client.put(url, json=value)).raise_for_status()

    async def deregister_instance(self, name: str) -> None:
        """Remove an instance from the instance list."""
        await self.client.delete(f"{self.instances_url}/instances/{name}")

    async def set_instance_state(self, name: str, state: str) -> None:
        """Change the state of an instance in the instance list."""
        reply = await self.client.get(f"{self.instances_url}/instances")
        listed = {item["instance"]: item for item in reply.json()["instances"]}
        url = f"{self.instances_url}/instances/{name}"
        await self.client.put(url, json={**listed[name], "state": state})

    def _entry_settings(
        self, name: str, domain: str, caller_port: int, peer_port: int
    ) -> dict[str, Any]:
        return {
            "instance": name,
            "environment": self.spec.document["environment"],
            "region": "loopback",
            "failure_domain": domain,
            "caller_listen": {"address": LOOPBACK, "port": caller_port},
            "peer_listen": {"address": LOOPBACK, "port": peer_port},
            "store_url": self.store_url,
            "instance_list_url": self.instances_url,
            "drain": {
                "lag_ms": self.spec.drain_lag_ms,
                "bound_ms": self.spec.drain_timeout_ms,
            },
        }

    def _build_process(self, name: str, arguments: tuple[str, ...]) -> ChildProcess:
        return ChildProcess(
            name=name,
            arguments=arguments,
            log_path=self.directory / f"{name}.log",
            environment=self.spec.environment,
        )

    async def wait_until_ready(self, entry: EntryProcess) -> None:
        """Wait until the readiness check of an entry succeeds."""
        await self.wait_until_ok(f"http://{entry.peer_address}/health/ready")

    async def status(self, entry: EntryProcess) -> dict[str, Any]:
        """Return the status that an entry reports; empty if the request fails."""
        try:
            reply = await self.client.get(
                f"http://{entry.peer_address}/internal/status"
            )
        except httpx.HTTPError:
            return {}
        return dict(reply.json())

    async def wait_for_revision(self, entry: EntryProcess, revision: int) -> None:
        """Wait until `revision` or a later one is active on an entry."""
        while (await self.status(entry)).get("revision", 0) < revision:
            await anyio.sleep(POLL_INTERVAL_SECONDS / 5)

    async def wait_until_ok(self, url: str) -> None:
        """
        Wait until a GET request to `url` returns status 200.

        :raises TimeoutError: after `READY_TIMEOUT_SECONDS`.
        """
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            while not await self._returns_ok(url):
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def _returns_ok(self, url: str) -> bool:
        try:
            return (await self.client.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def set_faults(self, replica: str, **faults: Any) -> None:
        """Change the injected faults of a backend server."""
        url = f"{self.controls[replica]}/faults/{replica}"
        (await self.client.post(url, json=faults)).raise_for_status()

    async def revive(self, replica: str) -> None:
        """Restart a crashed backend server."""
        url = f"{self.controls[replica]}/revive/{replica}"
        (await self.client.post(url)).raise_for_status()

    async def fetch_backend_reports(self) -> dict[str, Any]:
        """Return the reports of all backend servers, also crashed ones, by name."""
        reports: dict[str, Any] = {}
        for url in sorted(set(self.controls.values())):
            reply = await self.client.get(
                f"{url}/history", timeout=REPORT_TIMEOUT_SECONDS
            )
            reports |= reply.json()
        return reports


@asynccontextmanager
async def running_rig(spec: RigSpec) -> AsyncIterator[Rig]:
    """Run a rig and stop all its processes at the end."""
    with tempfile.TemporaryDirectory(prefix="bronzebeam-") as folder:
        rig = Rig(spec=spec, directory=Path(folder))
        try:
            await rig.start()
            yield rig
        finally:
            with anyio.CancelScope(shield=True):
                await rig.stop()
