"""Tests of the rules by which the gateways' soak checks quotas."""

from pathlib import Path

from tests.fixtures_gateway import Response
from tests.soak_accounts import GALLERY, LIBRARY, MUSEUM, KeyRow
from tests.soak_ends import ProcessRow
from tests.soak_history import ArrivalRow, RequestRow, SoakHistory
from tests.soak_quotas import (
    SETTLED_SECONDS,
    check_quota_refusals,
    check_quota_sums,
)

# The rate is 4 and the burst 4, in 5 s; 10% and 8 more: 34.4.
MOST_IN_WINDOW = 34


def add_run(
    history: SoakHistory,
    attempt_id: str,
    at_seconds: float,
    *,
    replica: str = "i-1@7",
    account: str = MUSEUM,
    ran: bool = True,
) -> None:
    history.arrivals.append(
        ArrivalRow(
            replica=replica,
            service="booking",
            attempt_id=attempt_id,
            method="GET",
            path=f"/{attempt_id}",
            at_seconds=at_seconds,
            ran=ran,
            account=account,
        )
    )


def add_refusal(
    history: SoakHistory, account: str, *, at_seconds: float, status: int = 429
) -> None:
    key = f"secret-{account}"
    history.keys.setdefault(key, KeyRow(account=account, since_seconds=0.0))
    history.requests.append(
        RequestRow(
            attempt_id=f"r-{len(history.requests)}",
            kind="read",
            path="/r",
            method="GET",
            gateway=("g-0", 1),
            sent_at_seconds=at_seconds,
            ended_at_seconds=at_seconds + 0.01,
            key=key,
            response=Response(
                status=status, headers={}, body=b"", elapsed_seconds=0.01
            ),
        )
    )


def test_a_sum_over_all_replicas_above_the_bound_is_found() -> None:
    # Guards against a rule that misses a window because it starts at whole seconds,
    # or counts each replica or instance by itself.
    for count, expected in ((MOST_IN_WINDOW, 0), (MOST_IN_WINDOW + 1, 1)):
        history = SoakHistory()
        for index in range(count):
            at_seconds = 13.7 + 4.9 * index / count
            add_run(history, f"r-{index}", at_seconds, replica=f"i-{index % 5}@7")
        # Outside the window, at least 5 s from the first or the last.
        for at_seconds in (8.59, 23.7):
            add_run(history, f"far-{at_seconds}", at_seconds)
        assert len(list(check_quota_sums(history))) == expected, count


def test_shards_hedges_and_refused_attempts_of_a_request_count_once() -> None:
    history = SoakHistory()
    for index in range(MOST_IN_WINDOW):
        for shard in range(6):
            add_run(history, f"r-{index}", 10.0 + shard / 10, replica=f"i-{shard}@7")
    for index in range(20):
        add_run(history, f"turned-away-{index}", 10.0, ran=False)
        add_run(history, f"other-{index}", 10.0, account=LIBRARY)
    assert not list(check_quota_sums(history))
    # It has been turned away, and runs now.
    add_run(history, "turned-away-0", 11.0)
    assert list(check_quota_sums(history))


def test_refusals_within_a_third_of_the_quota_are_found() -> None:
    # The gallery may send 165 in 5 s.
    for earlier_count, expected in ((53, 1), (54, 0)):
        history = SoakHistory(starts={("g-0", 1): 0.0})
        for index in range(earlier_count):
            add_refusal(history, GALLERY, at_seconds=25.1 + index / 20, status=200)
        # Neither earlier ones nor those without a valid key count.
        for index in range(100):
            add_refusal(history, GALLERY, at_seconds=24.0 + index / 200, status=200)
            add_refusal(history, GALLERY, at_seconds=28.0, status=401)
        add_refusal(history, GALLERY, at_seconds=30.0)
        assert len(list(check_quota_refusals(history))) == expected, earlier_count
    history = SoakHistory()
    for at_seconds in (1.0, 2.0):
        add_refusal(history, LIBRARY, at_seconds=at_seconds)
    assert len(list(check_quota_refusals(history))) == 2


def test_refusals_count_only_without_faults() -> None:
    for since, until, expected in (
        (1.0, 29.9 - SETTLED_SECONDS, 1),
        (1.0, 30.1 - SETTLED_SECONDS, 0),
        (29.0, 40.0, 0),
        (30.1, 40.0, 1),
    ):
        history = SoakHistory(faults=[(since, until)])
        add_refusal(history, GALLERY, at_seconds=30.0)
        assert len(list(check_quota_refusals(history))) == expected, since
    for started_at, expected in ((10.0, 1), (21.0, 0)):
        history = SoakHistory(starts={("g-0", 2): started_at})
        add_refusal(history, GALLERY, at_seconds=30.0)
        assert len(list(check_quota_refusals(history))) == expected


def test_slow_start_is_over_once_the_process_is_ready() -> None:
    for ready_at, expected in ((19.9, 1), (20.1, 0), (31.0, 0), (None, 1)):
        history = SoakHistory()
        history.processes["g-0", 2] = ProcessRow(
            gateway=("g-0", 2),
            pid=1,
            started_at_seconds=10.0,
            ready_at_seconds=ready_at,
            log=Path("g-0-2.log"),
            errors=Path("g-0-2.err"),
        )
        add_refusal(history, GALLERY, at_seconds=30.0)
        assert len(list(check_quota_refusals(history))) == expected, ready_at
