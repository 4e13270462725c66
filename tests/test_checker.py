"""Tests of the history checker: each injected fault is reported by its rule."""

from typing import Any

from attrs import evolve

from bronzebeam.bench.checker import RULES, check_history
from bronzebeam.bench.history import (
    AcceptanceRow,
    CoverageRow,
    DisturbanceRow,
    History,
    HitRow,
    IndexRow,
    LeavingRow,
    RequestRow,
    RevisionRow,
    RunRow,
    ShutdownRow,
)
from bronzebeam.standins.backend import HITS_PER_SHARD

PARTIAL_COVERAGE = CoverageRow(
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


PARTIAL_SEARCH = RequestRow(
    entry="entry-1",
    path="/v1/services/guests/search",
    token="s-1",
    started_seconds=10.0,
    ended_seconds=10.1,
    outcome="partial",
    request_id="r-1",
    ran=True,
    coverage=PARTIAL_COVERAGE,
    hits=_hits(0),
    empty_shards=(1,),
)
BOOKING = RequestRow(
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
NOT_RUN = evolve(
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
VALID_HISTORY = History(
    requests=(PARTIAL_SEARCH, BOOKING, NOT_RUN),
    runs=(_search_run(1, 0), _search_run(2, 1), BOOKING_RUN),
    indexes=(IndexRow(index_version=4, shard_count=3),),
    leaving_periods=(
        LeavingRow(server="guests-0", signalled_seconds=7.5, until_seconds=30.0),
    ),
    shutdowns=(
        ShutdownRow(
            entry="entry-1", signalled_seconds=20.05, ended_seconds=21.0, exit_code=0
        ),
    ),
    revisions=(FIRST_REVISION, evolve(FIRST_REVISION, at_seconds=9.0, revision=2)),
    acceptances=(AcceptanceRow(revision=2, accepted_seconds=2.0),),
    non_idempotent=frozenset({"register"}),
)


def _history_with_search(**fields: Any) -> History:
    return evolve(
        VALID_HISTORY, requests=(evolve(PARTIAL_SEARCH, **fields), BOOKING, NOT_RUN)
    )


def _history_with_coverage(**fields: Any) -> History:
    return _history_with_search(coverage=evolve(PARTIAL_COVERAGE, **fields))


def _history_with_runs(*runs: RunRow) -> History:
    return evolve(VALID_HISTORY, runs=(*VALID_HISTORY.runs, *runs))


def _assert_rule_reports(rule: str, *injected: History) -> None:
    for number, history in enumerate(injected):
        findings = RULES[rule](history)
        assert findings, f"faulty history {number} passes {rule}"
        assert all(finding.place for finding in findings)


def test_valid_history_passes_every_rule() -> None:
    assert check_history(VALID_HISTORY) == {name: [] for name in RULES}


def test_hit_of_another_index_version_is_reported() -> None:
    hits_of_two_versions = (*_hits(0)[:-1], *_hits(0, version=3)[-1:])
    _assert_rule_reports(
        "one_snapshot", _history_with_search(hits=hits_of_two_versions)
    )


def test_wrong_coverage_is_reported() -> None:
    _assert_rule_reports(
        "true_coverage",
        _history_with_coverage(missing=()),
        _history_with_coverage(included=(0, 1, 1)),
        _history_with_coverage(included=(0, 1, 2)),
        _history_with_coverage(complete=True),
        _history_with_coverage(shard_count=2, missing=()),
        _history_with_search(outcome="answered"),
        _history_with_search(
            outcome="answered", coverage=evolve(PARTIAL_COVERAGE, complete=True)
        ),
        evolve(VALID_HISTORY, indexes=(IndexRow(index_version=4, shard_count=5),)),
        _history_with_search(empty_shards=()),
        _history_with_search(hits=_hits(0, 2)),
        evolve(VALID_HISTORY, runs=VALID_HISTORY.runs[1:]),
        evolve(
            VALID_HISTORY, runs=(_search_run(1, 0, done=False), *VALID_HISTORY.runs[1:])
        ),
        evolve(
            VALID_HISTORY,
            runs=(_search_run(1, 0, index_version=3), *VALID_HISTORY.runs[1:]),
        ),
        evolve(
            VALID_HISTORY,
            runs=(_search_run(1, 0, request_id="r-10.1"), *VALID_HISTORY.runs[1:]),
        ),
    )


def test_wrong_or_incomplete_response_is_reported() -> None:
    wrong_response = evolve(BOOKING, result_token="b-9")
    _assert_rule_reports(
        "own_whole_answer",
        _history_with_search(hits=_hits(0, token="s-9")),
        _history_with_search(hits=_hits(0)[:-1]),
        _history_with_search(hits=_hits(0, 0)),
        evolve(VALID_HISTORY, requests=(PARTIAL_SEARCH, wrong_response)),
        evolve(VALID_HISTORY, requests=(PARTIAL_SEARCH, PARTIAL_SEARCH)),
        evolve(VALID_HISTORY, requests=(evolve(NOT_RUN, exchange_result="malformed"),)),
    )


def test_executed_request_with_outcome_not_run_is_reported() -> None:
    run = evolve(BOOKING_RUN, request_id="r-3.2", key="b-2", started_seconds=25.0)
    _assert_rule_reports("not_run_is_true", _history_with_runs(run))


def test_booking_that_ran_twice_or_never_is_reported() -> None:
    elsewhere = evolve(BOOKING_RUN, request_id="r-9.1", server="attendee-r1")
    other_key = evolve(elsewhere, key="b-9")
    other_token = evolve(elsewhere, token="b-9")
    unfinished = evolve(elsewhere, done=False)
    _assert_rule_reports(
        "at_most_once",
        _history_with_runs(elsewhere),
        _history_with_runs(unfinished),
        _history_with_runs(other_key),
        _history_with_runs(other_token),
        evolve(VALID_HISTORY, runs=VALID_HISTORY.runs[:-1]),
    )


def test_second_run_of_an_idempotent_operation_is_allowed() -> None:
    find = evolve(BOOKING_RUN, operation="find", key=None, request_id="r-9.1")
    assert not RULES["at_most_once"](_history_with_runs(find, find))


def test_late_run_on_a_leaving_server_is_reported() -> None:
    late_run = _search_run(3, 0, request_id="r-9.1", started_seconds=10.51)
    run_after_return = evolve(late_run, started_seconds=30.1)
    _assert_rule_reports("leaving", _history_with_runs(late_run))
    assert not RULES["leaving"](_history_with_runs(run_after_return))


def test_graceful_shutdown_that_interrupts_requests_is_reported() -> None:
    broken_connection = evolve(
        BOOKING, exchange_result="broken", outcome="no_answer", request_id=""
    )
    refused = evolve(
        broken_connection,
        started_seconds=20.5,
        ended_seconds=20.5,
        exchange_result="refused",
    )
    unresponsive = evolve(
        broken_connection, ended_seconds=22.0, exchange_result="timeout"
    )
    shutdown = VALID_HISTORY.shutdowns[0]
    _assert_rule_reports(
        "planned_stops",
        *(
            evolve(VALID_HISTORY, requests=(row,))
            for row in (broken_connection, refused, unresponsive)
        ),
        evolve(VALID_HISTORY, shutdowns=(evolve(shutdown, exit_code=1),)),
        evolve(VALID_HISTORY, shutdowns=(evolve(shutdown, exit_code=None),)),
    )
    ended_before = evolve(broken_connection, started_seconds=1.0, ended_seconds=2.0)
    timed_out_before = evolve(unresponsive, deadline_seconds=20.04)
    for row in (ended_before, timed_out_before):
        assert not RULES["planned_stops"](evolve(VALID_HISTORY, requests=(row,)))
    timed_out_during = evolve(unresponsive, deadline_seconds=20.06)
    broken_during = evolve(timed_out_before, exchange_result="broken")
    _assert_rule_reports(
        "planned_stops",
        *(
            evolve(VALID_HISTORY, requests=(row,))
            for row in (timed_out_during, broken_during)
        ),
    )


def test_revision_rollback_or_late_activation_is_reported() -> None:
    rolled_back = evolve(FIRST_REVISION, at_seconds=9.5, revision=1)
    late = evolve(FIRST_REVISION, at_seconds=8.1, revision=1)
    wrong_content = evolve(VALID_HISTORY.revisions[1], content_hash="b")
    accepted = evolve(VALID_HISTORY.acceptances[0], content_hash="a")
    _assert_rule_reports(
        "configuration",
        evolve(
            VALID_HISTORY,
            revisions=(*VALID_HISTORY.revisions, rolled_back),
            acceptances=(),
        ),
        evolve(
            VALID_HISTORY, revisions=(FIRST_REVISION, late, VALID_HISTORY.revisions[1])
        ),
        evolve(VALID_HISTORY, revisions=(wrong_content,), acceptances=(accepted,)),
        evolve(VALID_HISTORY, acceptances=VALID_HISTORY.acceptances * 2),
    )


def test_activation_timeout_excludes_disturbances() -> None:
    late = evolve(FIRST_REVISION, at_seconds=10.9, revision=1)
    rows = (FIRST_REVISION, late)
    paused = DisturbanceRow(from_seconds=3.0, until_seconds=5.0, entry="entry-1")
    history = evolve(VALID_HISTORY, revisions=rows, disturbances=(paused,))
    assert not RULES["configuration"](history)
    paused_elsewhere = evolve(paused, entry="entry-2")
    overdue = evolve(late, at_seconds=11.1)
    _assert_rule_reports(
        "configuration",
        evolve(history, disturbances=(paused_elsewhere,)),
        evolve(history, revisions=(FIRST_REVISION, overdue)),
    )
