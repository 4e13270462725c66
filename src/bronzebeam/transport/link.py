"""The connections of this entry to one backend server."""

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
from bronzebeam.transport.owner import (
    LATE_REPLY_TIMEOUT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    ConnectionWorker,
)
from bronzebeam.units import MS_PER_SECOND

IDLE_PROBE_SECONDS: Final = 30.0
PROBE_ALL_AGAIN_SECONDS: Final = 1.0


@frozen(kw_only=True)
class AttemptEvent:
    """
    What happened to an attempt, for the controller of backend state.

    :ivar latency_ms: from the first byte sent to the whole reply, or to the end of
        an attempt given up; None without either.
    :ivar in_flight: fingerprints that were running at this replica at that moment.
    :ivar solo: those of them that were sent as suspects.
    """

    replica: str
    attempt: Attempt
    outcome: AttemptOutcome
    latency_ms: float | None
    in_flight: frozenset[str] = frozenset()
    solo: frozenset[str] = frozenset()


AttemptObserver = Callable[[AttemptEvent], None]


class BackendPool(Protocol):
    """What routing sees of a replica's connections."""

    @property
    def free_connections(self) -> int:
        """Connections that wait for work."""

    @property
    def in_flight(self) -> int:
        """Attempts handed over and not finished."""

    def send(self, attempt: Attempt) -> None:
        """Hand `attempt` to the first free connection; never blocks."""

    def cancel(self, attempt: Attempt) -> None:
        """Give up `attempt`; its result is no longer reported to the asker."""


@define(kw_only=True, eq=False)
class BackendConnectionPool:
    """
    A share of connections to one backend server, with an owner task each.

    Attempts wait in one queue; each owner takes the next one when its connection is
    free. `tick` must be called regularly: it bounds silent reads and probes idle
    connections.

    :ivar address: IP number and port of the backend server.
    :ivar share: connections that this entry may hold to it; see `resize`.
    :ivar ended: every connection is closed after `retire`.
    """

    replica: str
    address: str
    share: int
    clock: Clock
    channels: ChannelFactory
    observer: AttemptObserver
    in_flight: int = field(default=0, init=False)
    ended: bool = field(default=False, init=False)
    _owners: list[ConnectionWorker] = field(factory=list, init=False)
    _retiring: bool = field(default=False, init=False)
    _messages: int = field(default=0, init=False)
    _probed_at_seconds: float = field(default=-math.inf, init=False)
    _group: TaskGroup | None = field(default=None, init=False)
    _queue_in: MemoryObjectSendStream[Attempt] = field(init=False)
    _queue_out: MemoryObjectReceiveStream[Attempt] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._queue_in, self._queue_out = anyio.create_memory_object_stream[Attempt](
            math.inf
        )

    @property
    def free_connections(self) -> int:
        return int(self._queue_in.statistics().tasks_waiting_receive)

    @property
    def open_connections(self) -> int:
        """Connections that have answered and have not broken since."""
        return sum(owner.open for owner in self._owners)

    @property
    def queued(self) -> int:
        """Attempts that wait for a connection."""
        return int(self._queue_in.statistics().current_buffer_used)

    def send(self, attempt: Attempt) -> None:
        self.in_flight += 1
        attempt.handed_over_seconds = self.clock.monotonic_seconds()
        if self._retiring or not self.open_connections:
            self.finish(attempt, AttemptLost(reason="no_connection", sent=False))
            return
        self._queue_in.send_nowait(attempt)

    def cancel(self, attempt: Attempt) -> None:
        attempt.abandoned = True
        if attempt.finished or attempt.sent_at_seconds is None:
            return
        give_up_at = self.clock.monotonic_seconds() + LATE_REPLY_TIMEOUT_SECONDS
        for owner in self._owners:
            owner.give_up(attempt, give_up_at)
        if self.free_connections:
            self.send(self._cancel_message(attempt, give_up_at))

    async def run(self) -> None:
        """Keep the connections open until `retire` is called or the task ends."""
        async with anyio.create_task_group() as self._group:
            self._add_owners()
        self.ended = True

    def resize(self, share: int) -> None:
        """Open or close connections until there are `share`, none in mid-request."""
        self.share = share
        self._add_owners()
        self.probe_all()

    def retire(self) -> None:
        """Take no more work; connections close once their attempts are done."""
        self._retiring = True
        self.return_queued()
        self._queue_in.close()

    def return_queued(self) -> None:
        """Report every attempt that waits for a connection as not sent."""
        while True:
            try:
                attempt = self._queue_out.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream, anyio.ClosedResourceError):
                return
            self.finish(attempt, AttemptLost(reason="no_connection", sent=False))

    def probe_all(self) -> None:
        """Ask for the status over each free connection."""
        self._probed_at_seconds = self.clock.monotonic_seconds()
        self._send_probes(self.free_connections)

    def probe_once(self) -> None:
        """Ask for the status over one connection, if one is free."""
        self._send_probes(min(1, self.free_connections))

    def tick(self, now_seconds: float) -> None:
        """Close connections that are silent past their bound; probe idle ones."""
        idle = 0
        for owner in self._owners:
            owner.close_if_silent(now_seconds)
            idle += owner.idle_seconds(now_seconds) > IDLE_PROBE_SECONDS
        if not self._retiring:
            self._send_probes(min(idle, self.free_connections))

    def keeps(self, owner: ConnectionWorker) -> bool:
        return not self._retiring and owner.index < self.share

    def begin_probe(self, bound_seconds: float) -> Attempt:
        self.in_flight += 1
        return self._probe(self.clock.monotonic_seconds() + bound_seconds)

    def finish(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self.in_flight -= 1
        running = [item.attempt for item in self._owners if item.attempt is not None]
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

    def connection_ended(self, *, lost: bool) -> None:
        if not self.open_connections:
            self.return_queued()
            return
        now = self.clock.monotonic_seconds()
        # What took one connection has often taken the idle ones beside it.
        if lost and now - self._probed_at_seconds >= PROBE_ALL_AGAIN_SECONDS:
            self.probe_all()

    def _send_probes(self, count: int) -> None:
        now = self.clock.monotonic_seconds()
        for _ in range(count):
            self.send(self._probe(now + PROBE_TIMEOUT_SECONDS))

    def _add_owners(self) -> None:
        if self._group is None or self._retiring:
            return
        present = {owner.index for owner in self._owners}
        for index in range(self.share):
            if index not in present:
                self._group.start_soon(self._run_owner, self._new_owner(index))

    def _new_owner(self, index: int) -> ConnectionWorker:
        owner = ConnectionWorker(
            index=index,
            replica=self.replica,
            address=self.address,
            clock=self.clock,
            channels=self.channels,
            queue=self._queue_out,
            host=self,
        )
        self._owners.append(owner)
        return owner

    async def _run_owner(self, owner: ConnectionWorker) -> None:
        await owner.run()
        self._owners.remove(owner)
        self._add_owners()

    def _latency_ms(self, attempt: Attempt, outcome: AttemptOutcome) -> float | None:
        measured = attempt.abandoned or isinstance(outcome, BackendReply)
        if attempt.sent_at_seconds is None or not measured:
            return None
        elapsed_seconds = self.clock.monotonic_seconds() - attempt.sent_at_seconds
        return elapsed_seconds * MS_PER_SECOND

    def _probe(self, deadline_at_seconds: float) -> Attempt:
        self._messages += 1
        return Attempt(
            request_id=f"probe-{self._messages}",
            replica=self.replica,
            path=STATUS_PATH,
            body=b"",
            deadline_at_seconds=deadline_at_seconds,
        )

    def _cancel_message(self, attempt: Attempt, give_up_at: float) -> Attempt:
        self._messages += 1
        return Attempt(
            request_id=f"cancel-{self._messages}",
            replica=self.replica,
            path=CANCEL_PATH,
            body=encode_cancel(request_id=attempt.request_id),
            deadline_at_seconds=give_up_at,
        )
