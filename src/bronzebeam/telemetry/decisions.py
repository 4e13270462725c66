"""Log of requests and state changes, with limited volume and non-blocking output."""

import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Final, Protocol

from attrs import define, field

from bronzebeam.telemetry.lines import format_pair, format_time

MAX_BUFFER_BYTES: Final = 512 * 1024  # memory for lines that are not yet written
MAX_WRITE_BYTES: Final = 4096  # PIPE_BUF: writes to a pipe up to this size are atomic
SUCCESS_LINES_PER_SECOND: Final = 20.0  # a sample of normal operation
SUCCESS_LINES_BURST: Final = 40.0
# Above this rate, logging would take more than a tenth of the processor time.
FAILURE_LINES_PER_SECOND: Final = 500.0
FAILURE_LINES_BURST: Final = 2_000.0  # a fault of a few seconds is logged in full


class NonBlockingWrite(Protocol):
    """Writes bytes without blocking; returns the number of bytes written."""

    def __call__(self, data: bytes) -> int:
        """
        Write a prefix of `data`.

        :raises BlockingIOError: if nothing can be written now.
        """


def open_standard_output() -> NonBlockingWrite:
    """Return a function that writes to standard output without blocking."""
    descriptor = 1

    def write(data: bytes) -> int:
        # Other processes may share the output, and make it blocking again.
        os.set_blocking(descriptor, False)
        return os.write(descriptor, data)

    return write


@define(kw_only=True, eq=False, repr=False)
class LineRateLimiter:
    """A token bucket that limits the rate of log lines."""

    per_second: float
    burst: float
    _tokens: float = field(init=False)
    _filled_at_seconds: float = field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def try_take(self, now_seconds: float) -> bool:
        """Take one token; return False if none is available."""
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
    Buffers log lines until `flush` writes them.

    Lines about the state of the process are always buffered, unless the buffer is
    full. Lines about requests are rate limited by token buckets: a large one for
    requests that failed, were late or got a partial response, and a small one for all
    others. Dropped lines are counted, and the count is logged after the next flush
    that empties the buffer.

    :ivar instance: instance name, added to each line.
    :ivar monotonic_seconds: clock of the rate limits.
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
        """Log a state change or a lifecycle event of the process."""
        self._append(name, fields)

    def request(self, name: str, /, *, good: bool, **fields: Any) -> None:
        """
        Log the outcome of a request, unless the rate limit is exceeded.

        :param good: whether the request was successful, complete and on time; the
            stricter rate limit applies to such requests.
        """
        limiter = self._success_limiter if good else self._failure_limiter
        if not limiter.try_take(self.monotonic_seconds()):
            self.dropped_line_count += 1
            return
        self._append(name, fields)

    def flush(self) -> None:
        """Write as many buffered lines as the output accepts without blocking."""
        if self._drain() and self._report_dropped():
            self._drain()

    def _drain(self) -> bool:
        """Write the buffer; return whether all of it was written."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._take_batch()
            try:
                written = self.write(self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the output; the process continues without it.
                self._drop_buffer()
                return False
            self._buffered_bytes -= written
            self._unwritten = self._unwritten[written:]
            if self._unwritten:
                return False
        return True

    def _take_batch(self) -> bytes:
        batch: list[bytes] = []
        size = 0
        while self._lines and (
            not batch or size + len(self._lines[0]) <= MAX_WRITE_BYTES
        ):
            batch.append(self._lines.popleft())
            size += len(batch[-1])
        return b"".join(batch)

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
