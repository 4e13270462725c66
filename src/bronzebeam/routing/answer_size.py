"""Time that the answer of a fan-out takes on the network link of the instance."""

from typing import Final

from bronzebeam.routing.record_merge import RECORD_BYTES
from bronzebeam.units import BITS_PER_BYTE, MS_PER_SECOND

HEAD_BYTES: Final = 256  # status line, and headers other than the signatures
SIGNATURE_BYTES: Final = 28  # of one shard, with its separator


def transmission_ms(
    *, shard_count: int, top_records: int, link_bits_per_second: float
) -> float:
    """
    Return the time from the first to the last byte of a complete answer.

    With many shards, the signatures are most of it: those of 135 shards take more than
    two milliseconds at 13 Mbit/s.

    :param link_bits_per_second: 0 if unknown; the time then counts as 0.
    """
    if not link_bits_per_second:
        return 0.0
    byte_count = HEAD_BYTES + SIGNATURE_BYTES * shard_count + RECORD_BYTES * top_records
    return byte_count * BITS_PER_BYTE * MS_PER_SECOND / link_bits_per_second
