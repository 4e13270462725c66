"""A single fan-out of a search to the shards of one index snapshot."""

import math
from typing import Final

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, evolve, field

from bronzebeam.filters.attempt_outcomes import failure_reason, is_known_not_run
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.dispatch import Dispatcher, trace_headers
from bronzebeam.filters.search_hedges import HedgeScheduler
from bronzebeam.filters.search_shards import SearchResult, ShardAttempts, build_coverage
from bronzebeam.filters.search_timing import SearchTiming
from bronzebeam.invariants import check
from bronzebeam.reasons import Reason
from bronzebeam.routing.coverage import (
    CoverageDecision,
    ShardProgress,
    required_shards,
)
from bronzebeam.routing.quarantine import solo_order
from bronzebeam.routing.snapshots import Snapshot
from bronzebeam.transport.attempt import Attempt, AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    SEARCH_PATH,
    BackendReply,
    encode_search,
)

SNAPSHOT_POLL_INTERVAL_SECONDS: Final = 0.01

_AttemptResult = tuple[Attempt, AttemptOutcome]


@define(kw_only=True, eq=False)
class SearchRun:
    """
    Sends the sub-requests of one search and collects the replies.

    A shard is settled once its reply is accepted or no further attempt will be made.
    A request that is suspected of crashing backend servers runs solo: on one replica
    at a time, without hedges.
    """

    request: CallerRequest
    snapshot: Snapshot
    dispatcher: Dispatcher
    _timing: SearchTiming = field(init=False)
    _shards: list[ShardAttempts] = field(init=False)
    _unsettled_count: int = field(init=False)
    _solo: bool = field(default=False, init=False)
    _included_count: int = field(default=0, init=False)
    _attempt_count: int = field(default=0, init=False)
    _version_gone: bool = field(default=False, init=False)
    _sent: bool = field(default=False, init=False)
    _stop_reason: Reason = field(default=Reason.TIMEOUT, init=False)
    _hedge_scheduler: HedgeScheduler = field(init=False)
    _results_send: MemoryObjectSendStream[_AttemptResult] = field(init=False)
    _results_receive: MemoryObjectReceiveStream[_AttemptResult] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._timing = SearchTiming(request=self.request, clock=self.dispatcher.clock)
        self._shards = [
            ShardAttempts(number=number, replicas=replicas)
            for number, replicas in enumerate(self.snapshot.replicas_by_shard)
        ]
        self._unsettled_count = len(self._shards)
        self._hedge_scheduler = HedgeScheduler(
            request=self.request,
            dispatcher=self.dispatcher,
            shards=self._shards,
            send=self._send_hedge,
        )
        self._results_send, self._results_receive = anyio.create_memory_object_stream[
            _AttemptResult
        ](math.inf)

    async def run(self) -> SearchResult:
        """Run until coverage is complete or the service's coverage policy is met."""
        now = self.dispatcher.clock.monotonic_seconds()
        try:
            self._send_first_attempts(now)
            await self._collect_replies()
        finally:
            self._cancel_running()
            self._results_send.close()
            self._results_receive.close()
        return self._build_result()

    def _send_first_attempts(self, now: float) -> None:
        coverage = self.request.service.coverage
        if self.snapshot.covered < required_shards(coverage, len(self._shards)):
            self._fail_unserved_shards()
            return
        self._solo = self.request.solo
        if self._solo:
            self._send_next_solo()
        else:
            self._send_to_idle_shards()
        extra_load = self.dispatcher.extra_load
        extra_load.record_first_attempts(self.request.service, len(self._shards), now)
        if not self._solo:
            self._hedge_scheduler.start(now)

    def _fail_unserved_shards(self) -> None:
        for shard in self._shards:
            if not shard.replicas:
                self._mark_failed(shard, Reason.NO_REPLICA)

    async def _collect_replies(self) -> None:
        while not self._should_stop():
            with anyio.CancelScope(deadline=self._next_wake_up_seconds()) as scope:
                async for result in self._results_receive:
                    await self._handle_available(result)
                    if self._should_stop():
                        return
                    scope.deadline = min(scope.deadline, self._next_wake_up_seconds())
            now = self.dispatcher.clock.monotonic_seconds()
            if now >= self._hedge_scheduler.due_at_seconds:
                self._hedge_scheduler.send_due(now, self._unsettled_count)

    async def _handle_available(self, result: _AttemptResult) -> None:
        """Handle `result` and all results already queued, without waiting for more."""
        while True:
            attempt, outcome = result
            await self.dispatcher.wait_until_loss_applied(outcome)
            self._handle_result(attempt, outcome)
            try:
                result = self._results_receive.receive_nowait()
            except (anyio.WouldBlock, anyio.EndOfStream):
                return

    def _should_stop(self) -> bool:
        """Return whether the service's coverage policy requires no further waiting."""
        decision = self._timing.decide(
            ShardProgress(
                shard_count=len(self._shards),
                included=self._included_count,
                missing=len(self._shards)
                - self._included_count
                - self._unsettled_count,
            )
        )
        if decision is CoverageDecision.WAIT and self._should_restart():
            self._stop_reason = Reason.VERSION_GONE
            return True
        if decision is CoverageDecision.BELOW_MINIMUM and self._timing.has_time_left:
            self._stop_reason = Reason.BELOW_MINIMUM_COVERAGE
        return decision is not CoverageDecision.WAIT

    def _should_restart(self) -> bool:
        """Return whether a newer snapshot is complete and this run cannot complete."""
        if not self._version_gone or not any(
            shard.is_version_gone for shard in self._shards
        ):
            return False
        newest = self.dispatcher.directory.snapshot(self.request.service.name)
        if newest is None or not newest.complete:
            return False
        newer = newest.index_version != self.snapshot.index_version
        return newer and self._included_count + self._unsettled_count < len(
            self._shards
        )

    def _next_wake_up_seconds(self) -> float:
        """Return the next time at which to act even if no reply arrives."""
        decide_at = self._timing.next_decision_at_seconds()
        wake_at = min(decide_at, self._hedge_scheduler.due_at_seconds)
        if not self._version_gone:
            return wake_at
        now = self.dispatcher.clock.monotonic_seconds()
        return min(wake_at, now + SNAPSHOT_POLL_INTERVAL_SECONDS)

    def _send(self, shard: ShardAttempts, *, hedge: bool = False) -> bool:
        chosen = self.dispatcher.choose(replicas=shard.replicas, tried=shard.tried)
        if chosen is None:
            if not shard.running:
                self._mark_failed(shard, None if shard.tried else Reason.NO_REPLICA)
            return False
        shard.tried.append(chosen.replica)
        attempt = self._new_attempt(shard, chosen.replica, hedge)
        shard.running.append(attempt)
        chosen.pool.send(attempt)
        return True

    def _new_attempt(self, shard: ShardAttempts, replica: str, hedge: bool) -> Attempt:
        self._attempt_count += 1
        request_id = f"{self.request.request_id}.{self._attempt_count}"
        span = self.dispatcher.open_span(
            self.request, shard=shard.number, replica=replica, hedge=hedge
        )
        return Attempt(
            request_id=request_id,
            replica=replica,
            path=SEARCH_PATH,
            body=encode_search(
                request_id=request_id,
                index_version=self.snapshot.index_version,
                shard=shard.number,
                query=self.request.payload,
            ),
            headers=trace_headers(span),
            span=span,
            shard=shard.number,
            deadline_at_seconds=self.request.deadline_at_seconds,
            fingerprint=self.request.fingerprint,
            hedge=hedge,
            solo=self._solo,
            on_result=self._on_result,
        )

    def _on_result(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._results_send.send_nowait((attempt, outcome))

    def _handle_result(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        shard = self._shards[attempt.shard]
        if attempt in shard.running:
            shard.running.remove(attempt)
        self._sent = self._sent or not is_known_not_run(outcome)
        self.dispatcher.record_outcome(self.request, outcome)
        if shard.is_settled:
            return
        if isinstance(outcome, BackendReply) and shard.matches(outcome, self.snapshot):
            self._accept_reply(shard, attempt, outcome)
        else:
            shard.reason = failure_reason(outcome)
            self._version_gone |= shard.reason is Reason.VERSION_GONE
            self._solo = self._solo or self.dispatcher.is_suspected(self.request)
            self._retry_or_fail(shard, outcome)
        if self._solo:
            self._hedge_scheduler.stop()
            self._send_next_solo()

    def _accept_reply(
        self, shard: ShardAttempts, attempt: Attempt, reply: BackendReply
    ) -> None:
        shard.reply = reply
        self._unsettled_count -= 1
        self._included_count += 1
        self.dispatcher.record_latency(self.request, attempt)
        for cancelled in shard.running:
            self.dispatcher.record_latency(self.request, cancelled)
        self._cancel_attempts(shard)
        if self._solo and not self.dispatcher.is_suspected(self.request):
            # A successful reply cleared the request of suspicion, so the remaining
            # shards can be searched in parallel.
            self._solo = False
            self.request = evolve(self.request, solo=False)
            self._hedge_scheduler.request = self.request
            self._send_to_idle_shards()
            self._hedge_scheduler.start(self.dispatcher.clock.monotonic_seconds())

    def _send_to_idle_shards(self) -> None:
        for shard in self._shards:
            if not shard.is_settled and not shard.running:
                self._send(shard)

    def _send_next_solo(self) -> None:
        """Send a solo request to its next shard unless an attempt is still running."""
        if any(shard.running for shard in self._shards):
            return
        if self.dispatcher.is_quarantined(self.request):
            for shard in self._shards:
                self._mark_failed(shard, Reason.QUARANTINED)
            return
        for number in solo_order(self.request.fingerprint, len(self._shards)):
            shard = self._shards[number]
            if not shard.is_settled and self._send(shard):
                return

    def _retry_or_fail(self, shard: ShardAttempts, outcome: AttemptOutcome) -> None:
        if shard.running:
            return
        allowed = self.dispatcher.allow_retry(
            self.request, outcome, replicas=shard.replicas, tried=shard.tried
        )
        if not allowed:
            self._mark_failed(shard)
        elif not self._solo and not self._send(shard):
            self._mark_failed(shard)

    def _send_hedge(self, shard: ShardAttempts) -> bool:
        return self._send(shard, hedge=True)

    def _mark_failed(self, shard: ShardAttempts, reason: Reason | None = None) -> None:
        if shard.is_settled:
            return
        shard.failed = True
        shard.reason = reason or shard.reason
        self._unsettled_count -= 1

    def _cancel_attempts(self, shard: ShardAttempts) -> None:
        self.dispatcher.cancel(shard.running)
        shard.running.clear()

    def _cancel_running(self) -> None:
        for shard in self._shards:
            self._sent |= any(
                item.sent_at_seconds is not None for item in shard.running
            )
            self._cancel_attempts(shard)

    def _build_result(self) -> SearchResult:
        included = [shard for shard in self._shards if shard.reply is not None]
        for shard in included:
            check(
                shard.reply is not None and shard.matches(shard.reply, self.snapshot),
                "a search answer mixes index versions",
            )
        return SearchResult(
            coverage=build_coverage(
                snapshot=self.snapshot,
                shards=self._shards,
                stop_reason=self._stop_reason,
            ),
            hits=tuple(shard.reply.result for shard in included if shard.reply),
            version_gone=self._version_gone,
            sent=self._sent or bool(included),
        )
