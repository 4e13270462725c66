"""Idempotency keys: parsing, validity and the bucket that holds a key's claim.

The number of slots and the bucket naming are part of the stored format: entries
that disagree on them would look for one key's claim in two places.
"""

import hashlib
import re
from enum import Enum
from typing import Final
from uuid import UUID

from attrs import frozen

CLAIM_KEY_PREFIX: Final = "bronzebeam/claims/"
CLAIM_SLOT_COUNT: Final = 32
BUCKET_SECONDS: Final = 60
VALIDITY_WINDOW_SECONDS: Final = 24 * 3600
MAX_AHEAD_SECONDS: Final = 300
CLOCK_SKEW_SECONDS: Final = 60
OWNED_KEY_PREFIX: Final = "bbk1"

_UUID_PATTERN: Final = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_OWNED_PATTERN: Final = re.compile(
    r"bbk1\.([0-9A-Za-z_-]{1,64})\.([0-9]{1,12})\.([0-9]{1,12})\.([0-9a-f]{32})"
)


@frozen(kw_only=True)
class CallerKey:
    """
    A UUIDv7 minted by a caller.

    :ivar text: canonical lower-case form; spellings of one UUID are one key.
    :ivar created_at_seconds: creation time in seconds since the Unix epoch.
    """

    text: str
    created_at_seconds: float


@frozen(kw_only=True)
class OwnedKey:
    """
    A single-use key that only the entry that minted it may run.

    :ivar incarnation: identifier of the minting process, unique to its life.
    :ivar counter: number of the key within that life.
    :ivar expires_at_seconds: seconds since the Unix epoch.
    :ivar secret: random text that the owner compares.
    """

    text: str
    incarnation: str
    counter: int
    expires_at_seconds: int
    secret: str


class KeyValidity(Enum):
    """
    What an entry may do with a caller's key.

    `IMPOSSIBLE` is so far ahead that no entry can have taken it earlier; `AHEAD`
    may have been taken by an entry whose clock is ahead of this one.
    """

    VALID = "valid"
    EXPIRED = "expired"
    AHEAD = "ahead"
    IMPOSSIBLE = "impossible"


def parse_key(text: str) -> CallerKey | OwnedKey | None:
    """
    Parse an idempotency key; None if it has neither form.

    :param text: value of the caller's `Idempotency-Key`.
    """
    owned = _OWNED_PATTERN.fullmatch(text)
    if owned is not None:
        return OwnedKey(
            text=text,
            incarnation=owned[1],
            counter=int(owned[2]),
            expires_at_seconds=int(owned[3]),
            secret=owned[4],
        )
    lowered = text.lower()
    if _UUID_PATTERN.fullmatch(lowered) is None:
        return None
    milliseconds = UUID(lowered).int >> 80
    return CallerKey(text=lowered, created_at_seconds=milliseconds / 1000)


def format_owned_key(
    *, incarnation: str, counter: int, expires_at_seconds: int, secret: str
) -> str:
    """Build the text of an owner-bound key."""
    parts = (OWNED_KEY_PREFIX, incarnation, str(counter), str(expires_at_seconds))
    return ".".join((*parts, secret))


def describe_key(text: str | None) -> str:
    """Return an idempotency key for a log, without the secret of an owned one."""
    key = None if text is None else parse_key(text)
    if key is None:
        return "none" if text is None else "malformed"
    if isinstance(key, CallerKey):
        return key.text
    return f"{OWNED_KEY_PREFIX}.{key.incarnation}.{key.counter}"


def check_key_validity(key: CallerKey, *, now_seconds: float) -> KeyValidity:
    """
    Decide whether a caller's key may still claim.

    :param now_seconds: this entry's wall time, within `CLOCK_SKEW_SECONDS` of the
        other entries' clocks.
    """
    age_seconds = now_seconds - key.created_at_seconds
    if age_seconds > VALIDITY_WINDOW_SECONDS:
        return KeyValidity.EXPIRED
    if age_seconds >= -MAX_AHEAD_SECONDS:
        return KeyValidity.VALID
    if age_seconds >= -MAX_AHEAD_SECONDS - CLOCK_SKEW_SECONDS:
        return KeyValidity.AHEAD
    return KeyValidity.IMPOSSIBLE


def bucket_key(key: CallerKey, *, environment: str) -> str:
    """Return the store key of the bucket that holds the claim of `key`."""
    minute = int(key.created_at_seconds // BUCKET_SECONDS)
    digest = hashlib.sha256(key.text.encode()).digest()
    slot = digest[0] % CLAIM_SLOT_COUNT
    return f"{CLAIM_KEY_PREFIX}{environment}/{minute}/{slot}"


def bucket_expires_at_seconds(key: CallerKey) -> float:
    """
    Return the wall time until which the bucket of `key` must be kept.

    By then every entry refuses each key of the bucket, whatever its clock's skew.
    """
    minute = int(key.created_at_seconds // BUCKET_SECONDS)
    bucket_end_seconds = (minute + 1) * BUCKET_SECONDS
    return bucket_end_seconds + VALIDITY_WINDOW_SECONDS + 2 * CLOCK_SKEW_SECONDS
