"""The task that maintains one connection to a backend server."""

import math
from typing import Final, Protocol

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
from attrs import define, field

from bronzebeam.clock import Clock
from bronzebeam.transport.attempt import (
    Attempt,
    AttemptLost,
    AttemptOutcome,
    LostReason,
)
from bronzebeam.transport.backend_protocol import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    BadReply,
    parse_reply,
)
from bronzebeam.transport.channel import Channel, ChannelClosed, ChannelFactory
from bronzebeam.units import MS_PER_SECOND

# An attempt past its deadline, or abandoned, may run on for this long: a late reply
# saves the connection, which is closed otherwise.
LATE_REPLY_TIMEOUT_SECONDS: Final = 0.25
PROBE_TIMEOUT_SECONDS: Final = 1.0
REVALIDATION_TIMEOUT_SECONDS: Final = 0.15
# A connection idle for longer is probed before a non-idempotent request.
REVALIDATE_AFTER_IDLE_SECONDS: Final = 2.0
OPEN_STAGGER_SECONDS: Final = 0.01
MIN_RECONNECT_DELAY_SECONDS: Final = 0.05
MAX_RECONNECT_DELAY_SECONDS: Final = 2.0
CLOSE_TIMEOUT_SECONDS: Final = 1.0


class WorkerHost(Protocol):
    """The part of a connection pool that its workers use."""

    def should_keep(self, worker: "ConnectionWorker") -> bool:
        """Return whether `worker` should continue to maintain its connection."""

    def start_probe(self, timeout_seconds: float) -> Attempt:
        """Create a status request and count it as in flight."""

    def finish_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Report the outcome of an attempt."""

    def on_connection_closed(self, *, lost: bool) -> None:
        """
        Handle the end of a connection.

        :param lost: whether the connection had been open and failed or timed out
            while it carried an attempt.
        """


@define(kw_only=True, eq=False)
class ConnectionWorker:
    """
    Opens one connection, sends attempts over it one at a time, and reopens it.

    :ivar index: number of the connection in its pool; connections with a higher
        number are opened later, so that they do not all open at once.
    :ivar attempts: queue that all workers of the pool take attempts from.
    :ivar is_open: whether the connection has received a valid reply and has not
        failed since.
    :ivar is_waiting: whether the worker waits for an attempt.
    :ivar attempt: attempt that the connection carries at present.
    """

    index: int
    replica: str
    address: str
    clock: Clock
    channels: ChannelFactory
    attempts: MemoryObjectReceiveStream[Attempt]
    host: WorkerHost
    is_open: bool = field(default=False, init=False)
    is_waiting: bool = field(default=False, init=False)
    attempt: Attempt | None = field(default=None, init=False)
    last_used_seconds: float = field(default=0.0, init=False)
    _close_at_seconds: float = field(default=math.inf, init=False)
    _scope: anyio.CancelScope | None = field(default=None, init=False)

    async def run(self) -> None:
        """Keep the connection open for as long as the pool keeps this worker."""
        await anyio.sleep(self.index * OPEN_STAGGER_SECONDS)
        pause_seconds = MIN_RECONNECT_DELAY_SECONDS
        while self.host.should_keep(self):
            if await self._run_connection():
                pause_seconds = MIN_RECONNECT_DELAY_SECONDS
            if self.host.should_keep(self):
                await anyio.sleep(pause_seconds)
                pause_seconds = min(pause_seconds * 2, MAX_RECONNECT_DELAY_SECONDS)

    def idle_seconds(self, now_seconds: float) -> float:
        """Return the time since the last reply, or 0 if the connection is in use."""
        return now_seconds - self.last_used_seconds if self.is_waiting else 0.0

    def limit_attempt(self, attempt: Attempt, close_at_seconds: float) -> None:
        """Close the connection at `close_at_seconds` if `attempt` still runs then."""
        if self.attempt is attempt:
            self._close_at_seconds = min(self._close_at_seconds, close_at_seconds)

    def close_if_overdue(self, now_seconds: float) -> None:
        """Close the connection if the reply to its attempt is overdue."""
        if now_seconds > self._close_at_seconds and self._scope is not None:
            self._scope.cancel()

    async def _run_connection(self) -> bool:
        """Open and use one connection; return whether the server ever replied."""
        channel = self.channels.new_channel(self.address)
        opened = False
        with anyio.CancelScope() as self._scope:
            try:
                opened = await self._check_new_connection(channel)
                if opened:
                    await self._serve(channel)
            except ChannelClosed:
                pass
        self._handle_end(opened)
        with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            await channel.aclose()
        return opened

    async def _check_new_connection(self, channel: Channel) -> bool:
        return await self._probe(channel, PROBE_TIMEOUT_SECONDS)

    async def _probe(self, channel: Channel, timeout_seconds: float) -> bool:
        """Send a status request; return whether the connection is usable."""
        probe = self.host.start_probe(timeout_seconds)
        return await self._run_attempt(channel, probe, probe.deadline_at_seconds)

    async def _serve(self, channel: Channel) -> None:
        while self.host.should_keep(self):
            self.is_waiting = True
            try:
                attempt = await self.attempts.receive()
            except anyio.EndOfStream:
                return
            finally:
                self.is_waiting = False
            if not await self._prepare(channel, attempt):
                return
            if attempt.finished:
                continue
            close_at_seconds = attempt.deadline_at_seconds + LATE_REPLY_TIMEOUT_SECONDS
            if not await self._run_attempt(channel, attempt, close_at_seconds):
                return

    async def _prepare(self, channel: Channel, attempt: Attempt) -> bool:
        """
        Check that `attempt` can be sent; return whether the connection is usable.

        An attempt that was abandoned or is past its deadline is dropped. Before a
        non-idempotent attempt, a connection that has been idle is probed first: if
        it turned out dead only after the request was sent, it would be unknown
        whether the request ran.
        """
        if self._drop_if_expired(attempt) or attempt.idempotent:
            return True
        now = self.clock.monotonic_seconds()
        if now - self.last_used_seconds < REVALIDATE_AFTER_IDLE_SECONDS:
            return True
        alive = False
        try:
            alive = await self._probe(channel, REVALIDATION_TIMEOUT_SECONDS)
        finally:
            if not alive:
                lost = AttemptLost(reason="no_connection", sent=False)
                self.host.finish_attempt(attempt, lost)
        if alive:
            self._drop_if_expired(attempt)
        return alive

    def _drop_if_expired(self, attempt: Attempt) -> bool:
        now = self.clock.monotonic_seconds()
        if not attempt.abandoned and now < attempt.deadline_at_seconds:
            return False
        self.host.finish_attempt(attempt, AttemptLost(reason="timeout", sent=False))
        return True

    async def _run_attempt(
        self, channel: Channel, attempt: Attempt, close_at_seconds: float
    ) -> bool:
        """Send one attempt; return whether the connection is still usable."""
        now = self.clock.monotonic_seconds()
        self.attempt = attempt
        self._close_at_seconds = close_at_seconds
        attempt.sent_at_seconds = now
        remaining_seconds = attempt.deadline_at_seconds - now
        remaining_ms = max(1, round(remaining_seconds * MS_PER_SECOND))
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
        self.last_used_seconds = self.clock.monotonic_seconds()
        self._close_at_seconds = math.inf
        self.attempt = None
        self.is_open = not isinstance(parsed, BadReply)
        self.host.finish_attempt(attempt, parsed)
        return self.is_open

    def _handle_end(self, opened: bool) -> None:
        """Report the end of the connection, and of the attempt it carried, if any."""
        attempt, self.attempt = self.attempt, None
        self.is_open = False
        timed_out = self.clock.monotonic_seconds() > self._close_at_seconds
        self._close_at_seconds = math.inf
        self._scope = None
        if attempt is not None:
            reason: LostReason = "connection_lost" if opened else "no_connection"
            if timed_out:
                reason = "timeout"
            self.host.finish_attempt(attempt, AttemptLost(reason=reason, sent=opened))
        self.host.on_connection_closed(lost=opened and attempt is not None)
