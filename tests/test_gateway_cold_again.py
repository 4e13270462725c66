"""Tests of replicas that become cold again or are read again, in virtual time."""

import asyncio
import time

from tests.fixtures_cold import (
    COLD_MS,
    LEARNING_SECONDS,
    SETTINGS,
    allowed_in_a_second,
    most_in_a_second,
    set_cold_rate,
    start_cold_service,
)
from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    make_route,
    run_scenario,
)
from tests.test_gateway_evacuation import (
    received_count,
)
from tests.test_gateway_limits import send_from_callers


def test_replica_that_becomes_cold_again_is_left_to_those_that_do_not_know() -> None:
    async def scenario(cluster: Cluster) -> None:
        replica = cluster.add_replica(BOOKING_SERVICE, slots=20)
        set_cold_rate(
            cluster, 10.0, make_route("r-read", READ_PATH, service=BOOKING_SERVICE)
        )
        gateways = [
            cluster.start_gateway(f"g-{number}", **SETTINGS) for number in range(4)
        ]
        await asyncio.sleep(LEARNING_SECONDS + SETTLE_SECONDS)
        sending = asyncio.ensure_future(
            send_from_callers(
                cluster, gateways, READ_PATH, per_second=100, seconds=20.0
            )
        )
        await asyncio.sleep(4.0)
        cluster.register(replica, coldRemainingMs=COLD_MS)
        await asyncio.sleep(0.1)
        known_at, before = cluster.loop.time(), received_count([replica])
        await asyncio.sleep(LEARNING_SECONDS - 0.2)
        assert received_count([replica]) == before
        await sending
        assert received_count([replica]) > before
        assert most_in_a_second(replica, known_at) <= allowed_in_a_second(10.0)

    run_scenario(scenario)


def test_warm_replicas_stay_warm_when_their_registrations_are_read_again() -> None:
    """Guards against cold times that are counted from when the store is read."""

    async def scenario(cluster: Cluster) -> None:
        replicas = await start_cold_service(
            cluster, instances=2, per_second=5, cold_ms=10_000
        )
        gateways = list(cluster.gateways.values())
        await asyncio.sleep(10.0)
        copy = cluster.store.copy()
        for lose_history in (
            cluster.store.compact,
            lambda: cluster.store.restore(copy),
        ):
            lose_history()
            await asyncio.sleep(4.0)
            before = received_count(replicas)
            responses = await send_from_callers(
                cluster, gateways, READ_PATH, per_second=60, seconds=3.0
            )
            assert {item.status if item else 0 for item in responses} == {200}
            assert received_count(replicas) - before >= len(responses)
        for gateway in gateways:
            assert len(gateway.log_lines("replica_cold")) == len(replicas)

    run_scenario(scenario)


def test_new_instance_does_not_limit_replicas_that_started_long_before() -> None:
    """Guards against old registrations that state the cold time of the start."""
    for age_seconds, is_limited in ((COLD_MS / 1000 + 60, False), (5, True)):

        async def scenario(cluster: Cluster) -> None:
            for _ in range(2):
                replica = cluster.add_replica(
                    BOOKING_SERVICE,
                    slots=20,
                    started_at_ms=int((time.time() - age_seconds) * 1000),
                )
                cluster.unregister(replica)
                cluster.register(replica, coldRemainingMs=COLD_MS)
            set_cold_rate(
                cluster, 5.0, make_route("r-read", READ_PATH, service=BOOKING_SERVICE)
            )
            gateway = cluster.start_gateway("g-1", **SETTINGS)
            await asyncio.sleep(SETTLE_SECONDS)
            assert bool(gateway.log_lines("replica_cold")) is is_limited
            # A later registration says that it is cold again.
            for replica in cluster.replicas.values():
                cluster.register(replica, coldRemainingMs=COLD_MS)
            await asyncio.sleep(SETTLE_SECONDS)
            assert gateway.log_lines("replica_cold")

        run_scenario(scenario)


def test_waiting_requests_leave_a_replica_that_becomes_cold_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        replica = cluster.add_replica(BOOKING_SERVICE, slots=20, work_seconds=0.5)
        set_cold_rate(
            cluster,
            10.0,
            make_route(
                "r-book",
                BOOKING_PATH,
                service=BOOKING_SERVICE,
                routeKind="non_idempotent",
                timeoutMs=3_000,
            ),
        )
        gateway = cluster.start_gateway("g-1", **SETTINGS)
        await asyncio.sleep(LEARNING_SECONDS + SETTLE_SECONDS)
        tasks = [
            asyncio.create_task(
                cluster.send_request(
                    gateway, BOOKING_PATH, method="POST", remaining_ms=3_000
                )
            )
            for _ in range(60)
        ]
        await asyncio.sleep(0.2)
        sent = received_count([replica])
        cluster.register(replica, coldRemainingMs=COLD_MS)
        responses = await asyncio.gather(*tasks)
        statuses = [item.status if item else 0 for item in responses]
        assert 0 < sent < 60 and received_count([replica]) == sent
        assert (statuses.count(200), statuses.count(503)) == (sent, 60 - sent)

    run_scenario(scenario)
