"""Options of sockets to callers, backend servers and peers, and what they hold."""

import fcntl
import socket
import sys
import termios
from typing import Final

# With these values, a dead peer is detected within three seconds.
KEEPALIVE_IDLE_SECONDS: Final = 1
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
# Limit for sent data that is not acknowledged; matches the time of the probes.
USER_TIMEOUT_MS: Final = 2_000

COUNT_BYTES: Final = 4  # of an integer of the operating system

# Tuples of level, option and value.
DEAD_PEER_DETECTION_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Make a connection fail within seconds once its peer stops responding."""
    for level, option, value in DEAD_PEER_DETECTION_OPTIONS:
        sock.setsockopt(level, option, value)


def count_unread_bytes(sock: socket.socket) -> int:
    """Return how much was received and not read yet; 0 if that is unknown."""
    try:
        size = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(COUNT_BYTES))
    except (OSError, ValueError):
        # It is being closed, or the system does not tell.
        return 0
    return int.from_bytes(size, sys.byteorder)
