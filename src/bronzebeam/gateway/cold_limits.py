"""Limits on what this instance sends to cold replicas."""

import asyncio
import math
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from attrs import define, field

from bronzebeam.gateway.limited_traffic import ColdTraffic
from bronzebeam.gateway.records import ReplicaRecord
from bronzebeam.gateway.replica import Replica
from bronzebeam.routing.cold_limits import (
    LEARNING_SECONDS,
    ColdTolerance,
    ColdTurns,
    choose_senders,
    is_start_over,
    share_cold_rate,
)
from bronzebeam.routing.routes import BackendService
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND

REPLICA_COLD: Final = "replica_cold"
Members = Mapping[str, Mapping[str, float]]


@define(kw_only=True, eq=False, repr=False)
class ColdLimits:
    """
    Limits what this instance sends to cold replicas whose service states a cold rate.

    :ivar tolerance: what a cold replica bears.
    :ivar candidates_of: returns the processor cores of the instances that may send to
        a replica, by failure domain.
    :ivar wall_seconds: returns the wall-clock time.
    :ivar _known_since_seconds: monotonic time at which this instance first saw its own
        registration; None before.
    """

    instance: str
    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    rng: random.Random
    tolerance: ColdTolerance
    candidates_of: Callable[[ReplicaRecord], Members]
    wall_seconds: Callable[[], float] = time.time
    _rates: dict[str, float] = field(factory=dict)
    _services: Mapping[str, BackendService] = field(factory=dict)
    _limited: dict[str, Replica] = field(factory=dict)
    _known_since_seconds: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether a service states a cold rate, or a replica is still limited."""
        return bool(self._rates or self._limited)

    def set_services(self, services: Mapping[str, BackendService]) -> None:
        """Apply the cold rates of a configuration."""
        self._services = services
        self._rates = {
            name: service.cold_rate_per_second
            for name, service in services.items()
            if service.cold_rate_per_second > 0.0
        }

    def has_rate(self, service: str) -> bool:
        """Whether a service states a cold rate."""
        return service in self._rates

    def record_registered(self) -> None:
        """Record that this instance has seen its own registration."""
        if self._known_since_seconds is None:
            self._known_since_seconds = self.loop.time()

    def update(self, replicas: Iterable[Replica], *, members_changed: bool) -> None:
        """
        Start and end limits, and apply this instance's share of them.

        :param members_changed: the instances, the owners of shards, the replicas or the
            configuration may have changed.
        """
        if not self.is_active:
            return
        now_seconds = self.loop.time()
        known = {item.record.replica: item for item in replicas}
        for name, replica in list(self._limited.items()):
            if known.get(name) is not replica:
                del self._limited[name]
            elif not self._is_limited(replica, now_seconds):
                self._end(replica)
        started = []
        for replica in known.values():
            if not self._is_limited(replica, now_seconds):
                continue
            if replica.cold is None:
                self._start(replica)
                started.append(replica)
            elif members_changed:
                self._set_share(replica, replica.cold)
        # Requests that wait were planned without a turn. They go elsewhere, so all
        # limits have to apply before.
        for replica in started:
            replica.pool.fail_waiting(REPLICA_COLD)

    def _is_limited(self, replica: Replica, now_seconds: float) -> bool:
        record = replica.record
        if now_seconds >= replica.cold_until_seconds:
            return False
        if record.service not in self._rates:
            return False
        return not (
            replica.is_age_unknown
            and record.is_first
            and is_start_over(
                started_at_ms=record.started_at_ms,
                cold_start_seconds=self._services[record.service].cold_start_seconds,
                wall_seconds=self.wall_seconds(),
            )
        )

    def _start(self, replica: Replica) -> None:
        cold = ColdTraffic(
            turns=ColdTurns(rng=self.rng), since_seconds=self.loop.time()
        )
        replica.cold = cold
        self._limited[replica.record.replica] = replica
        self._set_share(replica, cold)
        remaining_seconds = replica.cold_until_seconds - self.loop.time()
        self.log.event(
            "replica_cold",
            replica=replica.record.replica,
            service=replica.record.service,
            cold_ms=round(remaining_seconds * MS_PER_SECOND),
            per_second=self._rates[replica.record.service],
            is_sender=cold.turns.is_sender,
        )

    def _end(self, replica: Replica) -> None:
        del self._limited[replica.record.replica]
        cold, replica.cold = replica.cold, None
        if cold is None:
            return
        limited_seconds = self.loop.time() - cold.since_seconds
        self.log.event(
            "replica_warm",
            replica=replica.record.replica,
            service=replica.record.service,
            limited_ms=round(limited_seconds * MS_PER_SECOND),
            **{kind.value: count for kind, count in cold.sent_counts.items()},
        )

    def _set_share(self, replica: Replica, cold: ColdTraffic) -> None:
        record = replica.record
        rate_per_second = self._rates[record.service]
        candidates = self.candidates_of(record)
        share = share_cold_rate(
            rate_per_second=rate_per_second,
            max_per_second=self.tolerance.max_per_second(rate_per_second),
            candidate_count=sum(map(len, candidates.values())),
        )
        cold.senders = choose_senders(
            record.replica,
            domain=record.failure_domain,
            candidates=candidates,
            count=share.sender_count,
        )
        is_sender = (
            self.instance in cold.senders and self._known_since_seconds is not None
        )
        cold.turns.set_interval(
            share.interval_seconds if is_sender else math.inf,
            start_at_seconds=LEARNING_SECONDS
            + max(self._known_since_seconds or 0.0, replica.cold_again_at_seconds),
        )
