"""Tests of operations on documents with concurrency, lost replies and crashes."""

from functools import partial

import anyio
from attrs import evolve

from bronzebeam.documents import operations
from bronzebeam.documents.accepting import Acceptance
from bronzebeam.documents.diff import ChangeKind
from bronzebeam.documents.errors import (
    ConflictError,
    OutcomeUnknownError,
    RefusedError,
    StoreBehindError,
)
from bronzebeam.documents.storage import (
    APPROVAL_TTL_SECONDS,
    HISTORY_SLOTS,
    read_current,
    read_history,
    read_revision,
)
from bronzebeam.transport.store import StoreUnavailable
from tests.fixtures_documents import (
    activate_document,
    example_document,
    expect_failure,
    make_draft,
)
from tests.fixtures_store import (
    CallBehavior,
    CrashError,
    MemoryStore,
    run_in_virtual_time,
)

# A promotion that replaces a document makes five calls: it reads the approval, the
# active document and the history slot, then writes the history slot and the active
# document. These are the four before the last one.
CALLS_BEFORE_WRITE = (CallBehavior.ANSWER,) * 4


def test_concurrent_promotions_do_not_overwrite_each_other() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        drafts = {
            author: await make_draft(store, burst=burst, author=author)
            for author, burst in (("ada", 2), ("lin", 3))
        }
        for draft in drafts.values():
            await operations.approve_draft(store, draft, approver="grace")
        won: list[Acceptance] = []
        lost: list[ConflictError] = []

        async def promote(author: str, view: MemoryStore) -> None:
            try:
                won.append(await operations.promote_draft(view, drafts[author]))
            except ConflictError as error:
                lost.append(error)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(promote, "ada", store.view())
            tasks.start_soon(promote, "lin", store.view([CallBehavior.SLOW]))
        assert [item.accepted.author for item in won] == ["ada"]
        assert [item["revision"] for item in store.accepted] == [1, 2]
        (conflict,) = lost
        assert conflict.current == won[0].accepted
        (change,) = conflict.changes
        assert (change.kind, change.place) == (
            ChangeKind.CHANGED,
            "/caller_limit/burst",
        )
        assert (change.before, change.after) == (2, 3)

    run_in_virtual_time(main)


def test_concurrent_writes_of_the_same_revision_leave_one_document() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        other = await make_draft(store, burst=3, author="lin")
        await operations.approve_draft(store, other, approver="grace")
        slow = store.view([*CALLS_BEFORE_WRITE, CallBehavior.SLOW])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(operations.promote_draft, store.view(), other)
            await expect_failure(operations.promote_draft(slow, draft), ConflictError)
        assert [item["author"] for item in store.accepted] == ["ada", "lin"]

    run_in_virtual_time(main)


def test_lost_reply_is_resolved_by_reading_the_store() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        view = store.view(
            [*CALLS_BEFORE_WRITE, CallBehavior.LOSE_REPLY, CallBehavior.REFUSE]
        )
        done = await operations.promote_draft(view, draft)
        assert done.accepted.revision == 2
        assert [item["revision"] for item in store.accepted] == [1, 2]

    run_in_virtual_time(main)


def test_lost_reply_of_replaced_document_is_no_conflict() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        refused_calls = [CallBehavior.REFUSE] * 3
        view = store.view(
            [*CALLS_BEFORE_WRITE, CallBehavior.LOSE_REPLY, *refused_calls]
        )
        done: list[Acceptance] = []

        async def promote() -> None:
            done.append(await operations.promote_draft(view, draft))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(promote)
            await anyio.sleep(0.65)
            await activate_document(store, burst=3, author="lin")
        (acceptance,) = done
        assert (acceptance.accepted.revision, acceptance.superseded_by) == (2, 3)
        assert [item["revision"] for item in store.accepted] == [1, 2, 3]

    run_in_virtual_time(main)


def test_write_with_unknown_outcome_can_be_repeated() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        outage = [CallBehavior.REFUSE] * 20
        for plan, kind in (
            ([CallBehavior.ANSWER, *outage], StoreUnavailable),
            (
                [*CALLS_BEFORE_WRITE, CallBehavior.LOSE_REPLY, *outage],
                OutcomeUnknownError,
            ),
        ):
            await expect_failure(
                operations.promote_draft(store.view(plan), draft), kind
            )
        again = await operations.promote_draft(store.view(), draft)
        assert again.accepted.revision == 2
        assert len(store.accepted) == 2

    run_in_virtual_time(main)


def test_crash_at_any_call_leaves_history_and_document_consistent() -> None:
    async def main(calls: int, step: CallBehavior) -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        view = store.view([*[CallBehavior.ANSWER] * calls, step])
        await expect_failure(operations.promote_draft(view, draft), CrashError)
        history = [item.revision for item in await read_history(store, "production")]
        assert history == [item["revision"] for item in reversed(store.accepted)]
        await operations.promote_draft(store, draft)
        history = [item.revision for item in await read_history(store, "production")]
        assert history == [2, 1]
        assert len(store.accepted) == 2

    for calls in range(len(CALLS_BEFORE_WRITE) + 1):
        for step in (CallBehavior.CRASH_BEFORE, CallBehavior.CRASH_AFTER):
            run_in_virtual_time(partial(main, calls, step))


def test_approval_applies_to_one_content_base_and_author() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        draft = await make_draft(store, burst=2)
        own = operations.approve_draft(store, draft, approver="ada")
        await expect_failure(own, RefusedError)
        await operations.approve_draft(store, draft, approver="grace")
        for other in (
            evolve(draft, document=example_document(burst=3)),
            evolve(draft, author="lin"),
            evolve(draft, base=evolve(draft.base, write_id="another")),
        ):
            await expect_failure(operations.promote_draft(store, other), RefusedError)
        await anyio.sleep(APPROVAL_TTL_SECONDS)
        await expect_failure(operations.promote_draft(store, draft), RefusedError)
        assert len(store.accepted) == 1

    run_in_virtual_time(main)


def test_promotion_requires_approval_of_the_same_content() -> None:
    async def main() -> None:
        store = MemoryStore()
        promote = partial(
            operations.promote_environment, store, source="trial", target="production"
        )
        approve = partial(
            operations.approve_promotion, store, source="trial", target="production"
        )
        await activate_document(store, burst=1, environment="trial")
        await expect_failure(promote(), RefusedError)
        await expect_failure(approve(approver="ada"), RefusedError)
        await approve(approver="grace")
        await activate_document(store, burst=2, environment="trial")
        await expect_failure(promote(), RefusedError)
        review = await approve(approver="grace")
        done = await promote()
        assert done.accepted.document == example_document(burst=2)
        assert done.accepted.content_hash == review.approval.content_hash
        assert (done.accepted.author, done.accepted.approved_by) == ("ada", "grace")

    run_in_virtual_time(main)


def test_promotion_to_target_changed_since_approval_is_a_conflict() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        await activate_document(store, burst=2, environment="trial")
        await operations.approve_promotion(
            store, source="trial", target="production", approver="grace"
        )
        await activate_document(store, burst=3)
        promotion = operations.promote_environment(
            store, source="trial", target="production"
        )
        await expect_failure(promotion, ConflictError)
        current = (await read_current(store, "production")).accepted
        assert current is not None and current.document == example_document(burst=3)

    run_in_virtual_time(main)


def test_rollback_is_a_new_revision_with_the_earlier_content() -> None:
    async def main() -> None:
        store = MemoryStore()
        for burst in (1, 2, 3):
            await activate_document(store, burst=burst)
        roll_back = partial(
            operations.roll_back, store, environment="production", author="lin"
        )
        await expect_failure(roll_back(to_revision=1, replaces=2), ConflictError)
        await expect_failure(roll_back(to_revision=3, replaces=3), RefusedError)
        for _ in range(2):
            done = await roll_back(to_revision=1, replaces=3)
            assert done.accepted.revision == 4
            assert done.accepted.document == example_document(burst=1)
        assert [item["revision"] for item in store.accepted] == [1, 2, 3, 4]

    run_in_virtual_time(main)


def test_history_is_bounded() -> None:
    async def main() -> None:
        store = MemoryStore()
        for burst in range(1, HISTORY_SLOTS + 6):
            await activate_document(store, burst=burst)
        newest = HISTORY_SLOTS + 5
        history = [item.revision for item in await read_history(store, "production")]
        assert history == list(range(newest, newest - HISTORY_SLOTS, -1))
        keys = store.state.list_prefix("bronzebeam/history/")
        assert len(keys) == HISTORY_SLOTS
        later = newest - 1 + HISTORY_SLOTS
        assert await read_revision(store, "production", later) is None
        lost = operations.roll_back(
            store,
            environment="production",
            to_revision=newest - HISTORY_SLOTS,
            replaces=newest,
            author="lin",
        )
        await expect_failure(lost, RefusedError)

    run_in_virtual_time(main)


def test_restored_document_gets_revision_above_store_and_entries() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        store.state.take_snapshot()
        newer = (await activate_document(store, burst=2)).accepted
        store.state.restore_snapshot()
        draft = await make_draft(store, burst=3)
        await operations.approve_draft(store, draft, approver="grace")
        blocked = operations.promote_draft(store, draft, highest_entry_revision=2)
        await expect_failure(blocked, StoreBehindError)
        await activate_document(store, burst=4)
        restore = partial(operations.restore, store, newer)
        await expect_failure(restore(replaces=1), ConflictError)
        await expect_failure(restore(replaces=3), RefusedError)
        for held_revision in (5, 6):
            done = await restore(replaces=2, highest_entry_revision=held_revision)
            assert done.accepted.revision == 6
            assert done.accepted.document == newer.document
        history = [item.revision for item in await read_history(store, "production")]
        assert history == [6, 2, 1]

    run_in_virtual_time(main)


def test_reassigned_revision_number_is_not_accepted_as_base() -> None:
    async def main() -> None:
        store = MemoryStore()
        await activate_document(store, burst=1)
        store.state.take_snapshot()
        await activate_document(store, burst=2)
        draft = await make_draft(store, burst=3)
        store.state.restore_snapshot()
        await activate_document(store, burst=4)
        review = operations.approve_draft(store, draft, approver="grace")
        conflict = await expect_failure(review, ConflictError)
        assert conflict.current is not None
        assert conflict.current.revision == draft.base.revision

    run_in_virtual_time(main)
