"""The command that runs load and experiments against the stand-ins."""

import sys
from collections.abc import Sequence

import anyio
import click

from bronzebeam.bench.suite import EXPERIMENTS, LONG_EXPERIMENTS

EXIT_OUT_OF_BOUND = 1
ALL_EXPERIMENTS = {**EXPERIMENTS, **LONG_EXPERIMENTS}


@click.command()
@click.option("--quick", is_flag=True, help="Run every experiment, in short form.")
@click.argument("names", nargs=-1, type=click.Choice(sorted(ALL_EXPERIMENTS)))
def bench(quick: bool, names: Sequence[str]) -> None:
    """
    Run experiments and print each figure as one line of JSON.

    Exit codes: 0 if each figure is within its bound, 1 if one is not, 2 for usage.
    """
    chosen = list(EXPERIMENTS) if quick else list(names)
    if not chosen:
        raise click.UsageError("name an experiment, or give --quick")
    within = True
    for name in chosen:
        for figure in anyio.run(ALL_EXPERIMENTS[name]):
            click.echo(figure.to_line())
            within = within and figure.within
    sys.exit(0 if within else EXIT_OUT_OF_BOUND)
