"""Decodes the operator's configuration into a route table."""

from collections.abc import Iterable
from typing import Any

import orjson

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
                    name=item["name"],
                    connection_limit=int(item.get("connectionLimit") or 0),
                    cold_start_seconds=float(item.get("coldStartS") or 0.0),
                    cold_rate_per_second=float(item.get("coldPerS") or 0.0),
                )
                for item in document.get("services", ())
            },
            limits=_parse_limits(document.get("limits") or {}),
            accounts=tuple(map(_parse_account, document.get("tenants") or ())),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedRecord(f"configuration: {error!r}") from error


def _parse_routes(items: Iterable[Any]) -> Iterable[Route]:
    for item in items:
        split = item.get("trafficSplit")
        destinations: tuple[WeightedService, ...] = ()
        if split:
            destinations = tuple(
                WeightedService(service=part["service"], weight=float(part["weight"]))
                for part in split
            )
        elif item.get("service"):
            destinations = (WeightedService(service=item["service"], weight=1.0),)
        timeout_ms = float(item.get("timeoutMs") or DEFAULT_TIMEOUT_MS)
        yield Route(
            name=item["name"],
            host=item["host"],
            path_prefix=item["pathPrefix"].encode(),
            idempotent=item.get("routeKind") == IDEMPOTENT_KIND,
            timeout_ms=timeout_ms,
            target_latency_ms=float(item.get("targetLatencyMs") or timeout_ms),
            max_attempts=int(item.get("maxAttempts") or DEFAULT_ATTEMPTS),
            priority=int(item.get("priority") or 0),
            destinations=destinations,
            # Each of these services is one shard of a search index.
            shards=tuple(item.get("fanoutServices") or ()),
            top_records=int(item.get("topK") or 0),
            least_shard_share=float(item.get("minShardFraction") or 0.0),
            is_public=bool(item.get("public")),
            regions=tuple(item.get("allowedRegions") or ()),
        )


def _parse_account(item: dict[str, Any]) -> Account:
    priority = item.get("priority")
    return Account(
        name=item["name"],
        key_digests=tuple(
            digest_key(key.encode()) for key in item.get("apiKeys") or ()
        ),
        priority=None if priority is None else int(priority),
        rate_per_second=max(0.0, float(item.get("ratePerS") or 0.0)),
        burst_count=max(0.0, float(item.get("burst") or 0.0)),
        regions=tuple(item.get("allowedRegions") or ()),
    )


def _parse_limits(item: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_max_bytes=int(item.get("maxHeaderBytes") or default.header_max_bytes),
        body_max_bytes=int(item.get("maxBodyBytes") or default.body_max_bytes),
        header_timeout_ms=float(
            item.get("headerTimeoutMs") or default.header_timeout_ms
        ),
        idle_timeout_ms=float(item.get("idleTimeoutMs") or default.idle_timeout_ms),
    )
