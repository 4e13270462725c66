"""Play of instances that share replicas, without a network, to compare choices."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Sequence

from attrs import define, field

from bronzebeam.gateway.replica_choice import ESTIMATE_SPREAD
from bronzebeam.routing.replica_estimate import ReplicaLoad, estimate_reply_ms
from bronzebeam.routing.replica_latency import RelativeLatency, TypicalLatency
from bronzebeam.routing.reported_load import LoadReading, explained_ratio, read_load

HOP_SECONDS = 0.0005
WORK_SECONDS = 0.008


@define(kw_only=True, eq=False)
class PlayedReplica:
    """
    A replica with a queue.

    :ivar pace: time that its work takes, relative to the usual one.
    :ivar received_at_seconds: times at which it received its requests.
    """

    slots: int = 2
    pace: float = 1.0
    running: int = 0
    queue: deque[Callable[[], None]] = field(factory=deque)
    received_at_seconds: list[float] = field(factory=list)

    def state_load(self) -> bytes:
        return b"%d,%d,%d,%d" % (
            self.running,
            len(self.queue),
            self.slots,
            round(self.pace * 100.0),
        )


@define(kw_only=True, eq=False)
class PlayedInstance:
    """
    What one instance knows: its requests in flight, reply times and latest readings.

    :ivar only_index: index of the replica that it sends to; None for any.
    """

    replica_count: int
    only_index: int | None = None
    sent_at_seconds: list[list[float]] = field(init=False)
    readings: list[LoadReading | None] = field(init=False)
    latencies: list[RelativeLatency] = field(init=False)
    typical: TypicalLatency = field(factory=lambda: TypicalLatency(typical_ms=9.0))

    def __attrs_post_init__(self) -> None:
        self.sent_at_seconds = [[] for _ in range(self.replica_count)]
        self.readings = [None] * self.replica_count
        self.latencies = [RelativeLatency() for _ in range(self.replica_count)]

    def load(self, index: int, slots: int, now_seconds: float) -> ReplicaLoad:
        sent = self.sent_at_seconds[index]
        load = ReplicaLoad(
            latency_factor=self.latencies[index].at(now_seconds),
            in_flight=len(sent),
            oldest_age_ms=(now_seconds - min(sent)) * 1_000.0 if sent else 0.0,
            slots=slots,
            is_cold=False,
            is_connected=True,
            failure_share=0.0,
            in_own_domain=True,
        )
        reading = self.readings[index]
        if reading is not None and reading.is_valid(now_seconds):
            self.typical.usual_load.apply(
                load,
                reading,
                sent_since=sum(1 for at in sent if at >= reading.at_seconds),
                typical_ms=self.typical.typical_ms,
                now_seconds=now_seconds,
            )
        return load


@define(kw_only=True, eq=False)
class LoadPlay:
    """
    Instances that send requests at random times to replicas of one service.

    :ivar uses_readings: whether instances use the load that replicas state.
    :ivar uses_latency: whether instances measure how slow each replica is.
    :ivar burst_seconds: time after which instances that send to one replica turn to the
        next one; 0 if they don't.
    :ivar reply_seconds: reply times of the requests of instances that choose.
    """

    instances: Sequence[PlayedInstance]
    replicas: Sequence[PlayedReplica]
    rng: random.Random
    uses_readings: bool
    uses_latency: bool = True
    burst_seconds: float = 0.0
    now_seconds: float = 0.0
    reply_seconds: list[float] = field(factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = 0

    def run(self, *, rate_per_second: float, seconds: float) -> None:
        """Send requests of random instances at random times, and await the replies."""
        at = 0.0
        while (at := at + self.rng.expovariate(rate_per_second)) < seconds:
            self._at(at, self._send)
        while self._events:
            self.now_seconds, _, action = heapq.heappop(self._events)
            action()

    def mean_ms(self) -> float:
        return sum(self.reply_seconds) / len(self.reply_seconds) * 1_000.0

    def percentile_ms(self, share: float) -> float:
        ordered = sorted(self.reply_seconds)
        return ordered[int(len(ordered) * share)] * 1_000.0

    def _at(self, at_seconds: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_seconds, self._count, action))

    def _send(self) -> None:
        instance = self.rng.choice(self.instances)
        index = instance.only_index
        if index is None:
            index = self._choose(instance)
        elif self.burst_seconds:
            index += int(self.now_seconds / self.burst_seconds)
            index %= len(self.replicas)
        replica = self.replicas[index]
        sent_at = self.now_seconds
        ratio = explained_ratio(instance.load(index, replica.slots, sent_at))
        instance.sent_at_seconds[index].append(sent_at)

        def arrive() -> None:
            replica.received_at_seconds.append(self.now_seconds)
            if replica.running < replica.slots:
                start()
            else:
                replica.queue.append(start)

        def start() -> None:
            replica.running += 1
            work_seconds = self.rng.expovariate(1.0 / WORK_SECONDS) * replica.pace
            self._at(self.now_seconds + work_seconds, finish)

        def finish() -> None:
            replica.running -= 1
            if replica.queue:
                replica.queue.popleft()()
            stated = replica.state_load()
            self._at(self.now_seconds + HOP_SECONDS, lambda: reply(stated))

        def reply(stated: bytes) -> None:
            instance.sent_at_seconds[index].remove(sent_at)
            latency_seconds = self.now_seconds - sent_at
            if instance.only_index is None:
                self.reply_seconds.append(latency_seconds)
            if self.uses_latency:
                instance.latencies[index].observe(
                    latency_ms=latency_seconds * 1_000.0,
                    typical_ms=instance.typical.typical_ms * ratio,
                    now_seconds=self.now_seconds,
                )
            instance.typical.observe(latency_seconds * 1_000.0)
            if self.uses_readings:
                reading = read_load(stated, at_seconds=self.now_seconds)
                assert reading is not None
                instance.readings[index] = reading
                instance.typical.usual_load.observe(reading)

        self._at(self.now_seconds + HOP_SECONDS, arrive)

    def _choose(self, instance: PlayedInstance) -> int:
        """Choose as `choose_replica` does."""
        scores = [
            estimate_reply_ms(
                instance.load(index, replica.slots, self.now_seconds),
                typical_ms=instance.typical.typical_ms,
            )
            * (1.0 + ESTIMATE_SPREAD * self.rng.random())
            for index, replica in enumerate(self.replicas)
        ]
        return scores.index(min(scores))


def play(
    *,
    uses_readings: bool,
    instance_count: int,
    utilization: float,
    paces: Sequence[float] = (1.0, 1.0, 1.0),
    fixed_count: int = 0,
    burst_seconds: float = 0.0,
    uses_latency: bool = True,
    seconds: float = 10.0,
    seed: int = 1,
) -> LoadPlay:
    """
    Play instances that send to one replica for each of `paces`.

    :param utilization: share of the time of all slots that the requests need.
    :param fixed_count: number of instances that all send to the same replica.
    :param burst_seconds: see `LoadPlay`.
    """
    replicas = [PlayedReplica(pace=pace) for pace in paces]
    played = LoadPlay(
        instances=[
            PlayedInstance(
                replica_count=len(replicas),
                only_index=0 if index < fixed_count else None,
            )
            for index in range(instance_count)
        ],
        replicas=replicas,
        rng=random.Random(seed),
        uses_readings=uses_readings,
        uses_latency=uses_latency,
        burst_seconds=burst_seconds,
    )
    capacity = sum(item.slots / (WORK_SECONDS * item.pace) for item in replicas)
    played.run(rate_per_second=capacity * utilization, seconds=seconds)
    return played
