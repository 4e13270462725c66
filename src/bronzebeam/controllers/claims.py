"""Controller of the claims on callers' idempotency keys, stored in the platform."""

from collections import OrderedDict
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup
from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.controllers.claim_buckets import BucketWriter
from bronzebeam.controllers.claim_changes import (
    ClaimUndecided,
    LogEvent,
    PendingChange,
    ignore_event,
)
from bronzebeam.controllers.store_view import ClaimLeases, StoreView
from bronzebeam.routing.claims import (
    ClaimChange,
    ClaimDecision,
    RecordOutcome,
    ReleaseClaim,
    TakeClaim,
)
from bronzebeam.routing.idempotency_keys import CallerKey, bucket_key
from bronzebeam.transport.store import Store

MAX_PENDING_CLAIMS: Final = 4096
MAX_PENDING_CHANGES: Final = 8192
MAX_CACHED_WRITERS: Final = 16
FLUSH_POLL_INTERVAL_SECONDS: Final = 0.01


@frozen(kw_only=True)
class ChangeRequested:
    """Message: queue a change for the writer of its bucket."""

    pending: PendingChange


@frozen(kw_only=True)
class ClaimAbandoned:
    """Message: the claiming attempt ended without sending the request."""

    pending: PendingChange


ClaimMessage = ChangeRequested | ClaimAbandoned


class ClaimsController(Controller[ClaimMessage]):
    """
    Takes and releases claims and records outcomes; runs one task per active bucket.

    :param environment: part of the buckets' store keys.
    :param incarnation: unique identifier of this process.
    :param log: called with the event's name and fields.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        environment: str,
        incarnation: str,
        log: LogEvent = ignore_event,
    ) -> None:
        super().__init__()
        self._store = store
        self._clock = clock
        self._environment = environment
        self._incarnation = incarnation
        self._log = log
        self._view = StoreView(clock=clock)
        self._leases = ClaimLeases(store=store, clock=clock)
        self._writers: OrderedDict[str, BucketWriter] = OrderedDict()
        self._tasks: TaskGroup | None = None
        self._unhandled_message_count = 0

    @property
    def store_view(self) -> StoreView:
        """This entry's view of the store, which is shared with peers."""
        return self._view

    @property
    def retry_after_ms(self) -> int:
        """Return the time after which an undecided claim may be retried."""
        return self._view.retry_after_ms

    @property
    def pending_count(self) -> int:
        """Return the number of changes that are not yet settled."""
        return sum(len(writer.pending) for writer in self._writers.values())

    async def claim(
        self,
        *,
        key: CallerKey,
        fingerprint: str,
        nonce: str,
        deadline_at_seconds: float,
    ) -> ClaimDecision | ClaimUndecided:
        """
        Take the claim on `key` for the attempt `nonce`.

        An attempt that is cancelled here or gets any decision other than
        `ClaimGranted` must never send the request. The controller releases its claim.

        :param deadline_at_seconds: time of the event loop's clock.
        """
        change = TakeClaim(
            key=key.text,
            fingerprint=fingerprint,
            nonce=nonce,
            incarnation=self._incarnation,
        )
        pending = PendingChange(key=key, change=change)
        self.post(ChangeRequested(pending=pending))
        try:
            with anyio.CancelScope(deadline=deadline_at_seconds):
                await pending.settled.wait()
        except anyio.get_cancelled_exc_class():
            self.post(ClaimAbandoned(pending=pending))
            raise
        if pending.decision is not None:
            return pending.decision
        self.post(ClaimAbandoned(pending=pending))
        return ClaimUndecided(
            reason="store_unavailable", seen_unclaimed=pending.seen_unclaimed
        )

    async def flush(self) -> None:
        """Wait until every change is settled; use a cancel scope to limit the wait."""
        while self._unhandled_message_count or self.pending_count:
            await anyio.sleep(FLUSH_POLL_INTERVAL_SECONDS)

    def release(self, *, key: CallerKey, fingerprint: str, nonce: str) -> PendingChange:
        """Release the claim of an attempt that did not run and never will."""
        change = ReleaseClaim(
            key=key.text,
            fingerprint=fingerprint,
            nonce=nonce,
            incarnation=self._incarnation,
        )
        return self._queue_change(key, change)

    def record(
        self, *, key: CallerKey, fingerprint: str, nonce: str, outcome: dict[str, Any]
    ) -> PendingChange:
        """Record the outcome of the attempt `nonce` as JSON."""
        change = RecordOutcome(
            key=key.text,
            fingerprint=fingerprint,
            nonce=nonce,
            incarnation=self._incarnation,
            outcome=outcome,
        )
        return self._queue_change(key, change)

    def _queue_change(self, key: CallerKey, change: ClaimChange) -> PendingChange:
        pending = PendingChange(key=key, change=change)
        self.post(ChangeRequested(pending=pending))
        return pending

    async def run(self) -> None:
        """Handle messages and write buckets until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await super().run()

    def post(self, message: ClaimMessage) -> None:
        """Queue `message` for the controller."""
        self._unhandled_message_count += 1
        super().post(message)

    async def handle(self, message: ClaimMessage) -> None:
        """Pass one message to the writer of its bucket."""
        self._unhandled_message_count -= 1
        pending = message.pending
        if isinstance(message, ClaimAbandoned):
            writer = self._get_writer(pending.key)
            writer.abandon(pending)
            self._start_writer(writer)
            return
        reason = self._rejection_reason(pending)
        if reason is not None:
            pending.settle_undecided(reason)
            return
        writer = self._get_writer(pending.key)
        writer.add(pending)
        self._start_writer(writer)

    def _rejection_reason(self, pending: PendingChange) -> str | None:
        pending_count = self.pending_count
        if not pending.is_claim:
            if pending_count < MAX_PENDING_CHANGES:
                return None
            self._log("claims_change_dropped", key=pending.key.text)
            return "claims_overloaded"
        if pending_count >= MAX_PENDING_CLAIMS:
            return "claims_overloaded"
        return "store_unavailable" if self._view.is_backing_off else None

    def _get_writer(self, key: CallerKey) -> BucketWriter:
        name = bucket_key(key, environment=self._environment)
        writer = self._writers.get(name)
        if writer is None:
            writer = self._writers[name] = BucketWriter(
                bucket_key=name,
                store=self._store,
                view=self._view,
                leases=self._leases,
                clock=self._clock,
                log=self._log,
            )
        self._writers.move_to_end(name)
        return writer

    def _start_writer(self, writer: BucketWriter) -> None:
        if writer.running or not writer.pending or self._tasks is None:
            return
        writer.running = True
        self._tasks.start_soon(self._run_writer, writer)

    async def _run_writer(self, writer: BucketWriter) -> None:
        try:
            await writer.run()
        finally:
            writer.running = False
        self._drop_idle_writers()

    def _drop_idle_writers(self) -> None:
        excess = len(self._writers) - MAX_CACHED_WRITERS
        idle = [name for name, item in self._writers.items() if not item.running]
        for name in idle[: max(excess, 0)]:
            del self._writers[name]
