"""Acceptance of a document: one compare-and-swap, settled if its reply is lost."""

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
    A document to put in force in the place of `base`.

    :ivar revision: revision to accept it at; None for the one after the base.
    :ivar held_revision: highest revision that entries are known to hold.
    """

    document: EnvironmentDocument
    base: BaseRevision
    author: str
    approved_by: str
    revision: int | None = None
    highest_entry_revision: int = 0

    def build_accepted(self) -> AcceptedDocument:
        """
        Return the document as it is to be stored.

        The write identifier is derived from the whole change and its base. Each
        repetition, from any process, is thus the same write.
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
    A proposal that has been put in force.

    :ivar superseded_by: revision that has replaced it since; None if none has.
    """

    accepted: AcceptedDocument
    superseded_by: int | None = None


async def accept(store: Store, proposal: Proposal) -> Acceptance:
    """
    Put a proposal in force, or find that it already was.

    :raises ConflictError: if another document than the base is in force.
    :raises StoreBehindError: if entries hold a revision that the store lacks.
    :raises StoreUnavailable: if nothing was sent for want of the store.
    :raises OutcomeUnknownError: if it was sent and could not be settled.
    """
    attempt = _AcceptOperation(store=store, proposal=proposal)
    for delay_seconds in (*RETRY_DELAYS_SECONDS, None):
        try:
            acceptance = await attempt.run()
        except StoreUnavailable as error:
            failure = error
        else:
            if acceptance is not None:
                return acceptance
            failure = StoreUnavailable("the document was written by others")
        if delay_seconds is not None:
            await anyio.sleep(delay_seconds)
    if attempt.write_sent:
        raise attempt.build_outcome_unknown() from failure
    raise failure


class _AcceptOperation:
    """The state that the attempts of one acceptance share."""

    def __init__(self, *, store: Store, proposal: Proposal) -> None:
        self.write_sent = False
        self._store = store
        self._proposal = proposal
        self._new_document = proposal.build_accepted()
        self._environment = proposal.document.environment

    async def run(self) -> Acceptance | None:
        """Read, archive and write once; None if another writer came between."""
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
        """Return the error for a write that was sent and could not be settled."""
        return OutcomeUnknownError(
            environment=self._environment, write_id=self._new_document.write_id
        )

    async def _resolve_changed_base(self, current: CurrentDocument) -> Acceptance:
        """
        Tell whether the proposal was in force before another replaced it.

        Whoever replaces a document archives it first, so the history tells, as long
        as the slot has not been taken over.
        """
        wanted, found = self._new_document, current.base
        past = await read_revision(self._store, self._environment, wanted.revision)
        if past is not None and past.write_id == wanted.write_id:
            return Acceptance(accepted=wanted, superseded_by=found.revision)
        taken_over = found.revision >= wanted.revision + HISTORY_SLOTS
        came_back_older = found.revision < wanted.revision
        if self.write_sent and (taken_over or came_back_older):
            raise self.build_outcome_unknown()
        held = current.accepted.document if current.accepted else None
        raise ConflictError(
            environment=self._environment,
            base_revision=self._proposal.base.revision,
            current=current.accepted,
            changes=diff_documents(held, wanted.document),
        )
