"""
Clients that do not keep to the limits, in a process of their own.

``python -m tests.crowd_process`` reads crowds, as a line of JSON, from standard input,
plays them, and writes a summary once they have sent all, or make no progress. The
connections then stay open until standard input is closed; a second summary follows.
"""

import errno
import json
import select
import socket
import struct
import sys
import time
from typing import Any

from attrs import define, field

BLOCK_BYTES = 64 * 1024
BATCH_CLIENTS = 20
MAX_PROCESS_SECONDS = 60.0
STALLED_SECONDS = 1.5
POLL_SECONDS = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
UNREAD_WINDOW_BYTES = 4_096


@define(kw_only=True)
class Crowd:
    """
    Clients that send the same.

    :ivar port: on the loopback interface.
    :ivar count: of clients.
    :ivar opening: sent once on each connection.
    :ivar repeated: sent again and again after it.
    :ivar limit_bytes: of the repeated bytes, on each connection.
    :ivar closing: sent once after them.
    :ivar reconnects: how often each client connects again after its connection ended.
    :ivar interval_seconds: between two repetitions; 0 to send as fast as possible.
    :ivar reads: whether the clients read what they are sent.
    :ivar resets: whether they reset their connections after they have sent all.
    :ivar batch_seconds: between connects of a few clients; 0 to connect all at once.
    :ivar max_seconds: for which the crowd sends at most.
    """

    port: int
    count: int
    opening: str = ""
    repeated: str = ""
    limit_bytes: int = 0
    closing: str = ""
    reconnects: int = 0
    interval_seconds: float = 0.0
    reads: bool = True
    resets: bool = False
    batch_seconds: float = 0.0
    max_seconds: float = 12.0


@define(kw_only=True, eq=False)
class Client:
    """One client, and what it has sent on its present connection."""

    crowd: Crowd
    block: bytes
    sock: socket.socket | None = None
    sent_bytes: int = 0
    connected_count: int = 0
    next_at_seconds: float = 0.0
    ended_count: int = 0

    @property
    def total_bytes(self) -> int:
        crowd = self.crowd
        return len(crowd.opening) + crowd.limit_bytes + len(crowd.closing)

    @property
    def has_sent_all(self) -> bool:
        return self.sent_bytes >= self.total_bytes

    def next_part(self) -> bytes:
        """Return what is to be sent next."""
        opening, closing = self.crowd.opening.encode(), self.crowd.closing.encode()
        if self.sent_bytes < len(opening):
            return opening[self.sent_bytes :]
        done = self.sent_bytes - len(opening)
        left = self.crowd.limit_bytes - done
        if left <= 0:
            return closing[-left:]
        offset = done % len(self.block)
        if self.crowd.interval_seconds:
            return self.block[offset : offset + min(left, len(self.crowd.repeated))]
        return self.block[offset : offset + left]


@define(kw_only=True, eq=False)
class Player:
    """Plays crowds with one thread."""

    clients: list[Client]
    poll: Any = field(factory=select.epoll)
    by_descriptor: dict[int, Client] = field(factory=dict)
    total_sent_bytes: int = 0
    progressed_at_seconds: float = 0.0
    started_at_seconds: float = 0.0

    def connect(self, client: Client) -> None:
        if client.connected_count > client.crowd.reconnects:
            return
        sock = socket.socket()
        if not client.crowd.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_WINDOW_BYTES)
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", client.crowd.port))
        client.sock = sock
        client.sent_bytes = 0
        client.connected_count += 1
        client.next_at_seconds = time.monotonic()
        self.by_descriptor[sock.fileno()] = client
        self.poll.register(sock.fileno(), self._events(client))
        self.progressed_at_seconds = time.monotonic()

    def disconnect(self, client: Client) -> None:
        assert client.sock is not None
        self.poll.unregister(client.sock.fileno())
        del self.by_descriptor[client.sock.fileno()]
        client.sock.close()
        client.sock = None
        client.ended_count += 1
        self.connect(client)

    def play(self) -> None:
        """Send until all is sent, or there is no progress."""
        self.started_at_seconds = time.monotonic()
        for number, client in enumerate(self.clients):
            self.connect(client)
            if client.crowd.batch_seconds and number % BATCH_CLIENTS == 0:
                until_seconds = time.monotonic() + client.crowd.batch_seconds
                while time.monotonic() < until_seconds:
                    self.step(sending=True)
        while not self.is_done():
            self.step(sending=True)

    def is_done(self) -> bool:
        now_seconds = time.monotonic()
        played_seconds = now_seconds - self.started_at_seconds
        sending = [
            client
            for client in self.clients
            if client.sock is not None
            and (not client.has_sent_all or client.crowd.resets)
            and played_seconds < client.crowd.max_seconds
        ]
        if any(client.crowd.interval_seconds for client in sending):
            return False
        return not sending or (
            now_seconds - self.progressed_at_seconds > STALLED_SECONDS
        )

    def step(self, *, sending: bool) -> None:
        """Handle the events of the connections once."""
        now_seconds = time.monotonic()
        for client in self.clients:
            if client.crowd.interval_seconds and client.sock is not None:
                self.poll.modify(client.sock.fileno(), self._events(client))
        for descriptor, events in self.poll.poll(POLL_SECONDS):
            client = self.by_descriptor[descriptor]
            try:
                if events & (select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
                    raise ConnectionResetError
                if events & select.EPOLLIN:
                    self._receive(client)
                if events & select.EPOLLOUT and sending:
                    self._send(client, now_seconds)
            except BlockingIOError:
                pass
            except OSError as error:
                assert error.errno not in (errno.EMFILE, errno.EADDRNOTAVAIL)
                self.disconnect(client)

    def _receive(self, client: Client) -> None:
        assert client.sock is not None
        if not client.sock.recv(BLOCK_BYTES):
            raise ConnectionResetError

    def _send(self, client: Client, now_seconds: float) -> None:
        assert client.sock is not None
        if not client.has_sent_all:
            count = client.sock.send(client.next_part())
            client.sent_bytes += count
            self.total_sent_bytes += count
            self.progressed_at_seconds = now_seconds
            client.next_at_seconds = now_seconds + client.crowd.interval_seconds
        if client.has_sent_all and client.crowd.resets:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raise ConnectionResetError
        if client.has_sent_all or client.crowd.interval_seconds:
            self.poll.modify(client.sock.fileno(), self._events(client))

    def _events(self, client: Client) -> int:
        events = select.EPOLLRDHUP
        if client.crowd.reads:
            events |= select.EPOLLIN
        is_due = time.monotonic() >= client.next_at_seconds
        if is_due and (not client.has_sent_all or client.crowd.resets):
            events |= select.EPOLLOUT
        return events

    def summary(self) -> dict[str, Any]:
        return {
            "sent_bytes": self.total_sent_bytes,
            "ended": sum(client.ended_count for client in self.clients),
            "open": sum(client.sock is not None for client in self.clients),
        }


def main() -> None:
    crowds = [Crowd(**item) for item in json.loads(sys.stdin.readline())]
    clients = [
        Client(
            crowd=crowd,
            block=crowd.repeated.encode()
            * (BLOCK_BYTES // max(1, len(crowd.repeated)) + 1),
        )
        for crowd in crowds
        for _ in range(crowd.count)
    ]
    player = Player(clients=clients)
    deadline_seconds = time.monotonic() + MAX_PROCESS_SECONDS
    player.play()
    print(json.dumps(player.summary()), flush=True)
    while time.monotonic() < deadline_seconds:
        if select.select([sys.stdin], [], [], 0)[0]:
            break
        player.step(sending=False)
    print(json.dumps(player.summary()), flush=True)


if __name__ == "__main__":
    main()
