"""How many requests an instance works on at a time when the replicas are overloaded."""

import random
from typing import Final

from attrs import define

from bronzebeam.units import MS_PER_SECOND

START_LIMIT: Final = 24.0  # above what an instance has in flight on a calm day
MIN_LIMIT: Final = 2.0  # some requests must show when the overload is over
MAX_LIMIT: Final = 200.0
LATE_TARGET_SHARE: Final = 0.85  # of the target latency; a later answer misses it
EARLY_TARGET_SHARE: Final = 0.6  # of the target latency; there is room for more
MAX_LATE_ANSWERS_SHARE: Final = 0.35  # of the last answers; slow shards make fewer late
LATE_ANSWERS_STEP: Final = 0.15  # weight of one answer among the last ones
DECREASE_FACTOR: Final = 0.8
INCREASE_STEP: Final = 0.35  # for each answer in time while the limit is in use
RETRY_FACTOR: Final = 1.3  # callers that were refused before go first
RANK_FACTOR: Final = 0.85  # for each rank below the most urgent one


@define(kw_only=True, eq=False, repr=False)
class AdaptiveLimit:
    """
    Bound on the requests in flight towards one set of services.

    Answers the load of a burst that the replicas can't serve: without a bound, every
    request waits in their queues until all of them are late. The bound falls while
    many answers that would do come too late for their target, and grows while they come
    early and the bound is in use. It does not follow single slow shards, since it
    looks at the time at which enough shards have replied.

    :ivar limit: requests that may be in flight.
    :ivar in_flight: requests that are.
    """

    limit: float = START_LIMIT
    in_flight: int = 0
    _late_answers_share: float = 0.0
    _decreased_at_seconds: float = 0.0

    @property
    def is_reduced(self) -> bool:
        """Whether the limit has fallen below where it started."""
        return self.limit < START_LIMIT

    def should_admit(self, *, rank: int, is_retry: bool, rng: random.Random) -> bool:
        """
        Whether one more request may be worked on.

        :param rank: urgency among the routes to these services, 0 for the highest.
        :param returning: its caller was refused before.
        """
        limit = self.limit * RANK_FACTOR**rank
        if is_retry:
            limit *= RETRY_FACTOR
        # The fraction of a limit admits that share of the requests.
        return self.in_flight + rng.random() < limit

    def enter(self) -> None:
        """Count a request that has been admitted."""
        self.in_flight += 1

    def leave(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1

    def observe(
        self, *, elapsed_ms: float, target_latency_ms: float, now_seconds: float
    ) -> None:
        """
        Take in when a request could have been answered.

        :param elapsed_ms: time until enough shards had replied; the whole time of
            one that was never answered.
        """
        late = elapsed_ms > LATE_TARGET_SHARE * target_latency_ms
        self._late_answers_share += LATE_ANSWERS_STEP * (
            late - self._late_answers_share
        )
        if late:
            # Answers under way when the limit fell do not show its effect yet.
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
