"""The platform's list of live and leaving instances."""

from enum import StrEnum
from typing import Any, Final, Protocol

import httpx
from attrs import define, field, frozen

from bronzebeam.telemetry.traffic import ControlChannel, ControlTraffic
from bronzebeam.transport.http_json import CallFailed, JsonClient

LIST_TIMEOUT_SECONDS: Final = 2.0


class InstanceRole(StrEnum):
    """The kind of process that runs on an instance."""

    ENTRY = "entry"
    BACKEND = "backend"


class InstanceState(StrEnum):
    """Whether an instance should receive new work."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen(kw_only=True)
class ListedInstance:
    """
    One row of the instance list, which may be out of date.

    :ivar instance: name of the instance; a restarted instance has a new name.
    :ivar service: service that a backend server belongs to; None for an entry.
    :ivar address: IP address and port for requests.
    :ivar peer_address: IP address and port for other entries; None for a backend
        server.
    """

    instance: str
    role: InstanceRole
    service: str | None
    address: str
    peer_address: str | None
    failure_domain: str
    state: InstanceState


class InstanceListUnavailable(Exception):
    """The instance list could not be read."""


class InstanceList(Protocol):
    """Reads the instance list, with a timeout."""

    async def fetch(self) -> tuple[ListedInstance, ...]:
        """
        Read the list.

        :raises InstanceListUnavailable: if no valid reply was received in time.
        """


@define(kw_only=True)
class HttpInstanceList:
    """
    Client of the instance list over HTTP; implements `InstanceList`.

    :ivar base_url: for example ``http://127.0.0.1:7001``.
    :ivar call_timeout_seconds: timeout of each call.
    :ivar transport: replaces the network in tests.
    """

    base_url: str
    call_timeout_seconds: float = LIST_TIMEOUT_SECONDS
    transport: httpx.AsyncBaseTransport | None = None
    traffic: ControlTraffic = field(factory=ControlTraffic)
    _client: JsonClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._client = JsonClient(
            base_url=self.base_url,
            transport=self.transport,
            channel=ControlChannel.INSTANCE_LIST,
            traffic=self.traffic,
        )

    async def __aenter__(self) -> "HttpInstanceList":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def fetch(self) -> tuple[ListedInstance, ...]:
        """Read the list."""
        try:
            reply = await self._client.call(
                "GET", "/instances", timeout_seconds=self.call_timeout_seconds
            )
            return tuple(_parse_instance(item) for item in reply.body["instances"])
        except CallFailed as error:
            raise InstanceListUnavailable(str(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            raise InstanceListUnavailable(f"malformed list: {error!r}") from error


def _parse_instance(item: Any) -> ListedInstance:
    return ListedInstance(
        instance=item["instance"],
        role=InstanceRole(item["role"]),
        service=item.get("service"),
        address=item["address"],
        peer_address=item.get("peer_address"),
        failure_domain=item["failure_domain"],
        state=InstanceState(item["state"]),
    )
