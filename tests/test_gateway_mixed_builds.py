"""Tests of instances of build 9582a90 beside those of this one, in virtual time."""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest import mock

import orjson

from bronzebeam.gateway import change_feed
from bronzebeam.gateway.change_codec import encode_feed_response
from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    PEER_PORT,
    READ_PATH,
    Cluster,
    RunningGateway,
    encode_request,
    make_route,
    run_scenario,
)
from tests.standin_replica import ACCOUNT_HEADER, KEY_HEADER
from tests.test_gateway_builds import RECORDED
from tests.test_gateway_feed import (
    CHANGE_BOUND_SECONDS,
    feed_source_of,
    find_followers,
    start_large_domain,
)
from tests.virtual_net import LOCAL_HOST

NEW_KEY = "secret-new-1"
ACCOUNT = {"name": "library", "apiKeys": [NEW_KEY]}


def respond_as_earlier_build(hosts: set[str]) -> Any:
    """Patch the change feed of these hosts to omit what build 9582a90 does not know."""
    encode = encode_feed_response

    def encode_as_earlier(**fields: Any) -> bytes:
        data = encode(**fields)
        if LOCAL_HOST.get() not in hosts:
            return data
        document = orjson.loads(data)
        del document["passed_on"]
        for change in document["changes"]:
            if change["kind"] == "configuration":
                change["value"].pop("accounts", None)
        return orjson.dumps(document)

    return mock.patch.object(change_feed, "encode_feed_response", encode_as_earlier)


def run_with_earlier_sources(
    scenario: Callable[[Cluster, set[str]], Any],
) -> None:
    async def main(cluster: Cluster) -> None:
        hosts: set[str] = set()
        with respond_as_earlier_build(hosts):
            await scenario(cluster, hosts)

    run_scenario(main)


def configure_account(cluster: Cluster, *keys: str) -> None:
    cluster.configure(
        make_route("r-read", READ_PATH, service=BOOKING_SERVICE),
        tenants=[{"name": "library", "apiKeys": list(keys)}],
    )


async def statuses(
    cluster: Cluster, gateways: list[RunningGateway], key: str
) -> set[int]:
    responses = [
        await cluster.send_request(gateway, READ_PATH, headers={KEY_HEADER: key})
        for gateway in gateways
    ]
    return {response.status for response in responses if response is not None}


def test_followers_of_an_earlier_build_watch_the_store_until_it_is_replaced() -> None:
    async def scenario(cluster: Cluster, earlier: set[str]) -> None:
        gateways = await start_large_domain(cluster)
        followers = find_followers(cluster)
        sources = {feed_source_of(item) for item in followers}
        earlier |= {cluster.gateways[name].host for name in sources}
        for number in range(4):
            # In time, although each follower tries its sources again every 5 s.
            await asyncio.sleep(2.0)
            configure_account(cluster, f"secret-{number}")
            await asyncio.sleep(CHANGE_BOUND_SECONDS)
            assert await statuses(cluster, gateways, f"secret-{number}") == {200}
            assert await statuses(cluster, gateways, "secret-x") == {401}
            assert await statuses(cluster, gateways, "") == {401}
        assert not set(followers) & set(find_followers(cluster))
        assert all(
            "earlier build" in item.log_lines("feed_lost")[-1] for item in followers
        )
        earlier.clear()
        # The waiting watch of the store ends with a change.
        await asyncio.sleep(6.0)
        configure_account(cluster, NEW_KEY)
        await asyncio.sleep(CHANGE_BOUND_SECONDS)
        assert await statuses(cluster, gateways, NEW_KEY) == {200}
        assert find_followers(cluster) == followers

    run_with_earlier_sources(scenario)


def test_followers_use_the_source_of_this_build_if_the_other_is_earlier() -> None:
    async def scenario(cluster: Cluster, earlier: set[str]) -> None:
        gateways = await start_large_domain(cluster)
        followers = find_followers(cluster)
        old, new = sorted({feed_source_of(item) for item in followers})
        earlier.add(cluster.gateways[old].host)
        for number in range(4):
            configure_account(cluster, f"secret-{number}")
            await asyncio.sleep(CHANGE_BOUND_SECONDS)
            assert await statuses(cluster, gateways, f"secret-{number}") == {200}
        assert {feed_source_of(item) for item in followers} <= {new, ""}
        assert new in {feed_source_of(item) for item in followers}

    run_with_earlier_sources(scenario)


def test_new_instance_takes_no_accounts_away_that_its_source_does_not_know() -> None:
    # A source of the earlier build would pass on all records without the accounts.
    async def scenario(cluster: Cluster, earlier: set[str]) -> None:
        gateways = await start_large_domain(cluster)
        sources = {feed_source_of(item) for item in find_followers(cluster)}
        earlier |= {cluster.gateways[name].host for name in sources}
        configure_account(cluster, NEW_KEY)
        await asyncio.sleep(CHANGE_BOUND_SECONDS)
        cluster.store.compact()
        cluster.start_gateway(
            "g-late",
            **{"bounds.drainTimeoutMs": "5000", "bounds.configApplyMs": "5000"},
        )
        for _ in range(20):
            await asyncio.sleep(0.5)
            others = [item for item in gateways if item.host not in earlier]
            late = cluster.gateways["g-late"]
            assert await statuses(cluster, [*others, late], NEW_KEY) == {200}
            assert await statuses(cluster, [*others, late], "") == {401}

    run_with_earlier_sources(scenario)


def test_recorded_requests_of_the_earlier_build_are_served() -> None:
    # A relay and a delegation as recorded, with the headers that peers send.
    async def scenario(cluster: Cluster) -> None:
        for name in ("s", "t"):
            cluster.add_replica(name, records=[bytes(16)])
        routes = orjson.loads(RECORDED["stored_configuration"])["routes"]
        cluster.configure(*routes, tenants=[ACCOUNT])
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(3.0)
        for name, text, result in (
            ("bb-relay", RECORDED["relay"], "bb-relayed"),
            ("bb-gather", RECORDED["delegation"], "bb-parts"),
        ):
            caller = await cluster.connect(gateway, port=PEER_PORT)
            headers = {name: text, KEY_HEADER: NEW_KEY, ACCOUNT_HEADER: "other"}
            caller.send(encode_request("/b/x", attempt_id=name, headers=headers))
            response = await caller.responses.get()
            assert response is not None and response.status == 200
            assert result in response.headers
            for replica in cluster.replicas.values():
                for received, seen in zip(
                    replica.received_ids, replica.received_headers
                ):
                    assert KEY_HEADER.lower() not in seen
                    if received == name:
                        assert seen[ACCOUNT_HEADER.lower()] == "library"

    run_scenario(scenario)
