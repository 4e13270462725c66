"""Stand-in of a replica, with the platform's protocol and injected faults."""

import hashlib
from collections.abc import Callable
from enum import Enum
from typing import Any

from attrs import define, field

from tests.standin_http import StandinConnection, StandinRequest

ATTEMPT_ID_HEADER = "X-Bronzebeam-Attempt-Id"
SIGNATURE_HEADER = "X-Bronzebeam-Replica-Signature"
LEAVING_HEADER = "Server-Leaving"
LIMIT_HEADER = "Server-Limit"
KEY_HEADER = "X-Bronzebeam-Key"
ACCOUNT_HEADER = "X-Bronzebeam-Tenant-Name"
LOAD_HEADER = "X-Bronzebeam-Replica-Load"
NOT_EXECUTED_HEADER = "X-Bronzebeam-Not-Executed"
RESTART_SECONDS = 2.0
ENDLESS_WRITE_BYTES = 64 * 1024
ENDLESS_WRITE_SECONDS = 0.001


class Fault(Enum):
    """Fault to inject into the handling of one request."""

    NONE = "none"
    SHED = "shed"  # 503 with the header that says "not executed"
    ERROR = "error"
    RESET = "reset_after_run"
    CRASH = "crash"
    CRASH_IN_ANSWER = "crash_in_answer"  # after the first bytes of its reply
    UNRESPONSIVE = "silent"
    TRUNCATED = "truncated"
    UNFRAMED = "unframed"  # no Content-Length; connection closed
    UNFRAMED_RESET = "unframed_reset"  # no Content-Length; connection reset
    EXTRA = "extra_reply"  # a second reply follows the first
    EXTRA_JOINED = "extra_joined_reply"  # a second reply in the same write
    EXTRA_LATE = "extra_late_reply"  # a second reply 50 ms later
    GARBAGE = "garbage"
    # Bytes that come without end until the other side closes the connection:
    ENDLESS_HEAD = "endless_head"  # headers
    ENDLESS_HEADER = "endless_header"  # one header's value
    ENDLESS_INTERIM = "endless_interim"  # interim replies
    ENDLESS_BODY = "endless_body"  # of no stated length
    ENDLESS_CHUNK = "endless_chunk"  # the extension of one chunk
    WRONG_ID = "other_id"  # the reply has the attempt id of another request
    NO_SIGNATURE = "no_signature"


# What an endless reply starts with, and what comes again and again.
ENDLESS_PARTS = {
    Fault.ENDLESS_HEAD: (b"HTTP/1.1 200 OK\r\n", b"x-more: and more\r\n"),
    Fault.ENDLESS_HEADER: (b"HTTP/1.1 200 OK\r\nx-long: ", b"0123456789abcdef"),
    Fault.ENDLESS_INTERIM: (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    Fault.ENDLESS_BODY: (b"HTTP/1.1 200 OK\r\n\r\n", b"0123456789abcdef"),
    Fault.ENDLESS_CHUNK: (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
        b"0123456789abcdef",
    ),
}


def no_fault(request: StandinRequest) -> Fault:
    return Fault.NONE


def fault_once(fault: Fault) -> Callable[[Any], Fault]:
    """Return a fault function that injects a fault into the first request only."""
    remaining = [fault]

    def choose(request: Any) -> Fault:
        return remaining.pop() if remaining else Fault.NONE

    return choose


def crash_on(path: str) -> Callable[[StandinRequest], Fault]:
    """Return a fault function that crashes the replica on requests for `path`."""
    return lambda request: Fault.CRASH if request.target == path else Fault.NONE


def fault_always(fault: Fault) -> Callable[[Any], Fault]:
    return lambda request: fault


@define(kw_only=True, eq=False)
class Run:
    """A request that the replica has started to run."""

    attempt_id: str
    method: str
    target: str
    body: bytes
    remaining_ms: float
    started_at_seconds: float
    aborted: bool = False


@define(kw_only=True, eq=False)
class StandinReplica:
    """
    One process of a replica.

    :ivar work_seconds: processing time of a request.
    :ivar paused_until_seconds: time until which no request makes progress.
    :ivar received_ids: attempt ids of all requests received, including rejected ones.
    :ivar leaving: states in all replies that it is about to stop.
    :ivar pause: turns requests away, with this value of Retry-After.
    :ivar limit: names this limit on requests a second in all replies; empty for none.
    :ivar states_load: states its load in all replies.
    :ivar load: states this load instead of its own; empty for its own.
    :ivar received_at_seconds: times at which it received the requests in
        `received_ids`.
    :ivar received_headers: headers of the requests in `received_ids`.
    :ivar sequence: number of the next registration.
    """

    loop: Any
    replica: str
    service: str
    host: str
    port: int = 8_000
    domain: str = "zone-a"
    slots: int = 2
    work_seconds: float = 0.005
    records: list[bytes] = field(factory=list)
    fault: Callable[[StandinRequest], Fault] = no_fault
    max_connections: int = 25
    leaving: bool = False
    pause: str = ""
    limit: str = ""
    states_load: bool = False
    load: str = ""
    started_at_ms: int = 1_700_000_000_000
    sequence: int = 1
    stalled_until_seconds: float = 0.0
    runs: list[Run] = field(factory=list)
    received_ids: list[str] = field(factory=list)
    received_at_seconds: list[float] = field(factory=list)
    received_headers: list[dict[str, str]] = field(factory=list)
    accepted_count: int = 0
    connections: set[StandinConnection] = field(factory=set)
    _running_count: int = 0
    _queue: list[StandinRequest] = field(factory=list)
    _running: dict[StandinConnection, Run] = field(factory=dict)

    def listen(self) -> None:
        self.loop.net.listeners[(self.host, self.port)] = self._accept

    def crash(self) -> None:
        """Stop, and listen again after `RESTART_SECONDS`."""
        self.stop()
        self.loop.call_later(RESTART_SECONDS, self.listen)

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        self.loop.net.listeners.pop((self.host, self.port), None)
        for connection in list(self.connections):
            connection.abort()

    def store_record(self, *, state: str = "ready", **overrides: Any) -> dict[str, Any]:
        """Return the record that the replica writes to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.domain,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.started_at_ms,
            **overrides,
        }

    def signature(self, attempt_id: str) -> str:
        text = f"{self.service}/{self.replica}/{attempt_id}"
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    def handle(self, request: StandinRequest) -> None:
        expected = request.headers.get("x-bronzebeam-expected-replica")
        attempt_id = request.headers.get("x-bronzebeam-attempt-id", "")
        self.received_ids.append(attempt_id)
        self.received_at_seconds.append(self.loop.time())
        self.received_headers.append(request.headers)
        signals = self._signals()
        if expected not in (None, self.replica):
            request.respond(421, headers={NOT_EXECUTED_HEADER: "1", **signals})
            return
        fault = self.fault(request)
        if fault is Fault.SHED or self.pause:
            if self.pause:
                signals["Retry-After"] = self.pause
            request.respond(
                503,
                headers={
                    ATTEMPT_ID_HEADER: attempt_id,
                    NOT_EXECUTED_HEADER: "1",
                    **signals,
                },
            )
        elif self._running_count >= self.slots:
            self._queue.append(request)
        else:
            self._run(request, fault)

    def connection_ended(self, connection: StandinConnection) -> None:
        self.connections.discard(connection)
        run = self._running.get(connection)
        if run is not None:
            run.aborted = True

    def _accept(self) -> StandinConnection:
        self.accepted_count += 1
        connection = StandinConnection(server=self)
        if len(self.connections) >= self.max_connections:
            self.loop.call_soon(connection.abort)
        self.connections.add(connection)
        return connection

    def _run(self, request: StandinRequest, fault: Fault) -> None:
        self._running_count += 1
        run = Run(
            attempt_id=request.headers.get("x-bronzebeam-attempt-id", ""),
            method=request.method,
            target=request.target,
            body=request.body,
            remaining_ms=float(
                request.headers.get("x-bronzebeam-deadline-remaining-ms", "nan")
            ),
            started_at_seconds=self.loop.time(),
        )
        self.runs.append(run)
        self._running[request.connection] = run
        pause = max(0.0, self.stalled_until_seconds - self.loop.time())
        self.loop.call_later(
            self.work_seconds + pause, self._finish, request, run, fault
        )

    def _finish(self, request: StandinRequest, run: Run, fault: Fault) -> None:
        self._running_count -= 1
        self._running.pop(request.connection, None)
        if not request.connection.ended:
            self._reply(request, run, fault)
        if self._queue:
            next_request = self._queue.pop(0)
            self._run(next_request, self.fault(next_request))

    def _reply(self, request: StandinRequest, run: Run, fault: Fault) -> None:
        headers = {
            ATTEMPT_ID_HEADER: run.attempt_id,
            SIGNATURE_HEADER: self.signature(run.attempt_id),
            **self._signals(),
        }
        body = b"".join(self.records) or f"{self.replica}/{run.attempt_id}".encode()
        if fault is Fault.UNRESPONSIVE:
            return
        if fault is Fault.CRASH:
            self.crash()
        elif fault is Fault.CRASH_IN_ANSWER:
            whole = request.encode(200, headers=headers, body=body)
            request.connection.write(whole[:-1])
            self.loop.call_later(0.01, self.crash)
        elif fault is Fault.ERROR:
            request.respond(500, headers=headers, body=b"failed")
        elif fault is Fault.RESET:
            request.connection.abort()
        elif fault is Fault.GARBAGE:
            request.connection.write(b"\x00\x01 this is no reply\r\n\r\n")
        elif fault in ENDLESS_PARTS:
            start, part = ENDLESS_PARTS[fault]
            request.connection.write(start)
            self._write_endlessly(request.connection, part)
        elif fault is Fault.TRUNCATED:
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            head = f"HTTP/1.1 200 OK\r\n{lines}Content-Length: {len(body) + 9}\r\n\r\n"
            request.connection.write(head.encode() + body)
            request.connection.close()
        elif fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            request.respond(200, headers=headers, body=body, framed=False)
            if fault is Fault.UNFRAMED:
                request.connection.close()
            else:
                request.connection.abort()
        elif fault is Fault.WRONG_ID:
            headers[ATTEMPT_ID_HEADER] = "another-request"
            request.respond(200, headers=headers, body=body)
        elif fault is Fault.NO_SIGNATURE:
            del headers[SIGNATURE_HEADER]
            request.respond(200, headers=headers, body=body)
        elif fault is Fault.EXTRA_JOINED:
            whole = request.encode(200, headers=headers, body=body)
            extra = request.encode(200, headers=headers, body=b"extra")
            request.connection.write(whole + extra)
        else:
            request.respond(200, headers=headers, body=body)
            if fault is Fault.EXTRA:
                request.respond(200, headers=headers, body=b"extra")
            elif fault is Fault.EXTRA_LATE:
                self.loop.call_later(0.05, self._extra, request, headers)

    def _write_endlessly(self, connection: StandinConnection, part: bytes) -> None:
        if connection.ended:
            return
        connection.write(part * (ENDLESS_WRITE_BYTES // len(part)))
        self.loop.call_later(
            ENDLESS_WRITE_SECONDS, self._write_endlessly, connection, part
        )

    def _signals(self) -> dict[str, str]:
        """Return the headers by which the replica tells of its own state."""
        signals = {LEAVING_HEADER: "1"} if self.leaving else {}
        if self.limit:
            signals[LIMIT_HEADER] = self.limit
        if self.states_load:
            own_load = f"{self._running_count},{len(self._queue)},{self.slots},100"
            signals[LOAD_HEADER] = self.load or own_load
        return signals

    def _extra(self, request: StandinRequest, headers: dict[str, str]) -> None:
        if not request.connection.ended:
            request.respond(200, headers=headers, body=b"extra")
