"""Fan-out of a request over the shards of an index, and the merge of the replies."""

import asyncio
from typing import Final

from attrs import define, field

from bronzebeam.gateway.attempt import Attempt, AttemptResult
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.outcome import Outcome, answer_failure, answer_merged
from bronzebeam.gateway.replica import MS_PER_SECOND, Replica
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.routing.gather_timing import (
    answer_without_missing_at,
    is_not_worth_sending,
)
from bronzebeam.routing.hedge_timing import second_send_after_ms
from bronzebeam.routing.record_merge import merge_greatest

NO_REPLICA: Final = "no_replica"
NO_REPLY: Final = "no_reply"
REJECTED_MAX: Final = 4  # sends of one sub-request that replicas may turn away


@define(kw_only=True, eq=False, repr=False)
class ShardRun:
    """
    The attempts for one shard.

    :ivar part: the reply that is in the answer.
    :ivar failed: no further attempt may be made.
    """

    index: int
    service: str
    attempts: list[Attempt] = field(factory=list)
    excluded: set[Replica] = field(factory=set)
    part: Attempt | None = None
    failed: bool = False
    cause: str = NO_REPLICA

    @property
    def may_have_run(self) -> int:
        """Return on how many replicas the request ran, or may have."""
        return sum(1 for item in self.attempts if item.may_have_run)

    @property
    def under_way(self) -> bool:
        """Whether an attempt has no end yet."""
        return any(not item.ended for item in self.attempts)


@define(kw_only=True, eq=False, repr=False)
class Gather:
    """One request on its way to one replica of each shard."""

    context: GatewayContext
    routed: RoutedRequest
    _shards: list[ShardRun] = field(factory=list)
    _open: int = 0
    _included: int = 0
    _done: bool = False
    _overdue: bool = False
    _hedge_timer: asyncio.TimerHandle | None = None
    _timers: list[asyncio.TimerHandle] = field(factory=list)

    def start(self) -> None:
        """Send the request to one replica of each shard."""
        routed = self.routed
        loop = self.context.loop
        now_seconds = loop.time()
        routed.request.on_gone = self._caller_gone
        self._shards = [
            ShardRun(index=index, service=service)
            for index, service in enumerate(routed.route.shards)
        ]
        self._open = len(self._shards)
        for run in self._shards:
            self.context.state.budget(run.service).count_first(now_seconds)
            if not self._send(run, repeat=False):
                self._give_up(run, run.cause)
            if self._done:
                return
        self._timers = [
            loop.call_at(routed.deadline_at_seconds, self._deadline_passed),
            loop.call_at(self._cutoff_at(now_seconds), self._cutoff_passed),
        ]
        self._schedule_hedges()
        self._settle()

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Take a part into the answer, or try another replica."""
        run = self._shards[attempt.shard]
        if self._done or run.part is not None:
            return
        if result is AttemptResult.ANSWERED:
            run.part = attempt
            self._open -= 1
            self._included += 1
        else:
            self._retry(run, attempt, result)
        self._settle()

    def _retry(self, run: ShardRun, attempt: Attempt, result: AttemptResult) -> None:
        run.cause = attempt.cause
        if run.under_way or run.failed:
            return
        if result is AttemptResult.NOT_RUN:
            # It may be free again in a moment, where there is no other replica.
            run.excluded.discard(attempt.replica)
            others = run.excluded | {attempt.replica}
        else:
            others = run.excluded
        free = result is AttemptResult.NOT_SENT
        if not free and not self._repeat_allowed(run):
            self._give_up(run, attempt.cause)
        elif not self._send(run, repeat=not free, excluded=others):
            if others is run.excluded or not self._send(run, repeat=not free):
                self._give_up(run, attempt.cause)

    def _repeat_allowed(self, run: ShardRun) -> bool:
        reached = sum(1 for item in run.attempts if item.reached_replica)
        return (
            reached <= REJECTED_MAX
            and run.may_have_run < self.routed.route.max_attempts
            and self.context.state.repeats_left(run.service) >= 1.0
        )

    def _send(
        self, run: ShardRun, *, repeat: bool, excluded: set[Replica] | None = None
    ) -> bool:
        state = self.context.state
        choice = state.choose(
            service=run.service,
            excluded=run.excluded if excluded is None else excluded,
            route=self.routed.route,
        )
        if choice is None:
            return False
        if self._is_hopeless(choice.estimate_ms, repeat=repeat):
            run.cause = "too_slow"
            return False
        if repeat:
            state.budget(run.service).count_repeat(self.context.loop.time())
        run.excluded.add(choice.replica)
        attempt = Attempt(
            context=self.context,
            routed=self.routed,
            replica=choice.replica,
            owner=self,
            shard=run.index,
        )
        run.attempts.append(attempt)
        run.cause = NO_REPLY
        attempt.launch()
        return True

    def _is_hopeless(self, estimate_ms: float, *, repeat: bool) -> bool:
        """Whether a reply would come too late to be of use."""
        left_ms = (
            self.routed.target_at_seconds - self.context.loop.time()
        ) * MS_PER_SECOND
        skippable = len(self._shards) * (1.0 - self.routed.route.least_shard_share)
        return is_not_worth_sending(
            estimate_ms=estimate_ms,
            left_ms=left_ms,
            repeat=repeat,
            missing=sum(1 for run in self._shards if run.failed),
            skippable=int(skippable),
        )

    def _give_up(self, run: ShardRun, cause: str) -> None:
        if not run.failed:
            run.failed = True
            run.cause = cause
            self._open -= 1

    def _schedule_hedges(self) -> None:
        delay_ms = second_send_after_ms(
            typical_ms=self.context.state.typical(self.routed.route).typical_ms,
            target_latency_ms=self.routed.route.target_latency_ms,
        )
        self._hedge_timer = self.context.loop.call_later(
            delay_ms / MS_PER_SECOND, self._hedge
        )

    def _hedge(self) -> None:
        """Send once more for each shard that has no reply yet."""
        if self._done:
            return
        for run in self._shards:
            if run.part is not None or run.failed or len(run.attempts) > 1:
                continue
            if self._repeat_allowed(run) and self._send(run, repeat=True):
                self.context.metrics.repeated("hedge")
        self._schedule_hedges()

    def _cutoff_at(self, now_seconds: float) -> float:
        state = self.context.state
        return answer_without_missing_at(
            target_at_seconds=self.routed.target_at_seconds,
            now_seconds=now_seconds,
            typical_ms=state.typical(self.routed.route).typical_ms,
        )

    def _settle(self) -> None:
        """Answer if nothing is worth waiting for any more."""
        if self._done:
            return
        total = len(self._shards)
        least = self.routed.route.least_shard_share * total
        if self._open == 0:
            if self._included and self._included >= least:
                self._answer()
            else:
                self._fail()
        elif self._overdue and self._included and self._included >= least:
            self._answer()
        elif self._included + self._open < least:
            self._fail()

    def _answer(self) -> None:
        self._finish()
        parts = [run.part for run in self._shards if run.part is not None]
        missing = [run for run in self._shards if run.part is None]
        body = merge_greatest(
            [part.reply.body for part in parts if part.reply is not None],
            count=self.routed.route.top_records,
        )
        headers = self.context.dialect.merged_headers(
            attempt_id=self.routed.facts.attempt_id,
            signatures=[part.facts.signature for part in parts if part.facts],
            missing=len(missing),
        )
        answer_merged(
            self.context,
            self.routed,
            headers=headers,
            body=body,
            outcome=self._outcome(missing),
        )

    def _fail(self, cause: str = "too_few_shards", status: int = 502) -> None:
        self._finish()
        sent = any(item.may_have_run for run in self._shards for item in run.attempts)
        missing = [run for run in self._shards if run.part is None]
        answer_failure(
            self.context,
            self.routed,
            status=status if sent else 503,
            outcome=self._outcome(missing, cause=cause),
        )

    def _cutoff_passed(self) -> None:
        self._overdue = True
        self._settle()

    def _deadline_passed(self) -> None:
        if not self._done:
            self._fail(cause="deadline_passed", status=504)

    def _caller_gone(self) -> None:
        if self._done:
            return
        self._finish()
        for run in self._shards:
            for attempt in run.attempts:
                attempt.abandon()
        self.context.metrics.caller_left(self.routed.route)
        missing = [run for run in self._shards if run.part is None]
        self._outcome(missing, cause="caller_left").log(
            self.context, self.routed, status=None, good=False
        )

    def _finish(self) -> None:
        self._done = True
        self.routed.request.on_gone = None
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for timer in self._timers:
            timer.cancel()
        for run in self._shards:
            for attempt in run.attempts:
                if not attempt.ended:
                    attempt.discard()

    def _outcome(self, missing: list[ShardRun], *, cause: str = "") -> Outcome:
        return Outcome(
            attempts=[item for run in self._shards for item in run.attempts],
            cause=cause,
            included=self._included,
            missing=[f"{run.service}:{run.cause}" for run in missing],
        )
