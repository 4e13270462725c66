"""
Parses the platform's settings file and opens the port for callers.

Imports as little as possible, since it runs before the other modules are loaded.
"""

import os
import socket

SETTINGS_VARIABLE = "BRONZEBEAM_NODE_FILE"
SETTINGS_PATH = "/etc/bronzebeam/node.conf"
CALLER_ADDRESS_FIELD = "listenAddresses.frontendAddress"
MAX_TEXT_BYTES = 1024 * 1024  # the platform's files are below 64 KB
LISTEN_BACKLOG = 1_024  # if the queue is full, a caller's connect takes seconds


def settings_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)


def parse_fields(text: str) -> dict[str, str]:
    """Parse lines of the form ``a.b=value``; other lines are ignored."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    return fields


def read_text(path: str, *, may_wait: bool) -> str:
    """
    Read the text of the settings.

    :param may_wait: wait for the writer if the path is a named pipe.
    :raises OSError: if they can't be read.
    :raises ValueError: if they are too long, or not in UTF-8.
    """
    waiting = 0 if may_wait else os.O_NONBLOCK
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | waiting)
    try:
        parts = []
        size = 0
        while part := os.read(descriptor, MAX_TEXT_BYTES):
            parts.append(part)
            size += len(part)
            if size > MAX_TEXT_BYTES:
                raise ValueError(f"longer than {MAX_TEXT_BYTES} bytes")
    finally:
        os.close(descriptor)
    return b"".join(parts).decode()


def read_first_text(path: str) -> str | None:
    """Read the settings for the first time; None if they can't be read yet."""
    try:
        return read_text(path, may_wait=True)
    except (OSError, ValueError):
        return None


def open_caller_socket(text: str | None) -> socket.socket | None:
    """
    Open the port for callers.

    Loading the gateway's modules takes a tenth of a second. A caller that connects
    during this time waits instead of getting a refused connection.

    :param text: of the settings; None if they can't be read yet.
    :return: None if the settings contain no valid address or it can't be bound; the
        start waits for these later.
    """
    try:
        address = parse_fields(text or "").get(CALLER_ADDRESS_FIELD, "")
        host, _, port = address.rpartition(":")
        return socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    except (OSError, ValueError, OverflowError, TypeError):
        # The last two are of a port above the highest, and of a host with a zero byte.
        return None
