"""An entry's view of the store, shared by all claim buckets."""

from collections.abc import Callable
from typing import Final

from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.transport.store import Store

BASE_RETRY_DELAY_SECONDS: Final = 0.05
MAX_RETRY_DELAY_SECONDS: Final = 5.0
UNREACHABLE_AFTER_FAILURES: Final = 2
LEASE_MARGIN_SECONDS: Final = 3600


class StoreView:
    """
    Tracks the store's failures and the revisions of its replies.

    :ivar failures: number of consecutive calls without a reply.
    :ivar highest_revision: highest modification revision that a write returned.
    :ivar distrusted_before_seconds: claims on keys minted before may be lost.
    :ivar on_claims_lost: called when this entry detects that claims were lost.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.failures = 0
        self.highest_revision = 0
        self.distrusted_before_seconds = 0.0
        self._retry_at_seconds = 0.0
        self.on_claims_lost: Callable[[], None] = lambda: None

    @property
    def is_unreachable(self) -> bool:
        """Whether enough calls in a row failed that pending claims become undecided."""
        return self.failures >= UNREACHABLE_AFTER_FAILURES

    @property
    def is_backing_off(self) -> bool:
        """Whether claims become undecided without a call to the store."""
        return (
            self.is_unreachable
            and self._clock.monotonic_seconds() < self._retry_at_seconds
        )

    @property
    def retry_after_ms(self) -> int:
        """Return the time until the store is called again."""
        wait_seconds = self._retry_at_seconds - self._clock.monotonic_seconds()
        return max(int(wait_seconds * 1000), int(BASE_RETRY_DELAY_SECONDS * 1000))

    def record_reply(self) -> None:
        """Record a call with a reply."""
        self.failures = 0

    def record_failure(self) -> float:
        """Record a call without a reply; return the seconds to wait before the next."""
        self.failures += 1
        wait_seconds = BASE_RETRY_DELAY_SECONDS * (1 << min(self.failures, 10))
        wait_seconds = min(MAX_RETRY_DELAY_SECONDS, wait_seconds)
        self._retry_at_seconds = self._clock.monotonic_seconds() + wait_seconds
        return wait_seconds

    def record_write(self, *, mod_revision: int, previous_highest: int) -> bool:
        """
        Record a write's revision; return False if the store is back in an older state.

        :param previous_highest: `highest_revision` before the write was sent.
        """
        self.highest_revision = max(self.highest_revision, mod_revision)
        return mod_revision > previous_highest

    def record_regression(self, *, trusted_from_seconds: float) -> None:
        """Distrust the claims on all keys minted before `trusted_from_seconds`."""
        self.highest_revision = 0
        self.distrusted_before_seconds = trusted_from_seconds
        self.on_claims_lost()

    def apply_peer_view(
        self, *, distrusted_before_seconds: float, highest_revision: int
    ) -> bool:
        """
        Apply a peer's view; return whether it changed this one.

        Revisions are only comparable since the last loss of claims: the view with the
        later loss wins, and between equal losses the higher revision.
        """
        peer_view = (distrusted_before_seconds, highest_revision)
        if peer_view <= (self.distrusted_before_seconds, self.highest_revision):
            return False
        self.distrusted_before_seconds, self.highest_revision = peer_view
        return True


@frozen(kw_only=True)
class ClaimLease:
    """
    A lease that is never renewed.

    :ivar ends_at_seconds: earliest wall time at which it can expire.
    """

    lease_id: str
    ends_at_seconds: float


class ClaimLeases:
    """
    Grants the long leases that delete buckets once their keys have expired.

    One lease is used for all buckets that expire before it, so an entry needs about
    one lease per hour.
    """

    def __init__(self, *, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lease: ClaimLease | None = None

    async def get_lease(self, needed_until_seconds: float) -> ClaimLease:
        """
        Return a lease that ends no earlier than `needed_until_seconds`.

        :raises StoreUnavailable: if no lease could be granted.
        """
        lease = self._lease
        if lease is not None and lease.ends_at_seconds >= needed_until_seconds:
            return lease
        # The end is computed from the time before the call, so a delay of the call
        # can only make the lease last longer than recorded.
        now_seconds = self._clock.wall_seconds()
        ttl_seconds = needed_until_seconds - now_seconds + LEASE_MARGIN_SECONDS
        lease_id = await self._store.grant_lease(ttl_seconds=ttl_seconds)
        self._lease = ClaimLease(
            lease_id=lease_id, ends_at_seconds=now_seconds + ttl_seconds
        )
        return self._lease

    def discard(self) -> None:
        """Request a new lease next time; the store may not know the current one."""
        self._lease = None
