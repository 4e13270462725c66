"""An entry process, measured while a crowd uses it."""

import resource
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, cast

import anyio
import httpx
from attrs import define

from bronzebeam.bench.documents import FIND_PATH, rig_document
from bronzebeam.bench.rig import EntryProcess, Rig, RigSpec, running_rig
from tests.crowd_process import Crowd
from tests.fixtures_crowd import (
    MEGABYTE,
    Measurement,
    report,
    start_crowd,
)

# The limit that DEVELOPERS.md sets for a process of the soak; the entry has no other.
MEMORY_LIMIT_MB = 300
DESCRIPTOR_LIMIT = 2_000
SPARE_DESCRIPTORS = 50
ANSWER_TIMEOUT_SECONDS = 20.0
BODY_MAX_BYTES = 1_048_576

HEAD = f"POST {FIND_PATH} HTTP/1.1\r\nHost: entry\r\n"
CHUNKED_HEAD = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"
NO_ROUTE_REQUEST = "GET /n HTTP/1.1\r\nHost:a\r\n\r\n"


@define(kw_only=True, eq=False)
class MeasuredEntry:
    """An entry process and what it used."""

    entry: EntryProcess
    rig: Rig
    measured: Measurement

    @property
    def ports(self) -> dict[str, int]:
        return entry_ports(self.entry)

    async def find_ordinary_fault(self) -> str:
        """Send one ordinary request; return what is wrong with its answer, if any."""
        url = f"http://{self.entry.caller_address}{FIND_PATH}"
        headers = {"bronzebeam-deadline-ms": "5000"}
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
                async with httpx.AsyncClient(timeout=ANSWER_TIMEOUT_SECONDS) as client:
                    while True:
                        reply = await client.post(url, headers=headers, json={"q": 1})
                        if reply.status_code != 503:
                            break
                        await anyio.sleep(float(reply.headers.get("retry-after", 1)))
        except (httpx.HTTPError, TimeoutError) as error:
            return f"an ordinary request got no answer: {error!r}"
        if reply.status_code != 200:
            return f"an ordinary request got {reply.status_code}: {reply.text!r}"
        return ""


def entry_ports(entry: EntryProcess) -> dict[str, int]:
    addresses = {"callers": entry.caller_address, "peers": entry.peer_address}
    return {name: int(text.rpartition(":")[2]) for name, text in addresses.items()}


def run_with_entry(
    use: Callable[[MeasuredEntry], Awaitable[list[str]]],
    *,
    name: str,
    descriptor_limit: int = DESCRIPTOR_LIMIT,
) -> None:
    """
    Run an entry, and check that it lives and what it used.

    :param use: returns what was wrong beside the limits.
    """

    async def main() -> None:
        spec = RigSpec(
            document=rig_document(shard_count=2, entry_count=1),
            entry_count=1,
            backend_process_count=1,
        )
        async with running_rig(spec) as rig:
            entry = rig.entries[0]
            resource.prlimit(
                entry.process.pid,
                resource.RLIMIT_NOFILE,
                (descriptor_limit, descriptor_limit),
            )
            measured = _measurement_of(entry)
            running = MeasuredEntry(entry=entry, rig=rig, measured=measured)
            async with anyio.create_task_group() as group:
                group.start_soon(measured.sample_repeatedly)
                faults = await use(running)
                group.cancel_scope.cancel()
            measured.sample()
            faults += _find_faults(running, descriptor_limit)
            report(name, measured, faults)
            assert not faults, "; ".join(faults)

    anyio.run(main)


def _measurement_of(entry: EntryProcess) -> Measurement:
    ports = SimpleNamespace(ports=entry_ports(entry))
    process = SimpleNamespace(pid=entry.process.pid)
    return Measurement(gateway=cast(Any, SimpleNamespace(process=process, place=ports)))


def _find_faults(running: MeasuredEntry, descriptor_limit: int) -> list[str]:
    measured = running.measured
    faults = []
    if not running.entry.process.is_running:
        faults.append(f"the process ended with {running.entry.process.exit_code}")
    if measured.memory_bytes > MEMORY_LIMIT_MB * MEGABYTE:
        faults.append(
            f"memory {measured.memory_bytes / MEGABYTE:.0f} MB, of it unread "
            f"{measured.unread_bytes / MEGABYTE:.0f}, limit {MEMORY_LIMIT_MB}"
        )
    if measured.descriptor_count > descriptor_limit - SPARE_DESCRIPTORS:
        faults.append(
            f"{measured.descriptor_count} descriptors, "
            f"limit {descriptor_limit} - {SPARE_DESCRIPTORS}"
        )
    return faults


def check_entry_crowd(
    name: str,
    *,
    port: str = "callers",
    answers_meanwhile: bool = False,
    descriptor_limit: int = DESCRIPTOR_LIMIT,
    **crowd: Any,
) -> None:
    """
    Check that a crowd neither ends nor fills an entry, nor stops its answers.

    :param name: of the test, for its figures.
    :param port: to which the crowd connects.
    :param answers_meanwhile: whether an ordinary request is also sent while the
        crowd's connections are open.
    """

    async def use(running: MeasuredEntry) -> list[str]:
        faults = []
        process = await start_crowd([Crowd(port=running.ports[port], **crowd)])
        try:
            summary = await process.read_summary()
            if answers_meanwhile:
                if fault := await running.find_ordinary_fault():
                    faults.append(f"beside open connections, {fault}")
            last = await process.release()
        finally:
            if process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
        if fault := await running.find_ordinary_fault():
            faults.append(f"afterwards, {fault}")
        report(name, running.measured, summary, last)
        return faults

    run_with_entry(use, name=name, descriptor_limit=descriptor_limit)
