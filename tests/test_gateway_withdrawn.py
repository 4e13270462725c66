"""Tests of replicas that the store reports as draining or removed, in virtual time."""

import asyncio

from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    make_route,
    replicas_of_service,
    run_scenario,
    start_small_cluster,
)
from tests.standin_replica import StandinReplica
from tests.standin_store import PAGE_SIZE

DRAIN_BOUND_SECONDS = 3.0
STALE_SECONDS = 3.0
READ_TIMEOUT_MS = 2_000


async def send_reads(
    cluster: Cluster, gateway: RunningGateway, *, seconds: float
) -> list[int]:
    """Send 20 requests a second without waiting for their answers; return statuses."""
    tasks = []
    for _ in range(int(seconds * 20)):
        tasks.append(
            asyncio.create_task(
                cluster.send_request(gateway, READ_PATH, remaining_ms=READ_TIMEOUT_MS)
            )
        )
        await asyncio.sleep(0.05)
    responses = await asyncio.gather(*tasks)
    return [0 if item is None else item.status for item in responses]


def received_after(replica: StandinReplica, at_seconds: float) -> int:
    return sum(at > at_seconds for at in replica.received_at_seconds)


def test_drain_between_stale_pages_of_unequal_age_is_not_missed() -> None:
    async def scenario(cluster: Cluster) -> None:
        ages = iter([0.1, STALE_SECONDS])
        cluster.store.stale_age_seconds = lambda: next(ages, 0.0)
        for number in range(PAGE_SIZE):
            cluster.store.put(f"op/on-the-first-page-{number:02d}", b"")
        draining, removed, other = (
            cluster.add_replica(BOOKING_SERVICE) for _ in range(3)
        )
        cluster.configure(make_route("r-read", READ_PATH, service=BOOKING_SERVICE))
        await asyncio.sleep(2 * STALE_SECONDS)
        cluster.register(draining, state="draining")
        cluster.unregister(removed)
        changed_at = cluster.loop.time()
        await asyncio.sleep(0.5)
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(DRAIN_BOUND_SECONDS)
        assert set(await send_reads(cluster, gateway, seconds=3.0)) == {200}
        for replica in (draining, removed):
            assert received_after(replica, changed_at + DRAIN_BOUND_SECONDS) == 0
        assert other.runs

    run_scenario(scenario)


def test_configuration_on_a_later_and_older_stale_page_is_not_kept() -> None:
    async def scenario(cluster: Cluster) -> None:
        ages = iter([0.1, STALE_SECONDS])
        cluster.store.stale_age_seconds = lambda: next(ages, 0.0)
        record = {"zone": "zone-a", "address": "", "cores": 1.0}
        for number in range(PAGE_SIZE):
            cluster.store.put(f"instances/other-{number:03d}", record)
        cluster.add_replica(BOOKING_SERVICE)
        cluster.configure(make_route("r-read", READ_PATH, service=BOOKING_SERVICE))
        await asyncio.sleep(2 * STALE_SECONDS)
        cluster.configure(make_route("r-new", "/new/", service=BOOKING_SERVICE))
        await asyncio.sleep(0.5)
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(SETTLE_SECONDS)
        table = gateway.gateway._state.table
        assert table is not None and table.version == cluster.version

    run_scenario(scenario)


def test_process_that_starts_sends_nothing_to_replicas_that_drain_already() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_small_cluster(cluster)
        draining, other = replicas_of_service(cluster, BOOKING_SERVICE)
        cluster.register(draining, state="draining")
        await asyncio.sleep(DRAIN_BOUND_SECONDS)
        started_at = cluster.loop.time()
        gateway = cluster.start_gateway("g-2")
        # Each request is hedged, since the other replica is slow.
        other.work_seconds = 0.5
        await asyncio.sleep(0.2)
        await send_reads(cluster, gateway, seconds=2.0)
        assert other.runs
        assert received_after(draining, started_at) == 0

    run_scenario(scenario)


def test_process_that_starts_on_a_stale_read_sends_nothing_to_draining_replicas() -> (
    None
):
    async def scenario(cluster: Cluster) -> None:
        cluster.store.stale_age_seconds = lambda: STALE_SECONDS
        await start_small_cluster(cluster)
        draining, other = replicas_of_service(cluster, BOOKING_SERVICE)
        await asyncio.sleep(STALE_SECONDS)
        cluster.register(draining, state="draining")
        await asyncio.sleep(STALE_SECONDS - 0.5)
        started_at = cluster.loop.time()
        gateway = cluster.start_gateway("g-2")
        other.work_seconds = 0.5
        await asyncio.sleep(0.1)
        await send_reads(cluster, gateway, seconds=2.0)
        assert other.runs
        assert received_after(draining, started_at) == 0

    run_scenario(scenario)


def test_draining_replica_whose_registration_lapsed_is_not_used_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        draining, other = replicas_of_service(cluster, BOOKING_SERVICE)
        drained_at = cluster.loop.time()
        cluster.register(draining, state="draining")
        await asyncio.sleep(2.0)
        cluster.unregister(draining)
        await asyncio.sleep(4.0)
        cluster.register(draining, state="draining")
        other.work_seconds = 0.5
        await send_reads(cluster, gateway, seconds=3.0)
        assert received_after(draining, drained_at + DRAIN_BOUND_SECONDS) == 0

    run_scenario(scenario)


def test_replica_seen_draining_after_a_gap_of_the_watch_is_not_used() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        replicas = replicas_of_service(cluster, BOOKING_SERVICE)
        pair = frozenset((gateway.host, cluster.store.host))
        cluster.loop.net.partitioned_pairs.add(pair)
        drained_at = cluster.loop.time()
        for replica in replicas:
            cluster.register(replica, state="draining")
        await asyncio.sleep(8.0)
        cluster.store.compact()
        cluster.loop.net.partitioned_pairs.discard(pair)
        while not gateway.log_lines("replica_draining"):
            await asyncio.sleep(0.1)
        seen_at = cluster.loop.time()
        assert seen_at > drained_at + DRAIN_BOUND_SECONDS
        assert set(await send_reads(cluster, gateway, seconds=3.0)) == {503}
        for replica in replicas:
            assert received_after(replica, seen_at) == 0

    run_scenario(scenario)


def test_removal_after_the_end_of_a_cut_is_no_lapse_of_all_registrations() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        pair = frozenset((gateway.host, cluster.store.host))
        cluster.loop.net.partitioned_pairs.add(pair)
        await asyncio.sleep(6.0)
        cluster.loop.net.partitioned_pairs.discard(pair)
        while not gateway.gateway._store_watch.connected:
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.4)
        # A change just before delays the news of the removal by the longest pause.
        cluster.add_replica("another-service")
        await asyncio.sleep(0.02)
        removed_at = cluster.loop.time()
        replicas = replicas_of_service(cluster, BOOKING_SERVICE)
        for replica in replicas:
            cluster.unregister(replica)
        await send_reads(cluster, gateway, seconds=5.0)
        for replica in replicas:
            assert received_after(replica, removed_at + DRAIN_BOUND_SECONDS) == 0

    run_scenario(scenario)


def test_replica_removed_during_a_cut_is_not_used_for_hedges() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        removed, other = replicas_of_service(cluster, BOOKING_SERVICE)
        pair = frozenset((gateway.host, cluster.store.host))
        cluster.loop.net.partitioned_pairs.add(pair)
        await asyncio.sleep(1.0)
        cluster.unregister(removed)
        await asyncio.sleep(5.0)
        cluster.loop.net.partitioned_pairs.discard(pair)
        while not gateway.log_lines("replica_gone"):
            await asyncio.sleep(0.05)
        seen_at = cluster.loop.time()
        other.work_seconds = 0.5
        await send_reads(cluster, gateway, seconds=3.0)
        assert other.runs
        assert received_after(removed, seen_at) == 0

    run_scenario(scenario)


def test_requests_that_wait_for_a_connection_are_not_sent_to_a_leaving_replica() -> (
    None
):
    for leaves in ("draining", "removed"):

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_small_cluster(cluster)
            service = {"name": BOOKING_SERVICE, "healthPath": "/", "connectionLimit": 1}
            route = make_route(
                "r-read", READ_PATH, service=BOOKING_SERVICE, timeoutMs=2_500
            )
            cluster.configure(route, services=[service])
            await asyncio.sleep(SETTLE_SECONDS)
            replicas = replicas_of_service(cluster, BOOKING_SERVICE)
            for replica in replicas:
                replica.work_seconds = 0.8
            left_at = cluster.loop.time()
            for replica in replicas:
                if leaves == "draining":
                    cluster.register(replica, state="draining")
                else:
                    cluster.unregister(replica)
            await send_reads(cluster, gateway, seconds=2.0)
            for replica in replicas:
                assert received_after(replica, left_at + DRAIN_BOUND_SECONDS) == 0

        run_scenario(scenario)


def test_watch_that_is_dropped_is_noticed_though_reads_are_stale() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.stale_age_seconds = lambda: STALE_SECONDS
        gateway = await start_small_cluster(cluster)
        draining, other = replicas_of_service(cluster, BOOKING_SERVICE)
        await asyncio.sleep(2 * STALE_SECONDS)
        cluster.store.drop_watches()
        cluster.register(draining, state="draining")
        drained_at = cluster.loop.time()
        other.work_seconds = 0.5
        await send_reads(cluster, gateway, seconds=8.0)
        # A dropped watch counts as a fault of the instance for four seconds.
        assert received_after(draining, drained_at + 4.0) == 0

    run_scenario(scenario)


def test_log_tells_what_was_known_of_a_leaving_replica_that_was_used() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        (line,) = gateway.log_lines("store_read")
        assert " stale=true pages=1 " in line
        for replica in replicas_of_service(cluster, BOOKING_SERVICE):
            cluster.register(replica, state="draining")
        await asyncio.sleep(1.2)
        await cluster.send_request(gateway, READ_PATH, attempt_id="late-1")
        (line,) = gateway.log_lines("leaving_replica_used")
        assert " request=late-1 " in line and " source=registration " in line
        fields = dict(item.split("=", 1) for item in line.split())
        assert 100 <= int(fields["known_ms"]) <= 1_200
        text = gateway.gateway.metrics.registry.render(now_seconds=0.0)
        name = 'bronzebeam_gateway_leaving_sends_total{source="registration"}'
        assert f"{name} 1\n" in text

    run_scenario(scenario)
