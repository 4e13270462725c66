"""Faults of backend servers and index changes in a soak run."""

from typing import Any, Final

import anyio
from attrs import evolve

from bronzebeam.bench.documents import SEARCH_SERVICE
from bronzebeam.bench.history import IndexRow, LeavingRow
from bronzebeam.bench.soak_state import SHARD_COUNT, SoakState
from bronzebeam.standins.backend_fleet import BackendPlacement, list_placements

FAULT_DURATION_SECONDS: Final = (1.0, 5.0)
LEAVING_DURATION_SECONDS: Final = (4.0, 7.0)
HOLDINGS_UPDATE_INTERVAL_SECONDS: Final = 0.08
SHARD_COUNTS: Final = (4, 6, 7, 9)
DAMAGED_REPLY_SHARE: Final = 0.3


async def crash_servers(state: SoakState) -> None:
    """Crash one or two backend servers and restart them."""
    names = _acquire_servers(state, state.rng.randint(1, 2), "crash")
    for name in names:
        await state.rig.set_faults(name, crash=True)
    await anyio.sleep(state.rng.uniform(*FAULT_DURATION_SECONDS))
    for name in names:
        await state.rig.revive(name)
    state.acquired_names.difference_update(names)


async def hang_open_connections(state: SoakState) -> None:
    """Make open connections unresponsive, while new connections work."""
    await _apply_fault_temporarily(state, "silent", {"silent": True}, {"silent": False})


async def freeze_servers(state: SoakState) -> None:
    """Make backend servers accept connections without replying to any request."""
    await _apply_fault_temporarily(state, "frozen", {"frozen": True}, {"frozen": False})


async def truncate_replies(state: SoakState) -> None:
    """Truncate the content of replies, in valid HTTP messages."""
    share = {"truncate_share": DAMAGED_REPLY_SHARE}
    await _apply_fault_temporarily(state, "truncate", share, {"truncate_share": 0.0})


async def swap_request_ids(state: SoakState) -> None:
    """Put the ID of another request into replies."""
    await _apply_fault_temporarily(
        state, "swap", {"swap_share": DAMAGED_REPLY_SHARE}, {"swap_share": 0.0}
    )


async def slow_servers(state: SoakState) -> None:
    """Delay a share of the replies of some backend servers."""
    slow = {"slow_share": 0.5, "slow_factor": 40.0}
    await _apply_fault_temporarily(state, "slow", slow, {"slow_share": 0.0})


async def announce_draining(state: SoakState) -> None:
    """Make a backend server report that it is draining."""
    await _leave_temporarily(state, by_list=False)


async def mark_leaving_in_instance_list(state: SoakState) -> None:
    """Mark a backend server as leaving only in the instance list."""
    await _leave_temporarily(state, by_list=True)


async def replace_index_version(state: SoakState) -> None:
    """Introduce a newer index version, replica by replica, and remove the old one."""
    await _change_index(state, state.index.shard_count, "index_swap")


async def change_shard_count(state: SoakState) -> None:
    """Introduce an index version with a different number of shards."""
    counts = [count for count in SHARD_COUNTS if count != state.index.shard_count]
    await _change_index(state, state.rng.choice(counts), "repartition")


def _acquire_servers(state: SoakState, count: int, fault: str) -> list[str]:
    names = state.choose_available_servers(count)
    state.acquired_names.update(names)
    state.increment(f"fault_{fault}", len(names))
    return names


async def _apply_fault_temporarily(
    state: SoakState, fault: str, on: dict[str, Any], off: dict[str, Any]
) -> None:
    names = _acquire_servers(state, state.rng.randint(1, 3), fault)
    for name in names:
        await state.rig.set_faults(name, **on)
    await anyio.sleep(state.rng.uniform(*FAULT_DURATION_SECONDS))
    for name in names:
        await state.rig.set_faults(name, **off)
    state.acquired_names.difference_update(names)


async def _leave_temporarily(state: SoakState, *, by_list: bool) -> None:
    names = _acquire_servers(state, 1, "leaving_listed" if by_list else "draining")
    for name in names:
        signalled = anyio.current_time()
        row = LeavingRow(server=name, signalled_seconds=signalled)
        state.leaving_periods.append(row)
        await _set_leaving(state, name, by_list, leaving=True)
        await anyio.sleep(state.rng.uniform(*LEAVING_DURATION_SECONDS))
        state.leaving_periods.remove(row)
        state.leaving_periods.append(evolve(row, until_seconds=anyio.current_time()))
        await _set_leaving(state, name, by_list, leaving=False)
    state.acquired_names.difference_update(names)


async def _set_leaving(
    state: SoakState, name: str, by_list: bool, *, leaving: bool
) -> None:
    if by_list:
        await state.rig.set_instance_state(name, "leaving" if leaving else "live")
    else:
        await state.rig.set_faults(name, draining=leaving)


async def _change_index(state: SoakState, shard_count: int, fault: str) -> None:
    await state.acquire("index")
    state.increment(f"fault_{fault}")
    old = state.index
    new = IndexRow(index_version=old.index_version + 1, shard_count=shard_count)
    state.indexes.append(new)
    servers = [
        placement
        for placement in list_placements(state.rig.document)
        if placement.service.name == SEARCH_SERVICE
    ]
    state.rng.shuffle(servers)
    keep_old_version = state.rng.random() < 0.5
    if keep_old_version:
        await _set_holdings(state, servers, [new, old])
        await anyio.sleep(state.rng.uniform(*FAULT_DURATION_SECONDS))
    await _set_holdings(state, servers, [new])
    state.index = new
    state.acquired_names.discard("index")


async def _set_holdings(
    state: SoakState, servers: list[BackendPlacement], indexes: list[IndexRow]
) -> None:
    for placement in servers:
        holdings = [
            [index.index_version, shard, index.shard_count]
            for index in indexes
            for shard in range(index.shard_count)
            if shard % SHARD_COUNT == placement.shard
        ]
        await state.rig.set_faults(placement.name, holdings=holdings)
        await anyio.sleep(HOLDINGS_UPDATE_INTERVAL_SECONDS)
