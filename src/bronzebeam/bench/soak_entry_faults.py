"""Faults of entries in a soak run: kill, pause, graceful shutdown, replacement."""

import signal
from typing import Final

import anyio

from bronzebeam.bench.history import ShutdownRow
from bronzebeam.bench.rig import EntryProcess
from bronzebeam.bench.soak_state import SoakState

BALANCER_DELAY_SECONDS: Final = 0.2
INSTANCE_LIST_DELAY_SECONDS: Final = 1.0
PAUSE_DURATION_SECONDS: Final = (0.5, 5.0)
SHUTDOWN_TIMEOUT_SECONDS: Final = 10.0
EXIT_POLL_INTERVAL_SECONDS: Final = 0.02


async def kill_entry(state: SoakState) -> None:
    """
    Kill an entry and start another.

    The killed entry leaves the load balancer and the instance list only after a delay.
    """
    entry = await state.acquire_entry()
    state.expected_exits.add(entry.name)
    entry.process.kill()
    state.increment("fault_kill_entry")
    state.record_event(f"killed {entry.name}")
    await anyio.sleep(BALANCER_DELAY_SECONDS)
    state.remove_from_balancer(entry)
    await anyio.sleep(INSTANCE_LIST_DELAY_SECONDS)
    await state.remove_entry(entry)
    await state.add_entry()


async def pause_entry(state: SoakState) -> None:
    """Suspend the process of an entry with SIGSTOP for some seconds."""
    entry = await state.acquire_entry()
    started = anyio.current_time()
    entry.process.send_signal(signal.SIGSTOP)
    state.increment("fault_pause_entry")
    state.record_event(f"paused {entry.name}")
    await anyio.sleep(state.rng.uniform(*PAUSE_DURATION_SECONDS))
    entry.process.send_signal(signal.SIGCONT)
    state.record_disturbance(started, entry.name)
    state.acquired_names.discard(entry.name)


async def shut_down_entry(state: SoakState) -> None:
    """Shut down an entry gracefully under load, then start another one."""
    entry = await state.acquire_entry()
    await _shut_down_gracefully(state, entry)
    await state.add_entry()


async def replace_entries(state: SoakState) -> None:
    """Replace the entries one by one; each new one is ready before an old one stops."""
    await state.acquire("replacement")
    state.increment("fault_rolling_replacement")
    for entry in list(state.balanced_entries):
        if entry.name in state.acquired_names:
            continue
        state.acquired_names.add(entry.name)
        await state.add_entry()
        await _shut_down_gracefully(state, entry)
    state.acquired_names.discard("replacement")


async def _shut_down_gracefully(state: SoakState, entry: EntryProcess) -> None:
    state.increment("fault_planned_stop")
    state.expected_exits.add(entry.name)
    signalled_at = anyio.current_time()
    entry.process.send_signal(signal.SIGTERM)
    async with anyio.create_task_group() as group:
        group.start_soon(_remove_after_delay, state, entry)
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_SECONDS):
            while entry.process.is_running:
                await anyio.sleep(EXIT_POLL_INTERVAL_SECONDS)
    row = ShutdownRow(
        entry=entry.name,
        signalled_seconds=signalled_at,
        ended_seconds=anyio.current_time(),
        exit_code=entry.process.exit_code,
    )
    state.shutdowns.append(row)
    entry.process.kill()
    await state.remove_entry(entry)


async def _remove_after_delay(state: SoakState, entry: EntryProcess) -> None:
    await anyio.sleep(BALANCER_DELAY_SECONDS)
    state.remove_from_balancer(entry)
    await state.rig.register_entry(entry, "leaving")
