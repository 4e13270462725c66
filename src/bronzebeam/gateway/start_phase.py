"""
The time between the start of the process and its event loop.

Imports as little as possible, since it runs before the other modules are loaded.
"""

import signal
import socket
from types import FrameType

from bronzebeam.gateway.boot_clock import boot_seconds


class StartPhase:
    """
    What happened before the event loop runs.

    :ivar began_at_seconds: when the first module of the program was loaded.
    :ivar stop_requested_at_seconds: when the first signal to stop came; None if none
        did.
    :ivar settings_text: text of the settings as first read; None if that failed.
    :ivar caller_socket: socket that already listens for callers; None to open one.
    """

    def __init__(self) -> None:
        self.began_at_seconds = boot_seconds()
        self.stop_requested_at_seconds: float | None = None
        self.settings_text: str | None = None
        self.caller_socket: socket.socket | None = None

    def handle_signals(self) -> None:
        """
        Record requests to stop, until the event loop handles them.

        Requests to read the settings again are ignored: they have not been read yet,
        or a change is found by the next check.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, self._record_stop)
        signal.signal(signal.SIGINT, self._record_stop)

    def keep_caller_socket_at(self, host: str, port: int) -> None:
        """Close the socket for callers if it listens elsewhere."""
        if self.caller_socket is not None:
            if self.caller_socket.getsockname() != (host, port):
                self.caller_socket.close()
                self.caller_socket = None

    def elapsed_seconds(self) -> float:
        """Return the time since the first module of the program was loaded."""
        return boot_seconds() - self.began_at_seconds

    def _record_stop(self, number: int, frame: FrameType | None) -> None:
        if self.stop_requested_at_seconds is None:
            self.stop_requested_at_seconds = boot_seconds()
