"""An asyncio event loop with virtual time and an in-memory network."""

import asyncio
import contextvars
import gc
import selectors
import struct
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from attrs import define, field

from bronzebeam.transport.caller_connection import TCP_INFO_RTT_OFFSET

ResultT = TypeVar("ResultT")
Address = tuple[str, int]
ONE_WAY_DELAY_SECONDS = 0.0005
ORDER_SECONDS = 1e-9  # between deliveries of one connection
START_SECONDS = 1_000.0
LOCAL_HOST: contextvars.ContextVar[str] = contextvars.ContextVar(
    "own_host", default="tester"
)


class Deadlock(Exception):
    """No timer or callback is left, so the loop would wait forever."""


class VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = START_SECONDS

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Deadlock("no timer is set")
        self.now_seconds += max(0.0, timeout)
        return []


@define(kw_only=True, eq=False)
class FakeSocket:
    """
    Ignores socket options, and reads none but the round-trip time.

    :ivar round_trip_seconds: reported by TCP_INFO; None to fail.
    """

    round_trip_seconds: float | None

    def fileno(self) -> int:
        return -1  # not a descriptor

    def setsockopt(self, *args: Any) -> None:
        pass

    def getsockopt(self, *args: Any) -> bytes:
        if self.round_trip_seconds is None:
            raise OSError("not a real socket")
        round_trip_us = struct.pack("I", round(self.round_trip_seconds * 1e6))
        return bytes(TCP_INFO_RTT_OFFSET) + round_trip_us


def context_of_host(host: str) -> contextvars.Context:
    """Return a context in which connections are opened from a host."""
    context = contextvars.copy_context()
    context.run(LOCAL_HOST.set, host)
    return context


class FakeTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, *, net: "VirtualNet", local_host: str, remote_host: str) -> None:
        super().__init__()
        self.net = net
        self.local_host = local_host
        self.remote_host = remote_host
        self.peer: FakeTransport | None = None
        self.protocol: Any = None
        self.closed = False
        self.is_reading_paused = False
        self.buffered: list[bytes] = []
        self.sent_bytes = b""
        self.last_delivery_seconds = 0.0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name != "socket":
            return default
        delay_seconds = self.net.one_way_seconds(self.local_host, self.remote_host)
        return FakeSocket(
            round_trip_seconds=(
                2 * delay_seconds if self.net.reports_round_trips else None
            )
        )

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def pause_reading(self) -> None:
        self.is_reading_paused = True

    def resume_reading(self) -> None:
        self.is_reading_paused = False
        buffered, self.buffered = self.buffered, []
        for data in buffered:
            self._receive(data)

    def write(self, data: Any) -> None:
        if self.closed:
            return
        self.sent_bytes += bytes(data)
        self._send(lambda end: end._receive(bytes(data)), byte_count=len(data))

    def close(self) -> None:
        self._close(reset=False)

    def abort(self) -> None:
        self._close(reset=True)

    def _close(self, *, reset: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self._send(lambda end: end._receive_close(reset))
        self.net.loop.call_soon(
            self.protocol.connection_lost,
            None,
            context=context_of_host(self.local_host),
        )

    def _send(
        self, deliver: Callable[["FakeTransport"], None], *, byte_count: int = 0
    ) -> None:
        peer = self.peer
        if peer is None or self.net.is_partitioned(self.local_host, self.remote_host):
            return
        at_seconds = self.net.delivery_at_seconds(
            self.local_host, self.remote_host, byte_count
        )
        if at_seconds <= self.last_delivery_seconds:
            # Timers that are due at the same time are run in any order.
            at_seconds = self.last_delivery_seconds + ORDER_SECONDS
        self.last_delivery_seconds = at_seconds
        self.net.loop.call_at(
            at_seconds,
            deliver,
            peer,
            context=context_of_host(peer.local_host),
        )

    def _receive(self, data: bytes) -> None:
        if self.closed or self.net.is_partitioned(self.local_host, self.remote_host):
            return
        if self.is_reading_paused:
            self.buffered.append(data)
            return
        self.protocol.data_received(data)

    def _receive_close(self, reset: bool) -> None:
        if self.closed or self.net.is_partitioned(self.local_host, self.remote_host):
            return
        self.closed = True
        if reset:
            error: Exception | None = ConnectionResetError("reset")
        else:
            error = None
            self.protocol.eof_received()
        self.protocol.connection_lost(error)


@define(kw_only=True, eq=False)
class FakeListener:
    """Server object returned by `create_server`."""

    net: "VirtualNet"
    address: Address

    def close(self) -> None:
        self.net.listeners.pop(self.address, None)


@define(kw_only=True, eq=False)
class VirtualNet:
    """
    In-memory network.

    :ivar listeners: protocol factories by the address that they listen on.
    :ivar partitioned_hosts: hosts whose traffic is silently dropped.
    :ivar partitioned_pairs: pairs of hosts whose traffic is silently dropped.
    :ivar refusing_pairs: pairs of hosts whose new connections are refused, while open
        ones go on.
    :ivar delayed_pairs: additional one-way delay in seconds, by pair of hosts.
    :ivar link_bytes_per_second: rate of the outgoing link of a host; unlimited if it
        is missing.
    :ivar processing_seconds: time that a host takes to read what one write sent, one
        after the other.
    :ivar reports_round_trips: sockets know the round-trip time.
    """

    loop: "VirtualLoop"
    listeners: dict[Address, Callable[[], Any]] = field(factory=dict)
    partitioned_hosts: set[str] = field(factory=set)
    partitioned_pairs: set[frozenset[str]] = field(factory=set)
    refusing_pairs: set[frozenset[str]] = field(factory=set)
    delayed_pairs: dict[frozenset[str], float] = field(factory=dict)
    transports: list[FakeTransport] = field(factory=list)
    connect_attempts: list[Address] = field(factory=list)
    link_bytes_per_second: dict[str, float] = field(factory=dict)
    processing_seconds: dict[str, float] = field(factory=dict)
    reports_round_trips: bool = False
    _link_free_at_seconds: dict[str, float] = field(factory=dict)
    _host_free_at_seconds: dict[str, float] = field(factory=dict)

    def one_way_seconds(self, one: str, other: str) -> float:
        """Return the delay between two hosts."""
        pair = frozenset((one, other))
        return ONE_WAY_DELAY_SECONDS + self.delayed_pairs.get(pair, 0.0)

    def delivery_at_seconds(self, sender: str, receiver: str, byte_count: int) -> float:
        """Return when the receiver has read what is sent now."""
        at_seconds = self.loop.time()
        if sender in self.link_bytes_per_second:
            at_seconds = max(at_seconds, self._link_free_at_seconds.get(sender, 0.0))
            at_seconds += byte_count / self.link_bytes_per_second[sender]
            self._link_free_at_seconds[sender] = at_seconds
        at_seconds += self.one_way_seconds(sender, receiver)
        if receiver in self.processing_seconds:
            at_seconds = max(at_seconds, self._host_free_at_seconds.get(receiver, 0.0))
            at_seconds += self.processing_seconds[receiver]
            self._host_free_at_seconds[receiver] = at_seconds
        return at_seconds

    def is_partitioned(self, one: str, other: str) -> bool:
        if one in self.partitioned_hosts or other in self.partitioned_hosts:
            return True
        return frozenset((one, other)) in self.partitioned_pairs

    def reset_connections(self, host: str) -> None:
        """Reset all connections of a host."""
        for transport in list(self.transports):
            if transport.local_host == host:
                transport.abort()

    def open_connection(
        self, factory: Callable[[], Any], address: Address, local_host: str
    ) -> tuple[FakeTransport, Any]:
        """Open a connection immediately, without handshake delay."""
        accept = self.listeners.get(address)
        if accept is None:
            raise ConnectionRefusedError(111, "Connection refused")
        client = FakeTransport(net=self, local_host=local_host, remote_host=address[0])
        server = FakeTransport(net=self, local_host=address[0], remote_host=local_host)
        client.peer, server.peer = server, client
        client.protocol, server.protocol = factory(), accept()
        self.transports = [t for t in self.transports if not t.closed]
        self.transports += [client, server]
        for end in (server, client):
            context_of_host(end.local_host).run(end.protocol.connection_made, end)
        return client, client.protocol


class VirtualLoop(asyncio.SelectorEventLoop):
    """
    Event loop with virtual time and an in-memory network.

    `LOCAL_HOST` determines the host that a connection is opened from. It is a context
    variable, inherited by all tasks of a host.
    """

    def __init__(self) -> None:
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)
        self.net = VirtualNet(loop=self)
        self.signal_handlers: dict[int, list[Callable[[], None]]] = {}

    def time(self) -> float:
        return self.virtual_selector.now_seconds

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int
    ) -> tuple[FakeTransport, Any]:
        local_host = LOCAL_HOST.get()
        self.net.connect_attempts.append((host, port))
        if self.net.is_partitioned(local_host, host):
            await asyncio.sleep(3_600.0)
        await asyncio.sleep(2 * ONE_WAY_DELAY_SECONDS)
        if frozenset((local_host, host)) in self.net.refusing_pairs:
            raise ConnectionRefusedError(111, "Connection refused")
        return self.net.open_connection(protocol_factory, (host, port), local_host)

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str,
        port: int,
        backlog: int = 100,
    ) -> FakeListener:
        self.net.listeners[(host, port)] = protocol_factory
        return FakeListener(net=self.net, address=(host, port))

    def add_signal_handler(  # type: ignore[override]
        self, sig: int, callback: Callable[..., Any], *args: Any
    ) -> None:
        self.signal_handlers.setdefault(sig, []).append(lambda: callback(*args))


def run_in_virtual_time(
    main: Callable[[VirtualLoop], Coroutine[Any, Any, ResultT]],
) -> ResultT:
    """Run `main` in a new event loop with virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        # As `asyncio.run` does: a cancelled task may need several steps to end.
        while tasks := asyncio.all_tasks(loop):
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
        # Each gateway freezes all objects that exist soon after its start.
        gc.unfreeze()
