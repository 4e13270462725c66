"""Limit on the requests that an instance processes while replicas are overloaded."""

import random
from typing import Final

from attrs import define

from bronzebeam.units import MS_PER_SECOND

START_LIMIT: Final = 24.0  # above what an instance has in flight under normal load
MIN_LIMIT: Final = 2.0  # some requests are needed to detect the end of the overload
MAX_LIMIT: Final = 200.0
# Shares of the target latency: an answer that takes longer than the first one counts as
# late; one that takes less than the second shows that there is capacity left.
LATE_TARGET_SHARE: Final = 0.85
EARLY_TARGET_SHARE: Final = 0.6
# Share of recent answers that may be late; slow shards alone make fewer answers late.
MAX_LATE_ANSWERS_SHARE: Final = 0.35
LATE_ANSWERS_STEP: Final = 0.15  # weight of one answer in the moving average
DECREASE_FACTOR: Final = 0.8
INCREASE_STEP: Final = 0.35  # for each early answer while the limit is in use
RETRY_FACTOR: Final = 1.3  # callers that were rejected before are preferred
RANK_FACTOR: Final = 0.85  # for each rank below the most urgent one


@define(kw_only=True, eq=False, repr=False)
class AdaptiveLimit:
    """
    Limit on the requests in flight to one set of services.

    Protects against a burst that the replicas can't serve: without a limit, every
    request would wait in their queues until all are late. The limit falls while many
    answers miss their target, and grows while they come early and the limit is in use.
    Single slow shards do not affect it, since it goes by the time at which enough
    shards have replied.

    :ivar limit: requests that may be in flight.
    :ivar in_flight: requests that are in flight.
    """

    limit: float = START_LIMIT
    in_flight: int = 0
    _late_answers_share: float = 0.0
    _decreased_at_seconds: float = 0.0

    @property
    def is_reduced(self) -> bool:
        """Whether the limit is below its start value."""
        return self.limit < START_LIMIT

    def should_admit(self, *, rank: int, is_retry: bool, rng: random.Random) -> bool:
        """
        Whether to admit one more request.

        :param rank: rank of its route among the routes to these services; 0 is the
            most urgent.
        :param is_retry: its caller was rejected before.
        """
        limit = self.limit * RANK_FACTOR**rank
        if is_retry:
            limit *= RETRY_FACTOR
        # The fractional part of the limit admits that share of the requests.
        return self.in_flight + rng.random() < limit

    def enter(self) -> None:
        """Count an admitted request as in flight."""
        self.in_flight += 1

    def leave(self) -> None:
        """Stop counting a request that has ended."""
        self.in_flight -= 1

    def observe(
        self, *, elapsed_ms: float, target_latency_ms: float, now_seconds: float
    ) -> None:
        """
        Record the latency of a request and adjust the limit.

        :param elapsed_ms: time until enough shards had replied for an answer; for a
            request that was never answered, its whole duration.
        """
        late = elapsed_ms > LATE_TARGET_SHARE * target_latency_ms
        self._late_answers_share += LATE_ANSWERS_STEP * (
            late - self._late_answers_share
        )
        if late:
            # Requests sent before the last decrease do not show its effect yet.
            settled = (
                now_seconds - self._decreased_at_seconds > elapsed_ms / MS_PER_SECOND
            )
            if settled and self._late_answers_share > MAX_LATE_ANSWERS_SHARE:
                in_use = min(self.limit, float(max(self.in_flight, 1)))
                self.limit = max(MIN_LIMIT, in_use * DECREASE_FACTOR)
                self._decreased_at_seconds = now_seconds
        elif elapsed_ms < EARLY_TARGET_SHARE * target_latency_ms:
            if self.in_flight >= self.limit * 0.5 or self.limit < START_LIMIT:
                self.limit = min(MAX_LIMIT, self.limit + INCREASE_STEP)
