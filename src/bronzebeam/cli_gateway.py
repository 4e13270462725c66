"""The command that runs a gateway on the platform."""

import sys

import click

from bronzebeam.platform.gateway_main import run_gateway
from bronzebeam.platform.settings_file import settings_path


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(),
    help="The platform's settings file; found as the platform says if not given.",
)
def gateway(path: str | None) -> None:
    """
    Run a gateway on the platform until a planned stop.

    The platform itself starts `python -m bronzebeam.platform`, which does the same
    and loads less.

    Exit codes: 0 after a planned stop, 1 if requests were cut off at its bound,
    2 if the settings have findings.
    """
    sys.exit(run_gateway(path or settings_path(), None))
