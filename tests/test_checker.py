"""Tests of the history checker: a clean history passes, each planted fault fails."""

from typing import Any

from attrs import evolve

from bronzebeam.bench.checker import RULES, check_history
from bronzebeam.bench.history import (
    AcceptanceRow,
    CallerRow,
    CoverageRow,
    DisturbanceRow,
    History,
    HitRow,
    IndexRow,
    LeavingRow,
    RevisionRow,
    RunRow,
    StopRow,
)
from bronzebeam.standins.backend import HITS_PER_SHARD

COVERAGE = CoverageRow(
    index_version=4, shard_count=3, included=(0, 1), missing=(2,), complete=False
)


def _hits(*shards: int, version: int = 4, token: str = "s-1") -> tuple[HitRow, ...]:
    return tuple(
        HitRow(index_version=version, shard=shard, number=number, token=token)
        for shard in shards
        for number in range(HITS_PER_SHARD)
    )


def _search_run(number: int, shard: int, **fields: Any) -> RunRow:
    run = RunRow(
        server=f"guests-{shard}",
        request_id=f"r-1.{number}",
        started_seconds=10.0,
        target="/search",
        done=True,
        index_version=4,
        shard=shard,
    )
    return evolve(run, **fields)


SEARCH = CallerRow(
    entry="entry-1",
    path="/v1/services/guests/search",
    token="s-1",
    started_seconds=10.0,
    ended_seconds=10.1,
    outcome="partial",
    request_id="r-1",
    ran=True,
    coverage=COVERAGE,
    hits=_hits(0),
    empty_shards=(1,),
)
BOOKING = CallerRow(
    entry="entry-1",
    path="/v1/services/attendee/calls/register",
    token="b-1",
    started_seconds=20.0,
    ended_seconds=20.1,
    outcome="answered",
    request_id="r-2",
    ran=True,
    key="b-1",
    result_token="b-1",
)
BOOKING_RUN = RunRow(
    server="attendee-r0",
    request_id="r-2.1",
    started_seconds=20.0,
    target="/call",
    done=True,
    key="b-1",
    operation="register",
    token="b-1",
)
REFUSED = evolve(
    BOOKING,
    outcome="not_run",
    request_id="r-3",
    ran=False,
    reason="no_replica",
    key="b-2",
    token="b-2",
    result_token="",
)
FIRST_REVISION = RevisionRow(entry="entry-1", at_seconds=1.0, revision=1)
CLEAN = History(
    callers=(SEARCH, BOOKING, REFUSED),
    runs=(_search_run(1, 0), _search_run(2, 1), BOOKING_RUN),
    indexes=(IndexRow(index_version=4, shard_count=3),),
    leaving=(LeavingRow(server="guests-0", signalled_seconds=7.5, until_seconds=30.0),),
    stops=(
        StopRow(
            entry="entry-1", signalled_seconds=20.05, ended_seconds=21.0, exit_code=0
        ),
    ),
    revisions=(FIRST_REVISION, evolve(FIRST_REVISION, at_seconds=9.0, revision=2)),
    acceptances=(AcceptanceRow(revision=2, accepted_seconds=2.0),),
    non_idempotent=frozenset({"register"}),
)


def _search_with(**fields: Any) -> History:
    return evolve(CLEAN, callers=(evolve(SEARCH, **fields), BOOKING, REFUSED))


def _coverage_with(**fields: Any) -> History:
    return _search_with(coverage=evolve(COVERAGE, **fields))


def _runs_and(*runs: RunRow) -> History:
    return evolve(CLEAN, runs=(*CLEAN.runs, *runs))


def _rejects(rule: str, *planted: History) -> None:
    for number, history in enumerate(planted):
        findings = RULES[rule](history)
        assert findings, f"planted history {number} passes {rule}"
        assert all(finding.place for finding in findings)


def test_clean_history_passes_every_rule() -> None:
    assert check_history(CLEAN) == {name: [] for name in RULES}


def test_hit_of_another_version_is_found() -> None:
    mixed = (*_hits(0)[:-1], *_hits(0, version=3)[-1:])
    _rejects("one_snapshot", _search_with(hits=mixed))


def test_false_coverage_is_found() -> None:
    _rejects(
        "true_coverage",
        _coverage_with(missing=()),
        _coverage_with(included=(0, 1, 1)),
        _coverage_with(included=(0, 1, 2)),
        _coverage_with(complete=True),
        _coverage_with(shard_count=2, missing=()),
        _search_with(outcome="answered"),
        _search_with(outcome="answered", coverage=evolve(COVERAGE, complete=True)),
        evolve(CLEAN, indexes=(IndexRow(index_version=4, shard_count=5),)),
        _search_with(empty_shards=()),
        _search_with(hits=_hits(0, 2)),
        evolve(CLEAN, runs=CLEAN.runs[1:]),
        evolve(CLEAN, runs=(_search_run(1, 0, done=False), *CLEAN.runs[1:])),
        evolve(CLEAN, runs=(_search_run(1, 0, index_version=3), *CLEAN.runs[1:])),
        evolve(CLEAN, runs=(_search_run(1, 0, request_id="r-10.1"), *CLEAN.runs[1:])),
    )


def test_answer_of_another_or_in_part_is_found() -> None:
    crossed = evolve(BOOKING, result_token="b-9")
    _rejects(
        "own_whole_answer",
        _search_with(hits=_hits(0, token="s-9")),
        _search_with(hits=_hits(0)[:-1]),
        _search_with(hits=_hits(0, 0)),
        evolve(CLEAN, callers=(SEARCH, crossed)),
        evolve(CLEAN, callers=(SEARCH, SEARCH)),
        evolve(CLEAN, callers=(evolve(REFUSED, end="malformed"),)),
    )


def test_false_not_run_is_found() -> None:
    run = evolve(BOOKING_RUN, request_id="r-3.2", key="b-2", started_seconds=25.0)
    _rejects("not_run_is_true", _runs_and(run))


def test_booking_that_ran_twice_or_never_is_found() -> None:
    elsewhere = evolve(BOOKING_RUN, request_id="r-9.1", server="attendee-r1")
    other_key = evolve(elsewhere, key="b-9")
    other_token = evolve(elsewhere, token="b-9")
    unfinished = evolve(elsewhere, done=False)
    _rejects(
        "at_most_once",
        _runs_and(elsewhere),
        _runs_and(unfinished),
        _runs_and(other_key),
        _runs_and(other_token),
        evolve(CLEAN, runs=CLEAN.runs[:-1]),
    )


def test_second_run_of_an_idempotent_operation_is_no_finding() -> None:
    find = evolve(BOOKING_RUN, operation="find", key=None, request_id="r-9.1")
    assert not RULES["at_most_once"](_runs_and(find, find))


def test_late_work_of_a_leaving_server_is_found() -> None:
    late = _search_run(3, 0, request_id="r-9.1", started_seconds=10.51)
    back = evolve(late, started_seconds=30.1)
    _rejects("leaving", _runs_and(late))
    assert not RULES["leaving"](_runs_and(back))


def test_planned_stop_that_cuts_off_is_found() -> None:
    running = evolve(BOOKING, end="broken", outcome="no_answer", request_id="")
    refused = evolve(running, started_seconds=20.5, ended_seconds=20.5, end="refused")
    silent = evolve(running, ended_seconds=22.0, end="timeout")
    stop = CLEAN.stops[0]
    _rejects(
        "planned_stops",
        *(evolve(CLEAN, callers=(row,)) for row in (running, refused, silent)),
        evolve(CLEAN, stops=(evolve(stop, exit_code=1),)),
        evolve(CLEAN, stops=(evolve(stop, exit_code=None),)),
    )
    before = evolve(running, started_seconds=1.0, ended_seconds=2.0)
    late = evolve(silent, deadline_seconds=20.04)
    for row in (before, late):
        assert not RULES["planned_stops"](evolve(CLEAN, callers=(row,)))
    in_time = evolve(silent, deadline_seconds=20.06)
    broken = evolve(late, end="broken")
    _rejects(
        "planned_stops",
        *(evolve(CLEAN, callers=(row,)) for row in (in_time, broken)),
    )


def test_revision_that_goes_back_or_comes_late_is_found() -> None:
    third = evolve(FIRST_REVISION, at_seconds=9.5, revision=1)
    late = evolve(FIRST_REVISION, at_seconds=8.1, revision=1)
    other = evolve(CLEAN.revisions[1], content_hash="b")
    accepted = evolve(CLEAN.acceptances[0], content_hash="a")
    _rejects(
        "configuration",
        evolve(CLEAN, revisions=(*CLEAN.revisions, third), acceptances=()),
        evolve(CLEAN, revisions=(FIRST_REVISION, late, CLEAN.revisions[1])),
        evolve(CLEAN, revisions=(other,), acceptances=(accepted,)),
        evolve(CLEAN, acceptances=CLEAN.acceptances * 2),
    )


def test_bound_of_configuration_waits_for_disturbances() -> None:
    late = evolve(FIRST_REVISION, at_seconds=10.9, revision=1)
    rows = (FIRST_REVISION, late)
    paused = DisturbanceRow(from_seconds=3.0, until_seconds=5.0, entry="entry-1")
    history = evolve(CLEAN, revisions=rows, disturbances=(paused,))
    assert not RULES["configuration"](history)
    elsewhere = evolve(paused, entry="entry-2")
    after = evolve(late, at_seconds=11.1)
    _rejects(
        "configuration",
        evolve(history, disturbances=(elsewhere,)),
        evolve(history, revisions=(FIRST_REVISION, after)),
    )
