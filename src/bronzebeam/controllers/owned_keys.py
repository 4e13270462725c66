"""Single-use idempotency keys that only the minting process accepts, kept in memory.

No method awaits, so each is atomic within the event loop and needs no task. The keys
become invalid when the process ends: no other process ever accepts them.
"""

import hmac
import secrets
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Final, Protocol

from attrs import define, frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.outcomes import Outcome
from bronzebeam.routing.claims import InProgress, KeyReused, Recorded
from bronzebeam.routing.idempotency_keys import OwnedKey, format_owned_key, parse_key
from bronzebeam.routing.recorded_outcomes import encode_outcome

OWNED_KEY_LIFETIME_SECONDS: Final = 300
MAX_UNSPENT_KEYS: Final = 16384
MAX_SPENT_KEYS: Final = 4096
SPENT_KEY_RETENTION_SECONDS: Final = 3600
SECRET_BYTES: Final = 16


class OwnerRoute(Protocol):
    """Forwards requests to the entry that minted an owner-bound key."""

    async def forward(
        self, *, incarnation: str, request: CallerRequest
    ) -> Outcome | None:
        """
        Send `request` once to the entry `incarnation` and return its answer.

        The owner answers with `IdempotencyFilter.apply_forwarded`. None means that no
        answer was received; the request may have run there.
        """


@frozen(kw_only=True)
class KeySpent:
    """The key is now spent; the request may be sent once."""


@frozen(kw_only=True)
class UnknownKey:
    """The owner no longer knows the key; the request may have run."""


@frozen(kw_only=True)
class VoidKey:
    """
    No request ran with the key, and none ever will.

    :ivar reason: `key_expired`, `owner_leaving` or `owner_overloaded`.
    """

    reason: str


SpendDecision = KeySpent | InProgress | Recorded | KeyReused | UnknownKey | VoidKey


@define(kw_only=True)
class _UnspentKey:
    secret: str
    expires_at_seconds: int
    fingerprint: str | None = None


@define(kw_only=True)
class _SpentKey:
    unspent: _UnspentKey
    fingerprint: str
    spent_at_seconds: float
    outcome: dict[str, Any] | None = None


def new_secret() -> str:
    """Return the random part of a key."""
    return secrets.token_hex(SECRET_BYTES)


class OwnedKeys:
    """
    Mints owner-bound keys and accepts each for one run.

    :ivar incarnation: unique identifier of this process.
    :param max_unspent_keys: limit on keys minted and not yet spent.
    :param max_spent_keys: limit on spent keys whose outcomes are stored.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        clock: Clock,
        make_secret: Callable[[], str] = new_secret,
        max_unspent_keys: int = MAX_UNSPENT_KEYS,
        max_spent_keys: int = MAX_SPENT_KEYS,
    ) -> None:
        self.incarnation = incarnation
        self._clock = clock
        self._make_secret = make_secret
        self._unspent_limit = max_unspent_keys
        self._spent_limit = max_spent_keys
        self._counter = 0
        self._closed = False
        self._unspent: OrderedDict[int, _UnspentKey] = OrderedDict()
        self._spent: OrderedDict[int, _SpentKey] = OrderedDict()

    def mint(self) -> str | None:
        """Mint a key; None while too many are unspent or after `close`."""
        self._drop_expired()
        if self._closed or len(self._unspent) >= self._unspent_limit:
            return None
        self._counter += 1
        now_seconds = int(self._clock.wall_seconds())
        unspent = _UnspentKey(
            secret=self._make_secret(),
            expires_at_seconds=now_seconds + OWNED_KEY_LIFETIME_SECONDS,
        )
        self._unspent[self._counter] = unspent
        text = format_owned_key(
            incarnation=self.incarnation,
            counter=self._counter,
            expires_at_seconds=unspent.expires_at_seconds,
            secret=unspent.secret,
        )
        if parse_key(text) is None:
            raise ValueError(f"incarnation {self.incarnation!r} does not fit a key")
        return text

    def spend(self, key: OwnedKey, *, fingerprint: str) -> SpendDecision:
        """Spend `key` on the request with `fingerprint` if it is unspent."""
        spent = self._spent.get(key.counter)
        if spent is not None:
            return self._decide_resend(spent, key, fingerprint)
        unspent = self._unspent.get(key.counter)
        if unspent is None or not _matches(unspent, key):
            return UnknownKey()
        if unspent.fingerprint not in (None, fingerprint):
            return KeyReused()
        if self._closed:
            return VoidKey(reason="owner_leaving")
        if unspent.expires_at_seconds <= self._clock.wall_seconds():
            return VoidKey(reason="key_expired")
        if not self._evict_outcomes():
            return VoidKey(reason="owner_overloaded")
        del self._unspent[key.counter]
        self._spent[key.counter] = _SpentKey(
            unspent=unspent,
            fingerprint=fingerprint,
            spent_at_seconds=self._clock.monotonic_seconds(),
        )
        return KeySpent()

    def record_outcome(self, key: OwnedKey, outcome: Outcome) -> None:
        """Store the outcome of a spent key for resends."""
        spent = self._spent.get(key.counter)
        if spent is not None:
            spent.outcome = encode_outcome(outcome)

    def restore(self, key: OwnedKey) -> None:
        """Make a spent key unspent again because the request did not run."""
        spent = self._spent.pop(key.counter, None)
        if spent is None:
            return
        spent.unspent.fingerprint = spent.fingerprint
        self._unspent[key.counter] = spent.unspent

    def close(self) -> None:
        """Invalidate all unspent keys, as the last step before the process ends."""
        self._closed = True

    def _decide_resend(
        self, spent: _SpentKey, key: OwnedKey, fingerprint: str
    ) -> SpendDecision:
        if not _matches(spent.unspent, key):
            return UnknownKey()
        if spent.fingerprint != fingerprint:
            return KeyReused()
        if spent.outcome is None:
            return InProgress()
        return Recorded(outcome=spent.outcome)

    def _evict_outcomes(self) -> bool:
        """Evict old or excess outcomes, but never a key in progress."""
        oldest_seconds = self._clock.monotonic_seconds() - SPENT_KEY_RETENTION_SECONDS
        for counter, spent in list(self._spent.items()):
            full = len(self._spent) >= self._spent_limit
            if not full and spent.spent_at_seconds >= oldest_seconds:
                break
            if spent.outcome is not None:
                del self._spent[counter]
        return len(self._spent) < self._spent_limit

    def _drop_expired(self) -> None:
        now_seconds = self._clock.wall_seconds()
        while self._unspent:
            counter, unspent = next(iter(self._unspent.items()))
            if unspent.expires_at_seconds > now_seconds:
                return
            del self._unspent[counter]


def _matches(unspent: _UnspentKey, key: OwnedKey) -> bool:
    return hmac.compare_digest(unspent.secret, key.secret)
