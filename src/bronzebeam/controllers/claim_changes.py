"""Changes of claims on their way into the store."""

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
    """Drop a log event."""


@frozen(kw_only=True)
class Unsettled:
    """
    The claim could not be settled; this attempt never sends.

    :ivar reason: `store_unavailable`, `store_regressed`, `bucket_unreadable`,
        `claims_overloaded` or `key_expired`.
    :ivar unclaimed_seen: the store showed, while this attempt waited, that the key
        had not run under any attempt.
    """

    reason: str
    unclaimed_seen: bool = False


@define(kw_only=True, eq=False)
class PendingChange:
    """
    One change on its way into a bucket.

    :ivar in_doubt: a write that carries the change was handed to the store.
    :ivar unclaimed_seen: see `Unsettled`.
    :ivar decision: None until it is settled.
    """

    key: CallerKey
    change: ClaimChange
    in_doubt: bool = False
    unclaimed_seen: bool = False
    decision: ClaimDecision | Unsettled | None = None
    settled: anyio.Event = field(factory=anyio.Event)

    @property
    def is_claim(self) -> bool:
        return isinstance(self.change, TakeClaim)

    def settle(self, decision: ClaimDecision | Unsettled) -> None:
        """Publish the decision to whoever waits for it."""
        if self.decision is None:
            self.decision = decision
            self.settled.set()

    def give_up(self, reason: str) -> None:
        """Settle as unsettled for `reason`."""
        self.settle(Unsettled(reason=reason, unclaimed_seen=self.unclaimed_seen))

    def make_release(self) -> "PendingChange":
        """Return the change that makes sure that this claim never counts as run."""
        change = ReleaseClaim(
            key=self.change.key,
            fingerprint=self.change.fingerprint,
            nonce=self.change.nonce,
            incarnation=self.change.incarnation,
        )
        return PendingChange(key=self.key, change=change)
