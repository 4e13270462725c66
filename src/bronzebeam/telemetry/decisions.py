"""Log of decisions: bounded in volume, and never waited for."""

import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final, Protocol

from attrs import define, field

from bronzebeam.telemetry.lines import format_pair, format_time

BUFFER_MAX_BYTES: Final = 512 * 1024  # memory that unread lines may take
WRITE_MAX_BYTES: Final = 4096  # PIPE_BUF: up to this size a pipe takes all or nothing
GOOD_LINES_PER_SECOND: Final = 20.0  # a sample that shows what is usual
GOOD_LINES_BURST: Final = 40.0
BAD_LINES_PER_SECOND: Final = 500.0  # beyond it, lines would cost more than a tenth
BAD_LINES_BURST: Final = 2_000.0  # a fault of some seconds is logged whole


class Write(Protocol):
    """Writes bytes without waiting; returns how many were taken."""

    def __call__(self, data: bytes) -> int:
        """
        Write a prefix of `data`.

        :raises BlockingIOError: if nothing can be written now.
        """


def standard_output() -> Write:
    """Return a writer to standard output that never blocks."""
    descriptor = 1
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        return os.write(descriptor, data)

    return write


@define(kw_only=True, eq=False, repr=False)
class LineBudget:
    """A token bucket of lines."""

    per_second: float
    burst: float
    _tokens: float = field(init=False)
    _filled_at_seconds: float = field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def take(self, now_seconds: float) -> bool:
        """Take one line, if there is one."""
        elapsed_seconds = now_seconds - self._filled_at_seconds
        self._tokens = min(self.burst, self._tokens + elapsed_seconds * self.per_second)
        self._filled_at_seconds = now_seconds
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@define(kw_only=True, eq=False, repr=False)
class DecisionLog:
    """
    Collects lines and writes them when the process has a moment.

    Lines on the state of the process are always taken, up to the size of the buffer.
    Lines on requests are taken from token buckets: a wide one for those that failed,
    were late or partial, and a narrow one for the others. What was left out is counted,
    and the counts are written with the next line that fits.

    :ivar instance: added to each line.
    :ivar monotonic_seconds: clock that bounds the volume.
    """

    instance: str
    write: Write
    monotonic_seconds: Callable[[], float] = time.monotonic
    left_out_lines: int = 0
    _lines: deque[bytes] = field(factory=deque, init=False)
    _bytes: int = field(default=0, init=False)
    _rest: bytes = field(default=b"", init=False)
    _good: LineBudget = field(init=False)
    _bad: LineBudget = field(init=False)
    _reported_left_out: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._good = LineBudget(
            per_second=GOOD_LINES_PER_SECOND, burst=GOOD_LINES_BURST
        )
        self._bad = LineBudget(per_second=BAD_LINES_PER_SECOND, burst=BAD_LINES_BURST)

    def event(self, name: str, /, **fields: Any) -> None:
        """Log a change of what the process believes, or of its life."""
        self._append(name, fields)

    def request(self, name: str, /, *, good: bool, **fields: Any) -> None:
        """
        Log a decision on a request, as far as the volume allows.

        :param good: the request went well, so that its line may be left out.
        """
        budget = self._good if good else self._bad
        if not budget.take(self.monotonic_seconds()):
            self.left_out_lines += 1
            return
        self._append(name, fields)

    def flush(self) -> None:
        """Write what the output takes now."""
        if self._drain() and self._report_left_out():
            self._drain()

    def _drain(self) -> bool:
        """Write; return whether the output took everything."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._join()
            try:
                written = self.write(self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads the output any more; serving goes on without it.
                self._count_lost()
                return False
            self._bytes -= written
            self._rest = self._rest[written:]
            if self._rest:
                return False
        return True

    def _join(self) -> bytes:
        taken: list[bytes] = []
        size = 0
        while self._lines and (
            not taken or size + len(self._lines[0]) <= WRITE_MAX_BYTES
        ):
            taken.append(self._lines.popleft())
            size += len(taken[-1])
        return b"".join(taken)

    def _append(self, name: str, fields: dict[str, Any]) -> None:
        if self._bytes > BUFFER_MAX_BYTES:
            self.left_out_lines += 1
            return
        pairs = [f"time={format_time(time.time())}", f"event={name}"]
        pairs.extend([format_pair(key, value) for key, value in fields.items()])
        pairs.append(f"instance={self.instance}\n")
        line = " ".join(pairs).encode()
        self._lines.append(line)
        self._bytes += len(line)

    def _report_left_out(self) -> bool:
        count = self.left_out_lines - self._reported_left_out
        if count:
            self._reported_left_out = self.left_out_lines
            self._append("log_lines_left_out", {"count": count})
        return count > 0

    def _count_lost(self) -> None:
        self.left_out_lines += len(self._lines) + 1
        self._lines.clear()
        self._rest = b""
        self._bytes = 0
