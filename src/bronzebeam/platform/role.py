"""The gateway's role on the platform, assembled."""

import asyncio
import os
import socket
import sys

from bronzebeam.findings import FindingsError
from bronzebeam.gateway.daemon import Gateway
from bronzebeam.gateway.records import GatewayStore
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.platform.headers import PlatformDialect
from bronzebeam.platform.node_settings import read_settings
from bronzebeam.platform.store import PlatformStore
from bronzebeam.telemetry.decisions import DecisionLog, standard_output
from bronzebeam.transport.http_call import HttpCallClient

EXIT_FINDINGS = 2


def make_store(settings: GatewaySettings, log: DecisionLog) -> GatewayStore:
    """Make the client of the store that the settings name."""
    client = HttpCallClient(host=settings.store.address, port=settings.store.port)
    return PlatformStore(client=client, log=log)


def main(path: str, callers_socket: socket.socket | None) -> int:
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
        return EXIT_FINDINGS
    gateway = Gateway(
        settings=settings,
        callers_socket=callers_socket,
        read_settings=lambda: read_settings(path),
        settings_stamp=lambda: _changed_at_ns(path),
        make_store=make_store,
        header_codec=PlatformDialect(),
        log=DecisionLog(instance=settings.instance, write=standard_output()),
    )
    return asyncio.run(gateway.run())


def _changed_at_ns(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The file is being replaced; the next look finds it.
        return 0
