"""Encodes and decodes the records that instances write to the store."""

from typing import Final

import orjson

from bronzebeam.decoding import (
    DECODE_ERRORS,
    read_amount,
    read_host,
    read_name,
    read_port,
)
from bronzebeam.gateway.records import InstanceRecord
from bronzebeam.platform.configuration import MalformedRecord

MIN_CORES: Final = 0.1  # greater than 0, since work is divided by it


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
            instance=read_name(instance),
            failure_domain=read_name(item["failure_domain"]),
            host=read_host(item["host"]) if item["host"] else "",
            port=read_port(item["port"]) if item["host"] else 0,
            processor_cores=max(MIN_CORES, read_amount(item["processor_cores"])),
            reaches_replicas=bool(item.get("reaches_replicas", True)),
        )
    except DECODE_ERRORS as error:
        raise MalformedRecord(f"instance: {error!r}") from error
