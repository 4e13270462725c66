"""
Commands that edit, review and promote environment documents.

Exit codes: 0 success; 1 the store, the instance list or an entry did not answer, or the
outcome is unknown; 2 invalid input, an operation that a rule forbids, or wrong usage;
3 a conflict with the active document, nothing was written.
"""

from pathlib import Path

import click

from bronzebeam.cli_clients import call_store, read_highest_entry_revision
from bronzebeam.cli_options import (
    APPROVER_OPTION,
    AUTHOR_OPTION,
    DRAFT_OUTPUT_OPTION,
    FILE_TYPE,
    INSTANCES_OPTION,
    SOURCE_OPTION,
    STORE_OPTION,
    TARGET_OPTION,
)
from bronzebeam.cli_output import (
    exit_on_error,
    print_acceptance,
    print_changes,
    print_line,
)
from bronzebeam.cli_revisions import history, restore, rollback, status
from bronzebeam.documents import operations
from bronzebeam.documents.drafts import Draft, dump_draft, is_draft, load_draft
from bronzebeam.documents.errors import RefusedError
from bronzebeam.documents.loading import load_document, parse_json


@click.group()
def document() -> None:
    """Edit, review and promote environment documents."""


@document.command()
@click.argument("environment")
@click.option(
    "--document", "source", type=FILE_TYPE, required=True, help="Initial content."
)
@AUTHOR_OPTION
@DRAFT_OUTPUT_OPTION
@STORE_OPTION
def new(environment: str, source: Path, author: str, out: Path, store_url: str) -> None:
    """Write the first draft of ENVIRONMENT."""
    with exit_on_error():
        content = load_document(source.read_bytes(), subject=str(source))
        draft = call_store(
            store_url,
            lambda store: operations.start_draft(
                store, environment=environment, document=content, author=author
            ),
        )
        _write_draft(out, draft)


@document.command()
@click.argument("environment")
@click.option("--document", "source", type=FILE_TYPE, help="Content to use instead.")
@AUTHOR_OPTION
@DRAFT_OUTPUT_OPTION
@STORE_OPTION
def edit(
    environment: str, source: Path | None, author: str, out: Path, store_url: str
) -> None:
    """Write the active document of ENVIRONMENT as a draft, to be edited."""
    with exit_on_error():
        content = None
        if source is not None:
            content = load_document(source.read_bytes(), subject=str(source))
        draft = call_store(
            store_url,
            lambda store: operations.edit_draft(
                store, environment=environment, author=author, document=content
            ),
        )
        _write_draft(out, draft)


@document.command()
@click.argument("file", type=FILE_TYPE)
def validate(file: Path) -> None:
    """Check FILE, a draft or a plain document, and print all findings."""
    with exit_on_error():
        data = file.read_bytes()
        if is_draft(parse_json(data, str(file))):
            load_draft(data, subject=str(file))
        else:
            load_document(data, subject=str(file))
        click.echo(f"{file}: no findings")


@document.command()
@click.argument("draft", type=FILE_TYPE)
@STORE_OPTION
def diff(draft: Path, store_url: str) -> None:
    """Print what DRAFT would change."""
    with exit_on_error():
        loaded = _read_draft(draft)
        print_changes(
            call_store(store_url, lambda store: operations.diff_draft(store, loaded))
        )


@document.command()
@click.argument("draft", type=FILE_TYPE, required=False)
@SOURCE_OPTION
@TARGET_OPTION
@APPROVER_OPTION
@STORE_OPTION
def approve(
    draft: Path | None,
    source: str | None,
    target: str | None,
    approver: str,
    store_url: str,
) -> None:
    """Approve DRAFT, or the active document of SOURCE for TARGET; print the changes."""
    with exit_on_error():
        if draft is not None:
            loaded = _read_draft(draft)
            review = call_store(
                store_url,
                lambda store: operations.approve_draft(
                    store, loaded, approver=approver
                ),
            )
        else:
            pair = _require_source_and_target(source, target)
            review = call_store(
                store_url,
                lambda store: operations.approve_promotion(
                    store, source=pair[0], target=pair[1], approver=approver
                ),
            )
        print_changes(review.changes)
        print_line(
            environment=review.approval.environment,
            approved=review.approval.content_hash,
            replaces=review.approval.base.revision,
            approved_by=review.approval.approved_by,
        )


@document.command()
@click.argument("draft", type=FILE_TYPE, required=False)
@SOURCE_OPTION
@TARGET_OPTION
@INSTANCES_OPTION
@STORE_OPTION
def promote(
    draft: Path | None,
    source: str | None,
    target: str | None,
    instances_url: str | None,
    store_url: str,
) -> None:
    """Activate an approved DRAFT, or the active document of SOURCE in TARGET."""
    with exit_on_error():
        if draft is not None:
            loaded = _read_draft(draft)
            held = read_highest_entry_revision(
                instances_url, loaded.document.environment
            )
            acceptance = call_store(
                store_url,
                lambda store: operations.promote_draft(
                    store, loaded, highest_entry_revision=held
                ),
            )
        else:
            pair = _require_source_and_target(source, target)
            held = read_highest_entry_revision(instances_url, pair[1])
            acceptance = call_store(
                store_url,
                lambda store: operations.promote_environment(
                    store, source=pair[0], target=pair[1], highest_entry_revision=held
                ),
            )
        print_acceptance(acceptance)


def _read_draft(file: Path) -> Draft:
    return load_draft(file.read_bytes(), subject=str(file))


def _write_draft(out: Path, draft: Draft) -> None:
    if out.exists():
        raise RefusedError(reason=f"{out} already exists")
    out.write_bytes(dump_draft(draft))
    print_line(
        draft=out,
        environment=draft.document.environment,
        base_revision=draft.base.revision,
    )


def _require_source_and_target(
    source: str | None, target: str | None
) -> tuple[str, str]:
    if source is None or target is None:
        raise click.UsageError("give a DRAFT, or --source and --target")
    return source, target


for command in (rollback, status, history, restore):
    document.add_command(command)
