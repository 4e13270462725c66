"""Watching of one key of the configuration store."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import anyio

from bronzebeam.clock import Clock
from bronzebeam.routing.dissemination import jittered
from bronzebeam.transport.store import Store, StoredValue, StoreUnavailable

WATCH_WAIT_SECONDS: Final = 3.0
WATCH_GRACE_SECONDS: Final = 1.0
GET_TIMEOUT_SECONDS: Final = 1.0
SHORTEST_BACKOFF_SECONDS: Final = 0.25
LONGEST_BACKOFF_SECONDS: Final = 4.0
BACKOFF_JITTER_SHARE: Final = 0.5
IDLE_CHECK_SECONDS: Final = 0.25

Deliver = Callable[[StoredValue | None], None]


class StoreWatch:
    """
    Reads a key and waits for changes of it, while it is wanted.

    Each wait is bounded here too, and after each wait without news the key is read,
    so that a watch gone silent is found within `WATCH_WAIT_SECONDS` and
    `WATCH_GRACE_SECONDS`. A read also finds a store that came back older.

    :param wanted: whether this entry is to watch now.
    :param deliver: takes each value read; None if the key is absent.
    :param stopped: called when this entry ends to watch.
    :ivar failing: whether the last call failed.
    :ivar calls: calls made to the store.
    :ivar last_answer_seconds: monotonic time of the last answer; None before it.
    """

    def __init__(
        self,
        *,
        store: Store,
        key: str,
        wanted: Callable[[], bool],
        deliver: Deliver,
        stopped: Callable[[], None],
        clock: Clock,
        rng: Random,
        log: Callable[..., None],
    ) -> None:
        self._store = store
        self._key = key
        self._wanted = wanted
        self._deliver = deliver
        self._stopped = stopped
        self._watching = False
        self._clock = clock
        self._rng = rng
        self._log = log
        self._failures = 0
        self._after: int | None = None
        self.failing = False
        self.calls = 0
        self.last_answer_seconds: float | None = None

    async def run(self) -> None:
        """Watch while wanted, until cancelled."""
        while True:
            if not self._wanted():
                self._stop()
                await anyio.sleep(IDLE_CHECK_SECONDS)
                continue
            self._watching = True
            try:
                await self._step()
            except (StoreUnavailable, TimeoutError) as error:
                await self._back_off(error)

    def _stop(self) -> None:
        if self._watching:
            self._stopped()
        self._watching = False
        self.failing = False
        self._after = None

    async def _step(self) -> None:
        """Read the key, or wait for a change above the modification revision read."""
        if self._after is None:
            stored = await self._bounded(self._get, GET_TIMEOUT_SECONDS)
            self._after = 0 if stored is None else stored.mod_revision
            self._deliver(stored)
            return
        bound = WATCH_WAIT_SECONDS + WATCH_GRACE_SECONDS
        stored = await self._bounded(self._wait, bound)
        if stored is None:
            self._after = None
            return
        self._after = stored.mod_revision
        self._deliver(stored)

    async def _bounded(
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
            key=self._key, after=self._after or 0, wait_seconds=WATCH_WAIT_SECONDS
        )

    async def _back_off(self, error: Exception) -> None:
        if not self.failing:
            self._log("store_unavailable", key=self._key, error=repr(error))
        self.failing = True
        self._after = None
        pause = SHORTEST_BACKOFF_SECONDS * 2 ** min(self._failures, 10)
        self._failures += 1
        pause = min(LONGEST_BACKOFF_SECONDS, pause)
        await anyio.sleep(jittered(pause, self._rng, BACKOFF_JITTER_SHARE))
