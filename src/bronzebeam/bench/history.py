"""History of a run: requests, backend runs, shutdowns and configuration changes."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

from attrs import frozen

from bronzebeam.bench.load import CallerResponse, ExchangeResult

SEARCH_TARGET: Final = "/search"
NO_RESPONSE: Final = "no_answer"


@frozen(kw_only=True)
class CoverageRow:
    """The coverage that a response reported."""

    index_version: int
    shard_count: int
    included: tuple[int, ...]
    missing: tuple[int, ...]
    complete: bool


@frozen(kw_only=True)
class HitRow:
    """
    One hit in a search response.

    :ivar token: token of the query for which the backend server returned the hit.
    """

    index_version: int
    shard: int
    number: int
    token: str


@frozen(kw_only=True)
class RequestRow:
    """
    One request of a caller and its result.

    :ivar token: unique to the request's payload; equal for its resends.
    :ivar exchange_result: `whole` for a valid response, `malformed` for one that is
        not valid JSON, `refused` if no connection could be opened, `broken` if the
        connection closed before the response, `timeout` if no response arrived.
    :ivar request_id: ID assigned by the entry; empty without a response.
    :ivar hits: hits of a search.
    :ivar result_token: token in the result of a call; empty for a search.
    :ivar empty_shards: shards in which the query has no hits.
    :ivar deadline_seconds: monotonic time at which the request's deadline expired.
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

    :ivar request_id: ID of the sub-request, `<request>.<number>`.
    :ivar done: whether the run completed.
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
    """An index version and the number of its shards."""

    index_version: int
    shard_count: int


@frozen(kw_only=True)
class LeavingRow:
    """
    A period in which a backend server was marked as leaving.

    :ivar until_seconds: end of the period; infinite while the server is leaving.
    """

    server: str
    signalled_seconds: float
    until_seconds: float = math.inf


@frozen(kw_only=True)
class ShutdownRow:
    """
    A graceful shutdown of an entry.

    :ivar exit_code: None if the process did not exit before the time-out.
    """

    entry: str
    signalled_seconds: float
    ended_seconds: float
    exit_code: int | None


@frozen(kw_only=True)
class RevisionRow:
    """
    The revision that an entry reported as active.

    :ivar revision: 0 before the first.
    """

    entry: str
    at_seconds: float
    revision: int
    content_hash: str = ""


@frozen(kw_only=True)
class AcceptanceRow:
    """A document revision that the store has accepted."""

    revision: int
    accepted_seconds: float
    content_hash: str = ""


@frozen(kw_only=True)
class DisturbanceRow:
    """
    A period in which a newly accepted revision cannot reach an entry.

    :ivar entry: the paused entry; None if the store is unavailable to all entries.
    """

    from_seconds: float
    until_seconds: float
    entry: str | None = None


@frozen(kw_only=True)
class History:
    """All rows of one run; all times come from the same monotonic clock."""

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
        """Return the runs grouped by the ID of the caller's request."""
        grouped: dict[str, list[RunRow]] = {}
        for run in self.runs:
            grouped.setdefault(run.caller_request_id, []).append(run)
        return grouped


def request_row(
    response: CallerResponse,
    *,
    entry: str,
    token: str,
    deadline_ms: int,
    empty_shards: Iterable[int] = (),
) -> RequestRow:
    """Build the row of a request from the response that the caller received."""
    body = response.body
    coverage = body.get("coverage")
    result = body.get("result")
    return RequestRow(
        entry=entry,
        path=response.path,
        token=token,
        started_seconds=response.started_seconds,
        ended_seconds=response.started_seconds + response.latency_ms / 1000,
        exchange_result=response.exchange_result,
        outcome=response.outcome,
        request_id=str(body.get("request_id", "")),
        ran=body.get("ran"),
        reason=str(body.get("reason", "")),
        key=response.key,
        coverage=None if coverage is None else _coverage_row(coverage),
        hits=tuple(map(_hit_row, result)) if isinstance(result, list) else (),
        result_token=_result_token(result),
        empty_shards=tuple(empty_shards),
        deadline_seconds=response.started_seconds + deadline_ms / 1000,
    )


def run_rows(reports: Mapping[str, Any]) -> list[RunRow]:
    """Build the rows of all runs in the reports of the backend stand-ins."""
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
