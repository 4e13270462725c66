"""A gateway process with lowered limits, measured while a crowd uses it."""

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import httpx
from attrs import asdict, define, field

from tests.crowd_process import MAX_PROCESS_SECONDS, Crowd
from tests.fixtures_gateway import HOST, READ_PATH
from tests.test_gateway_process import (
    LOOPBACK,
    GatewayPlace,
    RealGateway,
    do_nothing,
    run_with_gateway,
)

MEGABYTE = 1024 * 1024
MEMORY_LIMIT_MB = 80
DESCRIPTOR_LIMIT = 900
FILE_DESCRIPTORS = 200  # of the limit, for files only
HEADER_MAX_BYTES = 16_384
BODY_MAX_BYTES = 262_144
ANSWER_TIMEOUT_SECONDS = 20.0
SAMPLE_SECONDS = 0.02
LISTEN_STATE = "0A"
REPLICA_SLOTS = 64
ROOT = Path(__file__).parent.parent

ATTEMPT = "X-Bronzebeam-Attempt-Id: crowd\r\n"
HEAD = f"POST {READ_PATH}x HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}"
GET_HEAD = f"GET {READ_PATH}x HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}"
CHUNKED_HEAD = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"
NO_ROUTE_REQUEST = "GET /n HTTP/1.1\r\nHost:a\r\n\r\n"


@define(kw_only=True, eq=False)
class Measurement:
    """
    What a process used while it was sampled.

    :ivar memory_bytes: greatest sum of its peak memory and of the bytes that were
        received for it and not yet read.
    :ivar unread_bytes: greatest count of these bytes.
    :ivar descriptor_count: most open descriptors.
    """

    gateway: RealGateway
    memory_bytes: int = 0
    unread_bytes: int = 0
    descriptor_count: int = 0
    _ports: frozenset[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        gateway = self.gateway
        self._ports = frozenset(gateway.place.ports.values())

    async def sample_repeatedly(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self) -> None:
        folder = Path(f"/proc/{self.gateway.process.pid}")
        try:
            status = (folder / "status").read_text()
            descriptor_count = len(os.listdir(folder / "fd"))
        except OSError:
            return  # it has ended, which is checked elsewhere
        peak_bytes = sum(
            int(line.split()[1]) * 1024
            for line in status.splitlines()
            if line.startswith("VmHWM:")
        )
        unread_bytes = self._count_unread_bytes()
        self.unread_bytes = max(self.unread_bytes, unread_bytes)
        self.memory_bytes = max(self.memory_bytes, peak_bytes + unread_bytes)
        self.descriptor_count = max(self.descriptor_count, descriptor_count)

    def _count_unread_bytes(self) -> int:
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            local, state, queues = fields[1], fields[3], fields[4]
            if state != LISTEN_STATE and int(local[-4:], 16) in self._ports:
                total += int(queues.partition(":")[2], 16)
        return total


@define(kw_only=True, eq=False)
class CrowdProcess:
    """The running process of a crowd."""

    process: asyncio.subprocess.Process

    async def read_summary(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        async with asyncio.timeout(MAX_PROCESS_SECONDS):
            line = await self.process.stdout.readline()
        assert line, "the crowd's process failed"
        summary: dict[str, Any] = json.loads(line)
        return summary

    async def release(self) -> dict[str, Any]:
        """Close the connections, and return the summary at the end."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        summary = await self.read_summary()
        await self.process.wait()
        return summary


async def start_crowd(crowds: Sequence[Crowd]) -> CrowdProcess:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.crowd_process",
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdin is not None
    text = json.dumps([asdict(crowd) for crowd in crowds])
    process.stdin.write(f"{text}\n".encode())
    return CrowdProcess(process=process)


async def find_ordinary_fault(gateway: RealGateway) -> str:
    """
    Send one ordinary request; return what is wrong with its answer, or nothing.

    A refusal that says when to come back is followed, as ordinary callers do.
    """
    headers = {
        "Host": HOST,
        "X-Bronzebeam-Attempt-Id": "ordinary",
        "X-Bronzebeam-Deadline-Remaining-Ms": "5000",
    }
    url = f"{gateway.caller_url}{READ_PATH}y"
    try:
        async with (
            asyncio.timeout(ANSWER_TIMEOUT_SECONDS),
            httpx.AsyncClient(timeout=ANSWER_TIMEOUT_SECONDS) as client,
        ):
            response = await client.get(url, headers=headers)
            while response.status_code == 503 and "retry-after" in response.headers:
                await asyncio.sleep(float(response.headers["retry-after"]))
                response = await client.get(url, headers=headers)
    except (httpx.HTTPError, TimeoutError) as error:
        return f"an ordinary request got no answer: {error!r}"
    if response.status_code != 200:
        return f"an ordinary request got {response.status_code}: {response.text!r}"
    return ""


def find_faults(
    gateway: RealGateway, measured: Measurement, descriptor_limit: int
) -> list[str]:
    """Return which limits the process has exceeded, and whether it has ended."""
    faults = []
    if gateway.process.returncode is not None:
        faults.append(f"the process ended with code {gateway.process.returncode}")
    if measured.memory_bytes > MEMORY_LIMIT_MB * MEGABYTE:
        faults.append(
            f"memory {measured.memory_bytes / MEGABYTE:.0f} MB, of it unread "
            f"{measured.unread_bytes / MEGABYTE:.0f}, limit {MEMORY_LIMIT_MB}"
        )
    if measured.descriptor_count > descriptor_limit - FILE_DESCRIPTORS:
        faults.append(
            f"{measured.descriptor_count} descriptors, "
            f"limit {descriptor_limit} - {FILE_DESCRIPTORS}"
        )
    return faults


def report(name: str, measured: Measurement, *details: Any) -> None:
    """Write what was measured, if the variable CROWD_FIGURES names a file."""
    path = os.environ.get("CROWD_FIGURES")
    if path:
        with open(path, "a") as file:
            file.write(
                f"{name} memory_mb={measured.memory_bytes / MEGABYTE:.1f} "
                f"unread_mb={measured.unread_bytes / MEGABYTE:.1f} "
                f"descriptors={measured.descriptor_count} {details}\n"
            )


def run_lowered(
    use: Callable[[RealGateway, Measurement], Awaitable[list[str]]],
    *,
    name: str,
    descriptor_limit: int = DESCRIPTOR_LIMIT,
    header_timeout_ms: int = 10_000,
    idle_timeout_ms: int = 10_000,
    during_start: Callable[[RealGateway], Awaitable[None]] = do_nothing,
) -> None:
    """
    Run a gateway with lowered limits, and check what it used.

    :param use: returns what was wrong beside the limits.
    """

    def lower_limits(place: GatewayPlace) -> None:
        place.text += f"limits.memoryMb={MEMORY_LIMIT_MB}\n"
        place.text += f"limits.fdLimit={descriptor_limit}\n"
        place.settings.write_text(place.text)

    async def measure(gateway: RealGateway) -> None:
        measured = Measurement(gateway=gateway)
        sampling = asyncio.ensure_future(measured.sample_repeatedly())
        try:
            faults = await use(gateway, measured)
        finally:
            sampling.cancel()
        measured.sample()
        faults += find_faults(gateway, measured, descriptor_limit)
        report(name, measured, faults)
        assert not faults, "; ".join(faults)

    run_with_gateway(
        measure,
        during_start=during_start,
        before_start=lower_limits,
        stdout=asyncio.subprocess.DEVNULL,  # a full pipe would delay the end
        configuration={
            "limits": {
                "maxHeaderBytes": HEADER_MAX_BYTES,
                "maxBodyBytes": BODY_MAX_BYTES,
                "headerTimeoutMs": header_timeout_ms,
                "idleTimeoutMs": idle_timeout_ms,
            }
        },
    )


def check_crowd(
    name: str,
    *,
    port: str = "callers",
    answers_meanwhile: bool = False,
    work_seconds: float = 0.0,
    answer_bytes: int = 0,
    others: Sequence[tuple[str, dict[str, Any]]] = (),
    must_end: bool = False,
    hold_seconds: float = 0.0,
    descriptor_limit: int = DESCRIPTOR_LIMIT,
    header_timeout_ms: int = 10_000,
    idle_timeout_ms: int = 10_000,
    **crowd: Any,
) -> None:
    """
    Check that a crowd neither ends nor fills a gateway, nor stops its answers.

    :param name: of the test, for its figures.
    :param port: to which the crowd connects.
    :param answers_meanwhile: whether an ordinary request is also sent while the
        crowd's connections are open.
    :param work_seconds: for which the replica works on each request of the crowd.
    :param answer_bytes: of the replica's answers to the crowd; 0 for small ones.
    :param others: ports and crowds that play at the same time.
    :param hold_seconds: for which the connections stay open after all is sent.
    :param must_end: whether each connection of the crowd must have been closed.
    """

    async def use_wide_replica(gateway: RealGateway) -> None:
        gateway.replica.slots = REPLICA_SLOTS
        gateway.store.put("servers/i-1", gateway.replica.store_record())

    async def use(gateway: RealGateway, measured: Measurement) -> list[str]:
        faults = []
        replica = gateway.replica
        ports = gateway.place.ports
        normal_work_seconds = replica.work_seconds
        replica.work_seconds = work_seconds or normal_work_seconds
        replica.records = [b"x" * answer_bytes] if answer_bytes else []
        crowds = [Crowd(port=ports[port], **crowd)]
        crowds += [Crowd(port=ports[other], **fields) for other, fields in others]
        process = await start_crowd(crowds)
        try:
            summary = await process.read_summary()
            await asyncio.sleep(hold_seconds)
            replica.work_seconds, replica.records = normal_work_seconds, []
            if answers_meanwhile:
                if fault := await find_ordinary_fault(gateway):
                    faults.append(f"beside open connections, {fault}")
            if must_end and summary["open"]:
                faults.append(f"{summary['open']} connections are still open")
            last = await process.release()
        finally:
            if process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            while replica._running_count:
                await asyncio.sleep(SAMPLE_SECONDS)
        if fault := await find_ordinary_fault(gateway):
            faults.append(f"afterwards, {fault}")
        report(name, measured, summary, last)
        return faults

    run_lowered(
        use,
        name=name,
        descriptor_limit=descriptor_limit,
        header_timeout_ms=header_timeout_ms,
        idle_timeout_ms=idle_timeout_ms,
        during_start=use_wide_replica,
    )


def chunk(size: int) -> str:
    """Return a chunk of a chunked body."""
    return f"{size:x}\r\n{'x' * size}\r\n"


def whole_repetitions(text: str, limit_bytes: int) -> int:
    """Return the greatest multiple of the length of `text` up to `limit_bytes`."""
    return limit_bytes // len(text) * len(text)


async def send_alone(gateway: RealGateway, data: bytes) -> tuple[int, bytes]:
    """Send one request on a connection of its own; return the answer's first line."""
    reader, writer = await asyncio.open_connection(
        LOOPBACK, gateway.place.ports["callers"]
    )
    try:
        writer.write(data)
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            line = await reader.readline()
    except (OSError, TimeoutError):
        line = b""
    finally:
        writer.close()
    words = line.split()
    return (int(words[1]) if len(words) > 1 else 0), line
