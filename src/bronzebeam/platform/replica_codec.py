"""Decodes the records that replicas write to the store."""

from typing import Any, Final

import orjson

from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.platform.configuration import MalformedRecord

READY: Final = "ready"
DRAINING: Final = "draining"


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
    except ValueError as error:
        raise MalformedRecord(f"the record is not valid JSON: {error}") from error
    if not isinstance(item, dict):
        raise MalformedRecord("the record is not a JSON object")
    state = item.get("state")
    if state not in (READY, DRAINING):
        raise MalformedRecord(f"unknown state {state!r}")
    host, _, port = _text_field(item, "address").rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise MalformedRecord("address is not an IP address with a port")
    slots = item.get("slots")
    if not isinstance(slots, int) or isinstance(slots, bool) or slots < 1:
        raise MalformedRecord("slots is not a positive integer")
    cold_ms = item.get("coldRemainingMs", 0)
    if not isinstance(cold_ms, (int, float)) or isinstance(cold_ms, bool):
        raise MalformedRecord("coldRemainingMs is not a number")
    return ReplicaRecord(
        replica=replica,
        service=_text_field(item, "service"),
        host=host,
        port=int(port),
        failure_domain=_text_field(item, "zone"),
        slots=slots,
        leaving=state == DRAINING,
        cold_ms=max(0.0, float(cold_ms)),
        started_at_ms=_count_field(item, "born"),
        sequence=_count_field(item, "sequence"),
        is_first=is_first,
    )


def _count_field(item: dict[str, Any], name: str) -> int:
    """Return a whole number of at least 0; 0 if the field is missing or malformed."""
    value = item.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        return 0
    return max(0, value)


def _text_field(item: dict[str, Any], name: str) -> str:
    value = item.get(name)
    if not isinstance(value, str) or not value:
        raise MalformedRecord(f"{name} is not a non-empty string")
    return value
