"""Changes of the store's records, as one instance tells them to another."""

from collections.abc import Iterable
from typing import Any, Final

import orjson
from attrs import asdict, frozen

from bronzebeam.gateway.records import (
    Change,
    InstanceRecord,
    RecordKind,
    RecordValue,
    ReplicaRecord,
    SuspectRecord,
)
from bronzebeam.routing.routes import (
    BackendService,
    CallerLimits,
    Route,
    RouteTable,
    WeightedService,
)

RECORD_TYPES: Final = {
    RecordKind.REPLICA: ReplicaRecord,
    RecordKind.INSTANCE: InstanceRecord,
    RecordKind.SUSPECT: SuspectRecord,
}


class MalformedFeedResponse(Exception):
    """A peer's changes can't be read."""


@frozen(kw_only=True)
class FeedResponse:
    """
    What a peer tells of the store.

    :ivar revision: revision of the store up to which the changes are complete.
    :ivar following: the peer follows the store itself, and has heard from it lately.
    """

    revision: int
    following: bool
    changes: tuple[Change, ...] = ()


def encode_changes(changes: Iterable[Change]) -> bytes:
    """Encode changes as the list of an answer."""
    return orjson.dumps([_encode_change(change) for change in changes])


def encode_feed_response(*, revision: int, following: bool, changes: bytes) -> bytes:
    """
    Encode an answer.

    :param changes: what `encode_changes` has returned.
    """
    return b'{"revision":%d,"following":%s,"changes":%s}' % (
        revision,
        b"true" if following else b"false",
        changes,
    )


def decode_feed_response(data: bytes) -> FeedResponse:
    """
    Decode an answer.

    :raises MalformedChanges: if it can't be read.
    """
    try:
        answer = orjson.loads(data)
        return FeedResponse(
            revision=int(answer["revision"]),
            following=bool(answer["following"]),
            changes=tuple(_decode_change(item) for item in answer["changes"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedFeedResponse(repr(error)) from error


def _encode_change(change: Change) -> dict[str, Any]:
    value = change.value
    item: dict[str, Any] = {"kind": change.kind.value, "name": change.name}
    if isinstance(value, RouteTable):
        item["value"] = {
            "version": value.version,
            "routes": [
                asdict(route) | {"path_prefix": route.path_prefix.decode("latin-1")}
                for route in value.routes
            ],
            "services": [asdict(service) for service in value.services.values()],
            "limits": asdict(value.limits),
        }
    elif value is not None:
        item["value"] = asdict(value)
    return item


def _decode_change(item: dict[str, Any]) -> Change:
    kind = RecordKind(item["kind"])
    fields = item.get("value")
    value: RecordValue | None = None
    if fields is not None and kind is RecordKind.CONFIGURATION:
        value = _decode_table(fields)
    elif fields is not None:
        value = RECORD_TYPES[kind](**fields)
    return Change(kind=kind, name=item["name"], value=value)


def _decode_table(fields: dict[str, Any]) -> RouteTable:
    return RouteTable(
        version=fields["version"],
        routes=tuple(_decode_route(item) for item in fields["routes"]),
        services={item["name"]: BackendService(**item) for item in fields["services"]},
        limits=CallerLimits(**fields["limits"]),
    )


def _decode_route(fields: dict[str, Any]) -> Route:
    return Route(
        **fields
        | {
            "path_prefix": fields["path_prefix"].encode("latin-1"),
            "destinations": tuple(
                WeightedService(**item) for item in fields["destinations"]
            ),
            "shards": tuple(fields["shards"]),
        }
    )
