"""Handler of calls: each is answered by one replica of the service."""

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

_AttemptResult = tuple[Attempt, AttemptOutcome]


@define(kw_only=True)
class CallHandler:
    """Sends a call to one replica, with retries and hedges where they are safe."""

    dispatcher: Dispatcher

    async def handle(self, request: CallerRequest) -> Outcome:
        """
        Answer `request`.

        A non-idempotent request is retried only if it is known not to have run.
        """
        run = _CallRun(request=request, dispatcher=self.dispatcher)
        return await run.run()


@define(kw_only=True, eq=False)
class _CallRun:
    """
    The attempts of one call.

    :ivar may_have_run: an attempt was sent, and no reply said that it did not run.
    """

    request: CallerRequest
    dispatcher: Dispatcher
    may_have_run: bool = field(default=False, init=False)
    _tried: list[str] = field(factory=list, init=False)
    _running: list[Attempt] = field(factory=list, init=False)
    _attempt_count: int = field(default=0, init=False)
    _last_failure: Reason = field(default=Reason.NO_REPLICA, init=False)
    _hedge_at_seconds: float = field(default=math.inf, init=False)
    _results_send: MemoryObjectSendStream[_AttemptResult] = field(init=False)
    _results_receive: MemoryObjectReceiveStream[_AttemptResult] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._results_send, self._results_receive = anyio.create_memory_object_stream[
            _AttemptResult
        ](math.inf)

    async def run(self) -> Outcome:
        """Run until a reply, the last allowed attempt's failure or the deadline."""
        now = self.dispatcher.clock.monotonic_seconds()
        extra_load = self.dispatcher.extra_load
        extra_load.record_first_attempts(self.request.service, 1, now)
        delay_seconds = extra_load.hedge_delay_seconds(self.request.service, now)
        if self.request.idempotent and delay_seconds is not None:
            self._hedge_at_seconds = now + delay_seconds
        try:
            if not self._send():
                return self._failure_outcome()
            return await self._wait_for_reply()
        finally:
            self._cancel_running()
            self._results_send.close()
            self._results_receive.close()

    async def _wait_for_reply(self) -> Outcome:
        answer_by = self.request.deadline_at_seconds - ANSWER_MARGIN_SECONDS
        while self._running:
            with anyio.CancelScope(deadline=min(answer_by, self._hedge_at_seconds)):
                attempt, outcome = await self._results_receive.receive()
                await self.dispatcher.wait_until_loss_applied(outcome)
                answer = self._handle_result(attempt, outcome)
                if answer is not None:
                    return answer
                continue
            now = self.dispatcher.clock.monotonic_seconds()
            if now >= answer_by:
                return self._handle_timeout()
            self._send_hedge_if_allowed()
        return self._failure_outcome()

    def _send_hedge_if_allowed(self) -> None:
        self._hedge_at_seconds = math.inf
        if self.dispatcher.allow_hedge(
            self.request, replicas=self._replicas, tried=self._tried
        ):
            self._send(hedge=True)

    def _handle_result(
        self, attempt: Attempt, outcome: AttemptOutcome
    ) -> Outcome | None:
        self._running.remove(attempt)
        self.dispatcher.record_outcome(self.request, outcome)
        if isinstance(outcome, BackendReply):
            self.dispatcher.record_latency(self.request, attempt)
            return Answered(result=outcome.result)
        self._last_failure = failure_reason(outcome)
        if not is_known_not_run(outcome):
            self.may_have_run = True
        if not self._running and self._should_retry(outcome):
            self._send()
        return None

    def _should_retry(self, outcome: AttemptOutcome) -> bool:
        if self.may_have_run and not self.request.idempotent:
            return False
        if isinstance(outcome, BackendFailed):
            return False
        return self.dispatcher.allow_retry(
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
        self._attempt_count += 1
        request_id = f"{self.request.request_id}.{self._attempt_count}"
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
            on_result=self._on_result,
        )

    def _on_result(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._results_send.send_nowait((attempt, outcome))

    def _handle_timeout(self) -> Outcome:
        self._last_failure = Reason.TIMEOUT
        sent = any(attempt.sent_at_seconds is not None for attempt in self._running)
        self.may_have_run = self.may_have_run or sent
        return self._failure_outcome()

    def _failure_outcome(self) -> Outcome:
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
                reason=self._last_failure,
                retry_after_ms=RETRY_AFTER_MS,
                detail="the request left and no whole reply came back",
            )
        return NotRun(
            reason=self._last_failure,
            retry_after_ms=RETRY_AFTER_MS,
            detail="no backend server ran the request",
        )

    def _cancel_running(self) -> None:
        self.dispatcher.cancel(self._running)
        self._running.clear()
