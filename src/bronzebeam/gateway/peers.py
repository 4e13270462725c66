"""Other instances of the gateway, and the choice among them."""

import asyncio
import random
from collections.abc import Collection, Mapping
from typing import Final

from attrs import define, field

from bronzebeam.gateway.connection_pool import Connect, ConnectionPool
from bronzebeam.gateway.records import InstanceRecord
from bronzebeam.telemetry.decisions import DecisionLog

CONNECTIONS_MAX: Final = 4  # fan-outs that are handed to one peer at a time
WARM_CONNECTIONS: Final = 1
AVOIDED_FIRST_SECONDS: Final = 0.5  # after a refusal, or a reply that came too late
AVOIDED_MAX_SECONDS: Final = 8.0
OWN_CORES: Final = 1.0  # until this instance has seen its own record
ISOLATED_SECONDS: Final = 1.0  # peers that restart, or idle connections, are back
REACHED_SHARE_MIN: Final = 0.5  # below it, orders find too few owners
SILENCE_MAX_MS: Final = 30.0  # beyond the usual reply of a peer that is well


@define(kw_only=True, eq=False, repr=False)
class Peer:
    """
    Another instance.

    :ivar avoided_until_seconds: monotonic time until which it is handed nothing.
    """

    record: InstanceRecord
    pool: ConnectionPool
    avoided_until_seconds: float = 0.0
    _failures: int = 0

    def note_failed(self, now_seconds: float) -> float:
        """Avoid the peer for a while; return for how many seconds."""
        seconds: float = min(
            AVOIDED_FIRST_SECONDS * 2.0**self._failures, AVOIDED_MAX_SECONDS
        )
        self._failures += 1
        self.avoided_until_seconds = now_seconds + seconds
        return seconds

    def note_answered(self) -> None:
        """Note that the peer has answered in time."""
        self._failures = 0


@define(kw_only=True, eq=False, repr=False)
class PeerSet:
    """
    The live instances that are registered, this one included.

    :ivar instance: name of this instance.
    """

    instance: str
    own_domain: str
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    rng: random.Random
    records: dict[str, InstanceRecord] = field(factory=dict)
    _peers: dict[str, Peer] = field(factory=dict)
    _reached_at_seconds: float = 0.0

    @property
    def live_count(self) -> int:
        """Return the number of live instances, this one included."""
        return len(self.records.keys() | {self.instance})

    def is_isolated(self, now_seconds: float) -> bool:
        """Whether most of several peers have been out of reach for a while."""
        reached = sum(1 for item in self._peers.values() if item.pool.open_connections)
        if len(self._peers) < 2 or reached >= len(self._peers) * REACHED_SHARE_MIN:
            self._reached_at_seconds = now_seconds
        return now_seconds - self._reached_at_seconds > ISOLATED_SECONDS

    def members(self) -> dict[str, dict[str, float]]:
        """Return the processor cores of the live instances of each failure domain."""
        members: dict[str, dict[str, float]] = {self.own_domain: {}}
        for name, record in self.records.items():
            cores = record.processor_cores
            members.setdefault(record.failure_domain, {})[name] = cores
        members[self.own_domain].setdefault(self.instance, OWN_CORES)
        return members

    def replace(self, records: Mapping[str, InstanceRecord]) -> None:
        """Take in all registered instances."""
        for name in self.records.keys() - records.keys():
            self.remove(name)
        for record in records.values():
            self.put(record)

    def put(self, record: InstanceRecord) -> None:
        """Take in one instance, new or changed."""
        name = record.instance
        known = self.records.get(name)
        if known == record:
            return
        if known is not None:
            self.remove(name)
        self.records[name] = record
        self.log.event(
            "peer_seen",
            peer=name,
            domain=record.failure_domain,
            live_instances=self.live_count,
        )
        if name == self.instance or not record.host:
            return
        pool = ConnectionPool(
            name=name,
            host=record.host,
            port=record.port,
            loop=self.loop,
            connect=self.connect,
            log=self.log,
            max_connections=CONNECTIONS_MAX,
        )
        self._peers[name] = Peer(record=record, pool=pool)

    def remove(self, name: str) -> None:
        """Forget an instance."""
        if self.records.pop(name, None) is None:
            return
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.pool.closing = True
            peer.pool.close()
        self.log.event("peer_gone", peer=name, live_instances=self.live_count)

    def maintain(self, now_seconds: float, max_exchange_seconds: float) -> None:
        """Keep connections to the peers open."""
        for peer in self._peers.values():
            peer.pool.close_stuck(now_seconds, max_exchange_seconds)
            peer.pool.keep_warm(now_seconds, WARM_CONNECTIONS)

    def choose(
        self,
        failure_domain: str,
        *,
        excluded: Collection[Peer],
        among: Collection[str] | None = None,
    ) -> Peer | None:
        """
        Return the least busy peer of a failure domain that is well, or None.

        :param excluded: peers that must not be chosen.
        :param among: names of the peers that may be chosen; None if any may be.
        """
        now_seconds = self.loop.time()
        well = [
            peer
            for peer in self._peers.values()
            if peer.record.failure_domain == failure_domain
            and peer.pool.idle
            and peer not in excluded
            and (among is None or peer.record.instance in among)
            and now_seconds >= peer.avoided_until_seconds
            and peer.pool.stalled_ms(now_seconds) <= SILENCE_MAX_MS
        ]
        if not well:
            return None
        return min(well, key=self._load_of)

    def _load_of(self, peer: Peer) -> tuple[float, float]:
        # A tie goes to the larger instance more often.
        capacity = peer.record.processor_cores
        spread = self.rng.random() ** (1.0 / capacity)
        return peer.pool.in_flight / capacity, -spread
