"""The commands of the group `settings`."""

from pathlib import Path
from typing import Final

import click

from bronzebeam.findings import FindingsError
from bronzebeam.settings import load_settings

EXIT_FINDINGS: Final = 2


@click.group()
def settings() -> None:
    """Work on the settings file of an entry instance."""


@settings.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """
    Check the settings in FILE.

    Exits with 0 if there is nothing to report, with 2 after printing all findings.
    """
    try:
        checked = load_settings(file)
    except FindingsError as error:
        for finding in error.findings:
            click.echo(f"{error.subject}: {finding}", err=True)
        raise SystemExit(EXIT_FINDINGS) from error
    click.echo(f"{file}: settings of instance {checked.instance} are in order")
