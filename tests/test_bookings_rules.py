"""Rules of claims, keys and buckets, one by one."""

from typing import Any

import anyio

from bronzebeam.controllers.owned_keys import OwnedKeys
from bronzebeam.outcomes import Answered, NotRun, OutcomeUnknown
from bronzebeam.routing.claims import (
    BUCKET_CLAIM_LIMIT,
    Bucket,
    BucketFull,
    ClaimChange,
    ClaimDecision,
    Held,
    InProgress,
    RecordOutcome,
    ReleaseClaim,
    TakeClaim,
    apply_changes,
    parse_bucket,
)
from bronzebeam.routing.idempotency_keys import (
    VALIDITY_WINDOW_SECONDS,
    CallerKey,
    bucket_key,
    parse_key,
)
from bronzebeam.routing.recorded_outcomes import (
    RECORDED_RESULT_BYTES,
    RESULT_NOT_KEPT,
    encode_outcome,
)
from tests.fixtures_booking_store import World
from tests.fixtures_bookings import Entry, caller_key, open_fleet, run_virtual
from tests.test_bookings_claims import reason_of


def take(nonce: str, key: str = "k") -> TakeClaim:
    """Return a claim by the attempt `nonce`."""
    return TakeClaim(key=key, fingerprint="f", nonce=nonce, incarnation="i")


def release(nonce: str) -> ReleaseClaim:
    """Return a release by the attempt `nonce`."""
    return ReleaseClaim(key="k", fingerprint="f", nonce=nonce, incarnation="i")


def record(nonce: str) -> RecordOutcome:
    """Return a record by the attempt `nonce`."""
    return RecordOutcome(
        key="k", fingerprint="f", nonce=nonce, incarnation="i", outcome={"tag": nonce}
    )


def apply_in_turn(*changes: ClaimChange) -> tuple[Bucket, list[ClaimDecision]]:
    """Apply `changes` one write at a time, through the stored form."""
    bucket = Bucket()
    decisions: list[ClaimDecision] = []
    for change in changes:
        bucket, decided = apply_changes(parse_bucket(bucket.to_json()), [change])
        decisions += decided
    return bucket, decisions


def bucket_of(text: str) -> str:
    """Return the bucket of a caller's key."""
    key = parse_key(text)
    assert isinstance(key, CallerKey)
    return bucket_key(key, environment="test")


def neighbour_of(text: str) -> str:
    """Return another key in the bucket of `text`."""
    others = map(caller_key, range(100, 1000))
    return next(other for other in others if bucket_of(other) == bucket_of(text))


def test_only_its_own_attempt_settles_a_claim() -> None:
    for change in (release("b"), record("b")):
        bucket, decisions = apply_in_turn(take("a"), change, take("c"))
        assert decisions[2] == InProgress()
        assert bucket.claims["k"].nonce == "a"


def test_released_attempt_never_claims_again() -> None:
    _, decisions = apply_in_turn(take("a"), release("a"), take("a"), take("b"))
    assert decisions[2:] == [InProgress(), Held()]


def test_full_bucket_takes_no_new_key_but_knows_its_own() -> None:
    changes = [take("a", key=f"k{number}") for number in range(BUCKET_CLAIM_LIMIT)]
    bucket, _ = apply_changes(Bucket(), changes)
    _, decisions = apply_changes(bucket, [take("b"), take("a", key="k0")])
    assert decisions == (BucketFull(), Held())


def test_spellings_of_one_key_are_one_key() -> None:
    text = caller_key(0xABCDEF)
    assert parse_key(text) == parse_key(text.upper()) is not None


def test_large_and_odd_results_are_not_kept() -> None:
    for result in ("x" * RECORDED_RESULT_BYTES, {"odd": object()}):
        assert encode_outcome(Answered(result=result))["result"] == RESULT_NOT_KEPT


def test_unreadable_bucket_runs_nothing_and_harms_no_other() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            name = bucket_of(caller_key(1))
            stored: Any
            for stored in ({"format": 2}, {"format": 1}, [], "x"):
                await fleet.store.compare_and_swap(
                    key=name, value=stored, expected=fleet.store.revision
                )
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
            given_up = await first.book(caller_key(1), timeout_seconds=5)
            assert reason_of(given_up.outcome) == "store_unavailable"
            assert isinstance(given_up.outcome, NotRun), "the store showed no claim"
            fleet.store.before_write = anyio.lowlevel.checkpoint
            fleet.store.next_fault = lambda: ""
            await anyio.sleep(20)
            assert isinstance((await second.book(caller_key(1))).outcome, Answered)

    run_virtual(main)


def test_change_of_a_lapsed_bucket_is_dropped() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            events: list[str] = []
            first, second = fleet.entries
            first.claims._log = lambda name, **_: events.append(name)
            await first.book(caller_key(1))
            fleet.store.down = True
            await anyio.sleep(1)
            fleet.world.suspended_seconds = 2 * VALIDITY_WINDOW_SECONDS
            fleet.store.down = False
            await anyio.sleep(10)
            assert first.claims.pending_count == 0
            assert fleet.store.reads + fleet.store.writes < 10
            assert fleet.store._current(bucket_of(caller_key(1))) is None
            key = caller_key(2, age_seconds=-fleet.world.suspended_seconds)
            last = await first.book(key)
            assert isinstance(last.outcome, Answered), (last, events)
            assert events == []

    run_virtual(main)


def test_bucket_older_than_seen_before_is_not_trusted() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            await entry.book(neighbour_of(caller_key(1)))
            await entry.claims.flush()
            older = dict(fleet.store.values)
            await entry.book(caller_key(1))
            await entry.claims.flush()
            fleet.store.values = older
            await anyio.sleep(1)
            resend = await entry.book(caller_key(1))
            assert reason_of(resend.outcome) == "store_regressed"

    run_virtual(main)


def test_claim_withdrawn_while_the_store_regresses_harms_no_other() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            await first.book(caller_key(1))
            await first.claims.flush()
            fleet.store.values.clear()
            fleet.store.revision = 0
            fleet.store.next_fault = lambda: "held"
            key = neighbour_of(caller_key(1))
            await first.book(key, timeout_seconds=0.1)
            await anyio.sleep(1)
            fleet.store.next_fault = lambda: ""
            last = await first.book(caller_key(3), timeout_seconds=5)
            assert reason_of(last.outcome) == "store_regressed"

    run_virtual(main)


def test_key_seen_claimed_by_another_attempt_is_not_called_not_run() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            first, second = fleet.entries
            ran = await first.book(caller_key(1))
            assert isinstance(ran.outcome, Answered)

            async def go_down() -> None:
                fleet.store.down = True

            # The other key's write takes the resend into the same batch; the store
            # shows the claim of the first attempt and then goes down.
            fleet.store.before_write = go_down
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(second.book, ran.key)
                tasks.start_soon(second.book, neighbour_of(ran.key))
            attempts = fleet.backend.attempts[1:]
            resend, neighbour = sorted(attempts, key=lambda a: a.key != ran.key)
            assert isinstance(resend.outcome, OutcomeUnknown)
            assert isinstance(neighbour.outcome, NotRun)

    run_virtual(main)


def test_claims_are_given_up_at_once_while_the_store_is_down() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            fleet.store.down = True
            await entry.book(caller_key(1), timeout_seconds=5)
            started = anyio.current_time()
            for number in range(20):
                await entry.book(caller_key(number), timeout_seconds=5)
            assert anyio.current_time() - started < 0.1
            assert fleet.store.reads < 5

    run_virtual(main)


def test_key_in_progress_is_never_forgotten_by_its_owner() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner = fleet.entries[0]
            owner.owned_keys = owner.filter._owned_keys = OwnedKeys(
                incarnation="entry-0", clock=World(), spent_limit=1
            )
            first, second = owner.owned_keys.mint(), owner.owned_keys.mint()
            assert first and second
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(owner.book, first)
                await anyio.sleep(0.001)
                overload = await owner.book(second)
                assert reason_of(overload.outcome) == "owner_overloaded"
                resend = await owner.book(first)
                assert reason_of(resend.outcome) == "claim_in_progress"
            assert isinstance((await owner.book(second)).outcome, Answered)

    run_virtual(main)


def test_forwarded_request_is_not_forwarded_again() -> None:
    async def main() -> None:
        async with open_fleet(entries=3) as fleet:
            owner, relay, entry = fleet.entries
            key = owner.owned_keys.mint()
            assert key
            entry.peers = {"entry-0": relay}
            attempt = await entry.book(key)
            assert reason_of(attempt.outcome) == "owner_unreachable"

    run_virtual(main)


def test_draining_entry_settles_what_it_ran() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            leaving: Entry = fleet.entries[0]
            ran = await leaving.book(caller_key(1))
            with anyio.fail_after(1):
                await leaving.claims.flush()
            leaving.kill()
            assert (await fleet.entries[1].book(caller_key(1))).outcome == ran.outcome

    run_virtual(main)
