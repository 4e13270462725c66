"""Faults of the configuration store in a soak run."""

from typing import Any, Final

import anyio

from bronzebeam.bench.soak_operators import accept_changed_document, accept_concurrently
from bronzebeam.bench.soak_state import SoakState

OUTAGE_DURATION_SECONDS: Final = (1.0, 8.0)
FAULT_DURATION_SECONDS: Final = (2.0, 6.0)
MAX_DROPPED_REPLIES: Final = 2


async def store_outage(state: SoakState) -> None:
    """Make the store refuse all calls, or leave them without a reply, for a while."""
    fault = state.rng.choice(["refuse_all", "answer_nothing"])
    await _acquire_store(state, "store_outage")
    started = anyio.current_time()
    await _set_faults(state, {fault: True})
    await anyio.sleep(state.rng.uniform(*OUTAGE_DURATION_SECONDS))
    await _set_faults(state, {fault: False})
    state.record_disturbance(started)
    state.acquired_names.discard("store")


async def hang_watches(state: SoakState) -> None:
    """Leave watches without a reply while a document is accepted."""
    await _acquire_store(state, "silent_watches")
    await _set_faults(state, {"silent_watches": True})
    await accept_changed_document(state)
    await anyio.sleep(state.rng.uniform(*FAULT_DURATION_SECONDS))
    await _set_faults(state, {"silent_watches": False})
    state.acquired_names.discard("store")


async def drop_write_replies(state: SoakState) -> None:
    """Apply writes but drop their replies, while two operators accept documents."""
    await _acquire_store(state, "lost_replies")
    dropped = state.rng.randint(1, MAX_DROPPED_REPLIES)
    await _set_faults(state, {"drop_write_replies": dropped})
    await accept_concurrently(state)
    await _set_faults(state, {"drop_write_replies": 0})
    state.acquired_names.discard("store")


async def restore_older_snapshot(state: SoakState) -> None:
    """Restore an older snapshot of the store, then accept a higher revision."""
    await _acquire_store(state, "store_older")
    await _send_control_request(state, "snapshot/take")
    await accept_changed_document(state)
    await anyio.sleep(state.rng.uniform(*FAULT_DURATION_SECONDS))
    await _send_control_request(state, "snapshot/restore")
    await anyio.sleep(state.rng.uniform(*FAULT_DURATION_SECONDS))
    await accept_changed_document(state)
    state.acquired_names.discard("store")


async def accept_from_two_operators(state: SoakState) -> None:
    """Let two operators accept documents concurrently."""
    state.increment("fault_operators_race")
    await accept_concurrently(state)


async def _acquire_store(state: SoakState, fault: str) -> None:
    await state.acquire("store")
    state.increment(f"fault_{fault}")


async def _set_faults(state: SoakState, faults: dict[str, Any]) -> None:
    state.record_event(f"store {faults}")
    url = f"{state.rig.store_url}/faults"
    (await state.rig.client.post(url, json=faults)).raise_for_status()


async def _send_control_request(state: SoakState, path: str) -> None:
    state.record_event(path)
    url = f"{state.rig.store_url}/{path}"
    (await state.rig.client.post(url)).raise_for_status()
