"""Ways in which an operation on documents ends without its change."""

from attrs import field, frozen

from bronzebeam.documents.diff import Change
from bronzebeam.documents.model import AcceptedDocument


@frozen(kw_only=True)
class ConflictError(Exception):
    """
    Raised when another document is in force than the one to be replaced.

    Nothing was written.

    :ivar base_revision: revision that the operation meant to replace.
    :ivar current: what is in force; None if nothing is.
    :ivar changes: from what is in force to what the operation wanted.
    """

    environment: str
    base_revision: int
    current: AcceptedDocument | None
    changes: tuple[Change, ...] = field(default=())

    def __str__(self) -> str:
        found = self.current.revision if self.current else 0
        author = f" by {self.current.author}" if self.current else ""
        return (
            f"{self.environment}: revision {self.base_revision} was to be replaced, "
            f"but revision {found}{author} is in force; nothing was written"
        )


@frozen(kw_only=True)
class StoreBehindError(Exception):
    """
    Raised when entries hold a higher revision than the store.

    Nothing was written: the entries would not take a revision below theirs.
    """

    environment: str
    store_revision: int
    highest_entry_revision: int

    def __str__(self) -> str:
        return (
            f"{self.environment}: the store holds revision {self.store_revision}, but "
            f"entries hold {self.highest_entry_revision}; restore that first"
        )


@frozen(kw_only=True)
class RefusedError(Exception):
    """Raised when a rule forbids the operation; nothing was written."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@frozen(kw_only=True)
class OutcomeUnknownError(Exception):
    """
    Raised when a write was sent and the store could not be asked what became of it.

    The same operation may be repeated: it makes the same write, at most once.
    """

    environment: str
    write_id: str

    def __str__(self) -> str:
        return (
            f"{self.environment}: write {self.write_id} may or may not be in force; "
            "repeat the command to find out, it cannot take effect twice"
        )
