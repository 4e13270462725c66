"""The experiments of a bench run, in order."""

from collections.abc import Awaitable, Callable
from typing import Final

from bronzebeam.bench.experiments import (
    bookings,
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
    "hedging": hedging.run,
    "overload": overload.run,
    "leaving": departures.run_leaving,
    "killed": departures.run_killed,
    "bookings": bookings.run,
    "fleet": fleet.run,
}

LONG_EXPERIMENTS: Final[dict[str, Experiment]] = {"slopes": slopes.run}
"""Experiments that a run of all of them leaves out."""
