"""When the shards of one search get a further attempt."""

import math
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define, field

from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.filters.search_shards import ShardAttempts
from bronzebeam.routing.hedging import MAX_ATTEMPTS

HEDGE_AGAIN_SECONDS: Final = 0.005
STRAGGLER_SHARE: Final = 0.25


@define(kw_only=True, eq=False)
class SearchHedges:
    """
    Hedges the stragglers of one search.

    :ivar send: sends a hedge to a shard; False if no replica may take it.
    :ivar due_at_seconds: monotonic time at which `send_due` is to be called.
    """

    request: CallerRequest
    dispatcher: Dispatcher
    shards: Sequence[ShardAttempts]
    send: Callable[[ShardAttempts], bool]
    due_at_seconds: float = field(default=math.inf, init=False)
    _delay_seconds: float = field(default=math.inf, init=False)

    def start(self, now: float) -> None:
        """Begin with the service's hedge delay, if it has one yet."""
        extra = self.dispatcher.extra_load
        delay_seconds = extra.hedge_delay_seconds(self.request.service, now)
        if delay_seconds is not None:
            self._delay_seconds = delay_seconds
            self.due_at_seconds = now + delay_seconds

    def stop(self) -> None:
        """Send no further hedge."""
        self.due_at_seconds = math.inf

    def send_due(self, now: float, unsettled: int) -> None:
        """
        Send a further attempt for each shard that waits past the hedge delay.

        :param unsettled: shards that have neither a reply nor been given up.
        """
        self.due_at_seconds = math.inf
        if unsettled > self._most_stragglers:
            self.due_at_seconds = now + HEDGE_AGAIN_SECONDS
            return
        for shard in self.shards:
            if not shard.settled and shard.running:
                self._hedge(shard, now)

    @property
    def _most_stragglers(self) -> int:
        """
        Return how many shards may be late for hedges to help.

        Where more are late, the cause is common to all of them, and hedges would
        only add to it.
        """
        return max(1, int(len(self.shards) * STRAGGLER_SHARE))

    def _hedge(self, shard: ShardAttempts, now: float) -> None:
        due_at = shard.hedge_due_seconds(self._delay_seconds)
        if due_at > now:
            self.due_at_seconds = min(self.due_at_seconds, due_at)
            return
        allowed = self.dispatcher.may_hedge(
            self.request, replicas=shard.replicas, tried=shard.tried
        )
        if allowed and self.send(shard):
            due_at = shard.hedge_due_seconds(self._delay_seconds)
        else:
            due_at = now + HEDGE_AGAIN_SECONDS
        if len(shard.tried) < MAX_ATTEMPTS:
            self.due_at_seconds = min(self.due_at_seconds, due_at)
