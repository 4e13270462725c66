"""The command that injects faults under load and checks the recorded histories."""

import sys

import anyio
import click

from bronzebeam.bench.soak import run_soak

EXIT_VIOLATIONS = 1


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--minutes", type=float, default=5.0, show_default=True)
def soak(seed: int, minutes: float) -> None:
    """
    Inject a seeded schedule of faults under load on loopback ports.

    Prints the seed, the first violation of each rule with the history rows that show
    it, and figures, each as one line of JSON. Exit codes: 0 without violations, 1 with
    violations.
    """
    violations = anyio.run(
        lambda: run_soak(seed=seed, minutes=minutes, echo=click.echo)
    )
    sys.exit(EXIT_VIOLATIONS if violations else 0)
