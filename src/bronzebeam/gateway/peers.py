"""Other instances of the gateway, and the selection of one for a delegation."""

import asyncio
import random
from collections.abc import Collection, Mapping, Sequence
from typing import Final

from attrs import define, evolve, field

from bronzebeam.gateway.connection_pool import Connect, ConnectionPool
from bronzebeam.gateway.records import InstanceRecord
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.http_reply import ReplyMemory
from bronzebeam.units import MS_PER_SECOND

MAX_CONNECTIONS: Final = 4  # for each peer; bounds concurrent delegations to it
MAX_CONTROL_CONNECTIONS: Final = 2  # one may be busy with a message that was lost
WARM_CONNECTIONS: Final = 1
MIN_AVOID_SECONDS: Final = 0.5  # after one failure or late reply; doubles with each
MAX_AVOID_SECONDS: Final = 8.0
DEFAULT_OWN_CORES: Final = 1.0  # until this instance has seen its own registration
# Restarted peers are back, and closed idle connections reopened, within this time.
ISOLATION_DELAY_SECONDS: Final = 1.0
MIN_REACHED_SHARE: Final = 0.5  # below, too few owners are left for delegations
# A live instance that an older copy of the store lacks has registered again by then.
LOST_REGISTRATION_GRACE_SECONDS: Final = 5.0
# A peer of a build that doesn't know restrictions of regions may be replaced by then.
REGIONS_DECLINED_SECONDS: Final = 60.0
MAX_STALLED_MS: Final = 30.0  # longer than a healthy peer usually takes to reply


@define(kw_only=True, eq=False, repr=False)
class Peer:
    """
    Another instance.

    :ivar control_pool: connections for short messages that must not wait for the end of
        a delegation; opened when they are needed.
    :ivar avoided_until_seconds: monotonic time until which nothing is delegated to it.
    :ivar declines_regions_until_seconds: monotonic time until which it gets no requests
        whose regions are restricted, since it is of an earlier build.
    """

    record: InstanceRecord
    pool: ConnectionPool
    control_pool: ConnectionPool
    avoided_until_seconds: float = 0.0
    declines_regions_until_seconds: float = 0.0
    _failures: int = 0

    def record_failure(self, now_seconds: float) -> float:
        """Avoid the peer for a while; return the number of seconds."""
        seconds: float = min(MIN_AVOID_SECONDS * 2.0**self._failures, MAX_AVOID_SECONDS)
        self._failures += 1
        self.avoided_until_seconds = now_seconds + seconds
        return seconds

    def avoid(self, cause: str, log: DecisionLog, now_seconds: float) -> None:
        """Avoid the peer for a while, and log why."""
        seconds = self.record_failure(now_seconds)
        log.event(
            "peer_avoided",
            peer=self.record.instance,
            cause=cause,
            avoided_ms=round(seconds * MS_PER_SECOND),
        )

    def record_regions_declined(self, now_seconds: float) -> None:
        """Record that the peer rejects requests whose regions are restricted."""
        self.declines_regions_until_seconds = now_seconds + REGIONS_DECLINED_SECONDS

    def record_reply(self) -> None:
        """Record that the peer has answered in time."""
        self._failures = 0


@define(kw_only=True, eq=False, repr=False)
class PeerSet:
    """
    The registered live instances, including this one.

    :ivar instance: name of this instance.
    :ivar reply_memory: shared with the connections to replicas.
    :ivar records: registrations by the name of the instance.
    :ivar _unconfirmed: instances that an older copy of the store lacks, and the
        monotonic time at which they count as gone.
    """

    instance: str
    own_domain: str
    loop: asyncio.AbstractEventLoop
    connect: Connect
    log: DecisionLog
    rng: random.Random
    reply_memory: ReplyMemory = field(factory=ReplyMemory)
    records: dict[str, InstanceRecord] = field(factory=dict)
    _peers: dict[str, Peer] = field(factory=dict)
    _reached_at_seconds: float = 0.0
    _unconfirmed: dict[str, float] = field(factory=dict)

    @property
    def live_count(self) -> int:
        """Return the number of live instances, including this one."""
        return len(self.records.keys() | {self.instance})

    def get(self, name: str) -> Peer | None:
        """Return a peer; None if it is not known or serves no peers."""
        return self._peers.get(name)

    def is_isolated(self, now_seconds: float) -> bool:
        """Whether most peers have been unreachable for a while."""
        reached = sum(1 for item in self._peers.values() if item.pool.open_connections)
        if len(self._peers) < 2 or reached >= len(self._peers) * MIN_REACHED_SHARE:
            self._reached_at_seconds = now_seconds
        return now_seconds - self._reached_at_seconds > ISOLATION_DELAY_SECONDS

    def members(self) -> dict[str, dict[str, float]]:
        """Return the processor cores of the live instances of each failure domain."""
        members: dict[str, dict[str, float]] = {self.own_domain: {}}
        for name, record in self.records.items():
            cores = record.processor_cores
            members.setdefault(record.failure_domain, {})[name] = cores
        members[self.own_domain].setdefault(self.instance, DEFAULT_OWN_CORES)
        return members

    def serving_members(self, *, is_impaired: bool) -> dict[str, dict[str, float]]:
        """
        Return `members` without those whose links to the replicas are broken.

        :param is_impaired: those of this instance are.
        :return: all members if those of all instances are.
        """
        members = self.members()
        serving = {
            domain: {
                name: cores
                for name, cores in items.items()
                if self._reaches_replicas(name, is_impaired=is_impaired)
            }
            for domain, items in members.items()
        }
        return serving if any(serving.values()) else members

    def _reaches_replicas(self, name: str, *, is_impaired: bool) -> bool:
        if name == self.instance:
            return not is_impaired
        return self.records[name].reaches_replicas

    def registered(self) -> list[InstanceRecord]:
        """Return the registrations in the store."""
        return [
            record
            for name, record in self.records.items()
            if name not in self._unconfirmed
        ]

    def replace(
        self, records: Mapping[str, InstanceRecord], *, keep_missing: bool
    ) -> None:
        """
        Replace the known instances by all registered ones.

        :param keep_missing: this is the first read of a store that has come back from
            an older copy; instances that it lacks may have registered after the copy.
        """
        gone_at = self.loop.time() + LOST_REGISTRATION_GRACE_SECONDS
        for name in self.records.keys() - records.keys() - self._unconfirmed.keys():
            if keep_missing:
                self._unconfirmed[name] = gone_at
            else:
                self.remove(name)
        for record in records.values():
            self.put(record)

    def settle_older_copy(self, now_seconds: float) -> bool:
        """Remove instances that have not registered again; return if there are any."""
        gone = [name for name, at in self._unconfirmed.items() if now_seconds >= at]
        for name in gone:
            self.remove(name)
        return bool(gone)

    def put(self, record: InstanceRecord) -> None:
        """Add an instance, or replace a changed one."""
        name = record.instance
        self._unconfirmed.pop(name, None)
        known = self.records.get(name)
        if known == record:
            return
        if known is not None and _is_same_except_for_reach(known, record):
            self._update_reach(record)
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
        self._peers[name] = Peer(
            record=record,
            pool=self._new_pool(record, MAX_CONNECTIONS),
            control_pool=self._new_pool(record, MAX_CONTROL_CONNECTIONS),
        )

    def _new_pool(self, record: InstanceRecord, max_connections: int) -> ConnectionPool:
        return ConnectionPool(
            name=record.instance,
            host=record.host,
            port=record.port,
            loop=self.loop,
            connect=self.connect,
            log=self.log,
            max_connections=max_connections,
            reply_memory=self.reply_memory,
        )

    def _update_reach(self, record: InstanceRecord) -> None:
        self.records[record.instance] = record
        peer = self._peers.get(record.instance)
        if peer is not None:
            peer.record = record
        self.log.event(
            "peer_reach_changed",
            peer=record.instance,
            reaches_replicas=record.reaches_replicas,
        )

    def remove(self, name: str) -> None:
        """Remove an instance."""
        self._unconfirmed.pop(name, None)
        if self.records.pop(name, None) is None:
            return
        peer = self._peers.pop(name, None)
        if peer is not None:
            for pool in (peer.pool, peer.control_pool):
                pool.closing = True
                pool.close()
        self.log.event("peer_gone", peer=name, live_instances=self.live_count)

    def maintain(self, now_seconds: float, max_exchange_seconds: float) -> None:
        """Keep connections to the peers open, and close those that hang."""
        for peer in self._peers.values():
            peer.pool.close_stuck(now_seconds, max_exchange_seconds)
            peer.pool.keep_warm(now_seconds, WARM_CONNECTIONS)
            if peer.control_pool.open_connections:
                peer.control_pool.close_stuck(now_seconds, max_exchange_seconds)
                peer.control_pool.keep_warm(now_seconds, 0)

    def choose(
        self,
        failure_domain: str,
        *,
        excluded: Collection[Peer],
        among: Collection[str] | None = None,
        may_wait: bool = False,
        ignore_reach: bool = False,
    ) -> Peer | None:
        """
        Return the least loaded healthy peer of a failure domain; None if there is none.

        :param excluded: peers that must not be selected.
        :param among: names of the only peers that may be selected; None for any.
        :param may_wait: select a peer without a free connection if no other is left.
        :param ignore_reach: select a peer also if its links to the replicas are broken.
        """
        available = self.available(
            failure_domain,
            excluded=excluded,
            among=among,
            may_wait=may_wait,
            ignore_reach=ignore_reach,
        )
        return min(available, key=self._load) if available else None

    def available(
        self,
        failure_domain: str,
        *,
        excluded: Collection[Peer] = (),
        among: Collection[str] | None = None,
        may_wait: bool = False,
        ignore_reach: bool = False,
    ) -> list[Peer]:
        """Return the peers that `choose` selects from."""
        now_seconds = self.loop.time()
        healthy = [
            peer
            for peer in self._peers.values()
            if peer.record.failure_domain == failure_domain
            and peer not in excluded
            and (ignore_reach or peer.record.reaches_replicas)
            and (among is None or peer.record.instance in among)
            and now_seconds >= peer.avoided_until_seconds
            and peer.pool.stalled_ms(now_seconds) <= MAX_STALLED_MS
        ]
        available = [peer for peer in healthy if peer.pool.idle]
        if not available and may_wait:
            available = [
                peer
                for peer in healthy
                if peer.pool.busy and peer.pool.in_flight < MAX_CONNECTIONS
            ]
        return available

    def outside(self, domains: Collection[str] | None) -> list[Peer]:
        """
        Return the peers that must not get the body of a request.

        :param domains: failure domains whose instances may get it; None for any.
        """
        if domains is None:
            return []
        now_seconds = self.loop.time()
        return [
            peer
            for peer in self._peers.values()
            if peer.record.failure_domain not in domains
            or now_seconds < peer.declines_regions_until_seconds
        ]

    def choose_any(
        self,
        preferred_domains: Sequence[str],
        *,
        excluded: Collection[Peer],
        among: Collection[str] | None = None,
    ) -> Peer | None:
        """
        Return a healthy peer of any failure domain; None if there is none.

        :param preferred_domains: are tried first, in this order.
        :param excluded: peers that must not be selected; their domains are tried last.
        :param among: names of the only peers that may be selected; None for any.
        """
        excluded_domains = {item.record.failure_domain for item in excluded}
        others = {item.record.failure_domain for item in self._peers.values()}
        domains = sorted(
            dict.fromkeys((*preferred_domains, *sorted(others))),
            key=lambda name: name in excluded_domains,
        )
        for ignore_reach in (False, True):  # a registration may be out of date
            for domain in domains:
                peer = self.choose(
                    domain,
                    excluded=excluded,
                    among=among,
                    may_wait=True,
                    ignore_reach=ignore_reach,
                )
                if peer is not None:
                    return peer
        return None

    def _load(self, peer: Peer) -> tuple[float, float]:
        # Equal loads: larger instances are selected more often.
        capacity = peer.record.processor_cores
        spread = self.rng.random() ** (1.0 / capacity)
        return peer.pool.in_flight / capacity, -spread


def _is_same_except_for_reach(one: InstanceRecord, other: InstanceRecord) -> bool:
    return evolve(one, reaches_replicas=other.reaches_replicas) == other
