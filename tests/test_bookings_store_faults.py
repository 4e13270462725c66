"""Tests of bookings during store outages, regressions and with invalid values."""

from typing import Any

import anyio
import anyio.lowlevel

from bronzebeam.outcomes import Answered, NotRun, OutcomeUnknown
from bronzebeam.routing.claims import Bucket
from bronzebeam.routing.idempotency_keys import (
    VALIDITY_WINDOW_SECONDS,
    CallerKey,
    bucket_key,
    parse_key,
)
from bronzebeam.transport.store import StoredValue
from tests.fixtures_bookings import caller_key, open_fleet, run_virtual
from tests.test_bookings_claims import reason_of


def bucket_name(text: str) -> str:
    """Return the store key of the bucket of a caller's key."""
    key = parse_key(text)
    assert isinstance(key, CallerKey)
    return bucket_key(key, environment="test")


def other_key_in_bucket(text: str) -> str:
    """Return another key in the bucket of `text`."""
    others = map(caller_key, range(100, 1000))
    return next(other for other in others if bucket_name(other) == bucket_name(text))


def test_unreadable_bucket_runs_nothing_and_affects_no_other_bucket() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            name = bucket_name(caller_key(1))
            stored: Any
            for stored in ({"format": 2}, {"format": 1}, [], "x"):
                fleet.store.revision += 1
                value = StoredValue(
                    key=name, value=stored, mod_revision=fleet.store.revision
                )
                fleet.store.values[name] = (value, None)
                attempt = await entry.book(caller_key(1))
                assert reason_of(attempt.outcome) == "bucket_unreadable"
                assert isinstance(attempt.outcome, OutcomeUnknown)
            others = [await entry.book(caller_key(number)) for number in range(2, 9)]
            assert any(isinstance(other.outcome, Answered) for other in others)

    run_virtual(main)


def test_claim_given_up_in_an_outage_is_released_after_it() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries

            async def go_down() -> None:
                fleet.store.next_fault = lambda: "late"

            fleet.store.before_write = go_down
            undecided = await first.book(caller_key(1), timeout_seconds=5)
            assert reason_of(undecided.outcome) == "store_unavailable"
            assert isinstance(undecided.outcome, NotRun), "the store showed no claim"
            fleet.store.before_write = anyio.lowlevel.checkpoint
            fleet.store.next_fault = lambda: ""
            await anyio.sleep(20)
            assert isinstance((await second.book(caller_key(1))).outcome, Answered)

    run_virtual(main)


def test_change_to_an_expired_bucket_is_dropped() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            events: list[str] = []
            first, second = fleet.entries
            first.claims._log = lambda name, **_: events.append(name)
            await first.book(caller_key(1))
            fleet.store.down = True
            await anyio.sleep(1)
            fleet.clock.suspended_seconds = 2 * VALIDITY_WINDOW_SECONDS
            fleet.store.down = False
            await anyio.sleep(10)
            assert first.claims.pending_count == 0
            assert fleet.store.reads + fleet.store.writes < 10
            assert fleet.store._current(bucket_name(caller_key(1))) is None
            key = caller_key(2, age_seconds=-fleet.clock.suspended_seconds)
            last = await first.book(key)
            assert isinstance(last.outcome, Answered), (last, events)
            assert events == []

    run_virtual(main)


def test_bucket_with_a_lost_lease_gets_a_new_one() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            await entry.book(caller_key(1))
            await entry.claims.flush()
            values = fleet.store.values
            for name, (stored, _) in list(values.items()):
                values[name] = (stored, None)
            fleet.store.leases.clear()
            booked = await entry.book(other_key_in_bucket(caller_key(1)))
            assert isinstance(booked.outcome, Answered)
            assert list(fleet.store.leases) == ["lease-0"]

    run_virtual(main)


def test_bucket_with_a_short_lease_gets_a_longer_one() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            # A writer that was paused after its lease was granted leaves such a bucket.
            lease_id = await fleet.store.grant_lease(ttl_seconds=60)
            ends_at_seconds = fleet.store.leases[lease_id]
            bucket = Bucket(lease_id=lease_id, lease_ends_at_seconds=ends_at_seconds)
            name = bucket_name(caller_key(1))
            stored = StoredValue(key=name, value=bucket.to_json(), mod_revision=1)
            fleet.store.values[name] = (stored, lease_id)
            fleet.store.revision = 1
            booked = await fleet.entries[0].book(caller_key(1))
            assert isinstance(booked.outcome, Answered)
            assert fleet.store.values[name][1] != lease_id

    run_virtual(main)


def test_bucket_with_an_older_revision_is_not_trusted() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            await entry.book(other_key_in_bucket(caller_key(1)))
            await entry.claims.flush()
            older = dict(fleet.store.values)
            await entry.book(caller_key(1))
            await entry.claims.flush()
            fleet.store.values = older
            await anyio.sleep(1)
            resend = await entry.book(caller_key(1))
            assert reason_of(resend.outcome) == "store_regressed"

    run_virtual(main)


def test_claim_withdrawn_during_a_store_regression_affects_no_other() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            await first.book(caller_key(1))
            await first.claims.flush()
            fleet.store.values.clear()
            fleet.store.revision = 0
            fleet.store.next_fault = lambda: "held"
            await anyio.sleep(1)
            key = other_key_in_bucket(caller_key(1))
            await first.book(key, timeout_seconds=0.1)
            await anyio.sleep(1)
            fleet.store.next_fault = lambda: ""
            last = await first.book(caller_key(3), timeout_seconds=5)
            assert reason_of(last.outcome) == "store_regressed"

    run_virtual(main)


def test_key_claimed_by_another_attempt_is_not_reported_as_not_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            ran = await first.book(caller_key(1))
            assert isinstance(ran.outcome, Answered)

            async def go_down() -> None:
                fleet.store.down = True

            # The resend is in one batch with the other key's claim. The store returns
            # the bucket with the first attempt's claim and then goes down.
            fleet.store.before_write = go_down
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(second.book, ran.key)
                tasks.start_soon(second.book, other_key_in_bucket(ran.key))
            attempts = fleet.backend.attempts[1:]
            resend, neighbour = sorted(attempts, key=lambda a: a.key != ran.key)
            assert isinstance(resend.outcome, OutcomeUnknown)
            assert isinstance(neighbour.outcome, NotRun)

    run_virtual(main)
