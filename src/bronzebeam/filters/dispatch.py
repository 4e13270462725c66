"""Shared steps of sending attempts: replica choice, hedges, retries, cancellation."""

import random
from collections.abc import Iterable, Sequence
from typing import Final

import anyio
from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.attempt_outcomes import is_known_not_run
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.policy import ExtraLoadPolicy, QuarantinePolicy
from bronzebeam.filters.replica_directory import ReplicaDirectory
from bronzebeam.routing.choice import ChooseReplica, choose_replica
from bronzebeam.routing.hedging import (
    FailureKind,
    SubRequestState,
    replicas_to_exclude,
)
from bronzebeam.telemetry.traces import SPAN_SHARD_ATTEMPT, SpanScope, Tracing
from bronzebeam.transport.attempt import Attempt, AttemptLost, AttemptOutcome
from bronzebeam.transport.backend_pool import BackendPool
from bronzebeam.transport.backend_protocol import BackendDidNotRun
from bronzebeam.transport.channel import Headers
from bronzebeam.units import MS_PER_SECOND

MIN_EXPECTED_REPLY_MS: Final = 1.0
UNCHARGED_RETRY_REASONS: Final = frozenset({"draining", "version_gone"})


@frozen(kw_only=True)
class ChosenReplica:
    """A replica chosen for an attempt, and the connection pool to send it over."""

    replica: str
    pool: BackendPool


@frozen(kw_only=True)
class Dispatcher:
    """
    State and decisions shared by all searches and calls.

    :ivar failure_domain: failure domain of this entry; its replicas are preferred.
    :ivar choose_replica: chooses one of the candidate replicas.
    :ivar tracing: opens a span for each attempt; None disables tracing.
    """

    directory: ReplicaDirectory
    extra_load: ExtraLoadPolicy
    quarantine: QuarantinePolicy
    clock: Clock
    rng: random.Random
    failure_domain: str
    tracing: Tracing | None = None
    choose_replica: ChooseReplica = choose_replica

    def open_span(
        self, request: CallerRequest, *, shard: int, replica: str, hedge: bool
    ) -> SpanScope:
        """Open the trace span of one attempt; the attempt ends it."""
        if self.tracing is None:
            return SpanScope(headers=request.trace_headers)
        return self.tracing.open_span(
            SPAN_SHARD_ATTEMPT,
            parent=request.trace_headers,
            shard=shard,
            replica=replica,
            hedge=hedge,
        )

    def choose(
        self, *, replicas: Iterable[str], tried: Sequence[str]
    ) -> ChosenReplica | None:
        """Choose a replica for the next attempt; None if no replica is available."""
        views = [
            view for view in map(self.directory.view, replicas) if view is not None
        ]
        usable = sum(not view.leaving for view in views)
        choice = self.choose_replica(
            candidates=views,
            own_failure_domain=self.failure_domain,
            excluded=replicas_to_exclude(tried=tried, replicas=usable),
            rng=self.rng,
        )
        if choice is None:
            return None
        pool = self.directory.pool(choice.replica)
        return (
            ChosenReplica(replica=choice.replica, pool=pool)
            if pool is not None
            else None
        )

    async def wait_until_loss_applied(self, outcome: AttemptOutcome) -> None:
        """After a lost connection, wait until the quarantine has processed it."""
        if isinstance(outcome, AttemptLost) and outcome.reason == "connection_lost":
            with anyio.CancelScope(shield=True):
                await self.quarantine.wait_until_losses_applied()

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether `request` is quarantined and must not be sent again."""
        now = self.clock.monotonic_seconds()
        return (
            self.quarantine.remaining_quarantine_ms(request.fingerprint, now)
            is not None
        )

    def is_suspected(self, request: CallerRequest) -> bool:
        """Return whether `request` must now run on one replica at a time."""
        now = self.clock.monotonic_seconds()
        return self.quarantine.is_suspect(request.fingerprint, now)

    def allow_hedge(
        self, request: CallerRequest, *, replicas: Sequence[str], tried: Sequence[str]
    ) -> bool:
        """Return whether a hedge may be sent; charge it to the service's budget."""
        if self.is_suspected(request):
            return False
        now = self.clock.monotonic_seconds()
        state = self._sub_request_state(request, replicas, tried, now)
        return self.extra_load.allow_hedge(request.service, state, now)

    def allow_retry(
        self,
        request: CallerRequest,
        outcome: AttemptOutcome,
        *,
        replicas: Sequence[str],
        tried: Sequence[str],
    ) -> bool:
        """Return whether a retry may be sent; charge it to the service's budget."""
        if self.is_quarantined(request):
            return False
        now = self.clock.monotonic_seconds()
        state = self._sub_request_state(request, replicas, tried, now)
        failure = _failure_kind(outcome)
        return self.extra_load.allow_retry(request.service, state, failure, now)

    def record_latency(self, request: CallerRequest, attempt: Attempt) -> None:
        """Record the latency so far of a first attempt, answered or cancelled."""
        if attempt.hedge or attempt.sent_at_seconds is None:
            return
        now = self.clock.monotonic_seconds()
        waited_ms = (now - attempt.sent_at_seconds) * MS_PER_SECOND
        self.extra_load.record_latency(request.service, waited_ms, now)
        request.stats.latencies_ms.append(waited_ms)

    def record_outcome(self, request: CallerRequest, outcome: AttemptOutcome) -> None:
        """Count the outcome of an attempt for the concurrency limit."""
        request.stats.sent += 1
        if isinstance(outcome, BackendDidNotRun) and outcome.reason == "overloaded":
            request.stats.shed += 1

    def cancel(self, attempts: Iterable[Attempt]) -> None:
        """Cancel attempts that are still running."""
        for attempt in attempts:
            pool = self.directory.pool(attempt.replica)
            if pool is not None:
                pool.cancel(attempt)
            attempt.abandoned = True

    def _sub_request_state(
        self,
        request: CallerRequest,
        replicas: Sequence[str],
        tried: Sequence[str],
        now: float,
    ) -> SubRequestState:
        remaining_ms = (request.deadline_at_seconds - now) * MS_PER_SECOND
        return SubRequestState(
            idempotent=request.idempotent,
            solo=request.solo,
            attempts=len(tried),
            other_replicas=sum(name != tried[-1] for name in replicas),
            remaining_ms=remaining_ms,
            expected_ms=MIN_EXPECTED_REPLY_MS,
        )


def trace_headers(span: SpanScope) -> Headers:
    """Return the trace context of an attempt's span as headers."""
    return tuple(
        (name.encode(), value.encode()) for name, value in span.headers.items()
    )


def _failure_kind(outcome: AttemptOutcome) -> FailureKind:
    if isinstance(outcome, AttemptLost) and not outcome.sent:
        return FailureKind.NOT_SENT
    # The replica did none of the work, so a retry elsewhere adds no load and is not
    # charged to the budget.
    if (
        isinstance(outcome, BackendDidNotRun)
        and outcome.reason in UNCHARGED_RETRY_REASONS
    ):
        return FailureKind.NOT_SENT
    return FailureKind.NOT_RUN if is_known_not_run(outcome) else FailureKind.UNKNOWN
