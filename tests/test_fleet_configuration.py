"""Tests of the configuration in force over a fleet, in virtual time."""

from typing import Any

import anyio
import orjson

from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.findings import FindingsError
from tests.fixtures_fleet import Fleet, accepted_value, read_accepted, run_fleet

SETTLE_SECONDS = 6.0


async def _settled(fleet: Fleet, count: int = 8, revision: int = 1) -> None:
    fleet.store.put(accepted_value(revision))
    fleet.start_many(count)
    await anyio.sleep(SETTLE_SECONDS)
    assert fleet.revisions() == {revision}


def test_accepted_document_is_in_force_on_eight_entries_within_two_seconds() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        assert len(fleet.watchers()) == 3
        for revision in range(2, 12):
            fleet.store.put(accepted_value(revision))
            await fleet.in_force(revision, within=2.0)

    run_fleet(scenario)


def test_accepted_document_is_in_force_after_a_watcher_is_killed() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.kill(fleet.watchers()[0])
        fleet.store.put(accepted_value(2))
        await fleet.in_force(2, within=2.0)

    run_fleet(scenario)


def test_other_entries_watch_after_all_watchers_are_killed() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        for name in fleet.watchers():
            fleet.kill(name)
        fleet.store.put(accepted_value(2))
        await fleet.in_force(2, within=6.0)

    run_fleet(scenario)


def test_standby_entries_follow_all_watchers_of_a_larger_fleet() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, count=64)
        for name in fleet.watchers():
            fleet.kill(name)
        fleet.store.put(accepted_value(2))
        await fleet.in_force(2, within=8.0)

    run_fleet(scenario)


def test_other_entries_watch_after_the_watchers_lose_the_store() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.storeless = set(fleet.watchers())
        fleet.store.put(accepted_value(2))
        await fleet.in_force(2, within=8.0)

    run_fleet(scenario)


def test_entries_keep_their_revision_and_serve_while_the_store_is_down() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, revision=3)
        fleet.store.up = False
        await anyio.sleep(900)
        assert fleet.revisions() == {3}
        ready = [node.configuration.readiness() for node in fleet.nodes.values()]
        assert all(item.ready for item in ready), ready
        fleet.store.up = True
        fleet.store.put(accepted_value(4))
        await fleet.in_force(4, within=8.0)

    run_fleet(scenario)


def test_new_entry_starts_from_peers_while_the_store_is_down() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, revision=3)
        fleet.store.up = False
        late = fleet.start("late", "a")
        await fleet.in_force(3, within=3.0)
        assert late.configuration.readiness().ready

    run_fleet(scenario)


def test_entry_without_store_and_peers_is_not_ready() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.cut = {"e0"}
        await anyio.sleep(20)
        cut_off = fleet.nodes["e0"].configuration
        assert cut_off.readiness().reason == "reaches_neither_store_nor_peers"
        others = [node for name, node in fleet.nodes.items() if name != "e0"]
        assert all(node.configuration.readiness().ready for node in others)
        fleet.store.put(accepted_value(2))
        await anyio.sleep(2)
        assert cut_off.view.revision == 1
        fleet.cut = set()
        await fleet.in_force(2, within=6.0)
        assert cut_off.readiness().ready

    run_fleet(scenario)


def test_new_entry_that_reaches_nothing_is_not_ready() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.cut = {"e0"}
        node = fleet.start("e0")
        await anyio.sleep(60)
        assert node.configuration.readiness().reason == "no_configuration"

    run_fleet(scenario)


def test_older_store_changes_nothing_and_is_flagged() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, revision=7)
        fleet.store.put(accepted_value(4), mod_revision=2)
        await anyio.sleep(30)
        assert fleet.revisions() == {7}
        flagged = {
            name
            for name, node in fleet.nodes.items()
            if node.configuration.view.store_older
        }
        assert flagged == set(fleet.watchers())
        assert fleet.seen("store_older") == len(flagged)
        fleet.store.put(accepted_value(8))
        await fleet.in_force(8, within=2.0)

    run_fleet(scenario)


def test_emptied_store_changes_nothing_and_is_flagged() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, revision=7)
        fleet.store.stored = None
        await anyio.sleep(30)
        assert fleet.revisions() == {7}
        assert fleet.seen("store_older") == len(fleet.watchers())

    run_fleet(scenario)


def test_silent_watches_are_found() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.store.silent_watches = True
        await anyio.sleep(60)
        fleet.store.put(accepted_value(2))
        await fleet.in_force(2, within=6.0)

    run_fleet(scenario)


def test_paused_entry_catches_up_once_woken() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.held = {"e5"}
        await anyio.sleep(1)
        fleet.store.put(accepted_value(2))
        await anyio.sleep(60)
        assert fleet.nodes["e5"].revision == 1
        fleet.held = set()
        await fleet.in_force(2, within=2.5)

    run_fleet(scenario)


def test_rolling_replacement_of_all_entries_loses_no_revision() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, revision=2)
        fleet.store.up = False
        for index in range(8):
            fleet.start(f"n{index}", "abcd"[index % 4])
            await anyio.sleep(10)
            fleet.kill(f"e{index}")
            await anyio.sleep(20)
            fleet.listed.pop(f"e{index}")
        assert fleet.revisions() == {2}
        await anyio.sleep(60)
        for node in fleet.nodes.values():
            assert set(node.membership.view.members) == set(fleet.nodes)
        fleet.store.up = True
        fleet.store.put(accepted_value(3))
        await fleet.in_force(3, within=8.0)

    run_fleet(scenario)


def test_lost_and_duplicated_pushes_are_repaired() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, count=16)
        fleet.duplicate_pushes = True
        fleet.loss = 0.3
        for revision in range(2, 12):
            fleet.store.put(accepted_value(revision))
            await fleet.in_force(revision, within=6.0)
            await anyio.sleep(5)

    run_fleet(scenario)


def test_refused_document_is_not_fetched_at_each_exchange() -> None:
    def read_old_release(value: Any) -> AcceptedDocument:
        if value["revision"] == 2:
            raise FindingsError(subject="document", findings=())
        return read_accepted(value)

    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        old = fleet.start("old", read=read_old_release)
        await anyio.sleep(5)
        fleet.store.put(accepted_value(2))
        before = fleet.fetches
        await anyio.sleep(100)
        assert old.revision == 1 and old.configuration.view.refused
        assert 1 <= fleet.fetches - before <= 2
        fleet.store.put(accepted_value(3))
        await fleet.in_force(3, within=2.0)
        assert not old.configuration.view.refused

    run_fleet(scenario)


def test_peers_get_the_document_as_it_was_accepted() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        accepted = {"of_a_later_release": 1, **accepted_value(2)}
        fleet.store.put(accepted)
        await fleet.in_force(2, within=2.0)
        fleet.store.up = False
        fleet.start("late")
        await fleet.in_force(2, within=2.0)
        for node in fleet.nodes.values():
            assert orjson.loads(node.configuration.view.encoded or b"") == accepted

    run_fleet(scenario)


def test_same_revision_with_other_content_is_kept_out_and_flagged() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, revision=5)
        fleet.store.put(accepted_value(5, content="b"))
        await anyio.sleep(10)
        views = [node.configuration.view for node in fleet.nodes.values()]
        assert {view.content_hash for view in views} == {"a5"}
        assert any(view.split for view in views)
        fleet.store.put(accepted_value(6, content="b"))
        await fleet.in_force(6, within=2.0)
        assert not any(node.configuration.view.split for node in fleet.nodes.values())

    run_fleet(scenario)


def test_store_calls_do_not_grow_with_the_fleet() -> None:
    def calls_a_second(count: int) -> float:
        async def scenario(fleet: Fleet) -> float:
            await _settled(fleet, count=count)
            before = fleet.store.calls
            await anyio.sleep(120)
            return (fleet.store.calls - before) / 120

        return run_fleet(scenario)

    rates = {count: calls_a_second(count) for count in (2, 4, 8, 32)}
    assert max(rates.values()) <= 2.1, rates
    assert rates[32] <= rates[4] * 1.05, rates
