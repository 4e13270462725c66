"""Output and exit codes of the operators' commands."""

import json
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import click

from bronzebeam.documents.accepting import Acceptance
from bronzebeam.documents.diff import Change
from bronzebeam.documents.entry_status import EntryStatus, EntryUnreachable
from bronzebeam.documents.errors import (
    ConflictError,
    OutcomeUnknownError,
    RefusedError,
    StoreBehindError,
)
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.findings import FindingsError
from bronzebeam.transport.instance_list import InstanceListUnavailable
from bronzebeam.transport.store import StoreUnavailable

EXIT_UNAVAILABLE: Final = 1
EXIT_REJECTED: Final = 2
EXIT_CONFLICT: Final = 3


def format_line(**fields: Any) -> str:
    """
    Format one line of key=value pairs.

    Values are quoted if they are not a single printable word.
    """
    return " ".join(f"{name}={_format_value(value)}" for name, value in fields.items())


def print_line(**fields: Any) -> None:
    """Print one line of key=value pairs."""
    click.echo(format_line(**fields))


def print_accepted_document(accepted: AcceptedDocument) -> None:
    """Print the metadata of a document that is or was active."""
    print_line(
        environment=accepted.document.environment,
        revision=accepted.revision,
        author=accepted.author,
        approved_by=accepted.approved_by,
        write_id=accepted.write_id,
        content_hash=accepted.content_hash,
    )


def print_acceptance(acceptance: Acceptance) -> None:
    """Print the document that was activated; warn if it has been replaced since."""
    print_accepted_document(acceptance.accepted)
    if acceptance.superseded_by is not None:
        warn(f"revision {acceptance.superseded_by} has replaced it since")


def print_changes(changes: Iterable[Change]) -> None:
    """Print each change on a line of its own."""
    lines = [str(change) for change in changes]
    click.echo("\n".join(lines) if lines else "no change of content")


def print_entry_status(status: EntryStatus) -> None:
    """Print the revision and readiness of one entry, or why they are unknown."""
    listed = status.listed
    location = {
        "instance": listed.instance,
        "peer_address": listed.peer_address,
        "failure_domain": listed.failure_domain,
        "state": listed.state.value,
    }
    if status.problem:
        print_line(**location, unreachable=status.problem)
        return
    print_line(**location, revision=status.revision, ready=status.ready)


def warn(message: str) -> None:
    """Print a warning on standard error."""
    click.echo(f"warning: {message}", err=True)


@contextmanager
def exit_on_error() -> Iterator[None]:
    """
    Print the reason for a failure on standard error and exit with its code.

    1: the store, the instance list or an entry did not answer, or the outcome is
    unknown. 2: the input is invalid, or a rule forbids the operation. 3: a conflict;
    nothing was written.
    """
    try:
        yield
    except FindingsError as error:
        lines = [f"{error.subject}: {item}" for item in error.findings]
        _exit_with_error(EXIT_REJECTED, *lines)
    except RefusedError as error:
        _exit_with_error(EXIT_REJECTED, str(error))
    except ConflictError as error:
        changes = [str(item) for item in error.changes] or ["no change of content"]
        _exit_with_error(
            EXIT_CONFLICT,
            str(error),
            "changes from the active document to yours:",
            *changes,
        )
    except StoreBehindError as error:
        _exit_with_error(EXIT_CONFLICT, str(error))
    except OutcomeUnknownError as error:
        _exit_with_error(EXIT_UNAVAILABLE, str(error))
    except StoreUnavailable as error:
        _exit_with_error(EXIT_UNAVAILABLE, f"the store did not answer: {error}")
    except InstanceListUnavailable as error:
        _exit_with_error(EXIT_UNAVAILABLE, f"the instance list did not answer: {error}")
    except EntryUnreachable as error:
        _exit_with_error(EXIT_UNAVAILABLE, f"the entry did not answer: {error}")


def _exit_with_error(code: int, *lines: str) -> None:
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def _format_value(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    text = str(value)
    is_word = text and text.isprintable() and not set(text) & set(' "=')
    return text if is_word else json.dumps(text)
