"""Encoding of the load of replicas, which peers pass back with a delegation's reply."""

from collections.abc import Sequence
from typing import Any, Final

import orjson
from attrs import frozen

from bronzebeam.decoding import DECODE_ERRORS
from bronzebeam.gateway.peer_codec import MalformedDelegation
from bronzebeam.routing.reported_load import (
    MAX_AGE_SECONDS,
    USUAL_PACE_PERCENT,
    LoadReading,
    make_reading,
)
from bronzebeam.units import MS_PER_SECOND

# In replies to delegations: the load that the replicas which were asked have stated.
# Earlier builds ignore it.
LOAD_HEADER: Final = b"bb-load"
# About 2 KB. Few delegations have more shards, and traffic between domains is charged.
MAX_READINGS: Final = 64


@frozen(kw_only=True)
class ReplicaReading:
    """
    The load that a replica has stated to an instance.

    :ivar started_at_ms: see `ReplicaRecord`; tells it from a later process under the
        same identifier.
    """

    replica: str
    started_at_ms: int
    reading: LoadReading


def encode_readings(readings: Sequence[ReplicaReading], *, now_seconds: float) -> bytes:
    """
    Encode readings with their age as the value of `LOAD_HEADER`.

    Those that the peer would ignore are left out, and of too many the oldest.

    :return: empty if none is left.
    """
    valid = [item for item in readings if item.reading.is_valid(now_seconds)]
    if len(valid) > MAX_READINGS:
        valid.sort(key=lambda item: item.reading.at_seconds, reverse=True)
        del valid[MAX_READINGS:]
    if not valid:
        return b""
    return orjson.dumps(
        [
            (
                item.replica,
                item.started_at_ms,
                round((now_seconds - item.reading.at_seconds) * MS_PER_SECOND),
                item.reading.running,
                item.reading.waiting,
                item.reading.slots,
                round(item.reading.pace * USUAL_PACE_PERCENT),
            )
            for item in valid
        ]
    )


def decode_readings(value: bytes, *, now_seconds: float) -> list[ReplicaReading]:
    """
    Decode the value of `LOAD_HEADER`.

    :return: the readings that are recent enough to be used.
    :raises MalformedDelegation: if it can't be decoded.
    """
    try:
        readings = [_read(item, now_seconds) for item in orjson.loads(value)]
    except DECODE_ERRORS as error:
        raise MalformedDelegation(str(error)) from error
    return [item for item in readings[:MAX_READINGS] if item is not None]


def _read(item: Sequence[Any], now_seconds: float) -> ReplicaReading | None:
    replica, started_at_ms, age_ms, running, waiting, slots, percent = item
    numbers = (started_at_ms, age_ms, running, waiting, slots, percent)
    if not isinstance(replica, str) or not all(
        isinstance(number, (int, float)) for number in numbers
    ):
        raise ValueError("not a reading")
    age_seconds = float(age_ms) / MS_PER_SECOND
    if not 0.0 <= age_seconds < MAX_AGE_SECONDS:
        return None
    reading = make_reading(
        int(running),
        int(waiting),
        int(slots),
        float(percent),
        now_seconds - age_seconds,
    )
    if reading is None:
        return None
    return ReplicaReading(
        replica=replica, started_at_ms=int(started_at_ms), reading=reading
    )
