"""Faults of the configuration store in a soak run."""

from typing import Any, Final

import anyio

from bronzebeam.bench.soak_operators import accept, race
from bronzebeam.bench.soak_state import SoakState

OUTAGE_SECONDS: Final = (1.0, 8.0)
SILENCE_SECONDS: Final = (2.0, 6.0)
DROPPED_MOST: Final = 2


async def store_outage(state: SoakState) -> None:
    """Refuse or leave unanswered every call for a while."""
    fault = state.rng.choice(["refuse_all", "answer_nothing"])
    await _take(state, "store_outage")
    started = anyio.current_time()
    await _set(state, {fault: True})
    await anyio.sleep(state.rng.uniform(*OUTAGE_SECONDS))
    await _set(state, {fault: False})
    state.disturb(started)
    state.busy.discard("store")


async def silent_watches(state: SoakState) -> None:
    """Leave watches without an answer while documents are accepted."""
    await _take(state, "silent_watches")
    await _set(state, {"silent_watches": True})
    await accept(state)
    await anyio.sleep(state.rng.uniform(*SILENCE_SECONDS))
    await _set(state, {"silent_watches": False})
    state.busy.discard("store")


async def lost_replies(state: SoakState) -> None:
    """Apply writes without a reply, while two operators accept."""
    await _take(state, "lost_replies")
    dropped = state.rng.randint(1, DROPPED_MOST)
    await _set(state, {"drop_write_replies": dropped})
    await race(state)
    await _set(state, {"drop_write_replies": 0})
    state.busy.discard("store")


async def store_older(state: SoakState) -> None:
    """Let the store lose the last acceptances, then accept above what is in force."""
    await _take(state, "store_older")
    await _control(state, "snapshot/take")
    await accept(state)
    await anyio.sleep(state.rng.uniform(*SILENCE_SECONDS))
    await _control(state, "snapshot/restore")
    await anyio.sleep(state.rng.uniform(*SILENCE_SECONDS))
    await accept(state)
    state.busy.discard("store")


async def operators_race(state: SoakState) -> None:
    """Let two operators accept at the same moment."""
    state.count("fault_operators_race")
    await race(state)


async def _take(state: SoakState, fault: str) -> None:
    await state.take("store")
    state.count(f"fault_{fault}")


async def _set(state: SoakState, faults: dict[str, Any]) -> None:
    state.note(f"store {faults}")
    url = f"{state.rig.store_url}/faults"
    (await state.rig.client.post(url, json=faults)).raise_for_status()


async def _control(state: SoakState, path: str) -> None:
    state.note(path)
    url = f"{state.rig.store_url}/{path}"
    (await state.rig.client.post(url)).raise_for_status()
