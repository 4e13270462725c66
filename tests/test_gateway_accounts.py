"""Tests of client accounts and their keys, in virtual time."""

import asyncio
from typing import Any

from bronzebeam.routing.accounts import digest_key
from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    PEER_PORT,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    Response,
    RunningGateway,
    encode_request,
    make_route,
    run_scenario,
    start_small_cluster,
)
from tests.standin_replica import ACCOUNT_HEADER, KEY_HEADER
from tests.standin_store import StoreFault, fault_always
from tests.test_gateway_cut_off import cut_off_first, start_fleet
from tests.test_gateway_feed import find_followers, start_large_domain

PUBLIC_PATH = "/open/"
# After a disturbance of the store, bounds count from this long after its end.
STABILITY_SECONDS = 4.0
CONFIGURATION_BOUND_SECONDS = 3.0  # the default of the settings
LIBRARY_KEY, SECOND_KEY, ARCHIVE_KEY = "secret-lib-1", "secret-lib-2", "secret-arc-1"
LIBRARY = {"name": "library", "apiKeys": [LIBRARY_KEY, SECOND_KEY]}
ARCHIVE = {"name": "archive", "apiKeys": [ARCHIVE_KEY]}
SECRET = "secret-"


def configure_accounts(
    cluster: Cluster, *accounts: dict[str, Any], public: bool = True
) -> None:
    """Write a configuration with these accounts, by default with a public route."""
    routes = [item for item in cluster.routes if item["name"] != "r-open"]
    if public:
        routes.append(
            make_route("r-open", PUBLIC_PATH, service=BOOKING_SERVICE, public=True)
        )
    cluster.configure(*routes, tenants=list(accounts))


async def start_with_accounts(cluster: Cluster, *, instances: int = 3) -> list[Any]:
    gateways = await start_fleet(cluster, instances=instances)
    configure_accounts(cluster, LIBRARY, ARCHIVE)
    await asyncio.sleep(SETTLE_SECONDS)
    return gateways


async def start_one(cluster: Cluster) -> RunningGateway:
    """Start one gateway, two replicas of one service, and the accounts."""
    gateway = await start_small_cluster(cluster)
    configure_accounts(cluster, LIBRARY, ARCHIVE)
    await asyncio.sleep(SETTLE_SECONDS)
    return gateway


def make_headers(key: str = "", name: str = "") -> dict[str, str]:
    """Return the headers of a caller with a key, and a name of its own choice."""
    headers = {KEY_HEADER: key} if key else {}
    return headers | ({ACCOUNT_HEADER: name} if name else {})


async def send(
    cluster: Cluster,
    gateway: RunningGateway,
    path: str,
    *,
    key: str = "",
    name: str = "",
    **options: Any,
) -> Response:
    response = await cluster.send_request(
        gateway,
        path,
        method="POST" if path == BOOKING_PATH else "GET",
        headers=make_headers(key, name),
        **options,
    )
    assert response is not None
    return response


async def status_of(cluster: Cluster, gateway: RunningGateway, key: str) -> int:
    return (await send(cluster, gateway, READ_PATH, key=key)).status


def names_at_replicas(cluster: Cluster, attempt_id: str) -> list[str | None]:
    """Return the account's name in each request of an attempt at a replica."""
    return [
        headers.get(ACCOUNT_HEADER.lower())
        for replica in cluster.replicas.values()
        for received, headers in zip(replica.received_ids, replica.received_headers)
        if received == attempt_id
    ]


def check_no_key_leaves(cluster: Cluster) -> None:
    """Check that no instance has sent, logged or counted a key."""
    hosts = {gateway.host for gateway in cluster.gateways.values()}
    for transport in cluster.loop.net.transports:
        if transport.local_host in hosts:
            assert SECRET.encode() not in transport.sent_bytes, transport.remote_host
    digest = digest_key(LIBRARY_KEY.encode())
    for gateway in cluster.gateways.values():
        gateway.gateway.log.flush()
        text = gateway.gateway.metrics.registry.render(now_seconds=0.0)
        text += "\n".join(gateway.written_lines)
        assert gateway.written_lines
        assert SECRET not in text and digest not in text


def refusal_causes(gateway: RunningGateway) -> list[str]:
    return [
        line.split(" cause=")[1].split(" ")[0]
        for line in gateway.log_lines("request_refused")
    ]


def test_replicas_get_the_name_of_the_account_and_never_the_key() -> None:
    # Through searches, delegations to peers (the third domain has no replicas), single
    # requests and bookings, whatever name the caller sends.
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_with_accounts(cluster)
        for gateway in gateways:
            for path in (FAN_OUT_PATH, READ_PATH, BOOKING_PATH):
                for key, own_name, name in (
                    (LIBRARY_KEY, "", "library"),
                    (SECOND_KEY, "archive", "library"),
                    (ARCHIVE_KEY, "archive, library", "archive"),
                ):
                    attempt_id = f"{gateway.name}{path}{key[7:]}"
                    response = await send(
                        cluster,
                        gateway,
                        path,
                        key=key,
                        name=own_name,
                        attempt_id=attempt_id,
                    )
                    assert response.status == 200 and response.missing == 0
                    names = names_at_replicas(cluster, attempt_id)
                    assert names and set(names) == {name}, attempt_id
        text = gateways[2].gateway.metrics.registry.render(now_seconds=0.0)
        assert 'bronzebeam_gateway_delegations_total{result="answered"}' in text
        check_no_key_leaves(cluster)

    run_scenario(scenario)


def test_relayed_requests_have_the_name_of_the_account() -> None:
    async def scenario(cluster: Cluster) -> None:
        cut_off, others = await cut_off_first(cluster)
        configure_accounts(cluster, LIBRARY, ARCHIVE)
        await asyncio.sleep(SETTLE_SECONDS)
        for number, path in enumerate((READ_PATH, BOOKING_PATH, FAN_OUT_PATH)):
            attempt_id = f"relayed-{number}"
            response = await send(
                cluster,
                cut_off,
                path,
                key=ARCHIVE_KEY,
                name="library",
                attempt_id=attempt_id,
            )
            assert response.status == 200
            assert set(names_at_replicas(cluster, attempt_id)) == {"archive"}
        check_no_key_leaves(cluster)

    run_scenario(scenario)


def test_callers_without_an_account_can_not_claim_a_name() -> None:
    # On a public route, and on a configuration without accounts; through peers too.
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_fleet(cluster, instances=3)
        for is_configured in (False, True):
            if is_configured:
                open_routes = [item | {"public": True} for item in cluster.routes]
                cluster.configure(*open_routes, tenants=[LIBRARY])
                await asyncio.sleep(SETTLE_SECONDS)
            for gateway in gateways:
                for path in (FAN_OUT_PATH, READ_PATH, BOOKING_PATH):
                    attempt_id = f"{gateway.name}{path}{is_configured}"
                    response = await send(
                        cluster,
                        gateway,
                        path,
                        key="secret-unknown",
                        name="library",
                        attempt_id=attempt_id,
                    )
                    assert response.status == 200
                    assert set(names_at_replicas(cluster, attempt_id)) == {None}
        check_no_key_leaves(cluster)
        # A key counts on a public route too.
        await send(cluster, gateways[0], READ_PATH, key=LIBRARY_KEY, attempt_id="known")
        assert names_at_replicas(cluster, "known") == ["library"]

    run_scenario(scenario)


def test_unknown_and_missing_keys_are_refused_before_any_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        digest = digest_key(LIBRARY_KEY.encode())
        for number, key in enumerate(
            ("", "secret-x", LIBRARY_KEY + "1", LIBRARY_KEY[:-1], "library", digest)
        ):
            for path in (READ_PATH, BOOKING_PATH):
                response = await send(
                    cluster,
                    gateway,
                    path,
                    key=key,
                    name="library",
                    attempt_id=f"no-{number}",
                )
                assert response.status == 401
                assert "retry-after" not in response.headers
            assert names_at_replicas(cluster, f"no-{number}") == []
        response = await send(cluster, gateway, PUBLIC_PATH)
        assert response.status == 200
        # A path that is no route's says so to anyone.
        response = await send(cluster, gateway, "/nowhere/")
        assert response.status == 404
        assert set(refusal_causes(gateway)) == {
            "missing_key",
            "unknown_key",
            "no_route",
        }
        text = gateway.gateway.metrics.registry.render(now_seconds=0.0)
        assert 'route="none",status="unknown_key"' in text

    run_scenario(scenario)


def test_removed_key_is_refused_on_an_open_connection() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        caller = await cluster.connect(gateway)

        async def status(key: str) -> int:
            caller.send(encode_request(READ_PATH, headers=make_headers(key)))
            response = await caller.responses.get()
            assert response is not None
            return response.status

        assert [await status(LIBRARY_KEY), await status(SECOND_KEY)] == [200, 200]
        configure_accounts(cluster, LIBRARY | {"apiKeys": [SECOND_KEY]}, ARCHIVE)
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
        assert [await status(LIBRARY_KEY), await status(SECOND_KEY)] == [401, 200]
        # The account is removed with its other key, which another account gets.
        configure_accounts(cluster, ARCHIVE | {"apiKeys": [ARCHIVE_KEY, SECOND_KEY]})
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
        caller.send(
            encode_request(READ_PATH, attempt_id="m", headers=make_headers(SECOND_KEY))
        )
        assert await caller.responses.get() is not None
        assert names_at_replicas(cluster, "m") == ["archive"]

    run_scenario(scenario)


def test_new_key_is_known_in_time_and_a_peer_does_not_check_it_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_with_accounts(cluster)
        sender = next(item for item in gateways if item.name == "g-3")
        others = [item for item in gateways if item is not sender]
        for other in others:
            cluster.loop.net.partitioned_pairs.add(
                frozenset((other.host, cluster.store.host))
            )
        new = {"name": "museum", "apiKeys": ["secret-new-1"]}
        configure_accounts(cluster, LIBRARY, new)
        await asyncio.sleep(1.0)
        # Its view is not old enough for the key to have to be in force.
        assert await status_of(cluster, others[0], "secret-new-1") == 401
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS - 1.0)
        response = await send(
            cluster, sender, FAN_OUT_PATH, key="secret-new-1", attempt_id="new"
        )
        assert response.status == 200 and response.missing == 0
        assert set(names_at_replicas(cluster, "new")) == {"museum"}
        await asyncio.sleep(2.0)
        for other in others:
            response = await send(cluster, other, READ_PATH, key="secret-new-1")
            assert response.status == 503 and "retry-after" in response.headers
        cluster.loop.net.partitioned_pairs.clear()
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
        for other in others:
            assert await status_of(cluster, other, "secret-new-1") == 200

    run_scenario(scenario)


def test_unknown_keys_may_be_new_while_the_view_of_the_store_is_old() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        cluster.store.fault = fault_always(StoreFault.UNRESPONSIVE)
        await asyncio.sleep(2 * CONFIGURATION_BOUND_SECONDS)
        response = await send(cluster, gateway, READ_PATH, key="secret-x")
        assert response.status == 503 and float(response.headers["retry-after"]) > 0.0
        assert refusal_causes(gateway)[-1] == "key_unconfirmed"
        # No configuration makes up for a key that is not there.
        assert await status_of(cluster, gateway, "") == 401
        assert await status_of(cluster, gateway, LIBRARY_KEY) == 200
        cluster.store.fault = fault_always(StoreFault.NONE)
        await asyncio.sleep(STABILITY_SECONDS + CONFIGURATION_BOUND_SECONDS)
        assert await status_of(cluster, gateway, "secret-x") == 401

    run_scenario(scenario)


def test_unknown_keys_are_refused_while_nothing_changes() -> None:
    # An idle watch of the store is in contact with it; 503 would never end.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        for _ in range(60):
            assert await status_of(cluster, gateway, "secret-x") == 401
            await asyncio.sleep(0.7)

    run_scenario(scenario)


def test_nothing_is_served_before_the_first_configuration() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_one(cluster)
        cluster.store.fault = fault_always(StoreFault.UNRESPONSIVE)
        late = cluster.start_gateway("g-late")
        await asyncio.sleep(SETTLE_SECONDS)
        for key in ("", LIBRARY_KEY):
            for path in (READ_PATH, PUBLIC_PATH):
                response = await send(cluster, late, path, key=key)
                assert response.status == 503 and "retry-after" in response.headers
        assert set(refusal_causes(late)) == {"no_configuration"}

    run_scenario(scenario)


def test_view_of_a_follower_is_as_old_as_that_of_its_source() -> None:
    # A source answers for 3 s after it has lost the store.
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster)
        configure_accounts(cluster, LIBRARY, public=False)
        await asyncio.sleep(5.0)
        followers = find_followers(cluster)
        assert await status_of(cluster, followers[0], "secret-x") == 401
        cluster.store.fault = fault_always(StoreFault.UNRESPONSIVE)
        await asyncio.sleep(5.0 + 0.2)
        for follower in followers:
            assert await status_of(cluster, follower, "secret-x") == 503

    run_scenario(scenario)


def test_request_of_an_earlier_build_has_the_account_of_its_key() -> None:
    # An earlier build passes on what its caller sent: the key, and any name.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        relay = '["r-read","booking",true,90.0]'
        for key, name in (
            (LIBRARY_KEY, "library"),
            ("secret-unknown", None),
        ):
            caller = await cluster.connect(gateway, port=PEER_PORT)
            headers = make_headers(key, "archive") | {"bb-relay": relay}
            attempt_id = f"of-{name}"
            caller.send(
                encode_request(READ_PATH, attempt_id=attempt_id, headers=headers)
            )
            response = await caller.responses.get()
            assert response is not None and response.status == 200
            assert names_at_replicas(cluster, attempt_id) == [name]
        check_no_key_leaves(cluster)

    run_scenario(scenario)


def test_log_line_of_a_request_names_its_account() -> None:
    # Operators go from a refused request to the account's quota or keys.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        await send(cluster, gateway, READ_PATH, key=ARCHIVE_KEY, attempt_id="l-1")
        await send(cluster, gateway, PUBLIC_PATH, name="archive", attempt_id="l-2")
        lines = gateway.log_lines("request_ended")
        assert [" account=archive " in line for line in lines] == [True, False]
        assert "account=" not in lines[1]

    run_scenario(scenario)
