"""Tests of a process that did not run for some seconds, in virtual time."""

import asyncio

from bronzebeam.units import MS_PER_SECOND
from tests.fixtures_gateway import (
    BOOKING_PATH,
    FAN_OUT_PATH,
    Cluster,
    RunningGateway,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.test_gateway_resources import read_metrics

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


def test_log_tells_a_busy_process_from_one_that_did_not_run() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        clock = gateway.gateway._stall_clock
        for used_seconds in (0.0, STALLED_SECONDS):
            await asyncio.sleep(0.3)
            stall(gateway)
            clock._used_at_beat_seconds -= used_seconds
            await asyncio.sleep(0.3)
        not_run, busy = [
            int(line.partition("busy_ms=")[2].split()[0])
            for line in gateway.log_lines("process_stalled")
        ]
        assert not_run < MS_PER_SECOND * STALLED_SECONDS <= busy

    run_scenario(scenario)


def test_metrics_show_by_how_much_the_regular_work_was_late() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        name = "bronzebeam_gateway_tick_delay_seconds"
        before = await read_metrics(cluster, gateway)
        assert before[f"{name}_count"] > 0

        def work() -> None:
            cluster.loop.virtual_selector.now_seconds += STALLED_SECONDS

        cluster.loop.call_later(0.1, work)
        await asyncio.sleep(4.0)
        after = await read_metrics(cluster, gateway)
        assert after[f"{name}_sum"] - before[f"{name}_sum"] > STALLED_SECONDS / 2

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
