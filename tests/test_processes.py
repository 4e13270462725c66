"""End-to-end test of entries and stand-ins in separate processes on loopback."""

import os
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from bronzebeam.bench.documents import BOOK_PATH, FIND_PATH, SEARCH_PATH, rig_document
from bronzebeam.bench.load import Caller, new_idempotency_key
from bronzebeam.bench.rig import Rig, RigSpec, running_rig
from bronzebeam.invariants import STRICT_VARIABLE

SHARDS = 4
DEADLINE_MS = 5_000
SHUTDOWN_TIMEOUT_SECONDS = 20.0


def _run_with_rig(use: Callable[[Rig, Caller], Awaitable[None]]) -> None:
    async def main() -> None:
        spec = RigSpec(
            document=rig_document(shard_count=SHARDS), backend_process_count=1
        )
        async with running_rig(spec) as rig:
            entries = rig.entries
            caller = Caller(addresses=lambda: [e.caller_address for e in entries])
            await use(rig, caller)

    os.environ[STRICT_VARIABLE] = "1"
    try:
        anyio.run(main)
    finally:
        del os.environ[STRICT_VARIABLE]


def test_search_call_booking_and_shutdown_in_separate_processes() -> None:
    async def use(rig: Rig, caller: Caller) -> None:
        search = await caller.post(SEARCH_PATH, {"q": 1}, deadline_ms=DEADLINE_MS)
        assert search.is_complete, search.body
        assert search.body["coverage"]["included"] == list(range(SHARDS))
        find = await caller.post(FIND_PATH, {"q": 1}, deadline_ms=DEADLINE_MS)
        assert find.outcome == "answered", find.body
        key = new_idempotency_key(
            now_ms=time.time_ns() // 1_000_000, rng=random.Random()
        )
        for _ in range(3):
            booking = await caller.post(
                BOOK_PATH, {"guest": 1}, deadline_ms=DEADLINE_MS, key=key
            )
            assert booking.outcome in ("answered", "outcome_unknown"), booking.body
        reports = await rig.fetch_backend_reports()
        rows = [row for report in reports.values() for row in report["runs"]]
        assert sum(row["key"] == key for row in rows) == 1
        await _check_metrics(rig)
        await _check_shutdown(rig)

    _run_with_rig(use)


async def _check_metrics(rig: Rig) -> None:
    for entry in rig.entries:
        reply = await rig.client.get(f"http://{entry.peer_address}/metrics")
        values = dict(line.rsplit(" ", 1) for line in reply.text.splitlines())
        assert float(values["bronzebeam_configuration_revision"]) == 1
        assert float(values["bronzebeam_members_count"]) == len(rig.entries)
        assert float(values["bronzebeam_invariant_violations_count"]) == 0
        connections_metric = (
            'bronzebeam_backend_connections_count{service="guest-search"}'
        )
        assert float(values[connections_metric]) >= SHARDS * 2


async def _check_shutdown(rig: Rig) -> None:
    """Check that the entries use no io_uring and shut down with exit code 0."""
    for entry in rig.entries:
        descriptors = Path(f"/proc/{entry.process.pid}/fd")
        targets = [os.readlink(item) for item in descriptors.iterdir()]
        assert not any("io_uring" in target for target in targets), targets
        entry.process.send_signal(signal.SIGTERM)
    with anyio.fail_after(SHUTDOWN_TIMEOUT_SECONDS):
        while any(entry.process.is_running for entry in rig.entries):
            await anyio.sleep(0.05)
    assert [entry.process.exit_code for entry in rig.entries] == [0, 0]
