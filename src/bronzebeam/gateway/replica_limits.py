"""The limits on requests that replicas name in their replies."""

import asyncio
import random
from collections.abc import Callable, Iterable

from attrs import define, field

from bronzebeam.gateway.limited_traffic import LimitedTraffic
from bronzebeam.gateway.replica import Replica
from bronzebeam.routing.replica_limit import NamedLimit, SendTurns
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND


@define(kw_only=True, eq=False, repr=False)
class ReplicaLimits:
    """
    Applies the limits that replicas name to what this instance sends to them.

    :ivar share_of: returns this instance's share of the limit that a replica of a
        service names.
    :ivar _unreadable: replicas whose latest reply names a limit that can't be read; an
        earlier limit still applies.
    """

    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    rng: random.Random
    share_of: Callable[[str], float]
    _unreadable: set[str] = field(factory=set)

    def record(self, replica: Replica, limit: NamedLimit) -> None:
        """Record the limit that a replica names in a reply, or that it names none."""
        name = replica.record.replica
        if limit.problem and limit.per_second is None:
            if name not in self._unreadable:
                self._unreadable.add(name)
                self.log.event(
                    "replica_limit_unreadable", replica=name, problem=limit.problem
                )
            return
        self._unreadable.discard(name)
        if limit.per_second is None:
            self._end(replica)
        elif replica.limited is None or limit.per_second != replica.limited.per_second:
            self._start(replica, limit.per_second, limit.problem)

    def update_shares(self, replicas: Iterable[Replica]) -> None:
        """Apply this instance's current share of the limits."""
        for replica in replicas:
            if replica.limited is not None:
                self._set_rate(replica, replica.limited)

    def _start(self, replica: Replica, per_second: float, problem: str) -> None:
        self.log.event(
            "replica_limited",
            replica=replica.record.replica,
            service=replica.record.service,
            per_second=per_second,
            problem=problem,
        )
        if replica.limited is None:
            replica.limited = LimitedTraffic(
                per_second=per_second,
                turns=SendTurns(rng=self.rng),
                since_seconds=self.loop.time(),
            )
        replica.limited.per_second = per_second
        self._set_rate(replica, replica.limited)

    def _end(self, replica: Replica) -> None:
        limited, replica.limited = replica.limited, None
        if limited is None:
            return
        limited_seconds = self.loop.time() - limited.since_seconds
        self.log.event(
            "replica_limit_ended",
            replica=replica.record.replica,
            service=replica.record.service,
            per_second=limited.per_second,
            limited_ms=round(limited_seconds * MS_PER_SECOND),
            **{kind.value: count for kind, count in limited.sent_counts.items()},
        )

    def _set_rate(self, replica: Replica, limited: LimitedTraffic) -> None:
        limited.turns.set_rate(
            limit_per_second=limited.per_second,
            share=self.share_of(replica.record.service),
            now_seconds=self.loop.time(),
        )
