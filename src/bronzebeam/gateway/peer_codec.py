"""
Encoding of delegation requests, by which peers gather shards for each other.

Fields are told apart by their position. Those that later builds add at the end are
ignored, but builds up to 9582a90 reject requests with more fields than they know.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Any, Final

import orjson
from attrs import astuple, field, frozen, validators

from bronzebeam.decoding import DECODE_ERRORS, read_count
from bronzebeam.transport.http_reply import Headers

DELEGATION_HEADER: Final = b"bb-gather"
RESULT_HEADER: Final = b"bb-parts"
# Replicas that have said that they stop; in delegations and in their replies.
LEAVING_HEADER: Final = b"bb-leaving"
# A request of one replica that a peer sends for this instance, and how that ended.
RELAY_HEADER: Final = b"bb-relay"
RELAYED_HEADER: Final = b"bb-relayed"
# In requests to peers: the failure domains that this instance knows to be evacuated.
EVACUATED_HEADER: Final = b"bb-evacuated"
# In replies of a peer whose links to the replicas are broken, all or many of them.
IMPAIRED_HEADER: Final = b"bb-impaired"
# In replies: the services that the peer has replicas of, but reaches none.
UNREACHABLE_HEADER: Final = b"bb-unreachable"
# In replies: the services whose replicas the peer was not allowed to send to.
DECLINED_HEADER: Final = b"bb-declined"
# Headers that peers add to a caller's request.
PEER_HEADERS: Final = frozenset(
    {DELEGATION_HEADER, EVACUATED_HEADER, LEAVING_HEADER, RELAY_HEADER}
)
LEAVING_SEPARATOR: Final = b","
START_SEPARATOR: Final = b"@"
NOT_RUN_STATUS: Final = 503  # the peer has sent the request to no replica
REJECTED_STATUS: Final = 400  # the peer can't read the request
REGIONS_DECLINED: Final = "peer_declines_regions"  # it is of an earlier build
# All connections on which the peer sent the request were closed without a reply.
REPLICAS_LOST_STATUS: Final = 424
SIGNATURE_SEPARATOR: Final = b","
MISSING: Final = b"-"


class MalformedDelegation(Exception):
    """A delegation or a relayed request from a peer can't be decoded."""


@frozen(kw_only=True)
class DelegationRequest:
    """
    The part of a fan-out that is delegated to a peer.

    It names the shards, so that the peer needs no particular version of the
    configuration.

    :ivar route: name of the request's route, by which reply times are recorded.
    :ivar shards: services that hold the shards; the reply has the same order.
    :ivar hedge_after_ms: time after which the peer hedges shards without a reply, and
        sends an interim reply.
    :ivar cutoff_ms: time after which the peer answers without missing shards.
    :ivar repeated: another peer may have sent the request to replicas already.
    :ivar regions: regions whose replicas may get the request; None for any. Then the
        field is not sent. Peers of builds that don't know it reject the request, which
        they would send to any region.
    """

    route: str = field(validator=validators.instance_of(str))
    shards: tuple[str, ...] = field(
        validator=[
            validators.min_len(1),
            validators.deep_iterable(validators.instance_of(str)),
        ],
    )
    top_records: int = field(converter=int)
    max_attempts: int = field(converter=int)
    target_latency_ms: float = field(converter=float)
    hedge_after_ms: float = field(converter=float)
    cutoff_ms: float = field(converter=float)
    repeated: bool = field(converter=bool)
    regions: frozenset[str] | None = None


@frozen(kw_only=True)
class RelayRequest:
    """
    A request that a peer sends to one replica for this instance.

    :ivar route: name of the request's route, by which reply times are recorded.
    :ivar service: service that the replica is chosen from.
    :ivar idempotent: whether the request may run more than once.
    :ivar regions: see `DelegationRequest`.
    """

    route: str = field(validator=validators.instance_of(str))
    service: str = field(validator=validators.instance_of(str))
    idempotent: bool = field(converter=bool)
    target_latency_ms: float = field(converter=float)
    regions: frozenset[str] | None = None


@frozen(kw_only=True)
class RelayOutcome:
    """
    How a relayed request ended at the peer.

    :ivar result: value of the peer's `AttemptResult`.
    :ivar cause: why there is no usable reply; empty if there is one.
    :ivar connection_lost: see `BaseAttempt`.
    :ivar replica: the replica that replied; empty if none has.
    :ivar started_at_ms: its start; see `ReplicaRecord`.
    """

    result: str = field(validator=validators.instance_of(str))
    cause: str = field(validator=validators.instance_of(str))
    connection_lost: bool = field(converter=bool)
    replica: str = field(default="", validator=validators.instance_of(str))
    started_at_ms: int = field(default=0, converter=int)


@frozen(kw_only=True)
class LeavingReplica:
    """
    A replica that has said that it stops.

    :ivar started_at_ms: see `ReplicaRecord`; tells it from a later process under the
        same identifier.
    """

    replica: str
    started_at_ms: int


def without_peer_headers(headers: Headers) -> Headers:
    """Return the headers that are part of the caller's request."""
    return [item for item in headers if item[0] not in PEER_HEADERS]


def encode_leaving(replicas: Iterable[LeavingReplica]) -> bytes:
    """Encode replicas as the value of `LEAVING_HEADER`."""
    return LEAVING_SEPARATOR.join(
        item.replica.encode() + START_SEPARATOR + b"%d" % item.started_at_ms
        for item in replicas
    )


def decode_leaving(value: bytes) -> list[LeavingReplica]:
    """Decode the value of `LEAVING_HEADER`; malformed items name no replica."""
    replicas = []
    for item in value.split(LEAVING_SEPARATOR):
        name, _, started_at = item.rpartition(START_SEPARATOR)
        try:
            started_at_ms = read_count(started_at)
        except ValueError:
            continue
        if name:
            replicas.append(
                LeavingReplica(
                    replica=name.decode("latin-1"), started_at_ms=started_at_ms
                )
            )
    return replicas


def encode_names(names: Iterable[str]) -> bytes:
    """Encode names of services or failure domains as the value of a header."""
    return orjson.dumps(list(names))


def decode_names(value: bytes) -> frozenset[str]:
    """Undo `encode_names`; a malformed value holds no name."""
    try:
        names = orjson.loads(value)
    except ValueError:
        return frozenset()
    if not isinstance(names, list):
        return frozenset()
    return frozenset(name for name in names if isinstance(name, str))


def evacuated_header(domains: Collection[str]) -> bytes:
    """Return the header line that names evacuated domains; empty if there are none."""
    if not domains:
        return b""
    return b"%s:%s\r\n" % (EVACUATED_HEADER, encode_names(sorted(domains)))


def encode_delegation(delegation: DelegationRequest) -> bytes:
    """Encode a delegation request as the value of `DELEGATION_HEADER`."""
    return _encode_with_regions(delegation)


def decode_delegation(value: bytes) -> DelegationRequest:
    """
    Decode the value of `DELEGATION_HEADER`.

    :raises MalformedDelegation: if it can't be decoded.
    """
    try:
        fields, regions = _split_regions(orjson.loads(value), field_count=8)
        route, shards, top, attempts, target_ms, hedge_ms, cutoff_ms, repeated = fields
        return DelegationRequest(
            route=route,
            shards=tuple(shards),
            top_records=top,
            max_attempts=attempts,
            target_latency_ms=target_ms,
            hedge_after_ms=hedge_ms,
            cutoff_ms=cutoff_ms,
            repeated=repeated,
            regions=regions,
        )
    except DECODE_ERRORS as error:
        raise MalformedDelegation(str(error)) from error


def _encode_with_regions(request: DelegationRequest | RelayRequest) -> bytes:
    """Encode the fields of a request, the last one only if it restricts regions."""
    *fields, regions = astuple(request, recurse=False)
    return orjson.dumps(fields if regions is None else [*fields, sorted(regions)])


def _split_regions(
    fields: list[Any], *, field_count: int
) -> tuple[list[Any], frozenset[str] | None]:
    """
    Return the fields that are always sent, and the regions if there are any.

    What later builds add behind the regions is ignored.
    """
    always, *added = fields[:field_count], *fields[field_count:]
    if not added:
        return always, None
    regions = added[0]
    if not isinstance(regions, list) or not all(map(_is_text, regions)):
        raise ValueError("the regions are no list of names")
    return always, frozenset(regions)


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


def encode_relay(relay: RelayRequest) -> bytes:
    """Encode a relayed request as the value of `RELAY_HEADER`."""
    return _encode_with_regions(relay)


def decode_relay(value: bytes) -> RelayRequest:
    """
    Decode the value of `RELAY_HEADER`.

    :raises MalformedDelegation: if it can't be decoded.
    """
    try:
        fields, regions = _split_regions(orjson.loads(value), field_count=4)
        route, service, idempotent, target_latency_ms = fields
        return RelayRequest(
            route=route,
            service=service,
            idempotent=idempotent,
            target_latency_ms=target_latency_ms,
            regions=regions,
        )
    except DECODE_ERRORS as error:
        raise MalformedDelegation(str(error)) from error


def encode_relay_outcome(outcome: RelayOutcome) -> bytes:
    """Encode an outcome as the value of `RELAYED_HEADER`."""
    return orjson.dumps(astuple(outcome))


def decode_relay_outcome(value: bytes) -> RelayOutcome | None:
    """Decode the value of `RELAYED_HEADER`; None if it is malformed."""
    try:
        fields = orjson.loads(value)
        result, cause, connection_lost, replica, started_at_ms, *_ = fields
        return RelayOutcome(
            result=result,
            cause=cause,
            connection_lost=connection_lost,
            replica=replica,
            started_at_ms=started_at_ms,
        )
    except DECODE_ERRORS:
        return None


def encode_result(signatures: Sequence[bytes | None]) -> bytes:
    """Encode the signatures of all shards in order, None for missing ones."""
    return SIGNATURE_SEPARATOR.join(item or MISSING for item in signatures)


def decode_result(value: bytes, *, count: int) -> list[bytes | None] | None:
    """Decode the signatures of `count` shards; return None if malformed."""
    items = value.split(SIGNATURE_SEPARATOR)
    if len(items) != count:
        return None
    return [None if item == MISSING else item for item in items]
