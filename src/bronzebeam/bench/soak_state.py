"""State of a soak run: its rig, who gets callers' requests, and the rows so far."""

import random
from typing import Any, Final

import anyio
from attrs import define, field

from bronzebeam.bench.documents import CALLS, rig_document
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

SHARDS: Final = 6
ENTRIES: Final = 4
LEAST_SERVING: Final = 2
CALLS_SHARE: Final = 0.4
TURN_SECONDS: Final = 0.1
DRAIN_LAG_MS: Final = 600
NON_IDEMPOTENT: Final = frozenset({"register"})


def soak_document(number: int = 0) -> dict[str, Any]:
    """Build the document of a soak run; `number` makes its content differ."""
    document = rig_document(
        shard_count=SHARDS, entry_count=ENTRIES, overlapping_count=2 * ENTRIES
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
    balanced: list[EntryProcess] = field(factory=list)
    busy: set[str] = field(factory=set)
    ended: set[str] = field(factory=set)
    odd: list[Finding] = field(factory=list)
    events: list[str] = field(factory=list)
    counts: dict[str, int] = field(factory=dict)
    index: IndexRow = IndexRow(index_version=1, shard_count=SHARDS)
    callers: list[RequestRow] = field(factory=list)
    indexes: list[IndexRow] = field(factory=list)
    leaving: list[LeavingRow] = field(factory=list)
    stops: list[ShutdownRow] = field(factory=list)
    revisions: list[RevisionRow] = field(factory=list)
    acceptances: list[AcceptanceRow] = field(factory=list)
    disturbances: list[DisturbanceRow] = field(factory=list)
    document_number: int = 0

    def __attrs_post_init__(self) -> None:
        self.balanced = list(self.rig.entries)
        self.indexes.append(self.index)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counted figure, and note when."""
        self.counts[name] = self.counts.get(name, 0) + by
        self.note(name)

    def note(self, event: str) -> None:
        """Note an event of the run, to explain a finding."""
        self.events.append(f"{anyio.current_time():.3f} {event}")

    def highest_revision(self) -> int:
        """Return the highest revision accepted or seen in force."""
        accepted = (row.revision for row in self.acceptances)
        in_force = (row.revision for row in self.revisions)
        return max([*accepted, *in_force], default=0)

    async def take(self, name: str) -> None:
        """Take what only one fault may hold, once it is free."""
        while name in self.busy:
            await anyio.sleep(TURN_SECONDS)
        self.busy.add(name)

    async def take_entry(self) -> EntryProcess:
        """Take an entry that no fault has, once enough others serve."""
        while True:
            free = [item for item in self.balanced if item.name not in self.busy]
            if len(free) > LEAST_SERVING:
                entry = self.rng.choice(free)
                self.busy.add(entry.name)
                return entry
            await anyio.sleep(TURN_SECONDS)

    def free_servers(self, count: int) -> list[str]:
        """Pick up to `count` backend servers that no fault has taken."""
        free = sorted(set(self.rig.control_urls) - self.busy)
        calls = [name for name in free if name.startswith(CALLS)]
        if calls and self.rng.random() < CALLS_SHARE:
            free = calls
        return self.rng.sample(free, min(count, len(free)))

    def unbalance(self, entry: EntryProcess) -> None:
        """Send no more callers' requests to an entry."""
        if entry in self.balanced:
            self.balanced.remove(entry)

    async def add_entry(self) -> EntryProcess:
        """Start an entry and let it serve once it is ready."""
        entry = await self.rig.start_entry()
        await self.rig.wait_until_ready(entry)
        self.balanced.append(entry)
        self.note(f"ready {entry.name}")
        return entry

    async def forget_entry(self, entry: EntryProcess) -> None:
        """Drop an entry whose process has ended."""
        self.rig.entries.remove(entry)
        await self.rig.deregister_instance(entry.name)

    async def history(self) -> History:
        """Return all rows up to now, the backend servers' last."""
        callers = tuple(self.callers)
        revisions = tuple(self.revisions)
        reports = await self.rig.fetch_backend_reports()
        return History(
            requests=callers,
            runs=tuple(run_rows(reports)),
            indexes=tuple(self.indexes),
            leaving_periods=tuple(self.leaving),
            shutdowns=tuple(self.stops),
            revisions=revisions,
            acceptances=tuple(self.acceptances),
            disturbances=tuple(self.disturbances),
            non_idempotent=NON_IDEMPOTENT,
        )

    def disturb(self, from_seconds: float, entry: str | None = None) -> None:
        """Note a disturbance from `from_seconds` until now."""
        row = DisturbanceRow(
            from_seconds=from_seconds,
            until_seconds=anyio.current_time(),
            entry=entry,
        )
        self.disturbances.append(row)
