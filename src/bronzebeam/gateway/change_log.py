"""The latest changes of the store, kept for peers that do not watch it."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define, field, frozen

from bronzebeam.gateway.change_codec import encode_changes
from bronzebeam.gateway.records import Change

MAX_BATCHES: Final = 60  # a minute of changes that come together each second

NO_CHANGES: Final = b"[]"

Waiter = Callable[[], None]


@frozen(kw_only=True)
class ChangeBatch:
    """Changes after one revision of the store and up to another."""

    after_revision: int
    last_revision: int
    changes: tuple[Change, ...]


@define(kw_only=True, eq=False, repr=False)
class ChangeLog:
    """
    Changes as this instance has taken them in.

    :ivar revision: revision of the store up to which they are complete; 0 before the
        first read.
    :ivar waiters: called once there are further changes.
    """

    revision: int = 0
    waiters: set[Waiter] = field(factory=set)
    _batches: deque[ChangeBatch] = field(factory=deque)
    _oldest_revision: int = 0
    _encoded_by_revision: dict[int, bytes] = field(factory=dict)

    def reset(self, revision: int) -> None:
        """Start anew, since changes before this revision are not known one by one."""
        self._batches.clear()
        self._encoded_by_revision.clear()
        self.revision = self._oldest_revision = revision
        self._notify_waiters()

    def append(self, revision: int, changes: Sequence[Change]) -> None:
        """Add the changes after the latest revision, up to another."""
        if revision <= self.revision:
            return
        self._batches.append(
            ChangeBatch(
                after_revision=self.revision,
                last_revision=revision,
                changes=tuple(changes),
            )
        )
        self._encoded_by_revision.clear()
        self.revision = revision
        if len(self._batches) > MAX_BATCHES:
            self._oldest_revision = self._batches.popleft().last_revision
        self._notify_waiters()

    def encoded_after(self, revision: int) -> bytes | None:
        """
        Return the changes after a revision, encoded; None if they are not all known.

        Batches are whole: taking in again what was taken in before, and then what
        followed it, leads to the same state. A peer that is ahead has read the store
        later than this instance; for it there are no changes yet.
        """
        if revision >= self.revision:
            return NO_CHANGES
        if revision < self._oldest_revision:
            return None
        cached = self._encoded_by_revision.get(revision)
        if cached is None:
            cached = self._encoded_by_revision[revision] = encode_changes(
                change
                for batch in self._batches
                if batch.last_revision > revision
                for change in batch.changes
            )
        return cached

    def _notify_waiters(self) -> None:
        for waiter in list(self.waiters):
            waiter()
