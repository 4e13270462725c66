"""Reports of suspect requests in the store."""

import orjson

from bronzebeam.gateway.records import SuspectRecord
from bronzebeam.platform.configuration import MalformedRecord
from bronzebeam.platform.constants import SUSPECT_PREFIX

SEPARATOR = "/"


def suspect_key(record: SuspectRecord) -> str:
    """Return the key of a report; each instance has its own."""
    return f"{SUSPECT_PREFIX}{record.suspect}{SEPARATOR}{record.instance}"


def encode_suspect(record: SuspectRecord) -> bytes:
    """Encode a report."""
    return orjson.dumps({"losses": record.losses})


def decode_suspect(name: str, value: bytes) -> SuspectRecord:
    """
    Decode a report.

    :param name: key of the report without its prefix.
    :raises MalformedRecord: if it can't be read.
    """
    suspect, _, instance = name.partition(SEPARATOR)
    try:
        losses = int(orjson.loads(value)["losses"])
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedRecord(f"suspect: {error!r}") from error
    if not suspect or not instance or losses < 0:
        raise MalformedRecord("suspect: a part is missing")
    return SuspectRecord(suspect=suspect, instance=instance, losses=losses)
