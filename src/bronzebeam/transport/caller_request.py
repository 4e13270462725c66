"""A request received from a caller, and the encoding of its response."""

from collections.abc import Callable
from typing import Final, Protocol

from attrs import define, field

from bronzebeam.transport.http_reply import Headers

STOPPING: Final = "stopping"  # why a process that is about to exit refuses a request
REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Headers that concern one connection only (RFC 9110, section 7.6.1), and those that
# frame the message, which are set anew for the next hop.
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


class ResponseWriter(Protocol):
    """Writes responses to the caller of a request."""

    def write_response(
        self, request: "HttpRequest", status: int, headers: Headers, body: bytes
    ) -> None:
        """Write a complete response."""

    def write_interim_response(self, request: "HttpRequest") -> None:
        """Write an interim response (1xx)."""


@define(kw_only=True, eq=False, repr=False)
class HttpRequest:
    """
    A complete HTTP request.

    :ivar target: request target as received, with its query string.
    :ivar headers: as received, with names in lower case.
    :ivar arrived_at_seconds: monotonic time at which its first byte was received.
    :ivar on_disconnect: called once if the caller disconnects before the response.
    :ivar on_stop: called if the process is about to exit, and has to respond; None
        while the request has been passed on to nobody.
    :ivar round_trip_ms: network round-trip time to the caller.
    :ivar held_bytes: memory that its connection counts for it.
    :ivar is_first: no other request was received on the connection before.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at_seconds: float
    writer: ResponseWriter
    round_trip_ms: float = 0.0
    is_first: bool = False
    held_bytes: int = 0
    keep_alive: bool = True
    responded: bool = False
    disconnected: bool = False
    on_disconnect: Callable[[], None] | None = field(default=None)
    on_stop: Callable[[], None] | None = field(default=None)
    _processing_sent: bool = False

    @property
    def path(self) -> bytes:
        """Return the target without its query string."""
        return self.target.partition(b"?")[0]

    def header(self, name: bytes) -> bytes:
        """Return the first header with the lower-case name `name`, or b""."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""

    def respond(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Send the response; any further response is ignored."""
        if self.responded:
            return
        self.responded = True
        self.on_disconnect = None
        if not self.disconnected:
            self.writer.write_response(self, status, headers, body)

    def drop_body(self) -> None:
        """Drop the body, once it is certain that nothing will send it any more."""
        self.body = b""

    def end_at_stop(self) -> None:
        """Respond now, since the process is about to exit."""
        if self.on_stop is not None:
            try:
                self.on_stop()
            except Exception:
                # It was passed on, and may have run.
                self.respond(status=504, headers=[], body=STOPPING.encode() + b"\n")
                raise
        self.respond(status=503, headers=[], body=STOPPING.encode() + b"\n")

    def send_processing(self) -> None:
        """Send one interim response, since the final one takes longer than usual."""
        if not self.responded and not self.disconnected and not self._processing_sent:
            self._processing_sent = True
            self.writer.write_interim_response(self)

    def handle_disconnect(self) -> None:
        """Record that the caller has disconnected, and notify the handler."""
        self.disconnected = True
        callback, self.on_disconnect = self.on_disconnect, None
        if callback is not None:
            callback()


def encode_response(
    request: HttpRequest, status: int, headers: Headers, body: bytes
) -> bytes:
    """Encode a complete response with its length."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))]
    lines.extend([b"%s: %s\r\n" % pair for pair in headers])
    if not request.keep_alive:
        lines.append(b"Connection: close\r\n")
    lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
    if request.method != b"HEAD":
        lines.append(body)
    return b"".join(lines)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers to forward, without the hop-by-hop ones."""
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_options.update(
                token.strip().lower() for token in value.split(b",")
            )
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in connection_options
    ]
