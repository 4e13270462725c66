"""
Lines of the platform's settings file, and the callers' port opened from them.

This module imports little: it runs before the rest of the program is loaded.
"""

import os
import socket

SETTINGS_VARIABLE = "BRONZEBEAM_NODE_FILE"
SETTINGS_PATH = "/etc/bronzebeam/node.conf"
CALLER_ADDRESS_FIELD = "listenAddresses.frontendAddress"
LISTEN_BACKLOG = 1_024  # a full queue costs a caller seconds


def settings_path() -> str:
    """Return where the settings file is."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)


def parse_fields(text: str) -> dict[str, str]:
    """Split lines of the form ``a.b=value``; others are left out."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return fields


def open_caller_socket(path: str) -> socket.socket | None:
    """
    Open the callers' port.

    The modules that a gateway needs take a tenth of a second to load. A caller that
    connects meanwhile waits for that long instead of being turned away.

    :return: None if the settings name no such address or it can't be opened; the
        start that follows reports what is wrong with them.
    """
    try:
        with open(path, encoding="utf-8") as file:
            address = parse_fields(file.read()).get(CALLER_ADDRESS_FIELD, "")
        host, _, port = address.rpartition(":")
        return socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    except (OSError, ValueError):
        return None
