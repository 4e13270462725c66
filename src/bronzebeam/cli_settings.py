"""The commands of the group `settings`."""

from pathlib import Path
from typing import Final

import click

from bronzebeam.findings import FindingsError
from bronzebeam.platform.node_settings import read_settings
from bronzebeam.settings import load_settings

EXIT_INVALID_SETTINGS: Final = 2


@click.group()
def settings() -> None:
    """Commands for the settings files of instances."""


@settings.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--platform",
    is_flag=True,
    help="FILE is the platform's settings file, which a gateway reads.",
)
def check(file: Path, platform: bool) -> None:
    """
    Check the settings in FILE.

    Exits with 0 if the settings are valid; otherwise prints all findings, exits with 2.
    """
    try:
        if platform:
            instance = read_settings(str(file)).instance
        else:
            instance = load_settings(file).instance
    except FindingsError as error:
        for finding in error.findings:
            click.echo(f"{error.subject}: {finding}", err=True)
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    click.echo(f"{file}: settings of instance {instance} are valid")
