"""Forwarding of a request to one replica of a service, with retries."""

import asyncio
from functools import partial
from typing import Final

from attrs import define, field

from bronzebeam.gateway.admission import AdmissionPermit
from bronzebeam.gateway.attempt import Attempt
from bronzebeam.gateway.base_attempt import (
    NO_ROOM_CAUSE,
    AttemptResult,
    BaseAttempt,
    crash_checks,
)
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.early_hedges import EarlyHedges
from bronzebeam.gateway.outcome import Outcome, answer_failure, answer_reply
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.relay import RelayedAttempt
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.replica_set import (
    PEERS_FOR_GONE_REPLICAS,
    REPLICAS_COLD,
    REPLICAS_UNREACHABLE,
)
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.gateway.shard_state import NO_REPLICA
from bronzebeam.routing.crash_suspects import MAX_LOSSES, CrashEvidence
from bronzebeam.routing.hedge_timing import hedge_delay_ms
from bronzebeam.routing.replica_pause import return_after_seconds
from bronzebeam.units import MS_PER_SECOND

ELAPSED_PER_MEDIAN: Final = 1.3  # most replies arrive within this multiple
# Of one request, by why this instance has no replica for it. Several peers may not
# reach the replicas either. For cold replicas, asking more peers for a turn would cost
# more than the few requests that such replicas take are worth.
MAX_RELAYS_BY_CAUSE: Final = {REPLICAS_UNREACHABLE: 4, REPLICAS_COLD: 1}
MAX_REJECTIONS: Final = 4  # of one request, before it is refused


@define(kw_only=True, eq=False, repr=False)
class ReplicaRequest:
    """
    One request that is forwarded to a replica, with retries and at most one hedge.

    If this instance can't reach the replicas, peers send it for this instance.

    A request that is not idempotent is sent again only if the previous replica stated
    that it did not run it, or if no byte of it was sent.
    """

    context: GatewayContext
    routed: RoutedRequest
    service: str
    permit: AdmissionPermit
    attempts: list[BaseAttempt] = field(factory=list)
    _tried: set[Replica] = field(factory=set)
    _tried_peers: set[Peer] = field(factory=set)
    _crash_evidence: CrashEvidence = field(
        factory=lambda: CrashEvidence(needs_confirmation=False)
    )
    _unreachable_count: int = 0
    _last_failed: BaseAttempt | None = None
    _done: bool = False
    _hedged_early: bool = False
    _timers: list[asyncio.TimerHandle] = field(factory=list)

    def start(self) -> None:
        """Send the request to the first replica."""
        loop = self.context.loop
        routed = self.routed
        routed.request.on_disconnect = self._on_caller_disconnected
        routed.request.on_stop = self._on_deadline
        self.context.state.repeat_budget(self.service).record_first_attempts(
            loop.time()
        )
        self._timers.append(loop.call_at(routed.deadline_at_seconds, self._on_deadline))
        if routed.route.idempotent:
            delay_ms = hedge_delay_ms(
                typical_ms=self.context.state.typical_latency(routed.route).typical_ms,
                target_latency_ms=routed.route.target_latency_ms,
                is_fan_out=False,
            )
            self._timers.append(loop.call_later(delay_ms / MS_PER_SECOND, self._hedge))
            if self.context.state.replicas.states_load:
                early = EarlyHedges(
                    context=self.context, routed=routed, hedge_after_ms=delay_ms
                )
                self._timers.append(
                    loop.call_later(early.check_after_seconds, self._hedge_early, early)
                )
        if not self._send(repeat=False):
            self._fail(NO_REPLICA)

    def on_attempt_ended(self, attempt: BaseAttempt, result: AttemptResult) -> None:
        """Answer the caller, or try another replica."""
        if attempt.cause == NO_ROOM_CAUSE:
            self.permit.refused_count += 1
        if self._done:
            return
        if result is AttemptResult.ANSWERED:
            self._crash_evidence.replied = True
            self._answer(attempt)
            return
        if result is AttemptResult.FAILED:
            self._last_failed = attempt
            self._crash_evidence.replied = True
        if attempt.connection_lost:
            self._crash_evidence.record_losses()
        if isinstance(attempt, RelayedAttempt) and attempt.is_unreachable_at_peer:
            self._unreachable_count += 1
            if self._unreachable_count >= PEERS_FOR_GONE_REPLICAS:
                self.context.state.replicas.record_unreachable_at_peers(self.service)
        if any(item.is_in_progress for item in self.attempts):
            return
        if self._may_repeat(result) and self._send(repeat=attempt.reached_replica):
            return
        if self._last_failed is not None:
            self._answer(self._last_failed)
        else:
            self._fail(attempt.cause)

    def _may_repeat(self, result: AttemptResult) -> bool:
        if result is AttemptResult.NOT_SENT:
            return True
        if result.may_have_run and not self.routed.route.idempotent:
            return False
        return self._is_repeat_allowed()

    def _is_repeat_allowed(self) -> bool:
        reached = sum(1 for item in self.attempts if item.reached_replica)
        may_have_run = sum(1 for item in self.attempts if item.may_have_run)
        return (
            not self._is_crash_suspect()
            and reached <= MAX_REJECTIONS
            and may_have_run < self.routed.route.max_attempts
            and self.context.state.remaining_repeats(self.service) >= 1.0
        )

    def _is_crash_suspect(self) -> bool:
        """Whether the request seems to have crashed too many replicas, fleet-wide."""
        evidence = self._crash_evidence
        if not evidence.lost or evidence.replied:
            return False
        reported_losses = self.context.state.suspects.losses(self.routed.fingerprint)
        return evidence.lost + reported_losses >= MAX_LOSSES

    def _send(self, *, repeat: bool) -> bool:
        state = self.context.state
        choice = state.choose_replica(
            service=self.service,
            excluded=self._tried,
            route=self.routed.route,
            domains=self.routed.replica_domains,
        )
        if repeat and choice is not None and choice.replica.cold is not None:
            if self._tried_peers:
                return False  # a peer may have sent the request to this replica
        attempt: Attempt | RelayedAttempt | None
        if choice is None:
            attempt = self._relay(repeat=repeat)
        else:
            self._tried.add(choice.replica)
            attempt = Attempt(
                context=self.context,
                routed=self.routed,
                replica=choice.replica,
                handler=self,
                is_repeat=repeat,
            )
        if attempt is None:
            return False
        if repeat:
            state.repeat_budget(self.service).record_repeat(self.context.loop.time())
        self.attempts.append(attempt)
        attempt.send()
        return True

    def _relay(self, *, repeat: bool) -> RelayedAttempt | None:
        """Return an attempt through a peer, if only this instance has no replica."""
        state = self.context.state
        domains = self.routed.replica_domains
        cause = state.replicas.next_use(self.service, domains).cause
        if len(self._tried_peers) >= MAX_RELAYS_BY_CAUSE.get(cause, 0):
            return None
        if repeat and cause == REPLICAS_COLD:
            return None  # the peer may decline, and the repeat would be spent
        peer = state.peers.choose_any(
            [state.own_domain],
            excluded=[*self._tried_peers, *state.barred_peers(self.routed.regions)],
            among=(
                state.cold_senders(self.service, domains)
                if cause == REPLICAS_COLD
                else None
            ),
        )
        if peer is None:
            return None
        self._tried_peers.add(peer)
        return RelayedAttempt(
            context=self.context,
            routed=self.routed,
            peer=peer,
            service=self.service,
            handler=self,
            is_repeat=repeat,
        )

    def _hedge(self) -> None:
        if self._done or self._hedged_early or not self._is_repeat_allowed():
            return
        self._send(repeat=True)

    def _hedge_early(self, early: EarlyHedges) -> None:
        """Send a hedge if the only replica so far states that it will be late."""
        if self._done or len(self.attempts) != 1 or not self._is_repeat_allowed():
            return
        attempt = self.attempts[0]
        choose_other = partial(
            self.context.state.choose_replica,
            service=self.service,
            excluded=self._tried,
            route=self.routed.route,
        )
        if isinstance(attempt, Attempt) and early.is_due(attempt, choose_other):
            self._hedged_early = self._send(repeat=True)
            if self._hedged_early:
                self.context.metrics.count_repeat("early_hedge")

    def _answer(self, attempt: BaseAttempt) -> None:
        assert attempt.reply is not None
        self._finish()
        answer_reply(
            self.context, self.routed, attempt.reply, self._outcome(attempt.cause)
        )
        self._drop_replies()

    def _fail(self, cause: str) -> None:
        self._finish()
        ran = any(item.may_have_run for item in self.attempts)
        next_use = self.context.state.replicas.next_use(
            self.service, self.routed.replica_domains
        )
        return_seconds = return_after_seconds(pauses=[next_use.after_seconds], needed=1)
        if next_use.cause and cause == NO_REPLICA:
            cause = next_use.cause
        answer_failure(
            self.context,
            self.routed,
            status=502 if ran else 503,
            outcome=self._outcome(cause),
            return_seconds=return_seconds,
        )
        self._drop_replies()

    def _on_deadline(self) -> None:
        if self._done:
            return
        sent = any(item.reached_replica for item in self.attempts)
        self._finish()
        answer_failure(
            self.context,
            self.routed,
            status=504 if sent else 503,
            outcome=self._outcome("deadline_passed"),
        )
        self._drop_replies()

    def _on_caller_disconnected(self) -> None:
        if self._done:
            return
        self._finish()
        if not any(attempt.reached_replica for attempt in self.attempts):
            self.routed.give_back_token()
        if self.routed.route.idempotent:
            for attempt in self.attempts:
                attempt.abandon()
        self.context.metrics.count_caller_disconnect(self.routed.route)
        self._outcome("caller_left").log(
            self.context, self.routed, status=None, good=False
        )
        self._drop_replies()

    def _finish(self) -> None:
        self._done = True
        state = self.context.state
        # A single request may be slow because its work is; the median shows queueing.
        self.permit.release(
            elapsed_ms=state.typical_latency(self.routed.route).typical_ms
            * ELAPSED_PER_MEDIAN,
            now_seconds=self.context.loop.time(),
        )
        self.routed.request.on_disconnect = None
        self.context.suspect_reporter.record_losses(
            self._crash_evidence, self.routed, crash_checks(self.attempts)
        )
        for timer in self._timers:
            timer.cancel()
        for attempt in self.attempts:
            if not attempt.ended:
                attempt.discard()
        # Attempts refer back to the request, which so waits for a collection of cycles.
        # The fingerprint of a request that has lost replicas is taken from its body.
        if not self._crash_evidence.losses:
            self.routed.request.drop_body()

    def _drop_replies(self) -> None:
        for attempt in self.attempts:
            attempt.drop_reply()

    def _outcome(self, cause: str) -> Outcome:
        return Outcome(attempts=self.attempts, cause=cause)
