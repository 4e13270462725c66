"""Typed messages of the HTTP interface of backend servers."""

from typing import Any, Final, Literal, cast, get_args

import orjson
from attrs import frozen

from bronzebeam.routing.snapshots import ReplicaHolding

SEARCH_PATH: Final = "/search"
CALL_PATH: Final = "/call"
CANCEL_PATH: Final = "/cancel"
STATUS_PATH: Final = "/status"
REQUEST_ID_HEADER: Final = b"x-request-id"
DEADLINE_HEADER: Final = b"x-deadline-ms"
STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_UNAVAILABLE: Final = 503
MAX_SHARDS: Final = 10_000

NotRunReason = Literal[
    "overloaded", "draining", "version_gone", "cancelled", "backend_error"
]


@frozen(kw_only=True)
class BackendLoad:
    """
    The load that a backend server reports for itself.

    :ivar in_flight: requests from all entries that it runs or has queued.
    :ivar draining: whether it is shutting down and accepts no new work.
    """

    in_flight: int = 0
    draining: bool = False


@frozen(kw_only=True)
class BackendReply:
    """
    A valid reply that echoes the request identifier.

    :ivar result: hits of a search, or result of a call; None for a status reply.
    :ivar holdings: index versions and shards stored on the backend server; None if
        it does not report them.
    """

    result: Any
    load: BackendLoad
    holdings: tuple[ReplicaHolding, ...] | None = None
    index_version: int | None = None
    shard: int | None = None
    shard_count: int | None = None


@frozen(kw_only=True)
class BackendDidNotRun:
    """The backend server reports that it did not run the request."""

    reason: NotRunReason
    load: BackendLoad
    holdings: tuple[ReplicaHolding, ...] | None = None
    retry_after_ms: int | None = None


@frozen(kw_only=True)
class BackendFailed:
    """The backend server processed the request and reports an error."""

    status: int


@frozen(kw_only=True)
class BadReply:
    """
    A reply that must not be used.

    :ivar reason: `truncated_reply` if it is not a complete and valid JSON message,
        `wrong_reply` if it belongs to another request.
    """

    reason: Literal["truncated_reply", "wrong_reply"]


ParsedReply = BackendReply | BackendDidNotRun | BackendFailed | BadReply


def encode_search(
    *, request_id: str, index_version: int, shard: int, query: Any
) -> Any:
    """Encode the body of a search sub-request."""
    return orjson.dumps(
        {
            "request_id": request_id,
            "index_version": index_version,
            "shard": shard,
            "query": query,
        }
    )


def encode_call(
    *, request_id: str, operation: str, payload: Any, idempotency_key: str | None
) -> bytes:
    """Encode the body of a call."""
    return orjson.dumps(
        {
            "request_id": request_id,
            "operation": operation,
            "payload": payload,
            "idempotency_key": idempotency_key,
        }
    )


def encode_cancel(*, request_id: str) -> bytes:
    """Encode the body of a request that cancels a running one."""
    return orjson.dumps({"request_id": request_id})


def parse_reply(
    *, replica: str, request_id: str, status: int, body: bytes
) -> ParsedReply:
    """
    Validate a reply and convert it to a typed message.

    :param request_id: identifier that the reply must echo.
    """
    try:
        value = orjson.loads(body)
        return _parse_object(replica, request_id, status, value)
    except (ValueError, KeyError, TypeError, OverflowError):
        return BadReply(reason="truncated_reply")


def _parse_object(
    replica: str, request_id: str, status: int, value: Any
) -> ParsedReply:
    if value["request_id"] != request_id:
        return BadReply(reason="wrong_reply")
    load = BackendLoad(
        in_flight=max(0, int(value["load"]["in_flight"])),
        draining=bool(value["load"]["draining"]),
    )
    holdings = _parse_holdings(replica, value.get("holdings"))
    if status in (STATUS_UNAVAILABLE, STATUS_CONFLICT) and value.get("ran") is False:
        return BackendDidNotRun(
            reason=_not_run_reason(value["error"]),
            load=load,
            holdings=holdings,
            retry_after_ms=_retry_after_ms(value.get("retry_after_ms")),
        )
    if status != STATUS_OK:
        return BackendFailed(status=status)
    return BackendReply(
        result=value["result"],
        load=load,
        holdings=holdings,
        index_version=_optional_integer(value.get("index_version")),
        shard=_optional_integer(value.get("shard")),
        shard_count=_optional_integer(value.get("shard_count")),
    )


def _not_run_reason(error: Any) -> NotRunReason:
    """Return the reported reason, or `backend_error` if it is unknown."""
    if error in get_args(NotRunReason):
        return cast(NotRunReason, error)
    return "backend_error"


def _retry_after_ms(value: Any) -> int | None:
    return value if type(value) is int and value >= 0 else None


def _optional_integer(value: Any) -> int | None:
    return None if value is None else _integer(value)


def _integer(value: Any) -> int:
    if type(value) is not int:
        raise TypeError("shard number or index version is not an integer")
    return value


def _parse_holdings(replica: str, rows: Any) -> tuple[ReplicaHolding, ...] | None:
    if rows is None:
        return None
    return tuple(
        _parse_holding(replica, version, shard, shard_count)
        for version, shard, shard_count in rows
    )


def _parse_holding(
    replica: str, version: Any, shard: Any, shard_count: Any
) -> ReplicaHolding:
    holding = ReplicaHolding(
        replica=replica,
        index_version=_integer(version),
        shard=_integer(shard),
        shard_count=_integer(shard_count),
    )
    # The shard map is kept in memory, so a reply must not be able to set its size.
    if not 0 <= holding.shard < holding.shard_count <= MAX_SHARDS:
        raise ValueError("shard number or shard count out of range")
    return holding
