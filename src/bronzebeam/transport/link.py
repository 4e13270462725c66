"""The connections of this entry to one backend server, one owner task each."""

import math
from collections.abc import Callable
from typing import Final, Protocol

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, field, frozen

from bronzebeam.clock import Clock
from bronzebeam.transport.attempt import (
    Attempt,
    AttemptLost,
    AttemptOutcome,
    LostReason,
)
from bronzebeam.transport.backend_protocol import (
    CANCEL_PATH,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    STATUS_PATH,
    BackendReply,
    BadReply,
    encode_cancel,
    parse_reply,
)
from bronzebeam.transport.channel import Channel, ChannelClosed, ChannelFactory

DRAIN_BOUND_SECONDS: Final = 0.25
PROBE_BOUND_SECONDS: Final = 1.0
IDLE_PROBE_SECONDS: Final = 10.0
STALE_IDLE_SECONDS: Final = 2.0
OPEN_STAGGER_SECONDS: Final = 0.01
REOPEN_FIRST_SECONDS: Final = 0.05
REOPEN_MOST_SECONDS: Final = 2.0
RETIRE_BOUND_SECONDS: Final = 30.0


@frozen(kw_only=True)
class LinkEvent:
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


LinkObserver = Callable[[LinkEvent], None]


class Link(Protocol):
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
class _Owner:
    """State of one owner task."""

    index: int
    attempt: Attempt | None = None
    last_used_seconds: float = 0.0
    give_up_at_seconds: float = math.inf
    scope: anyio.CancelScope | None = None
    waiting: bool = False
    open: bool = False


@define(kw_only=True, eq=False)
class ReplicaLink:
    """
    A fixed share of connections to one backend server.

    Attempts wait in one queue; each owner task takes the next one when its
    connection is free. `tick` must be called regularly: it bounds silent reads and
    probes idle connections.

    :ivar address: IP number and port of the backend server.
    :ivar share: connections that this entry may hold to it.
    """

    replica: str
    address: str
    share: int
    clock: Clock
    channels: ChannelFactory
    observer: LinkObserver
    in_flight: int = 0
    _owners: list[_Owner] = field(factory=list, init=False)
    _retiring: bool = field(default=False, init=False)
    _probe_count: int = field(default=0, init=False)

    _queue_in: MemoryObjectSendStream[Attempt] = field(init=False)
    _queue_out: MemoryObjectReceiveStream[Attempt] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._queue_in, self._queue_out = anyio.create_memory_object_stream[Attempt](
            math.inf
        )

    @property
    def free_connections(self) -> int:
        waiting = sum(owner.waiting for owner in self._owners)
        return max(0, waiting - self._queued)

    @property
    def open_connections(self) -> int:
        """Connections that have answered and have not broken since."""
        return sum(owner.open for owner in self._owners)

    def send(self, attempt: Attempt) -> None:
        self.in_flight += 1
        attempt.handed_over_seconds = self.clock.monotonic_seconds()
        try:
            self._queue_in.send_nowait(attempt)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            self._finish(attempt, AttemptLost(reason="no_connection", sent=False))

    def cancel(self, attempt: Attempt) -> None:
        attempt.abandoned = True
        if attempt.finished or attempt.sent_at_seconds is None:
            return
        give_up_at = self.clock.monotonic_seconds() + DRAIN_BOUND_SECONDS
        for owner in self._owners:
            if owner.attempt is attempt:
                owner.give_up_at_seconds = min(owner.give_up_at_seconds, give_up_at)
        if self.free_connections:
            self.send(self._cancel_message(attempt, give_up_at))

    async def run(self) -> None:
        """Keep the connections open until `retire` is called or the task ends."""
        self._owners = [_Owner(index=index) for index in range(self.share)]
        async with anyio.create_task_group() as group:
            for owner in self._owners:
                group.start_soon(self._own, owner)

    def retire(self) -> None:
        """Take no more work; connections close once their attempts are done."""
        self._retiring = True
        self._queue_in.close()

    def tick(self, now_seconds: float) -> None:
        """Close connections that are silent past their bound; probe idle ones."""
        for owner in self._owners:
            if now_seconds > owner.give_up_at_seconds and owner.scope is not None:
                owner.scope.cancel()
        idle = sum(
            owner.waiting and now_seconds - owner.last_used_seconds > IDLE_PROBE_SECONDS
            for owner in self._owners
        )
        if not self._retiring:
            for _ in range(min(idle, self.free_connections)):
                self.send(self._probe(now_seconds))

    @property
    def _queued(self) -> int:
        statistics = self._queue_in.statistics()
        return int(statistics.current_buffer_used)

    async def _own(self, owner: _Owner) -> None:
        await anyio.sleep(owner.index * OPEN_STAGGER_SECONDS)
        pause_seconds = REOPEN_FIRST_SECONDS
        while not self._retiring:
            channel = self.channels.new_channel(self.address)
            opened = False
            with anyio.CancelScope() as owner.scope:
                try:
                    opened = await self._greet(owner, channel)
                    if opened:
                        pause_seconds = REOPEN_FIRST_SECONDS
                        await self._serve(owner, channel)
                except ChannelClosed:
                    pass
            self._connection_ended(owner, opened)
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await channel.aclose()
            if not self._retiring:
                await anyio.sleep(pause_seconds)
                pause_seconds = min(pause_seconds * 2, REOPEN_MOST_SECONDS)

    async def _greet(self, owner: _Owner, channel: Channel) -> bool:
        probe = self._probe(self.clock.monotonic_seconds())
        self.in_flight += 1
        return await self._carry(owner, channel, probe)

    async def _serve(self, owner: _Owner, channel: Channel) -> None:
        while True:
            owner.waiting = True
            try:
                attempt = await self._queue_out.receive()
            except anyio.EndOfStream:
                return
            finally:
                owner.waiting = False
            if not await self._prepare(owner, channel, attempt):
                return
            if not attempt.finished and not await self._carry(owner, channel, attempt):
                return

    async def _prepare(self, owner: _Owner, channel: Channel, attempt: Attempt) -> bool:
        """Drop an attempt nobody waits for; probe before a non-idempotent one."""
        now = self.clock.monotonic_seconds()
        if attempt.abandoned or now >= attempt.deadline_at_seconds:
            self._finish(attempt, AttemptLost(reason="timeout", sent=False))
            return True
        if attempt.idempotent or now - owner.last_used_seconds < STALE_IDLE_SECONDS:
            return True
        probe = self._probe(now)
        self.in_flight += 1
        alive = False
        try:
            alive = await self._carry(owner, channel, probe)
        finally:
            if not alive:
                self._finish(attempt, AttemptLost(reason="no_connection", sent=False))
        now = self.clock.monotonic_seconds()
        if alive and (attempt.abandoned or now >= attempt.deadline_at_seconds):
            self._finish(attempt, AttemptLost(reason="timeout", sent=False))
        return alive

    async def _carry(self, owner: _Owner, channel: Channel, attempt: Attempt) -> bool:
        """Exchange one attempt; return whether the connection is still usable."""
        now = self.clock.monotonic_seconds()
        owner.attempt = attempt
        owner.give_up_at_seconds = attempt.deadline_at_seconds + DRAIN_BOUND_SECONDS
        attempt.sent_at_seconds = now
        remaining_ms = max(1, round((attempt.deadline_at_seconds - now) * 1000))
        response = await channel.exchange(
            method="POST" if attempt.body else "GET",
            path=attempt.path,
            headers=(
                (REQUEST_ID_HEADER, attempt.request_id.encode()),
                (DEADLINE_HEADER, str(remaining_ms).encode()),
                *attempt.headers,
            ),
            body=attempt.body,
        )
        parsed = parse_reply(
            replica=self.replica,
            request_id=attempt.request_id,
            status=response.status,
            body=response.body,
        )
        owner.last_used_seconds = self.clock.monotonic_seconds()
        owner.give_up_at_seconds = math.inf
        owner.attempt = None
        owner.open = not isinstance(parsed, BadReply)
        self._finish(attempt, parsed)
        return owner.open

    def _connection_ended(self, owner: _Owner, opened: bool) -> None:
        attempt, owner.attempt = owner.attempt, None
        owner.open = False
        timed_out = (
            owner.scope is not None and owner.scope.cancelled_caught
        ) or self.clock.monotonic_seconds() > owner.give_up_at_seconds
        owner.give_up_at_seconds = math.inf
        owner.scope = None
        if attempt is not None:
            reason: LostReason = "connection_lost" if opened else "no_connection"
            if timed_out:
                reason = "timeout"
            self._finish(attempt, AttemptLost(reason=reason, sent=opened))
        if self.open_connections == 0:
            self._fail_queued()

    def _fail_queued(self) -> None:
        while True:
            try:
                attempt = self._queue_out.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream, anyio.ClosedResourceError):
                return
            self._finish(attempt, AttemptLost(reason="no_connection", sent=False))

    def _finish(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self.in_flight -= 1
        latency_ms = None
        measured = attempt.abandoned or isinstance(outcome, BackendReply)
        if attempt.sent_at_seconds is not None and measured:
            elapsed = self.clock.monotonic_seconds() - attempt.sent_at_seconds
            latency_ms = elapsed * 1000
        running = [item.attempt for item in self._owners if item.attempt is not None]
        running = [item for item in (attempt, *running) if item.fingerprint]
        self.observer(
            LinkEvent(
                replica=self.replica,
                attempt=attempt,
                outcome=outcome,
                latency_ms=latency_ms,
                in_flight=frozenset(item.fingerprint for item in running),
                solo=frozenset(item.fingerprint for item in running if item.solo),
            )
        )
        attempt.finish(outcome)

    def _probe(self, now_seconds: float) -> Attempt:
        self._probe_count += 1
        return Attempt(
            request_id=f"probe-{self._probe_count}",
            replica=self.replica,
            path=STATUS_PATH,
            body=b"",
            deadline_at_seconds=now_seconds + PROBE_BOUND_SECONDS,
        )

    def _cancel_message(self, attempt: Attempt, give_up_at: float) -> Attempt:
        self._probe_count += 1
        return Attempt(
            request_id=f"cancel-{self._probe_count}",
            replica=self.replica,
            path=CANCEL_PATH,
            body=encode_cancel(request_id=attempt.request_id),
            deadline_at_seconds=give_up_at,
        )
