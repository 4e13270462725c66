"""Records of the instance list as read by the entries, mergeable in any order."""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from typing import Any, Final

import orjson
from attrs import frozen

from bronzebeam.findings import Finding, FindingsError
from bronzebeam.transport.instance_list import (
    InstanceRole,
    InstanceState,
    ListedInstance,
)

SUBJECT: Final = "instances"
MAX_LISTED: Final = 4096
MAX_ABSENT: Final = 256
INITIAL_READ_AT_MS: Final = 1
MAX_READ_AT_MS: Final = 1 << 53
BUCKETS: Final = 8
WHOLE_DIGEST_BYTES: Final = 4
BUCKET_DIGEST_BYTES: Final = 1


@frozen(kw_only=True)
class InstanceRecord:
    """
    State of one instance in the instance list, as of its last change.

    :ivar read_at_ms: wall time of the read that found the change, and later than in
        the record that it replaced; `INITIAL_READ_AT_MS` if the reader had no records.
    :ivar item: the instance's item in the list; None if it is no longer listed.
    """

    read_at_ms: int
    item: ListedInstance | None

    @property
    def precedence(self) -> tuple[int, bytes]:
        """Return the key by which records are ordered; the higher of two wins."""
        return self.read_at_ms, orjson.dumps(_item_to_json(self.item))


InstanceRecords = Mapping[str, InstanceRecord]


def changed_records(
    known: InstanceRecords,
    instances: Iterable[ListedInstance],
    *,
    now_ms: int,
    unaffected: Collection[str] = (),
    known_leaving: Collection[str] = (),
) -> InstanceRecords:
    """
    Return new records for the instances whose state in the list has changed.

    Each is later than the record it replaces, even if the reader's clock is behind.

    :param unaffected: instances whose known record is newer than the read.
    :param known_leaving: instances known to be leaving; a list that still shows them
        as live is outdated and does not change that.
    """
    read = {item.instance: item for item in instances}
    changed: dict[str, InstanceRecord] = {}
    for name in {**read, **known}:
        item = read.get(name)
        record = known.get(name)
        if name in unaffected or (record is not None and record.item == item):
            continue
        live = item is not None and item.state is InstanceState.LIVE
        if live and name in known_leaving:
            continue
        previous_ms = 0 if record is None else record.read_at_ms
        read_at_ms = max(now_ms, previous_ms + 1) if known else INITIAL_READ_AT_MS
        changed[name] = InstanceRecord(read_at_ms=read_at_ms, item=item)
    return changed


def merge_instances(
    known: InstanceRecords, received: InstanceRecords
) -> tuple[InstanceRecords, InstanceRecords]:
    """
    Merge `received` into `known`; return all records, and those that were updated.

    The record of highest precedence is kept for each instance, which makes the merge
    commutative, associative and idempotent.
    """
    updates = {
        name: record
        for name, record in received.items()
        if (current := known.get(name)) is None
        or current.precedence < record.precedence
    }
    return ({**known, **updates} if updates else known), updates


def limit_instances(records: InstanceRecords) -> InstanceRecords:
    """Drop the oldest records above `MAX_LISTED` and `MAX_ABSENT`."""
    listed = [name for name, record in records.items() if record.item is not None]
    absent = [name for name, record in records.items() if record.item is None]
    if len(listed) <= MAX_LISTED and len(absent) <= MAX_ABSENT:
        return records

    def age(name: str) -> tuple[int, str]:
        return records[name].read_at_ms, name

    retained = sorted(listed, key=age)[-MAX_LISTED:]
    retained += sorted(absent, key=age)[-MAX_ABSENT:]
    return {name: records[name] for name in retained}


def digest_instances(records: InstanceRecords) -> str:
    """Return the digest of all records followed by those of the buckets, in hex."""
    lines: list[list[bytes]] = [[] for _ in range(BUCKETS)]
    for name, record in records.items():
        line = orjson.dumps([name, *record_to_json(record)])
        lines[_bucket_of(name)].append(line)
    parts = [b"\n".join(sorted(bucket)) for bucket in lines]
    whole_digest = _digest(b"\n\n".join(parts), WHOLE_DIGEST_BYTES)
    return whole_digest + "".join(_digest(part, BUCKET_DIGEST_BYTES) for part in parts)


def differing_instances(
    records: InstanceRecords, own: str, other: str
) -> InstanceRecords:
    """
    Return the records of the buckets in which two digests differ.

    :param own: digest of `records`.
    """
    if own == other:
        return {}
    if len(own) != len(other):
        return records
    size = 2 * BUCKET_DIGEST_BYTES
    start = 2 * WHOLE_DIGEST_BYTES
    differing = {
        index
        for index, place in enumerate(range(start, len(own), size))
        if own[place : place + size] != other[place : place + size]
    }
    if not differing:
        return records
    return {
        name: record
        for name, record in records.items()
        if _bucket_of(name) in differing
    }


def record_to_json(record: InstanceRecord) -> list[Any]:
    """Return the JSON form of a record."""
    return [record.read_at_ms, _item_to_json(record.item)]


def records_from_json(value: Any) -> InstanceRecords:
    """
    Parse records by instance.

    :raises FindingsError: if `value` is malformed.
    """
    if not isinstance(value, dict):
        raise _malformed("the payload is not an object")
    try:
        return {name: _record(name, item) for name, item in value.items()}
    except (TypeError, ValueError) as error:
        raise _malformed(f"a record is malformed: {error!r}") from error


def _record(name: str, value: Any) -> InstanceRecord:
    read_at_ms, fields = value
    if type(read_at_ms) is not int or not 0 < read_at_ms < MAX_READ_AT_MS:
        raise ValueError("read_at_ms is not a valid time")
    if fields is None:
        return InstanceRecord(read_at_ms=read_at_ms, item=None)
    role, service, address, peer_address, failure_domain, state = fields
    for text in (address, failure_domain):
        if not isinstance(text, str):
            raise TypeError("a field is not a string")
    for text in (service, peer_address):
        if text is not None and not isinstance(text, str):
            raise TypeError("a field is not a string")
    item = ListedInstance(
        instance=name,
        role=InstanceRole(role),
        service=service,
        address=address,
        peer_address=peer_address,
        failure_domain=failure_domain,
        state=InstanceState(state),
    )
    return InstanceRecord(read_at_ms=read_at_ms, item=item)


def _item_to_json(item: ListedInstance | None) -> list[str | None] | None:
    if item is None:
        return None
    return [
        item.role.value,
        item.service,
        item.address,
        item.peer_address,
        item.failure_domain,
        item.state.value,
    ]


def _bucket_of(name: str) -> int:
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _digest(data: bytes, size: int) -> str:
    return hashlib.blake2b(data, digest_size=size).hexdigest()


def _malformed(message: str) -> FindingsError:
    finding = Finding(place="", message=message)
    return FindingsError(subject=SUBJECT, findings=(finding,))
