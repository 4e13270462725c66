"""Tests of the instance list, which entries read in turns and share by gossip."""

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
from tests.fixtures_fleet import Fleet, VirtualClock, make_backend, run_fleet

SETTLE_SECONDS = 12.0
MAX_PROPAGATION_SECONDS = 2.0


def find_states(fleet: Fleet, name: str) -> set[InstanceState | None]:
    found: set[InstanceState | None] = set()
    for entry in fleet.entries.values():
        listed = {item.instance: item for item in entry.membership.view.listed}
        found.add(listed[name].state if name in listed else None)
    return found


async def wait_until(reached: Callable[[], bool], within: float) -> float:
    start = anyio.current_time()
    while not reached():
        assert anyio.current_time() - start < within
        await anyio.sleep(0.05)
    return anyio.current_time() - start


async def start_settled(fleet: Fleet, count: int) -> None:
    fleet.listed["b0"] = make_backend()
    fleet.start_many(count)
    await anyio.sleep(SETTLE_SECONDS)


def set_leaving(fleet: Fleet) -> None:
    fleet.listed["b0"] = evolve(fleet.listed["b0"], state=InstanceState.LEAVING)


def read_counts(fleet: Fleet) -> list[int]:
    return [listing.reads for listing in fleet.instance_topics.values()]


def test_leaving_state_spreads_fast_though_each_entry_reads_rarely() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        for _ in range(5):
            before = read_counts(fleet)
            set_leaving(fleet)
            await wait_until(
                lambda: find_states(fleet, "b0") == {InstanceState.LEAVING},
                MAX_PROPAGATION_SECONDS,
            )
            await anyio.sleep(16.3)
            fleet.listed["b0"] = make_backend()
            await anyio.sleep(12)
            assert find_states(fleet, "b0") == {InstanceState.LIVE}
            max_reads = 6 / LIST_SLOT_SECONDS
            assert max(b - a for a, b in zip(before, read_counts(fleet))) <= max_reads

    run_fleet(scenario)


def test_fleet_reads_list_once_per_slot_at_any_size() -> None:
    async def scenario(fleet: Fleet, count: int) -> int:
        await start_settled(fleet, count)
        before = sum(read_counts(fleet))
        await anyio.sleep(32)
        return sum(read_counts(fleet)) - before

    for count in (1, 2, 8, 32):
        total = run_fleet(lambda fleet: scenario(fleet, count))
        assert abs(total - 32 / LIST_SLOT_SECONDS) <= 1, (count, total)


def test_entry_isolated_from_peers_reads_list_every_second() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        fleet.without_peers.add("e3")
        await anyio.sleep(6)
        before = fleet.instance_topics["e3"].reads
        set_leaving(fleet)
        await wait_until(
            lambda: find_states(fleet, "b0") == {InstanceState.LEAVING},
            MAX_PROPAGATION_SECONDS,
        )
        await anyio.sleep(8)
        assert fleet.instance_topics["e3"].reads - before >= 9

    run_fleet(scenario)


def test_turn_of_killed_entry_is_taken_over() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        fleet.kill("e3")
        for _ in range(8):
            await anyio.sleep(12.1)
            set_leaving(fleet)
            await wait_until(
                lambda: find_states(fleet, "b0") == {InstanceState.LEAVING}, 2.5
            )
            await anyio.sleep(11)
            fleet.listed["b0"] = make_backend()
        assert len(fleet.entries["e0"].membership.view.members) == 8

    run_fleet(scenario)


def test_each_slot_has_one_reader_among_unsuspected_members() -> None:
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


def test_list_from_peers_does_not_count_as_poll() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        await anyio.sleep(0.3)
        membership = fleet.entries["e0"].membership
        for _ in range(5):
            membership.post(InstanceListReceived(instances=(), is_poll=False))
        await anyio.sleep(0.05)
        assert membership.view.listed == ()
        assert membership.view.unlisted == ()

    run_fleet(scenario)


class FixedList:
    """Instance list with a fixed number of backend servers."""

    def __init__(self, count: int) -> None:
        self.items = tuple(make_backend(f"b{index}") for index in range(count))

    async def fetch(self) -> tuple[ListedInstance, ...]:
        return self.items


def test_list_above_size_limit_is_sent_in_parts() -> None:
    async def scenario(fleet: Fleet) -> None:
        listed = FixedList(3_000)
        one = InstanceTopic(source=listed, clock=VirtualClock())
        other = InstanceTopic(source=FixedList(0), clock=VirtualClock())
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


def test_large_change_is_pushed_in_limited_parts() -> None:
    async def scenario(fleet: Fleet) -> None:
        pushed: list[Any] = []
        listed = FixedList(1)
        topic = InstanceTopic(
            source=listed,
            clock=VirtualClock(),
            publish=lambda name, payload: pushed.append(payload),
        )
        await topic.fetch()
        assert not pushed
        listed.items = FixedList(3_000).items
        await topic.fetch()
        assert len(pushed) == 8
        assert all(len(orjson.dumps(item)) <= MAX_PUSH_BYTES for item in pushed)

    run_fleet(scenario)


def test_entry_without_instance_list_receives_changes_from_peers() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        fleet.without_list.add("e3")
        set_leaving(fleet)
        await wait_until(lambda: find_states(fleet, "b0") == {InstanceState.LEAVING}, 3)

    run_fleet(scenario)


def test_list_outage_of_a_minute_keeps_known_instances() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        fleet.is_list_available = False
        before = sum(read_counts(fleet))
        await anyio.sleep(60)
        assert abs(sum(read_counts(fleet)) - before - 60 / LIST_SLOT_SECONDS) <= 1
        assert find_states(fleet, "b0") == {InstanceState.LIVE}
        set_leaving(fleet)
        fleet.is_list_available = True
        await wait_until(
            lambda: find_states(fleet, "b0") == {InstanceState.LEAVING},
            MAX_PROPAGATION_SECONDS,
        )

    run_fleet(scenario)


def test_older_list_does_not_make_leaving_backend_server_live() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        set_leaving(fleet)
        await anyio.sleep(2)
        fleet.listed["b0"] = make_backend()
        await anyio.sleep(4)
        assert find_states(fleet, "b0") == {InstanceState.LEAVING}

    run_fleet(scenario)


def test_leaving_state_is_kept_with_clocks_off_by_seconds() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_settled(fleet, 8)
        fleet.clocks["e1"].ahead_seconds = 5.4
        fleet.clocks["e2"].ahead_seconds = -3.7
        await anyio.sleep(8)
        set_leaving(fleet)
        await wait_until(lambda: find_states(fleet, "b0") == {InstanceState.LEAVING}, 4)
        await anyio.sleep(20)
        assert find_states(fleet, "b0") == {InstanceState.LEAVING}

    run_fleet(scenario)
