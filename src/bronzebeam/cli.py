"""The command line."""

import click

from bronzebeam import __version__
from bronzebeam.cli_bench import bench
from bronzebeam.cli_demo import demo
from bronzebeam.cli_document import document
from bronzebeam.cli_entry import entry
from bronzebeam.cli_explain import explain
from bronzebeam.cli_gateway import gateway
from bronzebeam.cli_settings import settings
from bronzebeam.cli_soak import soak
from bronzebeam.cli_standin import standin
from bronzebeam.cli_standin_backends import run_backends


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Run and operate a query tier in front of many shards."""


standin.add_command(run_backends)
for command in (
    bench,
    demo,
    document,
    entry,
    explain,
    gateway,
    settings,
    soak,
    standin,
):
    main.add_command(command)
