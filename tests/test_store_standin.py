"""Tests of the platform's stand-ins and their clients, over the loopback interface."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx

from bronzebeam.standins import instances, store
from bronzebeam.transport.instance_list import (
    HttpInstanceList,
    InstanceListUnavailable,
    InstanceState,
)
from bronzebeam.transport.store import (
    Conflict,
    StoredValue,
    StoreUnavailable,
    Written,
)
from bronzebeam.transport.store_http import HttpStore
from tests.fixtures_documents import expect_failure
from tests.fixtures_serving import Serve, running_servers


def run_with_standin(serve: Serve, check: Callable[[str], Awaitable[None]]) -> None:
    """Run `check` on the URL of a stand-in, with a timeout."""

    async def main(url: str) -> None:
        with anyio.fail_after(20):
            await check(url)

    with running_servers() as start:
        anyio.run(main, "http://" + start(serve))


async def post(url: str, path: str, **body: Any) -> None:
    async with httpx.AsyncClient(base_url=url) as client:
        (await client.post(path, json=body)).raise_for_status()


def test_compare_and_swap_checks_the_revision() -> None:
    async def check(url: str) -> None:
        async with HttpStore(base_url=url) as client:
            key = "a/b c%"
            assert await client.get(key) is None
            first = await client.compare_and_swap(key=key, value=1, expected=0)
            assert first == Written(mod_revision=1)
            again = await client.compare_and_swap(key=key, value=2, expected=0)
            stored = StoredValue(key=key, value=1, mod_revision=1)
            assert again == Conflict(current=stored)
            assert await client.list_prefix("a/") == (stored,)

    run_with_standin(store.serve, check)


def test_watch_returns_on_change_and_times_out_without_reply() -> None:
    async def check(url: str) -> None:
        async with HttpStore(base_url=url, watch_margin_seconds=0.2) as client:
            seen: list[StoredValue | None] = []

            async def watch() -> None:
                seen.append(await client.watch(key="k", after=0, wait_seconds=10))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                while (await fetch_call_counts(url))["watch"] == 0:
                    await anyio.sleep(0.01)
                await client.compare_and_swap(key="k", value=1, expected=0)
            assert seen == [StoredValue(key="k", value=1, mod_revision=1)]
            assert await client.watch(key="k", after=1, wait_seconds=0.05) is None
            await post(url, "/faults", silent_watches=True)
            unanswered_watch = client.watch(key="k", after=0, wait_seconds=0.05)
            await expect_failure(unanswered_watch, StoreUnavailable)
            assert await client.get("k") is not None

    run_with_standin(store.serve, check)


def test_write_with_lost_reply_is_applied_and_reported_unavailable() -> None:
    async def check(url: str) -> None:
        async with HttpStore(base_url=url) as client:
            await post(url, "/faults", drop_write_replies=1)
            write = client.compare_and_swap(key="k", value=1, expected=0)
            await expect_failure(write, StoreUnavailable)
            stored = await client.get("k")
            assert stored is not None and stored.value == 1

    run_with_standin(store.serve, check)


def test_refused_or_unanswered_write_is_unavailable_and_not_applied() -> None:
    async def check(url: str) -> None:
        async with HttpStore(base_url=url, call_timeout_seconds=0.2) as client:
            for fault in ("refuse_all", "answer_nothing"):
                await post(url, "/faults", **{fault: True})
                write = client.compare_and_swap(key="k", value=1, expected=0)
                await expect_failure(write, StoreUnavailable)
                await post(url, "/faults", **{fault: False})
                assert await client.get("k") is None
            await post(url, "/faults", delay_ms=400)
            await expect_failure(client.get("k"), StoreUnavailable)

    run_with_standin(store.serve, check)


def test_expired_lease_deletes_its_keys() -> None:
    async def check(url: str) -> None:
        async with HttpStore(base_url=url) as client:
            lease_id = await client.grant_lease(ttl_seconds=0.3)
            await client.compare_and_swap(
                key="k", value=1, expected=0, lease_id=lease_id
            )
            assert await client.keep_lease(lease_id=lease_id)
            while await client.get("k") is not None:
                await anyio.sleep(0.05)
            assert not await client.keep_lease(lease_id=lease_id)
            late = client.compare_and_swap(
                key="k", value=2, expected=0, lease_id=lease_id
            )
            await expect_failure(late, StoreUnavailable)

    run_with_standin(store.serve, check)


def test_snapshot_restore_returns_old_value_and_revision() -> None:
    async def check(url: str) -> None:
        async with HttpStore(base_url=url) as client:
            await client.compare_and_swap(key="k", value="old", expected=0)
            await post(url, "/snapshot/take")
            await client.compare_and_swap(key="k", value="new", expected=1)
            await post(url, "/snapshot/restore")
            stored = await client.get("k")
            assert stored == StoredValue(key="k", value="old", mod_revision=1)

    run_with_standin(store.serve, check)


def test_instance_list_faults_lag_and_refuse() -> None:
    async def check(url: str) -> None:
        async with httpx.AsyncClient(base_url=url) as client:
            for state in ("live", "leaving"):
                body = {
                    "role": "entry",
                    "service": None,
                    "address": "127.0.0.1:9001",
                    "peer_address": "127.0.0.1:9101",
                    "failure_domain": "west-1",
                    "state": state,
                }
                await client.put("/instances/entry-1", json=body)
        async with HttpInstanceList(base_url=url) as listing:
            (listed,) = await listing.fetch()
            assert listed.instance == "entry-1"
            assert listed.state is InstanceState.LEAVING
            await post(url, "/faults", lag_ms=60_000)
            assert await listing.fetch() == ()
            await post(url, "/faults", refuse=True)
            await expect_failure(listing.fetch(), InstanceListUnavailable)

    run_with_standin(instances.serve, check)


async def fetch_call_counts(url: str) -> dict[str, int]:
    async with httpx.AsyncClient(base_url=url) as client:
        counted: dict[str, int] = (await client.get("/calls")).json()["calls"]
        return counted
