"""Tests of explanations of quotas on running gateways, in virtual time."""

import asyncio
import random
from copy import deepcopy
from typing import Any

from bronzebeam.routing.accounts import Account
from bronzebeam.routing.quota_grants import QuotaGrants
from bronzebeam.routing.quota_members import Standing
from bronzebeam.routing.quotas import QuotaAsk, QuotaTolerance
from tests.fixtures_gateway import (
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    run_scenario,
)
from tests.test_gateway_explain import causes, explain
from tests.test_gateway_quotas import (
    LOW_TOLERANCE,
    QUOTA_SETTINGS,
    make_account,
    send_as,
    send_load,
    start_quota_cluster,
)

REFUSED = [(429, "quota_exceeded")]
CONTACT_SECONDS = 6.0
LEASE_SECONDS = 15.0


async def explain_quota(
    cluster: Cluster, gateway: RunningGateway
) -> tuple[dict[str, Any], bool]:
    """Return the section of the account, and whether it would be refused."""
    answer = await explain(cluster, gateway, READ_PATH, account="shop")
    assert causes(answer) in ([], REFUSED)
    return answer["quota"], bool(causes(answer))


async def find_owner(cluster: Cluster) -> RunningGateway:
    gateway = next(iter(cluster.gateways.values()))
    quota, _ = await explain_quota(cluster, gateway)
    return cluster.gateways[quota["asked"][0]]


def test_owner_and_deputies_are_named() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account(), instances=5)
        owner = await find_owner(cluster)
        for gateway in gateways:
            quota, is_refused = await explain_quota(cluster, gateway)
            assert quota["is_limited"] and not is_refused
            assert (quota["rate_per_second"], quota["burst_count"]) == (20.0, 20.0)
            assert len(quota["asked"]) == 3 and quota["left_out"] == []
            assert quota["asked"][0] == owner.name
            assert quota["registered_ms"] >= 8_000 and quota["may_own_after_ms"] == 0
            assert 0 < quota["lease_left_ms"] <= 1_000 * LEASE_SECONDS
            assert 0 <= quota["contact_age_ms"] <= 1_000 * CONTACT_SECONDS
            if gateway is owner:
                assert quota["role"] == "owner" and quota["rank"] == 0
                assert quota["not_owner_because"] == []
                assert quota["has_token_to_grant"]
            else:
                assert quota["not_owner_because"] == ["not_first_in_rank"]
                is_deputy = gateway.name in quota["asked"]
                assert quota["role"] == ("deputy" if is_deputy else "none")
                if is_deputy:
                    assert quota["rank"] == quota["asked"].index(gateway.name)
                    assert quota["deputy_share"] in (0.2, 0.1)

    run_scenario(scenario)


def test_account_without_a_limit_has_no_quota() -> None:
    async def scenario(cluster: Cluster) -> None:
        [gateway] = await start_quota_cluster(
            cluster, make_account(rate=0.0, burst=0.0), instances=1
        )
        assert await explain_quota(cluster, gateway) == ({"is_limited": False}, False)
        answer = await explain(cluster, gateway, READ_PATH)
        assert answer["quota"] == {"is_limited": None} and causes(answer) == []

    run_scenario(scenario)


def test_reasons_why_an_instance_is_no_owner_are_named() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account(), instances=3)
        owner = await find_owner(cluster)
        # One that is still registered and does not answer can't make way for others.
        silent = next(item for item in gateways if item is not owner)
        silent.kill(cluster)
        new = cluster.start_gateway("g-4", **QUOTA_SETTINGS)
        await asyncio.sleep(SETTLE_SECONDS)
        quota, _ = await explain_quota(cluster, new)
        assert "registered_too_short" in quota["not_owner_because"]
        assert 0 < quota["may_own_after_ms"] <= 8_000
        new.kill(cluster)
        await asyncio.sleep(LEASE_SECONDS)
        owner = await find_owner(cluster)
        quota, _ = await explain_quota(cluster, owner)
        assert quota["role"] == "owner"
        for gateway in gateways:
            cluster.loop.net.partitioned_pairs.add(
                frozenset((gateway.host, cluster.store.host))
            )
        await asyncio.sleep(CONTACT_SECONDS + 1.0)  # the lease has not run out
        quota, _ = await explain_quota(cluster, owner)
        assert quota["role"] == "deputy" and quota["deputy_share"] == 0.4
        assert "no_contact" in quota["not_owner_because"]
        assert quota["contact_age_ms"] > 1_000 * CONTACT_SECONDS
        await asyncio.sleep(LEASE_SECONDS)
        quota, _ = await explain_quota(cluster, owner)
        assert quota["lease_left_ms"] == 0
        assert not {"no_lease", "not_registered"}.isdisjoint(
            quota["not_owner_because"]
        ), quota

    run_scenario(scenario)


def test_refusal_by_the_owner_itself_is_foreseen() -> None:
    """Guards against an answer that differs from what the next request meets."""

    async def scenario(cluster: Cluster) -> None:
        await start_quota_cluster(
            cluster,
            make_account(rate=4.0, burst=2.0),
            gateway_settings=LOW_TOLERANCE,
        )
        owner = await find_owner(cluster)
        rng = random.Random(2)
        counts = {True: 0, False: 0}
        for _ in range(100):
            quota, is_refused = await explain_quota(cluster, owner)
            response = await send_as(cluster, owner)
            assert response is not None
            counts[is_refused] += 1
            if is_refused:
                assert quota["refuses_as"] == "owner" and not quota["held_count"]
                # A token may come while the request is on its way.
                soon_ms = max(quota["refused_ms"], quota["token_to_grant_ms"])
                assert response.status == 429 or soon_ms < 10, quota
            else:
                assert quota["refuses_as"] is None
                assert response.status == 200, quota
            await asyncio.sleep(rng.choice((0.0, 0.02, 0.2, 0.6)))
        assert min(counts.values()) >= 20, counts

    run_scenario(scenario)


def test_refusal_that_an_asker_remembers_is_foreseen() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster,
            make_account(rate=2.0, burst=2.0),
            gateway_settings=LOW_TOLERANCE,
        )
        owner = await find_owner(cluster)
        [asker, *_] = [item for item in gateways if item is not owner]
        for _ in range(10):
            response = await send_as(cluster, asker)
        assert response is not None and response.status == 429
        quota, is_refused = await explain_quota(cluster, asker)
        assert is_refused and quota["refuses_as"] == quota["refused_by"] == "owner"
        assert 0 < quota["refused_ms"] <= 1_000
        response = await send_as(cluster, asker)
        assert response is not None and response.status == 429
        await asyncio.sleep(1.2)
        # Only the owner knows whether there is a token now.
        quota, is_refused = await explain_quota(cluster, asker)
        assert not is_refused and quota["refused_ms"] == 0

    run_scenario(scenario)


def test_instance_that_reaches_no_peer_refuses_by_itself() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account(rate=4.0, burst=2.0))
        owner = await find_owner(cluster)
        [gateway, *_] = [item for item in gateways if item is not owner]
        others = [item for item in gateways if item is not gateway]
        for other in others:
            cluster.loop.net.partitioned_pairs.add(
                frozenset((gateway.host, other.host))
            )
        for _ in range(40):
            await send_as(cluster, gateway)
        found = 0
        for _ in range(10):
            quota, is_refused = await explain_quota(cluster, gateway)
            response = await send_as(cluster, gateway)
            assert response is not None
            if is_refused and quota["refuses_as"] == "alone":
                found += 1
                names = [name for name in quota["asked"] if name != gateway.name]
                assert quota["left_out"] == names
                assert response.status == 429
        assert found

    run_scenario(scenario)


def test_held_tokens_are_counted_and_stay() -> None:
    """Guards against a question that takes a token or sends a message."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(
            cluster, make_account(rate=200.0, burst=200.0)
        )
        owner = await find_owner(cluster)
        [asker, *_] = [item for item in gateways if item is not owner]
        await send_load(cluster, [asker], per_second=100.0, seconds=1.0)

        def snapshot(gateway: RunningGateway) -> list[Any]:
            quotas = gateway.gateway._quotas.asker
            members = quotas.state.quota_members
            return [
                gateway.gateway.rng.getstate(),
                deepcopy(list(quotas._queues)),
                [
                    (list(item.tokens._held), list(item.tokens._used))
                    for item in quotas._queues.values()
                ],
                [
                    (name, item.owner.level_count, item.owner.updated_at_seconds)
                    for name, item in quotas._grants._accounts.items()
                ],
                list(members._ranked),
                gateway.gateway.metrics.registry.render(now_seconds=0.0),
                len(gateway.written_lines),
            ]

        before = [snapshot(item) for item in gateways]
        most_held = 0
        for gateway in gateways:
            for account in ("shop", "shop", "nobody"):
                answer = await explain(cluster, gateway, READ_PATH, account=account)
                held_count = answer["quota"].get("held_count", 0)
                most_held = max(most_held, held_count)
                if held_count:
                    assert answer["quota"]["held_granted_by"] == owner.name
        assert most_held > 0
        assert [snapshot(item) for item in gateways] == before

    run_scenario(scenario)


def test_ranking_of_an_account_that_was_never_asked_for_is_not_kept() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account())
        await asyncio.sleep(SETTLE_SECONDS)
        quota, _ = await explain_quota(cluster, gateways[0])
        assert len(quota["asked"]) == 3
        for gateway in gateways:
            quotas = gateway.gateway._quotas.asker
            assert not quotas.state.quota_members._ranked
            assert not quotas._queues and not quotas._grants._accounts

    run_scenario(scenario)


def test_foreseen_grant_is_the_one_that_follows() -> None:
    rng = random.Random(4)
    tolerance = QuotaTolerance(window_seconds=5.0, overage_ratio=0.1, slack_count=20.0)
    account = Account(name="shop", rate_per_second=5.0, burst_count=5.0)
    grants = QuotaGrants(tolerance=tolerance, started_at_seconds=0.0)
    now = 0.0
    granted = 0
    for _ in range(2_000):
        now += rng.expovariate(8.0)
        standing = Standing(
            rank=0,
            owner_since_seconds=rng.choice((0.0, 0.0, 0.0, None)),
            in_contact=True,
            is_leased=True,
            is_settled=True,
        )
        ask = QuotaAsk(account="shop", wanted_count=2, waiting_count=1)
        foreseen = grants.peek(account, ask, standing=standing, now_seconds=now)
        actual = grants.grant(account, ask, standing=standing, now_seconds=now)
        assert foreseen == actual
        granted += actual.granted_count
    assert granted
