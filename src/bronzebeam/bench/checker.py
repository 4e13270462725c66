"""Checks of the history of a run; each rule checks one invariant."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from bronzebeam.bench.history import (
    SEARCH_TARGET,
    AcceptanceRow,
    CoverageRow,
    DisturbanceRow,
    History,
    RequestRow,
    RevisionRow,
    RunRow,
    ShutdownRow,
)
from bronzebeam.findings import Finding
from bronzebeam.standins.backend import HITS_PER_SHARD

LEAVING_GRACE_SECONDS: Final = 3.0
ACTIVATION_TIMEOUT_SECONDS: Final = 6.0

Rule = Callable[[History], list[Finding]]


def check_single_index_version(history: History) -> list[Finding]:
    """Find hits whose index version differs from the one that the response reports."""
    return [
        _finding_for_request(
            row, f"hit {hit} is not from index version {row.coverage.index_version}"
        )
        for row in history.requests
        if row.coverage is not None
        for hit in row.hits
        if hit.index_version != row.coverage.index_version
    ]


def check_reported_coverage(history: History) -> list[Finding]:
    """Find responses whose reported coverage differs from the shards searched."""
    runs = history.runs_by_request()
    shard_counts = {row.index_version: row.shard_count for row in history.indexes}
    findings: list[Finding] = []
    for row in history.requests:
        coverage = row.coverage
        if coverage is None:
            continue
        messages = [
            *_shard_map_issues(coverage, shard_counts),
            *_hit_issues(row, coverage),
            *_run_issues(coverage, runs.get(row.request_id, [])),
        ]
        if coverage.complete != (row.outcome == "answered"):
            messages.append(
                f"has outcome {row.outcome} with complete={coverage.complete}"
            )
        findings += [_finding_for_request(row, message) for message in messages]
    return findings


def check_response_content(history: History) -> list[Finding]:
    """Find responses with content of another request, or with incomplete content."""
    findings: list[Finding] = []
    for row in history.requests:
        if row.exchange_result == "malformed":
            findings.append(
                _finding_for_request(row, "received a response that is not valid JSON")
            )
        if row.outcome not in ("answered", "partial"):
            continue
        tokens = {hit.token for hit in row.hits}
        if row.coverage is None:
            tokens = {row.result_token}
        for token in sorted(tokens - {row.token}):
            findings.append(
                _finding_for_request(row, f"received the response to {token!r}")
            )
        if row.coverage is not None:
            findings += _find_incomplete_shards(row, row.coverage)
    findings += _find_duplicate_request_ids(history.requests)
    return findings


def check_not_run_outcomes(history: History) -> list[Finding]:
    """Find requests reported as not run of which a backend server ran a sub-request."""
    runs = history.runs_by_request()
    return [
        _finding_for_request(
            row, f"was reported as not_run ({row.reason}) but ran: {run}"
        )
        for row in history.requests
        if row.outcome == "not_run" or row.ran is False
        for run in runs.get(row.request_id, [])
    ]


def check_at_most_once(history: History) -> list[Finding]:
    """
    Find bookings that ran more than once, and answered bookings that never ran.

    Runs are grouped by idempotency key and also by token, because a caller may use
    another key for a booking as long as every response said that it did not run.
    """
    runs_by_place: defaultdict[str, list[RunRow]] = defaultdict(list)
    for run in history.runs:
        if run.operation in history.non_idempotent:
            runs_by_place[f"/keys/{run.key}"].append(run)
            runs_by_place[f"/tokens/{run.token}"].append(run)
    findings: list[Finding] = []
    for place, runs in runs_by_place.items():
        if len(runs) > 1:
            tokens = {run.token for run in runs}
            request_rows = [row for row in history.requests if row.token in tokens]
            message = f"ran {len(runs)} times: {runs}; responses: {request_rows}"
            findings.append(Finding(place=place, message=message))
    for row in history.requests:
        if _is_non_idempotent(row, history) and row.outcome == "answered":
            if not runs_by_place.get(f"/keys/{row.key}"):
                findings.append(_finding_for_request(row, "was answered but never ran"))
    return findings


def check_leaving_servers(history: History) -> list[Finding]:
    """Find runs that started too long after a backend server began to leave."""
    runs: defaultdict[str, list[RunRow]] = defaultdict(list)
    for run in history.runs:
        runs[run.server].append(run)
    return [
        Finding(
            place=f"/servers/{leaving.server}",
            message=f"began to leave at {leaving.signalled_seconds:.3f} but ran {run}",
        )
        for leaving in history.leaving_periods
        for run in runs[leaving.server]
        if leaving.signalled_seconds + LEAVING_GRACE_SECONDS
        < run.started_seconds
        < leaving.until_seconds
    ]


def check_graceful_shutdowns(history: History) -> list[Finding]:
    """Find graceful shutdowns that failed or interrupted a request."""
    findings: list[Finding] = []
    for shutdown in history.shutdowns:
        if shutdown.exit_code != 0:
            place = f"/entries/{shutdown.entry}"
            findings.append(
                Finding(place=place, message=f"shutdown failed: {shutdown}")
            )
        findings += [
            _finding_for_request(
                row, f"was interrupted ({row.exchange_result}) by {shutdown}"
            )
            for row in history.requests
            if row.entry == shutdown.entry and _is_interrupted_by(row, shutdown)
        ]
    return findings


def check_configuration_rollout(history: History) -> list[Finding]:
    """Find revision rollbacks, late activations and conflicting acceptances."""
    by_entry: defaultdict[str, list[RevisionRow]] = defaultdict(list)
    for row in history.revisions:
        by_entry[row.entry].append(row)
    findings: list[Finding] = []
    for entry, rows in by_entry.items():
        rows.sort(key=lambda row: row.at_seconds)
        findings += _find_revision_rollbacks(entry, rows)
        findings += _find_late_activations(entry, rows, history)
    findings += _find_acceptance_conflicts(history)
    return findings


RULES: Final[dict[str, Rule]] = {
    "one_snapshot": check_single_index_version,
    "true_coverage": check_reported_coverage,
    "own_whole_answer": check_response_content,
    "not_run_is_true": check_not_run_outcomes,
    "at_most_once": check_at_most_once,
    "leaving": check_leaving_servers,
    "planned_stops": check_graceful_shutdowns,
    "configuration": check_configuration_rollout,
}


def check_history(history: History) -> dict[str, list[Finding]]:
    """Apply every rule and return the findings by the rule's name."""
    return {name: rule(history) for name, rule in RULES.items()}


def _finding_for_request(row: RequestRow, message: str) -> Finding:
    name = row.request_id or row.token
    return Finding(place=f"/callers/{name}", message=f"{message}; {row}")


def _shard_map_issues(
    coverage: CoverageRow, shard_counts: dict[int, int]
) -> Iterator[str]:
    if shard_counts.get(coverage.index_version) != coverage.shard_count:
        yield f"reports {coverage.shard_count} shards, unlike the version's shard map"
    reported = sorted([*coverage.included, *coverage.missing])
    if reported != list(range(coverage.shard_count)):
        yield "included and missing shards together do not match the shard map"
    if coverage.complete != (not coverage.missing):
        yield "`complete` contradicts the list of missing shards"


def _hit_issues(row: RequestRow, coverage: CoverageRow) -> Iterator[str]:
    shards_with_hits = {hit.shard for hit in row.hits}
    for shard in sorted(shards_with_hits - set(coverage.included)):
        yield f"has hits from shard {shard}, which is not included"
    if row.outcome not in ("answered", "partial"):
        return
    for shard in sorted(
        set(coverage.included) - shards_with_hits - set(row.empty_shards)
    ):
        yield f"has no hits from shard {shard}, which is included and not empty"


def _run_issues(coverage: CoverageRow, runs: Iterable[RunRow]) -> Iterator[str]:
    completed_shards = {
        run.shard
        for run in runs
        if run.target == SEARCH_TARGET
        and run.done
        and run.index_version == coverage.index_version
    }
    for shard in coverage.included:
        if shard not in completed_shards:
            yield f"includes shard {shard}, which did not run for this request"


def _find_incomplete_shards(
    row: RequestRow, coverage: CoverageRow
) -> Iterator[Finding]:
    hit_counts = Counter((hit.shard, hit.number) for hit in row.hits)
    for shard in coverage.included:
        if shard in row.empty_shards:
            continue
        counts = [hit_counts[(shard, number)] for number in range(HITS_PER_SHARD)]
        if counts != [1] * HITS_PER_SHARD:
            yield _finding_for_request(
                row, f"has hits of shard {shard} {counts} times, expected once each"
            )


def _find_duplicate_request_ids(rows: Iterable[RequestRow]) -> Iterator[Finding]:
    seen: set[str] = set()
    for row in rows:
        if row.request_id and row.request_id in seen:
            yield _finding_for_request(row, "has the request ID of an earlier response")
        seen.add(row.request_id)


def _is_non_idempotent(row: RequestRow, history: History) -> bool:
    return row.path.rpartition("/")[2] in history.non_idempotent


def _is_interrupted_by(row: RequestRow, shutdown: ShutdownRow) -> bool:
    if row.exchange_result == "whole" or row.started_seconds > shutdown.ended_seconds:
        return False
    if (
        row.exchange_result == "timeout"
        and row.deadline_seconds < shutdown.signalled_seconds
    ):
        return False
    return row.ended_seconds >= shutdown.signalled_seconds


def _find_revision_rollbacks(entry: str, rows: list[RevisionRow]) -> Iterator[Finding]:
    for before, after in zip(rows, rows[1:]):
        if after.revision < before.revision:
            yield Finding(
                place=f"/entries/{entry}",
                message=f"rolled back from {before} to {after}",
            )


def _find_late_activations(
    entry: str, rows: list[RevisionRow], history: History
) -> Iterator[Finding]:
    disturbances = [
        item
        for item in history.disturbances
        if item.entry is None or item.entry == entry
    ]
    for accepted in history.acceptances:
        start = max(accepted.accepted_seconds, rows[0].at_seconds)
        due = _activation_due_seconds(start, disturbances)
        overdue = next(
            (
                row
                for row in rows
                if row.at_seconds > due and row.revision < accepted.revision
            ),
            None,
        )
        if overdue is not None:
            yield Finding(
                place=f"/entries/{entry}",
                message=f"{accepted} was due at {due:.3f}, but {overdue}",
            )


def _activation_due_seconds(
    start: float, disturbances: Iterable[DisturbanceRow]
) -> float:
    """Return the end of the time-out, which restarts at the end of a disturbance."""
    due = start + ACTIVATION_TIMEOUT_SECONDS
    for item in sorted(disturbances, key=lambda row: row.from_seconds):
        if item.until_seconds > start and item.from_seconds < due:
            due = max(due, item.until_seconds + ACTIVATION_TIMEOUT_SECONDS)
    return due


def _find_acceptance_conflicts(history: History) -> Iterator[Finding]:
    accepted = {row.revision: row for row in history.acceptances}
    for revision, count in Counter(row.revision for row in history.acceptances).items():
        if count > 1:
            place = f"/revisions/{revision}"
            yield Finding(place=place, message=f"was accepted {count} times")
    for row in history.revisions:
        known: AcceptanceRow | None = accepted.get(row.revision)
        if known and known.content_hash and known.content_hash != row.content_hash:
            yield Finding(
                place=f"/entries/{row.entry}",
                message=f"content of {row} differs from {known}",
            )
