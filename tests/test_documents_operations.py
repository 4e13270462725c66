"""Tests of the operations on documents under races, lost replies and crashes."""

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
    example_document,
    failure_of,
    make_draft,
    put_in_force,
)
from tests.fixtures_store import (
    CallBehavior,
    CrashError,
    MemoryStore,
    run_in_virtual_time,
)

# Calls of a promotion over a replaced document: the approval, the current document,
# the history's slot read and written, the current document written.
BEFORE_WRITE = (CallBehavior.ANSWER,) * 4


def test_racing_operators_do_not_overwrite_each_other() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
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


def test_both_writers_at_the_same_revision_leave_one_document() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        other = await make_draft(store, burst=3, author="lin")
        await operations.approve_draft(store, other, approver="grace")
        slow = store.view([*BEFORE_WRITE, CallBehavior.SLOW])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(operations.promote_draft, store.view(), other)
            await failure_of(operations.promote_draft(slow, draft), ConflictError)
        assert [item["author"] for item in store.accepted] == ["ada", "lin"]

    run_in_virtual_time(main)


def test_lost_reply_is_settled_by_reading_back() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        view = store.view([*BEFORE_WRITE, CallBehavior.LOSE_REPLY, CallBehavior.REFUSE])
        done = await operations.promote_draft(view, draft)
        assert done.accepted.revision == 2
        assert [item["revision"] for item in store.accepted] == [1, 2]

    run_in_virtual_time(main)


def test_lost_reply_of_a_document_replaced_since_is_no_conflict() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        silent = [CallBehavior.REFUSE] * 3
        view = store.view([*BEFORE_WRITE, CallBehavior.LOSE_REPLY, *silent])
        done: list[Acceptance] = []

        async def promote() -> None:
            done.append(await operations.promote_draft(view, draft))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(promote)
            await anyio.sleep(0.65)
            await put_in_force(store, burst=3, author="lin")
        (acceptance,) = done
        assert (acceptance.accepted.revision, acceptance.superseded_by) == (2, 3)
        assert [item["revision"] for item in store.accepted] == [1, 2, 3]

    run_in_virtual_time(main)


def test_unsettled_write_is_unknown_and_its_repetition_settles_it() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        outage = [CallBehavior.REFUSE] * 20
        for plan, kind in (
            ([CallBehavior.ANSWER, *outage], StoreUnavailable),
            ([*BEFORE_WRITE, CallBehavior.LOSE_REPLY, *outage], OutcomeUnknownError),
        ):
            await failure_of(operations.promote_draft(store.view(plan), draft), kind)
        again = await operations.promote_draft(store.view(), draft)
        assert again.accepted.revision == 2
        assert len(store.accepted) == 2

    run_in_virtual_time(main)


def test_crash_at_any_call_leaves_history_and_document_true() -> None:
    async def main(calls: int, step: CallBehavior) -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        draft = await make_draft(store, burst=2)
        await operations.approve_draft(store, draft, approver="grace")
        view = store.view([*[CallBehavior.ANSWER] * calls, step])
        await failure_of(operations.promote_draft(view, draft), CrashError)
        history = [item.revision for item in await read_history(store, "production")]
        assert history == [item["revision"] for item in reversed(store.accepted)]
        await operations.promote_draft(store, draft)
        history = [item.revision for item in await read_history(store, "production")]
        assert history == [2, 1]
        assert len(store.accepted) == 2

    for calls in range(len(BEFORE_WRITE) + 1):
        for step in (CallBehavior.CRASH_BEFORE, CallBehavior.CRASH_AFTER):
            run_in_virtual_time(partial(main, calls, step))


def test_approval_is_bound_to_content_base_and_author() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        draft = await make_draft(store, burst=2)
        own = operations.approve_draft(store, draft, approver="ada")
        await failure_of(own, RefusedError)
        await operations.approve_draft(store, draft, approver="grace")
        for other in (
            evolve(draft, document=example_document(burst=3)),
            evolve(draft, author="lin"),
            evolve(draft, base=evolve(draft.base, write_id="another")),
        ):
            await failure_of(operations.promote_draft(store, other), RefusedError)
        await anyio.sleep(APPROVAL_TTL_SECONDS)
        await failure_of(operations.promote_draft(store, draft), RefusedError)
        assert len(store.accepted) == 1

    run_in_virtual_time(main)


def test_promotion_takes_what_was_approved_and_nothing_else() -> None:
    async def main() -> None:
        store = MemoryStore()
        promote = partial(
            operations.promote_environment, store, source="trial", target="production"
        )
        approve = partial(
            operations.approve_promotion, store, source="trial", target="production"
        )
        await put_in_force(store, burst=1, environment="trial")
        await failure_of(promote(), RefusedError)
        await failure_of(approve(approver="ada"), RefusedError)
        await approve(approver="grace")
        await put_in_force(store, burst=2, environment="trial")
        await failure_of(promote(), RefusedError)
        review = await approve(approver="grace")
        done = await promote()
        assert done.accepted.document == example_document(burst=2)
        assert done.accepted.content_hash == review.approval.content_hash
        assert (done.accepted.author, done.accepted.approved_by) == ("ada", "grace")

    run_in_virtual_time(main)


def test_promotion_over_a_target_changed_since_the_approval_is_a_conflict() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        await put_in_force(store, burst=2, environment="trial")
        await operations.approve_promotion(
            store, source="trial", target="production", approver="grace"
        )
        await put_in_force(store, burst=3)
        promotion = operations.promote_environment(
            store, source="trial", target="production"
        )
        await failure_of(promotion, ConflictError)
        current = (await read_current(store, "production")).accepted
        assert current is not None and current.document == example_document(burst=3)

    run_in_virtual_time(main)


def test_rollback_is_a_new_revision_with_the_earlier_content() -> None:
    async def main() -> None:
        store = MemoryStore()
        for burst in (1, 2, 3):
            await put_in_force(store, burst=burst)
        roll_back = partial(
            operations.roll_back, store, environment="production", author="lin"
        )
        await failure_of(roll_back(to_revision=1, replaces=2), ConflictError)
        await failure_of(roll_back(to_revision=3, replaces=3), RefusedError)
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
            await put_in_force(store, burst=burst)
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
        await failure_of(lost, RefusedError)

    run_in_virtual_time(main)


def test_document_lost_by_the_store_is_restored_above_all_revisions() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        store.state.take_snapshot()
        newer = (await put_in_force(store, burst=2)).accepted
        store.state.restore_snapshot()
        draft = await make_draft(store, burst=3)
        await operations.approve_draft(store, draft, approver="grace")
        blocked = operations.promote_draft(store, draft, highest_entry_revision=2)
        await failure_of(blocked, StoreBehindError)
        await put_in_force(store, burst=4)
        restore = partial(operations.restore, store, newer)
        await failure_of(restore(replaces=1), ConflictError)
        await failure_of(restore(replaces=3), RefusedError)
        for held_revision in (5, 6):
            done = await restore(replaces=2, highest_entry_revision=held_revision)
            assert done.accepted.revision == 6
            assert done.accepted.document == newer.document
        history = [item.revision for item in await read_history(store, "production")]
        assert history == [6, 2, 1]

    run_in_virtual_time(main)


def test_revision_given_out_twice_does_not_pass_for_the_base() -> None:
    async def main() -> None:
        store = MemoryStore()
        await put_in_force(store, burst=1)
        store.state.take_snapshot()
        await put_in_force(store, burst=2)
        draft = await make_draft(store, burst=3)
        store.state.restore_snapshot()
        await put_in_force(store, burst=4)
        review = operations.approve_draft(store, draft, approver="grace")
        conflict = await failure_of(review, ConflictError)
        assert conflict.current is not None
        assert conflict.current.revision == draft.base.revision

    run_in_virtual_time(main)
