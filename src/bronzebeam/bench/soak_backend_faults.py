"""Faults of backend servers in a soak run, and changes of the index."""

from typing import Any, Final

import anyio
from attrs import evolve

from bronzebeam.bench.documents import SEARCH
from bronzebeam.bench.history import IndexRow, LeavingRow
from bronzebeam.bench.soak_state import SHARDS, SoakState
from bronzebeam.standins.backend_fleet import BackendPlacement, list_placements

FAULT_SECONDS: Final = (1.0, 5.0)
LEAVING_SECONDS: Final = (4.0, 7.0)
STAGGER_SECONDS: Final = 0.08
SHARD_COUNTS: Final = (4, 6, 7, 9)
DAMAGED_SHARE: Final = 0.3


async def crash_servers(state: SoakState) -> None:
    """Crash one or two backend servers and start them again."""
    names = _take(state, state.rng.randint(1, 2), "crash")
    for name in names:
        await state.rig.set_faults(name, crash=True)
    await anyio.sleep(state.rng.uniform(*FAULT_SECONDS))
    for name in names:
        await state.rig.revive(name)
    state.busy.difference_update(names)


async def silence_servers(state: SoakState) -> None:
    """Let open connections go silent while new ones work."""
    await _switch(state, "silent", {"silent": True}, {"silent": False})


async def freeze_servers(state: SoakState) -> None:
    """Let backend servers take connections and answer nothing."""
    await _switch(state, "frozen", {"frozen": True}, {"frozen": False})


async def truncate_replies(state: SoakState) -> None:
    """Let replies end early, as valid HTTP."""
    share = {"truncate_share": DAMAGED_SHARE}
    await _switch(state, "truncate", share, {"truncate_share": 0.0})


async def swap_identifiers(state: SoakState) -> None:
    """Let replies carry another request's identifier."""
    await _switch(state, "swap", {"swap_share": DAMAGED_SHARE}, {"swap_share": 0.0})


async def slow_servers(state: SoakState) -> None:
    """Let backend servers straggle."""
    slow = {"slow_share": 0.5, "slow_factor": 40.0}
    await _switch(state, "slow", slow, {"slow_share": 0.0})


async def drain_servers(state: SoakState) -> None:
    """Let backend servers drain by their own word."""
    await _leave(state, by_list=False)


async def list_leaving(state: SoakState) -> None:
    """Let the instance list alone say that backend servers leave."""
    await _leave(state, by_list=True)


async def swap_index(state: SoakState) -> None:
    """Bring in a newer index version, replica by replica, and drop the old one."""
    await _change_index(state, state.index.shard_count, "index_swap")


async def repartition(state: SoakState) -> None:
    """Bring in an index version with another shard map."""
    counts = [count for count in SHARD_COUNTS if count != state.index.shard_count]
    await _change_index(state, state.rng.choice(counts), "repartition")


def _take(state: SoakState, count: int, fault: str) -> list[str]:
    names = state.free_servers(count)
    state.busy.update(names)
    state.count(f"fault_{fault}", len(names))
    return names


async def _switch(
    state: SoakState, fault: str, on: dict[str, Any], off: dict[str, Any]
) -> None:
    names = _take(state, state.rng.randint(1, 3), fault)
    for name in names:
        await state.rig.set_faults(name, **on)
    await anyio.sleep(state.rng.uniform(*FAULT_SECONDS))
    for name in names:
        await state.rig.set_faults(name, **off)
    state.busy.difference_update(names)


async def _leave(state: SoakState, *, by_list: bool) -> None:
    names = _take(state, 1, "leaving_listed" if by_list else "draining")
    for name in names:
        signalled = anyio.current_time()
        row = LeavingRow(server=name, signalled_seconds=signalled)
        state.leaving.append(row)
        await _signal(state, name, by_list, leaving=True)
        await anyio.sleep(state.rng.uniform(*LEAVING_SECONDS))
        state.leaving.remove(row)
        state.leaving.append(evolve(row, until_seconds=anyio.current_time()))
        await _signal(state, name, by_list, leaving=False)
    state.busy.difference_update(names)


async def _signal(state: SoakState, name: str, by_list: bool, *, leaving: bool) -> None:
    if by_list:
        await state.rig.list_state(name, "leaving" if leaving else "live")
    else:
        await state.rig.set_faults(name, draining=leaving)


async def _change_index(state: SoakState, shard_count: int, fault: str) -> None:
    await state.take("index")
    state.count(f"fault_{fault}")
    old = state.index
    new = IndexRow(index_version=old.index_version + 1, shard_count=shard_count)
    state.indexes.append(new)
    servers = [
        place
        for place in list_placements(state.rig.document)
        if place.service.name == SEARCH
    ]
    state.rng.shuffle(servers)
    overlap = state.rng.random() < 0.5
    if overlap:
        await _hold(state, servers, [new, old])
        await anyio.sleep(state.rng.uniform(*FAULT_SECONDS))
    await _hold(state, servers, [new])
    state.index = new
    state.busy.discard("index")


async def _hold(
    state: SoakState, servers: list[BackendPlacement], indexes: list[IndexRow]
) -> None:
    for place in servers:
        rows = [
            [index.index_version, shard, index.shard_count]
            for index in indexes
            for shard in range(index.shard_count)
            if shard % SHARDS == place.shard
        ]
        await state.rig.set_faults(place.name, holdings=rows)
        await anyio.sleep(STAGGER_SECONDS)
