"""An in-memory store with fault injection, in virtual time."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup
from attrs import define, field

from bronzebeam.transport.store import Conflict, StoredValue, StoreUnavailable, Written

BUCKET_SECONDS = 60
MIN_RETENTION_SECONDS = 24 * 3600 + 2 * 60
START_SECONDS = 1_800_000_000.0
STORE_TIMEOUT_SECONDS = 0.2
STORE_LATENCY_SECONDS = 0.004


@define(kw_only=True)
class VirtualClock:
    """Virtual time; wall time also advances while all processes are suspended."""

    suspended_seconds: float = 0.0

    def monotonic_seconds(self) -> float:
        return anyio.current_time()

    def wall_seconds(self) -> float:
        return START_SECONDS + anyio.current_time() + self.suspended_seconds


@define(kw_only=True)
class FakeStore:
    """
    An in-memory store with fault injection.

    :ivar next_fault: returns the fault of the next call: "" for none, "down" (not
        applied, no reply), "lost" (applied, no reply), "late" (no reply, applied after
        `late_write_delay_seconds`), "slow" (applied late, with a reply) or "held"
        (applied at once, with a late reply).
    :ivar before_write: awaited before each write is sent.
    """

    clock: VirtualClock
    tasks: TaskGroup
    next_fault: Callable[[], str] = lambda: ""
    before_write: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint
    late_write_delay_seconds: float = 3.0
    down: bool = False
    reads: int = 0
    writes: int = 0
    revision: int = 0
    values: dict[str, tuple[StoredValue, str | None]] = field(factory=dict)
    leases: dict[str, float] = field(factory=dict)

    async def _call(self, apply: Callable[[], Any]) -> Any:
        await anyio.sleep(STORE_LATENCY_SECONDS / 2)
        fault = "down" if self.down else self.next_fault()
        if fault == "slow":
            await anyio.sleep(STORE_TIMEOUT_SECONDS)
        if fault == "late":
            self.tasks.start_soon(self._apply_late, apply)
        if fault == "lost":
            apply()
        if fault in ("down", "lost", "late"):
            await anyio.sleep(STORE_TIMEOUT_SECONDS)
            raise StoreUnavailable(fault)
        reply = apply()
        if fault == "held":
            await anyio.sleep(STORE_TIMEOUT_SECONDS)
        await anyio.sleep(STORE_LATENCY_SECONDS / 2)
        return reply

    async def _apply_late(self, apply: Callable[[], Any]) -> None:
        await anyio.sleep(self.late_write_delay_seconds)
        apply()

    def _current(self, key: str) -> StoredValue | None:
        now_seconds = self.clock.wall_seconds()
        for name, (_, lease_id) in list(self.values.items()):
            if lease_id is not None and self.leases[lease_id] <= now_seconds:
                del self.values[name]
        return self.values[key][0] if key in self.values else None

    async def get(self, key: str) -> StoredValue | None:
        self.reads += 1
        stored: StoredValue | None = await self._call(lambda: self._current(key))
        return stored

    async def compare_and_swap(
        self, *, key: str, value: Any, expected: int, lease_id: str | None = None
    ) -> Written | Conflict:
        self.writes += 1
        await self.before_write()

        def apply() -> Written | Conflict:
            current = self._current(key)
            if (current.mod_revision if current else 0) != expected:
                return Conflict(current=current)
            if lease_id is not None and lease_id not in self.leases:
                raise StoreUnavailable("unknown lease")
            self._check_lease(key, value, lease_id)
            self.revision += 1
            stored = StoredValue(key=key, value=value, mod_revision=self.revision)
            self.values[key] = (stored, lease_id)
            return Written(mod_revision=self.revision)

        reply: Written | Conflict = await self._call(apply)
        return reply

    def _check_lease(self, key: str, value: Any, lease_id: str | None) -> None:
        if lease_id is None or value["lease_ends_at_seconds"] > self.leases[lease_id]:
            raise AssertionError(f"{key} may expire earlier than its stored lease end")
        bucket_end_seconds = (int(key.split("/")[3]) + 1) * BUCKET_SECONDS
        if value["lease_ends_at_seconds"] < bucket_end_seconds + MIN_RETENTION_SECONDS:
            raise AssertionError(f"{key} is deleted before its idempotency keys expire")

    async def grant_lease(self, *, ttl_seconds: float) -> str:
        def apply() -> str:
            lease_id = f"lease-{len(self.leases)}"
            self.leases[lease_id] = self.clock.wall_seconds() + ttl_seconds
            return lease_id

        lease_id: str = await self._call(apply)
        return lease_id

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        raise NotImplementedError

    async def keep_lease(self, *, lease_id: str) -> bool:
        raise NotImplementedError
