"""Log of recent store changes, for peers that do not watch the store themselves."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from attrs import define, evolve, field, frozen

from bronzebeam.gateway.change_codec import encode_changes
from bronzebeam.gateway.records import Change
from bronzebeam.routing.routes import RouteTable

MAX_BATCHES: Final = 60  # one minute at one batch per second

NO_CHANGES: Final = b"[]"

Waiter = Callable[[], None]


@frozen(kw_only=True)
class ChangeBatch:
    """Changes after `after_revision`, up to and including `last_revision`."""

    after_revision: int
    last_revision: int
    changes: tuple[Change, ...]


@define(kw_only=True, eq=False, repr=False)
class ChangeLog:
    """
    The changes that this instance has applied most recently.

    :ivar revision: store revision up to which the log is complete; 0 until the store
        has been read.
    :ivar era: era of the store that the revisions belong to; None if it states none.
    :ivar waiters: callbacks to run when further changes arrive.
    :ivar all_records: returns the records up to the latest revision.
    """

    revision: int = 0
    era: int | None = None
    waiters: set[Waiter] = field(factory=set)
    all_records: Callable[[], Iterable[Change]] = field(default=tuple)
    _batches: deque[ChangeBatch] = field(factory=deque)
    _oldest_revision: int = 0
    _encoded_by_revision: dict[int, bytes] = field(factory=dict)
    _encoded_records: bytes | None = None

    def reset(self, revision: int, *, era: int | None = None) -> None:
        """Restart the log at a revision, after a snapshot without single changes."""
        self.era = era
        self._batches.clear()
        self._clear_encoded()
        self.revision = self._oldest_revision = revision
        self._notify_waiters()

    def append(self, revision: int, changes: Sequence[Change]) -> None:
        """Add the changes after the latest revision, up to `revision`."""
        if revision <= self.revision:
            return
        self._batches.append(
            ChangeBatch(
                after_revision=self.revision,
                last_revision=revision,
                changes=tuple(changes),
            )
        )
        if any(isinstance(change.value, RouteTable) for change in changes):
            self._drop_earlier_configurations()
        self._clear_encoded()
        self.revision = revision
        if len(self._batches) > MAX_BATCHES:
            self._oldest_revision = self._batches.popleft().last_revision
        self._notify_waiters()

    def _drop_earlier_configurations(self) -> None:
        """
        Keep the latest of the configurations only, which may be large.

        An earlier one with a higher version stays in force, and in the log.
        """
        latest_version = -1
        for index in reversed(range(len(self._batches))):
            kept = []
            for change in reversed(self._batches[index].changes):
                if isinstance(change.value, RouteTable):
                    if change.value.version <= latest_version:
                        continue
                    latest_version = change.value.version
                kept.append(change)
            if len(kept) < len(self._batches[index].changes):
                self._batches[index] = evolve(
                    self._batches[index], changes=tuple(reversed(kept))
                )

    def encoded_changes_after(self, revision: int) -> bytes | None:
        """
        Return the encoded changes after a revision; None if the log starts later.

        Batches are not split, so the result may include changes that the peer has
        already applied. Applying them again in order leads to the same state. A peer
        that read the store later than this instance is ahead and gets no changes.
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

    def _clear_encoded(self) -> None:
        self._encoded_by_revision.clear()
        self._encoded_records = None

    def encoded_records(self) -> bytes:
        """Return all encoded records."""
        if self._encoded_records is None:
            self._encoded_records = encode_changes(self.all_records())
        return self._encoded_records

    def _notify_waiters(self) -> None:
        for waiter in list(self.waiters):
            waiter()
