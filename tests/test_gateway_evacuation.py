"""Tests of the evacuation of failure domains, in virtual time."""

import asyncio
from collections.abc import Iterable

from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    PEER_PORT,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    encode_request,
    make_route,
    run_scenario,
    start_search_cluster,
)
from tests.standin_replica import StandinReplica
from tests.test_gateway_cut_off import replica_links, send_each_kind, start_fleet
from tests.test_gateway_feed import BOUND_SETTINGS, find_followers, start_large_domain
from tests.test_gateway_owners import start_large_fleet
from tests.test_gateway_restored_store import (
    BELIEVED_AFTER_SECONDS,
    MAX_NOTICE_SECONDS,
)

# The platform's bound on the time after which an evacuated domain gets no requests.
EVACUATION_BOUND_SECONDS = 5.0


def evacuate(cluster: Cluster, domain: str) -> None:
    cluster.store.put(f"op/evacuate/{domain}", b"")


def end_evacuation(cluster: Cluster, domain: str) -> None:
    cluster.store.remove(f"op/evacuate/{domain}")


def replicas_in(cluster: Cluster, domain: str) -> list[StandinReplica]:
    return [item for item in cluster.replicas.values() if item.domain == domain]


def received_count(replicas: Iterable[StandinReplica]) -> int:
    return sum(len(item.received_ids) for item in replicas)


def test_no_request_reaches_an_evacuated_domain_until_it_is_back() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_fleet(cluster, instances=6)
        evacuated = replicas_in(cluster, "zone-b")
        await send_each_kind(cluster, gateways, rounds=10)
        assert received_count(evacuated) > 0
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        before = received_count(evacuated)
        responses = await send_each_kind(cluster, gateways, rounds=30)
        assert {item.status if item else 0 for item in responses} == {200}
        assert sum(item.missing for item in responses if item) == 0
        assert received_count(evacuated) == before
        assert all(item.connections for item in evacuated)
        end_evacuation(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        await send_each_kind(cluster, gateways, rounds=10)
        assert received_count(evacuated) > before
        for gateway in gateways:
            assert len(gateway.log_lines("domain_evacuated")) == 1
            [ended] = gateway.log_lines("domain_evacuation_ended")
            assert "domain=zone-b" in ended and "evacuated_ms=" in ended

    run_scenario(scenario)


def test_shards_that_only_an_evacuated_domain_holds_are_missing() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.add_replica("shard-only", domain="zone-b")
        gateway = await start_search_cluster(cluster, shards=3)
        cluster.add_replica(BOOKING_SERVICE, domain="zone-b")
        find = {**cluster.routes[0]}
        find["fanoutServices"] = [*find["fanoutServices"], "shard-only"]
        cluster.configure(
            find,
            make_route("r-book", BOOKING_PATH, service=BOOKING_SERVICE),
        )
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        found = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert found is not None and found.status == 200 and found.missing == 1
        [line] = gateway.log_lines("request_ended")[-1:]
        assert "missing=shard-only:domain_evacuated" in line
        booked = await cluster.send_request(gateway, BOOKING_PATH, method="POST")
        assert booked is not None and booked.status == 503
        assert float(booked.headers["retry-after"]) > 0.0
        [line] = gateway.log_lines("request_ended")[-1:]
        assert "cause=domain_evacuated" in line
        assert received_count(replicas_in(cluster, "zone-b")) == 0

    run_scenario(scenario)


def test_requests_that_wait_for_a_connection_move_to_another_domain() -> None:
    async def scenario(cluster: Cluster) -> None:
        near = cluster.add_replica(BOOKING_SERVICE, work_seconds=2.0, slots=20)
        cluster.configure(
            make_route(
                "r-book",
                BOOKING_PATH,
                service=BOOKING_SERVICE,
                routeKind="non_idempotent",
                timeoutMs=5_000,
            )
        )
        gateway = cluster.start_gateway("g-1", domain="zone-a")
        await asyncio.sleep(SETTLE_SECONDS)
        tasks = [
            asyncio.create_task(
                cluster.send_request(
                    gateway, BOOKING_PATH, method="POST", remaining_ms=5_000
                )
            )
            for _ in range(16)
        ]
        await asyncio.sleep(0.1)
        far = cluster.add_replica(BOOKING_SERVICE, domain="zone-b", slots=20)
        # The evacuation is read while the requests that were sent still run.
        await asyncio.sleep(0.1)
        sent = received_count([near])
        assert 0 < sent < 16
        evacuate(cluster, "zone-a")
        responses = await asyncio.gather(*tasks)
        assert {item.status if item else 0 for item in responses} == {200}
        assert (received_count([near]), received_count([far])) == (sent, 16 - sent)

    run_scenario(scenario)


def test_waiting_request_without_another_domain_ends_as_not_sent() -> None:
    async def scenario(cluster: Cluster) -> None:
        only = cluster.add_replica(BOOKING_SERVICE, work_seconds=0.6, slots=20)
        cluster.configure(
            make_route("r-read", READ_PATH, service=BOOKING_SERVICE, timeoutMs=3_000)
        )
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(SETTLE_SECONDS)
        tasks = [
            asyncio.create_task(
                cluster.send_request(gateway, READ_PATH, remaining_ms=3_000)
            )
            for _ in range(16)
        ]
        await asyncio.sleep(0.2)
        sent = received_count([only])
        evacuate(cluster, "zone-a")
        responses = await asyncio.gather(*tasks)
        statuses = [item.status if item else 0 for item in responses]
        assert statuses.count(200) == sent and statuses.count(503) == 16 - sent
        assert received_count([only]) == sent

    run_scenario(scenario)


def test_requests_of_a_peer_that_does_not_know_reach_no_evacuated_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        unaware, *others = await start_fleet(cluster, instances=3)
        await send_each_kind(cluster, [unaware, *others], rounds=5)
        # It reaches neither the store nor a replica, so all goes through peers.
        cluster.loop.net.partitioned_pairs |= replica_links(cluster, unaware)
        cluster.loop.net.partitioned_pairs.add(
            frozenset((unaware.host, cluster.store.host))
        )
        await send_each_kind(cluster, [unaware], rounds=20)
        evacuated = replicas_in(cluster, "zone-b")
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        assert not unaware.log_lines("domain_evacuated")
        before = received_count(evacuated)
        responses = await send_each_kind(cluster, [unaware], rounds=30)
        assert {item.status if item else 0 for item in responses} == {200}
        assert received_count(evacuated) == before

    run_scenario(scenario)


def test_peer_that_does_not_know_is_told_with_the_requests_it_handles() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_fleet(cluster, instances=6)
        unaware = [item for item in gateways if item.name in ("g-2", "g-3")]
        await send_each_kind(cluster, gateways, rounds=5)
        for gateway in unaware:
            cluster.loop.net.partitioned_pairs.add(
                frozenset((gateway.host, cluster.store.host))
            )
        sender = gateways[0]
        # All that it does goes through the peers that don't know.
        cluster.loop.net.refusing_pairs |= replica_links(cluster, sender)
        cluster.loop.net.reset_connections(sender.host)
        for other in gateways[3:]:
            cluster.loop.net.partitioned_pairs.add(frozenset((sender.host, other.host)))
        await asyncio.sleep(2.0)
        evacuated = replicas_in(cluster, "zone-b")
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        assert sender.log_lines("domain_evacuated")
        for replica in replicas_in(cluster, "zone-a"):
            replica.work_seconds = 0.03  # so that peers would hedge
        before = received_count(evacuated)
        served = received_count(replicas_in(cluster, "zone-a"))
        await send_each_kind(cluster, [sender], rounds=30)
        assert not any(item.log_lines("domain_evacuated") for item in unaware)
        assert received_count(replicas_in(cluster, "zone-a")) > served
        assert received_count(evacuated) == before

    run_scenario(scenario)


def test_evacuation_survives_a_store_that_returns_from_an_older_copy() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_fleet(cluster, instances=3)
        evacuated = replicas_in(cluster, "zone-b")
        copy = cluster.store.copy()
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        before = received_count(evacuated)
        cluster.store.restore(copy)
        await asyncio.sleep(MAX_NOTICE_SECONDS)
        await send_each_kind(cluster, gateways, rounds=10)
        # Another whole read in the same era.
        cluster.store.compact()
        await send_each_kind(cluster, gateways, rounds=10)
        evacuate(cluster, "zone-b")
        await asyncio.sleep(BELIEVED_AFTER_SECONDS + MAX_NOTICE_SECONDS)
        await send_each_kind(cluster, gateways, rounds=10)
        assert received_count(evacuated) == before
        assert not gateways[0].log_lines("domain_evacuation_ended")

    run_scenario(scenario)


def test_evacuation_that_is_not_written_again_ends() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_fleet(cluster, instances=3)
        copy = cluster.store.copy()
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        cluster.store.restore(copy)
        await asyncio.sleep(BELIEVED_AFTER_SECONDS + MAX_NOTICE_SECONDS)
        before = received_count(replicas_in(cluster, "zone-b"))
        await send_each_kind(cluster, gateways, rounds=10)
        assert received_count(replicas_in(cluster, "zone-b")) > before
        for gateway in gateways:
            assert gateway.log_lines("domain_evacuation_ended")

    run_scenario(scenario)


def test_followers_of_a_feed_and_new_instances_learn_of_an_evacuation() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_domain(cluster)
        assert find_followers(cluster)
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        late = cluster.start_gateway("g-late", **BOUND_SETTINGS)
        await asyncio.sleep(SETTLE_SECONDS)
        for gateway in (*gateways, late):
            assert gateway.log_lines("domain_evacuated"), gateway.name
        # A follower that gets all records from its source keeps the evacuation.
        source = find_followers(cluster)[0]
        names = [
            change.name for change in source.gateway._state.evacuations.registered()
        ]
        assert names == ["zone-b"]
        end_evacuation(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        for gateway in (*gateways, late):
            assert gateway.log_lines("domain_evacuation_ended"), gateway.name

    run_scenario(scenario)


def test_shards_have_owners_in_the_remaining_domains_only() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_fleet(cluster)
        evacuated = replicas_in(cluster, "zone-b")
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        owners = gateways[0].gateway._state.owners
        assert owners is not None
        assert owners.owner_domains("shard-0") == ["zone-a"]
        assert owners.owner_count("shard-0") == 3
        before = received_count(evacuated)
        for gateway in gateways:
            found = await cluster.send_request(gateway, FAN_OUT_PATH)
            assert found is not None and found.status == 200 and found.missing == 0
        assert received_count(evacuated) == before

    run_scenario(scenario)


async def read_metrics(cluster: Cluster, gateway: RunningGateway) -> str:
    caller = await cluster.connect(gateway, port=PEER_PORT)
    caller.send(encode_request("/metrics", remaining_ms=None))
    response = await caller.responses.get()
    caller.transport.close()
    assert response is not None
    return response.body.decode()


def test_metrics_show_what_an_evacuated_domain_still_runs() -> None:
    async def scenario(cluster: Cluster) -> None:
        running = cluster.add_replica(BOOKING_SERVICE, work_seconds=0.7)
        cluster.configure(
            make_route("r-read", READ_PATH, service=BOOKING_SERVICE, timeoutMs=3_000)
        )
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(SETTLE_SECONDS)
        task = asyncio.create_task(cluster.send_request(gateway, READ_PATH))
        await asyncio.sleep(0.05)
        evacuate(cluster, running.domain)
        await asyncio.sleep(0.05)
        name = "bronzebeam_gateway_evacuated_domain_count"
        text = await read_metrics(cluster, gateway)
        assert f'{name}{{domain="zone-a",kind="running"}} 1' in text
        assert f'{name}{{domain="zone-a",kind="replicas"}} 1' in text
        response = await task
        assert response is not None and response.status == 200
        text = await read_metrics(cluster, gateway)
        assert f'{name}{{domain="zone-a",kind="running"}} 0' in text
        end_evacuation(cluster, running.domain)
        await asyncio.sleep(SETTLE_SECONDS)
        text = await read_metrics(cluster, gateway)
        assert f'{name}{{domain="zone-a",kind="replicas"}} 0' in text

    run_scenario(scenario)
