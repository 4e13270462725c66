"""The end of the chain for calls of small services: one replica answers."""

import math
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, field

from bronzebeam.filters.attempt_outcomes import failure_reason, is_known_not_run
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.dispatch import Dispatcher, trace_headers
from bronzebeam.invariants import check
from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Refused
from bronzebeam.reasons import Reason
from bronzebeam.transport.attempt import Attempt, AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    CALL_PATH,
    BackendFailed,
    BackendReply,
    encode_call,
)

ANSWER_MARGIN_SECONDS: Final = 0.002
RETRY_AFTER_MS: Final = 500

_Event = tuple[Attempt, AttemptOutcome]


@define(kw_only=True)
class CallHandler:
    """Answers a call from one replica."""

    dispatcher: Dispatcher

    async def handle(self, request: CallerRequest) -> Outcome:
        """Answer `request`; a non-idempotent one is sent on only if it did not run."""
        run = _CallRun(request=request, dispatcher=self.dispatcher)
        return await run.run()


@define(kw_only=True, eq=False)
class _CallRun:
    """
    The attempts of one call.

    :ivar may_have_run: an attempt left, and no backend server said it did not run.
    """

    request: CallerRequest
    dispatcher: Dispatcher
    may_have_run: bool = field(default=False, init=False)
    _tried: list[str] = field(factory=list, init=False)
    _running: list[Attempt] = field(factory=list, init=False)
    _attempts: int = field(default=0, init=False)
    _reason: Reason = field(default=Reason.NO_REPLICA, init=False)
    _hedge_at_seconds: float = field(default=math.inf, init=False)
    _results_in: MemoryObjectSendStream[_Event] = field(init=False)
    _results_out: MemoryObjectReceiveStream[_Event] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._results_in, self._results_out = anyio.create_memory_object_stream[_Event](
            math.inf
        )

    async def run(self) -> Outcome:
        """Run until an answer, the last allowed attempt or the deadline."""
        now = self.dispatcher.clock.monotonic_seconds()
        extra = self.dispatcher.extra_load
        extra.record_first_attempts(self.request.service, 1, now)
        delay_seconds = extra.hedge_delay_seconds(self.request.service, now)
        if self.request.idempotent and delay_seconds is not None:
            self._hedge_at_seconds = now + delay_seconds
        try:
            if not self._send():
                return self._failed()
            return await self._gather()
        finally:
            self._cancel_rest()
            self._results_in.close()
            self._results_out.close()

    async def _gather(self) -> Outcome:
        answer_by = self.request.deadline_at_seconds - ANSWER_MARGIN_SECONDS
        while self._running:
            with anyio.CancelScope(deadline=min(answer_by, self._hedge_at_seconds)):
                attempt, outcome = await self._results_out.receive()
                await self.dispatcher.settle_loss(outcome)
                answer = self._handle(attempt, outcome)
                if answer is not None:
                    return answer
                continue
            now = self.dispatcher.clock.monotonic_seconds()
            if now >= answer_by:
                return self._timed_out()
            self._hedge()
        return self._failed()

    def _hedge(self) -> None:
        self._hedge_at_seconds = math.inf
        if self.dispatcher.may_hedge(
            self.request, replicas=self._replicas, tried=self._tried
        ):
            self._send(hedge=True)

    def _handle(self, attempt: Attempt, outcome: AttemptOutcome) -> Outcome | None:
        self._running.remove(attempt)
        self.dispatcher.note_outcome(self.request, outcome)
        if isinstance(outcome, BackendReply):
            self.dispatcher.note_waited(self.request, attempt)
            return Answered(result=outcome.result)
        self._reason = failure_reason(outcome)
        if not is_known_not_run(outcome):
            self.may_have_run = True
        if not self._running and self._may_retry(outcome):
            self._send()
        return None

    def _may_retry(self, outcome: AttemptOutcome) -> bool:
        if self.may_have_run and not self.request.idempotent:
            return False
        if isinstance(outcome, BackendFailed):
            return False
        return self.dispatcher.may_retry(
            self.request, outcome, replicas=self._replicas, tried=self._tried
        )

    @property
    def _replicas(self) -> tuple[str, ...]:
        return self.dispatcher.directory.members(self.request.service.name)

    def _send(self, *, hedge: bool = False) -> bool:
        chosen = self.dispatcher.choose(replicas=self._replicas, tried=self._tried)
        if chosen is None:
            return False
        check(
            self.request.idempotent or not (self.may_have_run or self._running),
            "a non-idempotent request is sent while it may have run",
        )
        self._tried.append(chosen.replica)
        attempt = self._new_attempt(chosen.replica, hedge)
        self._running.append(attempt)
        chosen.pool.send(attempt)
        return True

    def _new_attempt(self, replica: str, hedge: bool) -> Attempt:
        self._attempts += 1
        request_id = f"{self.request.request_id}.{self._attempts}"
        span = self.dispatcher.open_span(
            self.request, shard=0, replica=replica, hedge=hedge
        )
        operation = self.request.operation
        assert operation is not None
        return Attempt(
            request_id=request_id,
            replica=replica,
            path=CALL_PATH,
            body=encode_call(
                request_id=request_id,
                operation=operation.name,
                payload=self.request.payload,
                idempotency_key=self.request.idempotency_key,
            ),
            headers=trace_headers(span),
            span=span,
            deadline_at_seconds=self.request.deadline_at_seconds,
            fingerprint=self.request.fingerprint,
            idempotent=self.request.idempotent,
            hedge=hedge,
            solo=self.request.solo or self.dispatcher.is_suspected(self.request),
            on_result=self._receive,
        )

    def _receive(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._results_in.send_nowait((attempt, outcome))

    def _timed_out(self) -> Outcome:
        self._reason = Reason.TIMEOUT
        sent = any(attempt.sent_at_seconds is not None for attempt in self._running)
        self.may_have_run = self.may_have_run or sent
        return self._failed()

    def _failed(self) -> Outcome:
        now = self.dispatcher.clock.monotonic_seconds()
        remaining_ms = self.dispatcher.quarantine.remaining_quarantine_ms(
            self.request.fingerprint, now
        )
        if remaining_ms is not None:
            return Refused(
                reason=Reason.QUARANTINED,
                retry_after_ms=remaining_ms,
                detail="backend servers were lost while they ran this request",
                ran=self.may_have_run,
            )
        if self.may_have_run:
            return OutcomeUnknown(
                reason=self._reason,
                retry_after_ms=RETRY_AFTER_MS,
                detail="the request left and no whole reply came back",
            )
        return NotRun(
            reason=self._reason,
            retry_after_ms=RETRY_AFTER_MS,
            detail="no backend server ran the request",
        )

    def _cancel_rest(self) -> None:
        self.dispatcher.cancel(self._running)
        self._running.clear()
