"""Reads from each entry instance which document revision is active on it."""

from collections.abc import Iterable
from typing import Any, Final, Protocol

import anyio
from attrs import define, field, frozen

from bronzebeam.transport.http_json import CallFailed, JsonClient
from bronzebeam.transport.instance_list import InstanceRole, ListedInstance

STATUS_PATH: Final = "/internal/status"
DOCUMENT_PATH: Final = "/internal/document"
ENTRY_TIMEOUT_SECONDS: Final = 2.0
MAX_CONCURRENT_CALLS: Final = 64


class EntryUnreachable(Exception):
    """Raised if an entry did not answer within the timeout, or not in usable form."""


@frozen(kw_only=True)
class EntryStatus:
    """
    Status that one entry reports.

    :ivar environment: None if the entry does not report it.
    :ivar revision: active revision; 0 if the entry has no document, None if the entry
        is unreachable.
    :ivar ready: None if it is unreachable.
    :ivar problem: why it is unreachable; empty if it answered.
    """

    listed: ListedInstance
    environment: str | None = None
    revision: int | None = None
    ready: bool | None = None
    problem: str = ""


class EntryReader(Protocol):
    """Reads from the entries' peer addresses, with a timeout for each call."""

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
                "GET",
                f"http://{peer_address}{path}",
                timeout_seconds=ENTRY_TIMEOUT_SECONDS,
            )
        except CallFailed as error:
            raise EntryUnreachable(str(error)) from error
        return reply.body


async def read_entries(
    listed: Iterable[ListedInstance], reader: EntryReader
) -> tuple[EntryStatus, ...]:
    """
    Read the status of each listed entry.

    At most `MAX_CONCURRENT_CALLS` calls run at a time. The result is sorted by the
    name of the instance.
    """
    found: list[EntryStatus] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def read_one(entry: ListedInstance) -> None:
        async with limiter:
            found.append(await _read_entry(entry, reader))

    async with anyio.create_task_group() as tasks:
        for item in listed:
            if item.role is InstanceRole.ENTRY:
                tasks.start_soon(read_one, item)
    return tuple(sorted(found, key=lambda status: status.listed.instance))


def filter_by_environment(
    statuses: Iterable[EntryStatus], environment: str
) -> tuple[EntryStatus, ...]:
    """
    Return the statuses of the entries that may belong to `environment`.

    An entry that does not report its environment may belong to any.
    """
    return tuple(
        status for status in statuses if status.environment in (None, environment)
    )


def highest_revision(statuses: Iterable[EntryStatus]) -> int:
    """Return the highest active revision of the entries; 0 if no entry has one."""
    return max((status.revision or 0 for status in statuses), default=0)


async def _read_entry(entry: ListedInstance, reader: EntryReader) -> EntryStatus:
    if entry.peer_address is None:
        return EntryStatus(
            listed=entry, problem="the instance list has no peer address for it"
        )
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
