"""Tests of replicas that say that they leave or want a pause, in virtual time."""

import asyncio

from tests.fixtures_gateway import (
    BOOKING_PATH,
    BOOKING_SERVICE,
    FAN_OUT_PATH,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    RunningGateway,
    encode_request,
    replicas_of_service,
    run_scenario,
    start_search_cluster,
    start_small_cluster,
)
from tests.standin_replica import StandinReplica

DRAIN_BOUND_SECONDS = 3.0
# The platform's bound: more than two requests later than this after the rejection.
PAUSE_NOTICE_SECONDS = 0.5
MAX_REQUESTS_DURING_PAUSE = 2


async def send_steadily(
    cluster: Cluster, gateway: RunningGateway, path: str, *, seconds: float
) -> list[int]:
    """Send 50 requests a second without waiting for their answers; return statuses."""
    tasks = []
    for _ in range(int(seconds * 50)):
        tasks.append(
            asyncio.create_task(cluster.send_request(gateway, path, remaining_ms=2_000))
        )
        await asyncio.sleep(0.02)
    responses = await asyncio.gather(*tasks)
    return [0 if item is None else item.status for item in responses]


def leave(replica: StandinReplica) -> None:
    replica.leaving = True


def test_replica_that_says_it_leaves_gets_no_new_requests() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        leaving, other = replicas_of_service(cluster, BOOKING_SERVICE)
        leave(leaving)
        other.work_seconds = 0.02
        statuses = await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        assert set(statuses) == {200}
        assert gateway.log_lines("replica_leaving")
        before = len(leaving.received_ids)
        statuses = await send_steadily(cluster, gateway, READ_PATH, seconds=5.0)
        assert set(statuses) == {200}
        assert len(leaving.received_ids) == before

    run_scenario(scenario)


def test_leaving_is_learnt_from_failures_and_rejections_too() -> None:
    for pause, address_reused in (("", False), ("0.01", False), ("", True)):

        async def scenario(cluster: Cluster) -> None:
            gateway = await start_small_cluster(cluster)
            leaving, other = replicas_of_service(cluster, BOOKING_SERVICE)
            other.work_seconds = 0.02
            leave(leaving)
            leaving.pause = pause
            if address_reused:
                # The address belongs to another replica now, which answers 421.
                leaving.replica = "i-next"
                leaving.stop()
                leaving.listen()
            await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
            before = len(leaving.received_ids)
            assert before
            await send_steadily(cluster, gateway, READ_PATH, seconds=4.0)
            assert len(leaving.received_ids) == before

        run_scenario(scenario)


def test_replica_that_leaves_without_the_store_is_not_used_after_a_while() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica in cluster.replicas.values():
            leave(replica)
        cluster.loop.net.partitioned_pairs.add(
            frozenset((gateway.host, cluster.store.host))
        )
        await send_steadily(cluster, gateway, READ_PATH, seconds=0.5)
        await asyncio.sleep(DRAIN_BOUND_SECONDS)
        before = [len(item.received_ids) for item in cluster.replicas.values()]
        statuses = await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        assert set(statuses) == {503}
        after = [len(item.received_ids) for item in cluster.replicas.values()]
        assert after == before

    run_scenario(scenario)


def test_new_process_under_the_same_identifier_is_used() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        leaving, other = replicas_of_service(cluster, BOOKING_SERVICE)
        leave(leaving)
        await send_steadily(cluster, gateway, READ_PATH, seconds=0.5)
        # The registration of the same process changes nothing.
        cluster.register(leaving, version="v2")
        await asyncio.sleep(SETTLE_SECONDS)
        before = len(leaving.received_ids)
        await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        assert len(leaving.received_ids) == before
        cluster.unregister(leaving)
        await asyncio.sleep(SETTLE_SECONDS)
        cluster.register(leaving)
        await asyncio.sleep(SETTLE_SECONDS)
        await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        assert len(leaving.received_ids) == before
        leaving.leaving = False
        leaving.started_at_ms += 60_000
        leaving.sequence = 0
        cluster.register(leaving)
        cluster.register(other, state="draining")
        await asyncio.sleep(SETTLE_SECONDS)
        statuses = await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        assert set(statuses) == {200}
        assert len(leaving.received_ids) > before

    run_scenario(scenario)


def test_waiting_requests_move_to_another_replica() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        leaving, other = replicas_of_service(cluster, BOOKING_SERVICE)
        for replica in (leaving, other):
            replica.work_seconds = 0.1
        pool = gateway.gateway._state.replicas._replicas[leaving.replica].pool
        pool.max_connections = 1
        tasks = [
            asyncio.create_task(
                cluster.send_request(gateway, READ_PATH, remaining_ms=2_000)
            )
            for _ in range(8)
        ]
        leave(leaving)
        responses = await asyncio.gather(*tasks)
        assert all(item is not None and item.status == 200 for item in responses)
        assert len(leaving.received_ids) <= 2

    run_scenario(scenario)


def test_leaving_replica_of_each_shard_is_left_out_of_a_search() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        leaving = replicas_of_service(cluster, "shard-1")[0]
        leave(leaving)
        for _ in range(10):
            answer = await cluster.send_request(gateway, FAN_OUT_PATH)
            assert answer is not None and answer.missing == 0
        before = len(leaving.received_ids)
        for _ in range(10):
            answer = await cluster.send_request(gateway, FAN_OUT_PATH)
            assert answer is not None and answer.missing == 0
        assert len(leaving.received_ids) == before

    run_scenario(scenario)


def test_replica_gets_nothing_during_the_pause_that_it_asked_for() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        paused, other = replicas_of_service(cluster, BOOKING_SERVICE)
        other.work_seconds = 0.02
        paused.pause = "2.5"
        while not paused.received_ids:
            await send_steadily(cluster, gateway, READ_PATH, seconds=0.1)
        await send_steadily(
            cluster, gateway, READ_PATH, seconds=PAUSE_NOTICE_SECONDS - 0.1
        )
        before = len(paused.received_ids)
        statuses = await send_steadily(cluster, gateway, READ_PATH, seconds=1.8)
        assert set(statuses) == {200}
        assert len(paused.received_ids) <= before + MAX_REQUESTS_DURING_PAUSE
        paused.pause = ""
        await asyncio.sleep(1.0)
        other.work_seconds = 0.5
        await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        assert len(paused.runs) > 0

    run_scenario(scenario)


def test_request_is_refused_at_once_while_all_replicas_are_paused() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica, pause in zip(cluster.replicas.values(), ("4", "1.5")):
            replica.pause = pause
        refused = await cluster.send_request(gateway, READ_PATH, remaining_ms=2_500)
        assert refused is not None and refused.status == 503
        received = [len(item.received_ids) for item in cluster.replicas.values()]
        for path, method in ((READ_PATH, "GET"), (BOOKING_PATH, "POST")):
            refused = await cluster.send_request(
                gateway, path, method=method, remaining_ms=2_500
            )
            assert refused is not None and refused.status == 503
            assert refused.elapsed_seconds < 0.05
            assert 1.3 < float(refused.headers["retry-after"]) <= 1.5
        assert received == [
            len(item.received_ids) for item in cluster.replicas.values()
        ]
        assert "cause=replicas_paused" in gateway.log_lines("request_ended")[-1]
        for replica in cluster.replicas.values():
            replica.pause = ""
        await asyncio.sleep(float(refused.headers["retry-after"]))
        answer = await cluster.send_request(gateway, READ_PATH)
        assert answer is not None and answer.status == 200

    run_scenario(scenario)


def test_search_without_enough_shards_is_refused_before_anything_is_sent() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_search_cluster(cluster)
        pauses = {"shard-0": ("3", "5"), "shard-1": ("9", "1.2"), "shard-2": ("7", "8")}
        for service, values in pauses.items():
            for replica, value in zip(replicas_of_service(cluster, service), values):
                replica.pause = value
        await cluster.send_request(gateway, FAN_OUT_PATH)
        await cluster.send_request(gateway, FAN_OUT_PATH)
        received = [len(item.received_ids) for item in cluster.replicas.values()]
        refused = await cluster.send_request(gateway, FAN_OUT_PATH)
        assert refused is not None and refused.status == 503
        assert received == [
            len(item.received_ids) for item in cluster.replicas.values()
        ]
        # Three of four shards are needed, so the two shortest pauses have to end.
        assert 2.5 < float(refused.headers["retry-after"]) <= 3.0
        line = gateway.log_lines("request_ended")[-1]
        assert "shard-1:replicas_paused" in line

    run_scenario(scenario)


def test_pause_that_can_not_be_read_is_logged_and_bounded() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        for replica, pause in zip(cluster.replicas.values(), ("soon", "-4")):
            replica.pause = pause
        await cluster.send_request(gateway, READ_PATH)
        problems = " ".join(gateway.log_lines("replica_paused"))
        assert "problem=not_a_number" in problems or "problem=negative" in problems
        for replica in cluster.replicas.values():
            replica.pause = ""
        await asyncio.sleep(1.2)
        answer = await cluster.send_request(gateway, READ_PATH)
        assert answer is not None and answer.status == 200

    run_scenario(scenario)


def test_pause_of_one_connection_holds_for_requests_queued_on_another() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        cluster.unregister(cluster.replicas["i-2"])
        await asyncio.sleep(SETTLE_SECONDS)
        paused = cluster.replicas["i-1"]
        paused.work_seconds = 0.7
        callers = []
        for number in range(12):
            caller = await cluster.connect(gateway)
            caller.send(
                encode_request(
                    READ_PATH, attempt_id=f"q-{number}", remaining_ms=2_500.0
                )
            )
            callers.append(caller)
        await asyncio.sleep(0.1)
        paused.pause = "2"
        await cluster.send_request(gateway, READ_PATH, remaining_ms=300)
        await asyncio.sleep(PAUSE_NOTICE_SECONDS + 0.7)
        before = len(paused.received_ids)
        await asyncio.sleep(0.9)
        assert len(paused.received_ids) <= before + MAX_REQUESTS_DURING_PAUSE
        for caller in callers:
            assert not caller.responses.empty()

    run_scenario(scenario)


def test_requests_to_a_limited_replica_are_counted_by_kind() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        limited, other = replicas_of_service(cluster, BOOKING_SERVICE)
        limited.limit = "1000"
        other.work_seconds = 0.02
        await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        limited.limit = ""
        await send_steadily(cluster, gateway, READ_PATH, seconds=1.0)
        (line,) = gateway.log_lines("replica_limited")
        assert f" replica={limited.replica} " in line and " per_second=1000.0 " in line
        (line,) = gateway.log_lines("replica_limit_ended")
        received = len(limited.received_ids)
        fields = dict(item.split("=", 1) for item in line.split())
        sent_count = int(fields["first_attempt"]) + int(fields["repeat"])
        assert 0 < sent_count < received and fields["for_peer"] == "0"
        text = gateway.gateway.metrics.registry.render(now_seconds=0.0)
        counter = 'bronzebeam_gateway_limited_sends_total{kind="first_attempt"}'
        assert f"{counter} {fields['first_attempt']}\n" in text

    run_scenario(scenario)
