"""What one entry knows of the store over all claim buckets."""

from collections.abc import Callable
from typing import Final

from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.transport.store import Store

RETRY_FIRST_SECONDS: Final = 0.05
RETRY_MOST_SECONDS: Final = 5.0
CLAIM_ATTEMPT_FAILURES: Final = 2
LEASE_SPARE_SECONDS: Final = 3600


class StoreView:
    """
    Failures and revisions seen in the store's replies.

    :ivar failures: calls in a row without an answer.
    :ivar highest_revision: highest modification revision that a write returned.
    :ivar distrusted_before_seconds: claims of keys minted earlier may be lost.
    :ivar on_regression: called when this entry finds that claims were lost.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.failures = 0
        self.highest_revision = 0
        self.distrusted_before_seconds = 0.0
        self._retry_at_seconds = 0.0
        self.on_claims_lost: Callable[[], None] = lambda: None

    @property
    def out_of_reach(self) -> bool:
        """Tell whether so many calls failed that claims are given up."""
        return self.failures >= CLAIM_ATTEMPT_FAILURES

    @property
    def suspended(self) -> bool:
        """Tell whether claims are given up without asking the store."""
        return (
            self.out_of_reach
            and self._clock.monotonic_seconds() < self._retry_at_seconds
        )

    @property
    def retry_after_ms(self) -> int:
        """Return when the store is asked next."""
        wait_seconds = self._retry_at_seconds - self._clock.monotonic_seconds()
        return max(int(wait_seconds * 1000), int(RETRY_FIRST_SECONDS * 1000))

    def note_answer(self) -> None:
        """Count an answered call."""
        self.failures = 0

    def note_failure(self) -> float:
        """Count an unanswered call and return the seconds to wait."""
        self.failures += 1
        wait_seconds = RETRY_FIRST_SECONDS * (1 << min(self.failures, 10))
        wait_seconds = min(RETRY_MOST_SECONDS, wait_seconds)
        self._retry_at_seconds = self._clock.monotonic_seconds() + wait_seconds
        return wait_seconds

    def note_write(self, *, mod_revision: int, floor: int) -> bool:
        """
        Take in a write's revision; False if the store has gone back in time.

        :param floor: `highest_revision` before the write was sent.
        """
        self.highest_revision = max(self.highest_revision, mod_revision)
        return mod_revision > floor

    def note_regression(self, *, trusted_from_seconds: float) -> None:
        """Distrust the claims of all keys minted before `trusted_from_seconds`."""
        self.highest_revision = 0
        self.distrusted_before_seconds = trusted_from_seconds
        self.on_claims_lost()

    def apply_peer_view(
        self, *, distrusted_before_seconds: float, highest_revision: int
    ) -> bool:
        """
        Take in what a peer knows; tell whether it was news.

        Revisions count from the last loss of claims, so that of two views the one
        with the later loss holds, and the higher revision of those with the same.
        """
        heard = (distrusted_before_seconds, highest_revision)
        if heard <= (self.distrusted_before_seconds, self.highest_revision):
            return False
        self.distrusted_before_seconds, self.highest_revision = heard
        return True


@frozen(kw_only=True)
class ClaimLease:
    """
    A lease that is never renewed.

    :ivar ends_at_seconds: earliest wall time at which it can end.
    """

    lease_id: str
    ends_at_seconds: float


class ClaimLeases:
    """
    Grants the long leases that delete buckets once their keys are refused.

    One lease serves every bucket that it outlasts, so that an entry asks for about
    one an hour.
    """

    def __init__(self, *, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lease: ClaimLease | None = None

    async def lasting_until(self, needed_until_seconds: float) -> ClaimLease:
        """
        Return a lease that ends no earlier than `needed_until_seconds`.

        :raises StoreUnavailable: if none could be granted.
        """
        lease = self._lease
        if lease is not None and lease.ends_at_seconds >= needed_until_seconds:
            return lease
        # The end is counted from before the call, so that a pause on the way can
        # only make the lease last longer than stated.
        now_seconds = self._clock.wall_seconds()
        ttl_seconds = needed_until_seconds - now_seconds + LEASE_SPARE_SECONDS
        lease_id = await self._store.grant_lease(ttl_seconds=ttl_seconds)
        self._lease = ClaimLease(
            lease_id=lease_id, ends_at_seconds=now_seconds + ttl_seconds
        )
        return self._lease

    def forget(self) -> None:
        """Ask for a new lease next time; the store may not know this one."""
        self._lease = None
