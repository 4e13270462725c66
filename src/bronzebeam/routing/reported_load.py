"""The load that a replica states in its replies, and what it says of the next request.

Answers replicas that other instances keep busy. An instance sees only its own requests,
which at 71 instances are a small part of what fills a replica's queue.
"""

import math
from typing import Final

from attrs import define

from bronzebeam.routing.replica_estimate import BUSY_SHARE, ReplicaLoad
from bronzebeam.units import MS_PER_SECOND

SEPARATOR: Final = b","
USUAL_PACE_PERCENT: Final = 100.0
# Larger figures are no load that a replica can have; they would distort the estimate.
MAX_COUNT: Final = 100_000
MAX_PACE_PERCENT: Final = 100_000.0
MAX_AGE_SECONDS: Final = 0.2  # older readings are ignored
# Of the usual reply time. A queue is filled and emptied within a few of them.
QUEUE_DECAY_REPLIES: Final = 2.0
RISE: Final = 1.04  # of a running median, for a value above it
FALL: Final = 0.96
MIN_USUAL: Final = 0.5


# Not frozen: one is created for each reply, and frozen ones take longer.
@define(kw_only=True)
class LoadReading:
    """
    The load of a replica when it sent a reply; it includes other instances' requests.

    :ivar running: requests that it runs.
    :ivar waiting: requests that wait for a slot.
    :ivar slots: requests that it runs concurrently.
    :ivar pace: time that work takes now, relative to the usual time.
    :ivar at_seconds: monotonic time at which the reply arrived.
    """

    running: int
    waiting: int
    slots: int
    pace: float
    at_seconds: float

    def is_valid(self, now_seconds: float) -> bool:
        """Whether the reading is recent enough to be used."""
        return now_seconds - self.at_seconds < MAX_AGE_SECONDS

    def has_free_slot(self, sent_since: int) -> bool:
        """
        Whether one more request is run at once.

        :param sent_since: requests that this instance has sent since the reading.
        """
        return self.running + self.waiting + sent_since < self.slots

    def queue_factor(self, sent_since: int = 0) -> float:
        """
        Return the time of one more request, relative to an idle replica.

        :param sent_since: requests that this instance has sent since the reading.
        """
        slots = self.slots
        ahead = self.running + self.waiting + sent_since
        if ahead < slots:
            return 1.0 + BUSY_SHARE * ahead / slots
        return 1.0 + BUSY_SHARE + (ahead + 1 - slots) / slots


@define(kw_only=True, eq=False, repr=False)
class UsualLoad:
    """
    Running medians of the load that the replicas of a route state.

    A replica of which there is no recent reading is expected to be as busy as usual, at
    the usual reply time. Without this, those that were not asked lately would seem idle
    whenever all are busy, and all instances would turn to them.

    :ivar pace: usual `LoadReading.pace`.
    :ivar queue_factor: usual `LoadReading.queue_factor`.
    """

    pace: float = 1.0
    queue_factor: float = 1.0

    def observe(self, reading: LoadReading) -> None:
        """Record the load that one reply states."""
        pace = self.pace * (RISE if reading.pace > self.pace else FALL)
        self.pace = pace if pace > MIN_USUAL else MIN_USUAL
        factor = self.queue_factor
        factor *= RISE if reading.queue_factor() > factor else FALL
        self.queue_factor = factor if factor > MIN_USUAL else MIN_USUAL

    def apply(
        self,
        load: ReplicaLoad,
        reading: LoadReading,
        *,
        sent_since: int,
        typical_ms: float,
        now_seconds: float,
    ) -> None:
        """
        Put what a valid reading says of the next request into the load of its replica.

        The pace fades in proportion to the age of the reading, and the queue within a
        few reply times.

        :param sent_since: requests that this instance has sent since the reading.
        :param typical_ms: usual reply time of the route.
        """
        age_seconds = max(0.0, now_seconds - reading.at_seconds)
        left = 1.0 - age_seconds / MAX_AGE_SECONDS
        load.is_cold = False  # the stated pace includes it
        load.reported_pace = 1.0 + (reading.pace / self.pace - 1.0) * left
        load.reported_queue = reading.queue_factor(sent_since) / self.queue_factor
        load.reported_weight = left * math.exp(
            -age_seconds * MS_PER_SECOND / (typical_ms * QUEUE_DECAY_REPLIES)
        )


def read_load(value: bytes, *, at_seconds: float) -> LoadReading | None:
    """
    Read the value of a load header: running, waiting, slots and pace in percent.

    The pace may be absent, and what follows it is ignored.

    :param at_seconds: see `LoadReading`.
    :return: None if it can't be read.
    """
    items = value.split(SEPARATOR)
    try:
        percent = float(items[3]) if len(items) > 3 else USUAL_PACE_PERCENT
        return make_reading(
            int(items[0]), int(items[1]), int(items[2]), percent, at_seconds
        )
    except (ValueError, IndexError):
        return None


def make_reading(
    running: int, waiting: int, slots: int, percent: float, at_seconds: float
) -> LoadReading | None:
    """
    Return a reading; None if no replica can have this load.

    :param percent: the pace.
    """
    if (
        0 <= running <= MAX_COUNT
        and 0 <= waiting <= MAX_COUNT
        and 0 < slots <= MAX_COUNT
        and 0.0 < percent <= MAX_PACE_PERCENT
    ):
        return LoadReading(
            running=running,
            waiting=waiting,
            slots=slots,
            pace=percent / USUAL_PACE_PERCENT,
            at_seconds=at_seconds,
        )
    return None


def explained_ratio(load: ReplicaLoad) -> float:
    """
    Return how much later than usual a reply is expected by what the replica states.

    A reply that is later still shows slowness that the replica does not state; see
    `RelativeLatency`. What it states must not count twice.

    :return: at least 1.
    """
    queue_factor = 1.0 + (load.reported_queue - 1.0) * load.reported_weight
    return max(1.0, load.reported_pace * queue_factor)
