"""HTTP server protocol of the stand-ins in the gateway's tests."""

from typing import Any, Protocol

import httptools
from attrs import define, field


@define(kw_only=True, eq=False)
class StandinRequest:
    """A complete request received by a stand-in; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: "StandinConnection"

    def respond(
        self,
        status: int,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        framed: bool = True,
    ) -> None:
        """Send a response; without a Content-Length header if `framed` is false."""
        self.connection.write(
            self.encode(status, headers=headers, body=body, framed=framed)
        )

    def encode(
        self,
        status: int,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        framed: bool = True,
    ) -> bytes:
        """Encode a response."""
        lines = [f"HTTP/1.1 {status} Stand-in"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if framed:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StandinServer(Protocol):
    """Handles complete requests and closed connections."""

    def handle(self, request: StandinRequest) -> None: ...

    def connection_ended(self, connection: "StandinConnection") -> None: ...


@define(kw_only=True, eq=False)
class StandinConnection:
    """Asyncio protocol of an accepted connection."""

    server: StandinServer
    ended: bool = False
    _transport: Any = None
    _parser: Any = None
    _target: bytes = b""
    _headers: dict[str, str] = field(factory=dict)
    _body: bytes = b""

    @property
    def peer_port(self) -> int:
        """Return the port that the connection was opened from."""
        port: int = self._transport.get_extra_info("peername")[1]
        return port

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        self.server.connection_ended(self)

    def on_message_begin(self) -> None:
        self._target, self._headers, self._body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode().lower(), value.decode()
        # A header given twice counts as its values joined by a comma.
        known = self._headers.get(key)
        self._headers[key] = text if known is None else f"{known}, {text}"

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self.server.handle(
            StandinRequest(
                method=self._parser.get_method().decode(),
                target=self._target.decode(),
                headers=self._headers,
                body=self._body,
                connection=self,
            )
        )

    def write(self, data: bytes) -> None:
        self._transport.write(data)

    def close(self) -> None:
        self._transport.close()

    def abort(self) -> None:
        self._transport.abort()
