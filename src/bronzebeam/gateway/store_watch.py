"""Keeps the fleet state in sync with the platform's store."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define, evolve, field

from bronzebeam.gateway.backoff import Backoff
from bronzebeam.gateway.change_codec import FeedResponse
from bronzebeam.gateway.change_feed import ChangeFeedClient, FeedUnavailable
from bronzebeam.gateway.change_log import ChangeLog
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.peer_configuration import PeerConfigurations
from bronzebeam.gateway.records import (
    Change,
    GatewayStore,
    HistoryLost,
    InstanceRecord,
    Lease,
    RecordKind,
    StoreSnapshot,
    StoreUnavailable,
    snapshot_from_changes,
)
from bronzebeam.routing.last_use import can_have_lapsed
from bronzebeam.routing.quota_members import RegistrationTimes
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND

# A watch counts as one call to the store, however long it waits.
WATCH_TIMEOUT_SECONDS: Final = 20.0
# Used after a failure, until the store has answered a watch.
UNVERIFIED_WATCH_TIMEOUT_SECONDS: Final = 1.0
# Detects in time a watch that the store has silently dropped.
WATCH_CHECK_INTERVAL_SECONDS: Final = 2.0
# Peers keep reading from an instance that is about to reach the store again.
SHORT_OUTAGE_SECONDS: Final = 1.0
MAX_SOURCE_WAIT_SECONDS: Final = 1.5  # for a source to read a restored store
MIN_CHECK_DELAY_SECONDS: Final = 0.1  # a new watch may be answered at once
MAX_RESPONSE_AGE_SECONDS: Final = 3.0  # exceeds WATCH_CHECK_INTERVAL_SECONDS
LATE_CHANGE_TIMEOUT_SECONDS: Final = 0.4  # allows for a change still in transit
# Changes come in bursts, so the next watch waits after changes, for at most this share
# of the time within which they must be active.
COALESCE_SHARE: Final = 1.0 / 3.0
MAX_COALESCE_SECONDS: Final = 2.0
# After changes of the instances, on which the sources of changes depend.
MEMBERSHIP_COALESCE_SECONDS: Final = 1.0
CATCH_UP_WAIT_SECONDS: Final = 0.001  # the changes that there are, without a wait
# Many round trips; callers wait for 150 ms for the first configuration.
CATCH_UP_TIMEOUT_SECONDS: Final = 0.1
# A source may wait for its own watch before it notices that it has lost the store.
MAX_FEED_DELAY_SECONDS: Final = 2.0
MIN_BACKLOG_CHANGES: Final = 100  # a response of this size may have been truncated
# An instance that has died keeps its share of limits until its lease expires.
LEASE_SECONDS: Final = 15.0
LEASE_RENEWAL_FRACTION: Final = 0.5  # several renewals may fail before expiry
# Each call to the store is charged for, also one that is refused.
MAX_RENEWAL_RETRY_SECONDS: Final = 2.0


@define(kw_only=True, eq=False, repr=False)
class StoreWatch:
    """
    Loads a snapshot of the store and then applies its changes.

    While the store can't be reached, the last known state stays active.

    :ivar changes: log of the applied changes, served to peers.
    :ivar feed: reads changes from a peer instead of the store, where one is available.
    :ivar peer_configurations: asks peers for a newer configuration at the start.
    :ivar change_bound_seconds: time within which changes must be active.
    :ivar connected: whether the last call to the store succeeded.
    """

    store: GatewayStore
    state: FleetState
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    rng: random.Random
    change_log: ChangeLog
    feed: ChangeFeedClient
    peer_configurations: PeerConfigurations
    change_bound_seconds: float
    connected: bool = False
    _backoff: Backoff = field(init=False)
    _era: int | None = None
    _restored_at_seconds: float | None = None
    _was_stale_read: bool = False
    _is_watch_verified: bool = False
    _disconnected_at_seconds: float | None = None
    _last_response_at_seconds: float = -math.inf
    _followed_until_seconds: float = -math.inf
    _is_uninterrupted: bool = False
    _is_from_feed: bool = False

    def __attrs_post_init__(self) -> None:
        self._backoff = Backoff(rng=self.rng)

    async def run(self) -> None:
        """Watch the store until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None or self._must_read_again():
                    revision = await self._load_snapshot()
                elif self.feed.is_available():
                    self._read_changes_from(is_feed=True)
                    sent_at = self.state.boot_seconds()
                    response = await self.feed.watch(revision, self._era)
                    revision = self._apply_feed_response(revision, response)
                    # The source may have last read the store some time before.
                    self._confirm_members(sent_at - MAX_RESPONSE_AGE_SECONDS)
                else:
                    self._read_changes_from(is_feed=False)
                    sent_at = self.state.boot_seconds()
                    revision, changes = await self._watch(revision)
                    self._is_watch_verified = True
                    self._record_response(revision)
                    self._apply_changes(revision, changes)
                    if len(changes) < MIN_BACKLOG_CHANGES:
                        self._record_followed(until_seconds=self.loop.time())
                        self._confirm_members(sent_at)
                    if 0 < len(changes) < MIN_BACKLOG_CHANGES:
                        await asyncio.sleep(self._coalesce_seconds(changes))
            except HistoryLost as error:
                self.log.event("store_history_lost", cause=str(error))
                self._is_uninterrupted = False
                revision = None
            except FeedUnavailable:
                self._is_uninterrupted = False
                self._is_watch_verified = False
            except StoreUnavailable as error:
                self._is_uninterrupted = False
                self._is_watch_verified = False
                self._record_failure(error)
                await asyncio.sleep(self._backoff.next_seconds())

    @property
    def _is_restored(self) -> bool:
        """Whether the store came back from an older copy since it was read."""
        return self.store.era.number != self._era

    def _coalesce_seconds(self, changes: Sequence[Change]) -> float:
        if any(change.kind is RecordKind.INSTANCE for change in changes):
            return MEMBERSHIP_COALESCE_SECONDS
        return self._max_coalesce_seconds

    @property
    def _max_coalesce_seconds(self) -> float:
        return min(self.change_bound_seconds * COALESCE_SHARE, MAX_COALESCE_SECONDS)

    def _read_changes_from(self, *, is_feed: bool) -> None:
        """Note whether changes come from a peer; a later source may be behind."""
        if is_feed is not self._is_from_feed:
            self._is_from_feed = is_feed
            self._is_uninterrupted = False

    def _record_followed(self, *, until_seconds: float) -> None:
        """Record that all changes made until a monotonic time have been applied."""
        self._followed_until_seconds = until_seconds
        self._is_uninterrupted = True

    @property
    def _made_after_seconds(self) -> float:
        """Return the monotonic time after which the changes were made that come now."""
        if not self._is_uninterrupted:
            return self._followed_until_seconds
        delay_seconds = max(MEMBERSHIP_COALESCE_SECONDS, self._max_coalesce_seconds)
        if self._is_from_feed:
            delay_seconds += MAX_FEED_DELAY_SECONDS
        return max(self._followed_until_seconds, self.loop.time() - delay_seconds)

    @property
    def _is_following(self) -> bool:
        """Whether calls to the store have not been failing for longer than a moment."""
        failed_at = self._disconnected_at_seconds
        if self.connected or failed_at is None:
            return self.connected
        return self.loop.time() - failed_at < SHORT_OUTAGE_SECONDS

    @property
    def is_up_to_date(self) -> bool:
        """
        Whether the store has answered this instance in the last few seconds.

        A stale read at the start, before any watch, does not count: peers would take
        what was removed since for current.
        """
        if self._followed_until_seconds == -math.inf:
            return False
        age_seconds = self.loop.time() - self._last_response_at_seconds
        return age_seconds < MAX_RESPONSE_AGE_SECONDS and self._is_following

    async def _load_snapshot(self) -> int:
        # Nothing is known at the start, so records that are some seconds old are better
        # than none. Later, they might contradict what has been acknowledged.
        is_first = self.state.table is None and not self._was_stale_read
        self._was_stale_read = True
        sent_at = self.state.boot_seconds()
        sent_at_seconds = self.loop.time()
        snapshot = await self.store.read_snapshot(may_be_stale=is_first)
        try:
            snapshot, is_current = await self._catch_up(snapshot, is_stale=is_first)
            if self.state.table is None:
                snapshot = await self.peer_configurations.confirm_accounts(
                    snapshot, store=self.store, may_be_stale=not is_current
                )
        except StoreUnavailable:
            # Nothing was applied, so the next read may be stale as well.
            self._was_stale_read = not is_first
            raise
        self._record_response(snapshot.revision)
        self._apply_snapshot(snapshot)
        if is_current:
            self._record_followed(until_seconds=sent_at_seconds)
        if not is_first:
            self._confirm_members(sent_at)
        return snapshot.revision

    async def _catch_up(
        self, snapshot: StoreSnapshot, *, is_stale: bool
    ) -> tuple[StoreSnapshot, bool]:
        """
        Apply the changes since the oldest page of a snapshot, to get a consistent one.

        Otherwise a replica that left between two pages would be used until its next
        change.

        :return: the snapshot, and whether it is current; if the store does not return
            the changes of a stale one, it is returned as it was read.
        :raises StoreUnavailable: if the pages of a current one differ, and the store
            does not return the changes.
        """
        if not is_stale and snapshot.newest_revision == snapshot.revision:
            return snapshot, True
        try:
            if not is_stale:
                return await self._with_later_changes(snapshot), True
            async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS):
                return await self._with_later_changes(snapshot), True
        except (StoreUnavailable, TimeoutError) as error:
            if not is_stale:
                raise
            cause = str(error) or "timeout"
            self.log.event("stale_read_not_confirmed", cause=cause)
            return snapshot, False

    async def _with_later_changes(self, snapshot: StoreSnapshot) -> StoreSnapshot:
        """Return a snapshot at the store's revision; raises `StoreUnavailable`."""
        revision = snapshot.revision
        changes: list[Change] = []
        is_truncated = True
        while is_truncated:
            revision, more = await self.store.watch(
                after=revision, wait_seconds=CATCH_UP_WAIT_SECONDS
            )
            changes.extend(more)
            is_truncated = len(more) >= MIN_BACKLOG_CHANGES
        if revision < snapshot.newest_revision:
            raise StoreUnavailable(
                f"no changes from {revision} to {snapshot.newest_revision}"
            )
        return snapshot.with_changes(changes, revision)

    def _must_read_again(self) -> bool:
        """
        Whether to read the store, which came back from an older copy, at once.

        A source of changes reads it too and passes all records on, so its followers
        wait for that. Otherwise the whole fleet would read the store at the same time.
        """
        if not self._is_restored:
            return False
        now_seconds = self.loop.time()
        if self._restored_at_seconds is None:
            self._restored_at_seconds = now_seconds
        waited_seconds = now_seconds - self._restored_at_seconds
        return waited_seconds > MAX_SOURCE_WAIT_SECONDS or not self.feed.is_available()

    def _apply_feed_response(self, revision: int, response: FeedResponse) -> int:
        """Apply a peer's response; return the revision to continue from."""
        known_era = self.store.era.number
        if response.era is not None and known_era is not None:
            if response.era < known_era:
                # The source has not noticed yet that the store was restored.
                return revision
        # The source may have lost the store up to this long ago.
        heard_at_seconds = self.loop.time() - MAX_RESPONSE_AGE_SECONDS
        self.state.synced_at_seconds = max(
            self.state.synced_at_seconds, heard_at_seconds
        )
        if not response.is_complete:
            changed_to = max(revision, response.revision)
            self._apply_changes(changed_to, response.changes)
            self._record_followed(until_seconds=heard_at_seconds)
            return changed_to
        if response.era is not None:
            self.store.era.observe(response.era)
        self.log.event(
            "feed_read_whole",
            revision=response.revision,
            era=response.era,
            records=len(response.changes),
        )
        self._apply_snapshot(
            snapshot_from_changes(
                response.changes, revision=response.revision, era=response.era
            )
        )
        self._record_followed(until_seconds=heard_at_seconds)
        return response.revision

    def _apply_snapshot(self, snapshot: StoreSnapshot) -> None:
        self._era = snapshot.era
        self._restored_at_seconds = None
        self.state.apply_snapshot(snapshot, made_after_seconds=self._made_after_seconds)
        self.change_log.reset(snapshot.revision, era=snapshot.era)

    def _apply_changes(self, revision: int, changes: Sequence[Change]) -> None:
        if changes:
            self.state.apply_changes(
                changes, made_after_seconds=self._made_after_seconds
            )
        self.change_log.append(revision, changes)

    def _confirm_members(self, as_of_seconds: float) -> None:
        if not self._is_restored:
            self.state.confirm_members(as_of_seconds)

    async def _watch(self, revision: int) -> tuple[int, list[Change]]:
        """Wait for changes; check regularly that the store still serves the watch."""
        wait_seconds = (
            WATCH_TIMEOUT_SECONDS
            if self._is_watch_verified
            else UNVERIFIED_WATCH_TIMEOUT_SECONDS
        )
        watch = self.loop.create_task(
            self.store.watch(after=revision, wait_seconds=wait_seconds)
        )
        restored = self.loop.create_task(self.store.era.wait_for_change(self._era))
        try:
            while not (
                await asyncio.wait(
                    {watch, restored},
                    timeout=self._seconds_until_check(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            )[0]:
                if not self._is_watch_verified:
                    continue
                sent_at = self.state.boot_seconds()
                sent_at_seconds = self.loop.time()
                latest = await self.store.latest_revision()
                self._record_contact()
                if latest <= revision:
                    self._followed_until_seconds = sent_at_seconds
                    self._confirm_members(sent_at)
                    continue
                done, _ = await asyncio.wait(
                    {watch}, timeout=LATE_CHANGE_TIMEOUT_SECONDS
                )
                if not done:
                    raise StoreUnavailable("the watch did not return newer changes")
            if self._is_restored:
                raise HistoryLost(
                    f"the store was restored; era {self.store.era.number}"
                )
            return watch.result()
        finally:
            watch.cancel()
            restored.cancel()

    def _seconds_until_check(self) -> float:
        """Return when to check the watch; pauses between watches count as well."""
        if not self._is_watch_verified:
            return WATCH_CHECK_INTERVAL_SECONDS
        age_seconds = self.loop.time() - self._last_response_at_seconds
        return max(WATCH_CHECK_INTERVAL_SECONDS - age_seconds, MIN_CHECK_DELAY_SECONDS)

    def _record_contact(self) -> None:
        self._last_response_at_seconds = self.loop.time()
        self.state.synced_at_seconds = self.loop.time()

    def _record_response(self, revision: int) -> None:
        self._backoff.reset()
        missed_seconds = self.loop.time() - self._last_response_at_seconds
        self._record_contact()
        if self.connected:
            return
        self.connected = True
        disconnected_at = self._disconnected_at_seconds
        if disconnected_at is not None and can_have_lapsed(
            missed_seconds=missed_seconds,
            timeout_seconds=self.state.registration_timeout_seconds,
        ):
            self.state.replicas.store_recovered_at_seconds = self.loop.time()
        self.log.event(
            "store_connected",
            revision=revision,
            away_ms=(
                None
                if disconnected_at is None
                else round(MS_PER_SECOND * (self.loop.time() - disconnected_at))
            ),
        )

    def _record_failure(self, error: StoreUnavailable) -> None:
        if self.connected or self._disconnected_at_seconds is None:
            self._disconnected_at_seconds = self.loop.time()
            self.log.event("store_lost", cause=str(error))
        self.connected = False


@define(kw_only=True, eq=False, repr=False)
class InstanceRegistration:
    """
    Keeps this instance registered, so that its peers count it as live.

    :ivar times: since when this instance is registered, and how fresh its lease is.
    :ivar boot_seconds: the clock of `times`.
    """

    store: GatewayStore
    record: InstanceRecord
    log: DecisionLog
    rng: random.Random
    times: RegistrationTimes
    boot_seconds: Callable[[], float]
    _backoff: Backoff = field(init=False)
    _lease: Lease | None = None
    _written: InstanceRecord | None = None
    _renew_at_seconds: float = 0.0
    _removed: asyncio.Event = field(factory=asyncio.Event)
    _changed: asyncio.Event = field(factory=asyncio.Event)
    _has_quotas: bool = False
    _checked_lease: Lease | None = None
    _settled_lease: Lease | None = None

    def __attrs_post_init__(self) -> None:
        self._backoff = Backoff(
            rng=self.rng, max_delay_seconds=MAX_RENEWAL_RETRY_SECONDS
        )

    async def deregister(self) -> None:
        """Remove the registration, so that peers delegate no more to this instance."""
        self.times.record_gap()
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self.store.release_lease(lease=lease)
        except StoreUnavailable as error:
            self.log.event(
                "registration_not_ended", lease=lease.number, cause=str(error)
            )

    def set_reaches_replicas(self, reaches_replicas: bool) -> None:
        """Tell the peers whether this instance reaches the replicas."""
        self.record = evolve(self.record, reaches_replicas=reaches_replicas)
        self._changed.set()

    def on_quotas(self) -> None:
        """
        Find out whether an earlier process of this instance was registered until now.

        Without that, a fleet whose processes were all killed would grant no tokens for
        several seconds, since each instance would wait for others to learn of it.
        """
        self._has_quotas = True
        self._changed.set()

    def on_removed(self) -> None:
        """Register again, since the store no longer has the registration."""
        self.times.record_gap()
        self._removed.set()

    async def run(self) -> None:
        """Keep the registration until cancelled."""
        ttl_seconds = self.times.lease_seconds
        renewal_seconds = ttl_seconds * LEASE_RENEWAL_FRACTION
        loop = asyncio.get_running_loop()
        while True:
            lease, record = self._lease, self.record
            self._removed.clear()
            self._changed.clear()
            try:
                sent_at = self.boot_seconds()
                if lease is None:
                    self.times.record_gap()
                    self._lease = lease = await self.store.register(
                        record=record, ttl_seconds=ttl_seconds
                    )
                    self._renew_at_seconds = loop.time() + renewal_seconds
                    self.times.record_renewal(sent_at, self.boot_seconds())
                    self.log.event("instance_registered", lease=lease.number)
                elif not await self._refresh(lease, record, renewal_seconds):
                    self.log.event("lease_ended", lease=lease.number)
                    self._lease = None
                    self.times.record_gap()
                    continue
                self._written = record
                self._backoff.reset()
                await self._check_earlier_registration(lease)
                await self._record_settled(lease)
                await self._wait_for_renewal(lease)
            except StoreUnavailable as error:
                self.log.event("registration_delayed", cause=str(error))
                await asyncio.sleep(self._backoff.next_seconds())

    async def _check_earlier_registration(self, lease: Lease) -> None:
        if not self._has_quotas or self._checked_lease is lease:
            return
        self.times.is_continued = await self.store.has_replaced_registration(
            instance=self.record.instance, lease=lease
        )
        self._checked_lease = lease

    async def _record_settled(self, lease: Lease) -> None:
        """
        Record once that all others know this instance, for a later process.

        Without that, a process that restarts can't know whether its predecessor was too
        new to be an owner, and another one therefore goes on in its place.
        """
        if self._seconds_until_settled(lease) <= 0.0:
            await self.store.record_settled(instance=self.record.instance, lease=lease)
            self._settled_lease = lease

    def _seconds_until_settled(self, lease: Lease) -> float:
        if not self._has_quotas or self._settled_lease is lease:
            return math.inf
        return self.times.owner_from_seconds() - self.boot_seconds()

    async def _refresh(
        self, lease: Lease, record: InstanceRecord, renewal_seconds: float
    ) -> bool:
        """Write the record if it has changed, else renew the lease."""
        if record != self._written:
            return await self.store.update_registration(record=record, lease=lease)
        sent_at = self.boot_seconds()
        renewed = await self.store.renew_lease(lease=lease)
        if renewed:
            self.times.record_renewal(sent_at, self.boot_seconds())
        self._renew_at_seconds = asyncio.get_running_loop().time() + renewal_seconds
        return renewed

    async def _wait_for_renewal(self, lease: Lease) -> None:
        """Wait until the lease is due for renewal or lost, or the record changes."""
        timeout_seconds = self._renew_at_seconds - asyncio.get_running_loop().time()
        waits = [
            asyncio.ensure_future(self.store.era.wait_for_change(lease.era)),
            asyncio.ensure_future(self._removed.wait()),
            asyncio.ensure_future(self._changed.wait()),
        ]
        try:
            await asyncio.wait(
                waits,
                timeout=max(
                    0.0, min(timeout_seconds, self._seconds_until_settled(lease))
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for wait in waits:
                wait.cancel()
