"""Tests of tokens of admitted requests that no replica gets."""

import asyncio

from bronzebeam.gateway.router import Router
from tests.fixtures_gateway import (
    READ_PATH,
    Cluster,
    RunningGateway,
    encode_request,
    run_scenario,
)
from tests.test_gateway_quotas import (
    KEY_HEADER,
    LOW_TOLERANCE,
    make_account,
    send_as,
    start_quota_cluster,
    statuses,
)


async def start_without_room(cluster: Cluster) -> RunningGateway:
    """Start a gateway whose only place is taken for half a second."""
    [gateway] = await start_quota_cluster(
        cluster,
        make_account(rate=0.1, burst=2),
        make_account("free", rate=0.0),
        instances=1,
        settle_seconds=40.0,
        gateway_settings=LOW_TOLERANCE,
    )
    assert statuses([await send_as(cluster, gateway, "free")]) == [200]
    router = getattr(gateway.gateway._caller_server.handle, "__self__")  # noqa: B009
    assert isinstance(router, Router)
    group = router.competing_admission._groups["r-read"]
    group.admission.limit.limit = 1.0
    group.admission.limit._fraction = 0.9
    for replica in cluster.replicas.values():
        replica.work_seconds = 0.5
    asyncio.ensure_future(send_as(cluster, gateway, "free"))
    await asyncio.sleep(0.01)
    return gateway


async def check_two_tokens(cluster: Cluster, gateway: RunningGateway) -> None:
    await asyncio.sleep(1.0)
    for replica in cluster.replicas.values():
        replica.work_seconds = 0.001
    responses = [await send_as(cluster, gateway) for _ in range(3)]
    assert statuses(responses) == [200, 200, 429]


def test_request_refused_for_lack_of_room_gives_its_token_back() -> None:
    """Guards against quotas used up by requests that no replica gets."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_without_room(cluster)
        refused = await send_as(cluster, gateway, attempt_id="refused")
        assert statuses([refused]) == [503]
        assert cluster.run_count("refused") == 0
        await check_two_tokens(cluster, gateway)

    run_scenario(scenario)


def test_caller_that_leaves_the_queue_gives_its_token_back() -> None:
    """Guards against quotas used up by requests that no replica gets."""

    async def scenario(cluster: Cluster) -> None:
        gateway = await start_without_room(cluster)
        caller = await cluster.connect(gateway)
        caller.send(
            encode_request(
                READ_PATH, attempt_id="left", headers={KEY_HEADER: "key-shop"}
            )
        )
        await asyncio.sleep(0.005)
        caller.transport.close()
        await asyncio.sleep(0.1)
        assert cluster.run_count("left") == 0
        await check_two_tokens(cluster, gateway)

    run_scenario(scenario)
