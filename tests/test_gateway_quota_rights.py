"""Tests of who may grant tokens as the owner of an account."""

import asyncio

from bronzebeam.routing.rendezvous import weigher
from tests.fixtures_gateway import (
    Cluster,
    RunningGateway,
    run_scenario,
)
from tests.test_gateway_quotas import (
    QUOTA_SETTINGS,
    allowed_in_window,
    make_account,
    most_in_window,
    owner_of,
    send_load,
    start_quota_cluster,
)


def account_owned_by(name: str, names: list[str]) -> str:
    """Return the name of an account whose owner is a certain one of the instances."""
    accounts = (f"shop-{number}" for number in range(1_000))
    return next(item for item in accounts if max(map(weigher(item), names))[1] == name)


def owners(gateways: list[RunningGateway], account: str) -> list[str]:
    """Return the instances that count themselves as the owner."""
    found = []
    for item in gateways:
        gateway = item.gateway
        if not hasattr(gateway, "_state"):
            continue  # it has not started yet
        standing = gateway._state.quota_members.standing(
            account, gateway.boot_seconds(), gateway._registration_times
        )
        if standing.owner_since_seconds is not None:
            found.append(item.name)
    return found


async def check_single_owner(
    gateways: list[RunningGateway], account: str, *, seconds: float
) -> None:
    for step in range(int(seconds / 0.25)):
        found = owners(gateways, account)
        assert len(found) <= 1, (found, step * 0.25)
        await asyncio.sleep(0.25)


def test_new_instance_that_restarts_at_once_is_no_owner_beside_another() -> None:
    """Guards against a crash soon after the first start, which made two owners."""

    async def scenario(cluster: Cluster) -> None:
        account = account_owned_by("g-9", ["g-1", "g-2", "g-3", "g-9"])
        gateways = await start_quota_cluster(
            cluster, make_account(account), instances=3
        )
        new = cluster.start_gateway("g-9", **QUOTA_SETTINGS)
        await check_single_owner([*gateways, new], account, seconds=2.0)
        new.kill(cluster)
        await asyncio.sleep(0.5)
        new = cluster.start_gateway("g-9", **QUOTA_SETTINGS)
        await check_single_owner([*gateways, new], account, seconds=14.0)
        assert owners([*gateways, new], account) == ["g-9"]
        # It has been an owner, and restarts within its lease: nobody has taken over.
        new.kill(cluster)
        await asyncio.sleep(0.5)
        new = cluster.start_gateway("g-9", **QUOTA_SETTINGS)
        await check_single_owner([*gateways, new], account, seconds=2.0)
        assert owners([*gateways, new], account) == ["g-9"]

    run_scenario(scenario)


def test_registration_in_an_older_copy_makes_no_second_owner() -> None:
    """Guards against a registration that was gone, brought back by an older copy."""

    async def scenario(cluster: Cluster) -> None:
        gateways = await start_quota_cluster(cluster, make_account())
        owner = owner_of(gateways)
        others = [item for item in gateways if item is not owner]
        # Long enough for a registration to be known to be settled.
        await asyncio.sleep(10.0)
        copy = cluster.store.copy()
        owner.stop()
        await asyncio.sleep(3.0)
        assert owners(others, "shop") and owner.name not in owners(others, "shop")
        cluster.store.restore(copy)
        restarted = cluster.start_gateway(owner.name, **QUOTA_SETTINGS)
        await check_single_owner([*others, restarted], "shop", seconds=20.0)
        assert owners([*others, restarted], "shop") == [owner.name]

    run_scenario(scenario)


def test_instances_that_serve_no_peers_are_no_owners_beside_each_other() -> None:
    """Guards against each of them granting the whole quota, since nobody counts it."""

    async def scenario(cluster: Cluster) -> None:
        account = account_owned_by("g-3", ["g-1", "g-2", "g-3"])
        cut_off = {"internalPortRange": ""}
        gateways = await start_quota_cluster(
            cluster, make_account(account), instances=2, gateway_settings=cut_off
        )
        await send_load(
            cluster, gateways, per_second=130, seconds=12.0, account=account
        )
        assert most_in_window(cluster) <= allowed_in_window(20, 20)
        # A third that serves none is no owner beside one that does.
        for gateway in gateways[:2]:
            gateway.kill(cluster)
        gateways = [
            cluster.start_gateway("g-2", **QUOTA_SETTINGS),
            cluster.start_gateway("g-3", **(QUOTA_SETTINGS | cut_off)),
        ]
        await asyncio.sleep(30.0)
        assert owners(gateways, account) == ["g-2"]
        gateways[0].kill(cluster)
        await asyncio.sleep(30.0)
        # Alone, it has no one to share the quota with.
        assert owners(gateways[1:], account) == ["g-3"]

    run_scenario(scenario)
