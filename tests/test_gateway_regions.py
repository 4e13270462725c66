"""Tests of requests that may be sent to some regions only, in virtual time."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from typing import Any
from unittest import mock

import orjson

from bronzebeam.gateway import delegation_handler, relay_handler
from bronzebeam.gateway.delegation import Delegation
from bronzebeam.gateway.peer_codec import (
    DelegationRequest,
    MalformedDelegation,
    RelayRequest,
    decode_delegation,
    decode_relay,
    encode_delegation,
    encode_relay,
)
from bronzebeam.gateway.relay import RelayedAttempt
from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    READ_PATH,
    Cluster,
    Response,
    RunningGateway,
    encode_record,
    make_route,
    run_scenario,
)
from tests.standin_replica import StandinReplica
from tests.test_gateway_cut_off import replica_links, statuses
from tests.test_gateway_evacuation import (
    EVACUATION_BOUND_SECONDS,
    evacuate,
    received_count,
)

DOMAINS = ("zone-a", "zone-b", "zone-c", "zone-d")
# The region of zone-d is not listed, and so unknown.
REGIONS = {
    "zones.zone-a": "north",
    "zones.zone-b": "north",
    "zones.zone-c": "south",
}
REGION_BY_DOMAIN = {"zone-a": "north", "zone-b": "north", "zone-c": "south"}
SHARDS = 6
ACCOUNT_HEADER = "X-Bronzebeam-Key"
PATHS = (FAN_OUT_PATH, READ_PATH, BOOKING_PATH)


async def start_regions(
    cluster: Cluster,
    *,
    instances_per_domain: int = 2,
    route_regions: Sequence[str] = (),
    account_regions: Sequence[str] = (),
    domains: Sequence[str] = DOMAINS,
    public: bool = True,
) -> list[RunningGateway]:
    """Start instances and replicas in all domains, with restricted routes."""
    names = [f"shard-{index}" for index in range(SHARDS)]
    for domain in domains:
        for index, name in enumerate(names):
            records = [encode_record(10 * index + offset) for offset in (3, 9, 1)]
            cluster.add_replica(name, domain=domain, records=records)
        cluster.add_replica(BOOKING_SERVICE, domain=domain)
    common: dict[str, Any] = {"public": public}
    if route_regions:
        common["allowedRegions"] = list(route_regions)
    cluster.configure(
        make_route(
            "r-find",
            FAN_OUT_PATH,
            fanoutServices=names,
            topK=5,
            minShardFraction=0.75,
            **common,
        ),
        make_route("r-read", READ_PATH, service=BOOKING_SERVICE, **common),
        make_route(
            "r-book",
            BOOKING_PATH,
            service=BOOKING_SERVICE,
            routeKind="non_idempotent",
            **common,
        ),
        tenants=[
            {
                "name": "acme",
                "apiKeys": ["k-1"],
                "allowedRegions": list(account_regions),
            }
        ],
    )
    for number in range(instances_per_domain * len(DOMAINS)):
        domain = DOMAINS[number % len(DOMAINS)]
        region = REGION_BY_DOMAIN.get(domain, "")
        settings = REGIONS | ({"region": region} if region else {"region": ""})
        cluster.start_gateway(f"g-{number + 1}", domain=domain, **settings)
    await asyncio.sleep(5.0)
    return list(cluster.gateways.values())


async def send_each(
    cluster: Cluster, gateways: Sequence[RunningGateway], *, rounds: int
) -> list[Response | None]:
    """Send one request of each kind with a body to each gateway, several times."""
    tasks = []
    for _ in range(rounds):
        for gateway in gateways:
            for path in PATHS:
                request = cluster.send_request(
                    gateway,
                    path,
                    method="POST",
                    body=b"text",
                    headers={ACCOUNT_HEADER: "k-1"},
                )
                tasks.append(asyncio.create_task(request))
        await asyncio.sleep(0.1)
    return await asyncio.gather(*tasks)


def replicas_outside(
    cluster: Cluster, domains: Collection[str]
) -> list[StandinReplica]:
    return [item for item in cluster.replicas.values() if item.domain not in domains]


def check_bodies(
    sends: Sequence[tuple[str, str]], *, allowed_domains: Collection[str]
) -> None:
    """Check the domains of instances and of the peers that they sent bodies to."""
    for own, peer in sends:
        own_region = REGION_BY_DOMAIN.get(own)
        assert (
            peer in allowed_domains
            or peer == own
            or (own_region is not None and REGION_BY_DOMAIN.get(peer) == own_region)
        ), (own, peer)


class BodyRecorder:
    """Records which instances pass request bodies to which peers."""

    def __init__(self) -> None:
        self.sends: list[tuple[str, str]] = []

    def __enter__(self) -> "BodyRecorder":
        self._patches = [
            mock.patch.object(item, "_send", self._recording(item._send))
            for item in (Delegation, RelayedAttempt)
        ]
        for patch in self._patches:
            patch.start()
        return self

    def __exit__(self, *args: object) -> None:
        for patch in self._patches:
            patch.stop()

    def _recording(self, send: Any) -> Any:
        def record(attempt: Any, connection: Any) -> None:
            own_domain = attempt.context.state.own_domain
            self.sends.append((own_domain, attempt.peer.record.failure_domain))
            send(attempt, connection)

        return record


def test_requests_go_to_the_regions_of_their_route_only() -> None:
    for region, domains in (("north", ("zone-a", "zone-b")), ("south", ("zone-c",))):

        async def scenario(cluster: Cluster) -> None:
            gateways = await start_regions(cluster, route_regions=[region])
            outside = replicas_outside(cluster, domains)
            with BodyRecorder() as bodies:
                responses = await send_each(cluster, gateways, rounds=10)
                # Slow replicas are hedged, and too slow for some of the requests.
                for replica in cluster.replicas.values():
                    replica.work_seconds = 0.04 if replica.domain in domains else 0.001
                await send_each(cluster, gateways, rounds=10)
            assert received_count(outside) == 0
            assert set(statuses(responses)) == {200}
            assert sum(item.missing for item in responses if item) == 0
            assert bodies.sends
            check_bodies(bodies.sends, allowed_domains=domains)

        run_scenario(scenario)


def test_regions_of_the_account_and_of_the_route_both_apply() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(
            cluster,
            route_regions=["south", "north"],
            account_regions=["west", "south"],
            public=False,
        )
        outside = replicas_outside(cluster, ("zone-c",))
        with BodyRecorder() as bodies:
            responses = await send_each(cluster, gateways, rounds=10)
        assert received_count(outside) == 0
        assert set(statuses(responses)) == {200}
        check_bodies(bodies.sends, allowed_domains=("zone-c",))

    run_scenario(scenario)


def test_request_without_an_allowed_region_is_refused() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(
            cluster, route_regions=["north"], account_regions=["south"]
        )
        with BodyRecorder() as bodies:
            responses = await send_each(cluster, gateways, rounds=2)
        assert set(statuses(responses)) == {503}
        assert all(item and "retry-after" in item.headers for item in responses)
        assert received_count(cluster.replicas.values()) == 0 and not bodies.sends
        lines = gateways[0].log_lines("request_ended")
        assert any("cause=outside_regions" in line for line in lines)
        assert any("shard-0:outside_regions" in line for line in lines)

    run_scenario(scenario)


def test_shards_that_only_other_regions_hold_are_missing() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(cluster, route_regions=["south"])
        for replica in cluster.replicas.values():
            if replica.domain == "zone-c" and replica.service == "shard-0":
                cluster.unregister(replica)
        await asyncio.sleep(5.0)
        with BodyRecorder() as bodies:
            responses = [
                await cluster.send_request(
                    gateway,
                    FAN_OUT_PATH,
                    method="POST",
                    body=b"text",
                    headers={ACCOUNT_HEADER: "k-1"},
                )
                for gateway in gateways
            ]
        assert set(statuses(responses)) == {200}
        assert {item.missing for item in responses if item} == {1}
        assert received_count(replicas_outside(cluster, ("zone-c",))) == 0
        check_bodies(bodies.sends, allowed_domains=("zone-c",))

    run_scenario(scenario)


def test_relays_keep_to_the_allowed_regions() -> None:
    for cut_domain in DOMAINS:

        async def scenario(cluster: Cluster) -> None:
            gateways = await start_regions(cluster, route_regions=["south"])
            cut_off = next(
                item
                for item in gateways
                if item.gateway.settings.failure_domain == cut_domain
            )
            await send_each(cluster, [cut_off], rounds=10)
            cluster.loop.net.refusing_pairs |= replica_links(cluster, cut_off)
            cluster.loop.net.reset_connections(cut_off.host)
            await send_each(cluster, [cut_off], rounds=40)
            assert cut_off.log_lines("replicas_lost")
            with BodyRecorder() as bodies:
                responses = await send_each(cluster, [cut_off], rounds=30)
            assert set(statuses(responses)) == {200}
            assert sum(item.missing for item in responses if item) == 0
            assert len(bodies.sends) >= 30
            assert received_count(replicas_outside(cluster, ("zone-c",))) == 0
            check_bodies(bodies.sends, allowed_domains=("zone-c",))

        run_scenario(scenario)


def test_evacuated_domain_of_the_only_allowed_region_gets_nothing() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(cluster, route_regions=["south"])
        evacuate(cluster, "zone-c")
        await asyncio.sleep(EVACUATION_BOUND_SECONDS)
        responses = await send_each(cluster, gateways, rounds=2)
        assert set(statuses(responses)) == {503}
        assert received_count(cluster.replicas.values()) == 0
        lines = gateways[0].log_lines("request_ended")
        assert any("cause=domain_evacuated" in line for line in lines)

    run_scenario(scenario)


def reject_ninth_field(value: bytes) -> DelegationRequest:
    """Decode as build 9582a90 does, which knows eight fields."""
    if len(orjson.loads(value)) != 8:
        raise MalformedDelegation("too many values to unpack")
    return decode_delegation(value)


def reject_fifth_field(value: bytes) -> RelayRequest:
    """Decode as build 9582a90 does, which knows four fields."""
    if len(orjson.loads(value)) != 4:
        raise MalformedDelegation("too many values to unpack")
    return decode_relay(value)


def test_peers_of_an_earlier_build_get_no_restricted_requests() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_regions(cluster, route_regions=["south"])
        with (
            mock.patch.object(
                delegation_handler, "decode_delegation", reject_ninth_field
            ),
            mock.patch.object(relay_handler, "decode_relay", reject_fifth_field),
        ):
            with BodyRecorder() as bodies:
                responses = await send_each(cluster, gateways, rounds=10)
        assert set(statuses(responses)) == {200}
        assert sum(item.missing for item in responses if item) == 0
        assert received_count(replicas_outside(cluster, ("zone-c",))) == 0
        # Each instance finds out once of each peer, at most per domain and group.
        assert 0 < len(bodies.sends) <= len(gateways) ** 2
        for gateway in gateways:
            assert not gateway.log_lines("peer_avoided")

    run_scenario(scenario)


def test_requests_without_restrictions_are_delegated_as_before() -> None:
    delegation = DelegationRequest(
        route="r",
        shards=("shard-0",),
        top_records=5,
        max_attempts=2,
        target_latency_ms=90.0,
        hedge_after_ms=10.0,
        cutoff_ms=70.0,
        repeated=False,
    )
    relay = RelayRequest(
        route="r", service="s", idempotent=True, target_latency_ms=90.0
    )
    assert encode_delegation(delegation) == (
        b'["r",["shard-0"],5,2,90.0,10.0,70.0,false]'
    )
    assert encode_relay(relay) == b'["r","s",true,90.0]'
    assert decode_delegation(encode_delegation(delegation)) == delegation
    assert decode_relay(encode_relay(relay)) == relay


def test_regions_of_a_delegation_are_read_or_it_is_rejected() -> None:
    """Guards against a restriction that is lost on the way."""
    base = b'["r",["shard-0"],5,2,90.0,10.0,70.0,false'
    assert decode_delegation(base + b',["north"]]').regions == frozenset({"north"})
    assert decode_delegation(base + b",[]]").regions == frozenset()
    assert decode_relay(b'["r","s",true,90.0,["north"]]').regions == frozenset(
        {"north"}
    )
    # What later builds add behind the regions does not lift the restriction.
    assert decode_delegation(base + b",[],0]").regions == frozenset()
    for bad in (b',"north"]', b",null]", b",[1]]", b",{}]", b",0,[]]"):
        assert not is_readable(decode_delegation, base + bad), bad
        assert not is_readable(decode_relay, b'["r","s",true,90.0' + bad), bad


def is_readable(decode: Callable[[bytes], object], value: bytes) -> bool:
    try:
        decode(value)
    except MalformedDelegation:
        return False
    return True
