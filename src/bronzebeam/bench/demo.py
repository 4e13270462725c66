"""Demo: searches, a resent booking, a document change and a graceful shutdown."""

import random
import signal
import time
from collections.abc import Callable
from importlib.resources import files
from typing import Any, Final

import anyio
import orjson

from bronzebeam.bench.load import Caller, CallerResponse, new_idempotency_key
from bronzebeam.bench.rig import Rig, RigSpec, running_rig
from bronzebeam.bench.seeding import accept_document
from bronzebeam.documents.loading import document_from_json

DOCUMENT_FILE: Final = "demo_document.json"
SEARCH_PATH: Final = "/v1/services/guest-search/search"
BOOK_PATH: Final = "/v1/services/attendee-self-service/calls/register"
DEADLINE_MS: Final = 2_000
ACTIVATION_TIMEOUT_SECONDS: Final = 2.0
SHUTDOWN_TIMEOUT_SECONDS: Final = 10.0

Echo = Callable[[str], None]


class DemoFailed(Exception):
    """A step of the demo did not have the expected result."""


async def run_demo(echo: Echo) -> int:
    """Run the demo and return the exit code."""
    document = orjson.loads(
        files("bronzebeam.bench").joinpath(DOCUMENT_FILE).read_bytes()
    )
    echo("Starting stand-ins of the platform and two entries on loopback ports ...")
    try:
        async with running_rig(RigSpec(document=document)) as rig:
            caller = Caller(
                addresses=lambda: [entry.caller_address for entry in rig.entries]
            )
            await _demo_search(rig, caller, echo)
            await _demo_booking_resend(caller, echo)
            await _demo_document_change(rig, document, echo)
            await _demo_graceful_shutdown(rig, caller, echo)
    except DemoFailed as error:
        echo(f"FAILED: {error}")
        return 1
    echo("Done.")
    return 0


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise DemoFailed(message)


async def _demo_search(rig: Rig, caller: Caller, echo: Echo) -> None:
    response = await _search_once(caller)
    echo(f"search: {_describe(response)}")
    _require(response.is_complete, "the search result is incomplete")
    await rig.set_faults("guest-search-00-r0", crash=True)
    await rig.set_faults("guest-search-00-r1", crash=True)
    await anyio.sleep(0.2)
    response = await _search_once(caller)
    echo(f"search with every replica of shard 0 killed: {_describe(response)}")
    missing = response.body.get("coverage", {}).get("missing", [])
    _require(
        response.outcome == "partial" and [item["shard"] for item in missing] == [0],
        "the response does not report the missing shard",
    )


async def _search_once(caller: Caller) -> CallerResponse:
    return await caller.post(SEARCH_PATH, {"text": "ng"}, deadline_ms=DEADLINE_MS)


async def _demo_booking_resend(caller: Caller, echo: Echo) -> None:
    key = new_idempotency_key(now_ms=time.time_ns() // 1_000_000, rng=random.Random())
    payload = {"guest": "A. Guest", "event": "opening"}
    first = await caller.post(BOOK_PATH, payload, deadline_ms=DEADLINE_MS, key=key)
    second = await caller.post(BOOK_PATH, payload, deadline_ms=DEADLINE_MS, key=key)
    echo(f"booking: {_describe(first)}")
    echo(f"the same booking sent again: {_describe(second)}")
    if second.outcome == "outcome_unknown":
        await anyio.sleep(second.body["retry_after_ms"] / 1000)
        second = await caller.post(BOOK_PATH, payload, deadline_ms=DEADLINE_MS, key=key)
        echo(f"sent again after the retry delay: {_describe(second)}")
    _require(first.outcome == "answered", "the booking was not answered")
    _require(second.outcome == "answered", "the resend was not answered")
    _require(
        second.body["result"] == first.body["result"],
        "the resend has a different result",
    )


async def _demo_document_change(rig: Rig, document: dict[str, Any], echo: Echo) -> None:
    changed = {**document, "caller_limit": {"rate_per_second": 500, "burst": 500}}
    revision = await accept_document(
        store_url=rig.store_url, document=document_from_json(changed)
    )
    started = anyio.current_time()
    with anyio.move_on_after(ACTIVATION_TIMEOUT_SECONDS) as scope:
        for entry in rig.entries:
            await rig.wait_for_revision(entry, revision)
    _require(not scope.cancelled_caught, f"revision {revision} is not active")
    elapsed_ms = (anyio.current_time() - started) * 1000
    echo(f"document revision {revision} active on all entries in {elapsed_ms:.0f} ms")


async def _demo_graceful_shutdown(rig: Rig, caller: Caller, echo: Echo) -> None:
    process = rig.entries[0].process
    process.send_signal(signal.SIGTERM)
    with anyio.move_on_after(SHUTDOWN_TIMEOUT_SECONDS):
        while process.is_running:
            await anyio.sleep(0.05)
    echo(f"graceful shutdown of {process.name}: exit code {process.exit_code}")
    _require(process.exit_code == 0, "the graceful shutdown interrupted requests")
    del rig.entries[0]
    response = await _search_once(caller)
    echo(f"search through the other entry: {_describe(response)}")
    _require(response.status == 200, "the other entry did not return status 200")


def _describe(response: CallerResponse) -> str:
    coverage = response.body.get("coverage")
    text = f"{response.outcome} in {response.latency_ms:.0f} ms"
    if coverage is not None:
        text += (
            f", index version {coverage['index_version']}, "
            f"{len(coverage['included'])} of {coverage['shard_count']} shards"
        )
    if response.body.get("reason"):
        text += f", reason {response.body['reason']}"
    return text
