"""Tests of cold replicas whose service states a cold rate, in virtual time."""

import asyncio
import re

from tests.fixtures_cold import (
    COLD_MS,
    LEARNING_SECONDS,
    SETTINGS,
    allowed_in_a_second,
    is_kept,
    most_in_a_second,
    set_cold_rate,
    start_cold_service,
)
from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    make_route,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
)
from tests.test_gateway_evacuation import (
    EVACUATION_BOUND_SECONDS,
    end_evacuation,
    evacuate,
    read_metrics,
    received_count,
    replicas_in,
)
from tests.test_gateway_limits import send_from_callers
from tests.test_gateway_owners import start_large_fleet


def test_instances_together_keep_the_bound_of_cold_replicas() -> None:
    for instances in (1, 4, 16):

        async def scenario(cluster: Cluster) -> None:
            replicas = await start_cold_service(
                cluster, instances=instances, per_second=10
            )
            gateways = list(cluster.gateways.values())
            responses = await send_from_callers(
                cluster, gateways, READ_PATH, per_second=120, seconds=10.0
            )
            assert is_kept(replicas, 10.0), [most_in_a_second(r) for r in replicas]
            answered = [item for item in responses if item and item.status == 200]
            refused = [item for item in responses if item and item.status == 503]
            assert len(answered) + len(refused) == len(responses)
            # Each of the two takes at least four a second.
            assert len(answered) >= 80, len(answered)
            assert all(float(item.headers["retry-after"]) > 0.0 for item in refused)
            assert received_count(replicas) == len(answered)
            [line] = gateways[0].log_lines("request_ended")[-1:]
            causes = {
                match
                for gateway in gateways
                for line in gateway.log_lines("request_ended")
                for match in re.findall(r"status=503 .*cause=(\S+)", line)
            }
            assert causes == {"replicas_cold"}

        run_scenario(scenario)


def test_callers_of_all_instances_get_a_part_of_what_cold_replicas_take() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_cold_service(cluster, instances=16, per_second=10)
        for gateway in cluster.gateways.values():
            responses = await send_from_callers(
                cluster, [gateway], READ_PATH, per_second=10, seconds=2.0
            )
            assert any(item and item.status == 200 for item in responses)

    run_scenario(scenario)


def test_bound_holds_for_a_burst_at_all_instances_after_a_quiet_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_cold_service(cluster, instances=16, per_second=4)
        for _ in range(3):
            await asyncio.sleep(8.0)
            await asyncio.gather(
                *(
                    cluster.send_request(gateway, READ_PATH)
                    for gateway in cluster.gateways.values()
                    for _ in range(10)
                )
            )
        assert is_kept(replicas, 4.0), [most_in_a_second(r) for r in replicas]
        assert received_count(replicas) > 0

    run_scenario(scenario)


def test_bound_holds_with_instances_that_are_cut_off_or_new() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_cold_service(cluster, instances=8, per_second=10)
        gateways = list(cluster.gateways.values())
        sending = asyncio.ensure_future(
            send_from_callers(
                cluster, gateways, READ_PATH, per_second=150, seconds=25.0
            )
        )
        await asyncio.sleep(4.0)
        for gateway in gateways[:5]:
            # The store drops what these have written, and turns them away.
            cluster.loop.net.partitioned_pairs.add(
                frozenset((gateway.host, cluster.store.host))
            )
            for key in list(cluster.store.items):
                if key.endswith(f"/{gateway.name}"):
                    cluster.store.remove(key)
        await asyncio.sleep(4.0)
        for number in range(20, 24):
            gateways.append(cluster.start_gateway(f"g-{number}", **SETTINGS))
        await asyncio.sleep(6.0)
        gateways[6].kill(cluster)
        gateways[6] = cluster.start_gateway("g-7", **SETTINGS)
        await sending
        assert is_kept(replicas, 10.0), [most_in_a_second(r) for r in replicas]

    run_scenario(scenario)


def test_bound_holds_while_the_whole_fleet_starts() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_cold_service(cluster, instances=0, per_second=5)
        gateways = [
            cluster.start_gateway(f"g-{number}", **SETTINGS) for number in range(10)
        ]
        await asyncio.sleep(0.1)
        await send_from_callers(
            cluster, gateways, READ_PATH, per_second=150, seconds=10.0
        )
        assert is_kept(replicas, 5.0), [most_in_a_second(r) for r in replicas]
        assert received_count(replicas) > 0

    run_scenario(scenario)


def test_cold_replicas_are_passed_over_until_they_are_warm() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, domains=("zone-a", "zone-b", "zone-b"), gateway_settings=SETTINGS
        )
        other = cluster.start_gateway("g-2", domain="zone-b", **SETTINGS)
        set_cold_rate(cluster, 10.0)
        cold = replicas_in(cluster, "zone-a")
        for replica in cold:
            cluster.register(replica, coldRemainingMs=20_000)
        await asyncio.sleep(LEARNING_SECONDS + SETTLE_SECONDS)
        before = received_count(cold)
        responses = await send_from_callers(
            cluster, [gateway, other], FAN_OUT_PATH, per_second=40, seconds=8.0
        )
        assert {item.status if item else 0 for item in responses} == {200}
        assert sum(item.missing for item in responses if item) == 0
        assert received_count(cold) == before
        await asyncio.sleep(10.0)
        await send_from_callers(
            cluster, [gateway, other], FAN_OUT_PATH, per_second=40, seconds=2.0
        )
        assert received_count(cold) > before
        [cold_line, *_] = gateway.log_lines("replica_cold")
        assert "service=shard-0" in cold_line and "per_second=10" in cold_line
        assert len(gateway.log_lines("replica_warm")) == len(cold)

    run_scenario(scenario)


def test_owners_together_keep_the_bound_of_a_cold_shard() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_fleet(cluster, gateway_settings=SETTINGS)
        set_cold_rate(cluster, 20.0)
        cold = replicas_of_service(cluster, "shard-0")
        for replica in cold:
            cluster.register(replica, coldRemainingMs=COLD_MS)
        await asyncio.sleep(LEARNING_SECONDS + SETTLE_SECONDS)
        since_seconds, before = cluster.loop.time(), received_count(cold)
        repeats = [await count_repeats(cluster, item) for item in gateways]
        responses = await send_from_callers(
            cluster, gateways, FAN_OUT_PATH, per_second=80, seconds=10.0
        )
        for replica in cold:
            most = most_in_a_second(replica, since_seconds)
            assert most <= allowed_in_a_second(20.0), most
        # Half of what the two take is left for instances of another view.
        assert received_count(cold) - before >= 10 * 2 * 20 * 0.4
        assert {item.status if item else 0 for item in responses} == {200}
        missing = sum(item.missing for item in responses if item)
        assert missing == len(responses) - (received_count(cold) - before)
        # Refusals of our own cost neither repeats nor the peers that state them.
        assert [await count_repeats(cluster, item) for item in gateways] == repeats
        for gateway in gateways:
            lines = gateway.log_lines("peer_avoided")
            assert not [line for line in lines if "cause=no_replica" in line]

    run_scenario(scenario)


async def count_repeats(cluster: Cluster, gateway: RunningGateway) -> float:
    state = gateway.gateway._state
    return sum(
        budget._repeat_count
        for name, budget in state._budget_by_service.items()
        if name == "shard-0"
    )


def test_requests_that_a_peer_relays_to_cold_replicas_are_not_hedged() -> None:
    """Guards against repeats that are spent on peers without a turn."""

    async def scenario(cluster: Cluster) -> None:
        replicas = await start_cold_service(
            cluster, instances=6, per_second=10, replicas=1
        )
        gateways = list(cluster.gateways.values())
        replicas[0].work_seconds = 0.2  # first attempts would be hedged
        await send_from_callers(
            cluster, gateways, READ_PATH, per_second=40, seconds=5.0
        )
        assert received_count(replicas) > 0
        for gateway in gateways:
            budget = gateway.gateway._state._budget_by_service[BOOKING_SERVICE]
            assert budget._repeat_count == 0.0
        ids = replicas[0].received_ids
        assert len(set(ids)) == len(ids)

    run_scenario(scenario)


def test_domain_that_comes_back_cold_is_carried_by_the_others() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, domains=("zone-a", "zone-b", "zone-c"), gateway_settings=SETTINGS
        )
        others = [
            cluster.start_gateway("g-2", domain="zone-b", **SETTINGS),
            cluster.start_gateway("g-3", domain="zone-c", **SETTINGS),
        ]
        set_cold_rate(cluster, 5.0)
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        back = replicas_in(cluster, "zone-b")
        for replica in back:
            cluster.register(replica, coldRemainingMs=8_000)
        sending = asyncio.ensure_future(
            send_from_callers(
                cluster, [gateway, *others], FAN_OUT_PATH, per_second=60, seconds=14.0
            )
        )
        await asyncio.sleep(1.0)
        end_evacuation(cluster, "zone-b")
        ended_at, before = cluster.loop.time(), received_count(back)
        await asyncio.sleep(6.0)
        assert received_count(back) - before <= 2 * len(back)
        responses = await sending
        assert {item.status if item else 0 for item in responses} == {200}
        assert sum(item.missing for item in responses if item) == 0
        assert received_count(back) > before
        for replica in back:
            received = [
                item
                for item in replica.received_at_seconds
                if ended_at <= item < ended_at + 6.0
            ]
            assert len(received) <= allowed_in_a_second(5.0)

    run_scenario(scenario)


def test_cold_replicas_of_a_service_without_a_rate_are_not_limited() -> None:
    async def scenario(cluster: Cluster) -> None:
        for _ in range(2):
            replica = cluster.add_replica(BOOKING_SERVICE, slots=20)
            cluster.register(replica, coldRemainingMs=COLD_MS)
        cluster.configure(make_route("r-read", READ_PATH, service=BOOKING_SERVICE))
        gateway = cluster.start_gateway("g-1", **SETTINGS)
        await asyncio.sleep(SETTLE_SECONDS)
        responses = await send_from_callers(
            cluster, [gateway], READ_PATH, per_second=100, seconds=4.0
        )
        assert {item.status if item else 0 for item in responses} == {200}
        assert not gateway.log_lines("replica_cold")
        assert "cold_sends_total{" not in await read_metrics(cluster, gateway)

    run_scenario(scenario)
