"""HTTP/1.1 client connections on asyncio's transports, parsed by httptools."""

import asyncio
from enum import Enum
from typing import Any, Final, Protocol, cast

import httptools
from attrs import define, field

from bronzebeam.transport.socket_options import enable_dead_peer_detection

MAX_REPLY_BYTES: Final = 16 * 1024 * 1024  # limits the memory used by one reply
MAX_HEAD_BYTES: Final = 64 * 1024  # of one reply, with interim replies and trailers
MIN_HEADER_FRAMING_BYTES: Final = 2  # a colon and a line feed
MIN_INTERIM_BYTES: Final = 14  # a status line without a reason, and an empty line
# All replies that are being received; a small instance has 300 MB.
MAX_UNFINISHED_BYTES: Final = 24 * 1024 * 1024
MAX_UNFINISHED_SHARE: Final = 0.1  # of the memory limit of the process
HEADER_OBJECT_BYTES: Final = 160  # used by a header in addition to its text
KEEP_ALIVE_HEADER: Final = b"keep-alive"
TIMEOUT_PARAMETER: Final = b"timeout="
FIRST_FINAL_STATUS: Final = 200
BODYLESS_STATUSES: Final = (204, 304)

Headers = list[tuple[bytes, bytes]]


class HeadTooLarge(Exception):
    """The head of a reply, with its interim replies and trailers, is too large."""


class ExchangeFailure(Enum):
    """
    Why an exchange ended without a usable reply.

    `NOT_SENT`: no byte of the request was sent. `LOST`: the connection closed before
    the reply began. `MALFORMED`: the bytes received are not a valid reply, or the
    reply is too large. `TRUNCATED`: the connection closed in the middle of the reply.
    """

    NOT_SENT = "not_sent"
    LOST = "connection_lost"
    MALFORMED = "malformed_reply"
    TRUNCATED = "truncated_reply"


@define(kw_only=True, eq=False, repr=False)
class HttpReply:
    """
    A complete HTTP reply.

    :ivar headers: in the order received, with names in lower case.
    """

    status: int
    headers: Headers
    body: bytes


@define(kw_only=True, eq=False, repr=False)
class ReplyMemory:
    """
    The memory used by replies that are being received on all connections.

    Protects against servers that send without end: each reply alone may be large, but
    not those of many servers at the same time.

    :ivar given_up_count: replies given up since they would have exceeded the memory.
    """

    max_bytes: int = MAX_UNFINISHED_BYTES
    used_bytes: int = 0
    given_up_count: int = 0
    _unfinished: "set[ClientConnection]" = field(factory=set)

    @classmethod
    def of_process(cls, memory_limit_bytes: float) -> "ReplyMemory":
        """
        Return the memory for the replies of a process.

        :param memory_limit_bytes: memory that the process may use; 0 if unknown.
        """
        memory = cls()
        if memory_limit_bytes > 0:
            share_bytes = int(MAX_UNFINISHED_SHARE * memory_limit_bytes)
            memory.max_bytes = min(memory.max_bytes, share_bytes)
        return memory

    def add(self, connection: "ClientConnection") -> None:
        """Add a connection that waits for a reply."""
        self._unfinished.add(connection)

    def remove(self, connection: "ClientConnection") -> None:
        """Remove a connection whose reply is complete or was given up."""
        self.used_bytes -= connection.held_bytes
        self._unfinished.discard(connection)

    def limit(self) -> None:
        """Give up replies, the largest first, until the rest fits."""
        while self.used_bytes > self.max_bytes and self._unfinished:
            self.given_up_count += 1
            max(self._unfinished, key=lambda item: item.held_bytes).give_up()


class ExchangeObserver(Protocol):
    """Receives the end of one exchange on a connection."""

    def on_reply(self, connection: "ClientConnection", reply: HttpReply) -> None:
        """Handle the complete reply."""

    def on_failure(
        self, connection: "ClientConnection", failure: ExchangeFailure
    ) -> None:
        """Handle an exchange that ended without a usable reply."""


class ConnectionOwner(Protocol):
    """Keeps connections that are idle between exchanges."""

    def on_connection_idle(self, connection: "ClientConnection") -> None:
        """Handle a connection that is free for another request."""

    def on_connection_closed(self, connection: "ClientConnection") -> None:
        """Handle the end of a connection."""


class ClientConnection(asyncio.Protocol):
    """
    One connection to a server; carries one exchange at a time.

    Bytes that arrive outside an exchange, or after a complete reply, belong to no
    request. The connection is then closed, since a later reply could not be assigned
    to its request with certainty.
    """

    __slots__ = (
        "owner",
        "loop",
        "transport",
        "observer",
        "opened_at_seconds",
        "sent_at_seconds",
        "idle_since_seconds",
        "keep_alive_seconds",
        "proven",
        "reply_max_bytes",
        "reply_memory",
        "interim_seen",
        "closed",
        "closed_by_server",
        "_parser",
        "_headers",
        "_body",
        "held_bytes",
        "_received_bytes",
        "_head_bytes",
        "_unused_bytes",
        "_has_head",
        "_status",
        "_complete",
        "_trailing",
        "_keep_alive",
        "_until_end",
        "_bodyless",
        "_head_request",
    )

    def __init__(
        self,
        *,
        owner: ConnectionOwner,
        loop: asyncio.AbstractEventLoop,
        reply_max_bytes: int = MAX_REPLY_BYTES,
        reply_memory: ReplyMemory | None = None,
    ) -> None:
        self.owner = owner
        self.reply_max_bytes = reply_max_bytes
        self.reply_memory = ReplyMemory() if reply_memory is None else reply_memory
        # Memory used by the reply that is being received.
        self.held_bytes = 0
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.observer: ExchangeObserver | None = None
        self.opened_at_seconds = 0.0
        self.sent_at_seconds = 0.0
        self.idle_since_seconds = 0.0
        self.keep_alive_seconds: float | None = None
        # Whether a reply has confirmed that this is the intended server.
        self.proven = False
        self.closed = False
        self.closed_by_server = False
        self._head_request = False
        self._parser: Any = None
        self._headers: Headers = []
        # Parts are joined at once: one of 2 bytes alone would take 43.
        self._body = bytearray()
        # Received since the last byte of the body; the parser keeps a trailer.
        self._unused_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self._release_memory()
        self._has_head = False
        self._status = 0
        # Whether an interim reply (1xx) was received for the current exchange.
        self.interim_seen = False
        self._complete = False
        self._trailing = False
        self._keep_alive = False
        self._until_end = False
        self._bodyless = False

    @property
    def unfinished_bytes(self) -> int:
        """Return the number of bytes received of a reply that is not complete."""
        return 0 if self.observer is None else self._received_bytes

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket."""
        self.transport = cast(asyncio.Transport, transport)
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        self.opened_at_seconds = self.idle_since_seconds = self.loop.time()

    def data_received(self, data: bytes) -> None:
        """Feed the parser, and report the reply once it is complete."""
        if self.observer is None or self._complete:
            self.close()
            return
        self._received_bytes += len(data)
        self._hold(len(data))
        body_bytes = len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(ExchangeFailure.MALFORMED)
            return
        except httptools.HttpParserError:
            # A complete reply stays valid if invalid bytes follow it.
            if not self._complete:
                self._fail(ExchangeFailure.MALFORMED)
                return
            self._trailing = True
        if self._has_head and len(self._body) == body_bytes:
            self._unused_bytes += len(data)
        else:
            self._unused_bytes = 0
        if len(self._body) > self.reply_max_bytes or (
            not self._complete and self._may_be_endless()
        ):
            self._fail(ExchangeFailure.MALFORMED)
        elif self._complete:
            self._finish()
        else:
            self.reply_memory.limit()

    def eof_received(self) -> bool:
        """Complete a reply whose body is delimited by the end of the connection."""
        if self.observer is not None and self._until_end and not self._complete:
            self._complete = True
            self._trailing = True
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the current exchange, if any."""
        self.closed_by_server = not self.closed
        self.closed = True
        observer, self.observer = self.observer, None
        started = self._status or self._headers
        self._release_memory()
        if observer is not None:
            observer.on_failure(
                self, ExchangeFailure.TRUNCATED if started else ExchangeFailure.LOST
            )
        self.owner.on_connection_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Detect a second reply in the same bytes."""
        if self._complete:
            self._trailing = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers after the last chunk are ignored."""
        if self._complete:
            return
        self._count_head_bytes(len(name) + len(value) + MIN_HEADER_FRAMING_BYTES)
        if not self._has_head:
            self._hold(HEADER_OBJECT_BYTES)
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is marked."""
        if self._complete:
            return
        self._status = self._parser.get_status_code()
        self._has_head = self._status >= FIRST_FINAL_STATUS
        self._until_end = self._status not in BODYLESS_STATUSES and not any(
            name == b"content-length" or name == b"transfer-encoding"
            for name, _ in self._headers
        )
        if self._head_request:
            self._complete = True
            self._trailing = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if not self._complete:
            self._body += body

    def on_message_complete(self) -> None:
        """Mark the reply as complete, unless it is an interim reply."""
        if self._complete:
            return
        if self._status < FIRST_FINAL_STATUS:
            self._count_head_bytes(MIN_INTERIM_BYTES)
            self.interim_seen = True
            self._headers = []
            self._status = 0
            self._until_end = False
            return
        self._complete = True
        # The parser resets this value when the callback returns.
        self._keep_alive = bool(self._parser.should_keep_alive())

    # Methods for the owner of the connection.

    def send(self, data: bytes, observer: ExchangeObserver, *, is_head: bool) -> None:
        """
        Send a complete request.

        :param observer: notified once, of the reply or of the failure.
        :param is_head: whether this is a HEAD request, whose reply has no body.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            self.closed = True
            observer.on_failure(self, ExchangeFailure.NOT_SENT)
            return
        self._reset()
        self._head_request = is_head
        self._parser = httptools.HttpResponseParser(self)
        self.observer = observer
        self.reply_memory.add(self)
        self.sent_at_seconds = self.loop.time()
        self.transport.write(data)

    def abandon(self) -> None:
        """Close the connection without notifying the observer."""
        self.observer = None
        self._release_memory()
        self.close()

    def give_up(self) -> None:
        """Fail the exchange, since its reply uses too much memory."""
        self._fail(ExchangeFailure.MALFORMED)

    def close(self) -> None:
        """Close the connection; a current exchange fails."""
        self.closed = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()

    def _may_be_endless(self) -> bool:
        """Whether an unfinished reply has to be given up, since it may have no end."""
        # Counts all bytes: a reply may grow without a byte of body.
        received_bytes = self._received_bytes
        return (
            (not self._has_head and received_bytes > MAX_HEAD_BYTES)
            or self._unused_bytes > MAX_HEAD_BYTES
            or received_bytes > self.reply_max_bytes + MAX_HEAD_BYTES
        )

    def _count_head_bytes(self, count: int) -> None:
        """Count bytes of heads and trailers; beyond the limit, stop the parser."""
        self._head_bytes += count
        if self._head_bytes > MAX_HEAD_BYTES:
            raise HeadTooLarge

    def _hold(self, count: int) -> None:
        self.held_bytes += count
        self.reply_memory.used_bytes += count

    def _release_memory(self) -> None:
        """Drop what was received; the parser refers to the connection in a cycle."""
        self._parser = None
        self._headers = []
        self._body = bytearray()
        self.reply_memory.remove(self)
        self.held_bytes = 0
        self._received_bytes = 0
        self._head_bytes = 0
        self._unused_bytes = 0

    def _finish(self) -> None:
        observer, self.observer = self.observer, None
        reply = HttpReply(
            status=self._status, headers=self._headers, body=bytes(self._body)
        )
        self._release_memory()
        reusable = (
            not self._trailing
            and self._keep_alive
            and self.transport is not None
            and not self.transport.get_write_buffer_size()
        )
        if reusable:
            self._record_keep_alive_timeout(reply.headers)
            self.idle_since_seconds = self.loop.time()
        else:
            self.close()
        # The observer is notified first, since it may close the connection if the
        # reply shows that the server is not the intended one.
        if observer is not None:
            observer.on_reply(self, reply)
        if reusable and not self.closed:
            self.owner.on_connection_idle(self)

    def _fail(self, failure: ExchangeFailure) -> None:
        observer, self.observer = self.observer, None
        self._release_memory()
        self.close()
        if observer is not None:
            observer.on_failure(self, failure)

    def _record_keep_alive_timeout(self, headers: Headers) -> None:
        for name, value in headers:
            if name == KEEP_ALIVE_HEADER and value.startswith(TIMEOUT_PARAMETER):
                seconds = value[len(TIMEOUT_PARAMETER) :].split(b",")[0].strip()
                if seconds.isdigit():
                    self.keep_alive_seconds = float(seconds)
