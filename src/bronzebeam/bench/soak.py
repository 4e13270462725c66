"""Soak test: random faults under load in separate processes, then history checks."""

import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Final

import anyio
import httpx
import orjson
from attrs import define, field

from bronzebeam.bench.checker import check_history
from bronzebeam.bench.history import History
from bronzebeam.bench.rig import EntryProcess, RigSpec, running_rig
from bronzebeam.bench.soak_backend_faults import (
    announce_draining,
    change_shard_count,
    crash_servers,
    freeze_servers,
    hang_open_connections,
    mark_leaving_in_instance_list,
    replace_index_version,
    slow_servers,
    swap_request_ids,
    truncate_replies,
)
from bronzebeam.bench.soak_entry_faults import (
    kill_entry,
    pause_entry,
    replace_entries,
    shut_down_entry,
)
from bronzebeam.bench.soak_figures import compute_soak_figures
from bronzebeam.bench.soak_load import SoakLoad
from bronzebeam.bench.soak_operators import accept_changed_document, poll_revisions
from bronzebeam.bench.soak_state import (
    DRAIN_LAG_MS,
    ENTRY_COUNT,
    SoakState,
    soak_document,
)
from bronzebeam.bench.soak_store_faults import (
    accept_from_two_operators,
    drop_write_replies,
    hang_watches,
    restore_older_snapshot,
    store_outage,
)
from bronzebeam.findings import Finding
from bronzebeam.invariants import STRICT_VARIABLE

FAULT_INTERVAL_SECONDS: Final = (0.3, 1.5)
RECOVERY_SECONDS: Final = 8.0
CHECK_INTERVAL_SECONDS: Final = 30.0
PROCESS_CHECK_INTERVAL_SECONDS: Final = 1.0
LOG_TAIL_CHARACTERS: Final = 2_000
MAX_PRINTED_EVENTS: Final = 100
METRICS_TIMEOUT_SECONDS: Final = 2.0
VIOLATIONS_METRIC: Final = "bronzebeam_invariant_violations_count"

Echo = Callable[[str], None]
Fault = Callable[[SoakState], Coroutine[Any, Any, None]]

FAULTS: Final[tuple[Fault, ...]] = (
    accept_changed_document,
    crash_servers,
    announce_draining,
    freeze_servers,
    kill_entry,
    mark_leaving_in_instance_list,
    drop_write_replies,
    accept_from_two_operators,
    pause_entry,
    change_shard_count,
    replace_entries,
    hang_open_connections,
    hang_watches,
    slow_servers,
    shut_down_entry,
    restore_older_snapshot,
    store_outage,
    swap_request_ids,
    replace_index_version,
    truncate_replies,
)


def generate_fault_schedule(
    rng: random.Random, seconds: float
) -> Iterator[tuple[float, Fault]]:
    """
    Yield pairs of a pause and the fault after it; each round has every fault once.

    :param seconds: upper limit of the sum of all pauses.
    """
    elapsed = 0.0
    while True:
        for fault in rng.sample(FAULTS, len(FAULTS)):
            pause = rng.uniform(*FAULT_INTERVAL_SECONDS)
            elapsed += pause
            if elapsed > seconds:
                return
            yield pause, fault


async def run_soak(*, seed: int, minutes: float, echo: Echo) -> int:
    """Run the fault schedule of `seed` and return the number of violations."""
    spec = RigSpec(
        document=soak_document(),
        entry_count=ENTRY_COUNT,
        drain_lag_ms=DRAIN_LAG_MS,
        environment={STRICT_VARIABLE: "1"},
    )
    async with running_rig(spec) as rig:
        state = SoakState(rig=rig, rng=random.Random(f"{seed}/faults"))
        run = SoakRun(state=state, seed=seed, duration_seconds=minutes * 60, echo=echo)
        return await run.run()


@define(kw_only=True, eq=False)
class SoakRun:
    """One soak run on a rig whose processes are ready."""

    state: SoakState
    seed: int
    duration_seconds: float
    echo: Echo
    _reported_rules: set[str] = field(factory=set, init=False)
    _violating_entries: set[str] = field(factory=set, init=False)
    _violation_counts: Counter[str] = field(factory=Counter, init=False)

    async def run(self) -> int:
        """Inject faults under load, check, print figures; return the violations."""
        self._print(event="soak_started", seed=self.seed, seconds=self.duration_seconds)
        load = SoakLoad(state=self.state, rng=random.Random(f"{self.seed}/load"))
        async with anyio.create_task_group() as watchers:
            watchers.start_soon(poll_revisions, self.state)
            watchers.start_soon(self._monitor_processes)
            watchers.start_soon(self._check_periodically)
            async with anyio.create_task_group() as group:
                group.start_soon(load.run)
                await self._run_faults()
                await anyio.sleep(RECOVERY_SECONDS)
                load.stop_requested.set()
            watchers.cancel_scope.cancel()
        history = await self._check()
        self._print_figures(history)
        return self._violation_counts.total()

    async def _run_faults(self) -> None:
        rng = random.Random(f"{self.seed}/schedule")
        async with anyio.create_task_group() as group:
            for pause, fault in generate_fault_schedule(rng, self.duration_seconds):
                await anyio.sleep(pause)
                group.start_soon(fault, self.state)

    async def _monitor_processes(self) -> None:
        while True:
            for entry in list(self.state.rig.entries):
                if entry.process.is_running:
                    await self._record_invariant_violations(entry)
                    continue
                if entry.name in self.state.expected_exits:
                    continue
                self.state.expected_exits.add(entry.name)
                self.state.remove_from_balancer(entry)
                tail = entry.process.log_path.read_text()[-LOG_TAIL_CHARACTERS:]
                place = f"/entries/{entry.name}"
                message = f"exited unexpectedly with {entry.process.exit_code}: {tail}"
                self.state.process_findings.append(
                    Finding(place=place, message=message)
                )
            await anyio.sleep(PROCESS_CHECK_INTERVAL_SECONDS)

    async def _check_periodically(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            await self._check()

    async def _check(self) -> History:
        """Apply all rules to the history so far and print the first finding of each."""
        history = await self.state.build_history()
        findings = check_history(history)
        findings["process"] = list(self.state.process_findings)
        self._violation_counts = Counter(
            {name: len(found) for name, found in findings.items()}
        )
        for name, found in findings.items():
            if found and name not in self._reported_rules:
                self._reported_rules.add(name)
                first = found[0]
                self._print(
                    violation=name,
                    place=first.place,
                    rows=first.message,
                    events=self.state.events[-MAX_PRINTED_EVENTS:],
                )
        return history

    async def _record_invariant_violations(self, entry: EntryProcess) -> None:
        """Record, once per entry, that its metrics report invariant violations."""
        url = f"http://{entry.peer_address}/metrics"
        try:
            reply = await self.state.rig.client.get(
                url, timeout=METRICS_TIMEOUT_SECONDS
            )
        except httpx.HTTPError:
            return
        for line in reply.text.splitlines():
            violated = line.startswith(VIOLATIONS_METRIC) and float(line.split()[-1])
            if violated and entry.name not in self._violating_entries:
                self._violating_entries.add(entry.name)
                place = f"/entries/{entry.name}"
                self.state.process_findings.append(Finding(place=place, message=line))

    def _print_figures(self, history: History) -> None:
        figures: dict[str, int] = dict(sorted(self.state.counts.items()))
        figures |= compute_soak_figures(history)
        for name, count in self._violation_counts.items():
            figures[f"violations_{name}"] = count
        for name, value in figures.items():
            self._print(figure=name, value=value, unit="count")
        total = self._violation_counts.total()
        self._print(event="soak_ended", seed=self.seed, violations=total)

    def _print(self, **fields: Any) -> None:
        self.echo(orjson.dumps(fields).decode())
