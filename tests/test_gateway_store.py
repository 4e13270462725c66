"""Tests of how a gateway applies the contents of the store, in virtual time."""

import asyncio
from collections.abc import Callable
from typing import Any

from tests.fixtures_gateway import (
    BOOKING_SERVICE,
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

MAX_APPLY_SECONDS = 3.0
# The bound applies once the store has been healthy for this long.
STABLE_SECONDS = 4.0
MAX_DRAIN_DELAY_SECONDS = 3.0


def active_version(gateway: RunningGateway) -> int:
    table = gateway.gateway._state.table
    return table.version if table is not None else 0


async def request_statuses(
    cluster: Cluster, gateway: RunningGateway, seconds: float
) -> list[int]:
    """Send ten requests a second; return the statuses."""
    statuses = []
    for _ in range(int(seconds * 10)):
        response = await cluster.send_request(gateway, READ_PATH)
        statuses.append(response.status if response is not None else 0)
        await asyncio.sleep(0.1)
    return statuses


def test_configuration_is_applied_in_time_despite_store_faults() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        await asyncio.sleep(2.0)
        faults: list[Callable[[], None]] = [
            cluster.store.drop_watches,
            cluster.store.reset_watches,
            cluster.store.compact,
            lambda: cluster.loop.net.reset_connections(gateway.host),
        ]
        for inject_fault in faults:
            inject_fault()
            cluster.configure(*cluster.routes)
            inject_fault()
            await asyncio.sleep(MAX_APPLY_SECONDS)
            assert active_version(gateway) == cluster.version

    run_scenario(scenario)


def test_change_before_a_compaction_is_not_lost() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        draining = cluster.replicas["i-1"]
        cluster.register(draining, state="draining")
        cluster.configure(*cluster.routes)
        cluster.store.compact()
        await asyncio.sleep(MAX_DRAIN_DELAY_SECONDS)
        assert active_version(gateway) == cluster.version
        runs_before = len(draining.runs)
        await request_statuses(cluster, gateway, 2.0)
        assert len(draining.runs) == runs_before

    run_scenario(scenario)


def test_watch_opened_just_before_a_compaction_loses_no_change() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for delay_seconds in (0.0, 0.03, 0.06, 0.09, 0.12, 0.2):
            # The store does not notify its watches of a change, resets their
            # connections, and compacts its history a moment later.
            cluster.store.drop_watches()
            cluster.configure(*cluster.routes)
            cluster.store.history.clear()
            cluster.loop.net.reset_connections(cluster.store.host)
            await asyncio.sleep(delay_seconds)
            cluster.store.drop_history()
            await asyncio.sleep(MAX_APPLY_SECONDS)
            assert active_version(gateway) == cluster.version, delay_seconds
            await asyncio.sleep(5.0)

    run_scenario(scenario)


def test_older_configuration_never_replaces_a_newer_one() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.configure(make_route("r-new", "/new/", service=BOOKING_SERVICE))
        await asyncio.sleep(MAX_APPLY_SECONDS)
        newest = cluster.version
        older = {**stored_configuration(cluster), "version": newest - 1, "routes": []}
        cluster.store.put("op/config", older)
        await asyncio.sleep(MAX_APPLY_SECONDS)
        cluster.store.compact()
        await asyncio.sleep(MAX_APPLY_SECONDS)
        assert active_version(gateway) == newest
        response = await cluster.send_request(gateway, "/new/x")
        assert response is not None and response.status == 200
        assert gateway.log_lines("older_configuration_ignored")

    run_scenario(scenario)


def test_malformed_configuration_leaves_the_last_valid_one_active() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        version = active_version(gateway)
        for value in (b"{", b"[]", b'{"version": "x", "routes": 3}', b"\xff\xfe"):
            cluster.store.put("op/config", value)
            await asyncio.sleep(2.0)
            response = await cluster.send_request(gateway, READ_PATH)
            assert response is not None and response.status == 200
        assert active_version(gateway) == version
        [line] = gateway.log_lines("malformed_record_ignored")
        assert "key=op/config" in line

    run_scenario(scenario)


def test_malformed_replica_records_are_ignored_and_the_others_stay() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        record = cluster.replicas["i-1"].store_record()
        malformed_records: dict[str, object] = {
            "bytes": b"\x00\xff",
            "list": [],
            "state": {**record, "state": "sleeping"},
            "slots": {**record, "slots": "2"},
            "no-slots": {**record, "slots": True},
            "address": {**record, "address": "nowhere"},
            "port": {**record, "address": "10.1.0.1:99999"},
            "service": {**record, "service": 7},
            "cold": {**record, "coldRemainingMs": "x"},
        }
        for name, value in malformed_records.items():
            cluster.store.put(f"servers/{name}", value)
        await asyncio.sleep(2.0)
        assert set(gateway.gateway._state.replicas.names) == {"i-1", "i-2"}
        assert len(gateway.log_lines("malformed_record_ignored")) == len(
            malformed_records
        )
        assert await request_statuses(cluster, gateway, 1.0) == [200] * 10

    run_scenario(scenario)


def test_odd_entries_of_another_writer_cost_themselves_alone() -> None:
    async def scenario(cluster: Cluster) -> None:
        first = await start_small_cluster(cluster)
        record = cluster.replicas["i-1"].store_record()
        deep = b"[" * 50_000 + b"]" * 50_000
        odd: dict[str, object] = {
            "servers/deep": deep,
            "servers/deep-field": {**record, "zone": [[[[["z"]]]]]},
            "servers/number": b'{"slots": 1e999, "coldRemainingMs": 1e999}',
            "servers/cold": {**record, "coldRemainingMs": 1e308},
            "servers/born": {**record, "born": 2**64 - 1},
            "servers/digits": {**record, "address": "10.1.0.1:" + "1" * 5_000},
            "servers/superscript": {**record, "address": "10.1.0.1:808\u00b2"},
            "servers/range": {**record, "address": "10.1.0.1:65536"},
            "servers/host": {**record, "address": "10..0.9:8080"},
            "servers/long": {**record, "service": "s" * 500_000},
            "servers/a\r\nx: y": record,
            "instances/port": b'{"failure_domain": "zone-a", "host": "10.9.0.9",'
            b' "port": 99999, "processor_cores": 1}',
            "instances/cores": b'{"failure_domain": "zone-a", "host": "10.9.0.9",'
            b' "port": 7380, "processor_cores": 1e999}',
        }
        for key, value in odd.items():
            cluster.store.put(key, value)
        cluster.configure(make_route("r-new", "/new/", service=BOOKING_SERVICE))
        await asyncio.sleep(MAX_APPLY_SECONDS)
        second = cluster.start_gateway("g-2")
        await asyncio.sleep(SETTLE_SECONDS)
        for gateway in (first, second):
            assert active_version(gateway) == cluster.version
            assert await cluster.is_ready(gateway)
            assert not gateway.log_lines("task_failed")
            for _ in range(10):
                response = await cluster.send_request(gateway, "/new/x")
                assert response is not None and response.status == 200
            lines = gateway.log_lines("malformed_record_ignored")
            assert 10 <= len(lines) <= len(odd) and max(map(len, lines)) < 1_000
            text = gateway.gateway.metrics.registry.render(now_seconds=0.0)
            assert "bronzebeam_gateway_malformed_records_count" in text

    run_scenario(scenario)


def test_unreadable_era_counts_as_an_outage_of_the_store() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        store: Any = cluster.store
        for text in ("9" * 5_000, "\u00b2", "-1"):
            era, store.era = store.era, text
            await asyncio.sleep(3.0)
            assert gateway.log_lines("store_lost")
            store.era = era
            cluster.configure(*cluster.routes)
            await asyncio.sleep(3.0)
            table = gateway.gateway._state.table
            assert table is not None and table.version == cluster.version
        assert not gateway.log_lines("task_failed")

    run_scenario(scenario)


def test_replica_whose_record_becomes_malformed_is_no_longer_used() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        malformed = cluster.replicas["i-1"]
        cluster.store.put("servers/i-1", b"{")
        await asyncio.sleep(MAX_DRAIN_DELAY_SECONDS + 1.0)
        runs_before = len(malformed.runs)
        assert await request_statuses(cluster, gateway, 2.0) == [200] * 20
        assert len(malformed.runs) == runs_before

    run_scenario(scenario)


def test_draining_replica_gets_no_new_requests_after_a_few_seconds() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        draining, removed = cluster.replicas["i-1"], cluster.add_replica(
            BOOKING_SERVICE
        )
        await asyncio.sleep(2.0)
        changed_at = cluster.loop.time()
        cluster.register(draining, state="draining")
        cluster.unregister(removed)
        assert set(await request_statuses(cluster, gateway, 6.0)) == {200}
        for replica in (draining, removed):
            last = max((run.started_at_seconds for run in replica.runs), default=0.0)
            assert last - changed_at <= MAX_DRAIN_DELAY_SECONDS

    run_scenario(scenario)


def test_change_after_many_others_is_applied_in_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        draining = cluster.replicas["i-1"]
        cluster.store.fault = fault_always(StoreFault.BUSY)
        await asyncio.sleep(1.0)
        for number in range(4 * MAX_EVENTS):
            cluster.store.put(
                f"servers/other-{number}", draining.store_record(service="other")
            )
        cluster.register(draining, state="draining")
        cluster.configure(*cluster.routes)
        cluster.store.fault = fault_always(StoreFault.NONE)
        changed_at = cluster.loop.time()
        assert set(await request_statuses(cluster, gateway, 6.0)) == {200}
        last = max(run.started_at_seconds for run in draining.runs)
        assert last - changed_at <= MAX_DRAIN_DELAY_SECONDS
        assert active_version(gateway) == cluster.version

    run_scenario(scenario)


def test_last_replica_is_used_only_briefly_while_it_drains() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        changed_at = cluster.loop.time()
        for replica in cluster.replicas.values():
            cluster.register(replica, state="draining")
        await request_statuses(cluster, gateway, 6.0)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        last = max(run.started_at_seconds for run in runs)
        assert 1.0 < last - changed_at <= MAX_DRAIN_DELAY_SECONDS

    run_scenario(scenario)


def test_last_replica_is_used_only_briefly_after_its_removal() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        removed_at = cluster.loop.time()
        for replica in cluster.replicas.values():
            cluster.unregister(replica)
        await request_statuses(cluster, gateway, 6.0)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        last = max(run.started_at_seconds for run in runs)
        assert 1.0 < last - removed_at <= MAX_DRAIN_DELAY_SECONDS

    run_scenario(scenario)


def test_removal_that_is_delivered_late_is_applied_in_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.add_replica("another-service")
        await asyncio.sleep(0.02)
        removed_at = cluster.loop.time()
        for replica in list(cluster.replicas.values()):
            if replica.service == BOOKING_SERVICE:
                cluster.unregister(replica)
        await request_statuses(cluster, gateway, 6.0)
        runs = [run for item in cluster.replicas.values() for run in item.runs]
        assert (
            max(run.started_at_seconds for run in runs) - removed_at
            <= MAX_DRAIN_DELAY_SECONDS
        )

    run_scenario(scenario)


def test_registered_replica_is_preferred_to_a_removed_one() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        removed = cluster.replicas["i-1"]
        cluster.unregister(removed)
        await asyncio.sleep(0.1)
        runs_before = len(removed.runs)
        await request_statuses(cluster, gateway, 1.5)
        assert len(removed.runs) == runs_before

    run_scenario(scenario)


def test_replicas_with_expired_records_are_used_until_they_return() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.store.fault = fault_always(StoreFault.UNRESPONSIVE)
        cluster.loop.net.reset_connections(cluster.store.host)
        requests = asyncio.ensure_future(request_statuses(cluster, gateway, 12.0))
        await asyncio.sleep(5.0)
        for replica in cluster.replicas.values():
            cluster.unregister(replica)
        cluster.store.fault = fault_always(StoreFault.NONE)
        await asyncio.sleep(1.9)
        for replica in cluster.replicas.values():
            cluster.register(replica)
        assert set(await requests) == {200}

    run_scenario(scenario)


def test_replica_missing_after_a_store_outage_is_removed() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.store.fault = fault_always(StoreFault.BUSY)
        cluster.loop.net.reset_connections(cluster.store.host)
        await asyncio.sleep(3.0)
        missing = cluster.replicas["i-1"]
        cluster.unregister(missing)
        cluster.store.fault = fault_always(StoreFault.NONE)
        restored_at = cluster.loop.time()
        assert set(await request_statuses(cluster, gateway, 8.0)) == {200}
        last = max(run.started_at_seconds for run in missing.runs)
        assert last - restored_at <= 2.0 + 1.5

    run_scenario(scenario)


def test_requests_are_served_during_every_kind_of_store_outage() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for fault in StoreFault:
            if fault is StoreFault.NONE:
                continue
            cluster.store.fault = fault_always(fault)
            cluster.store.reset_watches()
            assert await request_statuses(cluster, gateway, 5.0) == [200] * 50, fault
            calls = len(cluster.store.calls)
            await asyncio.sleep(10.0)
            assert len(cluster.store.calls) - calls < 60, fault
            cluster.store.fault = fault_always(StoreFault.NONE)
            await asyncio.sleep(STABLE_SECONDS)
            cluster.configure(*cluster.routes)
            await asyncio.sleep(MAX_APPLY_SECONDS)
            assert active_version(gateway) == cluster.version, fault

    run_scenario(scenario)


def test_change_is_applied_after_an_unresponsive_watch() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        pair = frozenset((gateway.host, cluster.store.host))
        cluster.loop.net.partitioned_pairs.add(pair)
        cluster.configure(*cluster.routes)
        await asyncio.sleep(25.0)
        cluster.loop.net.partitioned_pairs.discard(pair)
        await asyncio.sleep(MAX_APPLY_SECONDS)
        assert active_version(gateway) == cluster.version

    run_scenario(scenario)


def test_many_records_are_read_in_pages() -> None:
    async def scenario(cluster: Cluster) -> None:
        for _ in range(2 * PAGE_SIZE):
            cluster.add_replica("wide")
        gateway = await start_small_cluster(cluster)
        assert len(gateway.gateway._state.replicas.names) == 2 * PAGE_SIZE + 2
        ranges = cluster.store.calls[: cluster.store.calls.index("GET /kv-watch")]
        assert ranges.count("GET /kv-range") == 3

    run_scenario(scenario)


def test_instances_count_each_other_and_notice_a_killed_one() -> None:
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


def test_lost_registration_is_renewed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_small_cluster(cluster)
        for lease in list(cluster.store.leases):
            cluster.store.end_lease(lease)
        assert "instances/g-1" not in cluster.store.items
        await asyncio.sleep(6.0)
        assert "instances/g-1" in cluster.store.items

    run_scenario(scenario)


def test_idle_instance_makes_few_store_calls() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_search_cluster(cluster)
        calls = len(cluster.store.calls)
        await asyncio.sleep(60.0)
        calls_made = cluster.store.calls[calls:]
        assert calls_made.count("GET /kv-watch") <= 4
        assert len(calls_made) - calls_made.count("GET /kv-range") <= 20
        assert calls_made.count("GET /kv-range") <= 30

    run_scenario(scenario)


def test_restarted_process_reads_the_latest_configuration_at_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.kill(cluster)
        cluster.configure(make_route("r-new", "/new/", service=BOOKING_SERVICE))
        gateway = cluster.start_gateway("g-1")
        response = await cluster.send_request(gateway, "/new/x")
        assert response is not None and response.status == 200
        assert response.elapsed_seconds < 0.05

    run_scenario(scenario)


def test_watches_of_frequent_changes_are_as_few_as_the_bounds_allow() -> None:
    for bound_ms, max_watches in (("3000", 12), ("6000", 7)):

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_small_cluster(
                cluster,
                gateway_settings={
                    "bounds.drainTimeoutMs": bound_ms,
                    "bounds.configApplyMs": bound_ms,
                },
            )
            cluster.store.calls.clear()
            for _ in range(100):
                cluster.configure(*cluster.routes)
                await asyncio.sleep(0.1)
            assert cluster.store.calls.count("GET /kv-watch") <= max_watches
            await asyncio.sleep(int(bound_ms) / 1_000 * 0.5)
            assert active_version(gateway) == cluster.version

        run_scenario(scenario)


def test_refused_renewals_are_few_and_the_registration_outlasts_them() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_small_cluster(cluster)
        cluster.store.fault = fault_always(StoreFault.BUSY)
        cluster.store.calls.clear()
        await asyncio.sleep(12.0)
        renewals = [call for call in cluster.store.calls if "/kv-keep" in call]
        assert 1 <= len(renewals) <= 8
        cluster.store.fault = fault_always(StoreFault.NONE)
        await asyncio.sleep(2.9)
        assert "instances/g-1" in cluster.store.items
        await asyncio.sleep(20.0)
        assert "instances/g-1" in cluster.store.items

    run_scenario(scenario)
