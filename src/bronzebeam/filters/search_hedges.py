"""Schedules hedges for the slow shards of one search."""

import math
from collections.abc import Callable, Sequence
from typing import Final

from attrs import define, field

from bronzebeam.filters.chain import CallerRequest
from bronzebeam.filters.dispatch import Dispatcher
from bronzebeam.filters.search_shards import ShardAttempts
from bronzebeam.routing.hedging import MAX_ATTEMPTS

HEDGE_RETRY_INTERVAL_SECONDS: Final = 0.005
MAX_SLOW_SHARD_SHARE: Final = 0.25


@define(kw_only=True, eq=False)
class HedgeScheduler:
    """
    Sends a hedge for each shard of a search that is slow to reply.

    :ivar send: sends a hedge for a shard; returns False if no replica is available.
    :ivar due_at_seconds: monotonic time at which to call `send_due` next.
    """

    request: CallerRequest
    dispatcher: Dispatcher
    shards: Sequence[ShardAttempts]
    send: Callable[[ShardAttempts], bool]
    due_at_seconds: float = field(default=math.inf, init=False)
    _delay_seconds: float = field(default=math.inf, init=False)

    def start(self, now: float) -> None:
        """Schedule the first hedges if the hedge delay of the service is known."""
        extra_load = self.dispatcher.extra_load
        delay_seconds = extra_load.hedge_delay_seconds(self.request.service, now)
        if delay_seconds is not None:
            self._delay_seconds = delay_seconds
            self.due_at_seconds = now + delay_seconds

    def stop(self) -> None:
        """Send no further hedges."""
        self.due_at_seconds = math.inf

    def send_due(self, now: float, unsettled: int) -> None:
        """
        Send a hedge for each shard that has waited longer than the hedge delay.

        :param unsettled: number of shards without a reply that have not failed.
        """
        self.due_at_seconds = math.inf
        if unsettled > self._max_slow_shards:
            self.due_at_seconds = now + HEDGE_RETRY_INTERVAL_SECONDS
            return
        for shard in self.shards:
            if not shard.is_settled and shard.running:
                self._hedge(shard, now)

    @property
    def _max_slow_shards(self) -> int:
        """
        Return the largest number of late shards for which hedges are sent.

        If more shards are late, they share a cause, such as overload, and hedges
        would only add load.
        """
        return max(1, int(len(self.shards) * MAX_SLOW_SHARD_SHARE))

    def _hedge(self, shard: ShardAttempts, now: float) -> None:
        due_at = shard.hedge_due_seconds(self._delay_seconds)
        if due_at > now:
            self.due_at_seconds = min(self.due_at_seconds, due_at)
            return
        allowed = self.dispatcher.allow_hedge(
            self.request, replicas=shard.replicas, tried=shard.tried
        )
        if allowed and self.send(shard):
            due_at = shard.hedge_due_seconds(self._delay_seconds)
        else:
            due_at = now + HEDGE_RETRY_INTERVAL_SECONDS
        if len(shard.tried) < MAX_ATTEMPTS:
            self.due_at_seconds = min(self.due_at_seconds, due_at)
