"""Accepts a document by a direct write to the store, in the role of an operator."""

import uuid

from bronzebeam.documents.loading import accepted_to_json, content_hash
from bronzebeam.documents.model import (
    DOCUMENT_KEY_PREFIX,
    AcceptedDocument,
    EnvironmentDocument,
)
from bronzebeam.transport.store import Conflict, StoreUnavailable
from bronzebeam.transport.store_http import HttpStore


class AcceptConflict(Exception):
    """Another write changed the document first."""


async def accept_document(
    *, store_url: str, document: EnvironmentDocument, highest_known_revision: int = 0
) -> int:
    """
    Accept `document` at the next revision and return that revision.

    :param highest_known_revision: the new revision is higher than this one, also if the
        store was restored from an older backup.
    :raises AcceptConflict: if another write came first, or if the reply to this write
        was lost and the store holds another write.
    :raises StoreUnavailable: if the store does not reply.
    """
    key = DOCUMENT_KEY_PREFIX + document.environment
    async with HttpStore(base_url=store_url) as store:
        current = await store.get(key)
        stored = 0 if current is None else int(current.value["revision"])
        accepted = AcceptedDocument(
            revision=max(stored, highest_known_revision) + 1,
            write_id=uuid.uuid4().hex,
            content_hash=content_hash(document),
            author="rig",
            approved_by="rig",
            document=document,
        )
        expected = 0 if current is None else current.mod_revision
        try:
            result = await store.compare_and_swap(
                key=key, value=accepted_to_json(accepted), expected=expected
            )
        except StoreUnavailable:
            await _confirm_write(store, key, accepted)
            return accepted.revision
        if isinstance(result, Conflict):
            raise AcceptConflict
        return accepted.revision


async def _confirm_write(
    store: HttpStore, key: str, accepted: AcceptedDocument
) -> None:
    """Check by write ID that a write whose reply was lost has taken effect."""
    current = await store.get(key)
    if current is None or current.value["write_id"] != accepted.write_id:
        raise AcceptConflict
