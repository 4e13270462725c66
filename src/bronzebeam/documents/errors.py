"""Errors raised by operations on documents."""

from attrs import field, frozen

from bronzebeam.documents.diff import Change
from bronzebeam.documents.model import AcceptedDocument


@frozen(kw_only=True)
class ConflictError(Exception):
    """
    Raised if the active document is not the one that the operation was to replace.

    Nothing was written.

    :ivar base_revision: revision that the operation was to replace.
    :ivar current: active document; None if the environment has none.
    :ivar changes: from the active document to the one that was to replace it.
    """

    environment: str
    base_revision: int
    current: AcceptedDocument | None
    changes: tuple[Change, ...] = field(default=())

    def __str__(self) -> str:
        found = self.current.revision if self.current else 0
        author = f" by {self.current.author}" if self.current else ""
        return (
            f"{self.environment}: expected to replace revision {self.base_revision}, "
            f"but revision {found}{author} is active; nothing was written"
        )


@frozen(kw_only=True)
class StoreBehindError(Exception):
    """
    Raised if a higher revision is active on an entry than in the store.

    Nothing was written, because entries ignore revisions below their own.
    """

    environment: str
    store_revision: int
    highest_entry_revision: int

    def __str__(self) -> str:
        return (
            f"{self.environment}: the store has revision {self.store_revision}, but an "
            f"entry has revision {self.highest_entry_revision}; restore that first"
        )


@frozen(kw_only=True)
class RefusedError(Exception):
    """Raised if a rule forbids the operation; nothing was written."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@frozen(kw_only=True)
class OutcomeUnknownError(Exception):
    """
    Raised if a write was sent and the store could not be asked for its outcome.

    The operation can safely be repeated, since its write takes effect at most once.
    """

    environment: str
    write_id: str

    def __str__(self) -> str:
        return (
            f"{self.environment}: the outcome of write {self.write_id} is unknown; "
            "repeat the command to find out, the write cannot take effect twice"
        )
