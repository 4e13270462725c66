"""Waits at a start until the settings are there and whole."""

import math
import time
from collections.abc import Callable
from typing import Final

from bronzebeam.findings import FindingsError, one_finding
from bronzebeam.gateway.settings import GatewaySettings
from bronzebeam.gateway.start_phase import StartPhase
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND

READ_INTERVAL_SECONDS: Final = 0.05
LOG_INTERVAL_SECONDS: Final = 5.0
MAX_WAIT_SECONDS: Final = 30.0  # since the start of the process


def wait_for_settings(
    *,
    read_text: Callable[[], str],
    parse: Callable[[str], GatewaySettings],
    start: StartPhase,
    log: DecisionLog,
) -> GatewaySettings | None:
    """
    Read the settings until two reads in a row agree, and have no findings.

    A file that differs between two reads is being written: what it says may be valid
    and still not whole. The first read was made when the port for callers was opened,
    so that a start with a whole file waits for nothing.

    :param read_text: reads the text of the settings; raises `FindingsError`.
    :param parse: parses that text; raises `FindingsError`.
    :return: None if a stop was requested before the settings were whole.
    :raises FindingsError: those of the last read, if the settings did not become
        valid in time.
    """
    earlier_text = start.settings_text
    logged_at_seconds = -math.inf
    while True:
        text = None
        try:
            text = read_text()
            settings = parse(text)
            if text == earlier_text:
                if logged_at_seconds > 0.0:
                    start_ms = round(MS_PER_SECOND * start.elapsed_seconds())
                    log.event("settings_read", start_ms=start_ms)
                    log.flush()
                return settings
            error = one_finding(subject="settings", message="They are changing.")
        except FindingsError as findings:
            error = findings
        earlier_text = text
        if start.stop_requested_at_seconds is not None:
            return None
        elapsed_seconds = start.elapsed_seconds()
        if elapsed_seconds >= MAX_WAIT_SECONDS:
            raise error
        if elapsed_seconds - logged_at_seconds >= LOG_INTERVAL_SECONDS:
            logged_at_seconds = elapsed_seconds
            log.event("settings_awaited", cause=str(error))
            log.flush()
        time.sleep(READ_INTERVAL_SECONDS)
