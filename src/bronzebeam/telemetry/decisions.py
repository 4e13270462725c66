"""Log of decisions: bounded in volume, and never waited for."""

import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final, Protocol

from attrs import define, field

from bronzebeam.telemetry.lines import format_pair, format_time

MAX_BUFFER_BYTES: Final = 512 * 1024  # memory that unread lines may take
MAX_WRITE_BYTES: Final = 4096  # PIPE_BUF: up to this size a pipe takes all or nothing
SUCCESS_LINES_PER_SECOND: Final = 20.0  # a sample that shows what is usual
SUCCESS_LINES_BURST: Final = 40.0
FAILURE_LINES_PER_SECOND: Final = 500.0  # beyond it, lines would cost more than a tenth
FAILURE_LINES_BURST: Final = 2_000.0  # a fault of some seconds is logged whole


class NonBlockingWrite(Protocol):
    """Writes bytes without waiting; returns how many were taken."""

    def __call__(self, data: bytes) -> int:
        """
        Write a prefix of `data`.

        :raises BlockingIOError: if nothing can be written now.
        """


def open_standard_output() -> NonBlockingWrite:
    """Return a writer to standard output that never blocks."""
    descriptor = 1
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        return os.write(descriptor, data)

    return write


@define(kw_only=True, eq=False, repr=False)
class LineRateLimiter:
    """A token bucket of lines."""

    per_second: float
    burst: float
    _tokens: float = field(init=False)
    _filled_at_seconds: float = field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def try_take(self, now_seconds: float) -> bool:
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
    write: NonBlockingWrite
    monotonic_seconds: Callable[[], float] = time.monotonic
    dropped_line_count: int = 0
    _lines: deque[bytes] = field(factory=deque, init=False)
    _buffered_bytes: int = field(default=0, init=False)
    _unwritten: bytes = field(default=b"", init=False)
    _success_limiter: LineRateLimiter = field(init=False)
    _failure_limiter: LineRateLimiter = field(init=False)
    _reported_dropped_count: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._success_limiter = LineRateLimiter(
            per_second=SUCCESS_LINES_PER_SECOND, burst=SUCCESS_LINES_BURST
        )
        self._failure_limiter = LineRateLimiter(
            per_second=FAILURE_LINES_PER_SECOND, burst=FAILURE_LINES_BURST
        )

    def event(self, name: str, /, **fields: Any) -> None:
        """Log a change of what the process believes, or of its life."""
        self._append(name, fields)

    def request(self, name: str, /, *, good: bool, **fields: Any) -> None:
        """
        Log a decision on a request, as far as the volume allows.

        :param good: the request went well, so that its line may be left out.
        """
        budget = self._success_limiter if good else self._failure_limiter
        if not budget.try_take(self.monotonic_seconds()):
            self.dropped_line_count += 1
            return
        self._append(name, fields)

    def flush(self) -> None:
        """Write what the output takes now."""
        if self._drain() and self._report_dropped():
            self._drain()

    def _drain(self) -> bool:
        """Write; return whether the output took everything."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take_batch()
            try:
                written = self.write(self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody reads the output any more; serving goes on without it.
                self._drop_buffer()
                return False
            self._buffered_bytes -= written
            self._unwritten = self._unwritten[written:]
            if self._unwritten:
                return False
        return True

    def _take_batch(self) -> bytes:
        taken: list[bytes] = []
        size = 0
        while self._lines and (
            not taken or size + len(self._lines[0]) <= MAX_WRITE_BYTES
        ):
            taken.append(self._lines.popleft())
            size += len(taken[-1])
        return b"".join(taken)

    def _append(self, name: str, fields: dict[str, Any]) -> None:
        if self._buffered_bytes > MAX_BUFFER_BYTES:
            self.dropped_line_count += 1
            return
        pairs = [f"time={format_time(time.time())}", f"event={name}"]
        pairs.extend([format_pair(key, value) for key, value in fields.items()])
        pairs.append(f"instance={self.instance}\n")
        line = " ".join(pairs).encode()
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def _report_dropped(self) -> bool:
        count = self.dropped_line_count - self._reported_dropped_count
        if count:
            self._reported_dropped_count = self.dropped_line_count
            self._append("log_lines_left_out", {"count": count})
        return count > 0

    def _drop_buffer(self) -> None:
        self.dropped_line_count += len(self._lines) + 1
        self._lines.clear()
        self._unwritten = b""
        self._buffered_bytes = 0
