"""One fan-out of a search over the shards of one snapshot."""

import math
from typing import Any, Final

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define, field, frozen

from bronzebeam.filters.attempt_outcomes import reason_of, surely_not_run
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.invariants import check
from bronzebeam.outcomes import Coverage, MissingShard
from bronzebeam.reasons import Reason
from bronzebeam.routing.hedging import MOST_ATTEMPTS
from bronzebeam.routing.snapshots import Snapshot
from bronzebeam.transport.attempt import Attempt, AttemptOutcome
from bronzebeam.transport.backend_protocol import (
    SEARCH_PATH,
    BackendReply,
    encode_search,
)

MERGE_MARGIN_SECONDS: Final = 0.005
HEDGE_AGAIN_SECONDS: Final = 0.005
STRAGGLER_SHARE: Final = 0.25

_Event = tuple[Attempt, AttemptOutcome]


@frozen(kw_only=True)
class SearchResult:
    """
    What one run brought.

    :ivar hits: hits of each included shard, in the order of `coverage.included`.
    :ivar version_gone: some replica no longer holds the run's index version.
    :ivar sent: some backend server may have run a part.
    """

    coverage: Coverage
    hits: tuple[list[Any], ...]
    version_gone: bool
    sent: bool


@define(kw_only=True, eq=False)
class _Shard:
    """
    Progress of one shard.

    :ivar reason: why the last attempt brought no reply.
    :ivar given_up: no further attempt will be made.
    """

    number: int
    replicas: tuple[str, ...]
    tried: list[str] = field(factory=list)
    running: list[Attempt] = field(factory=list)
    reply: BackendReply | None = None
    reason: Reason = Reason.TIMEOUT
    given_up: bool = False

    @property
    def settled(self) -> bool:
        return self.reply is not None or self.given_up


@define(kw_only=True, eq=False)
class SearchRun:
    """Sends the sub-requests of one search and gathers the replies."""

    request: CallerRequest
    snapshot: Snapshot
    dispatcher: Dispatcher
    _shards: list[_Shard] = field(init=False)
    _unsettled: int = field(init=False)
    _attempts: int = field(default=0, init=False)
    _version_gone: bool = field(default=False, init=False)
    _outdated: bool = field(default=False, init=False)
    _sent: bool = field(default=False, init=False)
    _hedge_at_seconds: float = field(default=math.inf, init=False)
    _hedge_delay_seconds: float = field(default=math.inf, init=False)
    _results_in: MemoryObjectSendStream[_Event] = field(init=False)
    _results_out: MemoryObjectReceiveStream[_Event] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._shards = [
            _Shard(number=number, replicas=replicas)
            for number, replicas in enumerate(self.snapshot.replicas_by_shard)
        ]
        self._unsettled = len(self._shards)
        self._results_in, self._results_out = anyio.create_memory_object_stream[_Event](
            math.inf
        )

    async def run(self) -> SearchResult:
        """Run to full coverage, the service's soft deadline or the deadline."""
        now = self.dispatcher.clock.monotonic_seconds()
        try:
            self._send_first(now)
            await self._gather()
        finally:
            self._cancel_rest()
            self._results_in.close()
            self._results_out.close()
        return self._result()

    def _send_first(self, now: float) -> None:
        shards = self._shards[:1] if self.request.solo else self._shards
        for shard in shards:
            self._send(shard)
        extra = self.dispatcher.extra
        extra.note_first(self.request.service, len(self._shards), now)
        delay_seconds = extra.hedge_delay_seconds(self.request.service, now)
        if delay_seconds is not None:
            self._hedge_delay_seconds = delay_seconds
            self._hedge_at_seconds = now + delay_seconds

    async def _gather(self) -> None:
        answer_by = self._answer_by_seconds()
        while self._unsettled and not self._outdated:
            wake_at = min(answer_by, self._hedge_at_seconds)
            with anyio.CancelScope(deadline=wake_at):
                async for attempt, outcome in self._results_out:
                    self._handle(attempt, outcome)
                    if not self._unsettled or self._outdated:
                        return
            now = self.dispatcher.clock.monotonic_seconds()
            if now >= answer_by:
                return
            if now >= self._hedge_at_seconds:
                self._hedge(now)

    def _answer_by_seconds(self) -> float:
        deadline = self.request.deadline_at_seconds - MERGE_MARGIN_SECONDS
        soft_ms = self.request.service.coverage.soft_deadline_ms
        if soft_ms is None:
            return deadline
        return min(deadline, self.request.arrived_at_seconds + soft_ms / 1000)

    def _send(self, shard: _Shard, *, hedge: bool = False) -> bool:
        chosen = self.dispatcher.choose(replicas=shard.replicas, tried=shard.tried)
        if chosen is None:
            if not shard.running:
                self._give_up(shard, None if shard.tried else Reason.NO_REPLICA)
            return False
        shard.tried.append(chosen.replica)
        attempt = self._new_attempt(shard, chosen.replica, hedge)
        shard.running.append(attempt)
        chosen.link.send(attempt)
        return True

    def _new_attempt(self, shard: _Shard, replica: str, hedge: bool) -> Attempt:
        self._attempts += 1
        request_id = f"{self.request.request_id}.{self._attempts}"
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
            headers=tuple(
                (name.encode(), value.encode())
                for name, value in self.request.trace_headers.items()
            ),
            shard=shard.number,
            deadline_at_seconds=self.request.deadline_at_seconds,
            fingerprint=self.request.fingerprint,
            hedge=hedge,
            on_result=self._receive,
        )

    def _receive(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        self._results_in.send_nowait((attempt, outcome))

    def _handle(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        shard = self._shards[attempt.shard]
        if attempt in shard.running:
            shard.running.remove(attempt)
        self._sent = self._sent or not surely_not_run(outcome)
        self.dispatcher.note_outcome(self.request, outcome)
        if shard.settled:
            return
        if isinstance(outcome, BackendReply) and self._matches(shard, outcome):
            self._accept(shard, attempt, outcome)
        else:
            shard.reason = reason_of(outcome)
            self._version_gone |= shard.reason is Reason.VERSION_GONE
            self._retry(shard, outcome)
        if self.request.solo and shard.settled:
            self._send_next_solo()

    def _matches(self, shard: _Shard, reply: BackendReply) -> bool:
        return (
            reply.index_version == self.snapshot.index_version
            and reply.shard == shard.number
            and reply.shard_count == self.snapshot.shard_count
            and isinstance(reply.result, list)
        )

    def _accept(self, shard: _Shard, attempt: Attempt, reply: BackendReply) -> None:
        shard.reply = reply
        self._unsettled -= 1
        self.dispatcher.note_waited(self.request, attempt)
        for loser in shard.running:
            self.dispatcher.note_waited(self.request, loser)
        self._cancel(shard)

    def _send_next_solo(self) -> None:
        for shard in self._shards:
            if not shard.settled and not shard.tried and self._send(shard):
                return

    def _retry(self, shard: _Shard, outcome: AttemptOutcome) -> None:
        if shard.running:
            return
        allowed = self.dispatcher.may_retry(
            self.request, outcome, replicas=shard.replicas, tried=shard.tried
        )
        if not allowed or not self._send(shard):
            self._give_up(shard)

    def _hedge(self, now: float) -> None:
        """Send a further attempt for each shard that waits past the hedge delay."""
        self._hedge_at_seconds = math.inf
        if self._unsettled > self._most_stragglers:
            self._hedge_at_seconds = now + HEDGE_AGAIN_SECONDS
            return
        for shard in self._shards:
            if not shard.settled and shard.running:
                self._hedge_shard(shard, now)

    @property
    def _most_stragglers(self) -> int:
        """
        Return how many shards may be late for hedges to help.

        Where more are late, the cause is common to all of them, and hedges would
        only add to it.
        """
        return max(1, int(len(self._shards) * STRAGGLER_SHARE))

    def _hedge_shard(self, shard: _Shard, now: float) -> None:
        due_at = self._hedge_due_seconds(shard)
        if due_at > now:
            self._hedge_at_seconds = min(self._hedge_at_seconds, due_at)
            return
        allowed = self.dispatcher.may_hedge(
            self.request, replicas=shard.replicas, tried=shard.tried
        )
        if allowed and self._send(shard, hedge=True):
            due_at = self._hedge_due_seconds(shard)
        else:
            due_at = now + HEDGE_AGAIN_SECONDS
        if len(shard.tried) < MOST_ATTEMPTS:
            self._hedge_at_seconds = min(self._hedge_at_seconds, due_at)

    def _hedge_due_seconds(self, shard: _Shard) -> float:
        """Return when the shard's newest attempt will have run past the delay."""
        return shard.running[-1].handed_over_seconds + self._hedge_delay_seconds

    def _give_up(self, shard: _Shard, reason: Reason | None = None) -> None:
        if shard.settled:
            return
        shard.given_up = True
        shard.reason = reason or shard.reason
        self._unsettled -= 1
        if shard.reason is Reason.VERSION_GONE:
            newest = self.dispatcher.reach.snapshot(self.request.service.name)
            self._outdated = (
                newest is not None
                and newest.index_version != self.snapshot.index_version
            )

    def _cancel(self, shard: _Shard) -> None:
        self.dispatcher.cancel(shard.running)
        shard.running.clear()

    def _cancel_rest(self) -> None:
        for shard in self._shards:
            self._sent |= any(
                item.sent_at_seconds is not None for item in shard.running
            )
            self._cancel(shard)

    def _result(self) -> SearchResult:
        included = [shard for shard in self._shards if shard.reply is not None]
        for shard in included:
            check(
                shard.reply is not None and self._matches(shard, shard.reply),
                "a search answer mixes index versions",
            )
        return SearchResult(
            coverage=Coverage(
                index_version=self.snapshot.index_version,
                shard_count=self.snapshot.shard_count,
                included=tuple(shard.number for shard in included),
                missing=tuple(
                    MissingShard(shard=shard.number, reason=shard.reason)
                    for shard in self._shards
                    if shard.reply is None
                ),
            ),
            hits=tuple(shard.reply.result for shard in included if shard.reply),
            version_gone=self._version_gone,
            sent=self._sent or bool(included),
        )
