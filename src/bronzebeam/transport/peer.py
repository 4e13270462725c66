"""Calls from one entry instance to another."""

from collections.abc import Callable
from typing import Any, Final, Protocol, TypeVar

import anyio
import httpx
import orjson

from bronzebeam.controllers.peer_messages import (
    MAX_DOCUMENT_BYTES,
    MAX_MESSAGE_BYTES,
    Exchange,
    Push,
    PushReply,
    exchange_from_json,
    exchange_to_json,
    push_reply_from_json,
    push_to_json,
)
from bronzebeam.findings import FindingsError
from bronzebeam.telemetry.traffic import ControlChannel, ControlTraffic
from bronzebeam.transport.http_json import drop_default_headers

EXCHANGE_PATH: Final = "/internal/exchange"
PUSH_PATH: Final = "/internal/push"
DOCUMENT_PATH: Final = "/internal/document"
STATUS_PATH: Final = "/internal/status"
PEER_TIMEOUT_SECONDS: Final = 1.0
MAX_CONNECTIONS: Final = 32
MAX_IDLE_CONNECTIONS: Final = 8
IDLE_CONNECTION_TIMEOUT_SECONDS: Final = 20.0

CALL_ERRORS: Final = (
    httpx.HTTPError,
    httpx.InvalidURL,
    OSError,
    TimeoutError,
    ValueError,
)

MessageT = TypeVar("MessageT")


class PeerUnavailable(Exception):
    """The peer did not reply in time, or its reply is not valid."""


class PeerClient(Protocol):
    """
    Calls to a peer, with a timeout.

    Each takes the host and port of the peer as `address`, and may raise
    `PeerUnavailable`.
    """

    async def exchange(self, *, address: str, message: Exchange) -> Exchange:
        """Exchange configuration revisions and membership digests."""

    async def push(self, *, address: str, message: Push) -> PushReply:
        """Send updates to a peer."""

    async def fetch_document(self, *, address: str) -> Any:
        """Return the peer's accepted document as JSON; None if it has none."""


class HttpPeerClient:
    """
    Peer calls over HTTP with JSON.

    A call that times out closes its connection, so that a dead connection is not
    reused.

    :param timeout_seconds: timeout of a whole call.
    """

    def __init__(
        self,
        *,
        timeout_seconds: float = PEER_TIMEOUT_SECONDS,
        traffic: ControlTraffic | None = None,
    ) -> None:
        self._traffic = traffic or ControlTraffic()
        self._timeout_seconds = timeout_seconds
        self._client = httpx.AsyncClient(
            timeout=None,
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_IDLE_CONNECTIONS,
                keepalive_expiry=IDLE_CONNECTION_TIMEOUT_SECONDS,
            ),
            trust_env=False,
        )
        drop_default_headers(self._client, accept_compression=False)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def exchange(self, *, address: str, message: Exchange) -> Exchange:
        """Exchange configuration revisions and membership digests."""
        body = await self._call(
            f"http://{address}{EXCHANGE_PATH}",
            orjson.dumps(exchange_to_json(message)),
            MAX_MESSAGE_BYTES,
        )
        return _parse_message(exchange_from_json, _decode_json(body))

    async def push(self, *, address: str, message: Push) -> PushReply:
        """Send updates to a peer."""
        body = await self._call(
            f"http://{address}{PUSH_PATH}",
            orjson.dumps(push_to_json(message)),
            MAX_MESSAGE_BYTES,
        )
        return _parse_message(push_reply_from_json, _decode_json(body))

    async def fetch_document(self, *, address: str) -> Any:
        """Return the peer's accepted document as JSON; None if it has none."""
        body = await self._call(
            f"http://{address}{DOCUMENT_PATH}", None, MAX_DOCUMENT_BYTES
        )
        return _decode_json(body)

    async def _call(self, url: str, content: bytes | None, max_bytes: int) -> bytes:
        try:
            with anyio.fail_after(self._timeout_seconds):
                return await self._read(url, content, max_bytes)
        except CALL_ERRORS as error:
            raise PeerUnavailable(f"{type(error).__name__}: {error}") from error

    async def _read(self, url: str, content: bytes | None, max_bytes: int) -> bytes:
        method = "GET" if content is None else "POST"
        async with self._client.stream(method, url, content=content) as response:
            if response.status_code != httpx.codes.OK:
                raise PeerUnavailable(f"status {response.status_code}")
            body = bytearray()
            async for part in response.aiter_bytes():
                body += part
                if len(body) > max_bytes:
                    raise PeerUnavailable(f"reply exceeds {max_bytes} bytes")
            self._traffic.count_call(ControlChannel.PEER, response, len(body))
            return bytes(body)


def _decode_json(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise PeerUnavailable(f"not JSON: {error}") from error


def _parse_message(read: Callable[[Any], MessageT], value: Any) -> MessageT:
    try:
        return read(value)
    except FindingsError as error:
        raise PeerUnavailable(str(error)) from error
