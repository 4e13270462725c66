"""Shared state of a soak run: its rig, the load balancer and the history so far."""

import random
from typing import Any, Final

import anyio
from attrs import define, field

from bronzebeam.bench.documents import CALL_SERVICE, rig_document
from bronzebeam.bench.history import (
    AcceptanceRow,
    DisturbanceRow,
    History,
    IndexRow,
    LeavingRow,
    RequestRow,
    RevisionRow,
    ShutdownRow,
    run_rows,
)
from bronzebeam.bench.rig import EntryProcess, Rig
from bronzebeam.findings import Finding

SHARD_COUNT: Final = 6
ENTRY_COUNT: Final = 4
MIN_SERVING_ENTRIES: Final = 2
CALL_SERVER_SHARE: Final = 0.4
ACQUIRE_INTERVAL_SECONDS: Final = 0.1
DRAIN_LAG_MS: Final = 600
NON_IDEMPOTENT: Final = frozenset({"register"})


def soak_document(number: int = 0) -> dict[str, Any]:
    """Build the document of a soak run; each `number` gives different content."""
    document = rig_document(
        shard_count=SHARD_COUNT,
        entry_count=ENTRY_COUNT,
        overlapping_count=2 * ENTRY_COUNT,
    )
    document["caller_limit"]["burst"] += number
    return document


@define(kw_only=True, eq=False)
class SoakState:
    """
    State shared by the tasks of a soak run.

    :ivar balanced_entries: entries that the simulated load balancer sends requests to.
    :ivar acquired_names: instances and other resources that a running fault uses, so
        that no other fault may.
    :ivar expected_exits: names of entries whose exit is no finding, because the run
        ended them or has already reported their exit.
    :ivar process_findings: findings that are not in the history, for example an entry
        that exited unexpectedly.
    :ivar events: actions of the run with their times.
    :ivar counts: counters that are updated during the run.
    """

    rig: Rig
    rng: random.Random
    balanced_entries: list[EntryProcess] = field(factory=list)
    acquired_names: set[str] = field(factory=set)
    expected_exits: set[str] = field(factory=set)
    process_findings: list[Finding] = field(factory=list)
    events: list[str] = field(factory=list)
    counts: dict[str, int] = field(factory=dict)
    index: IndexRow = IndexRow(index_version=1, shard_count=SHARD_COUNT)
    requests: list[RequestRow] = field(factory=list)
    indexes: list[IndexRow] = field(factory=list)
    leaving_periods: list[LeavingRow] = field(factory=list)
    shutdowns: list[ShutdownRow] = field(factory=list)
    revisions: list[RevisionRow] = field(factory=list)
    acceptances: list[AcceptanceRow] = field(factory=list)
    disturbances: list[DisturbanceRow] = field(factory=list)
    document_number: int = 0

    def __attrs_post_init__(self) -> None:
        self.balanced_entries = list(self.rig.entries)
        self.indexes.append(self.index)

    def increment(self, name: str, by: int = 1) -> None:
        """Increment a counter and record an event of the same name."""
        self.counts[name] = self.counts.get(name, 0) + by
        self.record_event(name)

    def record_event(self, event: str) -> None:
        """Record an event, which is printed with findings to help explain them."""
        self.events.append(f"{anyio.current_time():.3f} {event}")

    def highest_revision(self) -> int:
        """Return the highest revision accepted or reported as active."""
        accepted = (row.revision for row in self.acceptances)
        in_force = (row.revision for row in self.revisions)
        return max([*accepted, *in_force], default=0)

    async def acquire(self, name: str) -> None:
        """Wait until no other fault uses the resource `name`, then reserve it."""
        while name in self.acquired_names:
            await anyio.sleep(ACQUIRE_INTERVAL_SECONDS)
        self.acquired_names.add(name)

    async def acquire_entry(self) -> EntryProcess:
        """Reserve an unused entry, once enough others remain to serve requests."""
        while True:
            available = [
                item
                for item in self.balanced_entries
                if item.name not in self.acquired_names
            ]
            if len(available) > MIN_SERVING_ENTRIES:
                entry = self.rng.choice(available)
                self.acquired_names.add(entry.name)
                return entry
            await anyio.sleep(ACQUIRE_INTERVAL_SECONDS)

    def choose_available_servers(self, count: int) -> list[str]:
        """Choose up to `count` backend servers that no fault uses."""
        available = sorted(set(self.rig.controls) - self.acquired_names)
        call_servers = [name for name in available if name.startswith(CALL_SERVICE)]
        if call_servers and self.rng.random() < CALL_SERVER_SHARE:
            available = call_servers
        return self.rng.sample(available, min(count, len(available)))

    def remove_from_balancer(self, entry: EntryProcess) -> None:
        """Stop sending requests of callers to an entry."""
        if entry in self.balanced_entries:
            self.balanced_entries.remove(entry)

    async def add_entry(self) -> EntryProcess:
        """Start an entry and add it to the load balancer once it is ready."""
        entry = await self.rig.start_entry()
        await self.rig.wait_until_ready(entry)
        self.balanced_entries.append(entry)
        self.record_event(f"ready {entry.name}")
        return entry

    async def remove_entry(self, entry: EntryProcess) -> None:
        """Remove an entry whose process has exited."""
        self.rig.entries.remove(entry)
        await self.rig.deregister_instance(entry.name)

    async def build_history(self) -> History:
        """
        Return the history so far.

        Reports of the backend servers are fetched after the requests and revisions are
        copied, so that they include the runs of every request in the history.
        """
        requests = tuple(self.requests)
        revisions = tuple(self.revisions)
        reports = await self.rig.fetch_backend_reports()
        return History(
            requests=requests,
            runs=tuple(run_rows(reports)),
            indexes=tuple(self.indexes),
            leaving_periods=tuple(self.leaving_periods),
            shutdowns=tuple(self.shutdowns),
            revisions=revisions,
            acceptances=tuple(self.acceptances),
            disturbances=tuple(self.disturbances),
            non_idempotent=NON_IDEMPOTENT,
        )

    def record_disturbance(self, from_seconds: float, entry: str | None = None) -> None:
        """Record a disturbance from `from_seconds` until now."""
        row = DisturbanceRow(
            from_seconds=from_seconds,
            until_seconds=anyio.current_time(),
            entry=entry,
        )
        self.disturbances.append(row)
