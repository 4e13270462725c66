"""Keeps the state of the fleet as the platform's store has it."""

import asyncio
import math
import random
from collections.abc import Sequence
from typing import Final

from attrs import define, field

from bronzebeam.gateway.backoff import Backoff
from bronzebeam.gateway.change_feed import ChangeFeed, FeedLost
from bronzebeam.gateway.change_log import ChangeLog
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.records import (
    Change,
    GatewayStore,
    HistoryLost,
    InstanceRecord,
    StoreUnavailable,
)
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND

WATCH_WAIT_SECONDS: Final = 20.0  # a watch that waits is one call
PROVING_WAIT_SECONDS: Final = 1.0  # after a failure, until a watch has been answered
CHECK_SECONDS: Final = 2.0  # a watch that was lost in silence is found in time
HEARD_SECONDS: Final = 3.0  # longer than between two checks of a watch
CHECK_SLACK_SECONDS: Final = 0.4  # a change that is on its way arrives within
COALESCE_SECONDS: Final = 1.0  # changes come in bursts; bounds on them are seconds
BACKLOG_MIN: Final = 100  # an answer with so many changes may be cut short
LEASE_SECONDS: Final = 15.0  # an instance that died counts in shares for this long
RENEW_SHARE: Final = 0.3  # several renewals may fail before the lease ends


@define(kw_only=True, eq=False, repr=False)
class StoreWatch:
    """
    Reads the store once and then follows its changes.

    While the store can't be reached, what was last known stays in force.

    :ivar changes: what was taken in, for peers that follow this instance.
    :ivar feed: peer that tells of changes in place of the store, if there is one.
    :ivar connected: the last call was answered.
    """

    store: GatewayStore
    state: FleetState
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    rng: random.Random
    changes: ChangeLog
    feed: ChangeFeed
    connected: bool = False
    _backoff: Backoff = field(init=False)
    _proven: bool = False
    _lost_at_seconds: float | None = None
    _heard_at_seconds: float = -math.inf

    def __attrs_post_init__(self) -> None:
        self._backoff = Backoff(rng=self.rng)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    revision = await self._read()
                elif self.feed.available():
                    revision, changes = await self.feed.watch(revision)
                    self._take(revision, changes)
                else:
                    revision, changes = await self._watch(revision)
                    self._proven = True
                    self._note_answered(revision)
                    self._take(revision, changes)
                    if 0 < len(changes) < BACKLOG_MIN:
                        await asyncio.sleep(COALESCE_SECONDS)
            except HistoryLost as error:
                self.log.event("store_history_lost", cause=str(error))
                revision = None
            except FeedLost:
                self._proven = False
            except StoreUnavailable as error:
                self._proven = False
                self._note_lost(error)
                await asyncio.sleep(self._backoff.next_seconds())

    @property
    def following(self) -> bool:
        """Whether this instance follows the store itself and heard from it lately."""
        age_seconds = self.loop.time() - self._heard_at_seconds
        return self.connected and age_seconds < HEARD_SECONDS

    async def _read(self) -> int:
        contents = await self.store.read()
        self._note_answered(contents.revision)
        self.state.replace(contents)
        self.changes.restart(contents.revision)
        return contents.revision

    def _take(self, revision: int, changes: Sequence[Change]) -> None:
        if changes:
            self.state.apply(changes)
        self.changes.append(revision, changes)

    async def _watch(self, revision: int) -> tuple[int, list[Change]]:
        """Watch, and make sure meanwhile that the watch has not been forgotten."""
        wait_seconds = WATCH_WAIT_SECONDS if self._proven else PROVING_WAIT_SECONDS
        watch = self.loop.create_task(
            self.store.watch(after=revision, wait_seconds=wait_seconds)
        )
        try:
            while not (await asyncio.wait({watch}, timeout=CHECK_SECONDS))[0]:
                if not self._proven:
                    continue
                latest = await self.store.latest_revision()
                self._heard_at_seconds = self.loop.time()
                if latest <= revision:
                    continue
                done, _ = await asyncio.wait({watch}, timeout=CHECK_SLACK_SECONDS)
                if not done:
                    raise StoreUnavailable("the watch does not tell of newer changes")
            return watch.result()
        finally:
            watch.cancel()

    def _note_answered(self, revision: int) -> None:
        self._backoff.reset()
        self._heard_at_seconds = self.loop.time()
        if self.connected:
            return
        self.connected = True
        lost_at = self._lost_at_seconds
        if lost_at is not None:
            self.state.replicas.store_recovered_at_seconds = self.loop.time()
        self.log.event(
            "store_connected",
            revision=revision,
            away_ms=(
                None
                if lost_at is None
                else round(MS_PER_SECOND * (self.loop.time() - lost_at))
            ),
        )

    def _note_lost(self, error: StoreUnavailable) -> None:
        if self.connected or self._lost_at_seconds is None:
            self._lost_at_seconds = self.loop.time()
            self.log.event("store_lost", cause=str(error))
        self.connected = False


@define(kw_only=True, eq=False, repr=False)
class Registration:
    """Keeps this instance registered, so that others count it."""

    store: GatewayStore
    record: InstanceRecord
    log: DecisionLog
    rng: random.Random
    lease_min_seconds: float
    _backoff: Backoff = field(init=False)
    _lease: str | None = None

    def __attrs_post_init__(self) -> None:
        self._backoff = Backoff(rng=self.rng)

    async def end(self) -> None:
        """End the registration, so that peers hand nothing more to this instance."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await self.store.release(lease=lease)
        except StoreUnavailable as error:
            self.log.event("registration_not_ended", lease=lease, cause=str(error))

    async def run(self) -> None:
        """Keep the registration until cancelled."""
        ttl_seconds = max(LEASE_SECONDS, self.lease_min_seconds)
        while True:
            lease = self._lease
            try:
                if lease is None:
                    self._lease = lease = await self.store.register(
                        record=self.record, ttl_seconds=ttl_seconds
                    )
                    self.log.event("instance_registered", lease=lease)
                elif not await self.store.renew(lease=lease):
                    self.log.event("lease_ended", lease=lease)
                    self._lease = None
                    continue
                self._backoff.reset()
                await asyncio.sleep(ttl_seconds * RENEW_SHARE)
            except StoreUnavailable as error:
                self.log.event("registration_delayed", cause=str(error))
                await asyncio.sleep(self._backoff.next_seconds())
