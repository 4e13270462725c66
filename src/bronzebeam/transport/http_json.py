"""Bounded HTTP calls with JSON bodies, for calls that are rare."""

from collections.abc import Collection
from typing import Any, Final

import anyio
import httpx
from attrs import define, field, frozen

from bronzebeam.telemetry.traffic import ControlChannel, ControlTraffic

CONNECT_TIMEOUT_SECONDS: Final = 1.0
UNUSED_HEADERS: Final = ("accept", "connection", "user-agent")
ENCODING_HEADER: Final = "accept-encoding"


class CallFailed(Exception):
    """No usable answer came: refused, broken off, too late or not JSON."""


@frozen(kw_only=True)
class JsonReply:
    """A reply's status and decoded body."""

    status: int
    body: Any


def drop_default_headers(
    client: httpx.AsyncClient, *, accept_compression: bool
) -> None:
    """
    Leave out the headers that the servers asked do not look at.

    :param compressed: go on accepting compressed replies.
    """
    for name in UNUSED_HEADERS:
        del client.headers[name]
    if not accept_compression:
        del client.headers[ENCODING_HEADER]


@define(kw_only=True)
class JsonClient:
    """
    An HTTP client whose calls each end within a bound.

    :ivar base_url: scheme, IP address and port of the server; empty if the calls
        name whole URLs.
    :ivar transport: replaces the network, for tests.
    :ivar channel: what the calls are counted under in `traffic`.
    """

    base_url: str = ""
    transport: httpx.AsyncBaseTransport | None = None
    channel: ControlChannel = ControlChannel.STORE
    traffic: ControlTraffic = field(factory=ControlTraffic)
    _client: httpx.AsyncClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._client = httpx.AsyncClient(
            base_url=self.base_url,
            transport=self.transport,
            timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS),
            trust_env=False,
        )
        drop_default_headers(self._client, accept_compression=True)

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_seconds: float,
        body: Any = None,
        params: dict[str, Any] | None = None,
        accepted_statuses: Collection[int] = (200,),
    ) -> JsonReply:
        """
        Make one call and decode its reply.

        :param bound_seconds: time after which the call is given up.
        :param accepted: statuses that count as an answer.
        :raises CallFailed: if no usable answer came; the call may have been applied.
        """
        try:
            with anyio.fail_after(timeout_seconds):
                response = await self._client.request(
                    method, path, json=body, params=params
                )
            self.traffic.count_call(
                self.channel, response, response.num_bytes_downloaded
            )
            if response.status_code not in accepted_statuses:
                raise CallFailed(f"{method} {path}: status {response.status_code}")
            return JsonReply(status=response.status_code, body=response.json())
        except TimeoutError as error:
            raise CallFailed(
                f"{method} {path}: no answer in {timeout_seconds} s"
            ) from error
        except (httpx.HTTPError, ValueError) as error:
            raise CallFailed(f"{method} {path}: {error!r}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()
