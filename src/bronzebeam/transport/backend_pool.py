"""Pool of connections from this entry to one backend server."""

import math
from collections.abc import Callable
from typing import Final, Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, field, frozen

from bronzebeam.clock import Clock
from bronzebeam.transport.attempt import Attempt, AttemptLost, AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    CANCEL_PATH,
    STATUS_PATH,
    BackendReply,
    encode_cancel,
)
from bronzebeam.transport.channel import ChannelFactory
from bronzebeam.transport.connection_worker import (
    LATE_REPLY_TIMEOUT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    ConnectionWorker,
)
from bronzebeam.units import MS_PER_SECOND

PROBE_AFTER_IDLE_SECONDS: Final = 30.0
MIN_PROBE_INTERVAL_SECONDS: Final = 1.0


@frozen(kw_only=True)
class AttemptEvent:
    """
    Reports the end of an attempt to the controllers.

    :ivar latency_ms: time from sending the request to the complete reply, or to the
        end of an abandoned attempt; None in all other cases.
    :ivar in_flight: fingerprints of the requests that were running on this replica
        when the attempt ended, its own included.
    :ivar solo: the subset of `in_flight` that was sent as crash suspects, each on
        one replica at a time.
    """

    replica: str
    attempt: Attempt
    outcome: AttemptOutcome
    latency_ms: float | None
    in_flight: frozenset[str] = frozenset()
    solo: frozenset[str] = frozenset()


AttemptObserver = Callable[[AttemptEvent], None]


class BackendPool(Protocol):
    """The part of a connection pool that routing uses."""

    @property
    def idle_connections(self) -> int:
        """Open connections that wait for an attempt."""

    @property
    def in_flight(self) -> int:
        """Attempts passed to `send` that have not ended."""

    def send(self, attempt: Attempt) -> None:
        """Queue `attempt` for the first idle connection; never blocks."""

    def cancel(self, attempt: Attempt) -> None:
        """Abandon `attempt`; its result is not reported to the requester."""


@define(kw_only=True, eq=False)
class BackendConnectionPool:
    """
    A connection pool for one backend server, with one worker task per connection.

    Attempts wait in one queue; each worker takes the next one when its connection is
    idle. `maintain` must be called regularly: it closes connections whose reply is
    overdue and probes connections that have been idle for long.

    :ivar address: IP address and port of the backend server.
    :ivar size: connections that this entry may open to it; see `resize`.
    :ivar is_closed: whether every connection is closed after `drain`.
    """

    replica: str
    address: str
    size: int
    clock: Clock
    channels: ChannelFactory
    observer: AttemptObserver
    in_flight: int = field(default=0, init=False)
    is_closed: bool = field(default=False, init=False)
    _workers: list[ConnectionWorker] = field(factory=list, init=False)
    _draining: bool = field(default=False, init=False)
    _control_request_count: int = field(default=0, init=False)
    _last_probed_at_seconds: float = field(default=-math.inf, init=False)
    _group: TaskGroup | None = field(default=None, init=False)
    _queue_in: MemoryObjectSendStream[Attempt] = field(init=False)
    _queue_out: MemoryObjectReceiveStream[Attempt] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._queue_in, self._queue_out = anyio.create_memory_object_stream[Attempt](
            math.inf
        )

    @property
    def idle_connections(self) -> int:
        return int(self._queue_in.statistics().tasks_waiting_receive)

    @property
    def open_connections(self) -> int:
        """Connections that have received a valid reply and have not failed since."""
        return sum(worker.is_open for worker in self._workers)

    @property
    def queued(self) -> int:
        """Attempts that wait for an idle connection."""
        return int(self._queue_in.statistics().current_buffer_used)

    def send(self, attempt: Attempt) -> None:
        self.in_flight += 1
        attempt.queued_at_seconds = self.clock.monotonic_seconds()
        if self._draining or not self.open_connections:
            self.finish_attempt(
                attempt, AttemptLost(reason="no_connection", sent=False)
            )
            return
        self._queue_in.send_nowait(attempt)

    def cancel(self, attempt: Attempt) -> None:
        attempt.abandoned = True
        if attempt.finished or attempt.sent_at_seconds is None:
            return
        close_at_seconds = self.clock.monotonic_seconds() + LATE_REPLY_TIMEOUT_SECONDS
        for worker in self._workers:
            worker.limit_attempt(attempt, close_at_seconds)
        if self.idle_connections:
            self.send(self._new_cancel_request(attempt, close_at_seconds))

    async def run(self) -> None:
        """Keep the connections open until `drain` is called or the task ends."""
        async with anyio.create_task_group() as self._group:
            self._start_missing_workers()
        self.is_closed = True

    def resize(self, size: int) -> None:
        """Change the number of connections; running attempts end first."""
        self.size = size
        self._start_missing_workers()
        self.probe_idle_connections()

    def drain(self) -> None:
        """Accept no more attempts; each connection closes after its current one."""
        self._draining = True
        self.fail_queued_attempts()
        self._queue_in.close()

    def fail_queued_attempts(self) -> None:
        """End every attempt that waits for a connection, as not sent."""
        while True:
            try:
                attempt = self._queue_out.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream, anyio.ClosedResourceError):
                return
            self.finish_attempt(
                attempt, AttemptLost(reason="no_connection", sent=False)
            )

    def probe_idle_connections(self) -> None:
        """Send a status request over each idle connection."""
        self._last_probed_at_seconds = self.clock.monotonic_seconds()
        self._send_probes(self.idle_connections)

    def probe_once(self) -> None:
        """Send a status request over one connection, if one is idle."""
        self._send_probes(min(1, self.idle_connections))

    def maintain(self, now_seconds: float) -> None:
        """Close connections whose reply is overdue; probe long-idle connections."""
        idle = 0
        for worker in self._workers:
            worker.close_if_overdue(now_seconds)
            idle += worker.idle_seconds(now_seconds) > PROBE_AFTER_IDLE_SECONDS
        if not self._draining:
            self._send_probes(min(idle, self.idle_connections))

    def should_keep(self, worker: ConnectionWorker) -> bool:
        return not self._draining and worker.index < self.size

    def start_probe(self, timeout_seconds: float) -> Attempt:
        self.in_flight += 1
        return self._new_probe(self.clock.monotonic_seconds() + timeout_seconds)

    def finish_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self.in_flight -= 1
        running = [item.attempt for item in self._workers if item.attempt is not None]
        running = [item for item in (attempt, *running) if item.fingerprint]
        self.observer(
            AttemptEvent(
                replica=self.replica,
                attempt=attempt,
                outcome=outcome,
                latency_ms=self._latency_ms(attempt, outcome),
                in_flight=frozenset(item.fingerprint for item in running),
                solo=frozenset(item.fingerprint for item in running if item.solo),
            )
        )
        attempt.finish(outcome)

    def on_connection_closed(self, *, lost: bool) -> None:
        if not self.open_connections:
            self.fail_queued_attempts()
            return
        now = self.clock.monotonic_seconds()
        # The fault that broke one connection has often broken the idle ones too.
        if lost and now - self._last_probed_at_seconds >= MIN_PROBE_INTERVAL_SECONDS:
            self.probe_idle_connections()

    def _send_probes(self, count: int) -> None:
        now = self.clock.monotonic_seconds()
        for _ in range(count):
            self.send(self._new_probe(now + PROBE_TIMEOUT_SECONDS))

    def _start_missing_workers(self) -> None:
        if self._group is None or self._draining:
            return
        running_indexes = {worker.index for worker in self._workers}
        for index in range(self.size):
            if index not in running_indexes:
                self._group.start_soon(self._run_worker, self._new_worker(index))

    def _new_worker(self, index: int) -> ConnectionWorker:
        worker = ConnectionWorker(
            index=index,
            replica=self.replica,
            address=self.address,
            clock=self.clock,
            channels=self.channels,
            attempts=self._queue_out,
            host=self,
        )
        self._workers.append(worker)
        return worker

    async def _run_worker(self, worker: ConnectionWorker) -> None:
        await worker.run()
        self._workers.remove(worker)
        self._start_missing_workers()

    def _latency_ms(self, attempt: Attempt, outcome: AttemptOutcome) -> float | None:
        measured = attempt.abandoned or isinstance(outcome, BackendReply)
        if attempt.sent_at_seconds is None or not measured:
            return None
        elapsed_seconds = self.clock.monotonic_seconds() - attempt.sent_at_seconds
        return elapsed_seconds * MS_PER_SECOND

    def _new_probe(self, deadline_at_seconds: float) -> Attempt:
        self._control_request_count += 1
        return Attempt(
            request_id=f"probe-{self._control_request_count}",
            replica=self.replica,
            path=STATUS_PATH,
            body=b"",
            deadline_at_seconds=deadline_at_seconds,
        )

    def _new_cancel_request(self, attempt: Attempt, close_at_seconds: float) -> Attempt:
        self._control_request_count += 1
        return Attempt(
            request_id=f"cancel-{self._control_request_count}",
            replica=self.replica,
            path=CANCEL_PATH,
            body=encode_cancel(request_id=attempt.request_id),
            deadline_at_seconds=close_at_seconds,
        )
