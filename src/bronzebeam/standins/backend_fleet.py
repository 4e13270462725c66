"""All backend servers of a document's services, as stand-ins in one process."""

import random
from collections.abc import Iterator
from typing import Final

import anyio
import httpx
from attrs import define, evolve, field, frozen

from bronzebeam.documents.model import EnvironmentDocument, ServiceKind, ServiceSpec
from bronzebeam.standins.backend import BackendFaults, BackendStandin

FIRST_VERSION: Final = 1
DOMAIN_LETTERS: Final = "abcdefgh"


@frozen(kw_only=True)
class Place:
    """
    Where a backend server stands.

    :ivar shard: None for a call service.
    """

    service: ServiceSpec
    shard: int | None
    replica: int

    @property
    def name(self) -> str:
        shard = "" if self.shard is None else f"-{self.shard:02d}"
        return f"{self.service.name}{shard}-r{self.replica}"


def places(document: EnvironmentDocument) -> Iterator[Place]:
    """Yield the place of each backend server of `document`."""
    for service in document.services:
        search = service.kind is ServiceKind.SEARCH
        for shard in range(service.shards) if search else (None,):
            for replica in range(service.replicas):
                yield Place(service=service, shard=shard, replica=replica)


@define(kw_only=True, eq=False)
class BackendFleet:
    """
    Runs backend servers and lists them in the instance list.

    :ivar part: index of this process's part of the places.
    :ivar parts: number of parts.
    :ivar instance_list_url: where the backend servers are listed.
    """

    document: EnvironmentDocument
    instance_list_url: str
    faults: BackendFaults = field(factory=BackendFaults)
    domains: int = 4
    part: int = 0
    parts: int = 1
    seed: int = 1
    address: str = "127.0.0.1"
    servers: dict[str, BackendStandin] = field(factory=dict, init=False)
    ports: dict[str, int] = field(factory=dict, init=False)

    async def run(self, *, started: anyio.Event | None = None) -> None:
        """Run until cancelled; `started` is set once all are listed."""
        async with anyio.create_task_group() as group:
            for index, place in enumerate(places(self.document)):
                if index % self.parts == self.part:
                    group.start_soon(self._serve, place, index)
            await self._wait_listening()
            await self._list_all()
            if started is not None:
                started.set()

    async def _serve(self, place: Place, index: int) -> None:
        backend = place.service.backend
        holdings = []
        if place.shard is not None:
            holdings = [[FIRST_VERSION, place.shard, place.service.shards]]
        server = BackendStandin(
            name=place.name,
            slots=backend.slots,
            connections=backend.connections,
            holdings=holdings,
            faults=evolve(self.faults, connect_ms=backend.connect_ms),
            rng=random.Random(f"{self.seed}/{index}"),
        )
        self.servers[place.name] = server

        def note_port(port: int) -> None:
            self.ports[place.name] = port

        await server.serve(self.address, 0, started=note_port)

    async def _wait_listening(self) -> None:
        while len(self.ports) < len(self._own_places()):
            await anyio.sleep(0.01)

    def _own_places(self) -> list[Place]:
        listed = list(places(self.document))
        return [
            place
            for index, place in enumerate(listed)
            if index % self.parts == self.part
        ]

    async def _list_all(self) -> None:
        async with httpx.AsyncClient(base_url=self.instance_list_url) as client:
            for place in self._own_places():
                await self.list_instance(client, place, "live")

    async def list_instance(
        self, client: httpx.AsyncClient, place: Place, state: str
    ) -> None:
        """Put a backend server into the instance list."""
        entry = {
            "role": "backend",
            "service": place.service.name,
            "address": f"{self.address}:{self.ports[place.name]}",
            "peer_address": None,
            "failure_domain": DOMAIN_LETTERS[place.replica % self.domains],
            "state": state,
        }
        response = await client.put(f"/instances/{place.name}", json=entry)
        response.raise_for_status()
