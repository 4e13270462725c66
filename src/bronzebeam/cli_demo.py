"""The command that shows the product on one machine."""

import sys

import anyio
import click

from bronzebeam.bench.demo import run_demo


@click.command()
def demo() -> None:
    """
    Run stand-ins and two entries on loopback ports and print what happens.

    Exit codes: 0 if everything went as promised, 1 if not.
    """
    sys.exit(anyio.run(run_demo, click.echo))
