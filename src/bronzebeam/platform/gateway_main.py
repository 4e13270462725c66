"""The gateway's role on the platform, assembled."""

import asyncio
import os
import socket
import sys

from bronzebeam.findings import FindingsError
from bronzebeam.gateway.daemon import Gateway
from bronzebeam.gateway.records import GatewayStore
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.platform.headers import PlatformHeaderCodec
from bronzebeam.platform.node_settings import read_settings
from bronzebeam.platform.store import PlatformStore
from bronzebeam.telemetry.decisions import DecisionLog, standard_output
from bronzebeam.transport.http_call import HttpCallClient

EXIT_INVALID_SETTINGS = 2


def create_store(settings: GatewaySettings, log: DecisionLog) -> GatewayStore:
    """Make the client of the store that the settings name."""
    client = HttpCallClient(host=settings.store.address, port=settings.store.port)
    return PlatformStore(client=client, log=log)


def run_gateway(path: str, caller_socket: socket.socket | None) -> int:
    """
    Run the gateway until a planned stop.

    Exit codes: 0 after a planned stop, 1 if requests were cut off at its bound,
    2 if the settings have findings.

    :param path: the platform's settings file.
    :param callers_socket: listens for callers already; None if it does not.
    """
    try:
        settings = read_settings(path)
    except FindingsError as error:
        for finding in error.findings:
            print(f"{error.subject}: {finding}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    gateway = Gateway(
        settings=settings,
        caller_socket=caller_socket,
        read_settings=lambda: read_settings(path),
        settings_version=lambda: _modified_at_ns(path),
        create_store=create_store,
        dialect=PlatformHeaderCodec(),
        log=DecisionLog(instance=settings.instance, write=standard_output()),
    )
    return asyncio.run(gateway.run())


def _modified_at_ns(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The file is being replaced; the next look finds it.
        return 0
