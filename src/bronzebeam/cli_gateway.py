"""The command that runs a gateway on the platform."""

import sys

import click

from bronzebeam.gateway.process_end import prepare_standard_streams
from bronzebeam.gateway.start_phase import StartPhase
from bronzebeam.platform.gateway_main import run_gateway
from bronzebeam.platform.settings_file import settings_path


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(),
    help="The platform's settings file, by default at the path that the platform sets.",
)
def gateway(path: str | None) -> None:
    """
    Run a gateway on the platform until a graceful shutdown.

    The platform itself starts `python -m bronzebeam.platform`, which does the same
    but imports fewer modules.

    Exit codes: 0 after a graceful shutdown, 1 if requests were cut off at its timeout,
    2 if the settings are invalid, 3 after an unexpected exception.
    """
    start = StartPhase()
    start.handle_signals()
    prepare_standard_streams()
    sys.exit(run_gateway(path or settings_path(), start))
