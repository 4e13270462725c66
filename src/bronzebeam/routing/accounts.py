"""Client accounts: who may send requests, and how many."""

import hashlib
from collections.abc import Iterable
from typing import Final

from attrs import field, frozen

# Long enough that two keys never share a digest; short enough for 100,000 keys.
KEY_DIGEST_BYTES: Final = 16


def digest_key(key: bytes) -> str:
    """
    Return the digest by which a key is stored, compared and passed to peers.

    Keys themselves are kept nowhere, so that no log, message or memory dump shows one.
    """
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()


@frozen(kw_only=True)
class Account:
    """
    A client account.

    :ivar key_digests: digests of its keys; see `digest_key`.
    :ivar priority: goes before the priority of a route; 0 is served first. None leaves
        it to the route.
    :ivar rate_per_second: requests a second that all instances together admit; 0 for
        no limit.
    :ivar burst_count: requests that may come at once beyond the rate.
    :ivar regions: regions that its requests may be sent to; empty for any.
    """

    name: str
    key_digests: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
    rate_per_second: float = 0.0
    burst_count: float = 0.0
    regions: tuple[str, ...] = ()

    @property
    def is_limited(self) -> bool:
        """Whether the account has a quota."""
        return self.rate_per_second > 0.0


def index_by_digest(accounts: Iterable[Account]) -> dict[str, Account]:
    """Return the accounts by the digest of each of their keys."""
    return {digest: account for account in accounts for digest in account.key_digests}
