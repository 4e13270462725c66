"""Choice of the replica that a sub-request is sent to."""

import math
import random
from collections.abc import Collection, Sequence
from typing import Final, Protocol

from attrs import frozen

LATENCY_TIME_CONSTANT_SECONDS: Final = 10.0
# Even samples taken at the same instant must move the average.
MAX_RETAINED_SHARE: Final = 0.99
MIN_LATENCY_MS: Final = 1.0
OTHER_DOMAIN_FACTOR: Final = 1.1
REPORTED_LOAD_SHARE: Final = 0.5


@frozen(kw_only=True)
class ReplicaView:
    """
    State of a replica as one entry knows it when it chooses a replica.

    :ivar slots: requests that the replica runs concurrently.
    :ivar own_in_flight: sub-requests of this entry that the replica has not answered.
    :ivar reported_in_flight: the replica's load from the whole fleet, as reported in
        its last reply.
    :ivar latency_ms: moving average of reply times; 0 if there is none.
    :ivar leaving: the replica is shutting down and takes no new work.
    :ivar ejected: this entry has ejected the replica because of failures.
    :ivar weight: slow-start weight, 0 to 1.
    :ivar free_connections: open connections that carry no sub-request.
    """

    replica: str
    failure_domain: str
    slots: int
    own_in_flight: int
    reported_in_flight: int
    latency_ms: float
    leaving: bool
    ejected: bool
    weight: float
    free_connections: int


@frozen(kw_only=True)
class LatencyAverage:
    """
    Time-weighted moving average of a replica's reply times.

    It decays to 0 while there are no samples, so that a replica that was slow is
    tried again after a while.

    :ivar latency_ms: the average at `sampled_at_seconds`.
    :ivar sampled_at_seconds: monotonic time of the last sample.
    """

    latency_ms: float = 0.0
    sampled_at_seconds: float = -math.inf

    def at(self, now_seconds: float) -> float:
        """Return the average at `now_seconds`, in milliseconds."""
        return self.latency_ms * self._retained_share(now_seconds)

    def observe(self, *, latency_ms: float, now_seconds: float) -> "LatencyAverage":
        """
        Return the average with one more sample.

        :param latency_ms: reply time, or the time waited for a sub-request that was
            cancelled.
        """
        if self.sampled_at_seconds == -math.inf:
            average_ms = latency_ms
        else:
            retained = min(self._retained_share(now_seconds), MAX_RETAINED_SHARE)
            average_ms = retained * self.latency_ms + (1 - retained) * latency_ms
        return LatencyAverage(latency_ms=average_ms, sampled_at_seconds=now_seconds)

    def _retained_share(self, now_seconds: float) -> float:
        idle_seconds = max(0.0, now_seconds - self.sampled_at_seconds)
        return math.exp(-idle_seconds / LATENCY_TIME_CONSTANT_SECONDS)


class ChooseReplica(Protocol):
    """Signature of a function that chooses the replica for the next attempt."""

    def __call__(
        self,
        *,
        candidates: Sequence[ReplicaView],
        own_failure_domain: str,
        excluded: Collection[str],
        rng: random.Random,
    ) -> ReplicaView | None:
        """Choose a replica; None if no candidate is usable."""


def choose_replica(
    *,
    candidates: Sequence[ReplicaView],
    own_failure_domain: str,
    excluded: Collection[str],
    rng: random.Random,
) -> ReplicaView | None:
    """
    Choose a replica by the power of two choices; None if no candidate is usable.

    Leaving and excluded replicas are never chosen, ejected ones only if there is no
    other. Replicas with a free connection are preferred. A replica in slow start is
    considered with a probability equal to its weight.

    :param excluded: replicas that the sub-request must not go to.
    """
    usable = [
        view for view in candidates if not view.leaving and view.replica not in excluded
    ]
    if len(usable) < 2:
        return usable[0] if usable else None
    pool = [view for view in usable if not view.ejected] or usable
    pool = [view for view in pool if view.free_connections > 0] or pool
    pool = [
        view for view in pool if view.weight >= 1.0 or rng.random() < view.weight
    ] or pool
    return _better_of_two(pool, own_failure_domain, rng)


def choose_at_random(
    *,
    candidates: Sequence[ReplicaView],
    own_failure_domain: str,
    excluded: Collection[str],
    rng: random.Random,
) -> ReplicaView | None:
    """Choose any usable replica, as the baseline of an experiment."""
    usable = [
        view for view in candidates if not view.leaving and view.replica not in excluded
    ]
    return rng.choice(usable) if usable else None


def score_replica(view: ReplicaView, own_failure_domain: str) -> float:
    """Estimate the reply time of one more sub-request, in milliseconds."""
    own = view.own_in_flight
    load = own + REPORTED_LOAD_SHARE * max(0, view.reported_in_flight - own)
    estimate_ms = max(view.latency_ms, MIN_LATENCY_MS) * (1 + load / view.slots)
    if view.failure_domain != own_failure_domain:
        estimate_ms *= OTHER_DOMAIN_FACTOR
    return estimate_ms


def _better_of_two(
    pool: list[ReplicaView], own_failure_domain: str, rng: random.Random
) -> ReplicaView:
    count = len(pool)
    if count == 1:
        return pool[0]
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1)) if count > 2 else 0
    if second >= first:
        second += 1
    one, other = pool[first], pool[second]
    if score_replica(other, own_failure_domain) < score_replica(
        one, own_failure_domain
    ):
        return other
    return one
