"""Tests of gateways whose replicas state their load, in virtual time."""

import asyncio
from unittest import mock

from bronzebeam.gateway.load_codec import LOAD_HEADER
from tests.fixtures_gateway import (
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    PEER_PORT,
    READ_PATH,
    Cluster,
    Response,
    RunningGateway,
    encode_request,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import StandinReplica
from tests.test_gateway_peers import start_two_domains

LONG_QUEUE = "2,9,2,100"
EMPTY_QUEUE = "0,0,2,100"


async def read_in_turn(
    cluster: Cluster, gateway: RunningGateway, count: int, pause_seconds: float = 0.01
) -> None:
    for _ in range(count):
        answer = await cluster.send_request(gateway, READ_PATH)
        assert answer is not None and answer.status == 200
        await asyncio.sleep(pause_seconds)


def state_loads(cluster: Cluster, *loads: str) -> list[StandinReplica]:
    """Let the replicas of the small cluster state these loads."""
    replicas = replicas_of_service(cluster, BOOKING_SERVICE)
    for replica, load in zip(replicas, loads):
        replica.states_load, replica.load = True, load
    return replicas


def test_requests_go_to_the_replica_with_the_shorter_queue() -> None:
    """Guards against queueing behind requests that other instances have sent."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        busy, idle = state_loads(cluster, LONG_QUEUE, EMPTY_QUEUE)
        await read_in_turn(cluster, gateway, 4)
        before = len(busy.received_ids)
        await read_in_turn(cluster, gateway, 40, pause_seconds=0.0)
        # It is tried again when its reading has faded.
        assert len(busy.received_ids) - before <= 10
        assert len(idle.received_ids) >= 30

    run_scenario(scenario)


def test_old_reading_does_not_keep_requests_from_a_replica() -> None:
    """Guards against a replica that is avoided for good after one busy moment."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        replicas = state_loads(cluster, LONG_QUEUE, EMPTY_QUEUE)
        await read_in_turn(cluster, gateway, 6)
        replicas[0].load = EMPTY_QUEUE
        before = [len(item.received_ids) for item in replicas]
        await read_in_turn(cluster, gateway, 30, pause_seconds=0.25)
        for replica, count in zip(replicas, before):
            assert len(replica.received_ids) - count >= 6

    run_scenario(scenario)


def test_load_that_can_not_be_read_is_logged_once_and_ignored() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        replicas = state_loads(cluster, "busy", "1,2")
        await read_in_turn(cluster, gateway, 20)
        lines = gateway.log_lines("replica_load_unreadable")
        assert len(lines) == 2 and any(" value=busy " in line for line in lines)
        assert all(len(item.received_ids) >= 4 for item in replicas)

    run_scenario(scenario)


def test_reading_of_an_earlier_process_is_not_used() -> None:
    """Guards against the queue of a crashed process under the same identifier."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        busy, _ = state_loads(cluster, LONG_QUEUE, EMPTY_QUEUE)
        await read_in_turn(cluster, gateway, 6)
        replicas = gateway.gateway._state.replicas
        old = replicas.find(busy.replica, started_at_ms=busy.started_at_ms)
        assert old is not None and old.reading is not None
        busy.started_at_ms += 1_000
        cluster.register(busy)
        await asyncio.sleep(0.1)
        new = replicas.find(busy.replica, started_at_ms=busy.started_at_ms)
        assert new is not None and new.reading is None

    run_scenario(scenario)


async def time_until_hedge_ms(
    cluster: Cluster, gateway: RunningGateway, path: str, load: bytes
) -> float:
    """
    Send a request that its replica does not answer; return when the other gets it.

    :param load: load that the replica states to another request after 3 ms.
    """
    for replica in cluster.replicas.values():
        replica.work_seconds = 0.3
    sent_at = cluster.loop.time()
    caller = await cluster.connect(gateway)
    caller.send(encode_request(path, attempt_id="slow"))
    await asyncio.sleep(0.003)
    for standin in cluster.replicas.values():
        if "slow" in standin.received_ids and load:
            replicas = gateway.gateway._state.replicas
            known = replicas.find(standin.replica, started_at_ms=standin.started_at_ms)
            assert known is not None
            known.record_load(load, cluster.loop.time())
    await asyncio.sleep(0.2)
    received_at = sorted(
        at_seconds
        for standin in cluster.replicas.values()
        for name, at_seconds in zip(standin.received_ids, standin.received_at_seconds)
        if name == "slow"
    )
    return (received_at[-1] - sent_at) * 1_000.0


def test_hedge_is_sent_early_if_the_replica_states_a_long_queue() -> None:
    """Guards against waiting for a reply that the replica itself says will be late."""

    async def scenario(
        cluster: Cluster, is_search: bool, load: bytes, first_load: str
    ) -> float:
        if is_search:
            gateway = await start_search_cluster(cluster, shards=1)
        else:
            gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            replica.states_load, replica.load = True, first_load
        path = FAN_OUT_PATH if is_search else READ_PATH
        for _ in range(4):
            await cluster.send_request(gateway, path)
        return await time_until_hedge_ms(cluster, gateway, path, load)

    for is_search in (False, True):
        late_ms, slow_ms, idle_ms, unknown_ms, busy_ms = (
            run_scenario(lambda cluster: scenario(cluster, is_search, load, first_load))
            for load, first_load in (
                (b"2,30,2,100", EMPTY_QUEUE),
                (b"2,8,2,400", EMPTY_QUEUE),
                (b"1,0,2,100", EMPTY_QUEUE),
                (b"", EMPTY_QUEUE),
                # The other replica has no free slot either.
                (b"2,90,2,100", "2,0,2,100"),
            )
        )
        assert late_ms < 0.7 * idle_ms and slow_ms < 0.7 * idle_ms
        assert idle_ms == unknown_ms and busy_ms > 0.9 * idle_ms


def test_early_hedges_stay_within_the_repeat_budget() -> None:
    """Guards against a storm of hedges while all replicas are busy."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(
            cluster,
            gateway_settings={
                "bounds.retryBudgetRatio": "0",
                "bounds.retryBudgetSlack": "0",
            },
        )
        for replica in cluster.replicas.values():
            replica.states_load = True
        await read_in_turn(cluster, gateway, 4)
        await time_until_hedge_ms(cluster, gateway, READ_PATH, b"2,30,2,100")
        assert cluster.run_count("slow") == 1

    run_scenario(scenario)


async def post_delegation(cluster: Cluster, gateway: RunningGateway) -> Response:
    """Send a delegation of the first shard to a gateway, as a peer does."""
    order = {"bb-gather": '["r-find",["shard-0"],5,2,90,50,90,false]'}
    caller = await cluster.connect(gateway, port=PEER_PORT)
    caller.send(encode_request(FAN_OUT_PATH, attempt_id="d-1", headers=order))
    response = await caller.responses.get()
    assert response is not None and response.status == 200
    return response


def test_reply_to_a_delegation_names_loads_only_if_replicas_state_them() -> None:
    """Guards against more traffic where no replica states its load."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        response = await post_delegation(cluster, gateway)
        name = LOAD_HEADER.decode()
        assert name not in response.headers
        for replica in cluster.replicas.values():
            replica.states_load, replica.load = True, "1,3,2,140"
        response = await post_delegation(cluster, gateway)
        value = response.headers[name]
        assert value.count("[") == 2 and value.endswith(",1,3,2,140]]")

    run_scenario(scenario)


def test_delegating_instance_learns_the_loads_that_a_peer_gathers() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway, _ = await start_two_domains(cluster)
        for replica in cluster.replicas.values():
            replica.states_load, replica.load = True, "2,5,2,100"
        answer = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert answer is not None and answer.status == 200
        replicas = gateway.gateway._state.replicas
        known = 0
        for standin in cluster.replicas.values():
            found = replicas.find(standin.replica, started_at_ms=standin.started_at_ms)
            assert found is not None
            if found.reading is not None:
                known += 1
                assert found.reading.waiting == 5
                assert found.reading.at_seconds <= cluster.loop.time()
        assert known >= 4

    run_scenario(scenario)


def test_unreadable_loads_of_a_peer_do_not_harm_the_search() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway, peer = await start_two_domains(cluster)
        responder_headers = "bronzebeam.gateway.fan_out_responder.encode_readings"
        for replica in cluster.replicas.values():
            replica.states_load = True
        await cluster.send_request(gateway, FAN_OUT_PATH)
        await cluster.send_request(peer, FAN_OUT_PATH)
        with mock.patch(responder_headers, return_value=b'[["i-1"]]'):
            answer = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert answer is not None and answer.status == 200 and answer.missing == 0
        assert gateway.log_lines("peer_readings_unreadable")

    run_scenario(scenario)
