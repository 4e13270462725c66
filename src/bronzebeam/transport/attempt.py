"""An attempt: one sub-request sent to a replica, and its outcome."""

from collections.abc import Callable
from typing import Literal

from attrs import define, frozen

from bronzebeam.telemetry.traces import SpanScope
from bronzebeam.transport.backend_protocol import ParsedReply
from bronzebeam.transport.channel import Headers

LostReason = Literal["connection_lost", "no_connection", "timeout"]


@frozen(kw_only=True)
class AttemptLost:
    """
    The attempt ended without a reply.

    :ivar sent: whether any byte of the request may have been sent.
    """

    reason: LostReason
    sent: bool


AttemptOutcome = ParsedReply | AttemptLost


@define(kw_only=True, eq=False)
class Attempt:
    """
    One sub-request to one replica.

    :ivar shard: shard to search; 0 for a call.
    :ivar deadline_at_seconds: monotonic time after which the requester ignores the
        reply.
    :ivar fingerprint: fingerprint of the caller's request; empty for a probe.
    :ivar solo: the request is suspected of crashing backend servers, so that it is
        sent to one replica at a time.
    :ivar on_result: called once in the event loop, never after `abandoned` is set.
    :ivar queued_at_seconds: monotonic time at which the attempt entered the queue of
        a connection pool.
    :ivar sent_at_seconds: monotonic time just before the request is written; None
        until then.
    :ivar abandoned: the requester no longer waits for the result.
    :ivar span: tracing span; ended with the attempt.
    """

    request_id: str
    replica: str
    path: str
    body: bytes
    headers: Headers = ()
    shard: int = 0
    deadline_at_seconds: float
    fingerprint: str = ""
    idempotent: bool = True
    hedge: bool = False
    solo: bool = False
    on_result: Callable[["Attempt", AttemptOutcome], None] | None = None
    queued_at_seconds: float = 0.0
    sent_at_seconds: float | None = None
    finished: bool = False
    abandoned: bool = False
    span: SpanScope | None = None

    def finish(self, outcome: AttemptOutcome) -> None:
        """Record `outcome` and report it, unless the attempt is abandoned."""
        if self.finished:
            return
        self.finished = True
        self._end_span(outcome)
        if self.on_result is not None and not self.abandoned:
            self.on_result(self, outcome)

    def _end_span(self, outcome: AttemptOutcome) -> None:
        if self.span is None:
            return
        self.span.annotate(outcome=type(outcome).__name__, abandoned=self.abandoned)
        reason = getattr(outcome, "reason", None)
        if reason is not None:
            self.span.fail(reason)
        self.span.end()
