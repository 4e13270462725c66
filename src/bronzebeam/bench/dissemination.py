"""
A run of one rumour over many nodes in virtual time, by the routing functions alone.

``python -m bronzebeam.bench.dissemination`` prints its figures as JSON lines.
"""

import heapq
import itertools
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import orjson
from attrs import define, field, frozen

from bronzebeam.controllers.document_difference import Change
from bronzebeam.controllers.peer_messages import (
    ConfigurationUpdate,
    Exchange,
    Push,
    PushReply,
    exchange_to_json,
    push_reply_to_json,
    push_to_json,
)
from bronzebeam.routing.dissemination import (
    choose_exchange_peer,
    exchange_interval_seconds,
    jittered,
    next_push_target,
    push_candidates,
)
from bronzebeam.routing.membership_state import MemberRecord, MemberState
from bronzebeam.routing.watchers import choose_watchers
from bronzebeam.transport.peer import PEER_TIMEOUT_SECONDS

DOMAINS = 8
DOMAINS_PER_REGION = 4
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.030
SEND_SECONDS = 0.005
WATCH_DELAY_SECONDS = 0.010
REQUEST_HEADER_BYTES = 190
REPLY_HEADER_BYTES = 140
DOCUMENT_BYTES = 20_000
RUN_SECONDS = 30.0


@frozen(kw_only=True)
class Faults:
    """Share of messages lost, and failure domains lost as the rumour starts."""

    loss: float = 0.0
    lost_domains: frozenset[str] = frozenset()


@define(kw_only=True)
class SimulationResult:
    """
    Figures of one run.

    :ivar by_push: nodes that a push reached before an exchange did.
    :ivar most_hops: longest chain of nodes that the rumour took to reach one.
    """

    seconds: float = 0.0
    reached_by_push_count: int = 0
    reached_count: int = 0
    alive_count: int = 0
    max_hops: int = 0
    pushes: int = 0
    bytes_by_node: dict[str, int] = field(factory=dict)
    pushes_by_node: dict[str, int] = field(factory=dict)


def _member(instance: str, domain: str, incarnation: int = 1) -> MemberRecord:
    return MemberRecord(
        instance=instance,
        incarnation=incarnation,
        state=MemberState.LIVE,
        address=f"{instance}:80",
        peer_address=instance,
        failure_domain=domain,
    )


def fleet_members(count: int) -> tuple[MemberRecord, ...]:
    return tuple(_member(f"entry-{i:04d}", f"d{i % DOMAINS}") for i in range(count))


def message_bytes() -> tuple[int, int]:
    """Return the bytes of a push and of one exchange, both ways with headers."""
    sender = _member("entry-0000", "d0", 1_790_000_000_000)
    changes = tuple(
        Change(path=("document", "services", 1, "hedging", name), value=95.5)
        for name in ("percentile", "extra_load_share")
    )
    news = ConfigurationUpdate(
        revision=4711,
        content_hash="f" * 64,
        base_revision=4710,
        base_checksum="c" * 32,
        checksum="c" * 32,
        changes=changes,
    )
    exchange = Exchange(
        sender=sender,
        revision=4711,
        content_hash="f" * 64,
        store_failing=False,
        records_digest="0" * 8,
    )
    receipt = PushReply(instance="entry-0000", revision=4710)
    push = _size(push_to_json(Push(sender=sender, configuration=news)))
    headers = REQUEST_HEADER_BYTES + REPLY_HEADER_BYTES
    both_sides = 2 * _size(exchange_to_json(exchange))
    return push + _size(push_reply_to_json(receipt)) + headers, both_sides + headers


class DisseminationRun:
    """Spreads one rumour from the watchers and repairs by exchange."""

    def __init__(self, *, members: tuple[MemberRecord, ...], faults: Faults, seed: int):
        self._rng = Random(seed)
        self._members = {item.instance: item for item in members}
        self._names = tuple(self._members)
        self._faults = faults
        self._dead = {
            item.instance
            for item in members
            if item.failure_domain in faults.lost_domains
        }
        self._push_bytes, self._exchange_bytes = message_bytes()
        self._hops: dict[str, int] = {}
        self._suspected: dict[str, set[str]] = {name: set() for name in self._names}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self.run = SimulationResult(alive_count=len(members) - len(self._dead))

    def play(self) -> SimulationResult:
        """Run until all that live are reached, or `RUN_SECONDS` are over."""
        alive = [item for name, item in self._members.items() if name not in self._dead]
        interval = exchange_interval_seconds(len(self._members))
        for item in alive:
            start = self._rng.uniform(0, interval)
            self._at(start, partial(self._exchange, item.instance, 0))
        for name in choose_watchers(self._rng.sample(alive, len(alive))):
            self._at(WATCH_DELAY_SECONDS, partial(self._learn, name, 0, True))
        while self._queue and self.run.reached_count < self.run.alive_count:
            self._now, _, action = heapq.heappop(self._queue)
            if self._now > RUN_SECONDS:
                break
            action()
        return self.run

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self._now + delay, next(self._order), action))

    def _learn(self, name: str, hops: int, pushed: bool) -> None:
        if name in self._hops:
            return
        self._hops[name] = hops
        self.run.reached_count += 1
        self.run.reached_by_push_count += pushed
        self.run.seconds = self._now
        self.run.max_hops = max(self.run.max_hops, hops)
        taken: set[str] = set()
        own = self._members[name]
        for ring, followers in enumerate(push_candidates(own, self._members.values())):
            delay = (ring + 1) * SEND_SECONDS
            self._at(delay, partial(self._push, name, followers, taken))

    def _push(self, name: str, followers: tuple[str, ...], taken: set[str]) -> None:
        suspected = self._suspected[name]
        target = next_push_target(followers, already_tried=taken, suspected=suspected)
        if target is None:
            return
        taken.add(target)
        self.run.pushes += 1
        pushes = self.run.pushes_by_node
        pushes[name] = pushes.get(name, 0) + 1
        self._spend(name, target, self._push_bytes)
        if not self._lost(target):
            hops = self._hops[name] + 1
            self._at(self._delay(name, target), lambda: self._learn(target, hops, True))
            return
        suspected.add(target)
        self._at(PEER_TIMEOUT_SECONDS, lambda: self._push(name, followers, taken))

    def _exchange(self, name: str, turn: int) -> None:
        interval = exchange_interval_seconds(len(self._members))
        pause = jittered(interval, self._rng)
        peer = choose_exchange_peer(
            peers=self._names,
            priority_peers=(),
            suspected=self._suspected[name],
            turn=turn,
            rng=self._rng,
        )
        assert peer is not None
        if self._lost(peer):
            self._suspected[name].add(peer)
            pause += PEER_TIMEOUT_SECONDS
        else:
            self._spend(name, peer, self._exchange_bytes)
            self._at(2 * self._delay(name, peer), lambda: self._compare(name, peer))
        self._at(pause, lambda: self._exchange(name, turn + 1))

    def _compare(self, one: str, two: str) -> None:
        for behind, ahead in ((one, two), (two, one)):
            if ahead in self._hops and behind not in self._hops:
                self._spend(behind, ahead, DOCUMENT_BYTES)
                hops = self._hops[ahead] + 1
                delay = 2 * self._delay(one, two)
                self._at(delay, partial(self._learn, behind, hops, False))

    def _lost(self, target: str) -> bool:
        return target in self._dead or self._rng.random() < self._faults.loss

    def _delay(self, one: str, two: str) -> float:
        regions = {
            int(self._members[name].failure_domain[1:]) // DOMAINS_PER_REGION
            for name in (one, two)
        }
        return NEAR_SECONDS if len(regions) == 1 else FAR_SECONDS

    def _spend(self, one: str, two: str, count: int) -> None:
        for name in (one, two):
            spent = self.run.bytes_by_node.get(name, 0)
            self.run.bytes_by_node[name] = spent + count


def simulate_dissemination(count: int, faults: Faults, seed: int) -> SimulationResult:
    """Spread one rumour over `count` nodes."""
    return DisseminationRun(
        members=fleet_members(count), faults=faults, seed=seed
    ).play()


def _size(value: Any) -> int:
    return len(orjson.dumps(value))


FAULT_CASES = {
    "no_fault": Faults(),
    "loss_1_percent": Faults(loss=0.01),
    "domain_lost": Faults(lost_domains=frozenset({"d3"})),
    "domain_lost_loss_1_percent": Faults(loss=0.01, lost_domains=frozenset({"d3"})),
    "region_lost_loss_1_percent": Faults(
        loss=0.01, lost_domains=frozenset({"d0", "d1", "d2", "d3"})
    ),
}


def main() -> None:
    push_bytes, exchange_bytes = message_bytes()
    sizes = {"push_bytes": push_bytes, "exchange_bytes": exchange_bytes}
    print(orjson.dumps(sizes).decode())
    for case, faults in FAULT_CASES.items():
        runs = [simulate_dissemination(900, faults, seed) for seed in range(10)]
        figures = {
            "case": case,
            "runs": len(runs),
            "reached_all": all(run.reached_count == run.alive_count for run in runs),
            "worst_seconds": round(max(run.seconds for run in runs), 3),
            "least_by_push": min(run.reached_by_push_count for run in runs),
            "alive": runs[0].alive_count,
            "most_hops": max(run.max_hops for run in runs),
            "mean_pushes_a_node": round(
                sum(run.pushes for run in runs) / sum(run.alive_count for run in runs),
                2,
            ),
            "most_pushes_of_a_node": max(
                max(run.pushes_by_node.values()) for run in runs
            ),
            "most_bytes_of_a_node": max(
                max(run.bytes_by_node.values()) for run in runs
            ),
        }
        print(orjson.dumps(figures).decode())


if __name__ == "__main__":
    main()
