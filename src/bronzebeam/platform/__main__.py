"""Runs a gateway on the platform: ``python3 -m bronzebeam.platform``."""

import sys

from bronzebeam.platform.settings_file import open_caller_socket, settings_path

if __name__ == "__main__":
    path = settings_path()
    caller_socket = open_caller_socket(path)

    # The gateway speaks no TLS. Without this module asyncio starts a tenth faster, and
    # a process that returns after a loss of power serves that much sooner.
    sys.modules["ssl"] = None  # type: ignore[assignment]

    from bronzebeam.platform.gateway_main import run_gateway

    sys.exit(run_gateway(path, caller_socket))
