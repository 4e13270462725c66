"""State of a soak run: its rig, who gets callers' requests, and the rows so far."""

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
    """Build the document of a soak run; `number` makes its content differ."""
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
    What the tasks of a soak run share.

    :ivar balanced: entries that the balancer sends callers' requests to.
    :ivar busy: names of entries and backend servers that a fault has taken.
    :ivar ended: names of entry processes that the run itself ended.
    :ivar odd: findings that no history shows, as an entry that ended by itself.
    :ivar events: what the run did, each with its time.
    :ivar counts: figures that are counted as the run goes on.
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
        """Add to a counted figure, and note when."""
        self.counts[name] = self.counts.get(name, 0) + by
        self.record_event(name)

    def record_event(self, event: str) -> None:
        """Note an event of the run, to explain a finding."""
        self.events.append(f"{anyio.current_time():.3f} {event}")

    def highest_revision(self) -> int:
        """Return the highest revision accepted or seen in force."""
        accepted = (row.revision for row in self.acceptances)
        in_force = (row.revision for row in self.revisions)
        return max([*accepted, *in_force], default=0)

    async def acquire(self, name: str) -> None:
        """Take what only one fault may hold, once it is free."""
        while name in self.acquired_names:
            await anyio.sleep(ACQUIRE_INTERVAL_SECONDS)
        self.acquired_names.add(name)

    async def acquire_entry(self) -> EntryProcess:
        """Take an entry that no fault has, once enough others serve."""
        while True:
            free = [
                item
                for item in self.balanced_entries
                if item.name not in self.acquired_names
            ]
            if len(free) > MIN_SERVING_ENTRIES:
                entry = self.rng.choice(free)
                self.acquired_names.add(entry.name)
                return entry
            await anyio.sleep(ACQUIRE_INTERVAL_SECONDS)

    def choose_available_servers(self, count: int) -> list[str]:
        """Pick up to `count` backend servers that no fault has taken."""
        free = sorted(set(self.rig.control_urls) - self.acquired_names)
        calls = [name for name in free if name.startswith(CALL_SERVICE)]
        if calls and self.rng.random() < CALL_SERVER_SHARE:
            free = calls
        return self.rng.sample(free, min(count, len(free)))

    def remove_from_balancer(self, entry: EntryProcess) -> None:
        """Send no more callers' requests to an entry."""
        if entry in self.balanced_entries:
            self.balanced_entries.remove(entry)

    async def add_entry(self) -> EntryProcess:
        """Start an entry and let it serve once it is ready."""
        entry = await self.rig.start_entry()
        await self.rig.wait_until_ready(entry)
        self.balanced_entries.append(entry)
        self.record_event(f"ready {entry.name}")
        return entry

    async def remove_entry(self, entry: EntryProcess) -> None:
        """Drop an entry whose process has ended."""
        self.rig.entries.remove(entry)
        await self.rig.deregister_instance(entry.name)

    async def build_history(self) -> History:
        """Return all rows up to now, the backend servers' last."""
        callers = tuple(self.requests)
        revisions = tuple(self.revisions)
        reports = await self.rig.fetch_backend_reports()
        return History(
            requests=callers,
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
        """Note a disturbance from `from_seconds` until now."""
        row = DisturbanceRow(
            from_seconds=from_seconds,
            until_seconds=anyio.current_time(),
            entry=entry,
        )
        self.disturbances.append(row)
