"""The members' own word on their state, as a value that merges in any order."""

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
    """State of a member within one process life."""

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
    What a member said of itself, or what was found of it.

    :ivar incarnation: number of the process life; a later life has a higher one.
    :ivar address: where callers reach the member.
    :ivar peer_address: host and port of its peer protocol.
    :ivar ended_ms: wall time at which it was said to be leaving or gone; 0 while live.
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
        """Return the total order by which the later of two records wins."""
        return (
            self.incarnation,
            _STATE_ORDER[self.state],
            self.ended_ms,
            self.address,
            self.peer_address,
            self.failure_domain,
        )

    def ended(self, state: MemberState, *, at_ms: int) -> "MemberRecord":
        """Return the record of the same life as leaving or gone."""
        return evolve(self, state=state, ended_ms=at_ms)


MemberRecords = Mapping[str, MemberRecord]


@frozen(kw_only=True)
class MergeResult:
    """
    Records after a merge.

    :ivar changed: records that were news, in the order of the input.
    """

    records: MemberRecords
    changed: tuple[MemberRecord, ...]


def merge_records(
    known: MemberRecords, received: Iterable[MemberRecord]
) -> MergeResult:
    """
    Merge `arrived` into `known`: of each instance the record of highest precedence.

    The maximum of a total order makes the merge commutative, associative and
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
    Drop the records above `MOST_MEMBERS` and `MOST_GONE_RECORDS`.

    Of live members the latest lives are kept, of the others the latest ends. Leaving
    members count with the gone ones, since they come to be gone unsaid. All nodes drop
    the same ones from the same records, so their digests agree.
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
    """Return the bucket that the record of `instance` is compared in."""
    return zlib.crc32(instance.encode()) % BUCKETS


@frozen(kw_only=True)
class RecordsDigest:
    """
    Digest of records, to find what two nodes have in different versions.

    :ivar whole: digest of all records.
    :ivar buckets: digest of the records of each bucket.
    """

    whole: str
    buckets: tuple[str, ...]

    def differing(self, other_buckets: tuple[str, ...]) -> frozenset[int]:
        """Return the buckets whose digests differ; all if they can't be compared."""
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
