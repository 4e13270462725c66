"""How one instance asks another for the merged records of some shards."""

from collections.abc import Sequence
from typing import Final

import orjson
from attrs import astuple, field, frozen, validators

DELEGATION_HEADER: Final = b"bb-gather"
RESULT_HEADER: Final = b"bb-parts"
NOT_RUN_STATUS: Final = 503  # the peer has sent nothing
REPLICAS_LOST_STATUS: Final = 424  # all replicas of the order were lost while at work
PART_SEPARATOR: Final = b","
MISSING: Final = b"-"


class MalformedDelegation(Exception):
    """A peer's order can't be read."""


@frozen(kw_only=True)
class DelegationRequest:
    """
    The part of a fan-out that a peer is to carry out.

    It names the shards, so that it does not matter which version of the configuration
    the peer has in force.

    :ivar route: name of the request's route, under which reply times are kept.
    :ivar shards: services that hold the shards; the reply has the same order.
    :ivar hedge_after_ms: time after which the peer sends again for its stragglers,
        and tells that it is at work.
    :ivar cutoff_ms: time after which shards that have not replied are left out.
    :ivar repeated: another peer may have sent the request to replicas already.
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


def encode_delegation(order: DelegationRequest) -> bytes:
    """Encode an order as the value of `ORDER_HEADER`."""
    return orjson.dumps(astuple(order, recurse=False))


def decode_delegation(value: bytes) -> DelegationRequest:
    """
    Decode the value of `ORDER_HEADER`.

    :raises MalformedOrder: if it can't be read.
    """
    try:
        fields = orjson.loads(value)
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
        )
    except (TypeError, ValueError) as error:
        raise MalformedDelegation(str(error)) from error


def encode_result(signatures: Sequence[bytes | None]) -> bytes:
    """Encode the signature of each shard in order, None for one left out."""
    return PART_SEPARATOR.join(item or MISSING for item in signatures)


def decode_result(value: bytes, *, count: int) -> list[bytes | None] | None:
    """Decode a result of `count` shards; None if it can't be read."""
    items = value.split(PART_SEPARATOR)
    if len(items) != count:
        return None
    return [None if item == MISSING else item for item in items]
