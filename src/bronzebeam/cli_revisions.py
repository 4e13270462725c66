"""Commands on accepted revisions: status, history, rollback and restore."""

from pathlib import Path
from typing import Any

import click

from bronzebeam.cli_clients import (
    call_store,
    read_entry_document,
    read_highest_entry_revision,
    read_statuses,
)
from bronzebeam.cli_options import (
    AUTHOR_OPTION,
    FILE_TYPE,
    INSTANCES_OPTION,
    REPLACES_OPTION,
    STORE_OPTION,
)
from bronzebeam.cli_output import (
    EXIT_CONFLICT,
    EXIT_UNAVAILABLE,
    exit_on_error,
    print_acceptance,
    print_accepted_document,
    print_entry_status,
    print_line,
    warn,
)
from bronzebeam.documents import operations
from bronzebeam.documents.entry_status import EntryStatus, highest_revision
from bronzebeam.documents.errors import RefusedError
from bronzebeam.documents.loading import accepted_from_json, parse_json
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.documents.storage import read_current, read_history
from bronzebeam.transport.instance_list import InstanceListUnavailable


@click.command()
@click.argument("environment")
@click.option("--to", "to_revision", type=int, required=True, help="Earlier revision.")
@REPLACES_OPTION
@AUTHOR_OPTION
@INSTANCES_OPTION
@STORE_OPTION
def rollback(
    environment: str,
    to_revision: int,
    replaces: int,
    author: str,
    instances_url: str | None,
    store_url: str,
) -> None:
    """Activate earlier content of ENVIRONMENT again, as a new revision."""
    with exit_on_error():
        entry_revision = read_highest_entry_revision(instances_url, environment)
        acceptance = call_store(
            store_url,
            lambda store: operations.roll_back(
                store,
                environment=environment,
                to_revision=to_revision,
                replaces=replaces,
                author=author,
                highest_entry_revision=entry_revision,
            ),
        )
        print_acceptance(acceptance)


@click.command()
@click.argument("environment")
@click.option(
    "--instances", "instances_url", envvar="BRONZEBEAM_INSTANCES", required=True
)
@STORE_OPTION
def status(environment: str, instances_url: str, store_url: str) -> None:
    """
    Print the revisions of ENVIRONMENT in the store and on each entry.

    Exits with 3 if entries have a higher revision than the store.
    """
    with exit_on_error():
        entries = _print_entries(instances_url, environment)
        current = call_store(store_url, lambda store: read_current(store, environment))
        if current.accepted is not None:
            print_accepted_document(current.accepted)
        if entries is None:
            raise SystemExit(EXIT_UNAVAILABLE)
        revision, highest = current.base.revision, highest_revision(entries)
        print_line(
            environment=environment,
            store_revision=revision,
            entries=len(entries),
            in_force=sum(entry.revision == revision for entry in entries),
            unreachable=sum(entry.revision is None for entry in entries),
            highest_held=highest,
        )
        if highest > revision:
            warn("entries have a higher revision than the store: see `restore`")
            raise SystemExit(EXIT_CONFLICT)


@click.command()
@click.argument("environment")
@STORE_OPTION
def history(environment: str, store_url: str) -> None:
    """Print the active and earlier documents of ENVIRONMENT, newest first."""
    with exit_on_error():
        revisions = call_store(
            store_url, lambda store: read_history(store, environment)
        )
        for accepted in revisions:
            print_accepted_document(accepted)


@click.command()
@click.argument("environment")
@click.option("--file", type=FILE_TYPE, help="Accepted document as JSON.")
@click.option("--entry", help="Peer address of an entry that has the document.")
@REPLACES_OPTION
@INSTANCES_OPTION
@STORE_OPTION
def restore(
    environment: str,
    file: Path | None,
    entry: str | None,
    replaces: int,
    instances_url: str | None,
    store_url: str,
) -> None:
    """Accept again a document that the store lost by a reset to an older state."""
    with exit_on_error():
        lost = _read_accepted_document(file, entry)
        if lost.document.environment != environment:
            raise RefusedError(
                reason=f"the document belongs to {lost.document.environment}"
            )
        entry_revision = read_highest_entry_revision(instances_url, environment)
        acceptance = call_store(
            store_url,
            lambda store: operations.restore(
                store, lost, replaces=replaces, highest_entry_revision=entry_revision
            ),
        )
        print_acceptance(acceptance)


def _print_entries(
    instances_url: str, environment: str
) -> tuple[EntryStatus, ...] | None:
    try:
        entries = read_statuses(instances_url, environment)
    except InstanceListUnavailable as error:
        warn(f"the list of entries is not available: {error}")
        return None
    for entry in entries:
        print_entry_status(entry)
    return entries


def _read_accepted_document(file: Path | None, entry: str | None) -> AcceptedDocument:
    if file is not None and entry is None:
        value: Any = parse_json(file.read_bytes(), str(file))
    elif entry is not None and file is None:
        value = read_entry_document(entry)
    else:
        raise click.UsageError("give either --file or --entry")
    if value is None:
        raise RefusedError(reason="the entry has no document")
    return accepted_from_json(value)
