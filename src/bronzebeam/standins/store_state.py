"""State of the configuration store's stand-in: keys, leases and snapshots."""

from typing import Any
from uuid import uuid4

import anyio
from attrs import define, evolve, field, frozen

from bronzebeam.clock import Clock
from bronzebeam.transport.store import Conflict, StoredValue, Written


class UnknownLeaseError(Exception):
    """Raised if the lease of a write does not exist or has expired."""


@frozen(kw_only=True)
class _Entry:
    stored: StoredValue
    lease_id: str | None


@define(kw_only=True)
class _Lease:
    ttl_seconds: float
    expires_at_seconds: float


@define(kw_only=True)
class StoreState:
    """
    Keys in memory, each with the revision of its last write.

    Expired leases and their keys are removed at the start of the next call.

    :ivar clock: measures the time to live of leases.
    """

    clock: Clock
    _revision: int = 0
    _entries: dict[str, _Entry] = field(factory=dict)
    _leases: dict[str, _Lease] = field(factory=dict)
    _snapshot: tuple[int, dict[str, _Entry]] = (0, {})
    _changed: anyio.Event = field(factory=anyio.Event)

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key; None if the key is absent."""
        self._expire_leases()
        entry = self._entries.get(key)
        return entry.stored if entry else None

    def list_prefix(self, prefix: str) -> list[StoredValue]:
        """Return the values whose keys start with `prefix`, sorted by key."""
        self._expire_leases()
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._entries[key].stored for key in keys]

    def compare_and_swap(
        self, *, key: str, value: Any, expected: int, lease_id: str | None
    ) -> Written | Conflict:
        """
        Write a key if its revision is `expected`.

        :raises UnknownLeaseError: if the lease does not exist or has expired.
        """
        current = self.get(key)
        if (current.mod_revision if current else 0) != expected:
            return Conflict(current=current)
        if lease_id is not None and lease_id not in self._leases:
            raise UnknownLeaseError(lease_id)
        self._revision += 1
        stored = StoredValue(key=key, value=value, mod_revision=self._revision)
        self._entries[key] = _Entry(stored=stored, lease_id=lease_id)
        self._notify()
        return Written(mod_revision=self._revision)

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        """Wait for a revision of `key` above `after`; None on timeout."""
        with anyio.move_on_after(wait_seconds):
            while True:
                changed = self._changed
                current = self.get(key)
                if current is not None and current.mod_revision > after:
                    return current
                await changed.wait()
        return None

    def grant_lease(self, *, ttl_seconds: float) -> str:
        """Grant a lease and return its identifier."""
        lease_id = uuid4().hex
        expires_at_seconds = self.clock.monotonic_seconds() + ttl_seconds
        self._leases[lease_id] = _Lease(
            ttl_seconds=ttl_seconds, expires_at_seconds=expires_at_seconds
        )
        return lease_id

    def keep_lease(self, lease_id: str) -> bool:
        """Renew a lease; False if it has expired."""
        self._expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_at_seconds = self.clock.monotonic_seconds() + lease.ttl_seconds
        return True

    def take_snapshot(self) -> None:
        """Save the current keys and revision counter."""
        self._snapshot = (self._revision, dict(self._entries))

    def restore_snapshot(self) -> None:
        """
        Restore the saved keys and counter, as when a backup is restored.

        Revisions assigned since the snapshot will be assigned a second time.
        """
        self._revision, entries = self._snapshot
        self._entries = {
            key: evolve(entry, lease_id=None) for key, entry in entries.items()
        }
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _expire_leases(self) -> None:
        now = self.clock.monotonic_seconds()
        expired = {
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at_seconds <= now
        }
        if not expired:
            return
        self._leases = {
            lease_id: lease
            for lease_id, lease in self._leases.items()
            if lease_id not in expired
        }
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.lease_id not in expired
        }
