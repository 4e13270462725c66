"""JSON encoding of the change feed between instances."""

import zlib
from collections.abc import Iterable
from typing import Any, Final, TypeVar

import orjson
from attrs import Attribute, AttrsInstance, asdict, fields_dict, frozen

from bronzebeam.decoding import DECODE_ERRORS
from bronzebeam.gateway.records import (
    LOCAL,
    Change,
    EvacuationRecord,
    InstanceRecord,
    RecordKind,
    RecordValue,
    ReplicaRecord,
    SuspectRecord,
)
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.routes import (
    BackendService,
    CallerLimits,
    Route,
    RouteTable,
    WeightedService,
)

RecordT = TypeVar("RecordT", bound=AttrsInstance)
ValueT = TypeVar("ValueT")
MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024  # memory for one decompressed response
# Types of decoded JSON, by the type of the record's field.
ACCEPTED_TYPES: Final[dict[Any, tuple[type, ...]]] = {
    str: (str,),
    int: (int,),
    float: (float, int),
    bool: (bool,),
}
RECORD_TYPES: Final = {
    RecordKind.REPLICA: ReplicaRecord,
    RecordKind.INSTANCE: InstanceRecord,
    RecordKind.SUSPECT: SuspectRecord,
    RecordKind.EVACUATION: EvacuationRecord,
}
# What a source passes on beyond what the first builds did. Followers use no source that
# omits some of it.
PASSED_ON: Final = frozenset({"accounts", "evacuations"})
KNOWN_KINDS: Final = frozenset(kind.value for kind in RecordKind)


class MalformedFeedResponse(Exception):
    """A peer's response can't be decoded."""


@frozen(kw_only=True)
class FeedResponse:
    """
    A peer's response to a request for changes.

    :ivar revision: store revision up to which the changes are complete.
    :ivar is_up_to_date: the peer is in contact with the store and not stopping; sent
        as `following`.
    :ivar era: era of the store that the revision belongs to; None if unknown.
    :ivar is_complete: the changes are all records, not only those after the requested
        revision; records that are missing no longer exist.
    :ivar omitted: what the peer, an earlier build, leaves out of the changes.
    """

    revision: int
    is_up_to_date: bool
    era: int | None = None
    is_complete: bool = False
    changes: tuple[Change, ...] = ()
    omitted: frozenset[str] = frozenset()


def encode_changes(changes: Iterable[Change]) -> bytes:
    """Encode the list of changes of a response."""
    return orjson.dumps([_encode_change(change) for change in changes])


def encode_feed_response(
    *,
    revision: int,
    is_up_to_date: bool,
    changes: bytes,
    era: int | None = None,
    is_complete: bool = False,
) -> bytes:
    """
    Encode a response.

    :param changes: result of `encode_changes`.
    """
    return (
        b'{"revision":%d,"era":%s,"following":%s,"complete":%s,"passed_on":%s,'
        b'"changes":%s}'
        % (
            revision,
            b"null" if era is None else b"%d" % era,
            b"true" if is_up_to_date else b"false",
            b"true" if is_complete else b"false",
            orjson.dumps(sorted(PASSED_ON)),
            changes,
        )
    )


def compress_response(data: bytes) -> bytes:
    """Compress a response; one with all records is sent to many peers at once."""
    return zlib.compress(data, level=1)


def decompress_response(data: bytes) -> bytes:
    """
    Undo `compress_response`.

    :raises MalformedFeedResponse: if the data is malformed or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_RESPONSE_BYTES)
    except zlib.error as error:
        raise MalformedFeedResponse(str(error)) from error
    if not decompressor.eof:
        raise MalformedFeedResponse(f"incomplete, or above {MAX_RESPONSE_BYTES} bytes")
    return text


def decode_feed_response(data: bytes) -> FeedResponse:
    """
    Decode a response.

    :raises MalformedFeedResponse: if it can't be decoded.
    """
    try:
        document = orjson.loads(data)
        return FeedResponse(
            revision=int(document["revision"]),
            is_up_to_date=bool(document["following"]),
            era=_decode_era(document.get("era")),
            is_complete=bool(document.get("complete", False)),
            changes=tuple(
                _decode_change(item)
                for item in document["changes"]
                if item["kind"] in KNOWN_KINDS
            ),
            omitted=PASSED_ON - frozenset(map(str, document.get("passed_on", ()))),
        )
    except DECODE_ERRORS as error:
        raise MalformedFeedResponse(repr(error)) from error


def _decode_era(value: Any) -> int | None:
    return None if value is None else int(value)


def _encode_change(change: Change) -> dict[str, Any]:
    value = change.value
    item: dict[str, Any] = {"kind": change.kind.value, "name": change.name}
    if isinstance(value, RouteTable):
        item["value"] = {
            "version": value.version,
            "routes": [_encode_route(route) for route in value.routes],
            "services": [
                asdict(service, filter=_differs_from_default)
                for service in value.services.values()
            ],
            "limits": asdict(value.limits),
        }
        if value.accounts:
            item["value"]["accounts"] = [
                asdict(account, filter=_differs_from_default)
                for account in value.accounts
            ]
    elif value is not None:
        item["value"] = asdict(value, filter=_differs_from_default)
    return item


def _encode_route(route: Route) -> dict[str, Any]:
    # The first builds need the fields that they know, also those with their default.
    fields = asdict(route) | {"path_prefix": route.path_prefix.decode("latin-1")}
    if not route.is_public:
        del fields["is_public"]
    if not route.regions:
        del fields["regions"]
    return fields


def _differs_from_default(attribute: "Attribute[Any]", value: Any) -> bool:
    """
    Whether a field has to be encoded.

    Earlier builds reject fields that they don't know, and new fields mostly have their
    default.
    """
    return bool(value != attribute.default) and LOCAL not in attribute.metadata


def _decode_change(item: dict[str, Any]) -> Change:
    kind = RecordKind(item["kind"])
    fields = item.get("value")
    value: RecordValue | None = None
    if fields is not None and kind is RecordKind.CONFIGURATION:
        value = _decode_table(fields)
    elif fields is not None:
        value = _decode_record(RECORD_TYPES[kind], fields)
    return Change(kind=kind, name=_decode_as(str, item["name"]), value=value)


def _decode_as(expected: type[ValueT], value: Any) -> ValueT:
    if type(value) is not expected:
        raise TypeError(f"a {type(value)} in place of a {expected}")
    return value


def _decode_table(fields: dict[str, Any]) -> RouteTable:
    return RouteTable(
        version=_decode_as(int, fields["version"]),
        routes=tuple(_decode_route(item) for item in fields["routes"]),
        services={
            item["name"]: _decode_record(BackendService, item)
            for item in fields["services"]
        },
        limits=_decode_record(CallerLimits, fields["limits"]),
        accounts=tuple(_decode_account(item) for item in fields.get("accounts", ())),
    )


def _decode_account(fields: dict[str, Any]) -> Account:
    return _decode_record(
        Account,
        fields
        | {
            "key_digests": tuple(fields.get("key_digests", ())),
            "regions": tuple(fields.get("regions", ())),
        },
    )


def _decode_route(fields: dict[str, Any]) -> Route:
    return _decode_record(
        Route,
        fields
        | {
            "path_prefix": fields["path_prefix"].encode("latin-1"),
            "destinations": tuple(
                _decode_record(WeightedService, item) for item in fields["destinations"]
            ),
            "shards": tuple(fields["shards"]),
            "regions": tuple(fields.get("regions", ())),
        },
    )


def _decode_record(record_type: type[RecordT], fields: dict[str, Any]) -> RecordT:
    """
    Return a record without the fields that only later builds know.

    :raises TypeError: if a field is of another type than the record's.
    """
    known = fields_dict(record_type)
    values = {name: value for name, value in fields.items() if name in known}
    for name, value in values.items():
        accepted = ACCEPTED_TYPES.get(known[name].type)
        if accepted is not None and type(value) not in accepted:
            raise TypeError(f"{name} of {record_type.__name__} is a {type(value)}")
    return record_type(**values)
