"""Tests of bookings across pauses, suspensions and the expiry of their keys."""

import anyio
import anyio.lowlevel

from bronzebeam.outcomes import Answered, OutcomeUnknown
from bronzebeam.routing.idempotency_keys import VALIDITY_WINDOW_SECONDS
from tests.fixtures_bookings import caller_key, open_fleet, run_virtual
from tests.test_bookings_claims import reason_of


def test_resend_after_key_expiry_is_not_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            await first.book(caller_key(1))
            await anyio.sleep(VALIDITY_WINDOW_SECONDS - 10)
            resend = await second.book(caller_key(1))
            assert isinstance(resend.outcome, Answered)
            await anyio.sleep(20)
            late = await second.book(caller_key(1))
            assert reason_of(late.outcome) == "key_expired"
            assert isinstance(late.outcome, OutcomeUnknown)
            await anyio.sleep(4 * 3600)
            await first.book(caller_key(2, age_seconds=-100_000))
            assert len(fleet.store.values) <= 1, "the bucket has been deleted"

    run_virtual(main)


def test_every_bucket_of_a_long_running_entry_outlives_its_keys() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            for number in range(5):
                age_seconds = -anyio.current_time()
                key = caller_key(number, age_seconds=age_seconds)
                booked = await fleet.entries[0].book(key)
                assert isinstance(booked.outcome, Answered)
                await anyio.sleep(1800)
            assert 1 < len(fleet.store.leases) < 5, "a lease serves about an hour"

    run_virtual(main)


def test_attempt_suspended_before_its_claim_is_stored_does_not_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries

            async def suspend_while_a_resend_runs() -> None:
                fleet.store.before_write = anyio.lowlevel.checkpoint
                resend = await second.book(caller_key(1))
                assert isinstance(resend.outcome, Answered)
                await anyio.sleep(1)
                fleet.clock.suspended_seconds = VALIDITY_WINDOW_SECONDS + 4 * 3600

            fleet.store.before_write = suspend_while_a_resend_runs
            late = await first.book(caller_key(1), timeout_seconds=5)
            assert fleet.clock.suspended_seconds
            assert reason_of(late.outcome) == "key_expired"

    run_virtual(main)


def test_expired_bucket_does_not_prove_that_the_key_never_ran() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            await second.book(caller_key(1))
            await second.claims.flush()

            async def take_away_the_store() -> None:
                fleet.store.down = True

            async def suspend() -> None:
                await anyio.sleep(0.003)
                fleet.clock.suspended_seconds = VALIDITY_WINDOW_SECONDS + 4 * 3600

            fleet.store.before_write = take_away_the_store
            fleet.tasks.start_soon(suspend)
            late = await first.book(caller_key(1))
            assert fleet.store.down, "the read showed no claim"
            assert reason_of(late.outcome) == "key_expired"
            assert isinstance(late.outcome, OutcomeUnknown)

    run_virtual(main)


def test_logs_name_the_key_without_its_secret() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            events: list[dict[str, object]] = []
            entry = fleet.entries[0]
            entry.filter._log = lambda name, **fields: events.append(fields)
            fleet.backend.next_behaviour = lambda: "refuse"
            owned = entry.owned_keys.mint()
            assert owned
            for key in (owned, caller_key(1), "nonsense"):
                await entry.book(key)
            keys = [event["key"] for event in events]
            assert keys == ["bbk1.entry-0.1", caller_key(1), "malformed"]

    run_virtual(main)


def test_attempt_past_its_deadline_after_the_claim_is_not_sent() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            first.filter._is_past_deadline = (  # type: ignore[method-assign]
                lambda request: True
            )
            late = await first.book(caller_key(1))
            assert reason_of(late.outcome) == "deadline_exceeded"
            await anyio.sleep(1)
            resend = await second.book(caller_key(1))
            assert isinstance(resend.outcome, Answered)

    run_virtual(main)
