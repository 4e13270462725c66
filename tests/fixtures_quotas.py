"""A fleet of instances that share quotas, simulated without network or store."""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Any, cast

from attrs import define, field, frozen

from bronzebeam.gateway.account_queue import (
    AccountQueue,
    GrantedBy,
    QuotaRefusal,
    TokenRequest,
)
from bronzebeam.gateway.quota_round import QuotaRound
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.known_by import KnownBy
from bronzebeam.routing.quota_grants import QuotaGrants
from bronzebeam.routing.quota_members import QuotaMembers, RegistrationTimes
from bronzebeam.routing.quota_tokens import alone_rate_per_second
from bronzebeam.routing.quotas import QuotaAsk, QuotaGrant, QuotaTolerance
from bronzebeam.routing.replica_limit import RecentInstanceCount
from bronzebeam.routing.silent_peers import SilentPeers

LEASE_SECONDS = 15.0
POLL_SECONDS = 1.0
TICK_SECONDS = 0.25
RENEWAL_SECONDS = 7.5
SOURCE_AGE_SECONDS = 3.0
STORE_DELAY_SECONDS = 0.002
TOLERANCE = QuotaTolerance(window_seconds=5.0, overage_ratio=0.1, slack_count=20.0)


@frozen(kw_only=True, order=True)
class Event:
    """Something that happens at a time; events of a paused instance wait."""

    at_seconds: float
    number: int
    run: Callable[[], None] = field(order=False)
    instance: "SimInstance | None" = field(order=False, default=None)


@define(kw_only=True, eq=False)
class Timer:
    """Result of `call_at`."""

    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


@define(kw_only=True, eq=False)
class SimLoop:
    """The event loop of one instance."""

    instance: "SimInstance"

    def time(self) -> float:
        return self.instance.fleet.now

    def call_at(self, at: float, run: Callable[..., None], *args: Any) -> Timer:
        timer = Timer()

        def run_unless_cancelled() -> None:
            if not timer.cancelled:
                run(*args)

        self.instance.fleet.schedule(at, run_unless_cancelled, self.instance)
        return timer

    def call_later(self, delay: float, run: Callable[..., None], *args: Any) -> Timer:
        return self.call_at(self.time() + delay, run, *args)

    def call_soon(self, run: Callable[..., None], *args: Any) -> Timer:
        return self.call_at(self.time(), run, *args)


@define(kw_only=True, eq=False)
class SimMessage:
    """A question on its way to a peer; stands in for `QuotaMessage`."""

    sender: "SimInstance"
    peer: str
    ask: QuotaAsk
    handler: QuotaRound | None
    asked_at_seconds: float

    def expire(self) -> bool:
        return True

    def send(self) -> None:
        fleet = self.sender.fleet
        fleet.message_count += 1
        receiver = fleet.instances.get(self.peer)
        if receiver is None or receiver.is_killed:
            fleet.schedule(fleet.now, self._fail, self.sender)
        elif not fleet.is_lost(self.sender, receiver):
            fleet.schedule(
                fleet.now + fleet.delay_seconds(), lambda: self._arrive(receiver), None
            )

    def _arrive(self, receiver: "SimInstance") -> None:
        fleet = self.sender.fleet
        fleet.schedule(fleet.now, lambda: self._answer(receiver), receiver)

    def _answer(self, receiver: "SimInstance") -> None:
        fleet = self.sender.fleet
        grant = receiver.answer(self.ask)
        if not fleet.is_lost(self.sender, receiver):
            fleet.schedule(
                fleet.now + fleet.delay_seconds(),
                lambda: self._receive(grant),
                self.sender,
            )

    def _receive(self, grant: QuotaGrant) -> None:
        if self.handler is not None:
            self.handler.on_quota_answer(cast(Any, self), grant)

    def _fail(self) -> None:
        if self.handler is not None:
            self.handler.on_quota_failure(cast(Any, self), "connection_lost")


@define(kw_only=True, eq=False)
class SimLinks:
    """Stands in for `QuotaLinks`, and for the parts of `FleetState` that it uses."""

    instance_state: "SimInstance"
    silent: SilentPeers = field(factory=SilentPeers)

    @property
    def state(self) -> "SimInstance":
        return self.instance_state

    def answer(self, ask: QuotaAsk) -> QuotaGrant:
        return self.instance_state.answer(ask)

    def boot_seconds(self) -> float:
        return self.instance_state.fleet.now

    def count_ask(self, result: str) -> None:
        pass

    def message(
        self, name: str, ask: QuotaAsk, handler: QuotaRound | None
    ) -> SimMessage:
        return SimMessage(
            sender=self.instance_state,
            peer=name,
            ask=ask,
            handler=handler,
            asked_at_seconds=self.boot_seconds(),
        )


@define(kw_only=True, eq=False)
class SimInstance:
    """
    One process; a restarted instance is another process with the same name.

    :ivar follows: it reads changes from a peer, whose view may be some seconds old.
    :ivar part: part of the fleet; messages between different parts are lost.
    :ivar paused_until_seconds: events of this instance wait until then.
    """

    fleet: "SimFleet"
    instance: str
    follows: bool
    members: QuotaMembers = field(init=False)
    times: RegistrationTimes = field(init=False)
    grants: QuotaGrants = field(init=False)
    queue: AccountQueue = field(init=False)
    loop: SimLoop = field(init=False)
    is_killed: bool = False
    is_stopping: bool = False
    store_cut: bool = False
    peers_cut: bool = False
    part: int = 0
    paused_until_seconds: float = 0.0
    _seen_as_of_seconds: float = 0.0
    _known_by: KnownBy = field(factory=KnownBy)
    _recent: RecentInstanceCount = field(factory=RecentInstanceCount)

    def __attrs_post_init__(self) -> None:
        fleet = self.fleet
        self.loop = SimLoop(instance=self)
        self.members = QuotaMembers(instance=self.instance)
        self.times = RegistrationTimes(lease_seconds=LEASE_SECONDS)
        self.grants = QuotaGrants(
            tolerance=fleet.tolerance, started_at_seconds=fleet.now
        )
        self.queue = AccountQueue(
            account=fleet.account,
            links=cast(Any, SimLinks(instance_state=self)),
            turn_seconds=self._turn_seconds,
        )
        self._call_store()
        fleet.schedule(fleet.now + 0.01, self._poll, self)
        fleet.schedule(fleet.now + TICK_SECONDS, self._introduce, self)
        fleet.schedule(
            fleet.now + RENEWAL_SECONDS * fleet.rng.uniform(0.3, 1.0), self._renew, self
        )

    # What `QuotaRound` and `AccountQueue` use of the fleet's state.

    @property
    def quota_members(self) -> QuotaMembers:
        return self.members

    @property
    def peers(self) -> "SimInstance":
        return self

    @property
    def live_count(self) -> int:
        return self.members.live_count

    def answer(self, ask: QuotaAsk) -> QuotaGrant:
        now = self.fleet.now
        standing = self.members.standing(ask.account, now, self.times)
        grant = self.grants.grant(
            self.fleet.account, ask, standing=standing, now_seconds=now
        )
        if grant.as_owner:
            self.fleet.owner_grants.append((now, self.instance))
        return grant

    def request(self) -> None:
        """Let a request arrive."""
        self.fleet.request_count += 1
        arrived_at = self.fleet.now

        def on_granted(expires_at: float, role: GrantedBy) -> None:
            self._record_wait(arrived_at)
            self.fleet.admitted.append((self.fleet.now, role, self.instance))

        def on_refused(refusal: QuotaRefusal) -> None:
            self._record_wait(arrived_at)
            self.fleet.refused.append((self.fleet.now, refusal))

        self.queue.request(TokenRequest(on_granted=on_granted, on_refused=on_refused))

    def stop(self) -> None:
        """Stop in an orderly way: the registration is removed from the store."""
        self.is_stopping = True
        self.times.record_gap()
        if self.fleet.reaches_store(self):
            self.fleet.release(self)

    def _record_wait(self, arrived_at: float) -> None:
        if self.paused_until_seconds < arrived_at:
            self.fleet.waits.append(self.fleet.now - arrived_at)

    def _turn_seconds(self, queue: AccountQueue) -> float:
        return queue.tokens.seconds_until_turn(
            per_second=alone_rate_per_second(queue.account, self.fleet.tolerance),
            instance_count=self._recent.highest(self.fleet.now),
            now_seconds=self.fleet.now,
            rng=self.fleet.rng,
            is_delayed=False,
        )

    def _introduce(self) -> None:
        """Ask all that have not answered yet whether they know this instance."""
        fleet = self.fleet
        names = self._known_by.members_to_ask(self.members, self.times, fleet.now)
        for name in names:
            other = fleet.instances.get(name)
            if other is not None and not fleet.is_lost(self, other):
                self._ask_whether_known(other, self.times.registered_at_seconds or 0.0)
        fleet.schedule(fleet.now + TICK_SECONDS, self._introduce, self)

    def _ask_whether_known(self, other: "SimInstance", registered_at: float) -> None:
        fleet = self.fleet
        makes_way = self._known_by.makes_way

        def answer() -> None:
            is_known = other.members.acknowledge(self.instance, makes_way=makes_way)
            if is_known and not fleet.is_lost(self, other):
                fleet.schedule(fleet.now + fleet.delay_seconds(), receive, self)

        def receive() -> None:
            self._known_by.record(
                other.instance,
                registered_at_seconds=registered_at,
                makes_way=makes_way,
            )

        fleet.schedule(fleet.now + fleet.delay_seconds(), answer, other)

    def _renew(self) -> None:
        self._call_store()
        wait = RENEWAL_SECONDS if self.times.registered_at_seconds else 1.0
        self.fleet.schedule(self.fleet.now + wait, self._renew, self)

    def _call_store(self) -> None:
        """Register, or renew the lease; the answer comes some time later."""
        fleet = self.fleet
        if self.is_stopping or not fleet.reaches_store(self):
            return
        sent_at = fleet.now

        def process() -> None:
            is_renewed = fleet.lease_of(self.instance) is self
            fleet.renew(self)

            def receive() -> None:
                if self.is_stopping:
                    return
                if not is_renewed:
                    self.times.record_gap()
                self.times.record_renewal(sent_at, fleet.now)

            fleet.schedule(fleet.now + STORE_DELAY_SECONDS, receive, self)

        fleet.schedule(fleet.now + STORE_DELAY_SECONDS, process, None)

    def _poll(self) -> None:
        """Read the instances that are registered, directly or from a source."""
        fleet = self.fleet
        if fleet.reaches_store(self):
            sent_at = fleet.now
            age = fleet.rng.uniform(0.0, SOURCE_AGE_SECONDS) if self.follows else 0.0
            self._seen_as_of_seconds = max(self._seen_as_of_seconds, sent_at - age)
            names = fleet.registered_at(self._seen_as_of_seconds)

            def receive() -> None:
                if self.instance not in names and not self.is_stopping:
                    if self.times.registered_at_seconds is not None and not age:
                        self.times.record_gap()
                self.members.update(names, fleet.now)
                as_of = sent_at - (SOURCE_AGE_SECONDS if self.follows else 0.0)
                self.members.confirm(as_of, fleet.now)
                self._recent.observe(self.members.live_count, fleet.now)

            fleet.schedule(fleet.now + STORE_DELAY_SECONDS, receive, self)
        fleet.schedule(fleet.now + POLL_SECONDS, self._poll, self)


@define(kw_only=True, eq=False)
class SimFleet:
    """
    The instances, their messages and the store.

    :ivar loss_ratio: share of the messages that are lost.
    :ivar max_delay_seconds: longest time that a message is on its way.
    :ivar leases: the process that registered last under each name.
    :ivar _ends: start and end of each registration under each name.
    :ivar admitted: times at which requests were sent to replicas.
    """

    account: Account
    tolerance: QuotaTolerance
    rng: random.Random
    loss_ratio: float = 0.0
    max_delay_seconds: float = 0.002
    now: float = 100.0
    store_down: bool = False
    instances: dict[str, SimInstance] = field(factory=dict)
    leases: dict[str, SimInstance] = field(factory=dict)
    admitted: list[tuple[float, GrantedBy, str]] = field(factory=list)
    refused: list[tuple[float, QuotaRefusal]] = field(factory=list)
    owner_grants: list[tuple[float, str]] = field(factory=list)
    waits: list[float] = field(factory=list)
    request_count: int = 0
    message_count: int = 0
    _events: list[Event] = field(factory=list)
    _numbers: "count[int]" = field(factory=count)
    _ends: dict[str, list[tuple[float, float]]] = field(factory=dict)

    def start(self, name: str, *, follows: bool = False) -> SimInstance:
        """Start an instance, or another process under a name that was used."""
        former = self.instances.get(name)
        if former is not None:
            former.is_killed = True
        instance = SimInstance(fleet=self, instance=name, follows=follows)
        self.instances[name] = instance
        return instance

    def schedule(
        self, at_seconds: float, run: Callable[[], None], instance: SimInstance | None
    ) -> None:
        heapq.heappush(
            self._events,
            Event(
                at_seconds=at_seconds,
                number=next(self._numbers),
                run=run,
                instance=instance,
            ),
        )

    def run_until(self, at_seconds: float) -> None:
        while self._events and self._events[0].at_seconds <= at_seconds:
            event = heapq.heappop(self._events)
            self.now = max(self.now, event.at_seconds)
            instance = event.instance
            if instance is not None and instance.is_killed:
                continue
            if instance is not None and instance.paused_until_seconds > self.now:
                self.schedule(instance.paused_until_seconds, event.run, instance)
                continue
            event.run()
        self.now = at_seconds

    def send_load(
        self, *, per_second: float, seconds: float, names: list[str] | None = None
    ) -> None:
        """Schedule requests at random times, each at a random live instance."""
        at_seconds = self.now
        while (at_seconds := at_seconds + self.rng.expovariate(per_second)) < (
            self.now + seconds
        ):
            self.schedule(at_seconds, lambda: self._request(names), None)

    def is_lost(self, one: SimInstance, other: SimInstance) -> bool:
        if one.peers_cut or other.peers_cut or one.part != other.part:
            return True
        return self.rng.random() < self.loss_ratio

    def delay_seconds(self) -> float:
        return self.rng.uniform(0.0002, self.max_delay_seconds)

    def reaches_store(self, instance: SimInstance) -> bool:
        return not self.store_down and not instance.store_cut

    def lease_of(self, name: str) -> SimInstance | None:
        process = self.leases.get(name)
        return process if process and self._ends[name][-1][1] > self.now else None

    def renew(self, instance: SimInstance) -> None:
        """Register an instance, or extend its lease."""
        name = instance.instance
        spans = self._ends.setdefault(name, [])
        if self.lease_of(name) is None:
            spans.append((self.now, 0.0))
        spans[-1] = (spans[-1][0], self.now + LEASE_SECONDS)
        self.leases[name] = instance

    def release(self, instance: SimInstance) -> None:
        """End the lease of an instance that stops."""
        if self.lease_of(instance.instance) is instance:
            spans = self._ends[instance.instance]
            spans[-1] = (spans[-1][0], self.now)

    def registered_at(self, as_of_seconds: float) -> tuple[str, ...]:
        """Return the names that were registered at a time."""
        return tuple(
            name
            for name, spans in self._ends.items()
            if any(start <= as_of_seconds < end for start, end in spans)
        )

    def most_in_window(self) -> int:
        """Return the most requests that were admitted in any window."""
        times = sorted(item[0] for item in self.admitted)
        most = first = 0
        for index, at_seconds in enumerate(times):
            while times[first] <= at_seconds - self.tolerance.window_seconds:
                first += 1
            most = max(most, index - first + 1)
        return most

    def allowed_in_window(self) -> float:
        quota = self.account.rate_per_second * self.tolerance.window_seconds
        return (
            quota
            + self.account.burst_count
            + (self.tolerance.reserve_count(self.account))
        )

    def _request(self, names: list[str] | None) -> None:
        live = [
            item
            for name, item in self.instances.items()
            if not item.is_killed
            and not item.is_stopping
            and (names is None or name in names)
        ]
        if live:
            instance = self.rng.choice(live)
            self.schedule(self.now, instance.request, instance)
