"""
Entries that reach each other over loopback connections.

``python -m tests.fixtures_fleet_sockets`` prints what idle ones cost, as JSON lines.
"""

import socket
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from random import Random
from typing import Any

import anyio
import orjson
from attrs import evolve
from hypercorn.asyncio import serve
from hypercorn.config import Config

from bronzebeam.clock import SystemClock
from bronzebeam.controllers.configuration import ConfigurationController
from bronzebeam.controllers.gossip import GossipController
from bronzebeam.controllers.membership import MembershipController
from bronzebeam.controllers.update_outbox import UpdateOutbox
from bronzebeam.entry.peer_app import PeerApp
from bronzebeam.transport.instance_list import (
    InstanceRole,
    InstanceState,
    ListedInstance,
)
from bronzebeam.transport.peer import HttpPeerClient
from tests.fixtures_fleet import (
    ENVIRONMENT,
    FakeNode,
    FakeStore,
    accepted_value,
    member,
    read_accepted,
)

ENTRIES = 8
SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 30.0
SERVER_HEADER_BYTES = len(
    "HTTP/1.1 200 \r\n"
    "date: Fri, 04 Dec 2026 00:00:00 GMT\r\nserver: hypercorn-h11\r\n\r\n"
)


class CountingApp:
    """Counts the bytes of HTTP that an application takes and gives."""

    def __init__(self, app: Any) -> None:
        self._app = app
        self.count = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            line = f"{scope['method']} {scope['path']} HTTP/1.1"
            self.count += len(line) + 4 + _header_bytes(scope["headers"])

        async def counted_receive() -> Any:
            event = await receive()
            self.count += len(event.get("body", b""))
            return event

        async def counted_send(event: Any) -> None:
            if event["type"] == "http.response.start":
                self.count += SERVER_HEADER_BYTES + _header_bytes(event["headers"])
            self.count += len(event.get("body", b""))
            await send(event)

        await self._app(scope, counted_receive, counted_send)


def _header_bytes(headers: Any) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers)


class SharedList:
    """An instance list that entries add themselves to."""

    def __init__(self) -> None:
        self.instances: list[ListedInstance] = []

    async def fetch(self) -> tuple[ListedInstance, ...]:
        return tuple(self.instances)


@asynccontextmanager
async def running_entry(
    name: str, store: FakeStore, listed: SharedList
) -> AsyncIterator[tuple[FakeNode, PeerApp, CountingApp]]:
    """Run one entry with its peer port; its record has the address."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    own = evolve(member(name), peer_address=address)
    client = HttpPeerClient()
    shared: dict[str, Any] = {"outbox": UpdateOutbox(), "rng": Random(name)}
    membership = MembershipController(
        own=own, instance_list=listed, clock=SystemClock(), **shared
    )
    configuration = ConfigurationController(
        environment=ENVIRONMENT,
        store=store,
        peers=client,
        membership=membership,
        read_document=read_accepted,
        clock=SystemClock(),
        **shared,
    )
    gossip = GossipController(
        membership=membership, configuration=configuration, peers=client, **shared
    )
    node = FakeNode(
        record=own, membership=membership, configuration=configuration, gossip=gossip
    )
    app = PeerApp(membership=membership, configuration=configuration, gossip=gossip)
    listed.instances.append(_listed(node))
    stop = anyio.Event()
    counting = CountingApp(app)
    served: Any = counting
    config = _server_config(listener.detach())
    serving = partial(serve, served, config, shutdown_trigger=stop.wait)
    # Hypercorn ends by its trigger only; it fails when it is cancelled.
    async with anyio.create_task_group() as server:
        server.start_soon(serving)
        server.start_soon(node.run)
        yield node, app, counting
        node.scope.cancel()
        stop.set()
    await client.aclose()


def _listed(node: FakeNode) -> ListedInstance:
    return ListedInstance(
        instance=node.record.instance,
        role=InstanceRole.ENTRY,
        service=None,
        address=node.record.address,
        peer_address=node.record.peer_address,
        failure_domain=node.record.failure_domain,
        state=InstanceState.LIVE,
    )


def _server_config(listener: int) -> Config:
    config = Config()
    config.bind = [f"fd://{listener}"]
    config.graceful_timeout = 0.1
    config.accesslog = config.errorlog = None
    return config


async def measure_idle() -> None:
    """Print the cost of one idle entry of `ENTRIES`, and of one exchange."""
    store, listed = FakeStore(), SharedList()
    store.put(accepted_value(1))
    async with AsyncExitStack() as stack:
        entries = [
            await stack.enter_async_context(running_entry(f"e{i}", store, listed))
            for i in range(ENTRIES)
        ]
        nodes = [node for node, _, _ in entries]
        await anyio.sleep(SETTLE_SECONDS)
        exchanges = sum(node.gossip.exchanges for node in nodes)
        before = sum(counting.count for _, _, counting in entries)
        cpu, calls = time.process_time(), store.calls
        await anyio.sleep(MEASURED_SECONDS)
        cpu = time.process_time() - cpu
        sent = sum(counting.count for _, _, counting in entries) - before
        exchanges = sum(node.gossip.exchanges for node in nodes) - exchanges
        calls = store.calls - calls
    per_entry = ENTRIES * MEASURED_SECONDS
    figures = {
        "entries": ENTRIES,
        "exchanges_per_second_an_entry": round(exchanges / per_entry, 3),
        "cpu_ms_per_second_an_entry": round(1000 * cpu / per_entry, 3),
        "bytes_per_second_an_entry_both_ways": round(2 * sent / per_entry),
        "cpu_ms_an_exchange_both_ends": round(1000 * cpu / exchanges, 3),
        "bytes_an_exchange": round(sent / exchanges),
        "store_calls_per_second": round(calls / MEASURED_SECONDS, 3),
    }
    print(orjson.dumps(figures).decode())


if __name__ == "__main__":
    anyio.run(measure_idle)
