"""Tests of a process that did not run for some seconds, in virtual time."""

import asyncio

from tests.fixtures_gateway import (
    BOOKING_PATH,
    FAN_OUT_PATH,
    Cluster,
    RunningGateway,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)

STALLED_SECONDS = 3.0


def stall(gateway: RunningGateway) -> None:
    """Let what the process reads now have waited for some seconds."""
    gateway.gateway._stall_clock._beaten_at_seconds -= STALLED_SECONDS


def test_request_whose_time_passed_while_the_process_was_suspended_is_not_run() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster, timeoutMs=5_000)
        cluster.configure(*[{**item, "timeoutMs": 5_000} for item in cluster.routes])
        await asyncio.sleep(2.0)
        for remaining_ms, expected in ((2_000, 503), (4_000, 200)):
            await asyncio.sleep(0.3)  # to the next beat
            stall(gateway)
            answer = await cluster.send_request(
                gateway,
                BOOKING_PATH,
                method="POST",
                body=b"one chair",
                attempt_id=f"s-{remaining_ms}",
                remaining_ms=remaining_ms,
            )
            assert answer is not None and answer.status == expected
            assert cluster.run_count(f"s-{remaining_ms}") == (expected == 200)
        assert gateway.log_lines("process_stalled")

    run_scenario(scenario)


def test_work_of_a_peer_whose_time_has_passed_is_not_run() -> None:
    async def scenario(cluster: Cluster) -> None:
        first = await start_search_cluster(cluster, domains=("zone-b", "zone-b"))
        second = cluster.start_gateway("g-2", domain="zone-b")
        await asyncio.sleep(3.1)  # not at a beat
        stall(second)
        answer = await cluster.send_request(
            first, FAN_OUT_PATH, attempt_id="d-1", remaining_ms=800
        )
        assert answer is not None and answer.status == 200 and answer.missing == 0
        (line,) = second.log_lines("peer_request_refused")
        assert " request=d-1 cause=deadline_passed " in line
        assert cluster.run_count("d-1") == 4

    run_scenario(scenario)
