"""Approvals: which content was approved, by whom, and which revision it replaces."""

from typing import Any

from attrs import asdict, field, frozen, validators

from bronzebeam.documents.errors import RefusedError
from bronzebeam.documents.model import AcceptedDocument

_TEXT = validators.and_(validators.instance_of(str), validators.min_len(1))


@frozen(kw_only=True)
class BaseRevision:
    """
    Identifies the accepted document that an operation replaces.

    If the store is restored from an older backup, a revision number can be assigned a
    second time. The write identifier tells the two documents apart.

    :ivar revision: 0 if the environment has no document.
    :ivar write_id: empty if the environment has no document.
    """

    revision: int = field(default=0, validator=validators.instance_of(int))
    write_id: str = field(default="", validator=validators.instance_of(str))


@frozen(kw_only=True)
class Approval:
    """
    One operator's approval to replace one base revision by one document.

    :ivar content_hash: hash of the approved document.
    """

    environment: str = field(validator=_TEXT)
    content_hash: str = field(validator=_TEXT)
    base: BaseRevision = field(validator=validators.instance_of(BaseRevision))
    author: str = field(validator=_TEXT)
    approved_by: str = field(validator=_TEXT)


def base_revision_of(accepted: AcceptedDocument | None) -> BaseRevision:
    """Return the base revision of an operation that replaces `accepted`."""
    if accepted is None:
        return BaseRevision()
    return BaseRevision(revision=accepted.revision, write_id=accepted.write_id)


def approve(
    *,
    environment: str,
    content_hash: str,
    base: BaseRevision,
    author: str,
    approver: str,
) -> Approval:
    """
    Build the approval of a document by `approver`.

    :raises RefusedError: if the approver is the author.
    """
    if approver == author:
        raise RefusedError(reason=f"{author} cannot approve their own document")
    return Approval(
        environment=environment,
        content_hash=content_hash,
        base=base,
        author=author,
        approved_by=approver,
    )


def approval_to_json(approval: Approval) -> dict[str, Any]:
    """Return the approval as plain JSON values for the store."""
    return asdict(approval)


def approval_from_json(value: Any) -> Approval:
    """
    Build an approval from a value read from the store.

    :raises RefusedError: if it is malformed.
    """
    try:
        return Approval(**{**value, "base": BaseRevision(**value["base"])})
    except (TypeError, ValueError, KeyError) as error:
        raise RefusedError(
            reason=f"the stored approval is malformed: {error}"
        ) from None
