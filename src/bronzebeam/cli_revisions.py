"""Commands on accepted revisions: status, history, rollback and restore."""

from pathlib import Path
from typing import Any

import click

from bronzebeam.cli_access import (
    call_store,
    read_entry_document,
    read_held_revision,
    read_statuses,
)
from bronzebeam.cli_options import AUTHOR, FILE, INSTANCES, REPLACES, STORE
from bronzebeam.cli_output import (
    EXIT_CONFLICT,
    EXIT_UNAVAILABLE,
    exit_on_failure,
    print_acceptance,
    print_accepted,
    print_entry,
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
@REPLACES
@AUTHOR
@INSTANCES
@STORE
def rollback(
    environment: str,
    to_revision: int,
    replaces: int,
    author: str,
    instances_url: str | None,
    store_url: str,
) -> None:
    """Put an earlier content of ENVIRONMENT in force, as a new revision."""
    with exit_on_failure():
        held = read_held_revision(instances_url, environment)
        acceptance = call_store(
            store_url,
            lambda store: operations.roll_back(
                store,
                environment=environment,
                to_revision=to_revision,
                replaces=replaces,
                author=author,
                highest_entry_revision=held,
            ),
        )
        print_acceptance(acceptance)


@click.command()
@click.argument("environment")
@click.option(
    "--instances", "instances_url", envvar="BRONZEBEAM_INSTANCES", required=True
)
@STORE
def status(environment: str, instances_url: str, store_url: str) -> None:
    """
    Print what the store and each entry of ENVIRONMENT hold.

    Exits with 3 if entries hold a higher revision than the store.
    """
    with exit_on_failure():
        entries = _print_entries(instances_url, environment)
        current = call_store(store_url, lambda store: read_current(store, environment))
        if current.accepted is not None:
            print_accepted(current.accepted)
        if entries is None:
            raise SystemExit(EXIT_UNAVAILABLE)
        revision, held = current.base.revision, highest_revision(entries)
        print_line(
            environment=environment,
            store_revision=revision,
            entries=len(entries),
            in_force=sum(entry.revision == revision for entry in entries),
            unreachable=sum(entry.revision is None for entry in entries),
            highest_held=held,
        )
        if held > revision:
            warn("entries hold a higher revision than the store: see restore")
            raise SystemExit(EXIT_CONFLICT)


@click.command()
@click.argument("environment")
@STORE
def history(environment: str, store_url: str) -> None:
    """Print what is and was in force in ENVIRONMENT, newest first."""
    with exit_on_failure():
        found = call_store(store_url, lambda store: read_history(store, environment))
        for accepted in found:
            print_accepted(accepted)


@click.command()
@click.argument("environment")
@click.option("--file", type=FILE, help="Accepted document as JSON.")
@click.option("--entry", help="Peer address of an entry that holds the document.")
@REPLACES
@INSTANCES
@STORE
def restore(
    environment: str,
    file: Path | None,
    entry: str | None,
    replaces: int,
    instances_url: str | None,
    store_url: str,
) -> None:
    """Accept a document again that the store lost by coming back older."""
    with exit_on_failure():
        newer = _read_accepted(file, entry)
        if newer.document.environment != environment:
            raise RefusedError(reason=f"it is one of {newer.document.environment}")
        held = read_held_revision(instances_url, environment)
        acceptance = call_store(
            store_url,
            lambda store: operations.restore(
                store, newer, replaces=replaces, highest_entry_revision=held
            ),
        )
        print_acceptance(acceptance)


def _print_entries(
    instances_url: str, environment: str
) -> tuple[EntryStatus, ...] | None:
    try:
        entries = read_statuses(instances_url, environment)
    except InstanceListUnavailable as error:
        warn(f"the entries are not known: {error}")
        return None
    for entry in entries:
        print_entry(entry)
    return entries


def _read_accepted(file: Path | None, entry: str | None) -> AcceptedDocument:
    if file is not None and entry is None:
        value: Any = parse_json(file.read_bytes(), str(file))
    elif entry is not None and file is None:
        value = read_entry_document(entry)
    else:
        raise click.UsageError("give either --file or --entry")
    if value is None:
        raise RefusedError(reason="the entry holds no document")
    return accepted_from_json(value)
