"""Replicas that leave during a soak run: the faults, and the rule that must hold."""

import asyncio
import os
import random
from collections.abc import Iterable
from pathlib import Path
from typing import Final

from tests.soak_history import ArrivalRow, RequestRow, SoakHistory
from tests.soak_rig import SoakGateway, SoakReplica, SoakRig

# An instance counts as undisturbed after this long without a fault of its own.
STABLE_SECONDS: Final = 4.0
SERVES_ON_SECONDS: Final = (5.0, 18.0)  # after the store has accepted the news
LAPSE_SECONDS: Final = (2.0, 4.0)


def find_sender(
    gateways: Iterable[SoakGateway], port: int, server_port: int
) -> tuple[str, int] | None:
    """
    Return the process of a gateway that has opened a connection.

    :param port: local port of the connection, which others may share.
    :param server_port: port that it was opened to.
    """
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        ports = [int(item.rpartition(":")[2], 16) for item in columns[1:3]]
        if ports == [port, server_port]:
            name = f"socket:[{columns[9]}]"
            break
    else:
        return None
    for gateway in gateways:
        if gateway.process is None or not gateway.is_running:
            continue
        folder = Path(f"/proc/{gateway.process.pid}/fd")
        try:
            links = [os.readlink(path) for path in folder.iterdir()]
        except OSError:
            continue  # the process or a connection has just ended
        if name in links:
            return gateway.incarnation
    return None


async def drain_replica(rig: SoakRig, rng: random.Random) -> None:
    """Let a replica leave that goes on serving for long, and maybe replace it."""
    leaving = _choose_leaving(rig, rng)
    if leaving is None:
        return
    leaving.leaving = True  # no other drain chooses it
    index = int(leaving.service.rpartition("-")[2]) if leaving.records else None
    if rng.random() < 0.7:
        await rig.add_replica(leaving.service, domain=leaving.domain, index=index)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
    serves_on_seconds = rng.uniform(*SERVES_ON_SECONDS)
    key = f"servers/{leaving.replica}"
    is_draining = rng.random() < 0.7
    if is_draining:
        rig.store.put(key, leaving.store_record(state="draining"))
    else:
        rig.store.remove(key)
    rig.history.withdrawn[leaving.process_name] = rig.loop.time()
    if is_draining and rng.random() < 0.3:
        lapse_seconds = rng.uniform(*LAPSE_SECONDS)
        await asyncio.sleep(1.0)
        rig.store.remove(key)
        await asyncio.sleep(lapse_seconds)
        rig.store.put(key, leaving.store_record(state="draining"))
    await asyncio.sleep(serves_on_seconds)
    rig.store.remove(key)
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    rig.remove_replica(leaving)


def _choose_leaving(rig: SoakRig, rng: random.Random) -> SoakReplica | None:
    """Choose a replica of a service that has another one."""
    staying = [item for item in rig.replicas.values() if not item.leaving]
    services = [item.service for item in staying]
    spare = [item for item in staying if services.count(item.service) > 1]
    return rng.choice(sorted(spare, key=lambda item: item.replica)) if spare else None


def check_withdrawn(
    history: SoakHistory, *, excused_seconds: float = STABLE_SECONDS
) -> Iterable[str]:
    """
    Replicas get nothing after the store has said for long enough that they leave.

    :param excused_seconds: time after the start of a process in which its requests do
        not count.
    """
    rows = {row.attempt_id: row for row in history.requests}
    for arrival in history.arrivals:
        since = history.withdrawn.get(arrival.replica)
        row = rows.get(arrival.attempt_id)
        if since is None or row is None:
            continue
        late_seconds = arrival.at_seconds - since - history.drain_timeout_seconds
        if late_seconds <= 0.0 or _was_store_harmed(history, since):
            continue
        processes = {row.gateway, arrival.sender or row.gateway}
        if all(
            _is_in_touch(history, process, row, arrival, excused_seconds)
            for process in processes
        ):
            yield _describe(history, arrival, row, late_seconds)


def _was_store_harmed(history: SoakHistory, at_seconds: float) -> bool:
    return any(
        not name and start <= at_seconds and end >= at_seconds - STABLE_SECONDS
        for name, start, end in history.outages
    ) or any(
        start <= at_seconds + STABLE_SECONDS and end >= at_seconds - STABLE_SECONDS
        for start, end in history.older_copies
    )


def _is_in_touch(
    history: SoakHistory,
    process: tuple[str, int],
    row: RequestRow,
    arrival: ArrivalRow,
    excused_seconds: float,
) -> bool:
    started_at = history.starts.get(process, 0.0)
    if row.sent_at_seconds < started_at + excused_seconds:
        return False
    first, last = row.sent_at_seconds - STABLE_SECONDS, arrival.at_seconds
    if process in history.stops and history.stops[process] <= last:
        return False
    # The time before its start belongs to an earlier process.
    first = max(first, started_at)
    return not any(
        name in (process[0], "") and start <= last and end >= first
        for name, start, end in [*history.disturbed, *history.outages]
    )


def _describe(
    history: SoakHistory, arrival: ArrivalRow, row: RequestRow, late_seconds: float
) -> str:
    sender = arrival.sender or row.gateway
    age_seconds = arrival.at_seconds - history.starts.get(sender, 0.0)
    return (
        f"{row.attempt_id} reached {arrival.replica} of {arrival.service} "
        f"{late_seconds:.2f} s too late, taken by {row.gateway}, sent by "
        f"{arrival.sender}, {age_seconds:.1f} s after its start"
    )
