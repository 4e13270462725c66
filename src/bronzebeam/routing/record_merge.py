"""Merge of the greatest records of several shards, for the answer of a fan-out."""

from collections.abc import Iterable
from typing import Final

RECORD_BYTES: Final = 16


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
