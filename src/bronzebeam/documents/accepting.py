"""
Writes a document to the configuration store as the active one of its environment.

The write is a single compare-and-swap. If its reply is lost, the store is read again to
find out whether the write took effect.
"""

import hashlib
from typing import Final

import anyio
from attrs import frozen

from bronzebeam.documents.diff import diff_documents
from bronzebeam.documents.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreBehindError,
)
from bronzebeam.documents.loading import canonical_json, content_hash
from bronzebeam.documents.model import AcceptedDocument, EnvironmentDocument
from bronzebeam.documents.review import BaseRevision
from bronzebeam.documents.storage import (
    HISTORY_SLOTS,
    CurrentDocument,
    archive,
    read_current,
    read_revision,
    write_current,
)
from bronzebeam.transport.store import Store, StoreUnavailable

RETRY_DELAYS_SECONDS: Final = (0.2, 0.5, 1.0, 2.0)

_WRITE_ID_LENGTH: Final = 32


@frozen(kw_only=True)
class Proposal:
    """
    A document that is to replace the active document `base`.

    :ivar revision: revision number to assign; None for that of the base plus one.
    :ivar highest_entry_revision: highest revision known to be active on an entry.
    """

    document: EnvironmentDocument
    base: BaseRevision
    author: str
    approved_by: str
    revision: int | None = None
    highest_entry_revision: int = 0

    def build_accepted(self) -> AcceptedDocument:
        """
        Return the document in the form in which it is stored.

        The write identifier is a hash over the change and its base. A repetition of
        the same change, from any process, thus has the same identifier and is
        recognized as the same write.
        """
        revision = self.revision or self.base.revision + 1
        digest = content_hash(self.document)
        change = [
            self.document.environment,
            self.base.revision,
            self.base.write_id,
            revision,
            digest,
            self.author,
            self.approved_by,
        ]
        write_id = hashlib.sha256(canonical_json(change)).hexdigest()
        return AcceptedDocument(
            revision=revision,
            write_id=write_id[:_WRITE_ID_LENGTH],
            content_hash=digest,
            author=self.author,
            approved_by=self.approved_by,
            document=self.document,
        )


@frozen(kw_only=True)
class Acceptance:
    """
    Result of a proposal that was activated.

    :ivar superseded_by: active revision that has replaced it since; None if it is
        still active.
    """

    accepted: AcceptedDocument
    superseded_by: int | None = None


async def accept(store: Store, proposal: Proposal) -> Acceptance:
    """
    Activate a proposal, or find that it was activated before.

    :raises ConflictError: if the active document is not the base of the proposal.
    :raises StoreBehindError: if an entry has a higher revision than the store.
    :raises StoreUnavailable: if the store was unavailable and no write was sent.
    :raises OutcomeUnknownError: if the write was sent and its outcome could not be
        determined.
    """
    operation = _AcceptOperation(store=store, proposal=proposal)
    for delay_seconds in (*RETRY_DELAYS_SECONDS, None):
        try:
            acceptance = await operation.run()
        except StoreUnavailable as error:
            failure = error
        else:
            if acceptance is not None:
                return acceptance
            failure = StoreUnavailable(
                "another writer changed the document between read and write"
            )
        if delay_seconds is not None:
            await anyio.sleep(delay_seconds)
    if operation.write_sent:
        raise operation.build_outcome_unknown() from failure
    raise failure


class _AcceptOperation:
    """State shared by the attempts to activate one proposal."""

    def __init__(self, *, store: Store, proposal: Proposal) -> None:
        self.write_sent = False
        self._store = store
        self._proposal = proposal
        self._new_document = proposal.build_accepted()
        self._environment = proposal.document.environment

    async def run(self) -> Acceptance | None:
        """
        Make one attempt: read the active document, archive it, write the new one.

        :returns: None if another writer changed the key after it was read.
        """
        current = await read_current(self._store, self._environment)
        if current.base.write_id == self._new_document.write_id:
            return Acceptance(accepted=self._new_document)
        if self._proposal.highest_entry_revision > current.base.revision:
            raise StoreBehindError(
                environment=self._environment,
                store_revision=current.base.revision,
                highest_entry_revision=self._proposal.highest_entry_revision,
            )
        if current.base != self._proposal.base:
            return await self._resolve_changed_base(current)
        if current.accepted is not None:
            await archive(self._store, current.accepted)
        self.write_sent = True
        written = await write_current(
            self._store, self._new_document, expected=current.mod_revision
        )
        return Acceptance(accepted=self._new_document) if written else None

    def build_outcome_unknown(self) -> OutcomeUnknownError:
        """Return the error for a sent write whose outcome could not be determined."""
        return OutcomeUnknownError(
            environment=self._environment, write_id=self._new_document.write_id
        )

    async def _resolve_changed_base(self, current: CurrentDocument) -> Acceptance:
        """
        Find out whether the proposal was active before another document replaced it.

        Every writer archives a document before replacing it, so the history answers
        this as long as the slot has not been reused for a later revision.

        :raises ConflictError: if the proposal is not in the history.
        :raises OutcomeUnknownError: if this operation sent it, but its slot was reused
            or the store was restored from an older backup.
        """
        new_document, active_base = self._new_document, current.base
        archived = await read_revision(
            self._store, self._environment, new_document.revision
        )
        if archived is not None and archived.write_id == new_document.write_id:
            return Acceptance(accepted=new_document, superseded_by=active_base.revision)
        slot_reused = active_base.revision >= new_document.revision + HISTORY_SLOTS
        store_behind = active_base.revision < new_document.revision
        if self.write_sent and (slot_reused or store_behind):
            raise self.build_outcome_unknown()
        active_document = current.accepted.document if current.accepted else None
        raise ConflictError(
            environment=self._environment,
            base_revision=self._proposal.base.revision,
            current=current.accepted,
            changes=diff_documents(active_document, new_document.document),
        )
