"""Group commit of claim changes to one bucket of the store.

At most one compare-and-swap is in flight for a bucket; changes that arrive
meanwhile are part of the next one. If a reply is lost, the bucket is read again and
the nonce of each change shows whether it was applied.
"""

from collections.abc import Sequence
from typing import Final

import anyio
import attrs
from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.claim_changes import LogEvent, PendingChange
from bronzebeam.controllers.store_view import ClaimLeases, StoreView
from bronzebeam.routing.claims import (
    Bucket,
    ClaimDecision,
    ClaimGranted,
    ClaimState,
    UnreadableBucket,
    apply_changes,
    parse_bucket,
)
from bronzebeam.routing.idempotency_keys import (
    CLOCK_SKEW_SECONDS,
    MAX_AHEAD_SECONDS,
    bucket_expires_at_seconds,
)
from bronzebeam.transport.store import Conflict, Store, StoredValue, StoreUnavailable

CLAIM_BATCH_SECONDS: Final = 0.002
RECORD_BATCH_SECONDS: Final = 0.1
MAX_CACHE_AGE_SECONDS: Final = 0.02


@frozen(kw_only=True)
class CachedBucket:
    """A bucket and its modification revision; 0 if the store has no such key."""

    mod_revision: int
    bucket: Bucket


class BucketWriter:
    """
    Writes the pending changes of one bucket.

    :param bucket_key: the bucket's key in the store.
    :param log: called with the event's name and fields.
    """

    def __init__(
        self,
        *,
        bucket_key: str,
        store: Store,
        view: StoreView,
        leases: ClaimLeases,
        clock: Clock,
        log: LogEvent,
    ) -> None:
        self._bucket_key = bucket_key
        self._store = store
        self._view = view
        self._leases = leases
        self._clock = clock
        self._log = log
        self._cached: CachedBucket | None = None
        self._cached_at_seconds = 0.0
        self._last_revision = 0
        self._lease_in_doubt = False
        self._claim_added = anyio.Event()
        self.pending: list[PendingChange] = []
        self.running = False

    def add(self, pending: PendingChange) -> None:
        """Queue a change for the next write."""
        self.pending.append(pending)
        if pending.is_claim:
            self._claim_added.set()

    def abandon(self, pending: PendingChange) -> None:
        """Withdraw a claim whose attempt ended without sending the request."""
        if pending in self.pending:
            self.pending.remove(pending)
        if pending.in_doubt and isinstance(pending.decision, ClaimGranted | None):
            self.pending.append(pending.make_release())

    async def run(self) -> None:
        """Write until no changes are pending."""
        while self.pending:
            await self._wait_for_batch()
            try:
                await self._commit()
            except StoreUnavailable:
                await self._handle_store_failure()
            except UnreadableBucket as error:
                self._handle_unreadable(error)

    async def _wait_for_batch(self) -> None:
        if any(pending.is_claim for pending in self.pending):
            await anyio.sleep(CLAIM_BATCH_SECONDS)
            return
        self._claim_added = anyio.Event()
        with anyio.move_on_after(RECORD_BATCH_SECONDS):
            await self._claim_added.wait()

    async def _commit(self) -> None:
        self._drop_expired()
        batch = tuple(self.pending)
        if not batch:
            return
        self._drop_stale_cache()
        cached = self._cached or await self._read(batch)
        self._settle_distrusted_claims(batch)
        batch = tuple(item for item in batch if item in self.pending)
        bucket, decisions = apply_changes(cached.bucket, [p.change for p in batch])
        if bucket is not cached.bucket:
            await self._write(batch, cached, bucket, decisions)
            return
        self._settle_batch(batch, decisions)

    def _drop_stale_cache(self) -> None:
        """
        Drop a cached bucket that another entry has probably written since.

        A read costs the store less than a failed compare-and-swap.
        """
        age_seconds = self._clock.monotonic_seconds() - self._cached_at_seconds
        if age_seconds > MAX_CACHE_AGE_SECONDS:
            self._cached = None

    async def _read(self, batch: Sequence[PendingChange]) -> CachedBucket:
        stored = await self._store.get(self._bucket_key)
        self._view.record_reply()
        return self._apply_stored(stored, batch)

    async def _write(
        self,
        batch: Sequence[PendingChange],
        cached: CachedBucket,
        bucket: Bucket,
        decisions: Sequence[ClaimDecision],
    ) -> None:
        bucket = await self._with_lease(bucket, batch)
        if any(item not in self.pending for item in batch):
            return
        previous_highest = self._view.highest_revision
        for pending in batch:
            pending.in_doubt = True
        # The store rejects a write with an unknown lease. If this one fails, the next
        # write gets a new lease.
        self._lease_in_doubt = True
        reply = await self._store.compare_and_swap(
            key=self._bucket_key,
            value=bucket.to_json(),
            expected=cached.mod_revision,
            lease_id=bucket.lease_id,
        )
        self._lease_in_doubt = False
        self._view.record_reply()
        if isinstance(reply, Conflict):
            self._apply_stored(reply.current, batch)
            return
        self._cache_bucket(reply.mod_revision, bucket)
        if not self._view.record_write(
            mod_revision=reply.mod_revision, previous_highest=previous_highest
        ):
            self._handle_regression()
            self._settle_distrusted_claims(batch)
        self._settle_batch(batch, decisions)

    async def _with_lease(
        self, bucket: Bucket, batch: Sequence[PendingChange]
    ) -> Bucket:
        needed_until_seconds = max(bucket_expires_at_seconds(p.key) for p in batch)
        lease_is_sufficient = bucket.lease_ends_at_seconds >= needed_until_seconds
        if lease_is_sufficient and not self._lease_in_doubt:
            return bucket
        lease = await self._leases.get_lease(needed_until_seconds)
        return attrs.evolve(
            bucket,
            lease_id=lease.lease_id,
            lease_ends_at_seconds=lease.ends_at_seconds,
        )

    def _apply_stored(
        self, stored: StoredValue | None, batch: Sequence[PendingChange]
    ) -> CachedBucket:
        mod_revision = 0 if stored is None else stored.mod_revision
        if mod_revision < self._last_revision:
            self._handle_regression()
        bucket = Bucket() if stored is None else parse_bucket(stored.value)
        cached = self._cache_bucket(mod_revision, bucket)
        for pending in batch:
            claim = bucket.claims.get(pending.change.key)
            pending.seen_unclaimed = (
                claim is None
                or claim.state is ClaimState.RELEASED
                or claim.nonce == pending.change.nonce
            )
        return cached

    def _cache_bucket(self, mod_revision: int, bucket: Bucket) -> CachedBucket:
        self._cached = CachedBucket(mod_revision=mod_revision, bucket=bucket)
        self._cached_at_seconds = self._clock.monotonic_seconds()
        self._last_revision = mod_revision
        return self._cached

    def _drop_expired(self) -> None:
        now_seconds = self._clock.wall_seconds()
        for pending in tuple(self.pending):
            if bucket_expires_at_seconds(pending.key) < now_seconds:
                pending.settle_undecided("key_expired")
                self.pending.remove(pending)

    def _settle_batch(
        self, batch: Sequence[PendingChange], decisions: Sequence[ClaimDecision]
    ) -> None:
        for pending, decision in zip(batch, decisions, strict=True):
            pending.settle(decision)
        self._remove(batch)

    def _remove(self, batch: Sequence[PendingChange]) -> None:
        self.pending = [item for item in self.pending if item not in batch]

    def _settle_distrusted_claims(self, batch: Sequence[PendingChange]) -> None:
        before_seconds = self._view.distrusted_before_seconds
        for pending in batch:
            distrusted = pending.key.created_at_seconds < before_seconds
            if pending.is_claim and distrusted and pending in self.pending:
                pending.seen_unclaimed = False
                self._settle_undecided(pending, "store_regressed")

    def _settle_undecided(self, pending: PendingChange, reason: str) -> None:
        pending.settle_undecided(reason)
        self.pending.remove(pending)
        if pending.in_doubt:
            self.pending.append(pending.make_release())

    def _handle_regression(self) -> None:
        self._cached = None
        trusted_from_seconds = (
            self._clock.wall_seconds() + MAX_AHEAD_SECONDS + CLOCK_SKEW_SECONDS
        )
        self._view.record_regression(trusted_from_seconds=trusted_from_seconds)
        self._log("claims_store_regressed", bucket=self._bucket_key)

    def _handle_unreadable(self, error: UnreadableBucket) -> None:
        self._cached = None
        self._log("claims_bucket_unreadable", bucket=self._bucket_key, error=str(error))
        for pending in self.pending:
            pending.seen_unclaimed = False
            pending.settle_undecided("bucket_unreadable")
        self.pending = []

    async def _handle_store_failure(self) -> None:
        self._leases.discard()
        wait_seconds = self._view.record_failure()
        if self._view.is_unreachable:
            for pending in [item for item in self.pending if item.is_claim]:
                self._settle_undecided(pending, "store_unavailable")
        self._drop_expired()
        await anyio.sleep(wait_seconds)
