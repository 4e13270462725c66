"""The command that runs the entry daemon."""

import sys
from pathlib import Path

import anyio
import click

from bronzebeam.entry.daemon import EntryDaemon
from bronzebeam.entry.request_pipeline import FeatureSwitches
from bronzebeam.findings import FindingsError
from bronzebeam.settings import EntrySettings, load_settings
from bronzebeam.telemetry.logs import LogOutput

EXIT_INVALID_SETTINGS = 2


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file of this instance.",
)
@click.option("--no-hedging", is_flag=True, help="Disable hedging.")
@click.option("--no-admission", is_flag=True, help="Disable admission control.")
@click.option("--random-choice", is_flag=True, help="Choose replicas at random.")
def entry(
    path: Path, no_hedging: bool, no_admission: bool, random_choice: bool
) -> None:
    """
    Run the entry daemon until a graceful shutdown.

    Exit codes: 0 after a graceful shutdown, 1 if requests were cut off at its timeout,
    2 if the settings are invalid.
    """
    try:
        settings = load_settings(path)
    except FindingsError as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    features = FeatureSwitches(
        hedging=not no_hedging,
        admission=not no_admission,
        replica_choice=not random_choice,
    )
    sys.exit(run_entry(settings, features))


def run_entry(settings: EntrySettings, features: FeatureSwitches) -> int:
    """Run one entry on its own event loop and return the exit code."""
    output = LogOutput(entry=settings.instance)
    daemon = EntryDaemon(settings=settings, features=features)
    try:
        return anyio.run(daemon.run)
    finally:
        output.close()
