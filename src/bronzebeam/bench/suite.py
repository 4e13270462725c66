"""The experiments of a bench run, in order."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import anyio

from bronzebeam.bench.experiments import (
    bookings,
    channels,
    choice,
    departures,
    fanout,
    fleet,
    hedging,
    overload,
    slopes,
)
from bronzebeam.bench.figures import Figure

Experiment = Callable[[], Awaitable[list[Figure]]]

EXPERIMENTS: Final[dict[str, Experiment]] = {
    "fanout": fanout.run,
    "channels": channels.run,
    "choice": choice.run,
    "hedging": hedging.run,
    "overload": overload.run,
    "leaving": departures.run_leaving,
    "killed": departures.run_killed,
    "bookings": bookings.run,
    "fleet": fleet.run,
}

LONG_EXPERIMENTS: Final[dict[str, Experiment]] = {"slopes": slopes.run}
"""Experiments that are run only if they are named."""

QUICK_GROUPS: Final = (
    ("fanout",),
    ("hedging",),
    ("choice", "overload"),
    ("leaving", "killed", "bookings", "fleet"),
)
"""
Groups of experiments that run at the same time in a quick run.

Only experiments that count events or have a large effect share a group.
"""


async def run_groups(
    groups: Sequence[Sequence[str]], report: Callable[[Figure], None]
) -> None:
    """Run experiments group by group; report the figures of each at its end."""
    known = {**EXPERIMENTS, **LONG_EXPERIMENTS}

    async def run_one(name: str) -> None:
        for figure in await known[name]():
            report(figure)

    for names in groups:
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(run_one, name)
