"""Fan-out of a request to all shards of an index, and the merge of the replies."""

import asyncio
from collections.abc import Sequence
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
from bronzebeam.gateway.crash_query import count_survivors
from bronzebeam.gateway.delegation import Delegation, DelegationResult
from bronzebeam.gateway.delegator import Delegator
from bronzebeam.gateway.early_hedges import EarlyHedges
from bronzebeam.gateway.fan_out_progress import FanOutProgress
from bronzebeam.gateway.fan_out_responder import FanOutResponder
from bronzebeam.gateway.outcome import Outcome
from bronzebeam.gateway.peer_codec import REPLICAS_LOST_STATUS
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.replica_choice import ReplicaChoice
from bronzebeam.gateway.replica_set import (
    PEERS_FOR_GONE_REPLICAS,
    REPLICAS_UNREACHABLE,
)
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.gateway.shard_replica_chooser import ShardReplicaChooser
from bronzebeam.gateway.shard_state import NO_REPLICA, NO_REPLY, ShardState
from bronzebeam.routing.crash_suspects import CrashEvidence
from bronzebeam.routing.domain_groups import group_by_domain
from bronzebeam.routing.fan_out_timing import partial_answer_at_seconds
from bronzebeam.routing.hedge_timing import peer_timeout_ms
from bronzebeam.routing.record_merge import reduce_part
from bronzebeam.units import MS_PER_SECOND

BAD_GATEWAY: Final = 502
TIMEOUT_STATUS: Final = 504
REPLICAS_LOST: Final = "replicas_lost"
BUDGET_SPENT: Final = "budget_spent"
TOO_FEW_SHARDS: Final = "too_few_shards"


@define(kw_only=True, eq=False, repr=False)
class FanOutRequest:
    """
    One request that is sent to one replica of each shard.

    Shards whose replica is in another failure domain are delegated in groups to a peer
    there, which merges their records, to reduce the traffic between failure domains. If
    there are many shards, groups are also delegated to peers in the same failure
    domain, since one instance would take too long to read all replies. If a peer fails
    or is late, this instance sends the request to the replicas itself.

    :ivar may_delegate: whether shards may be delegated to peers; false if a peer has
        delegated this request.
    :ivar permit: admission of the request; None if a peer has delegated it.
    :ivar repeated: another instance may have sent the request to replicas already.
    :ivar hedge_after_ms: time after which shards without a reply are hedged.
    """

    context: GatewayContext
    routed: RoutedRequest
    responder: FanOutResponder
    may_delegate: bool
    hedge_after_ms: float
    permit: AdmissionPermit | None = None
    repeated: bool = False
    _progress: FanOutProgress = field(init=False)
    _chooser: ShardReplicaChooser = field(init=False)
    _delegator: Delegator = field(init=False)
    _crash_evidence: CrashEvidence = field(
        factory=lambda: CrashEvidence(needs_confirmation=True)
    )
    _peer_crash_checks: "list[asyncio.Task[int]]" = field(factory=list)
    _unreachable: list[ShardState] = field(factory=list)
    _done: bool = False
    _cutoff_reached: bool = False
    _cutoff_at_seconds: float = 0.0
    _sent_at_seconds: float | None = None
    _hedge_timer: asyncio.TimerHandle | None = None
    _timers: list[asyncio.TimerHandle] = field(factory=list)

    def start(self) -> None:
        """Send the request to one replica of each shard, directly or through peers."""
        routed = self.routed
        loop = self.context.loop
        routed.request.on_disconnect = self._on_caller_disconnected
        routed.request.on_stop = self._on_stop
        self._cutoff_at_seconds = routed.target_at_seconds
        if self.may_delegate:
            self._cutoff_at_seconds = partial_answer_at_seconds(
                target_at_seconds=routed.target_at_seconds,
                now_seconds=loop.time(),
                typical_ms=self.context.state.typical_latency(routed.route).typical_ms,
                answer_delay_ms=self.context.delays.answer.delay_ms,
            )
        self._progress = FanOutProgress(route=routed.route)
        self._chooser = ShardReplicaChooser(
            context=self.context,
            routed=routed,
            progress=self._progress,
            may_delegate=self.may_delegate,
            repeated=self.repeated,
        )
        self._delegator = Delegator(
            context=self.context,
            routed=routed,
            handler=self,
            progress=self._progress,
            hedge_after_ms=self.hedge_after_ms,
            cutoff_at_seconds=self._cutoff_at_seconds,
        )
        self._send_to_all_shards()
        self._sent_at_seconds = loop.time()
        if self._done:
            return
        self._timers = [
            loop.call_at(routed.deadline_at_seconds, self._on_deadline),
            loop.call_at(self._cutoff_at_seconds, self._on_cutoff),
        ]
        if self._delegator.delegations:
            timeout_seconds = peer_timeout_ms(self.hedge_after_ms) / MS_PER_SECOND
            self._timers.append(
                loop.call_at(
                    self._sent_at_seconds + timeout_seconds, self._replace_lost_peers
                )
            )
        self._schedule_hedges()
        if self.context.state.replicas.states_load:
            self._schedule_early_hedges()
        self._answer_if_complete()

    def on_attempt_ended(self, attempt: BaseAttempt, result: AttemptResult) -> None:
        """Include the reply in the answer, or try another replica."""
        assert isinstance(attempt, Attempt)
        if attempt.cause == NO_ROOM_CAUSE and self.permit is not None:
            self.permit.refused_count += 1
        shard = self._progress.shards[attempt.shard_index]
        if self._done or shard.signature is not None:
            return
        if result is AttemptResult.ANSWERED:
            reply = attempt.reply
            assert reply is not None and attempt.reply_metadata is not None
            # Whole replies are not limited in sum, and wait here for the others.
            reply.body = reduce_part(reply.body, count=self.routed.route.top_records)
            self._progress.include(
                shard,
                attempt.reply_metadata.signature,
                reply.body,
                self.context.loop.time(),
            )
            self._record_reply()
        else:
            if result is AttemptResult.FAILED:
                self._record_reply()
            if attempt.connection_lost:
                self._crash_evidence.record_losses()
            self._retry(shard, attempt, result)
        self._answer_if_complete()

    def on_delegation_ended(
        self, delegation: Delegation, result: DelegationResult
    ) -> None:
        """Include a peer's records in the answer, or send to the replicas directly."""
        if self._done:
            return
        replied = False
        signatures: list[bytes | None] = [None] * len(delegation.shards)
        if result is DelegationResult.ANSWERED and self._delegator.has_duplicates(
            delegation
        ):
            delegation.drop_reply()
        elif result is DelegationResult.ANSWERED:
            signatures = delegation.signatures
            replied = any(signatures)
            if replied:
                self._delegator.abandon_duplicates(delegation)
        elif result is DelegationResult.REPLICAS_LOST:
            self._record_losses_at_peer(delegation)
        if delegation.peer_has_no_replica:
            self._request_in_other_domain(delegation)
        missing = []
        sent = result is not DelegationResult.NOT_RUN
        for index, signature in zip(delegation.shards, signatures):
            shard = self._progress.shards[index]
            # A peer that could not or must not send to a replica has sent it nothing.
            if sent and shard.service not in delegation.unsent:
                shard.may_have_run_at_peer = True
            if signature is not None:
                self._progress.include(shard, signature, None, self.context.loop.time())
            elif not shard.is_settled:
                if shard.is_in_progress:
                    continue
                shard.cause = delegation.cause or "missing_at_peer"
                if self._crash_evidence.is_suspect:
                    continue
                if not self._send_again(shard, repeat=shard.may_have_run_at_peer):
                    missing.append(shard)
            if self._done:
                return
        if missing:
            self._request_elsewhere(delegation, missing)
        if replied:
            self._record_reply()
        self._answer_if_complete()

    def _record_losses_at_peer(self, delegation: Delegation) -> None:
        self._crash_evidence.record_losses(len(delegation.shards))
        shards = self._progress.shards
        check = count_survivors(
            self.context,
            self.routed,
            peer=delegation.peer,
            services={shards[index].service for index in delegation.shards},
        )
        self._peer_crash_checks.append(self.context.loop.create_task(check))

    def _request_in_other_domain(self, delegation: Delegation) -> None:
        """
        Delegate shards that a peer has no replica for to peers of other domains.

        The links of the whole domain may be broken, and peers elsewhere have
        connections that this instance would have to open first. A shard that an earlier
        peer may have run is left out: the next peer would not know that, and both
        together would use more replicas than the route allows.
        """
        if not self.may_delegate or self._crash_evidence.is_suspect:
            return
        shards = [self._progress.shards[index] for index in delegation.shards]
        self._delegator.delegate_to_other_domains(
            [
                shard.index
                for shard in shards
                if not (shard.is_settled or shard.is_in_progress or shard.may_have_run)
            ]
        )

    def _request_elsewhere(
        self, delegation: Delegation, missing: Sequence[ShardState]
    ) -> None:
        """Request shards that a peer lacks from other peers, if that may help."""
        unreachable: list[int] = []
        unknown: list[int] = []
        left = []
        for shard in missing:
            is_unreachable = shard.service in delegation.unreachable
            if is_unreachable:
                shard.unreachable_at.add(delegation.peer)
            if shard.cause != REPLICAS_UNREACHABLE:
                left.append(shard)
            elif len(shard.unreachable_at) >= PEERS_FOR_GONE_REPLICAS:
                self.context.state.replicas.record_unreachable_at_peers(shard.service)
                left.append(shard)
            elif not shard.may_have_run:
                unreachable.append(shard.index)
            elif not delegation.signatures:
                unknown.append(shard.index)
            else:
                left.append(shard)
        if unreachable:
            unreachable = self._delegator.delegate_unreachable(unreachable)
        if unknown and self._delegator.delegate_again(delegation, unknown):
            unknown = []
        left.extend(self._progress.shards[index] for index in unreachable + unknown)
        declined = [item for item in left if item.service in delegation.declined]
        for shard in declined:
            left.remove(shard)
            self._progress.mark_failed(shard, shard.cause)
        if left and not self._delegator.request_missing(delegation, left):
            for shard in left:
                self._progress.mark_failed(shard, shard.cause)

    def _record_reply(self) -> None:
        """
        Record that a replica has replied, which clears the request of crash suspicion.

        Sends the request again to shards for which this was suspended until then.
        """
        was_suspect = self._crash_evidence.is_suspect
        self._crash_evidence.replied = True
        if not was_suspect:
            return
        for shard in self._progress.shards:
            if not shard.is_settled and not shard.is_in_progress:
                if not self._send_again(shard, repeat=True):
                    self._progress.mark_failed(shard, shard.cause)

    def _probe_suspected_crash(self) -> None:
        """
        Send the request to one more replica, to find out whether it crashes replicas.

        Fails the request if a replica that it was sent to before did not survive it.
        """
        if any(shard.is_in_progress for shard in self._progress.shards):
            return
        unsettled = [shard for shard in self._progress.shards if not shard.is_settled]
        if self.may_delegate and not self._crash_evidence.confirmation_sent:
            self._crash_evidence.confirmation_sent = True
            for shard in unsettled:
                if self._send_again(shard, repeat=True):
                    return
        # A peer sees only some of the shards; the delegating instance decides.
        status = BAD_GATEWAY if self.may_delegate else REPLICAS_LOST_STATUS
        self._fail(cause=REPLICAS_LOST, status=status)

    def _send_to_all_shards(self) -> None:
        plan = self._chooser.plan()
        if self._progress.can_be_sufficient:
            self._send_through_peers(plan.unreachable)
        if not self._progress.can_be_sufficient:
            # Nothing has been sent yet, unless to a peer, so the caller may come back.
            self._fail(cause=TOO_FEW_SHARDS, status=BAD_GATEWAY)
            return
        direct = list(plan.direct)
        if self.may_delegate:
            by_domain = group_by_domain(
                {
                    index: choice.suitable_domains
                    for index, choice in plan.delegated.items()
                },
                rng=self.context.rng,
            )
            direct, groups = self._delegator.divide(direct, by_domain)
            # Delegations are sent first, since their replies take longer.
            for group in groups:
                if not self._delegator.delegate(group) and not (
                    self.context.state.replicas.links.is_impaired
                    and self._delegator.delegate_to_any(group)
                ):
                    direct.extend(group.shards)
        choices = plan.choices
        for index in (*plan.limited, *direct):
            shard = self._progress.shards[index]
            self._send_first_attempt(shard, choices[index])
            if self._done:
                return

    def _send_through_peers(self, unreachable: Sequence[ShardState]) -> None:
        """Delegate shards whose replicas can't be reached, whatever their domain."""
        left = self._delegator.delegate_unreachable(
            [shard.index for shard in unreachable]
        )
        for index in left:
            shard = self._progress.shards[index]
            self._progress.mark_failed(shard, REPLICAS_UNREACHABLE)

    def _send_first_attempt(self, shard: ShardState, planned: ReplicaChoice) -> None:
        choice: ReplicaChoice | None = planned
        if planned.replica.seconds_until_turn(self.context.loop.time()) > 0.0:
            # It was chosen for an owner to send to, but no owner could be asked.
            choice = self._chooser.choose(shard, excluded=shard.excluded, repeat=False)
        if choice is None:
            self._progress.mark_failed(shard, shard.cause)
            return
        # Only the instance that sends a first attempt counts it, so that each
        # is counted once.
        budget = self.context.state.repeat_budget(shard.service)
        if not self.repeated:
            budget.record_first_attempts(self.context.loop.time())
        elif self.context.state.remaining_repeats(shard.service) >= 1.0:
            budget.record_repeat(self.context.loop.time())
        else:
            self._progress.mark_failed(shard, BUDGET_SPENT)
            return
        self._send_attempt(shard, choice.replica)

    def _send_again(
        self, shard: ShardState, *, repeat: bool, excluded: set[Replica] | None = None
    ) -> bool:
        if repeat and not self._chooser.may_repeat(shard):
            return False
        choice = self._chooser.choose(
            shard,
            excluded=shard.excluded if excluded is None else excluded,
            repeat=True,
        )
        if choice is None:
            return False
        now_seconds = self.context.loop.time()
        budget = self.context.state.repeat_budget(shard.service)
        if repeat:
            budget.record_repeat(now_seconds)
        elif not shard.send_count:
            budget.record_first_attempts(now_seconds)
        self._send_attempt(shard, choice.replica)
        return True

    def _send_attempt(self, shard: ShardState, replica: Replica) -> None:
        shard.excluded.add(replica)
        shard.cause = NO_REPLY
        attempt = Attempt(
            context=self.context,
            routed=self.routed,
            replica=replica,
            handler=self,
            shard_index=shard.index,
            is_repeat=shard.send_count > 0 or shard.delegation is not None,
        )
        shard.attempts.append(attempt)
        attempt.send()

    def _retry(
        self, shard: ShardState, attempt: Attempt, result: AttemptResult
    ) -> None:
        shard.cause = attempt.cause
        if shard.is_in_progress or shard.failed or self._crash_evidence.is_suspect:
            return
        repeat = result is not AttemptResult.NOT_SENT
        tried_replicas = set(shard.excluded)
        if result is AttemptResult.NOT_RUN:
            # If there is no other replica, this one may soon be free again.
            shard.excluded.discard(attempt.replica)
        if not self._send_again(shard, repeat=repeat, excluded=tried_replicas):
            if len(tried_replicas) == len(shard.excluded) or not self._send_again(
                shard, repeat=repeat
            ):
                self._delegate_or_fail(shard, attempt.cause)

    def _delegate_or_fail(self, shard: ShardState, cause: str) -> None:
        """Ask a peer for a shard if only this instance may be unable to reach it."""
        if (
            not self.may_delegate
            or shard.cause != REPLICAS_UNREACHABLE
            or shard.may_have_run
        ):
            self._progress.mark_failed(shard, cause)
            return
        # Connections to several replicas fail at the same time, and one peer may be
        # able to reach all of them.
        if not self._unreachable:
            self.context.loop.call_soon(self._delegate_unreachable)
        self._unreachable.append(shard)

    def _delegate_unreachable(self) -> None:
        unreachable, self._unreachable = self._unreachable, []
        if self._done:
            return
        self._send_through_peers(unreachable)
        self._answer_if_complete()

    # Timers.

    def _schedule_hedges(self) -> None:
        self._hedge_timer = self.context.loop.call_later(
            self.hedge_after_ms / MS_PER_SECOND, self._hedge
        )

    def _schedule_early_hedges(self) -> None:
        early = EarlyHedges(
            context=self.context,
            routed=self.routed,
            hedge_after_ms=self.hedge_after_ms,
        )
        self._timers.append(
            self.context.loop.call_later(
                early.check_after_seconds, self._hedge_early, early
            )
        )

    def _hedge_early(self, early: EarlyHedges) -> None:
        """Send a hedge for each shard whose replica states that it will be late."""
        if self._done or self._crash_evidence.is_suspect:
            return
        for shard in self._progress.shards:
            if shard.is_settled or shard.delegation or len(shard.attempts) != 1:
                continue
            choose_other = partial(
                self._chooser.choose, shard, excluded=shard.excluded, repeat=True
            )
            if early.is_due(shard.attempts[0], choose_other) and self._send_again(
                shard, repeat=True
            ):
                self.context.metrics.count_repeat("early_hedge")

    def _hedge(self) -> None:
        """Send a hedge for each shard that has no reply yet."""
        if self._done:
            return
        self.responder.on_delay()
        if self._crash_evidence.is_suspect:
            self._schedule_hedges()
            return
        for shard in self._progress.shards:
            if (
                shard.is_settled
                or shard.delegation is not None
                or len(shard.attempts) > 1
            ):
                continue
            if self._send_again(shard, repeat=True):
                self.context.metrics.count_repeat("hedge")
        self._schedule_hedges()

    def _replace_lost_peers(self) -> None:
        """Send the shards of peers that count as lost to other peers or replicas."""
        if self._done:
            return
        for delegation in self._delegator.lost_delegations():
            delegation.mark_late()
            if (
                self._crash_evidence.is_suspect
                or self._delegator.delegate_to_other_owner(delegation)
            ):
                continue
            unreachable = []
            for index in delegation.shards:
                shard = self._progress.shards[index]
                if shard.is_settled:
                    continue
                if self._send_again(shard, repeat=True):
                    self.context.metrics.count_repeat("late_peer")
                elif shard.cause == REPLICAS_UNREACHABLE:
                    unreachable.append(index)
            if unreachable:
                self._delegator.delegate_again(delegation, unreachable)

    def _on_cutoff(self) -> None:
        self._cutoff_reached = True
        self._answer_if_complete()
        if self._done and not self.routed.is_for_peer:
            delay_seconds = self.context.loop.time() - self._cutoff_at_seconds
            self.context.metrics.record_cutoff_delay(delay_seconds)
            self.context.delays.answer.observe(delay_seconds * MS_PER_SECOND)

    def _on_deadline(self) -> None:
        if not self._done:
            self._fail(cause="deadline_passed", status=TIMEOUT_STATUS)

    def _on_stop(self) -> None:
        """Answer with the shards that are in, since the process is about to exit."""
        self._cutoff_reached = True
        self._answer_if_complete()
        self._on_deadline()

    def _on_caller_disconnected(self) -> None:
        if self._done:
            return
        if not self._progress.may_have_run:
            self.routed.give_back_token()
        self._finish(sample_elapsed=False)
        for shard in self._progress.shards:
            for attempt in shard.attempts:
                attempt.abandon()
        self._delegator.abandon()
        self.context.metrics.count_caller_disconnect(self.routed.route)
        self._outcome(cause="caller_left").log(
            self.context, self.routed, status=None, good=False
        )
        self._drop_replies()

    def _answer_if_complete(self) -> None:
        """Answer or fail if there is nothing left to wait for."""
        if self._done:
            return
        if self._crash_evidence.is_suspect:
            self._probe_suspected_crash()
            return
        progress = self._progress
        if progress.pending == 0 and not progress.may_have_run:
            self._fail(cause=NO_REPLICA, status=503)
            return
        is_sufficient = progress.is_sufficient and (
            progress.included > 0 or self.responder.allows_empty
        )
        if is_sufficient and (progress.pending == 0 or self._cutoff_reached):
            self._answer()
        elif progress.pending == 0 or not progress.can_be_sufficient:
            self._fail(cause=TOO_FEW_SHARDS, status=BAD_GATEWAY)

    def _answer(self) -> None:
        self._finish(sample_elapsed=True)
        self.responder.answer(
            self._progress.shards,
            records=self._progress.merge_records(self._delegator.delegations),
            outcome=self._outcome(),
        )
        self._drop_replies()

    def _fail(self, *, cause: str, status: int) -> None:
        # A missed deadline indicates queueing; an earlier failure indicates unavailable
        # shards, which are no measure of the load.
        self._finish(sample_elapsed=status == TIMEOUT_STATUS)
        self.responder.fail(
            self._progress.shards,
            status=status if self._progress.may_have_run else 503,
            outcome=self._outcome(cause=cause),
            return_seconds=self._chooser.return_after_seconds(),
        )
        self._drop_replies()

    def _finish(self, *, sample_elapsed: bool) -> None:
        """
        End all work and release the permit.

        :param sample_elapsed: if too few shards have replied, record the time until now
            as a latency sample for admission control.
        """
        self._done = True
        if self.may_delegate:
            self.context.suspect_reporter.record_losses(
                self._crash_evidence,
                self.routed,
                [
                    *self._peer_crash_checks,
                    *crash_checks(
                        item
                        for shard in self._progress.shards
                        for item in shard.attempts
                    ),
                ],
            )
        if self.permit is not None:
            now_seconds = self.context.loop.time()
            end_at = self._progress.sufficient_at_seconds or (
                now_seconds if sample_elapsed else None
            )
            elapsed_ms = None
            if end_at is not None:
                start_at = self.routed.request.arrived_at_seconds
                elapsed_ms = (end_at - start_at) * MS_PER_SECOND
            self.permit.release(elapsed_ms=elapsed_ms, now_seconds=now_seconds)
        self.routed.request.on_disconnect = None
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for timer in self._timers:
            timer.cancel()
        for shard in self._progress.shards:
            for attempt in shard.attempts:
                if not attempt.ended:
                    attempt.discard()
        self._delegator.discard()

    def _drop_replies(self) -> None:
        for shard in self._progress.shards:
            shard.body = None
            for attempt in shard.attempts:
                attempt.drop_reply()
        for delegation in self._delegator.delegations:
            delegation.body = b""

    def _outcome(self, *, cause: str = "") -> Outcome:
        return Outcome(
            attempts=[
                item for shard in self._progress.shards for item in shard.attempts
            ],
            cause=cause,
            included=self._progress.included,
            missing=[
                f"{shard.service}:{shard.cause}" for shard in self._progress.missing
            ],
            peers=self._delegator.describe_failures(),
            steps={
                "sent_ms": self._sent_at_seconds,
                "sufficient_ms": self._progress.sufficient_at_seconds,
                "cutoff_ms": self._cutoff_at_seconds,
            },
        )
