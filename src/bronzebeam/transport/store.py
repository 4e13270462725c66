"""Interface of the platform's configuration store."""

from typing import Any, Protocol

from attrs import frozen


@frozen(kw_only=True)
class StoredValue:
    """
    A value with the store's modification revision of its key.

    :ivar value: JSON value, up to a megabyte once encoded.
    :ivar mod_revision: grows with each write of the store.
    """

    key: str
    value: Any
    mod_revision: int


@frozen(kw_only=True)
class Written:
    """The compare-and-swap took effect."""

    mod_revision: int


@frozen(kw_only=True)
class Conflict:
    """The compare-and-swap found another revision; `current` is None if absent."""

    current: StoredValue | None


class StoreUnavailable(Exception):
    """The store did not answer; a write may or may not have taken effect."""


class Store(Protocol):
    """
    The store's calls, each bounded in time.

    Each raises `StoreUnavailable` if no answer comes within the client's bound.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Read a key."""

    async def compare_and_swap(
        self, *, key: str, value: Any, expected: int, lease_id: str | None = None
    ) -> Written | Conflict:
        """
        Write a key if its modification revision is `expected`.

        :param expected: 0 if the key must be absent.
        :param lease_id: lease whose end deletes the key.
        """

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        """Wait for a modification revision above `after`; None if none came."""

    async def grant_lease(self, *, ttl_seconds: float) -> str:
        """Grant a lease and return its identifier."""

    async def keep_lease(self, *, lease_id: str) -> bool:
        """Renew a lease; False if it has ended."""
