"""Child processes of a test rig. Production code never starts processes."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from attrs import define, field

STOP_TIMEOUT_SECONDS: Final = 5.0
LOOPBACK: Final = "127.0.0.1"


def find_free_port() -> int:
    """Return a free loopback port, which another process may bind in the meantime."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


@define(kw_only=True, eq=False)
class ChildProcess:
    """
    One `bronzebeam` process.

    :ivar log_path: file to which standard output and standard error are appended.
    """

    name: str
    arguments: Sequence[str]
    log_path: Path
    environment: dict[str, str] = field(factory=dict)
    _process: subprocess.Popen[bytes] | None = field(default=None, init=False)

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        return self._process.poll() if self._process is not None else None

    def start(self) -> None:
        """Start the process and append its output to `log_path`."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "bronzebeam", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **self.environment},
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def stop(self) -> None:
        """Terminate the process, and kill it if it does not exit in time."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            self._process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()

    def cpu_seconds(self) -> float:
        """Return the CPU time used by the process."""
        stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(stat[11]) + int(stat[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the resident set size of the process."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0
