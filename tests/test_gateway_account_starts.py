"""Tests of accounts when instances start or the store is old, in virtual time."""

import asyncio
from collections.abc import Callable
from typing import Any

from tests.fixtures_gateway import (
    PEER_PORT,
    READ_PATH,
    SETTLE_SECONDS,
    Cluster,
    encode_request,
    run_scenario,
    start_small_cluster,
)
from tests.standin_http import StandinRequest
from tests.standin_store import StoreFault, fault_always
from tests.test_gateway_accounts import (
    ARCHIVE,
    CONFIGURATION_BOUND_SECONDS,
    LIBRARY,
    LIBRARY_KEY,
    SECOND_KEY,
    configure_accounts,
    send,
    start_one,
    status_of,
)


def remove_key_unseen_by_stale_reads(cluster: Cluster) -> None:
    """Remove a key in a configuration that stale reads do not return yet."""
    cluster.store.stale_copy = cluster.store.copy()
    configure_accounts(cluster, LIBRARY | {"apiKeys": [SECOND_KEY]}, ARCHIVE)


def test_removed_key_stays_removed_for_a_process_that_starts_with_a_stale_read() -> (
    None
):
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        remove_key_unseen_by_stale_reads(cluster)
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
        gateway.kill(cluster)
        gateway = cluster.start_gateway("g-1")
        requests = []
        for _ in range(100):
            requests.append(
                asyncio.ensure_future(status_of(cluster, gateway, LIBRARY_KEY))
            )
            await asyncio.sleep(0.002)
        assert set(await asyncio.gather(*requests)) == {401}
        assert await status_of(cluster, gateway, SECOND_KEY) == 200

    run_scenario(scenario)


def answer_stale_reads_only(fault: StoreFault) -> Callable[[Any], StoreFault]:
    def choose(request: StandinRequest) -> StoreFault:
        is_stale = "staleOk" in request.target
        return StoreFault.NONE if is_stale else fault

    return choose


def test_keys_of_a_stale_read_are_not_used_while_nothing_confirms_them() -> None:
    # The store answers stale reads also while it turns other calls away.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        remove_key_unseen_by_stale_reads(cluster)
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
        gateway.kill(cluster)
        for fault in (StoreFault.UNRESPONSIVE, StoreFault.RATE_LIMITED):
            cluster.store.fault = answer_stale_reads_only(fault)
            gateway = cluster.start_gateway("g-1")
            for _ in range(40):
                for key in (LIBRARY_KEY, SECOND_KEY):
                    assert await status_of(cluster, gateway, key) == 503
                await asyncio.sleep(0.1)
            cluster.store.fault = fault_always(StoreFault.NONE)
            await asyncio.sleep(SETTLE_SECONDS)
            assert await status_of(cluster, gateway, LIBRARY_KEY) == 401
            assert await status_of(cluster, gateway, SECOND_KEY) == 200
            gateway.kill(cluster)

    run_scenario(scenario)


def test_process_without_accounts_starts_with_one_stale_read() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_small_cluster(cluster)
        gateway.kill(cluster)
        cluster.store.calls.clear()
        cluster.store.fault = answer_stale_reads_only(StoreFault.UNRESPONSIVE)
        gateway = cluster.start_gateway("g-1")
        assert await status_of(cluster, gateway, "") == 200
        assert cluster.store.calls.count("GET /kv-range") == 1

    run_scenario(scenario)


def test_confirmation_that_fails_is_repeated_without_reading_everything() -> None:
    # A fleet that starts together meets the store's limit on calls; a current read of
    # all records by each instance would keep it there.
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        gateway.kill(cluster)
        current_reads = []

        def choose(request: StandinRequest) -> StoreFault:
            if "/kv-range" in request.target and "staleOk" not in request.target:
                current_reads.append(request.target)
                if len(current_reads) <= 3:
                    return StoreFault.RATE_LIMITED
            elif "/kv-watch" in request.target and len(current_reads) <= 3:
                return StoreFault.RATE_LIMITED
            return StoreFault.NONE

        cluster.store.fault = choose
        gateway = cluster.start_gateway("g-1")
        await asyncio.sleep(SETTLE_SECONDS)
        assert await status_of(cluster, gateway, LIBRARY_KEY) == 200
        assert current_reads == ["/kv-range?pathPrefix=op/config"] * 4

    run_scenario(scenario)


def test_removed_key_stays_removed_when_the_store_is_an_older_copy() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        copy = cluster.store.copy()
        configure_accounts(cluster, LIBRARY | {"apiKeys": [SECOND_KEY]}, ARCHIVE)
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
        cluster.store.restore(copy)
        for _ in range(50):
            assert await status_of(cluster, gateway, LIBRARY_KEY) == 401
            assert await status_of(cluster, gateway, SECOND_KEY) == 200
            await asyncio.sleep(0.1)

    run_scenario(scenario)


async def start_and_restore_without_removal(cluster: Cluster) -> None:
    """Remove a key from a fleet, and let the store come back from an older copy."""
    for number in range(3):
        cluster.start_gateway(f"g-{number + 2}")
    await start_one(cluster)
    copy = cluster.store.copy()
    configure_accounts(cluster, LIBRARY | {"apiKeys": [SECOND_KEY]}, ARCHIVE)
    await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
    cluster.store.restore(copy)


def test_removed_key_stays_removed_for_a_process_that_starts_on_an_older_copy() -> None:
    # Only the other instances still know of the removal.
    async def scenario(cluster: Cluster) -> None:
        await start_and_restore_without_removal(cluster)
        for _ in range(4):
            gateway = cluster.gateways["g-1"]
            gateway.kill(cluster)
            gateway = cluster.start_gateway("g-1")
            for _ in range(20):
                assert await status_of(cluster, gateway, LIBRARY_KEY) == 401
                assert await status_of(cluster, gateway, SECOND_KEY) == 200
                await asyncio.sleep(0.1)
            assert gateway.log_lines("configuration_of_peer")
        configure_accounts(cluster, LIBRARY, ARCHIVE)
        configure_accounts(cluster, LIBRARY | {"apiKeys": [LIBRARY_KEY]}, ARCHIVE)
        await asyncio.sleep(CONFIGURATION_BOUND_SECONDS)
        assert await status_of(cluster, gateway, LIBRARY_KEY) == 200
        assert await status_of(cluster, gateway, SECOND_KEY) == 401

    run_scenario(scenario)


def test_start_does_not_wait_long_for_peers_that_do_not_answer() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start_and_restore_without_removal(cluster)
        gateway = cluster.gateways["g-1"]
        gateway.kill(cluster)
        for other in cluster.gateways.values():
            if other is not gateway:
                cluster.loop.net.partitioned_pairs.add(
                    frozenset((gateway.host, other.host))
                )
        gateway = cluster.start_gateway("g-1")
        response = await send(cluster, gateway, READ_PATH, key=SECOND_KEY)
        assert response.status == 200 and response.elapsed_seconds < 0.15

    run_scenario(scenario)


def test_malformed_request_for_a_configuration_is_rejected() -> None:
    async def scenario(cluster: Cluster) -> None:
        gateway = await start_one(cluster)
        for target, status in (
            ("/configuration", 400),
            ("/configuration?newer_than=x", 400),
            ("/configuration?newer_than=-1", 400),
            ("/configuration?newer_than=\u00b2", 400),
            ("/configuration?newer_than=" + "1" * 4_500, 400),
            ("/configuration?newer_than=999", 200),
        ):
            caller = await cluster.connect(gateway, port=PEER_PORT)
            data = encode_request(target, remaining_ms=None)
            caller.send(data.replace("\u00b2".encode(), b"\xb2"))
            response = await caller.responses.get()
            assert response is not None and response.status == status
            assert b"tenant" not in response.body and b"library" not in response.body

    run_scenario(scenario)
