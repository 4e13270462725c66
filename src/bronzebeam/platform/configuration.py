"""Decodes the operator's configuration into a route table."""

import math
from collections.abc import Iterable
from typing import Any

import orjson

from bronzebeam.decoding import DECODE_ERRORS, read_name
from bronzebeam.routing.accounts import Account, digest_key
from bronzebeam.routing.routes import (
    BackendService,
    CallerLimits,
    Route,
    RouteTable,
    WeightedService,
)

IDEMPOTENT_KIND = "idempotent"
DEFAULT_TIMEOUT_MS = 10_000.0  # so that every request of a route ends
DEFAULT_ATTEMPTS = 1


class MalformedRecord(Exception):
    """A value in the store is not a valid record of the type that its key implies."""


def decode_configuration(value: bytes) -> RouteTable:
    """
    Decode the configuration.

    :raises MalformedRecord: if it can't be decoded.
    """
    try:
        document = orjson.loads(value)
        return RouteTable(
            version=int(document["version"]),
            routes=tuple(_parse_routes(document["routes"])),
            services={
                item["name"]: BackendService(
                    name=read_name(item["name"]),
                    connection_limit=int(item.get("connectionLimit") or 0),
                    cold_start_seconds=_amount(item, "coldStartS"),
                    cold_rate_per_second=_amount(item, "coldPerS"),
                )
                for item in document.get("services", ())
            },
            limits=_parse_limits(document.get("limits") or {}),
            accounts=tuple(map(_parse_account, _list(document, "tenants"))),
        )
    except DECODE_ERRORS as error:
        raise MalformedRecord(f"configuration: {error!r}") from error


def decode_version(value: bytes) -> int:
    """
    Return the version of a configuration, much faster than by decoding all of it.

    :raises MalformedRecord: if it has none.
    """
    try:
        return int(orjson.loads(value)["version"])
    except DECODE_ERRORS as error:
        raise MalformedRecord(f"configuration: {error!r}") from error


def _parse_routes(items: Iterable[Any]) -> Iterable[Route]:
    for item in items:
        split = item.get("trafficSplit")
        destinations: tuple[WeightedService, ...] = ()
        if split:
            destinations = tuple(
                WeightedService(
                    service=read_name(part["service"]), weight=float(part["weight"])
                )
                for part in split
            )
        elif item.get("service"):
            service = read_name(item["service"])
            destinations = (WeightedService(service=service, weight=1.0),)
        timeout_ms = _positive(item, "timeoutMs", DEFAULT_TIMEOUT_MS)
        yield Route(
            name=read_name(item["name"]),
            host=read_name(item["host"]),
            path_prefix=item["pathPrefix"].encode(),
            idempotent=item.get("routeKind") == IDEMPOTENT_KIND,
            timeout_ms=timeout_ms,
            target_latency_ms=_positive(item, "targetLatencyMs", timeout_ms),
            max_attempts=int(item.get("maxAttempts") or DEFAULT_ATTEMPTS),
            priority=int(item.get("priority") or 0),
            destinations=destinations,
            # Each of these services is one shard of a search index.
            shards=tuple(map(read_name, item.get("fanoutServices") or ())),
            top_records=int(item.get("topK") or 0),
            least_shard_share=float(item.get("minShardFraction") or 0.0),
            is_public=_flag(item, "public"),
            regions=_texts(item, "allowedRegions"),
        )


def _parse_account(item: dict[str, Any]) -> Account:
    name = item["name"]
    # Replicas get the name in a header.
    if not isinstance(name, str) or not name.strip() or not name.isprintable():
        raise MalformedRecord("the name of an account is not a printable text")
    priority = item.get("priority")
    return Account(
        name=name.strip(),
        key_digests=tuple(digest_key(key.encode()) for key in _texts(item, "apiKeys")),
        priority=None if priority is None else int(_amount(item, "priority")),
        rate_per_second=_amount(item, "ratePerS"),
        burst_count=_amount(item, "burst"),
        regions=_texts(item, "allowedRegions"),
    )


# These decide who may send requests and how many, so a value of another type must not
# pass for a default. The messages are logged and name no value, which may be a key.


def _list(item: dict[str, Any], name: str) -> list[Any]:
    """Return a list, or an empty one if the field is missing."""
    value = item.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise MalformedRecord(f"{name} is not a list")
    return value


def _texts(item: dict[str, Any], name: str) -> tuple[str, ...]:
    values = _list(item, name)
    if not all(isinstance(value, str) for value in values):
        raise MalformedRecord(f"{name} is not a list of texts")
    return tuple(values)


def _flag(item: dict[str, Any], name: str) -> bool:
    value = item.get(name)
    if value is not None and not isinstance(value, bool):
        raise MalformedRecord(f"{name} is neither true nor false")
    return bool(value)


def _amount(item: dict[str, Any], name: str) -> float:
    """Return a number of at least 0; 0 if the field is missing."""
    value = item.get(name)
    if value is None:
        return 0.0
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise MalformedRecord(f"{name} is not a number")
    if not math.isfinite(value):
        raise MalformedRecord(f"{name} is not finite")
    return max(0.0, float(value))


def _positive(item: dict[str, Any], name: str, default: float) -> float:
    """
    Return a number above 0, or the default.

    With any other one, no request would be served.
    """
    value = float(item.get(name) or 0.0)
    return value if 0.0 < value < math.inf else default


def _parse_limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_max_bytes=int(
            _positive(item, "maxHeaderBytes", default.header_max_bytes)
        ),
        body_max_bytes=int(_positive(item, "maxBodyBytes", default.body_max_bytes)),
        header_timeout_ms=_positive(item, "headerTimeoutMs", default.header_timeout_ms),
        idle_timeout_ms=_positive(item, "idleTimeoutMs", default.idle_timeout_ms),
    )
