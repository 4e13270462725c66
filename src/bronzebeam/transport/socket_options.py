"""Options of sockets whose peer may go silent."""

import socket
from typing import Final

KEEPALIVE_IDLE_SECONDS: Final = 1  # a peer that went silent is found in three seconds
KEEPALIVE_INTERVAL_SECONDS: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2_000  # bound of unacknowledged bytes, as for the probes

# Each as level, option and value.
DEAD_PEER_DETECTION_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Make a connection whose peer went silent fail within seconds."""
    for level, option, value in DEAD_PEER_DETECTION_OPTIONS:
        sock.setsockopt(level, option, value)
