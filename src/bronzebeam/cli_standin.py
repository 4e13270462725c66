"""Commands that run stand-ins of the platform's services as separate processes."""

import anyio
import click

from bronzebeam.standins import instances, store

_ADDRESS_OPTION = click.option("--address", default="127.0.0.1", show_default=True)
_PORT_OPTION = click.option("--port", type=int, required=True)


@click.group()
def standin() -> None:
    """Run a stand-in of a platform service on a loopback port."""


@standin.command("store")
@_ADDRESS_OPTION
@_PORT_OPTION
def run_store(address: str, port: int) -> None:
    """Run the stand-in of the configuration store."""
    anyio.run(store.serve, address, port)


@standin.command("instances")
@_ADDRESS_OPTION
@_PORT_OPTION
def run_instances(address: str, port: int) -> None:
    """Run the stand-in of the instance list."""
    anyio.run(instances.serve, address, port)
