"""Merge of the greatest records of several shards, for the answer of a fan-out."""

from collections.abc import Iterable
from typing import Final

RECORD_BYTES: Final = 16
CHUNK_BYTES: Final = 4_096 * RECORD_BYTES  # of a large part, merged at a time


def merge_greatest(parts: Iterable[bytes], *, count: int) -> bytes:
    """
    Return the greatest `count` records of all parts, greatest first.

    Records are compared byte by byte, and duplicates are kept. A truncated record at
    the end of a part is ignored.

    :param parts: reply bodies, each a sequence of records in any order.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:count])


def reduce_part(part: bytes, *, count: int) -> bytes:
    """
    Return what is needed of one part for the greatest `count` records of all parts.

    A part up to `CHUNK_BYTES` is returned as it is. Of a larger one the greatest
    records are, so that it can be dropped before the other parts have come.
    """
    if len(part) <= CHUNK_BYTES:
        return part
    greatest = b""
    for start in range(0, len(part), CHUNK_BYTES):
        chunk = part[start : start + CHUNK_BYTES]
        greatest = merge_greatest((greatest, chunk), count=count)
    return greatest
