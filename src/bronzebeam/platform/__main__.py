"""Runs a gateway on the platform: ``python3 -m bronzebeam.platform``."""

import os
import signal
import sys

import bronzebeam
import bronzebeam.platform

if __name__ == "__main__":
    # Until the gateway can reload its settings, which it has not read yet, this signal
    # would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # These wait until the modules that handle them are loaded.
    STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)

    # The path leads over a link, which a build replaces. All modules have to come from
    # the same build.
    sys.path[:] = map(os.path.realpath, sys.path)
    for package in (bronzebeam, bronzebeam.platform):
        package.__path__[:] = map(os.path.realpath, package.__path__)

from bronzebeam.gateway.process_end import (
    EXIT_FAILED,
    prepare_standard_streams,
    write_traceback,
)
from bronzebeam.gateway.start_phase import StartPhase

if __name__ == "__main__":
    start = StartPhase()
    start.handle_signals()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
    prepare_standard_streams()

from bronzebeam.platform.settings_file import (
    open_caller_socket,
    read_first_text,
    settings_path,
)

if __name__ == "__main__":
    path = settings_path()
    start.settings_text = read_first_text(path)
    start.caller_socket = open_caller_socket(start.settings_text)

    # The gateway does not use TLS. Without the ssl module asyncio starts 10 % faster,
    # which shortens the outage after a power loss.
    sys.modules["ssl"] = None  # type: ignore[assignment]

    try:
        from bronzebeam.platform.gateway_main import run_gateway

        exit_code = run_gateway(path, start)
    except BaseException as error:
        write_traceback(error)
        exit_code = EXIT_FAILED
    # The interpreter's own end would write what standard error has not accepted, and
    # change the exit code if that fails again.
    os._exit(exit_code)
