"""Typed rows of what callers, backend servers, entries and operators did."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

from attrs import frozen

from bronzebeam.bench.load import CallerResponse, ExchangeResult

SEARCH_TARGET: Final = "/search"
NO_RESPONSE: Final = "no_answer"


@frozen(kw_only=True)
class CoverageRow:
    """The coverage that an answer stated."""

    index_version: int
    shard_count: int
    included: tuple[int, ...]
    missing: tuple[int, ...]
    complete: bool


@frozen(kw_only=True)
class HitRow:
    """
    One hit of a search answer.

    :ivar token: the token of the query that the backend server answered.
    """

    index_version: int
    shard: int
    number: int
    token: str


@frozen(kw_only=True)
class RequestRow:
    """
    One request of a caller and what came of it.

    :ivar token: unique to the request's payload; equal for its resends.
    :ivar end: `whole` for an answer, `malformed` for one that is no JSON, `refused`
        if no connection could be opened,
        `broken` if it ended before the answer, `timeout` if nothing came.
    :ivar request_id: identifier that the entry gave; empty without an answer.
    :ivar hits: hits of a search.
    :ivar result_token: the token that the backend server of a call answered.
    :ivar empty_shards: shards in which the query finds nothing.
    :ivar deadline_seconds: when an answer became useless to the caller.
    """

    entry: str
    path: str
    token: str
    started_seconds: float
    ended_seconds: float
    exchange_result: ExchangeResult = "whole"
    outcome: str = NO_RESPONSE
    request_id: str = ""
    ran: bool | None = None
    reason: str = ""
    key: str | None = None
    coverage: CoverageRow | None = None
    hits: tuple[HitRow, ...] = ()
    result_token: str = ""
    empty_shards: tuple[int, ...] = ()
    deadline_seconds: float = math.inf


@frozen(kw_only=True)
class RunRow:
    """
    One run of a sub-request on a backend server.

    :ivar request_id: identifier of the sub-request, `<request>.<number>`.
    :ivar done: the run went to its end.
    """

    server: str
    request_id: str
    started_seconds: float
    target: str
    done: bool
    key: str | None = None
    operation: str | None = None
    token: str = ""
    index_version: int | None = None
    shard: int | None = None

    @property
    def caller_request_id(self) -> str:
        return self.request_id.rpartition(".")[0]


@frozen(kw_only=True)
class IndexRow:
    """An index version and the size of its shard map."""

    index_version: int
    shard_count: int


@frozen(kw_only=True)
class LeavingRow:
    """
    A time in which a backend server was leaving.

    :ivar until_seconds: when it came back.
    """

    server: str
    signalled_seconds: float
    until_seconds: float = math.inf


@frozen(kw_only=True)
class ShutdownRow:
    """
    A planned stop of an entry.

    :ivar exit_code: None if the process did not end within the bound.
    """

    entry: str
    signalled_seconds: float
    ended_seconds: float
    exit_code: int | None


@frozen(kw_only=True)
class RevisionRow:
    """
    The revision that an entry said is in force.

    :ivar revision: 0 before the first.
    """

    entry: str
    at_seconds: float
    revision: int
    content_hash: str = ""


@frozen(kw_only=True)
class AcceptanceRow:
    """An acceptance of a document that took effect."""

    revision: int
    accepted_seconds: float
    content_hash: str = ""


@frozen(kw_only=True)
class DisturbanceRow:
    """
    A time in which an acceptance cannot reach an entry.

    :ivar entry: the entry that is paused; None if the store is out for all.
    """

    from_seconds: float
    until_seconds: float
    entry: str | None = None


@frozen(kw_only=True)
class History:
    """All rows of one run; times are of one monotonic clock."""

    requests: tuple[RequestRow, ...] = ()
    runs: tuple[RunRow, ...] = ()
    indexes: tuple[IndexRow, ...] = ()
    leaving_periods: tuple[LeavingRow, ...] = ()
    shutdowns: tuple[ShutdownRow, ...] = ()
    revisions: tuple[RevisionRow, ...] = ()
    acceptances: tuple[AcceptanceRow, ...] = ()
    disturbances: tuple[DisturbanceRow, ...] = ()
    non_idempotent: frozenset[str] = frozenset()

    def runs_by_request(self) -> dict[str, list[RunRow]]:
        """Return the runs by the identifier of the caller's request."""
        found: dict[str, list[RunRow]] = {}
        for run in self.runs:
            found.setdefault(run.caller_request_id, []).append(run)
        return found


def request_row(
    answer: CallerResponse,
    *,
    entry: str,
    token: str,
    deadline_ms: int,
    empty_shards: Iterable[int] = (),
) -> RequestRow:
    """Build the row of what a caller saw."""
    body = answer.body
    coverage = body.get("coverage")
    result = body.get("result")
    return RequestRow(
        entry=entry,
        path=answer.path,
        token=token,
        started_seconds=answer.started_seconds,
        ended_seconds=answer.started_seconds + answer.latency_ms / 1000,
        exchange_result=answer.exchange_result,
        outcome=answer.outcome,
        request_id=str(body.get("request_id", "")),
        ran=body.get("ran"),
        reason=str(body.get("reason", "")),
        key=answer.key,
        coverage=None if coverage is None else _coverage_row(coverage),
        hits=tuple(map(_hit_row, result)) if isinstance(result, list) else (),
        result_token=_result_token(result),
        empty_shards=tuple(empty_shards),
        deadline_seconds=answer.started_seconds + deadline_ms / 1000,
    )


def run_rows(reports: Mapping[str, Any]) -> list[RunRow]:
    """Build the rows of the backend stand-ins' reports."""
    return [
        RunRow(
            server=server,
            request_id=row["request_id"],
            started_seconds=row["at_seconds"],
            target=row["target"],
            done=row["done"],
            key=row["key"],
            operation=row["operation"],
            token=row["token"],
            index_version=row["index_version"],
            shard=row["shard"],
        )
        for server, report in reports.items()
        for row in report["runs"]
    ]


def _coverage_row(value: Mapping[str, Any]) -> CoverageRow:
    return CoverageRow(
        index_version=value["index_version"],
        shard_count=value["shard_count"],
        included=tuple(value["included"]),
        missing=tuple(item["shard"] for item in value["missing"]),
        complete=value["complete"],
    )


def _hit_row(value: Mapping[str, Any]) -> HitRow:
    version, shard, number = map(int, value["id"].split("-"))
    return HitRow(
        index_version=version, shard=shard, number=number, token=value["token"]
    )


def _result_token(result: Any) -> str:
    return str(result.get("token", "")) if isinstance(result, dict) else ""
