"""Limits on the requests that cold replicas get from all instances together.

A cold replica that gets more requests in one second than it bears crashes, and
instances don't communicate about what they send to it. So few instances send to it,
each at fixed minimum intervals. Their number and the intervals keep the bound in the
worst case: all send at the same time, and some go by an earlier view of the fleet.
"""

import math
import random
from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

from bronzebeam.routing.shard_owners import rank_owners
from bronzebeam.units import MS_PER_SECOND

# Each sender may have a request ready at the same moment, whatever its rate, so more
# senders lower the rate of all of them together.
MAX_SENDERS: Final = 8
# Part of what a replica bears that the senders of one view of the fleet may use. There
# may be two sets of senders: those by the present view, and those by an earlier one, on
# instances that are cut off or have not been told yet.
VIEW_SHARE: Final = 0.5
# Requests that are sent this far apart may arrive within one second.
ARRIVAL_WINDOW_SECONDS: Final = 1.1
# All instances in contact with the store have learnt of a change after this time. Until
# then, those that know that a replica has become cold again leave it to those that
# don't, and a new instance leaves cold replicas to those that don't know it.
LEARNING_SECONDS: Final = 5.0
# The clocks of replicas and instances differ by less.
CLOCK_DIFFERENCE_SECONDS: Final = 10.0
MAX_COLD_SECONDS: Final = 3_600.0  # replicas warm up within minutes


def read_cold_seconds(value: bytes) -> float:
    """Read how long a replica says that it stays cold; 0 if that can't be read."""
    try:
        seconds = float(value) / MS_PER_SECOND
    except ValueError:
        return 0.0
    return min(max(seconds, 0.0), MAX_COLD_SECONDS) if math.isfinite(seconds) else 0.0


def is_start_over(
    *, started_at_ms: int, cold_start_seconds: float, wall_seconds: float
) -> bool:
    """
    Whether a process has certainly warmed up since its start.

    Protects new instances from the statement of old registrations that a replica is
    cold, which would limit their requests for as long again.

    :param started_at_ms: wall-clock time of its start; 0 if unknown.
    :param cold_start_seconds: time for which its service stays cold after a start; 0 if
        unknown.
    :param wall_seconds: the time now, by the clock of this instance.
    """
    if started_at_ms <= 0 or cold_start_seconds <= 0.0:
        return False
    age_seconds = wall_seconds - started_at_ms / MS_PER_SECOND
    return age_seconds > cold_start_seconds + CLOCK_DIFFERENCE_SECONDS


@frozen(kw_only=True)
class ColdTolerance:
    """
    What a cold replica bears in one second beyond the rate that its service states.

    :ivar overage_ratio: factor of the rate.
    :ivar slack_count: requests in one second.
    """

    overage_ratio: float
    slack_count: float

    def max_per_second(self, rate_per_second: float) -> float:
        """Return the requests that a cold replica may get in any one second."""
        return rate_per_second * self.overage_ratio + self.slack_count


@frozen(kw_only=True)
class ColdShare:
    """
    How the requests to a cold replica are divided among instances.

    :ivar sender_count: instances that send to it.
    :ivar interval_seconds: time between two requests of one of them, at least.
    """

    sender_count: int
    interval_seconds: float


def share_cold_rate(
    *, rate_per_second: float, max_per_second: float, candidate_count: int
) -> ColdShare:
    """
    Divide what a cold replica bears among the instances that may send to it.

    Of requests that are at least `i` apart, at most `1 / i + 1` fall within a second.
    So `n` senders keep a bound of `b` requests if `n * (1 / i + 1) <= b`, also if all
    send at the same time. `b` is `VIEW_SHARE` of what the replica bears.

    A replica that bears fewer than two requests in a second gets single requests from
    one sender, so the bound then holds only while all instances have the same view.

    :param rate_per_second: the rate that the service states, above 0; it is not
        exceeded either.
    :param max_per_second: requests that the replica bears in any one second.
    :param candidate_count: number of instances that may send to it.
    """
    view_count = max_per_second * VIEW_SHARE
    sender_count = max(1, min(MAX_SENDERS, candidate_count, int(view_count / 2.0)))
    more_than_one = max(1.0, view_count / sender_count - 1.0)
    return ColdShare(
        sender_count=sender_count,
        interval_seconds=max(
            ARRIVAL_WINDOW_SECONDS / more_than_one, sender_count / rate_per_second
        ),
    )


def choose_senders(
    replica: str,
    *,
    domain: str,
    candidates: Mapping[str, Mapping[str, float]],
    count: int,
) -> tuple[str, ...]:
    """
    Choose the instances that send to a cold replica.

    They are in the replica's failure domain if there are enough: shards are delegated
    to the domains of the replicas.

    :param domain: failure domain of the replica.
    :param candidates: processor cores of the instances that may send to it, by failure
        domain.
    """
    near = rank_owners(replica, candidates.get(domain, {}))
    if len(near) < count:
        others = {
            name: cores
            for other, members in candidates.items()
            if other != domain
            for name, cores in members.items()
        }
        near += rank_owners(replica, others)
    return tuple(near[:count])


@define(kw_only=True, eq=False, repr=False)
class ColdTurns:
    """
    The times at which this instance may send a request to a cold replica.

    Unlike those of `SendTurns`, unused turns never add up, and the interval is counted
    from when a request was sent and not from when it was planned: a request that waited
    for a connection must not be followed closely by the next one.

    :ivar rng: source of the random start, so that senders don't all start at once.
    """

    rng: random.Random
    _interval_seconds: float = field(default=math.inf, init=False)
    _next_at_seconds: float = field(default=math.inf, init=False)
    _sent_at_seconds: float = field(default=-math.inf, init=False)
    _is_planned: bool = field(default=False, init=False)

    def set_interval(self, interval_seconds: float, *, start_at_seconds: float) -> None:
        """
        Set how far apart requests are.

        :param interval_seconds: infinite if this instance is no sender.
        :param start_at_seconds: monotonic time before which there is no turn.
        """
        if interval_seconds == self._interval_seconds:
            return
        was_sender = not math.isinf(self._interval_seconds)
        self._interval_seconds = interval_seconds
        if math.isinf(interval_seconds):
            return
        if not was_sender:
            start_at_seconds += self.rng.random() * interval_seconds
        self._next_at_seconds = max(
            start_at_seconds, self._sent_at_seconds + interval_seconds
        )

    @property
    def is_sender(self) -> bool:
        """Whether this instance sends to the replica at all."""
        return not math.isinf(self._interval_seconds)

    def seconds_until_next(self, now_seconds: float) -> float:
        """Return the time until there is a turn; 0 if there is one now."""
        if not self.is_sender:
            return math.inf
        if self._is_planned:
            return self._interval_seconds
        return max(0.0, self._next_at_seconds - now_seconds)

    def use(self) -> None:
        """Plan a request; there is no other turn until it was sent."""
        self._is_planned = True

    def record_sent(self, now_seconds: float) -> None:
        """Record that the planned request was sent."""
        self._is_planned = False
        self._sent_at_seconds = now_seconds
        self._next_at_seconds = now_seconds + self._interval_seconds

    def give_back(self) -> None:
        """Make the turn available again whose request was not sent."""
        self._is_planned = False
