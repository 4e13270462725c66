"""A short tour: searches, a booking sent twice, a promotion, a planned stop."""

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
    """Something did not go as promised."""


async def run_demo(echo: Echo) -> int:
    """Run the tour and return the exit code."""
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


def _require(holds: bool, message: str) -> None:
    if not holds:
        raise DemoFailed(message)


async def _demo_search(rig: Rig, caller: Caller, echo: Echo) -> None:
    answer = await _search_once(caller)
    echo(f"search: {_describe(answer)}")
    _require(answer.is_complete, "the search is not complete")
    await rig.set_faults("guest-search-00-r0", crash=True)
    await rig.set_faults("guest-search-00-r1", crash=True)
    await anyio.sleep(0.2)
    answer = await _search_once(caller)
    echo(f"search with every replica of shard 0 killed: {_describe(answer)}")
    missing = answer.body.get("coverage", {}).get("missing", [])
    _require(
        answer.outcome == "partial" and [item["shard"] for item in missing] == [0],
        "the answer does not state its coverage",
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
        echo(f"and again, when told to come back: {_describe(second)}")
    _require(first.outcome == "answered", "the booking was not answered")
    _require(second.outcome == "answered", "the resend was not answered")
    _require(second.body["result"] == first.body["result"], "the resend differs")


async def _demo_document_change(rig: Rig, document: dict[str, Any], echo: Echo) -> None:
    changed = {**document, "caller_limit": {"rate_per_second": 500, "burst": 500}}
    revision = await accept_document(
        store_url=rig.store_url, document=document_from_json(changed)
    )
    started = anyio.current_time()
    with anyio.move_on_after(ACTIVATION_TIMEOUT_SECONDS) as scope:
        for entry in rig.entries:
            await rig.wait_for_revision(entry, revision)
    _require(not scope.cancelled_caught, f"revision {revision} is not in force")
    elapsed_ms = (anyio.current_time() - started) * 1000
    echo(f"document revision {revision} in force on all entries in {elapsed_ms:.0f} ms")


async def _demo_graceful_shutdown(rig: Rig, caller: Caller, echo: Echo) -> None:
    leaving = rig.entries[0].process
    leaving.send_signal(signal.SIGTERM)
    with anyio.move_on_after(SHUTDOWN_TIMEOUT_SECONDS):
        while leaving.is_running:
            await anyio.sleep(0.05)
    echo(f"planned stop of {leaving.name}: exit code {leaving.exit_code}")
    _require(leaving.exit_code == 0, "the planned stop cut off requests")
    del rig.entries[0]
    answer = await _search_once(caller)
    echo(f"search through the other entry: {_describe(answer)}")
    _require(answer.status == 200, "the other entry does not answer")


def _describe(answer: CallerResponse) -> str:
    coverage = answer.body.get("coverage")
    text = f"{answer.outcome} in {answer.latency_ms:.0f} ms"
    if coverage is not None:
        text += (
            f", index version {coverage['index_version']}, "
            f"{len(coverage['included'])} of {coverage['shard_count']} shards"
        )
    if answer.body.get("reason"):
        text += f", reason {answer.body['reason']}"
    return text
