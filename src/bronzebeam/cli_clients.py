"""Clients of the operators' commands for the store, the instance list and entries."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio

from bronzebeam.cli_output import warn
from bronzebeam.documents.entry_status import (
    EntryStatus,
    HttpEntryReader,
    filter_by_environment,
    highest_revision,
    read_entries,
)
from bronzebeam.transport.instance_list import (
    HttpInstanceList,
    InstanceListUnavailable,
)
from bronzebeam.transport.store_http import HttpStore

ResultT = TypeVar("ResultT")


def call_store(
    url: str, operation: Callable[[HttpStore], Awaitable[ResultT]]
) -> ResultT:
    """Run one operation against the store at `url`."""

    async def main() -> ResultT:
        async with HttpStore(base_url=url) as store:
            return await operation(store)

    return anyio.run(main)


def read_statuses(instances_url: str, environment: str) -> tuple[EntryStatus, ...]:
    """
    Read the status of each listed entry of `environment`.

    :raises InstanceListUnavailable: if the instance list gave no valid response.
    """

    async def main() -> tuple[EntryStatus, ...]:
        async with HttpInstanceList(base_url=instances_url) as instances:
            listed = await instances.fetch()
        reader = HttpEntryReader()
        statuses = await read_entries(listed, reader)
        await reader.close()
        return statuses

    return filter_by_environment(anyio.run(main), environment)


def read_highest_entry_revision(instances_url: str | None, environment: str) -> int:
    """Return the highest revision on reachable entries; 0 if there is none."""
    if instances_url is None:
        warn("no instance list given: the entries' revisions are not known")
        return 0
    try:
        entries = read_statuses(instances_url, environment)
    except InstanceListUnavailable as error:
        warn(f"the entries' revisions are not known: {error}")
        return 0
    for entry in entries:
        if entry.problem:
            warn(f"{entry.listed.instance} is unreachable: {entry.problem}")
    return highest_revision(entries)


def read_entry_document(peer_address: str) -> Any:
    """
    Return the accepted document of an entry, as JSON.

    :raises EntryUnreachable: if the entry gave no valid response.
    """

    async def main() -> Any:
        reader = HttpEntryReader()
        value = await reader.read_document(peer_address)
        await reader.close()
        return value

    return anyio.run(main)
