"""Encodes and decodes the reports of suspect requests in the store."""

import orjson

from bronzebeam.decoding import DECODE_ERRORS
from bronzebeam.gateway.records import SuspectRecord
from bronzebeam.platform.configuration import MalformedRecord
from bronzebeam.platform.constants import SUSPECT_PREFIX

SEPARATOR = "/"
MAX_REPORTED_LOSSES = 1_000_000  # more than there are replicas; fits the change feed


def suspect_key(record: SuspectRecord) -> str:
    """Return the key of a report; each instance writes to its own key."""
    return f"{SUSPECT_PREFIX}{record.suspect}{SEPARATOR}{record.instance}"


def encode_suspect(record: SuspectRecord) -> bytes:
    """Encode a report."""
    return orjson.dumps({"losses": record.losses})


def decode_suspect(name: str, value: bytes) -> SuspectRecord:
    """
    Decode a report.

    :param name: key of the report without its prefix.
    :raises MalformedRecord: if it can't be decoded.
    """
    suspect, _, instance = name.partition(SEPARATOR)
    try:
        losses = int(orjson.loads(value)["losses"])
    except DECODE_ERRORS as error:
        raise MalformedRecord(f"suspect: {error!r}") from error
    if not suspect or not instance or not 0 <= losses <= MAX_REPORTED_LOSSES:
        raise MalformedRecord(
            "suspect: no fingerprint or instance in the key, or losses not between 0 "
            f"and {MAX_REPORTED_LOSSES}"
        )
    return SuspectRecord(suspect=suspect, instance=instance, losses=losses)
