"""Tests that bookings with caller-minted keys run at most once."""

import anyio
import trio

from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown
from tests.fixtures_booking_history import Attempt, check_history
from tests.fixtures_bookings import (
    Entry,
    caller_key,
    open_fleet,
    run_virtual,
)

MAX_STEPS = 400


def reason_of(outcome: Outcome | None) -> str:
    """Return the reason of an outcome that has one."""
    assert isinstance(outcome, NotRun | OutcomeUnknown), outcome
    return outcome.reason


def test_concurrent_resends_through_all_entries_run_once() -> None:
    for seed in range(10):
        run_virtual(resend_concurrently, seed=seed)


async def resend_concurrently() -> None:
    async with open_fleet(entries=4) as fleet:
        async with anyio.create_task_group() as tasks:
            for entry in fleet.entries * 3:
                tasks.start_soon(entry.book, caller_key(1))
        outcomes = [attempt.outcome for attempt in fleet.backend.attempts]
        assert any(isinstance(item, Answered) for item in outcomes)
        await anyio.sleep(1)
        for entry in fleet.entries:
            resend = await entry.book(caller_key(1))
            assert resend.outcome == Answered(result={"booking": 1})


def test_key_with_another_payload_is_refused() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            await first.book(caller_key(1))
            other = await second.book(caller_key(1), payload="cushion")
            assert reason_of(other.outcome) == "key_reused"
            assert isinstance(other.outcome, NotRun)
            assert other.ran_at_seconds == []

    run_virtual(main)


def test_resend_runs_after_the_backend_server_reported_not_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            fleet.backend.next_behaviour = lambda: "refuse"
            refused = await first.book(caller_key(1))
            assert reason_of(refused.outcome) == "backend_refused"
            fleet.backend.next_behaviour = lambda: "answer"
            resend = await second.book(caller_key(1))
            assert isinstance(resend.outcome, Answered)

    run_virtual(main)


def test_booking_with_a_lost_reply_is_not_run_again() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            fleet.backend.next_behaviour = lambda: "lose"
            await first.book(caller_key(1))
            fleet.backend.next_behaviour = lambda: "answer"
            await anyio.sleep(1)
            resend = await second.book(caller_key(1))
            assert reason_of(resend.outcome) == "connection_lost"

    run_virtual(main)


def test_booking_runs_once_whichever_store_call_fails() -> None:
    for fault in ("down", "lost", "late", "slow", "held"):
        for faulty_call in range(5):
            run_virtual(lambda: resend_after_fault(fault, faulty_call))


async def resend_after_fault(fault: str, faulty_call: int) -> None:
    calls = iter(range(1000))
    async with open_fleet() as fleet:
        first, second = fleet.entries
        fleet.store.next_fault = lambda: fault if next(calls) == faulty_call else ""
        await first.book(caller_key(1), timeout_seconds=0.15)
        await second.book(caller_key(1))
        await anyio.sleep(10)
        last = await second.book(caller_key(1))
        assert isinstance(last.outcome, Answered), (fault, faulty_call, last)


def test_booking_runs_once_if_the_claiming_entry_is_killed_at_any_step() -> None:
    for seed in range(4):
        killed_count = 0
        for step in range(MAX_STEPS):
            instrument = KillAtStep(step)
            run_virtual(lambda: resend_after_kill(instrument), instrument, seed=seed)
            if not instrument.done:
                break
            killed_count += 1
        assert 15 < killed_count < MAX_STEPS, killed_count


class KillAtStep(trio.abc.Instrument):
    """Kills an entry before the n-th task step."""

    def __init__(self, step: int) -> None:
        self.steps_left = step
        self.entry: Entry | None = None
        self.done = False

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        if self.entry is None or self.done:
            return
        self.steps_left -= 1
        if self.steps_left < 0:
            self.done = True
            self.entry.kill()


async def resend_after_kill(killer: KillAtStep) -> None:
    async with open_fleet() as fleet:
        first, second = fleet.entries
        killer.entry = first
        await first.book(caller_key(1))
        await anyio.sleep(0.2)
        killer.entry = None
        await second.book(caller_key(1))
        await anyio.sleep(5)
        await second.book(caller_key(1))
        await fleet.add_entry().book(caller_key(1))


def test_cancelled_attempt_never_blocks_the_key_unless_it_was_sent() -> None:
    for delay_ms in range(1, 40):
        run_virtual(lambda: resend_after_cancel(delay_ms / 1000))


async def resend_after_cancel(delay_seconds: float) -> None:
    async with open_fleet() as fleet:
        first, second = fleet.entries
        with anyio.move_on_after(delay_seconds):
            await first.book(caller_key(1))
        attempt = fleet.backend.attempts[0]
        cut_off = attempt.outcome is None and bool(attempt.ran_at_seconds)
        await anyio.sleep(1)
        resend = await second.book(caller_key(1))
        assert isinstance(resend.outcome, OutcomeUnknown if cut_off else Answered)


def test_nothing_runs_twice_in_an_hour_long_store_outage() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            ran = await first.book(caller_key(1))
            fleet.store.down = True
            resend = await second.book(caller_key(1))
            assert isinstance(resend.outcome, OutcomeUnknown)
            assert reason_of(resend.outcome) == "store_unavailable"
            for number in range(2, 62):
                await second.book(caller_key(number))
                await anyio.sleep(60)
            calls = fleet.store.writes + fleet.store.reads
            assert calls < 1000, "one call in 5 s for a record and one for a claim"
            fleet.store.down = False
            await anyio.sleep(6)
            resend = await second.book(caller_key(1))
            assert resend.outcome == ran.outcome
            again = await second.book(caller_key(5))
            assert isinstance(again.outcome, Answered)

    run_virtual(main)


def test_nothing_runs_twice_after_the_store_is_restored_from_an_older_state() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            for number in range(16):
                await first.book(caller_key(number))
            await anyio.sleep(1)
            await second.book(caller_key(20))
            fleet.store.values.clear()
            fleet.store.revision = 0
            for number in range(16):
                resend = await second.book(caller_key(number))
                if not isinstance(resend.outcome, Answered):
                    assert reason_of(resend.outcome) == "store_regressed"

    run_virtual(main)


def test_checker_detects_injected_faults() -> None:
    twice = Attempt(key="a", payload="p", sent_at_seconds=0, ran_at_seconds=[1, 2])
    ran = Attempt(key="a", payload="p", sent_at_seconds=0, ran_at_seconds=[1])
    denied = Attempt(key="a", payload="p", sent_at_seconds=2)
    denied.outcome = NotRun(reason="r")
    for history in ([twice], [ran, denied]):
        try:
            check_history(history)
        except AssertionError:
            continue
        raise AssertionError("the fault was not found")
