"""Accepting a document straight in the store, as a rig's operators would."""

import uuid

from bronzebeam.documents.loading import accepted_to_json, content_hash
from bronzebeam.documents.model import (
    DOCUMENT_KEY_PREFIX,
    AcceptedDocument,
    EnvironmentDocument,
)
from bronzebeam.transport.store import Conflict
from bronzebeam.transport.store_http import HttpStore


class AcceptConflict(Exception):
    """Another write came first."""


async def accept_document(*, store_url: str, document: EnvironmentDocument) -> int:
    """
    Accept `document` at the next revision and return that revision.

    :raises AcceptConflict: if another write came first.
    """
    key = DOCUMENT_KEY_PREFIX + document.environment
    async with HttpStore(base_url=store_url) as store:
        current = await store.get(key)
        revision = 1 if current is None else int(current.value["revision"]) + 1
        accepted = AcceptedDocument(
            revision=revision,
            write_id=uuid.uuid4().hex,
            content_hash=content_hash(document),
            author="rig",
            approved_by="rig",
            document=document,
        )
        result = await store.compare_and_swap(
            key=key,
            value=accepted_to_json(accepted),
            expected=0 if current is None else current.mod_revision,
        )
        if isinstance(result, Conflict):
            raise AcceptConflict
        return revision
