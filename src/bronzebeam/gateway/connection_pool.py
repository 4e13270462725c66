"""Pool of persistent connections to one server, which requests share."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from attrs import define, field

from bronzebeam.routing.replica_reach import ReplicaLink
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.http_reply import ClientConnection, ReplyMemory
from bronzebeam.units import MS_PER_SECOND

UNREACHABLE: Final = "unreachable"
LAST_USE_OVER: Final = "replica_left"
CONNECT_TIMEOUT_SECONDS: Final = 0.4  # many round trips, but far less than a deadline
# A server at its connection limit accepts a connection and closes it at once.
MAX_REFUSAL_SECONDS: Final = 0.5
MIN_RECONNECT_DELAY_SECONDS: Final = 0.1  # finds a restarted server soon
MAX_RECONNECT_DELAY_SECONDS: Final = 1.0  # retries an unavailable server each second
# Connections that are kept open are tried more often than this.
FAILURE_MEMORY_SECONDS: Final = 3.0
# Idle connections are closed this long before the server's keep-alive timeout, so that
# the server doesn't close one while a request is on its way.
KEEP_ALIVE_MARGIN_SECONDS: Final = 0.4
DEFAULT_KEEP_ALIVE_SECONDS: Final = 20.0  # for servers that announce no timeout
# A connection that was idle for longer may have been dropped without notice.
MAX_FRESH_IDLE_SECONDS: Final = 4.0


class Connect(Protocol):
    """Opens connections; each reports to its owner when it is idle or closed."""

    async def __call__(
        self, *, host: str, port: int, owner: "ConnectionPool"
    ) -> ClientConnection:
        """
        Open a connection.

        :raises OSError: if the server does not accept it.
        """


@define(kw_only=True, eq=False, repr=False)
class PendingSend:
    """
    A request waiting for a free connection.

    :ivar on_connection: called with the connection to send the request on.
    :ivar on_unsent: called with the cause if the request can't be sent.
    """

    on_connection: Callable[[ClientConnection], None]
    on_unsent: Callable[[str], None]
    cancelled: bool = False


@define(kw_only=True, eq=False, repr=False)
class LinkTimes:
    """
    When links to servers were last seen to work and to fail; pools may share it.

    :ivar proven_at_seconds: monotonic time of the latest reply or new connection.
    :ivar failed_at_seconds: monotonic time of the latest failure to connect.
    """

    proven_at_seconds: float = -math.inf
    failed_at_seconds: float = -math.inf


@define(kw_only=True, eq=False, repr=False)
class ConnectionPool:
    """
    The connections to one server.

    :ivar name: name of the server in log lines.
    :ivar max_connections: number of connections that may be open at a time.
    :ivar closing: connections are closed as soon as they are idle.
    :ivar is_kept_open: connections that are missing are opened in the background, so
        that requests need not find out whether that succeeds.
    :ivar last_use_seconds: monotonic time after which requests that still wait must not
        be sent.
    :ivar reply_memory: shared with the pools of similar servers.
    :ivar link_times: shared with the pools of similar servers.
    :ivar idle: connections without a request in flight.
    :ivar busy: monotonic send time of the request on each busy connection, the oldest
        first.
    :ivar waiting: requests without a connection, the oldest first.
    :ivar opened_at_seconds: monotonic time at which the latest connection was opened.
    :ivar failed_at_seconds: monotonic time of the latest failure to open one.
    """

    name: str
    host: str
    port: int
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    max_connections: int = 2
    closing: bool = False
    is_kept_open: bool = False
    last_use_seconds: float = math.inf
    reply_memory: ReplyMemory = field(factory=ReplyMemory)
    link_times: LinkTimes = field(factory=LinkTimes)
    idle: list[ClientConnection] = field(factory=list)
    busy: dict[ClientConnection, float] = field(factory=dict)
    waiting: deque[PendingSend] = field(factory=deque)
    opened_at_seconds: float = -math.inf
    failed_at_seconds: float = -math.inf
    _latest_answered_sent_at_seconds: float = 0.0
    _proven_at_seconds: float = 0.0
    _opening: int = 0
    _is_suspended: bool = False
    _connect_failures: int = 0
    _retry_at_seconds: float = 0.0
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self.idle) + len(self.busy)

    @property
    def is_opening(self) -> bool:
        """Whether a connection is being opened."""
        return self._opening > 0

    @property
    def in_flight(self) -> int:
        """Return the number of requests waiting for a reply or a connection."""
        return len(self.busy) + len(self.waiting)

    @property
    def is_reachable(self) -> bool:
        """Whether a connection is open, or opening one may succeed."""
        if self._is_suspended:
            return False
        if self.idle or self.busy:
            return True
        if self._connect_failures and self.is_kept_open:
            return False
        return self.loop.time() >= self._retry_at_seconds

    def stalled_ms(self, now_seconds: float) -> float:
        """
        Return how long the server has made no progress.

        That is the age of the oldest request sent later than every answered one; 0 if
        there is none.
        """
        sent_at = self._unanswered_since_seconds()
        return 0.0 if sent_at is None else (now_seconds - sent_at) * MS_PER_SECOND

    def sent_since(self, at_seconds: float) -> int:
        """Return how many requests in flight were sent since a time, or wait."""
        count = len(self.waiting)
        for sent_at in reversed(self.busy.values()):
            if sent_at < at_seconds:
                break
            count += 1
        return count

    def link(self) -> ReplicaLink:
        """Return what shows whether the server can be reached."""
        return ReplicaLink(
            unanswered_since_seconds=self._unanswered_since_seconds(),
            proven_at_seconds=self._proven_at_seconds,
            is_open=self.open_connections > 0 and not self._is_suspended,
            is_failing=self._is_suspended or self._has_failed_lately(),
        )

    def _has_failed_lately(self) -> bool:
        # A server that closes a connection at once can be reached, but is full.
        age_seconds = self.loop.time() - self.failed_at_seconds
        return self._connect_failures > 0 and age_seconds < FAILURE_MEMORY_SECONDS

    def _unanswered_since_seconds(self) -> float | None:
        for sent_at in self.busy.values():
            if sent_at > self._latest_answered_sent_at_seconds:
                return sent_at
        return None

    def acquire(self, pending: PendingSend, *, require_fresh: bool) -> None:
        """
        Give `pending` a connection now, or as soon as one is free.

        :param require_fresh: don't use connections that were idle for long. The server
            may have dropped them unnoticed, and a request that must not be repeated
            would be lost.
        """
        connection = self._take_idle(require_fresh=require_fresh)
        if connection is not None:
            pending.on_connection(connection)
            return
        if self._is_suspended or not (self.is_reachable or self._opening):
            pending.on_unsent(UNREACHABLE)
            return
        self.waiting.append(pending)
        if self.open_connections + self._opening < self.max_connections:
            self.open()
        elif not self.busy and not self._opening:
            self.fail_waiting(UNREACHABLE)

    def record_sent(self, connection: ClientConnection, now_seconds: float) -> None:
        """Record that a request was sent on a connection."""
        self.busy[connection] = now_seconds

    def record_reply(self, sent_at_seconds: float) -> None:
        """Record that the request sent at this time was answered."""
        self._latest_answered_sent_at_seconds = max(
            self._latest_answered_sent_at_seconds, sent_at_seconds
        )
        self._record_proof()
        if self._connect_failures:
            self.log.event("server_reachable", server=self.name)
            self._connect_failures = 0

    def close_stuck(self, now_seconds: float, max_seconds: float) -> None:
        """Close connections whose request has been in flight for too long."""
        for connection, sent_at in list(self.busy.items()):
            if now_seconds - sent_at <= max_seconds:
                break
            self.log.event(
                "exchange_stuck",
                server=self.name,
                waited_ms=round((now_seconds - sent_at) * MS_PER_SECOND),
            )
            connection.close()

    def open(self) -> None:
        """Open one more connection in the background."""
        self._opening += 1
        task = self.loop.create_task(self._open())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def keep_warm(self, now_seconds: float, wanted: int) -> int:
        """
        Open connections up to `wanted`, unless the server was just unreachable.

        :return: number of connections being opened.
        """
        self._close_stale(now_seconds)
        if now_seconds < self._retry_at_seconds:
            return 0
        if self._is_suspended and wanted:
            # Connections on which nothing comes count as open, but tell nothing.
            return self._open_missing(self.open_connections + 1)
        return self._open_missing(min(wanted, self.max_connections))

    def _open_missing(self, wanted: int) -> int:
        missing = max(0, wanted - self.open_connections - self._opening)
        for _ in range(missing):
            self.open()
        return missing

    def suspend(self) -> None:
        """
        Send nothing until the server is known to be reachable again.

        A new connection shows that, or a reply on one that is busy.
        """
        self._is_suspended = True
        self.close()

    def resume(self) -> None:
        """Send requests again, after `suspend`; failures since then tell nothing."""
        self._is_suspended = False
        self._connect_failures = 0
        self._retry_at_seconds = self.loop.time()

    def close(self) -> None:
        """Close idle connections; busy ones finish their request first."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
        self.fail_waiting(UNREACHABLE)

    # Called by connections.

    def on_connection_idle(self, connection: ClientConnection) -> None:
        """Use a connection for the next request, or keep it in the pool."""
        self.busy.pop(connection, None)
        self.fail_overdue()
        if self.closing and not self.waiting:
            connection.close()
            return
        pending = self._next_waiting()
        if pending is not None:
            pending.on_connection(connection)
        else:
            self.idle.append(connection)

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        self.busy.pop(connection, None)
        age_seconds = self.loop.time() - connection.opened_at_seconds
        if (
            connection.closed_by_server
            and not connection.proven
            and age_seconds < MAX_REFUSAL_SECONDS
        ):
            self._record_connect_failure("closed_at_once")
            self._retry_at_seconds = self.loop.time() + MAX_RECONNECT_DELAY_SECONDS
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting and not self.open_connections and not self._opening:
            if connection.proven:
                self.open()
            else:
                self.fail_waiting(UNREACHABLE)

    def _take_idle(self, *, require_fresh: bool) -> ClientConnection | None:
        now_seconds = self.loop.time()
        while self.idle:
            connection = self.idle.pop()
            idle_seconds = now_seconds - connection.idle_since_seconds
            if connection.closed or _is_stale(connection, idle_seconds):
                connection.close()
            elif require_fresh and idle_seconds > MAX_FRESH_IDLE_SECONDS:
                connection.close()
            else:
                return connection
        return None

    def _close_stale(self, now_seconds: float) -> None:
        for connection in list(self.idle):
            if _is_stale(connection, now_seconds - connection.idle_since_seconds):
                self.idle.remove(connection)
                connection.close()

    def _next_waiting(self) -> PendingSend | None:
        while self.waiting:
            pending = self.waiting.popleft()
            if not pending.cancelled:
                return pending
        return None

    def fail_overdue(self) -> None:
        """Give up the requests that wait, if the last use of the server is over."""
        if self.waiting and self.loop.time() > self.last_use_seconds:
            self.fail_waiting(LAST_USE_OVER)

    def fail_waiting(self, cause: str) -> None:
        """Give up the requests that are waiting for a connection now."""
        waiting, self.waiting = self.waiting, deque()
        for pending in waiting:
            if not pending.cancelled:
                pending.on_unsent(cause)

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                connection = await self.connect(
                    host=self.host, port=self.port, owner=self
                )
        except Exception as error:
            # Counted as still being opened, it would keep its place in the pool.
            self._opening -= 1
            self.failed_at_seconds = self.loop.time()
            self.link_times.failed_at_seconds = self.failed_at_seconds
            self._record_connect_failure(str(error) or type(error).__name__)
            return
        self._opening -= 1
        self.opened_at_seconds = self.loop.time()
        self._record_proof()
        if not connection.closed:
            self.on_connection_idle(connection)

    def _record_proof(self) -> None:
        """Record that the server can be reached."""
        self._is_suspended = False
        self._proven_at_seconds = self.loop.time()
        self.link_times.proven_at_seconds = self._proven_at_seconds

    def _record_connect_failure(self, cause: str) -> None:
        self._connect_failures += 1
        delay_seconds = min(
            MIN_RECONNECT_DELAY_SECONDS * 2 ** (self._connect_failures - 1),
            MAX_RECONNECT_DELAY_SECONDS,
        )
        self._retry_at_seconds = self.loop.time() + delay_seconds
        if self._connect_failures == 1:
            self.log.event(
                "server_unreachable",
                server=self.name,
                cause=cause,
                open_connections=self.open_connections,
            )
        if not self.open_connections and not self._opening:
            self.fail_waiting(UNREACHABLE)


def _is_stale(connection: ClientConnection, idle_seconds: float) -> bool:
    keep_alive_seconds = connection.keep_alive_seconds
    if keep_alive_seconds is None:
        keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
    return idle_seconds > keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS
