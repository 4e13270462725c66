"""Faults of entries in a soak run: kills, pauses, planned stops, replacement."""

import signal
from typing import Final

import anyio

from bronzebeam.bench.history import ShutdownRow
from bronzebeam.bench.rig import EntryProcess
from bronzebeam.bench.soak_state import SoakState

BALANCER_LAG_SECONDS: Final = 0.2
LIST_LAG_SECONDS: Final = 1.0
PAUSE_SECONDS: Final = (0.5, 5.0)
STOP_BOUND_SECONDS: Final = 10.0
EXIT_POLL_SECONDS: Final = 0.02


async def kill_entry(state: SoakState) -> None:
    """Kill an entry; balancer and instance list notice late; start another."""
    entry = await state.take_entry()
    state.ended.add(entry.name)
    entry.process.kill()
    state.count("fault_kill_entry")
    state.note(f"killed {entry.name}")
    await anyio.sleep(BALANCER_LAG_SECONDS)
    state.unbalance(entry)
    await anyio.sleep(LIST_LAG_SECONDS)
    await state.forget_entry(entry)
    await state.add_entry()


async def pause_entry(state: SoakState) -> None:
    """Stop an entry's process for seconds, unknown to it."""
    entry = await state.take_entry()
    started = anyio.current_time()
    entry.process.send_signal(signal.SIGSTOP)
    state.count("fault_pause_entry")
    state.note(f"paused {entry.name}")
    await anyio.sleep(state.rng.uniform(*PAUSE_SECONDS))
    entry.process.send_signal(signal.SIGCONT)
    state.disturb(started, entry.name)
    state.busy.discard(entry.name)


async def stop_entry(state: SoakState) -> None:
    """Carry out a planned stop under load, then start another entry."""
    entry = await state.take_entry()
    await _planned_stop(state, entry)
    await state.add_entry()


async def replace_entries(state: SoakState) -> None:
    """Replace all entries, one after the other, each started before one stops."""
    await state.take("replacement")
    state.count("fault_rolling_replacement")
    for entry in list(state.balanced):
        if entry.name in state.busy:
            continue
        state.busy.add(entry.name)
        await state.add_entry()
        await _planned_stop(state, entry)
    state.busy.discard("replacement")


async def _planned_stop(state: SoakState, entry: EntryProcess) -> None:
    state.count("fault_planned_stop")
    state.ended.add(entry.name)
    signalled = anyio.current_time()
    entry.process.send_signal(signal.SIGTERM)
    async with anyio.create_task_group() as group:
        group.start_soon(_notice_stop, state, entry)
        with anyio.move_on_after(STOP_BOUND_SECONDS):
            while entry.process.is_running:
                await anyio.sleep(EXIT_POLL_SECONDS)
    row = ShutdownRow(
        entry=entry.name,
        signalled_seconds=signalled,
        ended_seconds=anyio.current_time(),
        exit_code=entry.process.exit_code,
    )
    state.stops.append(row)
    entry.process.kill()
    await state.forget_entry(entry)


async def _notice_stop(state: SoakState, entry: EntryProcess) -> None:
    await anyio.sleep(BALANCER_LAG_SECONDS)
    state.unbalance(entry)
    await state.rig.register_entry(entry, "leaving")
