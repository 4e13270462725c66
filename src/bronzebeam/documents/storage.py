"""Storage of documents, their history and approvals in the configuration store."""

from typing import Any, Final

from attrs import frozen

from bronzebeam.documents.loading import accepted_from_json, accepted_to_json
from bronzebeam.documents.model import DOCUMENT_KEY_PREFIX, AcceptedDocument
from bronzebeam.documents.review import (
    Approval,
    BaseRevision,
    approval_from_json,
    approval_to_json,
    base_revision_of,
)
from bronzebeam.transport.store import Store, StoredValue, StoreUnavailable, Written

HISTORY_KEY_PREFIX: Final = "bronzebeam/history/"
APPROVAL_KEY_PREFIX: Final = "bronzebeam/approvals/"
HISTORY_SLOTS: Final = 32
APPROVAL_TTL_SECONDS: Final = 14 * 24 * 3600.0
MAX_WRITE_ATTEMPTS: Final = 4


@frozen(kw_only=True)
class CurrentDocument:
    """
    The active document of an environment.

    :ivar accepted: None if the environment has no document.
    :ivar mod_revision: modification revision of the key in the store, 0 if absent.
    """

    accepted: AcceptedDocument | None
    mod_revision: int

    @property
    def base(self) -> BaseRevision:
        return base_revision_of(self.accepted)


async def read_current(store: Store, environment: str) -> CurrentDocument:
    """
    Read the active document of an environment.

    :raises StoreUnavailable: if the store did not answer.
    :raises FindingsError: if the stored value is malformed.
    """
    stored = await store.get(DOCUMENT_KEY_PREFIX + environment)
    if stored is None:
        return CurrentDocument(accepted=None, mod_revision=0)
    return CurrentDocument(
        accepted=accepted_from_json(stored.value), mod_revision=stored.mod_revision
    )


async def write_current(
    store: Store, accepted: AcceptedDocument, *, expected: int
) -> bool:
    """
    Replace the active document by a single compare-and-swap.

    :param expected: modification revision that the key must have in the store.
    :returns: False if the key has another modification revision.
    :raises StoreUnavailable: if the write may or may not have taken effect.
    """
    result = await store.compare_and_swap(
        key=DOCUMENT_KEY_PREFIX + accepted.document.environment,
        value=accepted_to_json(accepted),
        expected=expected,
    )
    return isinstance(result, Written)


async def archive(store: Store, accepted: AcceptedDocument) -> None:
    """
    Copy the active document to its slot in the history.

    This is done before the document is replaced. The history thus contains only
    documents that were active, and a crash between the two writes merely leaves a copy
    of the document that is still active. The slots form a ring: each write replaces
    the revision that is older by `HISTORY_SLOTS`.
    """
    key = _history_key(accepted.document.environment, accepted.revision)
    for _ in range(MAX_WRITE_ATTEMPTS):
        stored = await store.get(key)
        if stored is not None and _is_slot_up_to_date(stored, accepted):
            return
        result = await store.compare_and_swap(
            key=key,
            value=accepted_to_json(accepted),
            expected=stored.mod_revision if stored else 0,
        )
        if isinstance(result, Written):
            return
    raise StoreUnavailable(f"another writer changed {key} at each attempt")


async def read_revision(
    store: Store, environment: str, revision: int
) -> AcceptedDocument | None:
    """Read a replaced revision; None if it is no longer in the history."""
    stored = await store.get(_history_key(environment, revision))
    if stored is None:
        return None
    accepted = accepted_from_json(stored.value)
    return accepted if accepted.revision == revision else None


async def read_history(store: Store, environment: str) -> tuple[AcceptedDocument, ...]:
    """Return the active document and the replaced ones still stored, newest first."""
    current = (await read_current(store, environment)).accepted
    if current is None:
        return ()
    oldest = max(current.revision - HISTORY_SLOTS, 0)
    found = [
        await read_revision(store, environment, revision)
        for revision in range(current.revision - 1, oldest, -1)
    ]
    return (current, *(item for item in found if item is not None))


async def read_approval(
    store: Store, environment: str, content_hash: str
) -> Approval | None:
    """Read the approval of a document; None if there is none or it has expired."""
    stored = await store.get(_approval_key(environment, content_hash))
    return approval_from_json(stored.value) if stored else None


async def write_approval(store: Store, approval: Approval) -> None:
    """
    Store an approval for `APPROVAL_TTL_SECONDS`.

    It replaces an earlier approval of the same document.

    :raises StoreUnavailable: if the approval may or may not have been stored; the call
        can be repeated.
    """
    key = _approval_key(approval.environment, approval.content_hash)
    value = approval_to_json(approval)
    lease_id = await store.grant_lease(ttl_seconds=APPROVAL_TTL_SECONDS)
    for _ in range(MAX_WRITE_ATTEMPTS):
        stored = await store.get(key)
        result = await store.compare_and_swap(
            key=key,
            value=value,
            expected=stored.mod_revision if stored else 0,
            lease_id=lease_id,
        )
        if isinstance(result, Written):
            return
    raise StoreUnavailable(f"another writer changed {key} at each attempt")


def _is_slot_up_to_date(stored: StoredValue, accepted: AcceptedDocument) -> bool:
    """Return whether a history slot has `accepted` or a later revision."""
    value: Any = stored.value if isinstance(stored.value, dict) else {}
    if value.get("write_id") == accepted.write_id:
        return True
    return int(value.get("revision", 0)) > accepted.revision


def _history_key(environment: str, revision: int) -> str:
    return f"{HISTORY_KEY_PREFIX}{environment}/{revision % HISTORY_SLOTS}"


def _approval_key(environment: str, content_hash: str) -> str:
    return f"{APPROVAL_KEY_PREFIX}{environment}/{content_hash}"
