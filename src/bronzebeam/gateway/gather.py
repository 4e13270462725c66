"""Fan-out of a request over the shards of an index, and the merge of the replies."""

import asyncio
from typing import Final

from attrs import define, field

from bronzebeam.gateway.admission import Ticket
from bronzebeam.gateway.attempt import Attempt, AttemptResult
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.delegation import Delegation, DelegationResult
from bronzebeam.gateway.gather_answers import GatherAnswers
from bronzebeam.gateway.gather_orders import GatherOrders
from bronzebeam.gateway.gather_parts import GatherParts
from bronzebeam.gateway.outcome import Outcome
from bronzebeam.gateway.peer_codec import REPLICAS_LOST_STATUS
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.replica_set import ReplicaChoice, SharedShard
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.gateway.shard_run import NO_REPLICA, NO_REPLY, ShardRun
from bronzebeam.routing.crash_suspects import CrashEvidence
from bronzebeam.routing.domain_groups import group_by_domain
from bronzebeam.routing.fan_out_timing import (
    partial_answer_at_seconds,
    should_skip_shard,
)
from bronzebeam.routing.hedge_timing import peer_timeout_ms
from bronzebeam.units import MS_PER_SECOND

MAX_REJECTIONS: Final = 4  # sends of one sub-request that replicas may turn away
BAD_GATEWAY: Final = 502
TIMEOUT_STATUS: Final = 504
TOO_SLOW: Final = "too_slow"
REPLICAS_LOST: Final = "replicas_lost"
BUDGET_SPENT: Final = "budget_spent"


@define(kw_only=True, eq=False, repr=False)
class FanOutRequest:
    """
    One request on its way to one replica of each shard.

    Shards whose replica is in another failure domain are handed in groups to a peer
    there, which merges their records: less crosses between the domains. Where there
    are many shards, peers in the same failure domain take groups too, since one
    instance would be late reading all replies. A peer's failure or delay sends the
    request to their replicas from here.

    :ivar may_delegate: whether peers may be asked; not for what a peer has asked.
    :ivar ticket: place among the requests in flight; None for what a peer has asked.
    :ivar repeated: another instance may have sent the request to replicas already.
    :ivar hedge_after_ms: wait before shards without a reply are sent to again.
    """

    context: GatewayContext
    routed: RoutedRequest
    answers: GatherAnswers
    may_delegate: bool
    hedge_after_ms: float
    ticket: Ticket | None = None
    repeated: bool = False
    _parts: GatherParts = field(init=False)
    _orders: GatherOrders = field(init=False)
    _evidence: CrashEvidence = field(
        factory=lambda: CrashEvidence(needs_confirmation=True)
    )
    _done: bool = False
    _overdue: bool = False
    _cutoff_at_seconds: float = 0.0
    _peers_lost_at: float = 0.0
    _hedge_timer: asyncio.TimerHandle | None = None
    _timers: list[asyncio.TimerHandle] = field(factory=list)

    def start(self) -> None:
        """Send the request to one replica of each shard, or to peers."""
        routed = self.routed
        loop = self.context.loop
        routed.request.on_gone = self._caller_gone
        self._cutoff_at_seconds = routed.target_at_seconds
        if self.may_delegate:
            self._cutoff_at_seconds = partial_answer_at_seconds(
                target_at_seconds=routed.target_at_seconds,
                now_seconds=loop.time(),
                typical_ms=self.context.state.typical_latency(routed.route).typical_ms,
            )
        self._peers_lost_at = loop.time() + (
            peer_timeout_ms(self.hedge_after_ms) / MS_PER_SECOND
        )
        self._parts = GatherParts(route=routed.route)
        self._orders = GatherOrders(
            context=self.context,
            routed=routed,
            owner=self,
            parts=self._parts,
            hedge_after_ms=self.hedge_after_ms,
            cutoff_at_seconds=self._cutoff_at_seconds,
        )
        self._send_all()
        if self._done:
            return
        self._timers = [
            loop.call_at(routed.deadline_at_seconds, self._deadline_passed),
            loop.call_at(self._cutoff_at_seconds, self._cutoff_passed),
        ]
        if self._orders.delegations:
            self._timers.append(
                loop.call_at(self._peers_lost_at, self._find_lost_peers)
            )
        self._schedule_hedges()
        self._settle()

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Take a part into the answer, or try another replica."""
        run = self._parts.shards[attempt.shard]
        if self._done or run.signature is not None:
            return
        if result is AttemptResult.ANSWERED:
            assert attempt.reply is not None and attempt.reply_metadata is not None
            self._parts.include(
                run,
                attempt.reply_metadata.signature,
                attempt.reply.body,
                self.context.loop.time(),
            )
            self._note_reply()
        else:
            if result is AttemptResult.FAILED:
                self._note_reply()
            if attempt.connection_lost:
                self._evidence.record_losses()
            self._retry(run, attempt, result)
        self._settle()

    def delegation_ended(
        self, delegation: Delegation, result: DelegationResult
    ) -> None:
        """Take a peer's records into the answer, or send to the replicas."""
        if self._done:
            return
        replied = False
        signatures: list[bytes | None] = [None] * len(delegation.shards)
        if result is DelegationResult.ANSWERED:
            signatures = delegation.signatures
            replied = any(signatures)
            if replied:
                self._orders.drop_rivals(delegation)
        elif result is DelegationResult.REPLICAS_LOST:
            self._evidence.record_losses(len(delegation.shards))
        missing = []
        for index, signature in zip(delegation.shards, signatures):
            run = self._parts.shards[index]
            if signature is not None:
                self._parts.include(run, signature, None, self.context.loop.time())
            elif not run.settled and not run.under_way:
                run.cause = delegation.cause or "missing_at_peer"
                if self._evidence.is_suspect:
                    continue
                repeat = result is not DelegationResult.NOT_RUN
                if not self._send_again(run, repeat=repeat):
                    missing.append(run)
            if self._done:
                return
        if missing and not self._orders.ask_again(delegation, missing):
            for run in missing:
                self._parts.give_up(run, run.cause)
        if replied:
            self._note_reply()
        self._settle()

    def _note_reply(self) -> None:
        """Send what was held back while the request seemed to crash replicas."""
        was_suspicious = self._evidence.is_suspect
        self._evidence.replied = True
        if not was_suspicious:
            return
        for run in self._parts.shards:
            if not run.settled and not run.under_way:
                if not self._send_again(run, repeat=True):
                    self._parts.give_up(run, run.cause)

    def _prove(self) -> None:
        """Ask one replica whether the request crashes whatever runs it."""
        if any(run.under_way for run in self._parts.shards):
            return
        waiting = [run for run in self._parts.shards if not run.settled]
        if self.may_delegate and not self._evidence.confirmation_sent:
            self._evidence.confirmation_sent = True
            for run in waiting:
                if self._send_again(run, repeat=True):
                    return
        # A peer sees some of the shards only, so its sender judges.
        status = BAD_GATEWAY if self.may_delegate else REPLICAS_LOST_STATUS
        self._fail(cause=REPLICAS_LOST, status=status)

    def _send_all(self) -> None:
        near: dict[int, ReplicaChoice] = {}
        elsewhere: dict[int, ReplicaChoice] = {}
        for run in self._parts.shards:
            choice = self._choose(run, run.excluded, repeat=False)
            if choice is None:
                self._parts.give_up(run, run.cause)
            elif self._may_hand_over(choice):
                elsewhere[run.index] = choice
            else:
                near[run.index] = choice
        if self._done:
            return
        by_domain = group_by_domain(
            {index: choice.suitable_domains for index, choice in elsewhere.items()},
            rng=self.context.rng,
        )
        choices = {**near, **elsewhere}
        direct = list(near)
        if self.may_delegate:
            direct, groups = self._orders.divide(direct, by_domain)
            # Orders go first: their replies take longer.
            for group in groups:
                if not self._orders.hand_over(group):
                    direct.extend(group.shards)
        for index in direct:
            self._send_first(self._parts.shards[index], choices[index])
            if self._done:
                return

    def _may_hand_over(self, choice: ReplicaChoice) -> bool:
        own_domain = self.context.state.own_domain
        return self.may_delegate and choice.replica.record.failure_domain != own_domain

    def _send_first(self, run: ShardRun, choice: ReplicaChoice) -> None:
        # A first sub-request counts where it is sent, so that the sum is right.
        budget = self.context.state.resend_budget(run.service)
        if not self.repeated:
            budget.record_first_attempts(self.context.loop.time())
        elif self.context.state.remaining_resends(run.service) >= 1.0:
            budget.record_resend(self.context.loop.time())
        else:
            self._parts.give_up(run, BUDGET_SPENT)
            return
        self._launch(run, choice.replica)

    def _send_again(
        self, run: ShardRun, *, repeat: bool, excluded: set[Replica] | None = None
    ) -> bool:
        if repeat and not self._repeat_allowed(run):
            return False
        choice = self._choose(
            run, run.excluded if excluded is None else excluded, repeat=True
        )
        if choice is None:
            return False
        now_seconds = self.context.loop.time()
        budget = self.context.state.resend_budget(run.service)
        if repeat:
            budget.record_resend(now_seconds)
        elif not run.sends:
            budget.record_first_attempts(now_seconds)
        self._launch(run, choice.replica)
        return True

    def _launch(self, run: ShardRun, replica: Replica) -> None:
        run.excluded.add(replica)
        run.cause = NO_REPLY
        attempt = Attempt(
            context=self.context,
            routed=self.routed,
            replica=replica,
            owner=self,
            shard=run.index,
        )
        run.attempts.append(attempt)
        attempt.launch()

    def _choose(
        self, run: ShardRun, excluded: set[Replica], *, repeat: bool
    ) -> ReplicaChoice | None:
        choice = self.context.state.choose_replica(
            service=run.service,
            excluded=excluded,
            route=self.routed.route,
            shared=self._shared_work(run),
        )
        if choice is None:
            return None
        left_seconds = self.routed.target_at_seconds - self.context.loop.time()
        skippable = len(self._parts.shards) * (
            1.0 - self.routed.route.least_shard_share
        )
        if should_skip_shard(
            estimate_ms=choice.estimate_ms,
            remaining_ms=left_seconds * MS_PER_SECOND,
            is_resend=repeat,
            missing=self._parts.given_up,
            max_missing=int(skippable),
        ):
            run.cause = TOO_SLOW
            return None
        return choice

    def _shared_work(self, run: ShardRun) -> SharedShard | None:
        """Return what this instance shares the shard with, if it does."""
        if not self.may_delegate:
            return SharedShard(
                domain=self.context.state.own_domain,
                may_use_any_replica=not self.repeated,
            )
        if run.delegation is not None:
            domain = run.delegation.peer.record.failure_domain
            return SharedShard(domain=domain, may_use_any_replica=False)
        return None

    def _repeat_allowed(self, run: ShardRun) -> bool:
        return (
            run.sends <= MAX_REJECTIONS
            and run.may_have_run < self.routed.route.max_attempts
            and self.context.state.remaining_resends(run.service) >= 1.0
        )

    def _retry(self, run: ShardRun, attempt: Attempt, result: AttemptResult) -> None:
        run.cause = attempt.cause
        if run.under_way or run.failed or self._evidence.is_suspect:
            return
        repeat = result is not AttemptResult.NOT_SENT
        others = set(run.excluded)
        if result is AttemptResult.NOT_RUN:
            # It may be free again in a moment, where there is no other replica.
            run.excluded.discard(attempt.replica)
        if not self._send_again(run, repeat=repeat, excluded=others):
            if len(others) == len(run.excluded) or not self._send_again(
                run, repeat=repeat
            ):
                self._parts.give_up(run, attempt.cause)

    # Time.

    def _schedule_hedges(self) -> None:
        self._hedge_timer = self.context.loop.call_later(
            self.hedge_after_ms / MS_PER_SECOND, self._hedge
        )

    def _hedge(self) -> None:
        """Send once more for each shard that has no reply yet."""
        if self._done:
            return
        self.answers.still_working()
        if self._evidence.is_suspect:
            self._schedule_hedges()
            return
        for run in self._parts.shards:
            if run.settled or run.delegation is not None or len(run.attempts) > 1:
                continue
            if self._send_again(run, repeat=True):
                self.context.metrics.count_resend("hedge")
        self._schedule_hedges()

    def _find_lost_peers(self) -> None:
        """Have the shards of peers that have said nothing gathered by others."""
        if self._done:
            return
        for delegation in self._orders.lost():
            delegation.note_late()
            if self._evidence.is_suspect or self._orders.hand_over_again(delegation):
                continue
            for index in delegation.shards:
                run = self._parts.shards[index]
                if not run.settled and self._send_again(run, repeat=True):
                    self.context.metrics.count_resend("late_peer")

    def _cutoff_passed(self) -> None:
        self._overdue = True
        self._settle()

    def _deadline_passed(self) -> None:
        if not self._done:
            self._fail(cause="deadline_passed", status=TIMEOUT_STATUS)

    def _caller_gone(self) -> None:
        if self._done:
            return
        self._finish(telling=False)
        for run in self._parts.shards:
            for attempt in run.attempts:
                attempt.abandon()
        self._orders.abandon()
        self.context.metrics.count_caller_disconnect(self.routed.route)
        self._outcome(cause="caller_left").log(
            self.context, self.routed, status=None, good=False
        )

    def _settle(self) -> None:
        """Answer if nothing is worth waiting for any more."""
        if self._done:
            return
        if self._evidence.is_suspect:
            self._prove()
            return
        parts = self._parts
        if parts.open == 0 and not parts.may_have_run:
            self._fail(cause=NO_REPLICA, status=503)
            return
        enough = parts.enough and (parts.included > 0 or self.answers.empty_allowed)
        if enough and (parts.open == 0 or self._overdue):
            self._answer()
        elif parts.open == 0 or not parts.reachable:
            self._fail(cause="too_few_shards", status=BAD_GATEWAY)

    def _answer(self) -> None:
        self._finish(telling=True)
        self.answers.answer(
            self._parts.shards,
            records=self._parts.records(self._orders.delegations),
            outcome=self._outcome(),
        )

    def _fail(self, *, cause: str, status: int) -> None:
        # Too few shards at once are dead ones; a deadline that passes shows queues.
        self._finish(telling=status == TIMEOUT_STATUS)
        self.answers.fail(
            status=status if self._parts.may_have_run else 503,
            outcome=self._outcome(cause=cause),
        )

    def _finish(self, *, telling: bool) -> None:
        """
        End all work.

        :param telling: the time until now tells of the load, if too few shards replied.
        """
        self._done = True
        if self.may_delegate:
            self.context.suspect_reporter.record_losses(self._evidence, self.routed)
        if self.ticket is not None:
            now_seconds = self.context.loop.time()
            end_at = self._parts.enough_at_seconds or (now_seconds if telling else None)
            elapsed_ms = None
            if end_at is not None:
                start_at = self.routed.request.arrived_at_seconds
                elapsed_ms = (end_at - start_at) * MS_PER_SECOND
            self.ticket.leave(elapsed_ms=elapsed_ms, now_seconds=now_seconds)
        self.routed.request.on_gone = None
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for timer in self._timers:
            timer.cancel()
        for run in self._parts.shards:
            for attempt in run.attempts:
                if not attempt.ended:
                    attempt.discard()
        self._orders.discard()

    def _outcome(self, *, cause: str = "") -> Outcome:
        return Outcome(
            attempts=[item for run in self._parts.shards for item in run.attempts],
            cause=cause,
            included=self._parts.included,
            missing=[f"{run.service}:{run.cause}" for run in self._parts.missing],
            peers=self._orders.describe_failures(),
        )
