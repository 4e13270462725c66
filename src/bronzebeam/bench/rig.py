"""A rig: the platform's stand-ins and entries as processes on loopback ports."""

import json
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

import anyio
import httpx
from attrs import define, field, frozen

from bronzebeam.bench.processes import LOOPBACK, ChildProcess, free_port
from bronzebeam.bench.seeding import accept_document
from bronzebeam.documents.loading import document_from_json
from bronzebeam.documents.model import EnvironmentDocument
from bronzebeam.standins.backend_fleet import list_placements

READY_SECONDS: Final = 20.0
HISTORY_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.05


@frozen(kw_only=True)
class RigSpec:
    """
    What a rig consists of.

    :ivar backend_arguments: switches of the backend stand-ins' behaviour.
    :ivar backend_parts: processes that the backend servers are divided over.
    :ivar environment: further environment variables of every process.
    """

    document: dict[str, Any]
    entries: int = 2
    domains: int = 4
    backend_parts: int = 2
    backend_arguments: tuple[str, ...] = ()
    entry_arguments: tuple[str, ...] = ()
    drain_lag_ms: int = 200
    drain_bound_ms: int = 5_000
    environment: dict[str, str] = field(factory=dict)


@define(kw_only=True, eq=False)
class EntryProcess:
    """An entry of the rig."""

    process: ChildProcess
    caller_address: str
    peer_address: str
    domain: str = ""

    @property
    def name(self) -> str:
        return self.process.name


@define(kw_only=True, eq=False)
class Rig:
    """A running rig; use `running_rig`."""

    spec: RigSpec
    folder: Path
    store_url: str = ""
    instances_url: str = ""
    entries: list[EntryProcess] = field(factory=list)
    backends: list[ChildProcess] = field(factory=list)
    platform: list[ChildProcess] = field(factory=list)
    controls: dict[str, str] = field(factory=dict)
    client: httpx.AsyncClient = field(factory=httpx.AsyncClient)
    _entry_count: int = field(default=0, init=False)

    async def start(self) -> None:
        """Start all processes and wait until each entry is ready."""
        self._start_platform()
        await self.wait_status(f"{self.store_url}/calls")
        await self.wait_status(f"{self.instances_url}/instances")
        await self._accept_document()
        self._start_backends()
        await self._wait_backends()
        for _ in range(self.spec.entries):
            await self.start_entry()
        for entry in self.entries:
            await self.wait_ready(entry)

    async def stop(self) -> None:
        """Stop all processes."""
        for entry in self.entries:
            entry.process.kill()
        for process in [*self.backends, *self.platform]:
            process.kill()
        await self.client.aclose()

    def _start_platform(self) -> None:
        store_port, instances_port = free_port(), free_port()
        self.store_url = f"http://{LOOPBACK}:{store_port}"
        self.instances_url = f"http://{LOOPBACK}:{instances_port}"
        for kind, port in (("store", store_port), ("instances", instances_port)):
            process = self._child(kind, ("standin", kind, "--port", str(port)))
            self.platform.append(process)
            process.start()

    async def _accept_document(self) -> None:
        await accept_document(store_url=self.store_url, document=self.document)

    @property
    def document(self) -> EnvironmentDocument:
        return document_from_json(self.spec.document)

    def _start_backends(self) -> None:
        path = self.folder / "document.json"
        path.write_text(json.dumps(self.spec.document))
        names = [place.name for place in list_placements(self.document)]
        for part in range(self.spec.backend_parts):
            control_port = free_port()
            for name in names[part :: self.spec.backend_parts]:
                self.controls[name] = f"http://{LOOPBACK}:{control_port}"
            arguments = (
                "standin",
                "backends",
                "--document",
                str(path),
                "--instances-url",
                self.instances_url,
                "--domains",
                str(self.spec.domains),
                "--part",
                str(part),
                "--parts",
                str(self.spec.backend_parts),
                "--control-port",
                str(control_port),
                *self.spec.backend_arguments,
            )
            process = self._child(f"backends-{part}", arguments)
            self.backends.append(process)
            process.start()

    async def _wait_backends(self) -> None:
        wanted = {place.name for place in list_placements(self.document)}
        with anyio.fail_after(READY_SECONDS):
            while not wanted <= set(await self.addresses()):
                await anyio.sleep(POLL_SECONDS)

    async def addresses(self) -> dict[str, str]:
        """Return the listed address of each instance by its name."""
        reply = await self.client.get(f"{self.instances_url}/instances")
        return {item["instance"]: item["address"] for item in reply.json()["instances"]}

    async def start_entry(self) -> EntryProcess:
        """Start one more entry and list it as live."""
        self._entry_count += 1
        number = self._entry_count
        caller_port, peer_port = free_port(), free_port()
        name = f"entry-{number}"
        domain = "abcdefgh"[(number - 1) % self.spec.domains]
        settings = self._settings(name, domain, caller_port, peer_port)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self._child(
            name, ("entry", "--settings", str(path), *self.spec.entry_arguments)
        )
        entry = EntryProcess(
            process=process,
            caller_address=f"{LOOPBACK}:{caller_port}",
            peer_address=f"{LOOPBACK}:{peer_port}",
            domain=domain,
        )
        process.start()
        self.entries.append(entry)
        await self.list_entry(entry, "live")
        return entry

    async def list_entry(self, entry: EntryProcess, state: str) -> None:
        """Put an entry into the instance list."""
        value = {
            "role": "entry",
            "service": None,
            "address": entry.caller_address,
            "peer_address": entry.peer_address,
            "failure_domain": entry.domain,
            "state": state,
        }
        url = f"{self.instances_url}/instances/{entry.name}"
        (await self.client.put(url, json=value)).raise_for_status()

    async def unlist(self, name: str) -> None:
        """Take an instance off the instance list."""
        await self.client.delete(f"{self.instances_url}/instances/{name}")

    async def list_state(self, name: str, state: str) -> None:
        """Change the listed state of an instance."""
        reply = await self.client.get(f"{self.instances_url}/instances")
        listed = {item["instance"]: item for item in reply.json()["instances"]}
        url = f"{self.instances_url}/instances/{name}"
        await self.client.put(url, json={**listed[name], "state": state})

    def _settings(
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
                "bound_ms": self.spec.drain_bound_ms,
            },
        }

    def _child(self, name: str, arguments: tuple[str, ...]) -> ChildProcess:
        return ChildProcess(
            name=name,
            arguments=arguments,
            log_path=self.folder / f"{name}.log",
            environment=self.spec.environment,
        )

    async def wait_ready(self, entry: EntryProcess) -> None:
        """Wait until an entry says that it is ready."""
        await self.wait_status(f"http://{entry.peer_address}/health/ready")

    async def status(self, entry: EntryProcess) -> dict[str, Any]:
        """Return an entry's own status; empty if it does not answer."""
        try:
            reply = await self.client.get(
                f"http://{entry.peer_address}/internal/status"
            )
        except httpx.HTTPError:
            return {}
        return dict(reply.json())

    async def wait_revision(self, entry: EntryProcess, revision: int) -> None:
        """Wait until `revision` or a later one is in force on an entry."""
        while (await self.status(entry)).get("revision", 0) < revision:
            await anyio.sleep(POLL_SECONDS / 5)

    async def wait_status(self, url: str) -> None:
        """
        Wait until `url` answers 200.

        :raises TimeoutError: after a bound.
        """
        with anyio.fail_after(READY_SECONDS):
            while not await self._answers(url):
                await anyio.sleep(POLL_SECONDS)

    async def _answers(self, url: str) -> bool:
        try:
            return (await self.client.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def set_faults(self, replica: str, **faults: Any) -> None:
        """Set fault switches of a backend server."""
        url = f"{self.controls[replica]}/faults/{replica}"
        (await self.client.post(url, json=faults)).raise_for_status()

    async def revive(self, replica: str) -> None:
        """Start a crashed backend server again."""
        url = f"{self.controls[replica]}/revive/{replica}"
        (await self.client.post(url)).raise_for_status()

    async def history(self) -> dict[str, Any]:
        """Return the reports of all backend servers, also of crashed ones, by name."""
        reports: dict[str, Any] = {}
        for url in sorted(set(self.controls.values())):
            reply = await self.client.get(f"{url}/history", timeout=HISTORY_SECONDS)
            reports |= reply.json()
        return reports


@asynccontextmanager
async def running_rig(spec: RigSpec) -> AsyncIterator[Rig]:
    """Run a rig and stop all its processes at the end."""
    with tempfile.TemporaryDirectory(prefix="bronzebeam-") as folder:
        rig = Rig(spec=spec, folder=Path(folder))
        try:
            await rig.start()
            yield rig
        finally:
            with anyio.CancelScope(shield=True):
                await rig.stop()
