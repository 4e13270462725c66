"""Encodes and decodes the records that instances write to the store."""

import orjson

from bronzebeam.gateway.records import InstanceRecord
from bronzebeam.platform.configuration import MalformedRecord


def encode_instance(record: InstanceRecord) -> bytes:
    """Encode the record of an instance."""
    return orjson.dumps(
        {
            "failure_domain": record.failure_domain,
            "host": record.host,
            "port": record.port,
            "processor_cores": record.processor_cores,
            "reaches_replicas": record.reaches_replicas,
        }
    )


def decode_instance(instance: str, value: bytes) -> InstanceRecord:
    """
    Decode the record of an instance.

    :raises MalformedRecord: if it can't be decoded.
    """
    try:
        item = orjson.loads(value)
        return InstanceRecord(
            instance=instance,
            failure_domain=str(item["failure_domain"]),
            host=str(item["host"]),
            port=int(item["port"]),
            processor_cores=max(0.1, float(item["processor_cores"])),
            reaches_replicas=bool(item.get("reaches_replicas", True)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedRecord(f"instance: {error!r}") from error
