"""Operators' operations on documents: edit, review, promote, roll back, restore."""

from attrs import evolve, frozen

from bronzebeam.documents.accepting import Acceptance, Proposal, accept
from bronzebeam.documents.checks import check_document
from bronzebeam.documents.diff import Change, diff_documents
from bronzebeam.documents.drafts import Draft
from bronzebeam.documents.errors import ConflictError, RefusedError
from bronzebeam.documents.loading import content_hash
from bronzebeam.documents.model import AcceptedDocument, EnvironmentDocument
from bronzebeam.documents.review import (
    Approval,
    BaseRevision,
    approve,
    base_revision_of,
)
from bronzebeam.documents.storage import (
    HISTORY_SLOTS,
    CurrentDocument,
    read_approval,
    read_current,
    read_revision,
    write_approval,
)
from bronzebeam.findings import FindingsError
from bronzebeam.transport.store import Store


@frozen(kw_only=True)
class Review:
    """A stored approval and the changes that it covers."""

    approval: Approval
    changes: tuple[Change, ...]


async def start_draft(
    store: Store, *, environment: str, document: EnvironmentDocument, author: str
) -> Draft:
    """
    Create the first draft of an environment.

    :raises RefusedError: if the environment already has a document.
    """
    current = await read_current(store, environment)
    if current.accepted is not None:
        raise RefusedError(
            reason=f"{environment} already has revision {current.base.revision}; "
            "edit that"
        )
    document = evolve(document, environment=environment)
    return Draft(author=author, base=current.base, document=document)


async def edit_draft(
    store: Store,
    *,
    environment: str,
    author: str,
    document: EnvironmentDocument | None = None,
) -> Draft:
    """
    Create a draft from the active document.

    :param document: content to start from instead of the active document.
    :raises RefusedError: if the environment has no document.
    """
    accepted = _require_accepted(await read_current(store, environment), environment)
    content = evolve(document or accepted.document, environment=environment)
    return Draft(author=author, base=base_revision_of(accepted), document=content)


async def diff_draft(store: Store, draft: Draft) -> tuple[Change, ...]:
    """
    Return the changes that a draft would make.

    :raises ConflictError: if its base revision is no longer active.
    """
    current = await read_current(store, draft.document.environment)
    return _diff_from_base(current, draft.base, draft.document)


async def approve_draft(store: Store, draft: Draft, *, approver: str) -> Review:
    """
    Approve a draft and store the approval.

    :raises RefusedError: if the approver is the author.
    :raises ConflictError: if its base revision is no longer active.
    """
    approval = approve(
        environment=draft.document.environment,
        content_hash=content_hash(draft.document),
        base=draft.base,
        author=draft.author,
        approver=approver,
    )
    changes = await diff_draft(store, draft)
    await write_approval(store, approval)
    return Review(approval=approval, changes=changes)


async def approve_promotion(
    store: Store, *, source: str, target: str, approver: str
) -> Review:
    """
    Approve the active document of `source` for `target` and store the approval.

    :raises RefusedError: if the approver is the author, or `source` has no document.
    """
    accepted = _require_accepted(await read_current(store, source), source)
    current = await read_current(store, target)
    document = evolve(accepted.document, environment=target)
    draft = Draft(author=accepted.author, base=current.base, document=document)
    return await approve_draft(store, draft, approver=approver)


async def promote_draft(
    store: Store, draft: Draft, *, highest_entry_revision: int = 0
) -> Acceptance:
    """
    Activate an approved draft.

    :param highest_entry_revision: highest revision known to be active on an entry.
    :raises RefusedError: if this content is not approved for this base revision.
    :raises ConflictError: if its base revision is no longer active.
    """
    approval = await _require_approval(store, draft.document)
    if (approval.base, approval.author) != (draft.base, draft.author):
        raise RefusedError(
            reason=f"the approval is for {approval.author}'s draft based on revision "
            f"{approval.base.revision}; this draft needs its own approval"
        )
    return await accept(
        store, _build_proposal(draft.document, approval, highest_entry_revision)
    )


async def promote_environment(
    store: Store, *, source: str, target: str, highest_entry_revision: int = 0
) -> Acceptance:
    """
    Activate the active document of `source` in `target`, as it was approved.

    :param highest_entry_revision: highest revision known to be active on an entry of
        `target`.
    :raises RefusedError: if `source` has changed since it was approved.
    :raises ConflictError: if `target` has changed since it was approved.
    """
    accepted = _require_accepted(await read_current(store, source), source)
    document = evolve(accepted.document, environment=target)
    approval = await _require_approval(store, document)
    return await accept(
        store, _build_proposal(document, approval, highest_entry_revision)
    )


async def roll_back(
    store: Store,
    *,
    environment: str,
    to_revision: int,
    replaces: int,
    author: str,
    highest_entry_revision: int = 0,
) -> Acceptance:
    """
    Activate the content of an earlier revision again, as a new revision.

    It needs no new approval, since the content was approved and active before.

    :param replaces: revision that the operator expects to be active.
    :raises RefusedError: if `to_revision` is not in the history.
    :raises ConflictError: if `replaces` is no longer active.
    """
    archived = None
    if replaces - HISTORY_SLOTS < to_revision < replaces:
        archived = await read_revision(store, environment, to_revision)
    if archived is None:
        raise RefusedError(
            reason=f"revision {to_revision} is not in the history of {environment} "
            f"before revision {replaces}"
        )
    _require_valid(archived.document)
    base = await _find_base(store, archived.document, replaces)
    proposal = Proposal(
        document=archived.document,
        base=base,
        author=author,
        approved_by=archived.approved_by,
        highest_entry_revision=highest_entry_revision,
    )
    return await accept(store, proposal)


async def restore(
    store: Store,
    newer: AcceptedDocument,
    *,
    replaces: int,
    highest_entry_revision: int = 0,
) -> Acceptance:
    """
    Accept a document again that is missing from a store restored from a backup.

    Its new revision is higher than those of the store and of the entries.

    :param newer: document read from an entry.
    :param replaces: active revision in the store, 0 if it has none.
    :raises RefusedError: if the store is not older than `newer`.
    :raises ConflictError: if `replaces` is no longer the active revision in the store.
    """
    if replaces > newer.revision:
        raise RefusedError(
            reason=f"revision {newer.revision} is not newer than {replaces}; "
            "roll back or edit instead"
        )
    _require_valid(newer.document)
    current = (await read_current(store, newer.document.environment)).accepted
    if current is not None and _is_restored(current, newer):
        return Acceptance(accepted=current)
    base = await _find_base(store, newer.document, replaces)
    if base.write_id == newer.write_id:
        raise RefusedError(reason=f"the store already has revision {newer.revision}")
    proposal = Proposal(
        document=newer.document,
        base=base,
        author=newer.author,
        approved_by=newer.approved_by,
        revision=max(replaces, newer.revision, highest_entry_revision) + 1,
    )
    return await accept(store, proposal)


def _build_proposal(
    document: EnvironmentDocument, approval: Approval, highest_entry_revision: int
) -> Proposal:
    return Proposal(
        document=document,
        base=approval.base,
        author=approval.author,
        approved_by=approval.approved_by,
        highest_entry_revision=highest_entry_revision,
    )


def _diff_from_base(
    current: CurrentDocument, base: BaseRevision, document: EnvironmentDocument
) -> tuple[Change, ...]:
    active_document = current.accepted.document if current.accepted else None
    changes = diff_documents(active_document, document)
    if current.base == base:
        return changes
    raise ConflictError(
        environment=document.environment,
        base_revision=base.revision,
        current=current.accepted,
        changes=changes,
    )


async def _find_base(
    store: Store, document: EnvironmentDocument, revision: int
) -> BaseRevision:
    """
    Return the base revision with this number.

    It may have been replaced already: a command that is repeated after a lost reply
    then finds that its own write replaced it.

    :raises ConflictError: if it is neither active nor in the history.
    """
    current = await read_current(store, document.environment)
    if current.base.revision == revision:
        return current.base
    if revision == 0:
        return BaseRevision()
    archived = await read_revision(store, document.environment, revision)
    if archived is None:
        _diff_from_base(current, BaseRevision(revision=revision), document)
    return base_revision_of(archived)


def _is_restored(current: AcceptedDocument, newer: AcceptedDocument) -> bool:
    return (
        current.revision > newer.revision and current.content_hash == newer.content_hash
    )


def _require_accepted(current: CurrentDocument, environment: str) -> AcceptedDocument:
    if current.accepted is None:
        raise RefusedError(reason=f"{environment} has no document")
    return current.accepted


async def _require_approval(store: Store, document: EnvironmentDocument) -> Approval:
    digest = content_hash(document)
    approval = await read_approval(store, document.environment, digest)
    if approval is None:
        raise RefusedError(
            reason=f"content {digest} is not approved for {document.environment}"
        )
    return approval


def _require_valid(document: EnvironmentDocument) -> None:
    findings = check_document(document)
    if findings:
        raise FindingsError(subject=document.environment, findings=findings)
