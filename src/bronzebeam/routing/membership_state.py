"""Records of the members' states as they report them, mergeable in any order."""

import hashlib
import zlib
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Final

from attrs import evolve, frozen

MAX_MEMBERS: Final = 2048
MAX_GONE_RECORDS: Final = 512
BUCKETS: Final = 64
BUCKET_DIGEST_BYTES: Final = 4


class MemberState(Enum):
    """State of a member within one run of its process."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


_STATE_ORDER: Final = {
    MemberState.LIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.GONE: 2,
}


@frozen(kw_only=True)
class MemberRecord:
    """
    State of a member, as reported by itself or detected by another.

    :ivar incarnation: number of the process run; a later run has a higher one.
    :ivar address: where callers reach the member.
    :ivar peer_address: host and port of its peer protocol.
    :ivar ended_ms: wall time at which it became leaving or gone; 0 while it is live.
    """

    instance: str
    incarnation: int
    state: MemberState
    address: str
    peer_address: str
    failure_domain: str
    ended_ms: int = 0

    @property
    def precedence(self) -> tuple[int, int, int, str, str, str]:
        """Return the key by which records are ordered; the higher of two wins."""
        return (
            self.incarnation,
            _STATE_ORDER[self.state],
            self.ended_ms,
            self.address,
            self.peer_address,
            self.failure_domain,
        )

    def ended(self, state: MemberState, *, at_ms: int) -> "MemberRecord":
        """Return the record of the same incarnation in state leaving or gone."""
        return evolve(self, state=state, ended_ms=at_ms)


MemberRecords = Mapping[str, MemberRecord]


@frozen(kw_only=True)
class MergeResult:
    """
    Records after a merge.

    :ivar changed: records that were added or replaced, in the order of the input.
    """

    records: MemberRecords
    changed: tuple[MemberRecord, ...]


def merge_records(
    known: MemberRecords, received: Iterable[MemberRecord]
) -> MergeResult:
    """
    Merge `received` into `known`, keeping each instance's record of highest precedence.

    Since the precedence is a total order, the merge is commutative, associative and
    idempotent.
    """
    merged = dict(known)
    changed = []
    for record in received:
        current = merged.get(record.instance)
        if current is not None and current.precedence >= record.precedence:
            continue
        merged[record.instance] = record
        changed.append(record)
    if not changed:
        return MergeResult(records=known, changed=())
    return MergeResult(records=merged, changed=tuple(changed))


def limit_records(records: MemberRecords) -> MemberRecords:
    """
    Drop the oldest records above `MAX_MEMBERS` and `MAX_GONE_RECORDS`.

    The live members with the highest incarnations are kept, and of the others those
    that ended last. Leaving members are counted with the gone ones, since they may go
    without a further report. All nodes drop the same records, so their digests agree.
    """
    live = [item for item in records.values() if item.state == MemberState.LIVE]
    gone = [item for item in records.values() if item.state != MemberState.LIVE]
    if len(live) <= MAX_MEMBERS and len(gone) <= MAX_GONE_RECORDS:
        return records
    live.sort(key=lambda item: (item.incarnation, item.instance))
    gone.sort(key=lambda item: (item.ended_ms, item.instance))
    retained = live[-MAX_MEMBERS:] + gone[-MAX_GONE_RECORDS:]
    return {item.instance: item for item in retained}


def bucket_of(instance: str) -> int:
    """Return the digest bucket that the record of `instance` belongs to."""
    return zlib.crc32(instance.encode()) % BUCKETS


@frozen(kw_only=True)
class RecordsDigest:
    """
    Digest of records, by which two nodes find the records that differ.

    :ivar whole: digest of all records.
    :ivar buckets: digest of the records of each bucket.
    """

    whole: str
    buckets: tuple[str, ...]

    def differing(self, other_buckets: tuple[str, ...]) -> frozenset[int]:
        """Return the buckets whose digests differ; all if the counts don't match."""
        if len(other_buckets) != len(self.buckets):
            return frozenset(range(BUCKETS))
        pairs = zip(self.buckets, other_buckets, strict=True)
        return frozenset(index for index, (one, two) in enumerate(pairs) if one != two)


def digest_records(records: MemberRecords) -> RecordsDigest:
    """Compute the digest of `records`."""
    lines: list[list[str]] = [[] for _ in range(BUCKETS)]
    for record in records.values():
        lines[bucket_of(record.instance)].append(_version(record))
    buckets = tuple(_digest("\n".join(sorted(bucket))) for bucket in lines)
    return RecordsDigest(whole=_digest("".join(buckets)), buckets=buckets)


def _version(record: MemberRecord) -> str:
    parts = (record.instance, record.incarnation, record.state.value, record.ended_ms)
    return "\0".join(map(str, parts))


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=BUCKET_DIGEST_BYTES).hexdigest()
