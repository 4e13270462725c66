"""Watch of one key of the configuration store."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import anyio

from bronzebeam.clock import Clock
from bronzebeam.routing.dissemination import jittered
from bronzebeam.transport.store import Store, StoredValue, StoreUnavailable

WATCH_TIMEOUT_SECONDS: Final = 3.0
WATCH_GRACE_SECONDS: Final = 1.0
GET_TIMEOUT_SECONDS: Final = 1.0
MIN_BACKOFF_SECONDS: Final = 0.25
MAX_BACKOFF_SECONDS: Final = 4.0
BACKOFF_JITTER_SHARE: Final = 0.5
IDLE_CHECK_INTERVAL_SECONDS: Final = 0.25

OnValue = Callable[[StoredValue | None], None]


class StoreWatch:
    """
    Reads a key and waits for its changes, while this entry should watch it.

    Each wait has a timeout on this side too, and the key is read again after each wait
    without a change. So an unresponsive watch is detected after at most
    `WATCH_TIMEOUT_SECONDS` plus `WATCH_GRACE_SECONDS`, and the read detects a store
    that was restored to an older state.

    :param should_watch: returns whether this entry should watch the key now.
    :param on_value: called with each value read; None if the key is absent.
    :param on_stop: called when this entry stops watching.
    :ivar failing: whether the last call failed.
    :ivar calls: number of calls to the store.
    :ivar last_answer_seconds: monotonic time of the last reply; None before the first.
    """

    def __init__(
        self,
        *,
        store: Store,
        key: str,
        should_watch: Callable[[], bool],
        on_value: OnValue,
        on_stop: Callable[[], None],
        clock: Clock,
        rng: Random,
        log: Callable[..., None],
    ) -> None:
        self._store = store
        self._key = key
        self._should_watch = should_watch
        self._on_value = on_value
        self._on_stop = on_stop
        self._watching = False
        self._clock = clock
        self._rng = rng
        self._log = log
        self._failures = 0
        self._seen_revision: int | None = None
        self.failing = False
        self.calls = 0
        self.last_answer_seconds: float | None = None

    async def run(self) -> None:
        """Watch the key while this entry should, until cancelled."""
        while True:
            if not self._should_watch():
                self._stop()
                await anyio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
                continue
            self._watching = True
            try:
                await self._read_or_wait()
            except (StoreUnavailable, TimeoutError) as error:
                await self._back_off(error)

    def _stop(self) -> None:
        if self._watching:
            self._on_stop()
        self._watching = False
        self.failing = False
        self._seen_revision = None

    async def _read_or_wait(self) -> None:
        """Read the key, or wait for a modification after the revision last read."""
        if self._seen_revision is None:
            stored = await self._call_with_timeout(self._get, GET_TIMEOUT_SECONDS)
            self._seen_revision = 0 if stored is None else stored.mod_revision
            self._on_value(stored)
            return
        timeout_seconds = WATCH_TIMEOUT_SECONDS + WATCH_GRACE_SECONDS
        stored = await self._call_with_timeout(self._wait, timeout_seconds)
        if stored is None:
            self._seen_revision = None
            return
        self._seen_revision = stored.mod_revision
        self._on_value(stored)

    async def _call_with_timeout(
        self, call: Callable[[], Awaitable[StoredValue | None]], seconds: float
    ) -> StoredValue | None:
        self.calls += 1
        with anyio.fail_after(seconds):
            stored = await call()
        if self.failing:
            self._log("store_answers_again", key=self._key)
        self.failing = False
        self._failures = 0
        self.last_answer_seconds = self._clock.monotonic_seconds()
        return stored

    async def _get(self) -> StoredValue | None:
        return await self._store.get(self._key)

    async def _wait(self) -> StoredValue | None:
        return await self._store.watch(
            key=self._key,
            after=self._seen_revision or 0,
            wait_seconds=WATCH_TIMEOUT_SECONDS,
        )

    async def _back_off(self, error: Exception) -> None:
        if not self.failing:
            self._log("store_unavailable", key=self._key, error=repr(error))
        self.failing = True
        self._seen_revision = None
        delay_seconds = MIN_BACKOFF_SECONDS * 2 ** min(self._failures, 10)
        self._failures += 1
        delay_seconds = min(MAX_BACKOFF_SECONDS, delay_seconds)
        await anyio.sleep(jittered(delay_seconds, self._rng, BACKOFF_JITTER_SHARE))
