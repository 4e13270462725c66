"""Interface to the platform's configuration store."""

from typing import Any, Protocol

from attrs import frozen


@frozen(kw_only=True)
class StoredValue:
    """
    A value and the modification revision of its key.

    :ivar value: JSON value, of up to a megabyte when encoded.
    :ivar mod_revision: revision of the store that last wrote the key; it grows with
        each write to the store.
    """

    key: str
    value: Any
    mod_revision: int


@frozen(kw_only=True)
class Written:
    """The compare-and-swap succeeded."""

    mod_revision: int


@frozen(kw_only=True)
class Conflict:
    """The key had another revision; `current` is None if the key is absent."""

    current: StoredValue | None


class StoreUnavailable(Exception):
    """The store did not reply; a write may or may not have been applied."""


class Store(Protocol):
    """
    Calls to the store.

    Each raises `StoreUnavailable` if no reply is received within the client's
    timeout.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Read a key."""

    async def compare_and_swap(
        self, *, key: str, value: Any, expected: int, lease_id: str | None = None
    ) -> Written | Conflict:
        """
        Write a key if its modification revision is `expected`.

        :param expected: expected modification revision; 0 if the key must be absent.
        :param lease_id: lease that the key is bound to; the key is deleted when the
            lease ends.
        """

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        """Wait for a modification revision above `after`; None after `wait_seconds`."""

    async def grant_lease(self, *, ttl_seconds: float) -> str:
        """Grant a lease and return its identifier."""

    async def keep_lease(self, *, lease_id: str) -> bool:
        """Renew a lease; False if it has ended."""
