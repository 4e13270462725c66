"""The instance list, read in turns and passed on."""

from collections.abc import Callable
from typing import Any

import anyio
import orjson
from attrs import evolve
from hypothesis import given, settings, strategies as st

from bronzebeam.controllers.instance_topic import (
    PUSH_MOST_BYTES,
    TOPIC_MOST_BYTES,
    InstanceTopic,
)
from bronzebeam.routing.instance_records import (
    InstanceRecord,
    Records,
    differing_instances,
    digest_instances,
    merge_instances,
    record_to_json,
    records_from_json,
    records_of_read,
)
from bronzebeam.transport.instance_list import (
    InstanceRole,
    InstanceState,
    ListedInstance,
)
from tests.fixtures_fleet import Fleet, VirtualClock, run_fleet

SETTLE_SECONDS = 12.0
SEEN_SECONDS = 2.0


def backend(
    name: str = "b0", state: InstanceState = InstanceState.LIVE
) -> ListedInstance:
    return ListedInstance(
        instance=name,
        role=InstanceRole.BACKEND,
        service="search",
        address=f"{name}:80",
        peer_address=None,
        failure_domain="a",
        state=state,
    )


record = st.builds(
    InstanceRecord,
    read_at_ms=st.integers(1, 3),
    item=st.sampled_from([None, backend(), backend(state=InstanceState.LEAVING)]),
)
some_records = st.dictionaries(st.sampled_from(["b0", "b1", "b2"]), record)


def merged(*parts: Records) -> Records:
    known: Records = {}
    for part in parts:
        known, _ = merge_instances(known, part)
    return known


@settings(derandomize=True, database=None, deadline=None)
@given(some_records, some_records, some_records)
def test_records_merge_in_any_order(a: Records, b: Records, c: Records) -> None:
    assert merged(a, b) == merged(b, a)
    assert merged(merged(a, b), c) == merged(a, merged(b, c))
    assert merged(a, a) == a


@settings(derandomize=True, database=None, deadline=None)
@given(some_records, some_records)
def test_differing_records_bring_two_nodes_together(a: Records, b: Records) -> None:
    digests = digest_instances(a), digest_instances(b)
    to_b = differing_instances(a, digests[0], digests[1])
    to_a = differing_instances(b, digests[1], digests[0])
    assert merged(a, to_a) == merged(b, to_b)


def test_records_pass_through_json() -> None:
    records = {"b0": InstanceRecord(read_at_ms=5, item=backend())}
    sent = {name: record_to_json(item) for name, item in records.items()}
    assert records_from_json(sent) == records


def test_a_read_by_a_clock_behind_is_later_than_what_it_replaces() -> None:
    known = {"b0": InstanceRecord(read_at_ms=9_000, item=backend())}
    leaving = backend(state=InstanceState.LEAVING)
    changed = records_of_read(known, (leaving,), now_ms=2_000)
    assert merged(known, changed)["b0"].item == leaving


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
            assert max(b - a for a, b in zip(before, reads(fleet))) <= 6

    run_fleet(scenario)


def test_the_fleet_reads_once_a_second_at_any_size() -> None:
    async def scenario(fleet: Fleet, count: int) -> int:
        await settled(fleet, count)
        before = sum(reads(fleet))
        await anyio.sleep(32)
        return sum(reads(fleet)) - before

    for count in (1, 2, 8, 32):
        total = run_fleet(lambda fleet: scenario(fleet, count))
        assert 31 <= total <= 33, (count, total)


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
            assert len(orjson.dumps(payload)) <= TOPIC_MOST_BYTES
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
        assert all(len(orjson.dumps(item)) <= PUSH_MOST_BYTES for item in pushed)

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
        assert 59 <= sum(reads(fleet)) - before <= 61
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
