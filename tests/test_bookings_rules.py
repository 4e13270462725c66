"""Tests of single rules of claims, keys and buckets."""

import anyio

from bronzebeam.controllers.owned_keys import OwnedKeys
from bronzebeam.outcomes import Answered
from bronzebeam.routing.claims import (
    BUCKET_CLAIM_LIMIT,
    Bucket,
    BucketFull,
    ClaimChange,
    ClaimDecision,
    ClaimGranted,
    InProgress,
    RecordOutcome,
    ReleaseClaim,
    TakeClaim,
    apply_changes,
    parse_bucket,
)
from bronzebeam.routing.idempotency_keys import parse_key
from bronzebeam.routing.recorded_outcomes import (
    MAX_RECORDED_RESULT_BYTES,
    RESULT_OMITTED,
    encode_outcome,
)
from tests.fixtures_booking_store import VirtualClock
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
    """Apply `changes` one write at a time, parsing the stored form each time."""
    bucket = Bucket()
    decisions: list[ClaimDecision] = []
    for change in changes:
        bucket, decided = apply_changes(parse_bucket(bucket.to_json()), [change])
        decisions += decided
    return bucket, decisions


def test_claim_is_finalized_only_by_its_own_attempt() -> None:
    for change in (release("b"), record("b")):
        bucket, decisions = apply_in_turn(take("a"), change, take("c"))
        assert decisions[2] == InProgress()
        assert bucket.claims["k"].nonce == "a"


def test_released_attempt_never_claims_again() -> None:
    _, decisions = apply_in_turn(take("a"), release("a"), take("a"), take("b"))
    assert decisions[2:] == [InProgress(), ClaimGranted()]


def test_full_bucket_rejects_new_keys_but_serves_existing_ones() -> None:
    changes = [take("a", key=f"k{number}") for number in range(BUCKET_CLAIM_LIMIT)]
    bucket, _ = apply_changes(Bucket(), changes)
    _, decisions = apply_changes(bucket, [take("b"), take("a", key="k0")])
    assert decisions == (BucketFull(), ClaimGranted())


def test_key_is_case_insensitive() -> None:
    text = caller_key(0xABCDEF)
    assert parse_key(text) == parse_key(text.upper()) is not None


def test_large_and_unserializable_results_are_not_stored() -> None:
    for result in ("x" * MAX_RECORDED_RESULT_BYTES, {"odd": object()}):
        assert encode_outcome(Answered(result=result))["result"] == RESULT_OMITTED


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


def test_key_in_progress_is_never_evicted_by_its_owner() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            owner = fleet.entries[0]
            owner.owned_keys = owner.filter._owned_keys = OwnedKeys(
                incarnation="entry-0", clock=VirtualClock(), max_spent_keys=1
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


def test_flush_stores_the_outcomes_of_a_draining_entry() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            leaving: Entry = fleet.entries[0]
            ran = await leaving.book(caller_key(1))
            with anyio.fail_after(1):
                await leaving.claims.flush()
            leaving.kill()
            assert (await fleet.entries[1].book(caller_key(1))).outcome == ran.outcome

    run_virtual(main)
