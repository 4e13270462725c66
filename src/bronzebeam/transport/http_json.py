"""HTTP calls with JSON bodies and a timeout, for infrequent calls."""

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
    """The call was refused, failed or timed out, or its reply is not valid JSON."""


@frozen(kw_only=True)
class JsonReply:
    """The status and the decoded body of a reply."""

    status: int
    body: Any


def drop_default_headers(
    client: httpx.AsyncClient, *, accept_compression: bool
) -> None:
    """
    Remove default headers that the called servers ignore, to save bytes.

    :param accept_compression: whether to keep accepting compressed replies.
    """
    for name in UNUSED_HEADERS:
        del client.headers[name]
    if not accept_compression:
        del client.headers[ENCODING_HEADER]


@define(kw_only=True)
class JsonClient:
    """
    An HTTP client with a timeout for each call.

    :ivar base_url: scheme, IP address and port of the server; empty if each call
        has a full URL.
    :ivar transport: replaces the network in tests.
    :ivar channel: control channel that `traffic` counts the calls under.
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

        :param timeout_seconds: time limit for the whole call.
        :param accepted_statuses: statuses that do not raise `CallFailed`.
        :raises CallFailed: if no usable reply was received; the call may have been
            executed.
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
                f"{method} {path}: no reply within {timeout_seconds} s"
            ) from error
        except (httpx.HTTPError, ValueError) as error:
            raise CallFailed(f"{method} {path}: {error!r}") from error

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()
