"""Checks of a run's history, one rule for each thing that must always hold."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from bronzebeam.bench.history import (
    SEARCH_TARGET,
    AcceptanceRow,
    CallerRow,
    CoverageRow,
    DisturbanceRow,
    History,
    RevisionRow,
    RunRow,
    StopRow,
)
from bronzebeam.findings import Finding
from bronzebeam.standins.backend import HITS_PER_SHARD

LEAVING_BOUND_SECONDS: Final = 3.0
IN_FORCE_BOUND_SECONDS: Final = 6.0

Rule = Callable[[History], list[Finding]]


def check_one_snapshot(history: History) -> list[Finding]:
    """Find hits of another index version than the answer states."""
    return [
        _of_caller(row, f"hit {hit} is not of version {row.coverage.index_version}")
        for row in history.callers
        if row.coverage is not None
        for hit in row.hits
        if hit.index_version != row.coverage.index_version
    ]


def check_true_coverage(history: History) -> list[Finding]:
    """Find answers whose coverage is not what was really searched."""
    runs = history.runs_by_request()
    counts = {row.index_version: row.shard_count for row in history.indexes}
    findings: list[Finding] = []
    for row in history.callers:
        coverage = row.coverage
        if coverage is None:
            continue
        messages = [
            *_map_faults(coverage, counts),
            *_hit_faults(row, coverage),
            *_run_faults(coverage, runs.get(row.request_id, [])),
        ]
        if coverage.complete != (row.outcome == "answered"):
            messages.append(f"is {row.outcome} with complete={coverage.complete}")
        findings += [_of_caller(row, message) for message in messages]
    return findings


def check_own_whole_answer(history: History) -> list[Finding]:
    """Find answers that hold another request's content, or not all of their own."""
    findings: list[Finding] = []
    for row in history.callers:
        if row.end == "malformed":
            findings.append(_of_caller(row, "is no JSON"))
        if row.outcome not in ("answered", "partial"):
            continue
        tokens = {hit.token for hit in row.hits}
        if row.coverage is None:
            tokens = {row.result_token}
        for token in sorted(tokens - {row.token}):
            findings.append(_of_caller(row, f"holds the answer to {token!r}"))
        if row.coverage is not None:
            findings += _partly_included(row, row.coverage)
    findings += _used_twice(history.callers)
    return findings


def check_not_run_is_true(history: History) -> list[Finding]:
    """Find requests said not to have run of which a backend server ran a part."""
    runs = history.runs_by_request()
    return [
        _of_caller(row, f"was told not_run ({row.reason}) but ran: {run}")
        for row in history.callers
        if row.outcome == "not_run" or row.ran is False
        for run in runs.get(row.request_id, [])
    ]


def check_at_most_once(history: History) -> list[Finding]:
    """
    Find bookings that ran twice, and answered ones that did not run once.

    A booking is known by its key, and by its token if the caller changed the key
    after each answer had said that the booking did not run.
    """
    by_place: defaultdict[str, list[RunRow]] = defaultdict(list)
    for run in history.runs:
        if run.operation in history.non_idempotent:
            by_place[f"/keys/{run.key}"].append(run)
            by_place[f"/tokens/{run.token}"].append(run)
    findings: list[Finding] = []
    for place, runs in by_place.items():
        if len(runs) > 1:
            tokens = {run.token for run in runs}
            told = [row for row in history.callers if row.token in tokens]
            message = f"ran {len(runs)} times: {runs}; callers were told {told}"
            findings.append(Finding(place=place, message=message))
    for row in history.callers:
        if _is_booking(row, history) and row.outcome == "answered":
            if not by_place.get(f"/keys/{row.key}"):
                findings.append(_of_caller(row, "was answered but never ran"))
    return findings


def check_leaving(history: History) -> list[Finding]:
    """Find work that started on a backend server long after it began to leave."""
    runs: defaultdict[str, list[RunRow]] = defaultdict(list)
    for run in history.runs:
        runs[run.server].append(run)
    return [
        Finding(
            place=f"/servers/{leaving.server}",
            message=f"left at {leaving.signalled_seconds:.3f} and still got {run}",
        )
        for leaving in history.leaving
        for run in runs[leaving.server]
        if leaving.signalled_seconds + LEAVING_BOUND_SECONDS
        < run.started_seconds
        < leaving.until_seconds
    ]


def check_planned_stops(history: History) -> list[Finding]:
    """Find planned stops that cut off a caller or ended badly."""
    findings: list[Finding] = []
    for stop in history.stops:
        if stop.exit_code != 0:
            place = f"/entries/{stop.entry}"
            findings.append(Finding(place=place, message=f"ended badly: {stop}"))
        findings += [
            _of_caller(row, f"was cut off ({row.end}) by {stop}")
            for row in history.callers
            if row.entry == stop.entry and _cut_off(row, stop)
        ]
    return findings


def check_configuration(history: History) -> list[Finding]:
    """Find entries that went back, and accepted revisions not in force in time."""
    by_entry: defaultdict[str, list[RevisionRow]] = defaultdict(list)
    for row in history.revisions:
        by_entry[row.entry].append(row)
    findings: list[Finding] = []
    for entry, rows in by_entry.items():
        rows.sort(key=lambda row: row.at_seconds)
        findings += _went_back(entry, rows)
        findings += _late(entry, rows, history)
    findings += _other_content(history)
    return findings


RULES: Final[dict[str, Rule]] = {
    "one_snapshot": check_one_snapshot,
    "true_coverage": check_true_coverage,
    "own_whole_answer": check_own_whole_answer,
    "not_run_is_true": check_not_run_is_true,
    "at_most_once": check_at_most_once,
    "leaving": check_leaving,
    "planned_stops": check_planned_stops,
    "configuration": check_configuration,
}


def check_history(history: History) -> dict[str, list[Finding]]:
    """Apply every rule and return the findings by the rule's name."""
    return {name: rule(history) for name, rule in RULES.items()}


def _of_caller(row: CallerRow, message: str) -> Finding:
    name = row.request_id or row.token
    return Finding(place=f"/callers/{name}", message=f"{message}; {row}")


def _map_faults(coverage: CoverageRow, counts: dict[int, int]) -> Iterator[str]:
    if counts.get(coverage.index_version) != coverage.shard_count:
        yield f"states {coverage.shard_count} shards, not the version's shard map"
    stated = sorted([*coverage.included, *coverage.missing])
    if stated != list(range(coverage.shard_count)):
        yield "included and missing shards are not the shard map"
    if coverage.complete != (not coverage.missing):
        yield "`complete` is not whether shards are missing"


def _hit_faults(row: CallerRow, coverage: CoverageRow) -> Iterator[str]:
    with_hits = {hit.shard for hit in row.hits}
    for shard in sorted(with_hits - set(coverage.included)):
        yield f"has hits of shard {shard}, which is not included"
    if row.outcome not in ("answered", "partial"):
        return
    for shard in sorted(set(coverage.included) - with_hits - set(row.empty_shards)):
        yield f"has no hits of shard {shard}, which is included and not empty"


def _run_faults(coverage: CoverageRow, runs: Iterable[RunRow]) -> Iterator[str]:
    ran = {
        run.shard
        for run in runs
        if run.target == SEARCH_TARGET
        and run.done
        and run.index_version == coverage.index_version
    }
    for shard in coverage.included:
        if shard not in ran:
            yield f"includes shard {shard}, which did not run for this request"


def _partly_included(row: CallerRow, coverage: CoverageRow) -> Iterator[Finding]:
    numbers = Counter((hit.shard, hit.number) for hit in row.hits)
    for shard in coverage.included:
        if shard in row.empty_shards:
            continue
        found = [numbers[(shard, number)] for number in range(HITS_PER_SHARD)]
        if found != [1] * HITS_PER_SHARD:
            yield _of_caller(row, f"holds hits of shard {shard} {found} times")


def _used_twice(rows: Iterable[CallerRow]) -> Iterator[Finding]:
    seen: set[str] = set()
    for row in rows:
        if row.request_id and row.request_id in seen:
            yield _of_caller(row, "is the second answer under one identifier")
        seen.add(row.request_id)


def _is_booking(row: CallerRow, history: History) -> bool:
    return row.path.rpartition("/")[2] in history.non_idempotent


def _cut_off(row: CallerRow, stop: StopRow) -> bool:
    if row.end == "whole" or row.started_seconds > stop.ended_seconds:
        return False
    if row.end == "timeout" and row.deadline_seconds < stop.signalled_seconds:
        return False
    return row.ended_seconds >= stop.signalled_seconds


def _went_back(entry: str, rows: list[RevisionRow]) -> Iterator[Finding]:
    for before, after in zip(rows, rows[1:]):
        if after.revision < before.revision:
            yield Finding(
                place=f"/entries/{entry}",
                message=f"went back from {before} to {after}",
            )


def _late(entry: str, rows: list[RevisionRow], history: History) -> Iterator[Finding]:
    relevant = [
        item
        for item in history.disturbances
        if item.entry is None or item.entry == entry
    ]
    for accepted in history.acceptances:
        start = max(accepted.accepted_seconds, rows[0].at_seconds)
        due = _due_seconds(start, relevant)
        late = next(
            (
                row
                for row in rows
                if row.at_seconds > due and row.revision < accepted.revision
            ),
            None,
        )
        if late is not None:
            yield Finding(
                place=f"/entries/{entry}",
                message=f"{accepted} was due at {due:.3f}, but {late}",
            )


def _due_seconds(start: float, disturbances: Iterable[DisturbanceRow]) -> float:
    """Return when the bound has passed, disturbed time not counted."""
    due = start + IN_FORCE_BOUND_SECONDS
    for item in sorted(disturbances, key=lambda row: row.from_seconds):
        if item.until_seconds > start and item.from_seconds < due:
            due = max(due, item.until_seconds + IN_FORCE_BOUND_SECONDS)
    return due


def _other_content(history: History) -> Iterator[Finding]:
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
                message=f"{row} has other content than {known}",
            )
