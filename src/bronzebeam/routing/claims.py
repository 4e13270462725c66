"""Claims on idempotency keys: the state machine of one bucket, without any I/O.

A claim is never transferred: only the attempt whose nonce it carries may send the
request. So if the claim's holder was paused, the backend server need not fence it off.
"""

from collections.abc import Sequence
from enum import Enum
from typing import Any, Final

import attrs
from attrs import field, frozen

BUCKET_FORMAT: Final = 1
BUCKET_CLAIM_LIMIT: Final = 256


class ClaimState(Enum):
    """
    State of a claim.

    `CLAIMED`: the request may have been sent. `RELEASED`: the request was not run, and
    the key may be claimed again. `DONE`: the claim carries the recorded outcome.
    """

    CLAIMED = "claimed"
    RELEASED = "not_run"
    DONE = "done"


class UnreadableBucket(Exception):
    """The stored value is not a bucket that this version understands."""


@frozen(kw_only=True)
class Claim:
    """
    The claim on one key.

    :ivar fingerprint: fingerprint of the request that claimed the key.
    :ivar nonce: unique to the claiming attempt.
    :ivar incarnation: incarnation of the entry that holds the claim.
    :ivar outcome: recorded outcome as JSON; set if and only if the state is `DONE`.
    """

    fingerprint: str
    nonce: str
    incarnation: str
    state: ClaimState = ClaimState.CLAIMED
    outcome: dict[str, Any] | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the stored form."""
        stored = attrs.asdict(self, recurse=False)
        stored["state"] = self.state.value
        return stored


@frozen(kw_only=True)
class Bucket:
    """
    The claims of one minute and slot, stored as one value.

    :ivar lease_id: lease whose expiry deletes the value; None before the first write.
    :ivar lease_ends_at_seconds: earliest wall time at which that lease can end.
    """

    lease_id: str | None = None
    lease_ends_at_seconds: float = 0.0
    claims: dict[str, Claim] = field(factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Return the stored form."""
        return {
            "format": BUCKET_FORMAT,
            "lease_id": self.lease_id,
            "lease_ends_at_seconds": self.lease_ends_at_seconds,
            "claims": {key: claim.to_json() for key, claim in self.claims.items()},
        }


@frozen(kw_only=True)
class TakeClaim:
    """Request the claim on `key` for the attempt `nonce`."""

    key: str
    fingerprint: str
    nonce: str
    incarnation: str


@frozen(kw_only=True)
class ReleaseClaim:
    """Release the claim, since the attempt `nonce` did not run and never will."""

    key: str
    fingerprint: str
    nonce: str
    incarnation: str


@frozen(kw_only=True)
class RecordOutcome:
    """Record the outcome of the attempt `nonce`."""

    key: str
    fingerprint: str
    nonce: str
    incarnation: str
    outcome: dict[str, Any]


ClaimChange = TakeClaim | ReleaseClaim | RecordOutcome


@frozen(kw_only=True)
class ClaimGranted:
    """The attempt holds the claim and may send the request once."""


@frozen(kw_only=True)
class InProgress:
    """Another attempt holds the claim and has recorded no outcome."""


@frozen(kw_only=True)
class Recorded:
    """The request ran; `outcome` is its recorded outcome as JSON."""

    outcome: dict[str, Any]


@frozen(kw_only=True)
class KeyReused:
    """The key was claimed by a request with a different payload."""


@frozen(kw_only=True)
class BucketFull:
    """The key has no claim and its bucket is full; the request is never run."""


@frozen(kw_only=True)
class ClaimFinalized:
    """A release or an outcome was stored, or no longer had to be."""


ClaimDecision = (
    ClaimGranted | InProgress | Recorded | KeyReused | BucketFull | ClaimFinalized
)


def parse_bucket(value: Any) -> Bucket:
    """
    Parse a stored bucket.

    :raises UnreadableBucket: if the value is malformed or has another format version.
    """
    try:
        if value["format"] != BUCKET_FORMAT:
            raise UnreadableBucket(f"unsupported bucket format {value['format']!r}")
        return Bucket(
            lease_id=value["lease_id"],
            lease_ends_at_seconds=value["lease_ends_at_seconds"],
            claims={key: _parse_claim(item) for key, item in value["claims"].items()},
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnreadableBucket(str(error)) from error


def _parse_claim(item: dict[str, Any]) -> Claim:
    return Claim(
        fingerprint=item["fingerprint"],
        nonce=item["nonce"],
        incarnation=item["incarnation"],
        state=ClaimState(item["state"]),
        outcome=item["outcome"],
    )


def apply_changes(
    bucket: Bucket, changes: Sequence[ClaimChange]
) -> tuple[Bucket, tuple[ClaimDecision, ...]]:
    """
    Apply `changes` in order.

    :returns: `bucket` itself if nothing changed, else a new bucket; and the decision
        on each change, which is valid only once the new bucket is stored.
    """
    claims = dict(bucket.claims)
    decisions = tuple(_apply_change(claims, change) for change in changes)
    if claims == bucket.claims:
        return bucket, decisions
    return attrs.evolve(bucket, claims=claims), decisions


def _apply_change(claims: dict[str, Claim], change: ClaimChange) -> ClaimDecision:
    if isinstance(change, TakeClaim):
        return _take_claim(claims, change)
    current = claims.get(change.key)
    if current is not None and not _is_held_by(current, change.nonce):
        return ClaimFinalized()
    # An earlier write of the attempt may still be in flight to the store. Storing the
    # final state changes the bucket's revision, which makes that write fail.
    claims[change.key] = _final_claim(change)
    return ClaimFinalized()


def _take_claim(claims: dict[str, Claim], change: TakeClaim) -> ClaimDecision:
    current = claims.get(change.key)
    if current is None and len(claims) >= BUCKET_CLAIM_LIMIT:
        return BucketFull()
    if current is not None and current.fingerprint != change.fingerprint:
        return KeyReused()
    if current is not None and current.state is ClaimState.DONE:
        return Recorded(outcome=current.outcome or {})
    if current is not None and current.state is ClaimState.CLAIMED:
        return ClaimGranted() if current.nonce == change.nonce else InProgress()
    if current is not None and current.nonce == change.nonce:
        return InProgress()
    claims[change.key] = Claim(
        fingerprint=change.fingerprint,
        nonce=change.nonce,
        incarnation=change.incarnation,
    )
    return ClaimGranted()


def _is_held_by(claim: Claim, nonce: str) -> bool:
    return claim.state is ClaimState.CLAIMED and claim.nonce == nonce


def _final_claim(change: ReleaseClaim | RecordOutcome) -> Claim:
    claim = Claim(
        fingerprint=change.fingerprint,
        nonce=change.nonce,
        incarnation=change.incarnation,
        state=ClaimState.RELEASED,
    )
    if isinstance(change, ReleaseClaim):
        return claim
    return attrs.evolve(claim, state=ClaimState.DONE, outcome=change.outcome)
