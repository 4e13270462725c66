"""Runs the gateway process with the platform's settings, store and headers."""

import asyncio
import os
import signal
from functools import partial
from typing import Final

from bronzebeam.findings import FindingsError
from bronzebeam.gateway.daemon import Gateway
from bronzebeam.gateway.process_end import (
    EXIT_FAILED,
    EXIT_INVALID_SETTINGS,
    write_standard_error,
    write_traceback,
)
from bronzebeam.gateway.records import GatewayStore
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.gateway.settings_wait import wait_for_settings
from bronzebeam.gateway.start_phase import StartPhase
from bronzebeam.gateway.store_era import StoreEra
from bronzebeam.platform.headers import PlatformHeaderCodec
from bronzebeam.platform.node_settings import (
    parse_settings,
    read_settings,
    read_settings_text,
)
from bronzebeam.platform.store import PlatformStore
from bronzebeam.telemetry.decisions import DecisionLog, open_standard_output
from bronzebeam.telemetry.error_place import place_of
from bronzebeam.transport.http_call import HttpCallClient
from bronzebeam.transport.http_reply import ReplyMemory

UNKNOWN_INSTANCE: Final = "unknown"  # in the log, until the settings are read
HANDLED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def create_store(
    settings: GatewaySettings, log: DecisionLog, *, reply_memory: ReplyMemory
) -> GatewayStore:
    """Create the client of the store that the settings name."""
    client = HttpCallClient(
        host=settings.store.address,
        port=settings.store.port,
        reply_memory=reply_memory,
    )
    return PlatformStore(client=client, log=log, era=StoreEra(log=log))


def run_gateway(path: str, start: StartPhase) -> int:
    """
    Run the gateway until it is shut down.

    Exit codes: 0 after a graceful shutdown, 1 if requests were cut off at its
    deadline, 2 if the settings are invalid, 3 after an unexpected exception.

    :param path: path of the platform's settings file.
    :param start: what happened before this module was loaded.
    """
    log = DecisionLog(instance=UNKNOWN_INSTANCE, write=open_standard_output())
    version = 0

    def read_text() -> str:
        nonlocal version
        # Before the text, so that a change in between is noticed.
        version = _modified_at_ns(path)
        return read_settings_text(path, may_wait=True)

    try:
        settings = wait_for_settings(
            read_text=read_text,
            parse=lambda text: parse_settings(text, subject=path),
            start=start,
            log=log,
        )
    except FindingsError as error:
        for finding in error.findings:
            write_standard_error(f"{error.subject}: {finding}\n")
        return EXIT_INVALID_SETTINGS
    if settings is None:
        return 0
    log.instance = settings.instance
    listen = settings.caller_listen
    start.keep_caller_socket_at(listen.address, listen.port)
    reply_memory = ReplyMemory.of_process(settings.memory_limit_bytes)
    gateway = Gateway(
        settings=settings,
        start=start,
        read_settings=lambda: read_settings(path),
        loaded_settings_version=version,
        settings_version=lambda: _modified_at_ns(path),
        create_store=partial(create_store, reply_memory=reply_memory),
        reply_memory=reply_memory,
        header_codec=PlatformHeaderCodec(),
        log=log,
    )
    with asyncio.Runner() as runner:
        try:
            return runner.run(gateway.run())
        except BaseException as error:
            log.event("failed", cause=repr(error), place=place_of(error))
            log.flush()
            write_traceback(error)
            return EXIT_FAILED
        finally:
            # Closing the loop restores the default action of these signals, which
            # would end the process with another exit code.
            signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def _modified_at_ns(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The file is being replaced; the next check finds it.
        return 0
