"""
Sends bookings while entries are killed or paused and the store fails.

No booking may run twice, and none that was answered may be lost.
"""

import random
import signal
import time
from typing import Any, Final

import anyio
from attrs import define, field

from bronzebeam.bench.documents import BOOK_PATH, rig_document
from bronzebeam.bench.figures import Figure
from bronzebeam.bench.load import Caller, CallerResponse, OpenLoop, new_idempotency_key
from bronzebeam.bench.rig import Rig, RigSpec, running_rig

ENTRIES: Final = 3
RATE_PER_SECOND: Final = 25.0
LOAD_SECONDS: Final = 7.0
DEADLINE_MS: Final = 800
MAX_ATTEMPTS: Final = 6
MAX_RETRY_DELAY_SECONDS: Final = 0.6
OUTAGE_SECONDS: Final = 1.5
FREEZE_SECONDS: Final = 1.0


@define(kw_only=True)
class _Booking:
    """
    One booking that a caller sends until it is answered.

    :ivar keys: idempotency keys that it was sent with; a new one only after `not_run`.
    """

    keys: list[str]
    answers: list[CallerResponse] = field(factory=list)

    @property
    def is_answered(self) -> bool:
        return any(item.outcome == "answered" for item in self.answers)


async def run() -> list[Figure]:
    """Send each booking until it is answered, and count how often it ran."""
    spec = RigSpec(
        document=rig_document(shard_count=1, entry_count=ENTRIES, overlapping_count=3),
        entry_count=ENTRIES,
        backend_process_count=1,
        backend_arguments=("--service-ms", "3"),
    )
    bookings: list[_Booking] = []
    async with running_rig(spec) as rig:
        async with anyio.create_task_group() as group:
            group.start_soon(_inject_faults, rig)
            await _send_all(rig, bookings)
        history = await rig.fetch_backend_reports()
    runs = _runs_by_key(history)
    return _figures(bookings, runs)


async def _send_all(rig: Rig, bookings: list[_Booking]) -> None:
    rng = random.Random(1)
    caller = Caller(addresses=lambda: [entry.caller_address for entry in rig.entries])

    async def send(number: int, due: float) -> CallerResponse:
        key = new_idempotency_key(now_ms=time.time_ns() // 1_000_000, rng=rng)
        booking = _Booking(keys=[key])
        bookings.append(booking)
        await _send_until_answered(caller, booking, number)
        return booking.answers[-1]

    await OpenLoop(
        rate_per_second=RATE_PER_SECOND,
        duration_seconds=LOAD_SECONDS,
        send_request=send,
    ).run()


async def _send_until_answered(caller: Caller, booking: _Booking, number: int) -> None:
    """Send a booking, and resend it as its answers ask for."""
    for _ in range(MAX_ATTEMPTS):
        answer = await caller.post(
            BOOK_PATH,
            {"guest": number},
            deadline_ms=DEADLINE_MS,
            key=booking.keys[-1],
            attempt=1 + sum(item.key == booking.keys[-1] for item in booking.answers),
        )
        booking.answers.append(answer)
        if answer.outcome == "answered":
            return
        offered = answer.body.get("offered_key")
        if answer.outcome == "not_run" and offered and len(booking.keys) == 1:
            booking.keys.append(offered)
            continue
        wait_seconds = (answer.body.get("retry_after_ms") or 100) / 1000
        await anyio.sleep(min(wait_seconds, MAX_RETRY_DELAY_SECONDS))


async def _inject_faults(rig: Rig) -> None:
    await anyio.sleep(1.0)
    await _set_store_faults(rig, drop_write_replies=5)
    killed = rig.entries[0]
    killed.process.kill()
    rig.entries.remove(killed)
    await rig.start_entry()
    await anyio.sleep(0.7)
    frozen = rig.entries[0].process
    frozen.send_signal(signal.SIGSTOP)
    await anyio.sleep(FREEZE_SECONDS)
    frozen.send_signal(signal.SIGCONT)
    await _set_store_faults(rig, refuse_all=True)
    await anyio.sleep(OUTAGE_SECONDS)
    await _set_store_faults(rig, refuse_all=False)


async def _set_store_faults(rig: Rig, **faults: Any) -> None:
    reply = await rig.client.post(f"{rig.store_url}/faults", json=faults)
    reply.raise_for_status()


def _runs_by_key(history: dict[str, Any]) -> dict[str, int]:
    runs: dict[str, int] = {}
    for report in history.values():
        for row in report["runs"] if report else ():
            if row["key"]:
                runs[row["key"]] = runs.get(row["key"], 0) + 1
    return runs


def _figures(bookings: list[_Booking], runs: dict[str, int]) -> list[Figure]:
    counts = [sum(runs.get(key, 0) for key in item.keys) for item in bookings]
    doubled = sum(count > 1 for count in counts)
    lost = sum(item.is_answered and not n for item, n in zip(bookings, counts))
    false_not_run = sum(map(_is_false_not_run, bookings, [runs] * len(bookings)))
    answered = sum(item.is_answered for item in bookings)
    return [
        Figure(name="bookings_sent", value=len(bookings), unit="bookings"),
        Figure(name="bookings_answered", value=answered, unit="bookings"),
        Figure(name="bookings_doubled", value=doubled, unit="bookings", bound=0),
        Figure(name="bookings_lost", value=lost, unit="bookings", bound=0),
        Figure(
            name="bookings_false_not_run", value=false_not_run, unit="bookings", bound=0
        ),
    ]


def _is_false_not_run(booking: _Booking, runs: dict[str, int]) -> bool:
    """Return whether the last answer for a key was `not_run` although it ran."""
    last = {answer.key: answer for answer in booking.answers}
    return any(
        answer.outcome == "not_run" and runs.get(key or "", 0) > 0
        for key, answer in last.items()
    )
