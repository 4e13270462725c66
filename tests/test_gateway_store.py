"""Tests of what a gateway makes of the platform's store, in virtual time."""

import asyncio
from collections.abc import Callable

from tests.fixtures_gateway import (
    CALL_SERVICE,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    make_route,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
    stored_configuration,
)
from tests.standin_store import MAX_EVENTS, PAGE_SIZE, StoreFault, fault_always

IN_FORCE_SECONDS = 3.0
# The users hold an instance to that bound once the store has been well for so long.
STABLE_SECONDS = 4.0
LEAVING_SECONDS = 3.0


def version_of(gateway: RunningGateway) -> int:
    table = gateway.gateway._state.table
    return table.version if table is not None else 0


async def ask_for(
    cluster: Cluster, gateway: RunningGateway, seconds: float
) -> list[int]:
    """Ask ten times a second; return the statuses."""
    statuses = []
    for _ in range(int(seconds * 10)):
        answer = await cluster.send_request(gateway, READ_PATH)
        statuses.append(answer.status if answer is not None else 0)
        await asyncio.sleep(0.1)
    return statuses


def test_configuration_is_in_force_in_time_whatever_the_store_does() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        await asyncio.sleep(2.0)
        disturbances: list[Callable[[], None]] = [
            cluster.store.drop_watches,
            cluster.store.reset_watches,
            cluster.store.compact,
            lambda: cluster.loop.net.reset_connections(gateway.host),
        ]
        for disturb in disturbances:
            disturb()
            cluster.configure(*cluster.routes)
            disturb()
            await asyncio.sleep(IN_FORCE_SECONDS)
            assert version_of(gateway) == cluster.version

    run_scenario(scenario)


def test_change_in_a_gap_of_the_history_is_not_lost() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        leaving = cluster.replicas["i-1"]
        cluster.register(leaving, state="draining")
        cluster.configure(*cluster.routes)
        cluster.store.compact()
        await asyncio.sleep(LEAVING_SECONDS)
        assert version_of(gateway) == cluster.version
        seen = len(leaving.runs)
        await ask_for(cluster, gateway, 2.0)
        assert len(leaving.runs) == seen

    run_scenario(scenario)


def test_watch_made_just_before_the_history_is_dropped_loses_nothing() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for pause_seconds in (0.0, 0.03, 0.06, 0.09, 0.12, 0.2):
            # The store tells its watches nothing of a change, cuts them, and drops
            # its history a moment later.
            cluster.store.drop_watches()
            cluster.configure(*cluster.routes)
            cluster.store.history.clear()
            cluster.loop.net.reset_connections(cluster.store.host)
            await asyncio.sleep(pause_seconds)
            cluster.store.drop_history()
            await asyncio.sleep(IN_FORCE_SECONDS)
            assert version_of(gateway) == cluster.version, pause_seconds
            await asyncio.sleep(5.0)

    run_scenario(scenario)


def test_older_configuration_never_takes_the_place_of_a_newer_one() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.configure(make_route("r-new", "/new/", service=CALL_SERVICE))
        await asyncio.sleep(IN_FORCE_SECONDS)
        newest = cluster.version
        older = {**stored_configuration(cluster), "version": newest - 1, "routes": []}
        cluster.store.put("op/config", older)
        await asyncio.sleep(IN_FORCE_SECONDS)
        cluster.store.compact()
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert version_of(gateway) == newest
        answer = await cluster.send_request(gateway, "/new/x")
        assert answer is not None and answer.status == 200
        assert gateway.log_lines("older_configuration_ignored")

    run_scenario(scenario)


def test_malformed_configuration_leaves_the_last_one_in_force() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        version = version_of(gateway)
        for value in (b"{", b"[]", b'{"version": "x", "routes": 3}', b"\xff\xfe"):
            cluster.store.put("op/config", value)
            await asyncio.sleep(2.0)
            answer = await cluster.send_request(gateway, READ_PATH)
            assert answer is not None and answer.status == 200
        assert version_of(gateway) == version
        [line] = gateway.log_lines("malformed_record_ignored")
        assert "key=op/config" in line

    run_scenario(scenario)


def test_entries_of_other_writers_name_no_replica_and_the_others_hold() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        entry = cluster.replicas["i-1"].store_record()
        bad: dict[str, object] = {
            "bytes": b"\x00\xff",
            "list": [],
            "state": {**entry, "state": "sleeping"},
            "slots": {**entry, "slots": "2"},
            "no-slots": {**entry, "slots": True},
            "address": {**entry, "address": "nowhere"},
            "port": {**entry, "address": "10.1.0.1:99999"},
            "service": {**entry, "service": 7},
            "cold": {**entry, "coldRemainingMs": "x"},
        }
        for name, value in bad.items():
            cluster.store.put(f"servers/{name}", value)
        await asyncio.sleep(2.0)
        assert set(gateway.gateway._state.replicas.names) == {"i-1", "i-2"}
        assert len(gateway.log_lines("malformed_record_ignored")) == len(bad)
        assert await ask_for(cluster, gateway, 1.0) == [200] * 10

    run_scenario(scenario)


def test_entry_that_turns_malformed_no_longer_names_its_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        spoiled = cluster.replicas["i-1"]
        cluster.store.put("servers/i-1", b"{")
        await asyncio.sleep(LEAVING_SECONDS + 1.0)
        seen = len(spoiled.runs)
        assert await ask_for(cluster, gateway, 2.0) == [200] * 20
        assert len(spoiled.runs) == seen

    run_scenario(scenario)


def test_leaving_replica_gets_no_new_work_after_a_few_seconds() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        leaving, gone = cluster.replicas["i-1"], cluster.add_replica(CALL_SERVICE)
        await asyncio.sleep(2.0)
        told_at = cluster.loop.time()
        cluster.register(leaving, state="draining")
        cluster.unregister(gone)
        assert set(await ask_for(cluster, gateway, 6.0)) == {200}
        for replica in (leaving, gone):
            last = max((run.started_at_seconds for run in replica.runs), default=0.0)
            assert last - told_at <= LEAVING_SECONDS

    run_scenario(scenario)


def test_change_behind_many_others_is_taken_in_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        leaving = cluster.replicas["i-1"]
        cluster.store.fault = fault_always(StoreFault.BUSY)
        await asyncio.sleep(1.0)
        for number in range(4 * MAX_EVENTS):
            cluster.store.put(
                f"servers/other-{number}", leaving.store_record(service="other")
            )
        cluster.register(leaving, state="draining")
        cluster.configure(*cluster.routes)
        cluster.store.fault = fault_always(StoreFault.NONE)
        told_at = cluster.loop.time()
        assert set(await ask_for(cluster, gateway, 6.0)) == {200}
        last = max(run.started_at_seconds for run in leaving.runs)
        assert last - told_at <= LEAVING_SECONDS
        assert version_of(gateway) == cluster.version

    run_scenario(scenario)


def test_last_replica_is_used_while_it_leaves_but_not_for_long() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        told_at = cluster.loop.time()
        for replica in cluster.replicas.values():
            cluster.register(replica, state="draining")
        await ask_for(cluster, gateway, 6.0)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        last = max(run.started_at_seconds for run in runs)
        assert 1.0 < last - told_at <= LEAVING_SECONDS

    run_scenario(scenario)


def test_last_replica_that_was_removed_is_not_used_for_long() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        told_at = cluster.loop.time()
        for replica in cluster.replicas.values():
            cluster.unregister(replica)
        await ask_for(cluster, gateway, 6.0)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        last = max(run.started_at_seconds for run in runs)
        assert 1.0 < last - told_at <= LEAVING_SECONDS

    run_scenario(scenario)


def test_removal_that_is_seen_late_is_still_kept_in_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.add_replica("another-service")
        await asyncio.sleep(0.02)
        told_at = cluster.loop.time()
        for replica in list(cluster.replicas.values()):
            if replica.service == CALL_SERVICE:
                cluster.unregister(replica)
        await ask_for(cluster, gateway, 6.0)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        assert max(run.started_at_seconds for run in runs) - told_at <= LEAVING_SECONDS

    run_scenario(scenario)


def test_listed_replica_goes_before_one_that_was_removed() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        removed = cluster.replicas["i-1"]
        cluster.unregister(removed)
        await asyncio.sleep(0.1)
        seen = len(removed.runs)
        await ask_for(cluster, gateway, 1.5)
        assert len(removed.runs) == seen

    run_scenario(scenario)


def test_entries_that_lapsed_with_the_store_are_used_until_they_are_back() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.store.fault = fault_always(StoreFault.UNRESPONSIVE)
        cluster.loop.net.reset_connections(cluster.store.host)
        asking = asyncio.ensure_future(ask_for(cluster, gateway, 12.0))
        await asyncio.sleep(5.0)
        for replica in cluster.replicas.values():
            cluster.unregister(replica)
        cluster.store.fault = fault_always(StoreFault.NONE)
        await asyncio.sleep(1.9)
        for replica in cluster.replicas.values():
            cluster.register(replica)
        assert set(await asking) == {200}

    run_scenario(scenario)


def test_replica_still_missing_after_the_store_is_back_is_gone() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.store.fault = fault_always(StoreFault.BUSY)
        cluster.loop.net.reset_connections(cluster.store.host)
        await asyncio.sleep(3.0)
        missing = cluster.replicas["i-1"]
        cluster.unregister(missing)
        cluster.store.fault = fault_always(StoreFault.NONE)
        back_at = cluster.loop.time()
        assert set(await ask_for(cluster, gateway, 8.0)) == {200}
        last = max(run.started_at_seconds for run in missing.runs)
        assert last - back_at <= 2.0 + 1.5

    run_scenario(scenario)


def test_store_outages_of_every_kind_are_served_through() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for fault in StoreFault:
            if fault is StoreFault.NONE:
                continue
            cluster.store.fault = fault_always(fault)
            cluster.store.reset_watches()
            assert await ask_for(cluster, gateway, 5.0) == [200] * 50, fault
            calls = len(cluster.store.calls)
            await asyncio.sleep(10.0)
            assert len(cluster.store.calls) - calls < 60, fault
            cluster.store.fault = fault_always(StoreFault.NONE)
            await asyncio.sleep(STABLE_SECONDS)
            cluster.configure(*cluster.routes)
            await asyncio.sleep(IN_FORCE_SECONDS)
            assert version_of(gateway) == cluster.version, fault

    run_scenario(scenario)


def test_silent_watch_is_given_up_and_the_change_taken() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        pair = frozenset((gateway.host, cluster.store.host))
        cluster.loop.net.partitioned_pairs.add(pair)
        cluster.configure(*cluster.routes)
        await asyncio.sleep(25.0)
        cluster.loop.net.partitioned_pairs.discard(pair)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert version_of(gateway) == cluster.version

    run_scenario(scenario)


def test_many_records_are_read_page_by_page() -> None:
    async def scenario(cluster: Cluster) -> None:
        for _ in range(2 * PAGE_SIZE):
            cluster.add_replica("wide")
        gateway = await start_small_cluster(cluster)
        assert len(gateway.gateway._state.replicas.names) == 2 * PAGE_SIZE + 2
        ranges = cluster.store.calls[: cluster.store.calls.index("GET /kv-watch")]
        assert ranges.count("GET /kv-range") == 3

    run_scenario(scenario)


def test_instances_count_each_other_and_notice_those_that_end() -> None:
    async def scenario(cluster: Cluster) -> None:
        first = await start_small_cluster(cluster)
        second = cluster.start_gateway("g-2")
        await asyncio.sleep(SETTLE_SECONDS)
        assert first.gateway._state.peers.live_count == 2
        assert second.gateway._state.peers.live_count == 2
        second.kill(cluster)
        await asyncio.sleep(20.0)
        assert first.gateway._state.peers.live_count == 1

    run_scenario(scenario)


def test_registration_that_was_taken_away_is_made_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_small_cluster(cluster)
        for lease in list(cluster.store.leases):
            cluster.store.end_lease(lease)
        assert "instances/g-1" not in cluster.store.items
        await asyncio.sleep(6.0)
        assert "instances/g-1" in cluster.store.items

    run_scenario(scenario)


def test_calls_of_an_idle_instance_are_few() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_search_cluster(cluster)
        calls = len(cluster.store.calls)
        await asyncio.sleep(60.0)
        made = cluster.store.calls[calls:]
        assert made.count("GET /kv-watch") <= 4
        assert len(made) - made.count("GET /kv-range") <= 20
        assert made.count("GET /kv-range") <= 30

    run_scenario(scenario)


def test_restarted_process_reads_the_newest_configuration_at_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.kill(cluster)
        cluster.configure(make_route("r-new", "/new/", service=CALL_SERVICE))
        gateway = cluster.start_gateway("g-1")
        answer = await cluster.send_request(gateway, "/new/x")
        assert answer is not None and answer.status == 200
        assert answer.elapsed_seconds < 0.05

    run_scenario(scenario)
