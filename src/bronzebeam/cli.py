"""The command line."""

import click

from bronzebeam import __version__


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Run and operate a query tier in front of many shards."""
