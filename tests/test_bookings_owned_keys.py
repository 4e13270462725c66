"""Tests that owner-bound keys run at most once, without the store."""

import anyio

from bronzebeam.controllers.owned_keys import OWNED_KEY_LIFETIME_SECONDS, OwnedKeys
from bronzebeam.outcomes import Answered, NotRun, OutcomeUnknown
from tests.fixtures_booking_store import VirtualClock
from tests.fixtures_bookings import Entry, caller_key, open_fleet, run_virtual
from tests.test_bookings_claims import reason_of


def mint(entry: Entry) -> str:
    """Mint a key at `entry`."""
    key = entry.owned_keys.mint()
    assert key is not None
    return key


def test_owned_key_runs_once_without_the_store_through_any_entry() -> None:
    async def main() -> None:
        async with open_fleet(entries=3) as fleet:
            fleet.store.down = True
            key = mint(fleet.entries[0])
            async with anyio.create_task_group() as tasks:
                for entry in fleet.entries * 3:
                    tasks.start_soon(entry.book, key)
            for entry in fleet.entries:
                resend = await entry.book(key)
                assert resend.outcome == Answered(result={"booking": 1})
            assert fleet.store.reads + fleet.store.writes == 0

    run_virtual(main)


def test_owned_key_of_a_lost_owner_is_never_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner, other = fleet.entries
            key = mint(owner)
            owner.kill()
            attempt = await other.book(key)
            assert isinstance(attempt.outcome, OutcomeUnknown)
            assert reason_of(attempt.outcome) == "owner_unreachable"
            replacement = fleet.add_entry()
            assert isinstance((await replacement.book(key)).outcome, OutcomeUnknown)

    run_virtual(main)


def test_owned_key_with_another_payload_or_secret_is_not_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner, other = fleet.entries
            key = mint(owner)
            forged = key[:-1] + ("0" if key[-1] != "0" else "1")
            assert reason_of((await owner.book(forged)).outcome) == "key_unknown"
            await owner.book(key)
            reused = await other.book(key, payload="cushion")
            assert reason_of(reused.outcome) == "key_reused"

    run_virtual(main)


def test_owned_key_refused_by_the_backend_server_may_run_later() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner, other = fleet.entries
            key = mint(owner)
            fleet.backend.next_behaviour = lambda: "refuse"
            assert reason_of((await owner.book(key)).outcome) == "backend_refused"
            fleet.backend.next_behaviour = lambda: "answer"
            reused = await owner.book(key, payload="cushion")
            assert reason_of(reused.outcome) == "key_reused"
            assert isinstance((await other.book(key)).outcome, Answered)

    run_virtual(main)


def test_owned_key_interrupted_while_running_is_not_run_again() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            key = mint(fleet.entries[0])
            with anyio.move_on_after(0.01):
                await fleet.entries[0].book(key)
            resend = await fleet.entries[1].book(key)
            assert reason_of(resend.outcome) == "attempt_interrupted"

    run_virtual(main)


def test_owned_key_expires_and_is_void_once_its_owner_closes() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner = fleet.entries[0]
            key, spare = mint(owner), mint(owner)
            ran = await owner.book(key)
            await anyio.sleep(OWNED_KEY_LIFETIME_SECONDS)
            assert reason_of((await owner.book(spare)).outcome) == "key_expired"
            last = mint(owner)
            assert reason_of((await owner.book(spare)).outcome) == "key_unknown"
            owner.owned_keys.close()
            assert owner.owned_keys.mint() is None
            assert reason_of((await owner.book(last)).outcome) == "owner_leaving"
            assert (await owner.book(key)).outcome == ran.outcome

    run_virtual(main)


def test_minted_keys_and_stored_outcomes_are_limited() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner = fleet.entries[0]
            owner.owned_keys = owner.filter._owned_keys = OwnedKeys(
                incarnation="entry-0",
                clock=VirtualClock(),
                max_unspent_keys=3,
                max_spent_keys=2,
            )
            keys = [owner.owned_keys.mint() for _ in range(4)]
            assert keys[3] is None
            for key in keys[:3]:
                assert key is not None
                assert isinstance((await owner.book(key)).outcome, Answered)
            assert reason_of((await owner.book(str(keys[0]))).outcome) == "key_unknown"

    run_virtual(main)


def test_outage_offers_an_owned_key_only_if_nothing_can_have_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner, other = fleet.entries
            fleet.store.down = True
            resend = await owner.book(caller_key(1))
            assert isinstance(resend.outcome, OutcomeUnknown)
            owner.filter._is_first_attempt = lambda request: True
            first = await owner.book(caller_key(2))
            assert isinstance(first.outcome, NotRun)
            assert first.outcome.retry_after_ms
            offered = first.outcome.extra["offered_key"]
            assert isinstance((await other.book(offered)).outcome, Answered)

    run_virtual(main)


def test_missing_and_malformed_keys_are_not_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            for key in ("", "1", "bbk1.x.1.2.3", caller_key(1).replace("-7", "-4", 1)):
                attempt = await entry.book(key)
                assert reason_of(attempt.outcome) == "key_malformed"
            ahead = await entry.book(caller_key(1, age_seconds=-400))
            assert reason_of(ahead.outcome) == "key_ahead"
            assert isinstance(ahead.outcome, NotRun)
            ahead = await entry.book(caller_key(1, age_seconds=-330))
            assert isinstance(ahead.outcome, OutcomeUnknown)

    run_virtual(main)
