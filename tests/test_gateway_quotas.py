"""Tests of quotas of accounts over all instances, in virtual time."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    PEER_PORT,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    Response,
    RunningGateway,
    encode_request,
    make_route,
    run_scenario,
    stored_configuration,
)

KEY_HEADER = "X-Bronzebeam-Key"
WINDOW_SECONDS = 5.0
OVERAGE_RATIO = 0.1
SLACK_COUNT = 20.0
QUOTA_SETTINGS = {
    "bounds.quotaWindowS": str(WINDOW_SECONDS),
    "bounds.quotaOverage": str(OVERAGE_RATIO),
    "bounds.quotaSlack": str(SLACK_COUNT),
}
# The owner's bucket holds no whole token beyond the burst.
LOW_TOLERANCE = {"bounds.quotaOverage": "0", "bounds.quotaSlack": "1"}
# Instances become owners this long after they have registered.
OWNER_SECONDS = 9.0


def make_account(
    name: str = "shop", *, rate: float = 20.0, burst: float = 20.0
) -> dict[str, Any]:
    """Return an account in the format of the operator's configuration."""
    return {
        "name": name,
        "apiKeys": [f"key-{name}"],
        "ratePerS": rate,
        "burst": burst,
    }


async def start_quota_cluster(
    cluster: Cluster,
    *accounts: dict[str, Any],
    instances: int = 4,
    settle_seconds: float = OWNER_SECONDS,
    gateway_settings: Mapping[str, str] | None = None,
) -> list[RunningGateway]:
    """Start gateways and four replicas of one service, with limited accounts."""
    for _ in range(4):
        replica = cluster.add_replica(BOOKING_SERVICE, slots=64)
        replica.work_seconds = 0.001
    cluster.configure(
        make_route("r-read", READ_PATH, service=BOOKING_SERVICE),
        tenants=list(accounts),
    )
    gateways = [
        cluster.start_gateway(
            f"g-{number}", **(QUOTA_SETTINGS | dict(gateway_settings or {}))
        )
        for number in range(1, instances + 1)
    ]
    await asyncio.sleep(SETTLE_SECONDS + settle_seconds)
    return gateways


async def send_as(
    cluster: Cluster, gateway: RunningGateway, account: str = "shop", **options: Any
) -> Response | None:
    return await cluster.send_request(
        gateway, READ_PATH, headers={KEY_HEADER: f"key-{account}"}, **options
    )


async def send_load(
    cluster: Cluster,
    gateways: Sequence[RunningGateway],
    *,
    per_second: float,
    seconds: float,
    account: str = "shop",
    seed: int = 7,
) -> list[Response | None]:
    """Send requests at random times, each to a random one of the gateways."""
    rng = random.Random(seed)
    tasks = []
    end_at = cluster.loop.time() + seconds
    while cluster.loop.time() < end_at:
        await asyncio.sleep(rng.expovariate(per_second))
        gateway = rng.choice(gateways)
        tasks.append(asyncio.create_task(send_as(cluster, gateway, account)))
    return list(await asyncio.gather(*tasks))


def most_in_window(cluster: Cluster) -> int:
    """Return the most requests that replicas ran in any window."""
    times = sorted(
        at for item in cluster.replicas.values() for at in item.received_at_seconds
    )
    return max(
        (sum(start <= at < start + WINDOW_SECONDS for at in times) for start in times),
        default=0,
    )


def allowed_in_window(rate: float, burst: float) -> float:
    quota = rate * WINDOW_SECONDS + burst
    return quota * (1.0 + OVERAGE_RATIO) + SLACK_COUNT


def statuses(responses: Sequence[Response | None]) -> list[int]:
    return [item.status if item is not None else 0 for item in responses]


def owner_of(
    gateways: Sequence[RunningGateway], account: str = "shop"
) -> RunningGateway:
    """Return the gateway that counts itself as the owner of an account."""
    owners = []
    for item in gateways:
        gateway = item.gateway
        standing = gateway._state.quota_members.standing(
            account, gateway.boot_seconds(), gateway._registration_times
        )
        if standing.owner_since_seconds is not None:
            owners.append(item)
    assert len(owners) == 1, [item.name for item in owners]
    return owners[0]


def sent_bytes_to_peers(cluster: Cluster, path: bytes = b"POST /quota ") -> int:
    """Return the number of messages of one kind that instances sent to peers."""
    return sum(item.sent_bytes.count(path) for item in cluster.loop.net.transports)


async def ask_for_tokens(
    cluster: Cluster, gateway: RunningGateway, body: bytes
) -> Response:
    caller = await cluster.connect(gateway, port=PEER_PORT)
    caller.send(encode_request("/quota", method="POST", body=body, remaining_ms=None))
    response = await caller.responses.get()
    caller.transport.close()
    assert response is not None
    return response


def test_hot_account_at_two_instances_gets_its_quota_and_no_more() -> None:
    """Guards against each instance admitting the whole rate, or only its share."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=40, burst=20), instances=8
        )
        responses = await send_load(
            cluster, gateways[:2], per_second=4.4 * 40, seconds=15.0
        )
        served = statuses(responses).count(200)
        assert set(statuses(responses)) == {200, 429}
        assert most_in_window(cluster) <= allowed_in_window(40, 20)
        assert served >= 0.9 * 40 * 15, served

    run_scenario(scenario)


def test_caller_inside_its_quota_is_never_refused() -> None:
    """Guards against tokens held by one instance that another one needs."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=20, burst=20), instances=8
        )
        responses = await send_load(
            cluster, gateways, per_second=20 / 1.6, seconds=20.0
        )
        assert set(statuses(responses)) == {200}

    run_scenario(scenario)


def test_refusal_is_immediate_and_says_when_there_is_a_token() -> None:
    """Guards against refusals that wait, or come without `Retry-After`."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster,
            make_account(rate=1, burst=2),
            gateway_settings=LOW_TOLERANCE | {"bounds.quotaSlack": "0"},
        )
        responses = [await send_as(cluster, gateways[0]) for _ in range(4)]
        assert statuses(responses) == [200, 200, 429, 429]
        refused = responses[-1]
        assert refused is not None
        assert refused.body == b"quota_exceeded\n"
        assert 0.9 <= float(refused.headers["retry-after"]) <= 1.5
        assert refused.elapsed_seconds < 0.03
        lines = gateways[0].log_lines("request_refused")
        assert len(lines) == 2
        for text in ("cause=quota_exceeded", "account=shop", "decided_by=owner"):
            assert text in lines[0], lines[0]
        await asyncio.sleep(float(refused.headers["retry-after"]))
        assert statuses([await send_as(cluster, gateways[0])]) == [200]

    run_scenario(scenario)


def test_account_without_a_limit_sends_no_message() -> None:
    """Guards against costs for accounts and deployments without quotas."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account("free", rate=0.0), make_account()
        )
        before = sent_bytes_to_peers(cluster)
        responses = await send_load(
            cluster, gateways, per_second=100, seconds=2.0, account="free"
        )
        assert set(statuses(responses)) == {200}
        assert sent_bytes_to_peers(cluster) == before

    async def scenario_without_quotas(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account("free", rate=0.0))
        await send_load(cluster, gateways, per_second=100, seconds=2.0, account="free")
        assert sent_bytes_to_peers(cluster) == 0

    run_scenario(scenario)
    run_scenario(scenario_without_quotas)


def test_new_fleet_has_owners_as_soon_as_its_instances_know_each_other() -> None:
    """Guards against refusing all requests for 8 s after the start of a fleet."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=50, burst=50), settle_seconds=1.0
        )
        owner_of(gateways)
        responses = await send_load(cluster, gateways, per_second=20, seconds=5.0)
        assert set(statuses(responses)) == {200}

    run_scenario(scenario)


def test_requests_that_wait_together_share_one_message() -> None:
    """Guards against one message for each request of a burst."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account(burst=40))
        asker = next(item for item in gateways if item is not owner_of(gateways))
        await send_as(cluster, asker)
        before = sent_bytes_to_peers(cluster)
        responses = await asyncio.gather(*[send_as(cluster, asker) for _ in range(15)])
        assert statuses(responses) == 15 * [200]
        assert sent_bytes_to_peers(cluster) - before <= 2

    run_scenario(scenario)


def test_caller_that_leaves_while_waiting_gives_its_token_back() -> None:
    """Guards against tokens spent on requests that no replica gets."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster,
            make_account(rate=0.1, burst=1),
            settle_seconds=25.0,
            gateway_settings=LOW_TOLERANCE,
        )
        owner = owner_of(gateways)
        asker = next(item for item in gateways if item is not owner)
        pair = frozenset((asker.host, owner.host))
        cluster.loop.net.delayed_pairs[pair] = 0.008
        caller = await cluster.connect(asker)
        caller.send(encode_request(READ_PATH, headers={KEY_HEADER: "key-shop"}))
        await asyncio.sleep(0.004)
        caller.transport.close()
        await asyncio.sleep(0.05)
        assert most_in_window(cluster) == 0
        assert statuses([await send_as(cluster, asker)]) == [200]
        assert statuses([await send_as(cluster, asker)]) == [429]

    run_scenario(scenario)


def test_request_refused_by_admission_gives_its_token_back() -> None:
    """Guards against quotas used up by requests that are refused as overload."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster,
            make_account(rate=0.1, burst=1),
            settle_seconds=25.0,
            gateway_settings=LOW_TOLERANCE,
        )
        owner = owner_of(gateways)
        asker = next(item for item in gateways if item is not owner)
        for replica in cluster.replicas.values():
            cluster.loop.net.reset_connections(replica.host)
            cluster.loop.net.listeners.pop((replica.host, replica.port))
        await asyncio.sleep(1.0)
        refused = [await send_as(cluster, asker) for _ in range(2)]
        assert statuses(refused) == [503, 503]
        # Not used within 100 ms, it is returned to the owner, and any instance gets it.
        await asyncio.sleep(0.3)
        for replica in cluster.replicas.values():
            replica.listen()
        await asyncio.sleep(2.0)
        assert statuses([await send_as(cluster, owner)]) == [200]
        assert statuses([await send_as(cluster, asker)]) == [429]

    run_scenario(scenario)


def test_late_owner_holds_a_request_for_at_most_60_ms() -> None:
    """Guards against searches that miss their target since a peer does not answer."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=100, burst=100), instances=5
        )
        asker = gateways[-1]
        for other in gateways[:-1]:
            pair = frozenset((asker.host, other.host))
            cluster.loop.net.partitioned_pairs.add(pair)
        responses = await send_load(cluster, [asker], per_second=40, seconds=5.0)
        assert set(statuses(responses)) <= {200, 429}
        assert max(item.elapsed_seconds for item in responses if item) < 0.075
        quick = [item for item in responses if item and item.elapsed_seconds < 0.01]
        # Most are decided at once, since peers that are silent are left out.
        assert len(quick) > 0.75 * len(responses)

    run_scenario(scenario)


def test_killed_owner_is_replaced_by_deputies_and_then_by_the_next_owner() -> None:
    """Guards against refusing all requests, or none, after the owner was killed."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=20, burst=20), instances=5
        )
        owner = owner_of(gateways)
        others = [item for item in gateways if item is not owner]
        await send_load(cluster, others, per_second=10, seconds=2.0)
        owner.kill(cluster)
        early = await send_load(cluster, others, per_second=100, seconds=10.0)
        assert 0 < statuses(early).count(200) < 0.5 * 20 * 10
        await asyncio.sleep(15.0)
        assert owner_of(others) is not owner
        late = await send_load(cluster, others, per_second=100, seconds=10.0)
        assert statuses(late).count(200) >= 0.9 * 20 * 10
        assert most_in_window(cluster) <= allowed_in_window(20, 20)

    run_scenario(scenario)


def test_quota_is_granted_soon_after_all_instances_were_killed() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account())
        # Nearly the whole quota was used when the processes died.
        await send_load(cluster, gateways, per_second=60.0, seconds=3.0)
        for gateway in gateways:
            gateway.kill(cluster)
        await asyncio.sleep(1.0)
        restarted = [
            cluster.start_gateway(gateway.name, **QUOTA_SETTINGS)
            for gateway in gateways
        ]
        await asyncio.sleep(2.0)
        responses = await send_load(cluster, restarted, per_second=10.0, seconds=5.0)
        assert statuses(responses).count(200) >= 0.95 * len(responses)
        await send_load(cluster, restarted, per_second=60.0, seconds=3.0)
        assert most_in_window(cluster) <= allowed_in_window(20.0, 20.0)

    run_scenario(scenario)


def test_quota_holds_while_instances_are_added_and_cut_off() -> None:
    """Guards against a new owner beside a former one that has not learnt of it."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=30, burst=30), instances=3
        )
        net = cluster.loop.net
        sending = asyncio.ensure_future(
            send_load(cluster, gateways, per_second=130, seconds=60.0)
        )
        cut_off = owner_of(gateways)
        await asyncio.sleep(5.0)
        # The owner reaches neither the store nor its peers, but callers reach it.
        for other in (cluster.store.host, *(item.host for item in gateways)):
            if other != cut_off.host:
                net.partitioned_pairs.add(frozenset((cut_off.host, other)))
        for number in range(4, 8):
            await asyncio.sleep(3.0)
            gateways.append(cluster.start_gateway(f"g-{number}", **QUOTA_SETTINGS))
            pair = frozenset((cut_off.host, gateways[-1].host))
            net.partitioned_pairs.add(pair)
        await asyncio.sleep(15.0)
        net.partitioned_pairs.clear()
        responses = await sending
        assert most_in_window(cluster) <= allowed_in_window(30, 30)
        assert statuses(responses).count(200) > 0.5 * 30 * 60

    run_scenario(scenario)


def test_quota_holds_while_the_store_is_down() -> None:
    """Guards against owners that go on without the store, and against none after it."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account(rate=30, burst=30))
        net = cluster.loop.net
        net.partitioned_hosts.add(cluster.store.host)
        before = await send_load(cluster, gateways, per_second=20, seconds=3.0)
        assert set(statuses(before)) == {200}
        during = await send_load(cluster, gateways, per_second=130, seconds=30.0)
        assert 0 < statuses(during).count(200)
        net.partitioned_hosts.clear()
        await asyncio.sleep(OWNER_SECONDS + 5.0)
        after = await send_load(cluster, gateways, per_second=15, seconds=5.0)
        assert set(statuses(after)) == {200}
        assert most_in_window(cluster) <= allowed_in_window(30, 30)

    run_scenario(scenario)


def test_earlier_build_that_answers_404_is_passed_over_at_once() -> None:
    """Guards against waiting for instances of a build that knows no quotas."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account())
        owner = owner_of(gateways)
        asker = next(item for item in gateways if item is not owner)
        peer_server = owner.gateway._peer_server
        peer_server.handle = owner.gateway._handle_internal_request
        responses = [await send_as(cluster, asker) for _ in range(2)]
        assert 200 in statuses(responses)
        assert max(item.elapsed_seconds for item in responses if item) < 0.02

    run_scenario(scenario)


def test_lowered_limit_binds_one_window_after_it_is_in_force() -> None:
    """Guards against tokens of a former limit that are used later."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=60, burst=120), instances=3
        )
        sending = asyncio.ensure_future(
            send_load(cluster, gateways, per_second=130, seconds=20.0)
        )
        await asyncio.sleep(4.0)
        document = stored_configuration(cluster)
        document["version"] += 1
        document["tenants"] = [make_account(rate=10, burst=10)]
        cluster.store.put("op/config", document)
        await asyncio.sleep(3.0)
        in_force_at = cluster.loop.time()
        await sending
        times = sorted(
            at
            for item in cluster.replicas.values()
            for at in item.received_at_seconds
            if at >= in_force_at + WINDOW_SECONDS
        )
        most = max(
            sum(start <= at < start + WINDOW_SECONDS for at in times) for start in times
        )
        assert most <= allowed_in_window(10, 10)

    run_scenario(scenario)


def test_malformed_messages_are_refused_and_numbers_bounded() -> None:
    """Guards against a peer whose message stops the instance or empties a quota."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account(rate=1, burst=5))
        owner = owner_of(gateways)
        for body in (b"[1]", b"{", b'{"account": 3}', b'{"account":"a","wanted":"x"}'):
            response = await ask_for_tokens(cluster, owner, body)
            assert response.status == 400, body
        assert len(owner.log_lines("malformed_quota_message")) == 4
        body = b'{"account": "shop", "wanted": 1e300, "returned": 1e9, "later": 1}'
        response = await ask_for_tokens(cluster, owner, body)
        answer = orjson.loads(response.body)
        assert response.status == 200 and answer["granted"] <= 5
        assert answer["as_owner"] is True and answer["lifetime_ms"] == 250

    run_scenario(scenario)


def test_metrics_name_only_the_largest_accounts() -> None:
    """Guards against one time series for each of thousands of accounts."""

    async def scenario(cluster: Cluster) -> None:
        accounts = [
            make_account(f"a-{number}", rate=number + 1) for number in range(30)
        ]
        gateways = await start_quota_cluster(cluster, *accounts, instances=2)
        for account in accounts:
            await send_as(cluster, gateways[0], account["name"])
        registry = gateways[0].gateway.metrics.registry
        text = registry.render(now_seconds=cluster.loop.time())
        lines = [line for line in text.splitlines() if "quota_granted_total{" in line]
        names = {line.split('account="')[1].split('"')[0] for line in lines}
        assert len(names) == 21 and "other" in names and "a-29" in names

    run_scenario(scenario)
