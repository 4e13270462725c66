"""The command that demonstrates the product on one machine."""

import sys

import anyio
import click

from bronzebeam.bench.demo import run_demo


@click.command()
def demo() -> None:
    """
    Run two entries and stand-ins of the platform on loopback ports; print each step.

    Exit codes: 0 if every step had the expected result, 1 if not.
    """
    sys.exit(anyio.run(run_demo, click.echo))
