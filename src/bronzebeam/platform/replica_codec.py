"""Decodes the records that replicas write to the store."""

from typing import Any, Final

import orjson

from bronzebeam.decoding import (
    DECODE_ERRORS,
    read_amount,
    read_header_text,
    read_host_and_port,
    read_name,
)
from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.platform.configuration import MalformedRecord
from bronzebeam.routing.cold_limits import MAX_COLD_SECONDS
from bronzebeam.units import MS_PER_SECOND

READY: Final = "ready"
DRAINING: Final = "draining"
MAX_SLOTS: Final = 1_000_000  # no replica has as many
MAX_COLD_MS: Final = MAX_COLD_SECONDS * MS_PER_SECOND


def decode_replica(
    replica: str, value: bytes, *, is_first: bool = False
) -> ReplicaRecord:
    """
    Decode the record of a replica.

    Other programs may write to the same keys, so every field is checked.

    :param is_first: the record was not written again since it was created.
    :raises MalformedRecord: if the record does not describe a usable replica.
    """
    try:
        item = orjson.loads(value)
        state = item.get("state")
        if state not in (READY, DRAINING):
            raise MalformedRecord("unknown state")
        host, port = read_host_and_port(item["address"])
        slots = item["slots"]
        if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
            raise MalformedRecord("slots is not a positive integer")
        return ReplicaRecord(
            replica=read_header_text(replica),
            service=read_name(item["service"]),
            host=host,
            port=port,
            failure_domain=read_name(item["zone"]),
            slots=min(slots, MAX_SLOTS),
            leaving=state == DRAINING,
            cold_ms=min(read_amount(item.get("coldRemainingMs", 0)), MAX_COLD_MS),
            started_at_ms=_count_field(item, "born"),
            sequence=_count_field(item, "sequence"),
            is_first=is_first,
        )
    except DECODE_ERRORS as error:
        raise MalformedRecord(f"replica: {error!r}") from error


def _count_field(item: dict[str, Any], name: str) -> int:
    """Return a whole number of at least 0; 0 if the field is missing or malformed."""
    value = item.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        return 0
    return max(0, value)
