"""Tests of the gateways' soak: its rules, and a short run of real processes."""

import asyncio
import os
import random
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from tests import soak_rig
from tests.fixtures_gateway import Response
from tests.soak_accounts import (
    BOUND_SECONDS,
    STABLE_SECONDS,
    KeyRow,
    check_accounts,
    check_keys_in_time,
    configure_accounts,
)
from tests.soak_ends import ProcessRow, SampleRow, SignalRow, check_processes
from tests.soak_faults import FaultAction
from tests.soak_gateways import SoakRun, run_soak
from tests.soak_history import (
    ArrivalRow,
    LimitRow,
    RequestRow,
    SoakHistory,
    check_history,
)
from tests.soak_link import Link
from tests.soak_rig import SoakGateway, SoakRig
from tests.soak_serving import check_serving
from tests.soak_shape import SoakShape
from tests.soak_starts import START_FAULTS

SIGNATURE_HEADER = "x-bronzebeam-replica-signature"
GATEWAY = ("g-0", 1)
REPLICA = "i-1@7"
TINY = SoakShape(
    gateway_count=1,
    domains=("zone-a",),
    replica_domains=("zone-a",),
    shard_count=1,
    single_replicas=1,
)
RECORDS = {"shard-0": [b"a" * 16, b"c" * 16], "shard-1": [b"b" * 16]}


def respond(status: int = 200, *, body: bytes = b"i-1/x", **headers: str) -> Response:
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(status=status, headers=names, body=body, elapsed_seconds=0.01)


def add_request(
    history: SoakHistory,
    attempt_id: str,
    response: Response | None = None,
    *,
    kind: str = "read",
    at_seconds: float = 1.0,
    version: int = 0,
    reaches: bool = True,
    closed: bool = False,
) -> ArrivalRow:
    """Add a request that a replica has run, with its signature."""
    if response is not None and response.status == 200 and kind != "search":
        response.headers.setdefault(SIGNATURE_HEADER, f"sig-{attempt_id}")
    history.requests.append(
        RequestRow(
            attempt_id=attempt_id,
            kind=kind,
            path=f"/{attempt_id}",
            method="GET",
            gateway=GATEWAY,
            sent_at_seconds=at_seconds,
            ended_at_seconds=at_seconds + 0.01,
            version=version,
            response=response,
            closed=closed,
        )
    )
    arrival = ArrivalRow(
        replica=REPLICA,
        service="booking",
        attempt_id=attempt_id,
        method="GET",
        path=f"/{attempt_id}",
        at_seconds=at_seconds + 0.005,
        ran=True,
    )
    if reaches:
        history.arrivals.append(arrival)
    history.signatures[f"sig-{attempt_id}"] = REPLICA, "booking", attempt_id
    history.bodies[f"sig-{attempt_id}"] = b"i-1/x"
    return arrival


def broken_rules(history: SoakHistory) -> set[str]:
    return {name for name, rows in check_history(history, timed=True).items() if rows}


def search_history(signatures: str, missing: str, body: bytes) -> SoakHistory:
    history = SoakHistory(
        shard_sets=[frozenset({"shard-0", "shard-1"})],
        records={name: list(items) for name, items in RECORDS.items()},
    )
    history.signatures |= {
        "s0": (REPLICA, "shard-0", "q-1"),
        "s1": (REPLICA, "shard-1", "q-1"),
        "other": (REPLICA, "shard-1", "q-2"),
    }
    response = respond(
        body=body,
        x_bronzebeam_shard_signatures=signatures,
        x_bronzebeam_missing_shards=missing,
    )
    add_request(history, "q-1", response, kind="search")
    return history


def test_good_history_breaks_no_rule() -> None:
    history = SoakHistory()
    add_request(history, "r-1", respond())
    add_request(history, "b-1", respond(), kind="book")
    add_request(history, "b-2", respond(503), kind="book", reaches=False)
    assert broken_rules(history) == set()
    whole = b"c" * 16 + b"b" * 16 + b"a" * 16
    assert broken_rules(search_history("s0, s1", "0", whole)) == set()
    assert broken_rules(search_history("s1", "1", b"b" * 16)) == set()


def test_wrong_search_answers_are_found() -> None:
    whole = b"c" * 16 + b"b" * 16 + b"a" * 16
    for signatures, missing, body in (
        ("s0, other", "0", whole),  # the reply to another request
        ("s0, s0", "0", whole),  # one shard twice
        ("s0, s1", "1", whole),  # a false number of missing shards
        ("s0", "0", b"c" * 16 + b"a" * 16),
        ("s0, s1", "0", b"c" * 16 + b"a" * 16),  # records left out
        ("s0, s1", "0", b"a" * 16 + b"b" * 16 + b"c" * 16),  # in a wrong order
    ):
        history = search_history(signatures, missing, body)
        assert broken_rules(history) == {"own_answer"}, signatures


def test_answers_of_others_are_found() -> None:
    for response in (
        respond(body=b"i-1/y"),
        respond(x_bronzebeam_replica_signature="sig-r-0"),
    ):
        history = SoakHistory()
        add_request(history, "r-0", respond())
        add_request(history, "r-1", response)
        assert broken_rules(history) == {"own_answer"}


def test_unasked_repeated_and_falsely_refused_runs_are_found() -> None:
    history = SoakHistory()
    add_request(history, "r-1", respond()).path = "/changed"
    assert broken_rules(history) == {"unasked"}
    history = SoakHistory()
    history.arrivals.append(add_request(history, "b-1", respond(), kind="book"))
    assert broken_rules(history) == {"at_most_once"}
    for status in (429, 503):
        history = SoakHistory()
        add_request(history, "b-1", respond(status), kind="book")
        assert broken_rules(history) == {"not_run"}


def test_reverted_configuration_is_found() -> None:
    history = SoakHistory()
    for number, version in enumerate((5, 6, 4, 4)):
        add_request(
            history,
            f"p-{number}",
            respond(),
            kind="probe",
            version=version,
            at_seconds=float(number),
        )
    assert broken_rules(history) == {"configuration"}
    # Another process may start from an older configuration.
    history.requests[-1].gateway = history.requests[-2].gateway = ("g-0", 2)
    assert broken_rules(history) == set()


def test_request_cut_off_by_a_planned_stop_is_found() -> None:
    history = SoakHistory(stops={GATEWAY: 0.9})
    arrival = add_request(history, "r-1", closed=True)
    assert broken_rules(history) == {"planned_stops"}
    arrival.broken = True
    assert broken_rules(history) == set()


def test_late_request_to_a_leaving_replica_is_found() -> None:
    history = SoakHistory()
    add_request(history, "r-1", respond(server_leaving="1"), at_seconds=1.0)
    add_request(history, "r-2", respond(), at_seconds=3.9)
    assert broken_rules(history) == set()
    add_request(history, "r-3", respond(), at_seconds=4.2)
    assert broken_rules(history) == {"leaving"}
    history.disturbed.append(("g-0", 2.0, 3.0))
    assert broken_rules(history) == set()


def test_requests_in_a_pause_are_found() -> None:
    history = SoakHistory()
    add_request(history, "r-0", respond(503)).pause_seconds = 2.0
    for number, at_seconds in enumerate((1.2, 1.8, 2.0, 3.1), start=1):
        add_request(history, f"r-{number}", respond(), at_seconds=at_seconds)
    assert broken_rules(history) == set()
    add_request(history, "r-5", respond(), at_seconds=2.5)
    assert broken_rules(history) == {"pauses"}


def test_requests_above_a_limit_are_found() -> None:
    for count, expected in ((65, 0), (66, 1)):
        history = SoakHistory()
        history.limits.append(
            LimitRow(
                replica=REPLICA, per_second=10.0, start_seconds=1.0, end_seconds=20.0
            )
        )
        # More before the replica's word counts, and after it.
        for index in range(100):
            add_request(history, f"early-{index}", respond(), at_seconds=4.0)
            add_request(history, f"late-{index}", respond(), at_seconds=21.0)
        for index in range(count):
            at_seconds = 10.0 + index * 0.05
            add_request(history, f"r-{index}", respond(), at_seconds=at_seconds)
        assert len(check_history(history, timed=True)["limits"]) == expected
        history.disturbed.append(("g-1", 9.0, 10.0))
        assert not check_history(history, timed=True)["limits"]


def history_of_key(
    *, at_seconds: float, status: int = 200, until_seconds: float | None = None
) -> tuple[SoakHistory, ArrivalRow]:
    """Return a history of one request with a key that is in force from 2 s on."""
    history = SoakHistory()
    history.keys["k-1"] = KeyRow(
        account="library", since_seconds=2.0, until_seconds=until_seconds
    )
    reaches = status != 401
    arrival = add_request(
        history, "r-1", respond(status), at_seconds=at_seconds, reaches=reaches
    )
    history.requests[0].key, arrival.account = "k-1", "library"
    return history, arrival


def test_wrong_accounts_and_keys_at_replicas_are_found() -> None:
    history, arrival = history_of_key(at_seconds=2.5)
    assert not list(check_accounts(history))
    arrival.account = "archive"
    assert list(check_accounts(history))
    arrival.account = None
    assert list(check_accounts(history))
    arrival.account, arrival.has_key = "library", True
    assert list(check_accounts(history))
    arrival.has_key = False
    for key in ("", "k-2"):
        history.requests[0].key = key
        assert list(check_accounts(history)), key
    history.requests[0].kind = "probe"
    assert list(check_accounts(history))
    arrival.account = None
    assert not list(check_accounts(history))
    # Before the configuration was written.
    history, _ = history_of_key(at_seconds=1.9)
    assert list(check_accounts(history))


def test_keys_that_are_removed_or_refused_too_late_are_found() -> None:
    # Until 5 s; or in force from 2 s on.
    for at_seconds, status, until_seconds, count in (
        (5.0 + BOUND_SECONDS - 0.1, 200, 5.0, 0),
        (5.0 + BOUND_SECONDS + 0.1, 200, 5.0, 1),
        (2.0 + BOUND_SECONDS - 0.1, 401, None, 0),
        (2.0 + BOUND_SECONDS + 0.1, 401, None, 1),
        (5.2, 401, 5.0, 0),
    ):
        history, _ = history_of_key(
            at_seconds=at_seconds, status=status, until_seconds=until_seconds
        )
        assert len(list(check_keys_in_time(history))) == count, at_seconds
        # The gateway could not know better, until the store was back for a while.
        history.outages.append(("g-1", 1.0, at_seconds))
        assert len(list(check_keys_in_time(history))) == count
        for name in ("", "g-0"):
            history.outages[-1] = name, 1.0, at_seconds - 0.5
            assert not list(check_keys_in_time(history))
        history.outages[-1] = "", 0.1, 0.2
        history.starts["g-0", 1] = 0.5
        history.older_copies.append((0.4, 0.6))
        assert not list(check_keys_in_time(history))
    history, _ = history_of_key(at_seconds=30.0, until_seconds=5.0)
    history.outages.append(("", 6.0, 30.0 - STABLE_SECONDS - BOUND_SECONDS - 1.0))
    assert list(check_keys_in_time(history))


def test_keys_of_the_soak_come_and_go_with_the_versions() -> None:
    history = SoakHistory()
    keys = [
        {
            key
            for account in configure_accounts(
                history, version=version, at_seconds=float(version)
            )
            for key in account["apiKeys"]
        }
        for version in range(1, 5)
    ]
    fixed = {"secret-library", "secret-archive", "secret-museum", "secret-gallery"}
    assert keys[0] - fixed == {"secret-of-1"}
    assert keys[3] - fixed == {"secret-of-3", "secret-of-4"}
    assert history.keys["secret-of-2"].until_seconds == 4.0
    assert history.keys["secret-of-2"].account != history.keys["secret-of-3"].account


def add_process(
    history: SoakHistory, exit_code: int | None, *signals: str
) -> ProcessRow:
    """Add a process that ends after 20 s; names in lower case are of early signals."""
    row = ProcessRow(
        gateway=GATEWAY,
        pid=1,
        started_at_seconds=1.0,
        log=Path("g-0-1.log"),
        errors=Path("g-0-1.err"),
        signals=[
            SignalRow(
                number=signal.Signals[f"SIG{name.upper()}"],
                at_seconds=1.1 if name.islower() else 11.0,
                early=name.islower(),
            )
            for name in signals
        ],
        ready_at_seconds=2.0,
        ended_at_seconds=21.0,
        exit_code=exit_code,
    )
    history.processes[GATEWAY] = row
    return row


def broken_process_rules(history: SoakHistory) -> set[str]:
    return {name for name, rows in check_processes(history, timed=True).items() if rows}


def test_ends_that_nobody_asked_for_are_found() -> None:
    for exit_code, signals, expected in (
        (None, [], False),
        (0, ["TERM"], False),
        (0, ["INT", "TERM", "HUP"], False),
        (-9, ["KILL"], False),
        (-9, ["TERM", "KILL"], False),
        (-15, ["term"], False),  # before the gateway's code ran
        (-1, ["hup", "HUP"], False),
        (1, ["TERM", "STOP", "CONT"], False),
        (0, [], True),
        (0, ["KILL"], True),
        (0, ["HUP"], True),
        (1, [], True),
        (1, ["TERM"], True),
        (2, ["TERM"], True),
        (-9, ["TERM"], True),  # by the kernel, for instance
        (-15, ["TERM"], True),
        (-15, ["hup", "TERM"], True),
        (-1, ["HUP"], True),
        (-1, ["TERM", "HUP"], True),
        (-11, ["TERM"], True),
    ):
        history = SoakHistory()
        add_process(history, exit_code, *signals)
        found = broken_process_rules(history)
        assert found == ({"unasked_end"} if expected else set()), (exit_code, signals)
    history = SoakHistory()
    add_process(history, -1, "hup").signals[0].used_seconds = 0.11
    assert broken_process_rules(history) == {"unasked_end"}


def test_stop_may_cut_off_only_what_a_replica_is_late_with() -> None:
    for sent_at, finished_at, expected in (
        (13.9, 16.1, set()),
        (13.9, None, set()),
        (14.1, None, {"unasked_end"}),
        (13.9, 15.9, {"unasked_end"}),
    ):
        history = SoakHistory()
        add_process(history, 1, "TERM")
        arrival = add_request(history, "r-1", at_seconds=sent_at)
        arrival.finished_at_seconds = finished_at
        assert broken_process_rules(history) == expected, (sent_at, finished_at)


def test_late_starts_errors_and_use_of_processes_are_found() -> None:
    for field, value, rule in (
        ("ready_at_seconds", None, "unasked_end"),
        ("overdue", True, "unasked_end"),
        ("peak_bytes", 300_000_001, "resources"),
        ("peak_descriptors", 3_901, "resources"),
        ("failure_lines", ["event=task_failed"], "process_errors"),
        ("error_text", "Traceback", "process_errors"),
    ):
        history = SoakHistory()
        setattr(add_process(history, -9, "KILL"), field, value)
        assert broken_process_rules(history) == {rule}, field
    # What was in its way: another fault, or no processor.
    for exit_code, signals, overdue in ((-9, ["KILL"], False), (-9, ["TERM"], True)):
        history = SoakHistory()
        row = add_process(history, exit_code, *signals, "KILL")
        row.ready_at_seconds, row.overdue = None, overdue
        assert broken_process_rules(history) == {"unasked_end"}
        row.queued_seconds = 11.0
        assert broken_process_rules(history) == set()
        row.queued_seconds, history.lags = 0.0, [(10.9, 11.0), (12.0, 11.0)]
        assert broken_process_rules(history) == set()
        history.lags = [(21.1, 11.0)]
        assert broken_process_rules(history) == {"unasked_end"}
    row.queued_seconds = 11.0
    row.signals[0].queued_seconds = 10.5
    assert broken_process_rules(history) == {"unasked_end"}
    history = SoakHistory(disturbed=[("g-0", 10.0, 12.0)])
    add_process(history, -9, "KILL").ready_at_seconds = None
    assert broken_process_rules(history) == set()


def broken_serving_rules(history: SoakHistory) -> set[str]:
    return {name for name, rows in check_serving(history).items() if rows}


def unserving_history(
    *, status: int | None = 503, seconds: float = 7.0, other_requests: int = 5
) -> SoakHistory:
    """Return requests of a process that serves none, beside another that does."""
    history = SoakHistory()
    add_process(history, None)
    for number in range(8):
        at_seconds = 3.0 + number * seconds / 7.0
        response = respond(status) if status is not None else None
        add_request(history, f"r-{number}", response, at_seconds=at_seconds)
    for number in range(other_requests):
        add_request(history, f"o-{number}", respond(), at_seconds=4.0 + 0.1 * number)
        history.requests[-1].gateway = "g-1", 1
    return history


def test_ready_process_that_serves_nothing_is_found() -> None:
    for status in (503, 502, 500, 504, None):
        assert broken_serving_rules(unserving_history(status=status)) == {
            "serves_nothing"
        }, status
    for status in (200, 404, 401, 429):
        assert not broken_serving_rules(unserving_history(status=status)), status
    assert not broken_serving_rules(unserving_history(seconds=5.9))
    assert not broken_serving_rules(unserving_history(other_requests=4))
    history = unserving_history()
    add_request(history, "served", respond(), at_seconds=6.5)
    assert not broken_serving_rules(history)
    history = unserving_history()
    history.processes[GATEWAY].ready_at_seconds = None
    assert not broken_serving_rules(history)
    history = unserving_history()
    history.lags = [(5.0, 1.5)]
    assert not broken_serving_rules(history)
    for harmed, expected in (("g-0", set()), ("g-1", {"serves_nothing"})):
        history = unserving_history()
        history.disturbed.append((harmed, 4.0, 5.0))
        assert broken_serving_rules(history) == expected


def test_process_that_answers_no_readiness_check_is_found() -> None:
    for times, expected in (
        ([3.0, 7.1], {"silent"}),
        ([3.0, 5.0, 7.1], set()),
        ([3.0], set()),
    ):
        history = SoakHistory()
        add_process(history, None).answered_at_seconds = times
        assert broken_serving_rules(history) == expected, times
    history = SoakHistory(disturbed=[("g-0", 4.0, 5.0)])
    add_process(history, None).answered_at_seconds = [3.0, 7.1]
    assert not broken_serving_rules(history)
    history = SoakHistory()
    row = add_process(history, None)
    row.answered_at_seconds = [3.0, 7.1]
    row.samples = [
        SampleRow(at_seconds=at, used_seconds=0.0, queued_seconds=queued)
        for at, queued in ((2.9, 0.0), (4.0, 0.1), (7.2, 0.3))
    ]
    assert not broken_serving_rules(history)


def test_process_that_is_busy_for_long_is_found() -> None:
    for share, queued_share, count, expected in (
        (1.0, 0.0, 6, {"busy"}),
        (0.5, 0.5, 12, {"busy"}),
        (1.0, 0.0, 5, set()),
        (0.9, 0.0, 20, set()),
        (0.0, 1.0, 20, set()),
    ):
        history = SoakHistory()
        add_process(history, None).samples = [
            SampleRow(
                at_seconds=2.0 + number,
                used_seconds=share * number,
                queued_seconds=queued_share * number,
            )
            for number in range(count)
        ]
        assert broken_serving_rules(history) == expected, (share, count)


def test_end_of_a_killed_process_may_be_noticed_late_if_the_rig_is_late() -> None:
    for lag_seconds, expected in ((1.1, set()), (0.9, {"unasked_end"})):
        history = SoakHistory(lags=[(12.0, lag_seconds)])
        add_process(history, -9, "KILL").overdue = True
        assert broken_process_rules(history) == expected, lag_seconds


async def end_from_outside(folder: Path) -> SoakHistory:
    rig = SoakRig(folder=folder, rng=random.Random(1), shape=TINY)
    try:
        await rig.start()
        gateway = rig.gateways[0]
        row = gateway.row
        assert row is not None
        while "event=ready" not in row.log.read_text():
            await asyncio.sleep(0.1)
        os.kill(row.pid, signal.SIGABRT)
        while gateway.row in (None, row) or gateway.row.ready_at_seconds is None:
            await asyncio.sleep(0.1)
    finally:
        await rig.stop()
    return rig.history


def test_end_of_a_real_process_is_reported_with_its_code_log_and_errors() -> None:
    with TemporaryDirectory() as folder:
        history = asyncio.run(end_from_outside(Path(folder)))
    found = check_processes(history, timed=False)
    assert {name: len(rows) for name, rows in found.items()} == {
        "unasked_end": 1,
        "resources": 0,
        "process_errors": 1,
    }
    for text in ("code -6", "event=ready", "Fatal Python error: Aborted"):
        assert text in found["unasked_end"][0], text


async def end_late_beside_a_new_start(folder: Path) -> SoakGateway:
    gateway = SoakGateway(
        name="g-0",
        settings=folder / "g-0.conf",
        settings_text="",
        caller_port=1,
        ready_port=2,
        peer_port=3,
        store_link=Link(server_port=4),
        history=SoakHistory(),
    )
    first = gateway.row = add_process(gateway.history, None, "TERM")
    gateway.ended = asyncio.create_task(asyncio.sleep(0.05))
    with mock.patch.object(soak_rig, "STOP_BOUND_SECONDS", 0.05):
        wait = asyncio.create_task(gateway.wait_ended())
        await asyncio.sleep(0.0)
        gateway.row = add_process(gateway.history, None)
        time.sleep(0.1)  # the rig is late, so that the end and its bound come together
        await wait
    assert first.overdue
    return gateway


def test_stop_that_is_noticed_late_is_not_taken_for_one_of_the_next_process() -> None:
    with TemporaryDirectory() as folder:
        gateway = asyncio.run(end_late_beside_a_new_start(Path(folder)))
    assert gateway.row is not None and not gateway.row.overdue
    assert not gateway.history.disturbed


def run_short_soak(
    *, seed: int, seconds: float, faults: Sequence[FaultAction] = ()
) -> SoakRun:
    """Run a soak, and check the rules that have no bounds on real time."""
    with TemporaryDirectory() as folder:
        run = asyncio.run(
            run_soak(
                seed=seed,
                seconds=seconds,
                folder=Path(folder),
                recovery_seconds=2.0,
                calm_seconds=4.0,
                faults=faults,
            )
        )
        found = run.violations(timed=False)
    broken = {name: rows for name, rows in found.items() if rows}
    assert broken == {}, broken
    return run


def test_short_soak_of_processes_breaks_no_rule() -> None:
    run = run_short_soak(seed=1, seconds=6.0)
    assert len(run.rig.history.requests) > 100
    served = {item.account for item in run.rig.history.arrivals}
    assert served == {"library", "archive", "museum", "gallery", None}


def test_no_process_ends_by_itself_around_starts_and_stops() -> None:
    run = run_short_soak(seed=2, seconds=8.0, faults=START_FAULTS)
    assert set(run.fault_counts) == {item.__name__ for item in START_FAULTS}
