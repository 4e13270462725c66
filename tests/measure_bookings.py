"""Measure the store calls, latency and CPU time of bookings.

Run as `python -m tests.measure_bookings`. Arrivals, store and entries run in virtual
time, so counts and latencies do not depend on the machine. The CPU time is that of
this process, which runs all entries, the store and the backend server.
"""

import json
import random
import sys
import time
from collections import Counter

import anyio

from bronzebeam.controllers import claim_buckets
from bronzebeam.outcomes import Answered
from tests.fixtures_bookings import (
    BACKEND_SECONDS,
    Entry,
    Fleet,
    caller_key,
    open_fleet,
    run_virtual,
)

RATES_PER_SECOND = (10, 50, 100, 200, 400)
ENTRY_COUNTS = (8, 32)
MEASURED_SECONDS = 10
OUTAGE_SECONDS = 3600
OUTAGE_RATE_PER_SECOND = 5


async def send_bookings(fleet: Fleet, rate_per_second: int) -> None:
    """Send bookings as a Poisson process through randomly chosen entries."""
    rng = random.Random(rate_per_second)
    async with anyio.create_task_group() as tasks:
        for number in range(rate_per_second * MEASURED_SECONDS):
            await anyio.sleep(rng.expovariate(rate_per_second))
            age_seconds = -anyio.current_time()
            key = caller_key(number, age_seconds=age_seconds)
            tasks.start_soon(book_timed, fleet, rng.choice(fleet.entries), key)


async def book_timed(fleet: Fleet, entry: Entry, key: str) -> None:
    """Send a booking and record how long its claim took."""
    started_at_seconds = anyio.current_time()
    attempt = await entry.book(key, timeout_seconds=5.0)
    elapsed_seconds = anyio.current_time() - started_at_seconds - BACKEND_SECONDS
    CLAIM_SECONDS.append(elapsed_seconds)
    ANSWERED.append(isinstance(attempt.outcome, Answered))


CLAIM_SECONDS: list[float] = []
ANSWERED: list[bool] = []


def measure(entry_count: int, rate_per_second: int) -> dict[str, float]:
    """Measure one configuration and return its figures."""
    CLAIM_SECONDS.clear()
    ANSWERED.clear()
    calls: dict[str, float] = {}

    async def main() -> None:
        async with open_fleet(entries=entry_count) as fleet:
            await send_bookings(fleet, rate_per_second)
            for entry in fleet.entries:
                await entry.claims.flush()
            calls["writes"] = fleet.store.writes
            calls["applied"] = fleet.store.revision
            calls["reads"] = fleet.store.reads

    started_seconds = time.process_time()
    run_virtual(main)
    cpu_seconds = time.process_time() - started_seconds
    bookings = len(ANSWERED)
    latencies_ms = sorted(1000 * seconds for seconds in CLAIM_SECONDS)
    return {
        "entries": entry_count,
        "bookings_per_second": rate_per_second,
        "answered_share": round(sum(ANSWERED) / bookings, 4),
        "writes_per_booking": round(calls["writes"] / bookings, 2),
        "conflicts_per_booking": round(
            (calls["writes"] - calls["applied"]) / bookings, 2
        ),
        "reads_per_booking": round(calls["reads"] / bookings, 2),
        "store_writes_per_second": round(calls["writes"] / MEASURED_SECONDS),
        "claim_p50_ms": round(latencies_ms[bookings // 2], 1),
        "claim_p99_ms": round(latencies_ms[bookings * 99 // 100], 1),
        "cpu_ms_per_booking": round(1000 * cpu_seconds / bookings, 2),
    }


def measure_outage(*, ask_ahead: bool) -> dict[str, object]:
    """
    Measure bookings while the store is down and an entry is replaced each minute.

    :param ask_ahead: callers request an owner-bound key from an entry first.
    """
    tags: Counter[str] = Counter()

    async def main() -> None:
        chooser = random.Random(1)
        async with open_fleet(entries=8) as fleet:
            fleet.store.down = True
            live_entries = list(fleet.entries)

            async def book_once(number: int) -> None:
                owned = (
                    chooser.choice(live_entries).owned_keys.mint()
                    if ask_ahead
                    else None
                )
                key = owned or caller_key(number, age_seconds=-anyio.current_time())
                await anyio.sleep(chooser.random())
                attempt = await chooser.choice(live_entries).book(key)
                tags[attempt.outcome.tag if attempt.outcome else "no_reply"] += 1

            async with anyio.create_task_group() as tasks:
                for number in range(OUTAGE_SECONDS * OUTAGE_RATE_PER_SECOND):
                    await anyio.sleep(1 / OUTAGE_RATE_PER_SECOND)
                    tasks.start_soon(book_once, number)
                    if number % (60 * OUTAGE_RATE_PER_SECOND) == 0:
                        live_entries.pop(0).kill()
                        live_entries.append(fleet.add_entry())

    run_virtual(main)
    return {"outage_seconds": OUTAGE_SECONDS, "ask_ahead": ask_ahead, **tags}


def main() -> None:
    """Print one JSON object for each configuration."""
    if len(sys.argv) == 3:
        claim_buckets.CLAIM_BATCH_SECONDS = float(sys.argv[1])  # type: ignore[misc]
        claim_buckets.RECORD_BATCH_SECONDS = float(sys.argv[2])  # type: ignore[misc]
    for entry_count in ENTRY_COUNTS:
        for rate_per_second in RATES_PER_SECOND:
            print(json.dumps(measure(entry_count, rate_per_second)), flush=True)
    for ask_ahead in (False, True):
        print(json.dumps(measure_outage(ask_ahead=ask_ahead)), flush=True)


if __name__ == "__main__":
    main()
