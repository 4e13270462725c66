"""The command that runs experiments under load against stand-ins of the platform."""

import sys
from collections.abc import Sequence

import anyio
import click

from bronzebeam.bench.figures import Figure
from bronzebeam.bench.suite import (
    EXPERIMENTS,
    LONG_EXPERIMENTS,
    QUICK_GROUPS,
    run_groups,
)

EXIT_BOUND_EXCEEDED = 1
ALL_EXPERIMENTS = {**EXPERIMENTS, **LONG_EXPERIMENTS}


@click.command()
@click.option("--quick", is_flag=True, help="Run every experiment, in short form.")
@click.argument("names", nargs=-1, type=click.Choice(sorted(ALL_EXPERIMENTS)))
def bench(quick: bool, names: Sequence[str]) -> None:
    """
    Run experiments and print each figure as one line of JSON.

    Exit codes: 0 if each figure is within its bound, 1 if one is not, 2 for wrong
    usage.
    """
    groups = list(QUICK_GROUPS) if quick else [(name,) for name in names]
    if not groups:
        raise click.UsageError("name an experiment, or give --quick")
    figures: list[Figure] = []

    def report(figure: Figure) -> None:
        click.echo(figure.to_line())
        figures.append(figure)

    anyio.run(run_groups, groups, report)
    all_within_bounds = all(figure.is_within_bound for figure in figures)
    sys.exit(0 if all_within_bounds else EXIT_BOUND_EXCEEDED)
