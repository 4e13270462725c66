"""
Runs stand-ins of the backend servers of a document's services in one process.

The control port also works for servers that have crashed or are frozen: GET /history
returns the reports of all servers, POST /faults/NAME sets the fault switches of a
server, and POST /revive/NAME restarts a crashed server on its previous port.
"""

import random
from collections.abc import Iterator
from typing import Final

import anyio
import httpx
from attrs import define, evolve, field, frozen

from bronzebeam.documents.model import EnvironmentDocument, ServiceKind, ServiceSpec
from bronzebeam.standins.backend import BackendStandin
from bronzebeam.standins.backend_faults import BackendFaults
from bronzebeam.standins.http_json import (
    JsonRequest,
    JsonResponse,
    build_json_app,
    serve_app,
)

FIRST_INDEX_VERSION: Final = 1
FAILURE_DOMAIN_NAMES: Final = "abcdefgh"


@frozen(kw_only=True)
class BackendPlacement:
    """
    Service, shard and replica number of a backend server.

    :ivar shard: None for a call service.
    """

    service: ServiceSpec
    shard: int | None
    replica: int

    @property
    def name(self) -> str:
        shard = "" if self.shard is None else f"-{self.shard:02d}"
        return f"{self.service.name}{shard}-r{self.replica}"


def list_placements(document: EnvironmentDocument) -> Iterator[BackendPlacement]:
    """Yield the placement of each backend server of `document`."""
    for service in document.services:
        search = service.kind is ServiceKind.SEARCH
        for shard in range(service.shards) if search else (None,):
            for replica in range(service.replicas):
                yield BackendPlacement(service=service, shard=shard, replica=replica)


@define(kw_only=True, eq=False)
class BackendFleet:
    """
    Runs backend servers and registers them in the instance list.

    Several processes can share the backend servers of a document: each one runs every
    `part_count`-th server, starting at `part_index`.

    :ivar instance_list_url: base URL of the instance list.
    :ivar control_port: port of the control requests, 0 for none.
    """

    document: EnvironmentDocument
    instance_list_url: str
    faults: BackendFaults = field(factory=BackendFaults)
    failure_domain_count: int = 4
    part_index: int = 0
    part_count: int = 1
    seed: int = 1
    address: str = "127.0.0.1"
    control_port: int = 0
    servers: dict[str, BackendStandin] = field(factory=dict, init=False)
    ports: dict[str, int] = field(factory=dict, init=False)
    _restart_events: dict[str, anyio.Event] = field(factory=dict, init=False)

    async def run(self, *, started: anyio.Event | None = None) -> None:
        """Run until cancelled; `started` is set when all servers are registered."""
        async with anyio.create_task_group() as group:
            for index, placement in enumerate(list_placements(self.document)):
                if index % self.part_count == self.part_index:
                    group.start_soon(self._serve, placement, index)
            if self.control_port:
                group.start_soon(self._serve_control)
            await self._wait_until_listening()
            await self._register_all()
            if started is not None:
                started.set()

    async def _serve(self, placement: BackendPlacement, index: int) -> None:
        backend = placement.service.backend
        holdings = []
        if placement.shard is not None:
            holdings = [
                [FIRST_INDEX_VERSION, placement.shard, placement.service.shards]
            ]
        server = BackendStandin(
            name=placement.name,
            slots=backend.slots,
            connections=backend.connections,
            holdings=holdings,
            faults=evolve(self.faults, connect_ms=backend.connect_ms),
            rng=random.Random(f"{self.seed}/{index}"),
        )
        self.servers[placement.name] = server

        def record_port(port: int) -> None:
            self.ports[placement.name] = port

        while True:
            restart = self._restart_events[placement.name] = anyio.Event()
            port = self.ports.get(placement.name, 0)
            await server.serve(self.address, port, on_listening=record_port)
            await restart.wait()
            server.reset()

    async def _serve_control(self) -> None:
        app = build_json_app(self.handle_control)
        await serve_app(app, address=self.address, port=self.control_port)

    async def handle_control(self, request: JsonRequest) -> JsonResponse | None:
        """Handle a request to the control port."""
        section, _, name = request.path.lstrip("/").partition("/")
        if section == "history":
            reports = {key: server.report() for key, server in self.servers.items()}
            return JsonResponse(body=reports)
        if name not in self.servers:
            return JsonResponse(status=404, body={"error": "no such server"})
        if section == "revive":
            self._restart_events[name].set()
        else:
            self.servers[name].set_faults(dict(request.body or {}))
        return JsonResponse(body={})

    async def _wait_until_listening(self) -> None:
        while len(self.ports) < len(self._own_placements()):
            await anyio.sleep(0.01)

    def _own_placements(self) -> list[BackendPlacement]:
        placements = list(list_placements(self.document))
        return [
            placement
            for index, placement in enumerate(placements)
            if index % self.part_count == self.part_index
        ]

    async def _register_all(self) -> None:
        async with httpx.AsyncClient(base_url=self.instance_list_url) as client:
            for placement in self._own_placements():
                await self.register_instance(client, placement, "live")

    async def register_instance(
        self, client: httpx.AsyncClient, placement: BackendPlacement, state: str
    ) -> None:
        """Register a backend server in the instance list, or update its entry."""
        entry = {
            "role": "backend",
            "service": placement.service.name,
            "address": f"{self.address}:{self.ports[placement.name]}",
            "peer_address": None,
            "failure_domain": FAILURE_DOMAIN_NAMES[
                placement.replica % self.failure_domain_count
            ],
            "state": state,
        }
        response = await client.put(f"/instances/{placement.name}", json=entry)
        response.raise_for_status()
