"""The revision in force on each entry instance, as the entries tell it."""

from collections.abc import Iterable
from typing import Any, Final, Protocol

import anyio
from attrs import define, field, frozen

from bronzebeam.transport.http_json import CallFailed, JsonClient
from bronzebeam.transport.instance_list import InstanceRole, ListedInstance

STATUS_PATH: Final = "/internal/status"
DOCUMENT_PATH: Final = "/internal/document"
ENTRY_SECONDS: Final = 2.0
MOST_CALLS: Final = 64


class EntryUnreachable(Exception):
    """An entry gave no usable answer within the bound."""


@frozen(kw_only=True)
class EntryStatus:
    """
    What one entry says of itself.

    :ivar environment: None if the entry does not tell.
    :ivar revision: 0 if it holds no document; None if it is unreachable.
    :ivar ready: None if it is unreachable.
    :ivar problem: why it is unreachable; empty if it answered.
    """

    listed: ListedInstance
    environment: str | None = None
    revision: int | None = None
    ready: bool | None = None
    problem: str = ""


class EntryReader(Protocol):
    """Reads from entries' peer addresses, each call bounded in time."""

    async def read_status(self, peer_address: str) -> Any:
        """Return an entry's decoded status, or raise `EntryUnreachable`."""

    async def read_document(self, peer_address: str) -> Any:
        """Return an entry's accepted document as JSON; None if it has none."""


@define(kw_only=True)
class HttpEntryReader:
    """Reads over HTTP; satisfies `EntryReader`."""

    _client: JsonClient = field(factory=JsonClient)

    async def read_status(self, peer_address: str) -> Any:
        """Return an entry's decoded status."""
        return await self._read(peer_address, STATUS_PATH)

    async def read_document(self, peer_address: str) -> Any:
        """Return an entry's accepted document as JSON; None if it has none."""
        return await self._read(peer_address, DOCUMENT_PATH)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _read(self, peer_address: str, path: str) -> Any:
        try:
            reply = await self._client.call(
                "GET", f"http://{peer_address}{path}", timeout_seconds=ENTRY_SECONDS
            )
        except CallFailed as error:
            raise EntryUnreachable(str(error)) from error
        return reply.body


async def read_entries(
    listed: Iterable[ListedInstance], reader: EntryReader
) -> tuple[EntryStatus, ...]:
    """Ask each listed entry, some at a time; in the order of the instances' names."""
    found: list[EntryStatus] = []
    limiter = anyio.CapacityLimiter(MOST_CALLS)

    async def ask(entry: ListedInstance) -> None:
        async with limiter:
            found.append(await _read_entry(entry, reader))

    async with anyio.create_task_group() as tasks:
        for item in listed:
            if item.role is InstanceRole.ENTRY:
                tasks.start_soon(ask, item)
    return tuple(sorted(found, key=lambda status: status.listed.instance))


def of_environment(
    statuses: Iterable[EntryStatus], environment: str
) -> tuple[EntryStatus, ...]:
    """Return the statuses of the entries that may belong to `environment`."""
    return tuple(
        status for status in statuses if status.environment in (None, environment)
    )


def highest_revision(statuses: Iterable[EntryStatus]) -> int:
    """Return the highest revision that an entry holds, 0 if none does."""
    return max((status.revision or 0 for status in statuses), default=0)


async def _read_entry(entry: ListedInstance, reader: EntryReader) -> EntryStatus:
    if entry.peer_address is None:
        return EntryStatus(listed=entry, problem="it has no peer address")
    try:
        value = await reader.read_status(entry.peer_address)
        return EntryStatus(
            listed=entry,
            environment=value.get("environment"),
            revision=int(value["revision"] or 0),
            ready=bool(value["ready"]),
        )
    except EntryUnreachable as error:
        return EntryStatus(listed=entry, problem=str(error))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return EntryStatus(listed=entry, problem=f"malformed status: {error!r}")
