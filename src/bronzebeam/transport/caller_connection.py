"""Connections from callers: HTTP/1.1 on asyncio transports, parsed by httptools."""

import asyncio
import heapq
import math
import socket
import struct
from collections import deque
from typing import Any, Final, Protocol, cast

import httptools
from attrs import define, field

from bronzebeam.routing.routes import CallerLimits
from bronzebeam.transport.caller_memory import CallerMemory
from bronzebeam.transport.caller_request import HttpRequest, encode_response
from bronzebeam.transport.http_reply import Headers
from bronzebeam.transport.socket_options import (
    count_unread_bytes,
    enable_dead_peer_detection,
)
from bronzebeam.transport.stall_clock import StallClock
from bronzebeam.units import MS_PER_SECOND

# Read at once into a buffer that all connections share.
READ_BYTES: Final = 16 * 1024
# Of one connection, received behind a request in work; reading then pauses.
MAX_BACKLOG_BYTES: Final = 16 * 1024
# Of one connection; its next request is handled once less than this is unread.
MAX_UNREAD_BYTES: Final = 16 * 1024
OBJECT_BYTES: Final = 150  # memory of a header or a read, beside its text
REQUEST_BYTES: Final = 600  # likewise, of a request
# Fed to the parser at once, so that what it keeps is known after each piece.
PIECE_BYTES: Final = 1024
LINE_END: Final = b"\r\n"
# Added to the idle limit, so that a caller with the same limit closes first.
IDLE_MARGIN_SECONDS: Final = 0.5
DEFAULT_ROUND_TRIP_MS: Final = 7.0  # if the operating system reports none
# Offset of the smoothed round-trip time, in microseconds, in Linux's
# `struct tcp_info`.
TCP_INFO_BYTES: Final = 104
TCP_INFO_RTT_OFFSET: Final = 68
# Of all connections, closed together if there are too many: to find them takes time.
IDLE_SHARE_CLOSED: Final = 0.05
NO_ROOM_STATUS: Final = 503
FULL_SECONDS: Final = 0.1  # after none was found; new connections are then refused
US_PER_MS: Final = 1_000.0
PROCESSING: Final = b"HTTP/1.1 102 Processing\r\n\r\n"
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestHandler(Protocol):
    """Handles complete requests."""

    def __call__(self, request: HttpRequest) -> None:
        """Respond to `request`, at once or later."""


@define(kw_only=True, eq=False, repr=False)
class CallerServer:
    """
    State shared by all connections from callers.

    :ivar limits: from the active configuration.
    :ivar stall_clock: tells for how long what is read now may have waited; None if that
        is not measured.
    :ivar closing: whether each response announces that the connection will be closed.
    :ivar max_connections: beyond these, idle ones are closed, or new ones refused.
    :ivar idle_closed_count: idle connections closed because there were too many.
    :ivar slow_closed_count: connections closed for the same reason whose callers took
        long to send a request or to read a response.
    :ivar refused_count: new connections refused because none could be closed.
    :ivar memory: shared with the other servers of the process.
    """

    handle: RequestHandler
    loop: asyncio.AbstractEventLoop
    limits: CallerLimits = field(factory=CallerLimits)
    stall_clock: StallClock | None = None
    closing: bool = False
    connections: set["CallerConnection"] = field(factory=set)
    max_connections: float = math.inf
    idle_closed_count: int = 0
    slow_closed_count: int = 0
    refused_count: int = 0
    _full_until_seconds: float = -math.inf
    memory: CallerMemory = field(factory=CallerMemory)
    read_buffer: bytearray = field(factory=lambda: bytearray(READ_BYTES))

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being handled."""
        return sum(1 for item in self.connections if item.request is not None)

    def new_connection(self) -> "CallerConnection":
        """Return the protocol for a newly accepted connection."""
        return CallerConnection(server=self)

    def accept(self, connection: "CallerConnection") -> bool:
        """Register a connection; False if there are too many, and none is unused."""
        if len(self.connections) >= self.max_connections and not self._make_room():
            self.refused_count += 1
            return False
        self.connections.add(connection)
        self.memory.users.add(connection)
        return True

    def _make_room(self) -> bool:
        """Close the connections that are idle, or wait for their callers, longest."""
        now_seconds = self.loop.time()
        if now_seconds < self._full_until_seconds:
            return False
        count = math.ceil(IDLE_SHARE_CLOSED * self.max_connections)
        idle = heapq.nsmallest(
            count,
            [
                item
                for item in self.connections
                if item.can_be_closed
                and not item.unread_bytes
                and not item.has_unread_input
            ],
            key=lambda item: item.active_at_seconds,
        )
        for connection in idle:
            connection.close_if_unused()
        self.idle_closed_count += len(idle)
        slow = heapq.nsmallest(
            count - len(idle),
            [
                item
                for item in self.connections
                if item.awaits_caller_since_seconds < math.inf
            ],
            key=lambda item: item.awaits_caller_since_seconds,
        )
        for connection in slow:
            connection.close_slow()
        self.slow_closed_count += len(slow)
        for connection in (*idle, *slow):
            self.forget(connection)
        if not idle and not slow:
            self._full_until_seconds = now_seconds + FULL_SECONDS
        return bool(idle or slow)

    def forget(self, connection: "CallerConnection") -> None:
        """Remove a connection that is closed, or being closed."""
        self.connections.discard(connection)
        self.memory.users.discard(connection)

    def end_requests(self) -> list[Exception]:
        """
        Respond to all requests, since the process is about to exit.

        :return: exceptions of single requests; these are responded to as well.
        """
        errors: list[Exception] = []
        for connection in list(self.connections):
            if connection.request is not None:
                try:
                    connection.request.end_at_stop()
                except Exception as error:
                    errors.append(error)
        return errors

    def close_timed_out(self) -> None:
        """Close connections that are idle, or send a request, for too long."""
        now_seconds = self.loop.time()
        for connection in list(self.connections):
            connection.close_if_timed_out(now_seconds)

    def close_idle(self, *, min_idle_seconds: float) -> None:
        """Close unused connections without traffic for `min_idle_seconds`."""
        now_seconds = self.loop.time()
        for connection in list(self.connections):
            if now_seconds - connection.active_at_seconds >= min_idle_seconds:
                connection.close_if_unused()


class CallerConnection(asyncio.BufferedProtocol):
    """One connection from a caller; responds to requests in the order received."""

    def __init__(self, *, server: CallerServer) -> None:
        self.server = server
        self.request: HttpRequest | None = None
        self.active_at_seconds = server.loop.time()
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        # More than one only if they came in the same piece of bytes.
        self._pending_requests: deque[HttpRequest] = deque()
        # What is received behind a request in work, with the time of each read.
        self._backlog: deque[tuple[bytes, float]] = deque()
        self._backlog_offset = 0  # of the first read, parsed already
        self._backlog_bytes = 0
        self._is_reading_paused = False
        self._read_at_seconds = 0.0  # when the bytes that are parsed were read
        self._measured_round_trip_ms: float | None = None
        self._closing = False
        self._queued_bytes = 0  # of complete requests until they are answered
        self._held_bytes = 0
        self._last_unread_bytes = 0
        self._received_any = False
        self._request_started_at_seconds: float | None = None
        # Later than that if the request was read behind another one.
        self._awaited_since_seconds = 0.0
        self._rejection: tuple[int, str] | None = None
        # Bytes that the parser has received since its last callback, and may keep.
        self._unreported_bytes = 0
        self._has_reported = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._has_head = False
        self._body = bytearray()  # a list would take fifty bytes for each small chunk
        self._request_bytes = 0
        self._kept_bytes = 0  # of these, what the parser may keep

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket and register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        if not self.server.accept(self):
            self._closing = True
            self.abort()
            return
        self._transport.set_write_buffer_limits(high=MAX_UNREAD_BYTES)
        enable_dead_peer_detection(transport.get_extra_info("socket"))

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read out of the shared buffer."""
        self.data_received(bytes(memoryview(self.server.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse `data`, or keep it until the earlier requests are answered."""
        if self._closing or self._rejection is not None:
            return
        clock = self.server.stall_clock
        waited_seconds = clock.stalled_seconds() if clock is not None else 0.0
        self._backlog.append((data, self.server.loop.time() - waited_seconds))
        self._backlog_bytes += len(data) + OBJECT_BYTES
        self._handle_next()
        self._update_memory()
        if self._backlog_bytes >= MAX_BACKLOG_BYTES and self._transport is not None:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the current request that the caller has disconnected."""
        self._closing = True
        self.server.forget(self)
        self.server.memory.unread.pop(self, None)
        self._pending_requests.clear()
        self._drop_backlog()
        self._reset_request()
        self._queued_bytes = 0
        self._update_memory()
        # Parser and connection refer to each other, and hold what was received until a
        # collection of cycles, which no number of bytes starts.
        self._parser = None
        request, self.request = self.request, None
        if request is not None:
            request.handle_disconnect()

    def pause_writing(self) -> None:
        """Handle no further request until the caller reads its responses."""
        self.server.memory.unread[self] = None
        self.server.memory.limit_unread()

    def resume_writing(self) -> None:
        """Handle the next request."""
        self.server.memory.unread.pop(self, None)
        self.server.loop.call_soon(self._handle_next)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._has_reported = True
        self._reset_request()
        self._request_bytes = REQUEST_BYTES
        self._request_started_at_seconds = self._read_at_seconds
        self._awaited_since_seconds = self.server.loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._has_reported = True
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._has_reported = True
        if self._rejection is not None:
            return
        self._count_header_bytes(len(name) + len(value) + 4)
        if not self._has_head:
            # After the body come trailers, which nobody asks for (RFC 9110, 6.5.1).
            self._request_bytes += len(name) + len(value) + OBJECT_BYTES
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Send `100 Continue` if the caller expects it before the body."""
        self._has_reported = True
        self._has_head = True
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                if self._transport is not None and self.request is None:
                    self._transport.write(CONTINUE)

    def on_chunk_header(self) -> None:
        """Note that the parser has received the size of a chunk."""
        self._has_reported = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._has_reported = True
        if self._rejection is not None:
            return
        self._body += body
        if len(self._body) > self.server.limits.body_max_bytes:
            self._reject(413, "the body is larger than the limit")
        self._request_bytes += len(body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._has_reported = True
        if self._rejection is not None:
            return
        started_at_seconds = self._request_started_at_seconds
        self._request_started_at_seconds = None
        self._pending_requests.append(
            HttpRequest(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=bytes(self._body),
                arrived_at_seconds=started_at_seconds or self.active_at_seconds,
                writer=self,
                round_trip_ms=self._round_trip_ms(),
                is_first=not self._received_any,
                keep_alive=self._parser.should_keep_alive(),
                held_bytes=self._request_bytes,
            )
        )
        self._received_any = True
        self._queued_bytes += self._request_bytes
        self._reset_request()

    # Methods for requests and the server.

    def write_response(
        self, request: HttpRequest, status: int, headers: Headers, body: bytes
    ) -> None:
        """Write a response and schedule the next request."""
        transport = self._transport
        self.request = None
        self._queued_bytes -= request.held_bytes
        self._update_memory()
        self.active_at_seconds = self.server.loop.time()
        if transport is None or transport.is_closing():
            return
        if self.server.closing and self._is_between_requests:
            request.keep_alive = False
        transport.write(encode_response(request, status, headers, body))
        if not request.keep_alive:
            self._closing = True
            transport.close()
            return
        if self._pending_requests or self._backlog or self._rejection is not None:
            self.server.loop.call_soon(self._handle_next)

    def write_interim_response(self, request: HttpRequest) -> None:
        """Write an interim response to the current request."""
        if self._transport is not None and self.request is request:
            self._transport.write(PROCESSING)

    def close_if_timed_out(self, now_seconds: float) -> None:
        """Close the connection if a limit on idle or receive time is exceeded."""
        limits = self.server.limits
        if self.request is not None:
            return
        if unread_bytes := self.unread_bytes:
            if unread_bytes != self._last_unread_bytes:
                self._last_unread_bytes = unread_bytes
                self.active_at_seconds = now_seconds
            elif now_seconds - self.active_at_seconds > (
                limits.idle_timeout_ms / MS_PER_SECOND
            ):
                self.abort()
            return
        if self._closing:
            return
        if self._request_started_at_seconds is not None:
            waited_ms = (now_seconds - self._awaited_since_seconds) * MS_PER_SECOND
            if waited_ms > limits.header_timeout_ms + MS_PER_SECOND:
                self._respond_with_error(408, "the request was not received in time")
            return
        idle_seconds = now_seconds - self.active_at_seconds
        if idle_seconds > limits.idle_timeout_ms / MS_PER_SECOND + IDLE_MARGIN_SECONDS:
            self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close the connection unless a request is being received or handled."""
        if self.can_be_closed:
            self._closing = True
            if self._transport is not None:
                self._transport.close()

    def close_slow(self) -> None:
        """Close the connection, since its caller takes long and others wait."""
        if self.unread_bytes:
            self.abort()
        else:
            self._respond_with_error(408, "the request was not received in time")

    def refuse_for_memory(self) -> None:
        """Refuse what is being received, and release its memory."""
        self._reject(NO_ROOM_STATUS, "too many large requests are being received")
        self.server.loop.call_soon(self._handle_next)

    def abort(self) -> None:
        """Close the connection now; what is unread is lost."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def unread_bytes(self) -> int:
        """Return how much of the responses the operating system has not taken."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def has_unread_input(self) -> bool:
        """Whether the operating system has bytes that are not read yet."""
        return self._transport is not None and (
            count_unread_bytes(self._transport.get_extra_info("socket")) > 0
        )

    @property
    def receiving_bytes(self) -> int:
        """Return the memory of what is received and not handled yet."""
        return self._request_bytes + self._backlog_bytes

    @property
    def awaits_caller_since_seconds(self) -> float:
        """Return since when its caller has to send or read; infinite if it has not."""
        if self.request is not None or self._closing:
            return math.inf
        if self.unread_bytes:
            return self.active_at_seconds
        if self._request_started_at_seconds is None:
            return math.inf
        return self._awaited_since_seconds

    @property
    def can_be_closed(self) -> bool:
        """Whether it is open, and no request is being received or handled."""
        return not self._closing and self.request is None and self._is_between_requests

    @property
    def _is_between_requests(self) -> bool:
        """Whether nothing was received beyond the current request."""
        return (
            not self._pending_requests
            and not self._backlog
            and self._rejection is None
            and self._request_started_at_seconds is None
        )

    def _round_trip_ms(self) -> float:
        if self._measured_round_trip_ms is None and self._transport is not None:
            self._measured_round_trip_ms = measure_round_trip_ms(
                self._transport.get_extra_info("socket")
            )
        return self._measured_round_trip_ms or DEFAULT_ROUND_TRIP_MS

    def _parse_next_request(self) -> None:
        """Parse the backlog up to the next complete request."""
        try:
            while self._backlog and self._rejection is None:
                if self._request_started_at_seconds is None:
                    self._skip_empty_lines()
                if self._pending_requests or not self._backlog:
                    break
                self._parse(self._next_piece())
        except httptools.HttpParserUpgrade:
            # The request is handled without the upgrade; the bytes after it belong to
            # the other protocol.
            self._close_after_last_request()
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {error}")

    def _skip_empty_lines(self) -> None:
        data, _ = self._backlog[0]
        received = data[self._backlog_offset :]
        skipped_bytes = len(received) - len(received.lstrip(LINE_END))
        self._advance(skipped_bytes)
        self._count_unreported(skipped_bytes)

    def _parse(self, piece: bytes) -> None:
        """Feed bytes to the parser, and limit what it keeps without reporting it."""
        self._has_reported = False
        self._parser.feed_data(piece)
        if self._has_reported:
            self._unreported_bytes = 0
        is_receiving = self._request_started_at_seconds is not None
        if self._has_reported or is_receiving:
            # Empty lines before a request do not keep the connection open.
            self.active_at_seconds = self.server.loop.time()
        self._count_unreported(len(piece))
        if is_receiving:
            self._request_bytes += self._unreported_bytes - self._kept_bytes
            self._kept_bytes = self._unreported_bytes
        self._update_memory()

    def _count_unreported(self, count: int) -> None:
        self._unreported_bytes += count
        # The first bytes of a piece may belong to what was reported.
        if self._unreported_bytes > self.server.limits.header_max_bytes + PIECE_BYTES:
            self._reject(431, "the headers are larger than the limit")

    def _next_piece(self) -> bytes:
        data, self._read_at_seconds = self._backlog[0]
        piece = data[self._backlog_offset : self._backlog_offset + PIECE_BYTES]
        self._advance(len(piece))
        return piece

    def _advance(self, count: int) -> None:
        """Remove bytes from the start of the backlog."""
        self._backlog_offset += count
        if self._backlog_offset == len(self._backlog[0][0]):
            self._backlog.popleft()
            self._backlog_bytes -= self._backlog_offset + OBJECT_BYTES
            self._backlog_offset = 0

    def _drop_backlog(self) -> None:
        self._backlog.clear()
        self._backlog_offset = self._backlog_bytes = 0

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > self.server.limits.header_max_bytes:
            self._reject(431, "the headers are larger than the limit")

    def _update_memory(self) -> None:
        """Count the memory that the connection holds now."""
        held_bytes = self._backlog_bytes + self._request_bytes + self._queued_bytes
        change_bytes = held_bytes - self._held_bytes
        if change_bytes:
            self._held_bytes = held_bytes
            self.server.memory.add_received(self, change_bytes)

    def _reject(self, status: int, detail: str) -> None:
        """Answer with an error after the earlier requests, and receive no more."""
        if self._rejection is None:
            self._rejection = (status, detail)
            self._reset_request()
            self._drop_backlog()
            self._update_memory()

    def _close_after_last_request(self) -> None:
        self._drop_backlog()
        if self._pending_requests:
            self._pending_requests[-1].keep_alive = False

    def _handle_next(self) -> None:
        if (
            self.request is not None
            or self._closing
            or self in self.server.memory.unread
        ):
            return
        if not self._pending_requests:
            self._parse_next_request()
        if self._pending_requests:
            request = self._pending_requests.popleft()
            self.request = request
            try:
                self.server.handle(request)
            except Exception as error:
                # Unanswered, the connection would count as busy for ever.
                self.server.loop.call_exception_handler(
                    {"exception": error, "protocol": self}
                )
                request.respond(status=500, headers=[], body=b"internal error\n")
        elif self._rejection is not None:
            self._respond_with_error(*self._rejection)
        if not self._backlog and self._is_reading_paused and not self._closing:
            self._is_reading_paused = False
            cast(asyncio.Transport, self._transport).resume_reading()

    def _respond_with_error(self, status: int, detail: str) -> None:
        self._closing = True
        if self._transport is None:
            return
        request = HttpRequest(
            method=b"GET",
            target=b"",
            headers=[],
            body=b"",
            arrived_at_seconds=0.0,
            writer=self,
            keep_alive=False,
        )
        headers = [(b"Retry-After", b"1")] if status == NO_ROOM_STATUS else []
        body = f"{detail}\n".encode()
        self._transport.write(encode_response(request, status, headers, body))
        self._transport.close()


def measure_round_trip_ms(sock: socket.socket) -> float:
    """Return the round-trip time of a connection, or a default if it is unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (round_trip_us,) = struct.unpack_from("I", info, TCP_INFO_RTT_OFFSET)
    except (OSError, struct.error):
        return DEFAULT_ROUND_TRIP_MS
    return round_trip_us / US_PER_MS or DEFAULT_ROUND_TRIP_MS
