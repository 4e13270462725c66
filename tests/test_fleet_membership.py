"""Tests of the membership and of further news over a fleet, in virtual time."""

import anyio

from bronzebeam.controllers.gossip import TopicSpec
from bronzebeam.controllers.membership import LeaveFleet, RecordsReceived
from bronzebeam.routing.membership_state import MAX_GONE_RECORDS, MemberState
from tests.fixtures_fleet import Fleet, VersionTopic, accepted_value, member, run_fleet

SETTLE_SECONDS = 6.0


async def _settled(fleet: Fleet, count: int = 8) -> None:
    fleet.store.put(accepted_value(1))
    fleet.start_many(count)
    await anyio.sleep(SETTLE_SECONDS)
    _all_know(fleet, set(fleet.nodes))


def _all_know(fleet: Fleet, names: set[str]) -> None:
    for name, node in fleet.nodes.items():
        assert set(node.membership.view.members) == names, name


async def _fill_with_ended(fleet: Fleet) -> None:
    """Give each entry as many records of ended lives as it keeps, of this moment."""
    at_ms = int(anyio.current_time() * 1000)
    ended = tuple(
        member(f"past{index}", incarnation=10**9).ended(MemberState.GONE, at_ms=at_ms)
        for index in range(MAX_GONE_RECORDS + 10)
    )
    for node in fleet.nodes.values():
        node.membership.post(RecordsReceived(records=ended, pushed=False))
    await anyio.sleep(5)


def test_newcomer_is_known_to_all_before_the_list_shows_it() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.start("late")
        fleet.listed.pop("late")
        await anyio.sleep(0.5)
        _all_know(fleet, set(fleet.nodes))
        await anyio.sleep(60)
        _all_know(fleet, set(fleet.nodes))

    run_fleet(scenario)


def test_leaving_entry_is_known_to_all_while_the_list_calls_it_live() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        leaving = fleet.nodes["e3"]
        leaving.membership.post(LeaveFleet())
        await anyio.sleep(0.05)
        assert leaving.configuration.readiness().reason == "leaving"
        _all_know(fleet, set(fleet.nodes) - {"e3"})
        await anyio.sleep(30)
        _all_know(fleet, set(fleet.nodes) - {"e3"})
        fleet.store.put(accepted_value(2))
        await fleet.in_force(2, within=3.0)

    run_fleet(scenario)


def test_entry_of_an_early_life_leaves_after_many_later_ones() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, count=4)
        await _fill_with_ended(fleet)
        fleet.nodes["e3"].membership.post(LeaveFleet())
        await anyio.sleep(30)
        _all_know(fleet, set(fleet.nodes) - {"e3"})
        for node in fleet.nodes.values():
            assert len(node.membership.view.records) == MAX_GONE_RECORDS + 3

    run_fleet(scenario)


def test_record_that_is_dropped_at_once_is_not_pushed_on() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet, count=4)
        await _fill_with_ended(fleet)
        before = sum(node.gossip.pushes for node in fleet.nodes.values())
        older = member("older").ended(MemberState.GONE, at_ms=1)
        arrived = RecordsReceived(records=(older,), pushed=True)
        fleet.nodes["e0"].membership.post(arrived)
        await anyio.sleep(0.5)
        assert sum(node.gossip.pushes for node in fleet.nodes.values()) == before

    run_fleet(scenario)


def test_crashed_entry_is_a_member_until_the_list_drops_it() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.kill("e2")
        await anyio.sleep(30)
        _all_know(fleet, set(fleet.nodes) | {"e2"})
        fleet.listed.pop("e2")
        await anyio.sleep(30)
        _all_know(fleet, set(fleet.nodes))

    run_fleet(scenario)


def test_list_that_drops_live_entries_removes_none() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        before = fleet.seen("member_changed")
        fleet.listed.clear()
        await anyio.sleep(120)
        _all_know(fleet, set(fleet.nodes))
        assert fleet.seen("member_changed") == before

    run_fleet(scenario)


def test_entry_taken_for_gone_while_paused_comes_back() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        listed = fleet.listed.pop("e4")
        fleet.held = {"e4"}
        await anyio.sleep(60)
        others = [node for name, node in fleet.nodes.items() if name != "e4"]
        assert all("e4" not in node.membership.view.members for node in others)
        fleet.listed["e4"] = listed
        fleet.held = set()
        await anyio.sleep(5)
        _all_know(fleet, set(fleet.nodes))

    run_fleet(scenario)


def test_entry_restarted_under_its_name_is_a_member_again() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.nodes["e1"].membership.post(LeaveFleet())
        await anyio.sleep(2)
        fleet.kill("e1")
        await anyio.sleep(5)
        fleet.start("e1", "b")
        await anyio.sleep(3)
        _all_know(fleet, set(fleet.nodes))

    run_fleet(scenario)


def test_entry_restarted_with_its_clock_set_back_is_a_member_again() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        earlier = fleet.nodes["e1"].membership.view.own
        fleet.kill("e1")
        await anyio.sleep(5)
        fleet.start("e1", "c", incarnation=1)
        await anyio.sleep(3)
        for node in fleet.nodes.values():
            record = node.membership.view.members["e1"]
            assert record.incarnation > earlier.incarnation
            assert record.failure_domain == "c"

    run_fleet(scenario)


def test_fleet_goes_on_without_the_instance_list() -> None:
    async def scenario(fleet: Fleet) -> None:
        await _settled(fleet)
        fleet.list_up = False
        await anyio.sleep(300)
        _all_know(fleet, set(fleet.nodes))
        fleet.store.put(accepted_value(2))
        await fleet.in_force(2, within=2.0)

    run_fleet(scenario)


def test_pushed_and_exchanged_topics_reach_all_entries() -> None:
    async def scenario(fleet: Fleet) -> None:
        quarantines = [VersionTopic() for _ in range(8)]
        usages = [VersionTopic() for _ in range(8)]
        for index, (quarantine, usage) in enumerate(
            zip(quarantines, usages, strict=True)
        ):
            topics = (
                TopicSpec(
                    name="quarantine", topic=quarantine, pushed=True, max_bytes=200
                ),
                TopicSpec(name="usage", topic=usage, pushed=False, max_bytes=200),
            )
            fleet.start(f"e{index}", "abcd"[index % 4], topics)
        await anyio.sleep(SETTLE_SECONDS)
        quarantines[0].versions["killer"] = 1
        fleet.nodes["e0"].gossip.publish("quarantine", {"killer": 1})
        usages[3].versions["planner"] = 4
        await anyio.sleep(0.2)
        assert all(topic.versions == {"killer": 1} for topic in quarantines)
        assert any(not topic.versions for topic in usages)
        await anyio.sleep(10)
        assert all(topic.versions == {"planner": 4} for topic in usages)
        usages[3].versions["x" * 300] = 1
        await anyio.sleep(10)
        assert sum(len(topic.versions) for topic in usages) == 9

    run_fleet(scenario)
