"""Tests of the change feed between instances, in virtual time."""

import asyncio

import orjson
from hypothesis import given, strategies as st

from bronzebeam.gateway.change_codec import (
    FeedResponse,
    MalformedFeedResponse,
    compress_response,
    decode_feed_response,
    decompress_response,
    encode_changes,
    encode_feed_response,
)
from bronzebeam.gateway.change_log import MAX_BATCHES, ChangeLog
from bronzebeam.gateway.records import (
    Change,
    InstanceRecord,
    RecordKind,
    ReplicaRecord,
    SuspectRecord,
)
from bronzebeam.platform.configuration import decode_configuration
from bronzebeam.routing.feed_sources import choose_feed_sources
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
from tests.fixtures_routing import HYPOTHESIS_SETTINGS
from tests.standin_store import StoreFault, fault_always

CHANGE_BOUND_SECONDS = 5.0
BOUND_SETTINGS = {"bounds.drainTimeoutMs": "5000", "bounds.configApplyMs": "5000"}
INSTANCE_COUNT = 7


async def start_large_domain(cluster: Cluster, **settings: str) -> list[RunningGateway]:
    """Start enough instances in one failure domain for some to use the feed."""
    for _ in range(2):
        cluster.add_replica(BOOKING_SERVICE)
    cluster.configure(make_route("r-read", READ_PATH, service=BOOKING_SERVICE))
    for number in range(INSTANCE_COUNT):
        cluster.start_gateway(f"g-{number}", **(settings or BOUND_SETTINGS))
    await asyncio.sleep(5.0)
    return list(cluster.gateways.values())


def feed_source_of(gateway: RunningGateway) -> str:
    """Return the peer that an instance reads changes from; empty if there is none."""
    return gateway.gateway._store_watch.feed._source


def find_followers(cluster: Cluster) -> list[RunningGateway]:
    return [item for item in cluster.gateways.values() if feed_source_of(item)]


def active_versions(cluster: Cluster) -> set[int]:
    tables = [item.gateway._state.table for item in cluster.gateways.values()]
    return {table.version for table in tables if table is not None}


async def check_changes_are_applied(cluster: Cluster, within_seconds: float) -> None:
    """Change the configuration and add a replica; check that all instances apply it."""
    replica = cluster.add_replica(BOOKING_SERVICE)
    cluster.configure(*cluster.routes)
    await asyncio.sleep(within_seconds)
    assert active_versions(cluster) == {cluster.version}
    for gateway in cluster.gateways.values():
        assert replica.replica in gateway.gateway._state.replicas.names


def test_two_instances_per_large_domain_watch_the_store() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster)
        assert len(find_followers(cluster)) == INSTANCE_COUNT - 2
        await asyncio.sleep(3.0)
        cluster.store.calls.clear()
        for _ in range(5):
            await check_changes_are_applied(cluster, 2.5)
        watches = cluster.store.calls.count("GET /kv-watch")
        # Two instances watch the store, each with at most one watch per second.
        assert watches <= 2 * 2 * 5
        assert cluster.store.calls.count("GET /kv-range") <= 2 * 13

    run_scenario(scenario)


def test_every_instance_watches_the_store_with_a_short_change_bound() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster, **{"bounds.drainTimeoutMs": "3000"})
        assert find_followers(cluster) == []

    run_scenario(scenario)


def test_changes_arrive_in_time_despite_failures_of_the_sources() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_domain(cluster)
        names = {feed_source_of(item) for item in find_followers(cluster)}
        sources = [item for item in gateways if item.name in names]
        for source in sources:
            # It does not respond to its followers, which have to use the store.
            for other in gateways:
                if other is not source:
                    cluster.loop.net.partitioned_pairs.add(
                        frozenset((other.host, source.host))
                    )
        await check_changes_are_applied(cluster, CHANGE_BOUND_SECONDS - 1.5)
        cluster.loop.net.partitioned_pairs.clear()
        await asyncio.sleep(8.0)
        # A waiting watch of the store is not cancelled; the next change ends it.
        await check_changes_are_applied(cluster, CHANGE_BOUND_SECONDS - 1.5)
        assert len(find_followers(cluster)) == INSTANCE_COUNT - 2
        for source in sources:
            # It responds to its followers, but has no contact with the store.
            cluster.loop.net.partitioned_pairs.add(
                frozenset((source.host, cluster.store.host))
            )
        await asyncio.sleep(4.0)
        replica = cluster.add_replica(BOOKING_SERVICE)
        await asyncio.sleep(CHANGE_BOUND_SECONDS - 1.5)
        for gateway in gateways:
            if gateway not in sources:
                assert replica.replica in gateway.gateway._state.replicas.names
        cluster.loop.net.partitioned_pairs.clear()
        await asyncio.sleep(8.0)
        for source in sources:
            source.kill(cluster)
            del cluster.gateways[source.name]
        await check_changes_are_applied(cluster, CHANGE_BOUND_SECONDS - 1.5)

    run_scenario(scenario)


def test_pauses_between_watches_of_a_source_do_not_lose_its_followers() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(
            cluster,
            **{"bounds.drainTimeoutMs": "6000", "bounds.configApplyMs": "6000"},
        )
        assert len(find_followers(cluster)) == INSTANCE_COUNT - 2
        for _ in range(4):
            cluster.configure(*cluster.routes)
            await asyncio.sleep(6.0)
        for gateway in cluster.gateways.values():
            assert not gateway.log_lines("feed_lost")

    run_scenario(scenario)


def test_followers_of_a_lost_source_use_the_other_one() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_domain(cluster)
        names = {feed_source_of(item) for item in find_followers(cluster)}
        lost = min(names)
        for host in (cluster.store.host, *(item.host for item in gateways)):
            cluster.loop.net.partitioned_pairs.add(
                frozenset((host, cluster.gateways[lost].host))
            )
        cluster.store.calls.clear()
        await asyncio.sleep(4.0)
        followers = [item for item in find_followers(cluster) if item.name != lost]
        assert len(followers) == INSTANCE_COUNT - 2
        assert {feed_source_of(item) for item in followers}.isdisjoint({lost})
        # Only the other source watches the store.
        assert cluster.store.calls.count("GET /kv-watch") <= 4

    run_scenario(scenario)


def test_follower_keeps_serving_while_store_and_source_are_unavailable() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_domain(cluster)
        cluster.store.fault = fault_always(StoreFault.UNRESPONSIVE)
        await asyncio.sleep(4.0)
        for gateway in gateways:
            response = await cluster.send_request(gateway, READ_PATH)
            assert response is not None and response.status == 200
        cluster.store.fault = fault_always(StoreFault.NONE)
        await check_changes_are_applied(cluster, 4.0)

    run_scenario(scenario)


def test_snapshot_is_read_after_the_store_has_compacted_its_history() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster)
        cluster.store.compact()
        cluster.configure(*cluster.routes)
        cluster.store.compact()
        await asyncio.sleep(CHANGE_BOUND_SECONDS - 1.5)
        assert active_versions(cluster) == {cluster.version}

    run_scenario(scenario)


def test_follower_ahead_of_or_behind_its_source_reads_no_snapshot() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster)
        await asyncio.sleep(3.0)
        follower = find_followers(cluster)[0]
        source = cluster.gateways[feed_source_of(follower)]
        log = source.gateway._change_log
        cluster.store.calls.clear()
        # The source has loaded its snapshot later than the follower.
        log.reset(log.revision)
        log._oldest_revision = log.revision = log.revision + 1
        await check_changes_are_applied(cluster, CHANGE_BOUND_SECONDS - 1.5)
        # The follower has loaded its snapshot later than the source.
        log.revision = log._oldest_revision = 0
        await asyncio.sleep(3.0)
        await check_changes_are_applied(cluster, CHANGE_BOUND_SECONDS - 1.5)
        assert cluster.store.calls.count("GET /kv-range") <= 40
        assert not follower.log_lines("store_history_lost")

    run_scenario(scenario)


def test_instances_that_start_together_read_the_store_once_each() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster)
        assert not any(
            item.log_lines("store_history_lost") for item in cluster.gateways.values()
        )

    run_scenario(scenario)


def test_stopping_source_does_not_wait_for_its_followers() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster)
        source = cluster.gateways[feed_source_of(find_followers(cluster)[0])]
        source.stop()
        await check_changes_are_applied(cluster, CHANGE_BOUND_SECONDS - 1.5)
        assert await source.task == 0

    run_scenario(scenario)


def test_malformed_feed_request_is_rejected() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_domain(cluster)
        for target in (
            "/changes?after=x",
            "/changes?after=",
            "/changes?era=1&after=-1",
            "/changes?after=\u00b2",
            "/changes?after=" + "1" * 4_500,
        ):
            caller = await cluster.connect(gateways[0], port=PEER_PORT)
            data = encode_request(target, remaining_ms=None)
            caller.send(data.replace("\u00b2".encode(), b"\xb2"))
            response = await caller.responses.get()
            assert response is not None and response.status == 400

    run_scenario(scenario)


def test_instance_that_started_on_an_unconfirmed_stale_read_serves_no_changes() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.stale_age_seconds = lambda: 3.0
        cluster.add_replica(BOOKING_SERVICE)
        cluster.configure(make_route("r-read", READ_PATH, service=BOOKING_SERVICE))
        await asyncio.sleep(5.0)
        cluster.store.fault = lambda request: (
            StoreFault.UNRESPONSIVE
            if request.target.startswith("/kv-watch")
            else StoreFault.NONE
        )
        gateway = cluster.start_gateway("g-1", **BOUND_SETTINGS)
        for expected in (False, True):
            await asyncio.sleep(0.5)
            assert gateway.gateway._state.table is not None
            caller = await cluster.connect(gateway, port=PEER_PORT)
            after = cluster.store.revision - 1
            caller.send(encode_request(f"/changes?after={after}", remaining_ms=None))
            response = await caller.responses.get()
            assert response is not None
            assert decode_feed_response(response.body).is_up_to_date is expected
            cluster.store.fault = fault_always(StoreFault.NONE)
            await asyncio.sleep(3.0)
            cluster.configure(*cluster.routes)

    run_scenario(scenario)


def test_peer_whose_history_is_unknown_gets_all_records() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await start_large_domain(cluster)
        source = cluster.gateways[feed_source_of(find_followers(cluster)[0])]
        for target in ("/changes?after=1", "/changes?era=0&after=999999"):
            caller = await cluster.connect(source, port=PEER_PORT)
            caller.send(encode_request(target, remaining_ms=None))
            response = await caller.responses.get()
            assert response is not None and response.status == 200
            assert response.headers["content-encoding"] == "deflate"
            whole = decode_feed_response(decompress_response(response.body))
            assert whole.is_complete and whole.era == cluster.store.era
            assert {item.name for item in whole.changes} == {
                "",
                *cluster.replicas,
                *(gateway.name for gateway in gateways),
            }

    run_scenario(scenario)


def test_followers_do_not_read_the_store_when_its_history_is_dropped() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_large_domain(cluster)
        await asyncio.sleep(5.0)
        for lose_history in (cluster.store.compact, lambda: restore_older(cluster)):
            followers = find_followers(cluster)
            assert len(followers) == INSTANCE_COUNT - 2
            cluster.unregister(cluster.add_replica(BOOKING_SERVICE))
            cluster.store.calls.clear()
            lose_history()
            await check_changes_are_applied(cluster, CHANGE_BOUND_SECONDS)
            assert cluster.store.calls.count("GET /kv-range") <= 2 * 4
            assert cluster.store.calls.count("GET /kv-watch") <= 2 * 8
            assert find_followers(cluster) == followers
            for gateway in followers:
                assert gateway.log_lines("feed_read_whole")

    run_scenario(scenario)


def restore_older(cluster: Cluster) -> None:
    copy = cluster.store.copy()
    cluster.configure(*cluster.routes)
    cluster.store.restore(copy)


def test_malformed_compressed_response_is_reported() -> None:
    whole = compress_response(b"x" * 1_000)
    assert decompress_response(whole) == b"x" * 1_000
    for data in (b"", b"no", whole[:-3], whole[4:]):
        try:
            decompress_response(data)
        except MalformedFeedResponse:
            continue
        raise AssertionError(data)


REPLICA = ReplicaRecord(
    replica="i-1",
    service="s",
    host="10.0.0.1",
    port=80,
    failure_domain="z",
    slots=2,
    leaving=True,
    cold_ms=1.5,
)
INSTANCE = InstanceRecord(
    instance="g", failure_domain="z", host="10.0.0.2", port=81, processor_cores=0.5
)
TABLE = decode_configuration(
    b'{"version": 7, "routes": ['
    b'{"name": "a", "host": "h", "pathPrefix": "/\xc3\xbc/", "fanoutServices":'
    b' ["s", "t"], "topK": 5, "minShardFraction": 0.5, "maxAttempts": 2},'
    b'{"name": "b", "host": "h", "pathPrefix": "/b/", "trafficSplit":'
    b' [{"service": "s", "weight": 3}, {"service": "t", "weight": 1}]}],'
    b'"services": [{"name": "s", "connectionLimit": 9}]}'
)
CHANGES = [
    Change(kind=RecordKind.REPLICA, name="i-1", value=REPLICA),
    Change(kind=RecordKind.INSTANCE, name="g", value=INSTANCE),
    Change(
        kind=RecordKind.SUSPECT,
        name="f/g",
        value=SuspectRecord(suspect="f", instance="g", losses=2),
    ),
    Change(kind=RecordKind.REPLICA, name="i-2"),
]


def test_changes_survive_encoding_and_decoding() -> None:
    data = encode_feed_response(
        revision=9, is_up_to_date=True, changes=encode_changes(CHANGES)
    )
    assert decode_feed_response(data) == FeedResponse(
        revision=9, is_up_to_date=True, changes=tuple(CHANGES)
    )
    change = Change(kind=RecordKind.CONFIGURATION, name="", value=TABLE)
    data = encode_feed_response(
        revision=9, is_up_to_date=False, changes=encode_changes([change])
    )
    [decoded] = decode_feed_response(data).changes
    # Routes compare by identity, so their representations are compared.
    assert repr(decoded) == repr(change)


def test_changes_have_no_fields_that_the_earlier_build_rejects() -> None:
    record = InstanceRecord(instance="g-1", failure_domain="a", host="h", port=1)
    change = Change(kind=RecordKind.INSTANCE, name="g-1", value=record)
    [item] = orjson.loads(encode_changes([change]))
    # The fields that build 2daecfa knows.
    known = {"instance", "failure_domain", "host", "port", "processor_cores"}
    assert item["value"].keys() <= known


def add_unknown_fields(value: object) -> object:
    """Return a JSON document in which each object has one more field."""
    if isinstance(value, list):
        return [add_unknown_fields(item) for item in value]
    if isinstance(value, dict):
        items = {name: add_unknown_fields(item) for name, item in value.items()}
        return items | {"of_a_later_build": [1]}
    return value


def test_fields_and_kinds_of_later_builds_are_ignored() -> None:
    table = Change(kind=RecordKind.CONFIGURATION, name="", value=TABLE)
    data = encode_feed_response(
        revision=9, is_up_to_date=True, changes=encode_changes([*CHANGES, table])
    )
    document = orjson.loads(data)
    document["changes"].insert(1, {"kind": "later", "name": "x", "value": {"a": 1}})
    decoded = decode_feed_response(orjson.dumps(add_unknown_fields(document)))
    assert decoded.changes[:-1] == tuple(CHANGES)
    assert repr(decoded.changes[-1]) == repr(table)


@HYPOTHESIS_SETTINGS
@given(data=st.one_of(st.binary(max_size=80), st.text(max_size=80).map(str.encode)))
def test_arbitrary_bytes_decode_or_are_malformed(data: bytes) -> None:
    try:
        decode_feed_response(data)
    except MalformedFeedResponse:
        pass


def test_change_log_returns_the_changes_after_a_revision() -> None:
    log = ChangeLog()
    log.reset(10)
    log.append(12, CHANGES[:1])
    log.append(15, CHANGES[1:2])
    assert log.encoded_changes_after(9) is None
    # A peer that has read the store later is ahead.
    assert log.encoded_changes_after(16) == b"[]"
    assert log.encoded_changes_after(10) == encode_changes(CHANGES[:2])
    assert log.encoded_changes_after(11) == encode_changes(CHANGES[:2])
    assert log.encoded_changes_after(12) == encode_changes(CHANGES[1:2])
    assert log.encoded_changes_after(15) == b"[]"
    for number in range(MAX_BATCHES):
        log.append(20 + number, CHANGES[:1])
    assert log.encoded_changes_after(14) is None
    assert log.encoded_changes_after(15) is not None


def test_instances_of_small_domains_watch_the_store_themselves() -> None:
    small = {f"g-{n}": 1.0 for n in range(4)}
    assert choose_feed_sources("g-0", domain="z", members=small) == frozenset()
    large = {f"g-{n}": 1.0 for n in range(16)}
    counts = [
        len(choose_feed_sources(name, domain="z", members=large)) for name in large
    ]
    assert sorted(counts) == [0, 0] + [2] * 14


def test_fields_that_only_the_store_tells_are_not_passed_on() -> None:
    """Guards against a message that differs for deployments without cold limits."""
    record = ReplicaRecord(
        replica="i-1",
        service="s",
        host="10.0.0.1",
        port=8_000,
        failure_domain="zone-a",
        slots=2,
        leaving=False,
        cold_ms=5.0,
        is_first=True,
    )
    change = Change(kind=RecordKind.REPLICA, name="i-1", value=record)
    assert b"is_first" not in encode_changes([change])
