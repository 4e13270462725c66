"""Tests of instances that learn of the store's changes from a peer, in virtual time."""

import asyncio

from hypothesis import given, strategies as st

from bronzebeam.gateway.change_codec import (
    FeedResponse,
    MalformedFeedResponse,
    decode_feed_response,
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
    CALL_SERVICE,
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

BOUND_SECONDS = 5.0
BOUNDS = {"bounds.drainTimeoutMs": "5000", "bounds.configApplyMs": "5000"}
INSTANCES = 7


async def large_domain(cluster: Cluster, **settings: str) -> list[RunningGateway]:
    """Start so many instances in one domain that some learn from others."""
    for _ in range(2):
        cluster.add_replica(CALL_SERVICE)
    cluster.configure(make_route("r-read", READ_PATH, service=CALL_SERVICE))
    for number in range(INSTANCES):
        cluster.start_gateway(f"g-{number}", **(settings or BOUNDS))
    await asyncio.sleep(5.0)
    return list(cluster.gateways.values())


def source_of(gateway: RunningGateway) -> str:
    """Return the peer that an instance learns from; empty if there is none."""
    return gateway.gateway._store_watch.feed._source


def followers(cluster: Cluster) -> list[RunningGateway]:
    return [item for item in cluster.gateways.values() if source_of(item)]


def versions(cluster: Cluster) -> set[int]:
    tables = [item.gateway._state.table for item in cluster.gateways.values()]
    return {table.version for table in tables if table is not None}


async def check_changes_arrive(cluster: Cluster, within_seconds: float) -> None:
    """Change the configuration and a replica; check that all take it in."""
    replica = cluster.add_replica(CALL_SERVICE)
    cluster.configure(*cluster.routes)
    await asyncio.sleep(within_seconds)
    assert versions(cluster) == {cluster.version}
    for gateway in cluster.gateways.values():
        assert replica.replica in gateway.gateway._state.replicas.names


def test_two_instances_watch_the_store_for_their_domain() -> None:
    async def scenario(cluster: Cluster) -> None:
        await large_domain(cluster)
        assert len(followers(cluster)) == INSTANCES - 2
        await asyncio.sleep(3.0)
        cluster.store.calls.clear()
        for _ in range(5):
            await check_changes_arrive(cluster, 2.5)
        watches = cluster.store.calls.count("GET /kv-watch")
        # Two watchers, each with at most one watch in a second of changes.
        assert watches <= 2 * 2 * 5
        assert cluster.store.calls.count("GET /kv-range") <= 2 * 13

    run_scenario(scenario)


def test_tight_bounds_have_every_instance_watch_the_store() -> None:
    async def scenario(cluster: Cluster) -> None:
        await large_domain(cluster, **{"bounds.drainTimeoutMs": "3000"})
        assert followers(cluster) == []

    run_scenario(scenario)


def test_changes_arrive_in_time_whatever_happens_to_the_sources() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await large_domain(cluster)
        names = {source_of(item) for item in followers(cluster)}
        sources = [item for item in gateways if item.name in names]
        for source in sources:
            # Silent towards its followers, who must turn to the store.
            for other in gateways:
                if other is not source:
                    cluster.loop.net.partitioned_pairs.add(
                        frozenset((other.host, source.host))
                    )
        await check_changes_arrive(cluster, BOUND_SECONDS - 1.5)
        cluster.loop.net.partitioned_pairs.clear()
        await asyncio.sleep(8.0)
        # A watch that waits is not cut short; the next change ends it.
        await check_changes_arrive(cluster, BOUND_SECONDS - 1.5)
        assert len(followers(cluster)) == INSTANCES - 2
        for source in sources:
            # It answers, but has not heard from the store.
            cluster.loop.net.partitioned_pairs.add(
                frozenset((source.host, cluster.store.host))
            )
        await asyncio.sleep(4.0)
        replica = cluster.add_replica(CALL_SERVICE)
        await asyncio.sleep(BOUND_SECONDS - 1.5)
        for gateway in gateways:
            if gateway not in sources:
                assert replica.replica in gateway.gateway._state.replicas.names
        cluster.loop.net.partitioned_pairs.clear()
        await asyncio.sleep(8.0)
        for source in sources:
            source.kill(cluster)
            del cluster.gateways[source.name]
        await check_changes_arrive(cluster, BOUND_SECONDS - 1.5)

    run_scenario(scenario)


def test_follower_serves_on_while_the_store_and_its_source_are_away() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await large_domain(cluster)
        cluster.store.fault = fault_always(StoreFault.UNRESPONSIVE)
        await asyncio.sleep(4.0)
        for gateway in gateways:
            answer = await cluster.send_request(gateway, READ_PATH)
            assert answer is not None and answer.status == 200
        cluster.store.fault = fault_always(StoreFault.NONE)
        await check_changes_arrive(cluster, 4.0)

    run_scenario(scenario)


def test_lost_history_of_the_source_is_read_anew() -> None:
    async def scenario(cluster: Cluster) -> None:
        await large_domain(cluster)
        cluster.store.compact()
        cluster.configure(*cluster.routes)
        cluster.store.compact()
        await asyncio.sleep(BOUND_SECONDS - 1.5)
        assert versions(cluster) == {cluster.version}

    run_scenario(scenario)


def test_follower_that_is_ahead_or_behind_reads_nothing_anew() -> None:
    async def scenario(cluster: Cluster) -> None:
        await large_domain(cluster)
        await asyncio.sleep(3.0)
        follower = followers(cluster)[0]
        source = cluster.gateways[source_of(follower)]
        log = source.gateway._change_log
        cluster.store.calls.clear()
        # The source has started anew later than the follower.
        log.reset(log.revision)
        log._oldest_revision = log.revision = log.revision + 1
        await check_changes_arrive(cluster, BOUND_SECONDS - 1.5)
        # The follower has read the store later than the source.
        log.revision = log._oldest_revision = 0
        await asyncio.sleep(3.0)
        await check_changes_arrive(cluster, BOUND_SECONDS - 1.5)
        assert cluster.store.calls.count("GET /kv-range") <= 40
        assert not follower.log_lines("store_history_lost")

    run_scenario(scenario)


def test_instances_that_start_together_read_the_store_once_each() -> None:
    async def scenario(cluster: Cluster) -> None:
        await large_domain(cluster)
        assert not any(
            item.log_lines("store_history_lost") for item in cluster.gateways.values()
        )

    run_scenario(scenario)


def test_stopping_source_is_left_and_does_not_wait_for_followers() -> None:
    async def scenario(cluster: Cluster) -> None:
        await large_domain(cluster)
        source = cluster.gateways[source_of(followers(cluster)[0])]
        source.stop()
        await check_changes_arrive(cluster, BOUND_SECONDS - 1.5)
        assert await source.task == 0

    run_scenario(scenario)


def test_malformed_question_is_refused() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateways = await large_domain(cluster)
        for target, status in (("/changes?after=x", 400), ("/changes?after=1", 410)):
            caller = await cluster.connect(gateways[0], port=PEER_PORT)
            caller.send(encode_request(target, remaining_ms=None))
            answer = await caller.responses.get()
            assert answer is not None and answer.status == status

    run_scenario(scenario)


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


def test_changes_survive_the_way_to_a_peer() -> None:
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
    # Routes compare by identity, so their parts are compared.
    assert repr(decoded) == repr(change)


@HYPOTHESIS_SETTINGS
@given(data=st.one_of(st.binary(max_size=80), st.text(max_size=80).map(str.encode)))
def test_answers_that_are_none_are_refused(data: bytes) -> None:
    try:
        decode_feed_response(data)
    except MalformedFeedResponse:
        pass


def test_log_returns_what_followed_a_revision() -> None:
    log = ChangeLog()
    log.reset(10)
    log.append(12, CHANGES[:1])
    log.append(15, CHANGES[1:2])
    assert log.encoded_changes_after(9) is None
    # A peer may be ahead: it has read the store later.
    assert log.encoded_changes_after(16) == b"[]"
    assert log.encoded_changes_after(10) == encode_changes(CHANGES[:2])
    assert log.encoded_changes_after(11) == encode_changes(CHANGES[:2])
    assert log.encoded_changes_after(12) == encode_changes(CHANGES[1:2])
    assert log.encoded_changes_after(15) == b"[]"
    for number in range(MAX_BATCHES):
        log.append(20 + number, CHANGES[:1])
    assert log.encoded_changes_after(14) is None
    assert log.encoded_changes_after(15) is not None


def test_small_domains_watch_the_store_themselves() -> None:
    small = {f"g-{n}": 1.0 for n in range(4)}
    assert choose_feed_sources("g-0", domain="z", members=small) == frozenset()
    large = {f"g-{n}": 1.0 for n in range(16)}
    counts = [
        len(choose_feed_sources(name, domain="z", members=large)) for name in large
    ]
    assert sorted(counts) == [0, 0] + [2] * 14
