"""The instance list, read in turns and passed on."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson
from attrs import evolve

from bronzebeam.controllers.instance_topic import (
    MAX_PUSH_BYTES,
    MAX_TOPIC_BYTES,
    InstanceTopic,
)
from bronzebeam.controllers.membership import InstanceListReceived
from bronzebeam.routing.dissemination import LIST_SLOT_SECONDS, should_read_in_slot
from bronzebeam.transport.instance_list import (
    InstanceState,
    ListedInstance,
)
from tests.fixtures_fleet import Fleet, VirtualClock, backend, run_fleet

SETTLE_SECONDS = 12.0
SEEN_SECONDS = 2.0


def states(fleet: Fleet, name: str) -> set[InstanceState | None]:
    found: set[InstanceState | None] = set()
    for node in fleet.nodes.values():
        listed = {item.instance: item for item in node.membership.view.listed}
        found.add(listed[name].state if name in listed else None)
    return found


async def seconds_until(reached: Callable[[], bool], within: float) -> float:
    start = anyio.current_time()
    while not reached():
        assert anyio.current_time() - start < within
        await anyio.sleep(0.05)
    return anyio.current_time() - start


async def settled(fleet: Fleet, count: int) -> None:
    fleet.listed["b0"] = backend()
    fleet.start_many(count)
    await anyio.sleep(SETTLE_SECONDS)


def leave(fleet: Fleet) -> None:
    fleet.listed["b0"] = evolve(fleet.listed["b0"], state=InstanceState.LEAVING)


def reads(fleet: Fleet) -> list[int]:
    return [listing.reads for listing in fleet.listings.values()]


def test_a_leaving_backend_server_is_soon_known_though_each_reads_rarely() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        for _ in range(5):
            before = reads(fleet)
            leave(fleet)
            await seconds_until(
                lambda: states(fleet, "b0") == {InstanceState.LEAVING}, SEEN_SECONDS
            )
            await anyio.sleep(16.3)
            fleet.listed["b0"] = backend()
            await anyio.sleep(12)
            assert states(fleet, "b0") == {InstanceState.LIVE}
            most = 6 / LIST_SLOT_SECONDS
            assert max(b - a for a, b in zip(before, reads(fleet))) <= most

    run_fleet(scenario)


def test_the_fleet_reads_once_a_slot_at_any_size() -> None:
    async def scenario(fleet: Fleet, count: int) -> int:
        await settled(fleet, count)
        before = sum(reads(fleet))
        await anyio.sleep(32)
        return sum(reads(fleet)) - before

    for count in (1, 2, 8, 32):
        total = run_fleet(lambda fleet: scenario(fleet, count))
        assert abs(total - 32 / LIST_SLOT_SECONDS) <= 1, (count, total)


def test_an_entry_cut_off_from_peers_reads_each_second() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        fleet.peerless.add("e3")
        await anyio.sleep(6)
        before = fleet.listings["e3"].reads
        leave(fleet)
        await seconds_until(
            lambda: states(fleet, "b0") == {InstanceState.LEAVING}, SEEN_SECONDS
        )
        await anyio.sleep(8)
        assert fleet.listings["e3"].reads - before >= 9

    run_fleet(scenario)


def test_a_dead_entry_s_turn_is_not_long_missed() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        fleet.kill("e3")
        for _ in range(8):
            await anyio.sleep(12.1)
            leave(fleet)
            await seconds_until(
                lambda: states(fleet, "b0") == {InstanceState.LEAVING}, 2.5
            )
            await anyio.sleep(11)
            fleet.listed["b0"] = backend()
        assert len(fleet.nodes["e0"].membership.view.members) == 8

    run_fleet(scenario)


def test_each_slot_has_one_reader_among_those_not_suspected() -> None:
    members = tuple(f"e{index}" for index in range(8))
    suspected = {"e2", "e3", "e7"}
    trusted = [name for name in members if name not in suspected]
    counts = {name: 0 for name in trusted}
    for slot in range(16):
        readers = [
            name
            for name in trusted
            if should_read_in_slot(slot, own=name, members=members, suspected=suspected)
        ]
        assert len(readers) == 1
        counts[readers[0]] += 1
    assert counts == {"e0": 4, "e1": 2, "e4": 6, "e5": 2, "e6": 2}


def test_news_of_peers_is_no_poll() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        await anyio.sleep(0.3)
        membership = fleet.nodes["e0"].membership
        for _ in range(5):
            membership.post(InstanceListReceived(instances=(), is_poll=False))
        await anyio.sleep(0.05)
        assert membership.view.listed == ()
        assert membership.view.unlisted == ()

    run_fleet(scenario)


class GivenList:
    """A list as it is given."""

    def __init__(self, count: int) -> None:
        self.items = tuple(backend(f"b{index}") for index in range(count))

    async def fetch(self) -> tuple[ListedInstance, ...]:
        return self.items


def test_a_list_above_the_bound_comes_over_in_parts() -> None:
    async def scenario(fleet: Fleet) -> None:
        listed = GivenList(3_000)
        one = InstanceTopic(source=listed, clock=VirtualClock())
        other = InstanceTopic(source=GivenList(0), clock=VirtualClock())
        await one.fetch()
        for _ in range(8):
            payload = one.delta(other.digest())
            if payload is None:
                break
            assert len(orjson.dumps(payload)) <= MAX_TOPIC_BYTES
            other.merge(payload)
        assert other.digest() == one.digest()
        assert set(await one.fetch()) == set(listed.items)

    run_fleet(scenario)


def test_a_large_change_is_pushed_in_bounded_parts() -> None:
    async def scenario(fleet: Fleet) -> None:
        pushed: list[Any] = []
        listed = GivenList(1)
        topic = InstanceTopic(
            source=listed,
            clock=VirtualClock(),
            publish=lambda name, payload: pushed.append(payload),
        )
        await topic.fetch()
        assert not pushed
        listed.items = GivenList(3_000).items
        await topic.fetch()
        assert len(pushed) == 8
        assert all(len(orjson.dumps(item)) <= MAX_PUSH_BYTES for item in pushed)

    run_fleet(scenario)


def test_an_entry_cut_off_from_the_list_hears_of_changes() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        fleet.listless.add("e3")
        leave(fleet)
        await seconds_until(lambda: states(fleet, "b0") == {InstanceState.LEAVING}, 3)

    run_fleet(scenario)


def test_a_list_refused_for_a_minute_leaves_what_is_known() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        fleet.list_up = False
        before = sum(reads(fleet))
        await anyio.sleep(60)
        assert abs(sum(reads(fleet)) - before - 60 / LIST_SLOT_SECONDS) <= 1
        assert states(fleet, "b0") == {InstanceState.LIVE}
        leave(fleet)
        fleet.list_up = True
        await seconds_until(
            lambda: states(fleet, "b0") == {InstanceState.LEAVING}, SEEN_SECONDS
        )

    run_fleet(scenario)


def test_an_older_list_does_not_recall_a_leaving_backend_server() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        leave(fleet)
        await anyio.sleep(2)
        fleet.listed["b0"] = backend()
        await anyio.sleep(4)
        assert states(fleet, "b0") == {InstanceState.LEAVING}

    run_fleet(scenario)


def test_clocks_off_by_seconds_keep_a_leaving_backend_server_known() -> None:
    async def scenario(fleet: Fleet) -> None:
        await settled(fleet, 8)
        fleet.clocks["e1"].ahead_seconds = 5.4
        fleet.clocks["e2"].ahead_seconds = -3.7
        await anyio.sleep(8)
        leave(fleet)
        await seconds_until(lambda: states(fleet, "b0") == {InstanceState.LEAVING}, 4)
        await anyio.sleep(20)
        assert states(fleet, "b0") == {InstanceState.LEAVING}

    run_fleet(scenario)
