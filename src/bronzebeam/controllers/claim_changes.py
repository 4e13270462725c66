"""Changes to claims that wait to be written to the store."""

from collections.abc import Callable
from typing import Any

import anyio
from attrs import define, field, frozen

from bronzebeam.routing.claims import (
    ClaimChange,
    ClaimDecision,
    ReleaseClaim,
    TakeClaim,
)
from bronzebeam.routing.idempotency_keys import CallerKey

LogEvent = Callable[..., None]


def ignore_event(name: str, **fields: Any) -> None:
    """Discard a log event."""


@frozen(kw_only=True)
class ClaimUndecided:
    """
    The claim could not be decided; the attempt must not send the request.

    :ivar reason: `store_unavailable`, `store_regressed`, `bucket_unreadable`,
        `claims_overloaded` or `key_expired`.
    :ivar seen_unclaimed: a bucket read while this attempt waited showed that no
        attempt had run with the key.
    """

    reason: str
    seen_unclaimed: bool = False


@define(kw_only=True, eq=False)
class PendingChange:
    """
    A change that waits to be written to its bucket.

    :ivar in_doubt: a write with this change was sent and may have been applied.
    :ivar seen_unclaimed: see `ClaimUndecided`.
    :ivar decision: None until the change is settled.
    :ivar settled: set once `decision` is.
    """

    key: CallerKey
    change: ClaimChange
    in_doubt: bool = False
    seen_unclaimed: bool = False
    decision: ClaimDecision | ClaimUndecided | None = None
    settled: anyio.Event = field(factory=anyio.Event)

    @property
    def is_claim(self) -> bool:
        return isinstance(self.change, TakeClaim)

    def settle(self, decision: ClaimDecision | ClaimUndecided) -> None:
        """Set the decision, unless there is one, and wake the tasks waiting for it."""
        if self.decision is None:
            self.decision = decision
            self.settled.set()

    def settle_undecided(self, reason: str) -> None:
        """Settle the change as undecided for `reason`."""
        self.settle(ClaimUndecided(reason=reason, seen_unclaimed=self.seen_unclaimed))

    def make_release(self) -> "PendingChange":
        """Return a change that releases this claim in case it was or will be stored."""
        change = ReleaseClaim(
            key=self.change.key,
            fingerprint=self.change.fingerprint,
            nonce=self.change.nonce,
            incarnation=self.change.incarnation,
        )
        return PendingChange(key=self.key, change=change)
