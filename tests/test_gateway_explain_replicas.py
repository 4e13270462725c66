"""Tests of explanations of evacuated, restricted and cold replicas, in virtual time."""

import asyncio
import random
from collections.abc import Iterable

from bronzebeam.gateway.replica_choice import COLD_PENALTY_MS
from tests.fixtures_cold import (
    COLD_MS,
    LEARNING_SECONDS,
    SETTINGS,
    set_cold_rate,
    start_cold_service,
)
from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    make_route,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
)
from tests.standin_replica import StandinReplica
from tests.test_gateway_cut_off import replica_links
from tests.test_gateway_evacuation import (
    EVACUATION_BOUND_SECONDS,
    end_evacuation,
    evacuate,
)
from tests.test_gateway_explain import (
    causes,
    described_replicas,
    explain,
    received_counts,
)
from tests.test_gateway_owners import start_large_fleet
from tests.test_gateway_peers import count_delegations, start_two_domains
from tests.test_gateway_regions import DOMAINS, REGION_BY_DOMAIN, start_regions


def names_of(replicas: Iterable[StandinReplica]) -> set[str]:
    return {item.replica for item in replicas}


def test_replicas_of_evacuated_domains_are_excluded() -> None:
    """Guards against a chosen replica that no request is sent to."""

    async def scenario(cluster: Cluster) -> None:
        near = cluster.add_replica(BOOKING_SERVICE)
        far = cluster.add_replica(BOOKING_SERVICE, domain="zone-b")
        cluster.configure(make_route("r-read", READ_PATH, service=BOOKING_SERVICE))
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(SETTLE_SECONDS)
        answer = await explain(cluster, gateway, READ_PATH)
        assert answer["evacuated"] == []
        evacuate(cluster, "zone-a")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        answer = await explain(cluster, gateway, READ_PATH)
        assert answer["evacuated"] == ["zone-a"] and causes(answer) == []
        replicas = described_replicas(answer)
        assert replicas[near.replica]["excluded_by"] == ["evacuated"]
        assert not replicas[near.replica]["may_be_chosen"]
        assert replicas[far.replica]["excluded_by"] == []
        assert answer["services"][0]["chosen"] == far.replica
        evacuate(cluster, "zone-b")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        answer = await explain(cluster, gateway, READ_PATH)
        assert causes(answer) == [(503, "domain_evacuated")]
        response = await cluster.send_request(gateway, READ_PATH)
        assert response is not None and response.body == b"domain_evacuated\n"

    run_scenario(scenario)


def test_replicas_outside_the_regions_are_excluded() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(cluster, account_regions=("north",))
        answer = await explain(cluster, gateways[0], READ_PATH)
        assert not answer["regions"]["is_restricted"]
        assert not any(
            item["excluded_by"] for item in described_replicas(answer).values()
        )
        for gateway in gateways:
            for path in (READ_PATH, FAN_OUT_PATH):
                answer = await explain(cluster, gateway, path, account="acme")
                assert answer["regions"] == {
                    "is_restricted": True,
                    "allowed": ["north"],
                    "domains": ["zone-a", "zone-b"],
                }
                for name, item in described_replicas(answer).items():
                    domain = cluster.replicas[name].domain
                    is_allowed = REGION_BY_DOMAIN.get(domain) == "north"
                    assert item["excluded_by"] == (
                        [] if is_allowed else ["outside_regions"]
                    )
                    assert is_allowed or not item["may_be_chosen"]
                for service in answer["services"]:
                    chosen = cluster.replicas[service["chosen"]]
                    assert REGION_BY_DOMAIN[chosen.domain] == "north"

    run_scenario(scenario)


def test_peers_outside_the_regions_are_not_named() -> None:
    """Guards against a peer that must not get the body of the request."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(cluster, account_regions=("south",))
        domains = {item.name: item.gateway.settings.failure_domain for item in gateways}
        named = set()
        for gateway in gateways:
            answer = await explain(cluster, gateway, FAN_OUT_PATH, account="acme")
            own_region = REGION_BY_DOMAIN.get(domains[gateway.name], "")
            for service in answer["services"]:
                for name in service["peers"]:
                    region = REGION_BY_DOMAIN.get(domains[name], "")
                    assert region in ("south", own_region)
                    named.add(name)
        assert named

    run_scenario(scenario)


def test_peers_that_may_relay_are_in_the_regions() -> None:
    """Guards against a peer that must not get the body of the request."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(cluster, account_regions=("north",))
        domains = {item.name: item.gateway.settings.failure_domain for item in gateways}
        gateway = gateways[0]
        cluster.loop.net.partitioned_pairs.update(replica_links(cluster, gateway))
        cluster.loop.net.reset_connections(gateway.host)
        await asyncio.sleep(SETTLE_SECONDS)
        for path in (READ_PATH, FAN_OUT_PATH):
            named = []
            for account in ({"account": "acme"}, {}):
                answer = await explain(cluster, gateway, path, **account)
                reasons = {item["peer_asked_because"] for item in answer["services"]}
                assert reasons == {"unreachable_here"}
                named.append(
                    {
                        domains[name]
                        for item in answer["services"]
                        for name in item["peers"]
                    }
                )
            assert named == [{"zone-a", "zone-b"}, set(DOMAINS)]

    run_scenario(scenario)


def test_restrictions_that_leave_no_region_refuse_the_request() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(
            cluster, route_regions=("north",), account_regions=("south",)
        )
        answer = await explain(cluster, gateways[0], READ_PATH, account="acme")
        assert answer["regions"]["is_restricted"]
        assert answer["regions"]["allowed"] == []
        assert causes(answer) == [(503, "outside_regions")]
        assert causes(await explain(cluster, gateways[0], READ_PATH)) == []
        response = await cluster.send_request(
            gateways[0], READ_PATH, headers={"X-Bronzebeam-Key": "k-1"}
        )
        assert response is not None and response.body == b"outside_regions\n"

    run_scenario(scenario)


def test_cold_replica_without_a_turn_is_excluded() -> None:
    """Guards against an answer that differs from what the next request meets."""

    async def scenario(cluster: Cluster) -> None:
        await start_cold_service(cluster, instances=1, per_second=4)
        gateway = cluster.gateways["g-1"]
        rng = random.Random(3)
        counts = {True: 0, False: 0}
        for _ in range(60):
            answer = await explain(cluster, gateway, READ_PATH)
            before = received_counts(cluster)
            response = await cluster.send_request(gateway, READ_PATH)
            assert response is not None
            replicas = described_replicas(answer)
            for item in replicas.values():
                assert item["excluded_by"] in ([], ["cold"])
                assert bool(item["excluded_by"]) == (item["next_turn_ms"] > 0.0)
                assert item["cold_senders"] == ["g-1"]
                assert "cold" in item["conditions"]
            is_refused = bool(causes(answer))
            counts[is_refused] += 1
            if is_refused:
                assert causes(answer) == [(503, "replicas_cold")]
                # A turn may come while the request is on its way.
                next_ms = min(item["next_turn_ms"] for item in replicas.values())
                assert response.status == 503 or next_ms < 5.0
            else:
                assert response.status == 200
                [sent_to] = [
                    name
                    for name, count in received_counts(cluster).items()
                    if count > before[name]
                ]
                assert replicas[sent_to]["may_be_chosen"]
            await asyncio.sleep(rng.choice((0.0, 0.03, 0.2)))
        assert min(counts.values()) >= 10, counts

    run_scenario(scenario)


def test_limit_of_a_cold_replica_and_its_own_are_told_apart() -> None:
    async def scenario(cluster: Cluster) -> None:
        replicas = await start_cold_service(
            cluster, instances=1, per_second=4, replicas=1
        )
        gateway = cluster.gateways["g-1"]
        replicas[0].limit = "0.3"
        await cluster.send_request(gateway, READ_PATH)
        answer = await explain(cluster, gateway, READ_PATH)
        [item] = answer["services"][0]["replicas"]
        assert item["excluded_by"] == ["limited", "cold"]
        assert "names_a_limit" in item["conditions"]
        await asyncio.sleep(0.5)
        answer = await explain(cluster, gateway, READ_PATH)
        [item] = answer["services"][0]["replicas"]
        assert item["excluded_by"] == ["limited"]

    run_scenario(scenario)


def test_instances_with_a_turn_for_cold_replicas_are_named() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_cold_service(cluster, instances=6, per_second=2, replicas=1)
        found = 0
        for gateway in cluster.gateways.values():
            answer = await explain(cluster, gateway, READ_PATH)
            [service] = answer["services"]
            [item] = service["replicas"]
            if gateway.name in item["cold_senders"]:
                continue
            found += 1
            assert item["excluded_by"] == ["cold"] and causes(answer) == []
            assert service["peer_asked_because"] == "no_turn_for_cold_replicas"
            assert set(service["peers"]) == set(item["cold_senders"])
        assert found

    run_scenario(scenario)


def test_instance_with_a_turn_sends_to_cold_replicas_elsewhere_itself() -> None:
    """Guards against a peer named for a request whose turn is used here."""

    async def scenario(cluster: Cluster) -> None:
        gateway, _ = await start_two_domains(cluster)
        set_cold_rate(cluster, 20.0)
        for replica in cluster.replicas.values():
            cluster.register(replica, coldRemainingMs=COLD_MS)
        await asyncio.sleep(LEARNING_SECONDS + SETTLE_SECONDS)
        answer = await explain(cluster, gateway, FAN_OUT_PATH)
        for item in answer["services"]:
            assert item["chosen"] and item["peer_asked_because"] == ""
        before = count_delegations(cluster)
        await cluster.send_request(gateway, FAN_OUT_PATH)
        assert count_delegations(cluster) == before

    run_scenario(scenario)


def test_cold_shard_is_missing_where_no_owner_can_be_asked() -> None:
    """Guards against a chosen replica that only an owner has a turn for."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_fleet(cluster, gateway_settings=SETTINGS)
        set_cold_rate(cluster, 20.0)
        for replica in replicas_of_service(cluster, "shard-0"):
            cluster.register(replica, coldRemainingMs=COLD_MS)
        await asyncio.sleep(LEARNING_SECONDS + SETTLE_SECONDS)
        gateway = next(
            item
            for item in gateways
            if item.gateway._state.is_sent_by_owners("shard-0")
        )
        [cold, *_] = (await explain(cluster, gateway, FAN_OUT_PATH))["services"]
        assert cold["chosen"] and cold["peers"]
        assert not any(item["excluded_by"] for item in cold["replicas"])
        for other in gateways:
            if other is not gateway:
                pair = frozenset((gateway.host, other.host))
                cluster.loop.net.partitioned_pairs.add(pair)
        cluster.loop.net.reset_connections(gateway.host)
        await asyncio.sleep(SETTLE_SECONDS)
        [cold, *others] = (await explain(cluster, gateway, FAN_OUT_PATH))["services"]
        assert cold["chosen"] is None and cold["missing_cause"] == "replicas_cold"
        assert {tuple(item["excluded_by"]) for item in cold["replicas"]} == {("cold",)}
        assert all(item["chosen"] and not item["peers"] for item in others)
        response = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert response is not None and response.missing == 1
        [line] = gateway.log_lines("request_ended")[-1:]
        assert "missing=shard-0:replicas_cold" in line

    run_scenario(scenario)


def test_score_of_a_cold_replica_includes_its_penalty() -> None:
    """Guards against a cold replica named as likely although warm ones go first."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        set_cold_rate(cluster, 10.0)
        cold = replicas_of_service(cluster, "shard-0")[0]
        cluster.register(cold, coldRemainingMs=COLD_MS)
        await asyncio.sleep(3 * SETTLE_SECONDS)
        answer = await explain(cluster, gateway, FAN_OUT_PATH)
        described = described_replicas(answer)[cold.replica]
        assert described["excluded_by"] == []
        assert described["extra_cost_ms"] >= COLD_PENALTY_MS
        assert not described["may_be_chosen"]
        assert answer["services"][0]["chosen"] != cold.replica
        before = len(cold.received_ids)
        for _ in range(20):
            await cluster.send_request(gateway, FAN_OUT_PATH)
        assert len(cold.received_ids) == before
        # Without a rate there is no limit, and no penalty.
        cluster.configure(*cluster.routes)
        await asyncio.sleep(SETTLE_SECONDS)
        described = described_replicas(await explain(cluster, gateway, FAN_OUT_PATH))
        assert described[cold.replica]["extra_cost_ms"] < COLD_PENALTY_MS

    run_scenario(scenario)


def test_only_replica_in_the_own_domain_has_no_spread() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, domains=("zone-a", "zone-b", "zone-b")
        )
        answer = await explain(cluster, gateway, FAN_OUT_PATH)
        for name, item in described_replicas(answer).items():
            is_near = cluster.replicas[name].domain == "zone-a"
            assert item["has_spread"] is not is_near

    run_scenario(scenario)


def test_shards_go_to_replicas_that_may_be_chosen() -> None:
    """Guards against an explanation that differs from what the request path does."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(
            cluster, domains=("zone-a", "zone-b", "zone-c")
        )
        set_cold_rate(cluster, 6.0)
        await asyncio.sleep(SETTLE_SECONDS)
        rng = random.Random(5)
        checked = impossible = 0
        for number in range(150):
            if number % 30 == 10:
                evacuate(cluster, "zone-a")
            elif number % 30 == 20:
                end_evacuation(cluster, "zone-a")
            if number % 15 == 5:
                replica = rng.choice(list(cluster.replicas.values()))
                cluster.register(replica, coldRemainingMs=rng.choice((0, 4_000)))
            for replica in cluster.replicas.values():
                replica.states_load = rng.random() < 0.7
                replica.load = f"{rng.randrange(3)},{rng.randrange(4)},2,100"
                replica.work_seconds = rng.choice((0.003, 0.006, 0.009))
            await asyncio.sleep(rng.choice((0.0, 0.05, 0.3)))
            answer = await explain(cluster, gateway, FAN_OUT_PATH)
            before = received_counts(cluster)
            await cluster.send_request(gateway, FAN_OUT_PATH)
            after = received_counts(cluster)
            for service in answer["services"]:
                known = {item["replica"]: item for item in service["replicas"]}
                sent_to = [name for name in known if after[name] > before[name]]
                impossible += sum(not item["may_be_chosen"] for item in known.values())
                if service["chosen"] is not None:
                    assert known[service["chosen"]]["may_be_chosen"]
                if len(sent_to) == 1:
                    checked += 1
                    assert known[sent_to[0]]["may_be_chosen"], (number, service)
        assert checked > 200 and impossible > 200, (checked, impossible)

    run_scenario(scenario)
