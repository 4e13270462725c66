"""
Entries that communicate over loopback connections.

``python -m tests.fixtures_fleet_sockets`` prints the cost of idle entries as JSON.
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
    FakeEntry,
    FakeStore,
    document_json,
    make_member,
    parse_document,
)

ENTRIES = 8
SETTLE_SECONDS = 8.0
MEASUREMENT_SECONDS = 30.0
SERVER_HEADER_BYTES = len(
    "HTTP/1.1 200 \r\n"
    "date: Fri, 04 Dec 2026 00:00:00 GMT\r\nserver: hypercorn-h11\r\n\r\n"
)


class ByteCountingApp:
    """Counts the bytes of HTTP that an application receives and sends."""

    def __init__(self, app: Any) -> None:
        self._app = app
        self.byte_count = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            line = f"{scope['method']} {scope['path']} HTTP/1.1"
            self.byte_count += len(line) + 4 + _header_bytes(scope["headers"])

        async def counted_receive() -> Any:
            event = await receive()
            self.byte_count += len(event.get("body", b""))
            return event

        async def counted_send(event: Any) -> None:
            if event["type"] == "http.response.start":
                self.byte_count += SERVER_HEADER_BYTES + _header_bytes(event["headers"])
            self.byte_count += len(event.get("body", b""))
            await send(event)

        await self._app(scope, counted_receive, counted_send)


def _header_bytes(headers: Any) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers)


class SharedInstanceList:
    """Instance list that entries add themselves to."""

    def __init__(self) -> None:
        self.instances: list[ListedInstance] = []

    async def fetch(self) -> tuple[ListedInstance, ...]:
        return tuple(self.instances)


@asynccontextmanager
async def running_entry(
    name: str, store: FakeStore, listed: SharedInstanceList
) -> AsyncIterator[tuple[FakeEntry, PeerApp, ByteCountingApp]]:
    """Run one entry that listens for peers at the address in its record."""
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    own = evolve(make_member(name), peer_address=address)
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
        read_document=parse_document,
        clock=SystemClock(),
        **shared,
    )
    gossip = GossipController(
        membership=membership, configuration=configuration, peers=client, **shared
    )
    entry = FakeEntry(
        record=own, membership=membership, configuration=configuration, gossip=gossip
    )
    app = PeerApp(membership=membership, configuration=configuration, gossip=gossip)
    listed.instances.append(_listed(entry))
    stop = anyio.Event()
    counting = ByteCountingApp(app)
    served: Any = counting
    config = _server_config(listener.detach())
    serving = partial(serve, served, config, shutdown_trigger=stop.wait)
    # Hypercorn must be stopped by its shutdown trigger; it fails when cancelled.
    async with anyio.create_task_group() as server:
        server.start_soon(serving)
        server.start_soon(entry.run)
        yield entry, app, counting
        entry.scope.cancel()
        stop.set()
    await client.aclose()


def _listed(entry: FakeEntry) -> ListedInstance:
    return ListedInstance(
        instance=entry.record.instance,
        role=InstanceRole.ENTRY,
        service=None,
        address=entry.record.address,
        peer_address=entry.record.peer_address,
        failure_domain=entry.record.failure_domain,
        state=InstanceState.LIVE,
    )


def _server_config(listener: int) -> Config:
    config = Config()
    config.bind = [f"fd://{listener}"]
    config.graceful_timeout = 0.1
    config.accesslog = config.errorlog = None
    return config


async def measure_idle() -> None:
    """Print the cost of an idle entry in a fleet of `ENTRIES`, and of an exchange."""
    store, listed = FakeStore(), SharedInstanceList()
    store.put(document_json(1))
    async with AsyncExitStack() as stack:
        running = [
            await stack.enter_async_context(running_entry(f"e{i}", store, listed))
            for i in range(ENTRIES)
        ]
        entries = [entry for entry, _, _ in running]
        await anyio.sleep(SETTLE_SECONDS)
        exchanges = sum(entry.gossip.exchanges for entry in entries)
        before = sum(counting.byte_count for _, _, counting in running)
        cpu, calls = time.process_time(), store.calls
        await anyio.sleep(MEASUREMENT_SECONDS)
        cpu = time.process_time() - cpu
        sent = sum(counting.byte_count for _, _, counting in running) - before
        exchanges = sum(entry.gossip.exchanges for entry in entries) - exchanges
        calls = store.calls - calls
    per_entry = ENTRIES * MEASUREMENT_SECONDS
    figures = {
        "entries": ENTRIES,
        "exchanges_per_second_an_entry": round(exchanges / per_entry, 3),
        "cpu_ms_per_second_an_entry": round(1000 * cpu / per_entry, 3),
        "bytes_per_second_an_entry_both_ways": round(2 * sent / per_entry),
        "cpu_ms_an_exchange_both_ends": round(1000 * cpu / exchanges, 3),
        "bytes_an_exchange": round(sent / exchanges),
        "store_calls_per_second": round(calls / MEASUREMENT_SECONDS, 3),
    }
    print(orjson.dumps(figures).decode())


if __name__ == "__main__":
    anyio.run(measure_idle)
