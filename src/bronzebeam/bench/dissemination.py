"""
Simulates the dissemination of one configuration update over a fleet of entries.

The simulation runs in virtual time and uses the routing functions only, without
controllers or a network. ``python -m bronzebeam.bench.dissemination`` prints its
figures as JSON lines.
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
SAME_REGION_DELAY_SECONDS = 0.001
CROSS_REGION_DELAY_SECONDS = 0.030
PUSH_SEND_SECONDS = 0.005
WATCH_DELAY_SECONDS = 0.010
REQUEST_HEADER_BYTES = 190
REPLY_HEADER_BYTES = 140
DOCUMENT_BYTES = 20_000
MAX_RUN_SECONDS = 30.0


@frozen(kw_only=True)
class Faults:
    """
    Faults that are injected into a simulation.

    :ivar loss: share of messages that are lost.
    :ivar lost_domains: failure domains that fail before the dissemination starts.
    """

    loss: float = 0.0
    lost_domains: frozenset[str] = frozenset()


@define(kw_only=True)
class SimulationResult:
    """
    Result of one simulation.

    :ivar seconds: virtual time at which the last node was reached.
    :ivar reached_by_push_count: nodes that received the update by a push or from the
        store, rather than by an exchange.
    :ivar alive_count: nodes outside of the failed domains.
    :ivar max_hops: maximum number of hops from a watcher to a node.
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
    """
    Return the bytes of one push and of one exchange.

    Both include the reply and the headers.
    """
    sender = _member("entry-0000", "d0", 1_790_000_000_000)
    changes = tuple(
        Change(path=("document", "services", 1, "hedging", name), value=95.5)
        for name in ("percentile", "extra_load_share")
    )
    update = ConfigurationUpdate(
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
    push_reply = PushReply(instance="entry-0000", revision=4710)
    push = _encoded_size(push_to_json(Push(sender=sender, configuration=update)))
    headers = REQUEST_HEADER_BYTES + REPLY_HEADER_BYTES
    exchange_pair_bytes = 2 * _encoded_size(exchange_to_json(exchange))
    return (
        push + _encoded_size(push_reply_to_json(push_reply)) + headers,
        exchange_pair_bytes + headers,
    )


class DisseminationSimulation:
    """
    Disseminates one update by pushes that start at the watchers.

    Periodic exchanges between peers repair what the pushes miss.
    """

    def __init__(self, *, members: tuple[MemberRecord, ...], faults: Faults, seed: int):
        self._rng = Random(seed)
        self._members = {item.instance: item for item in members}
        self._names = tuple(self._members)
        self._faults = faults
        self._failed_nodes = {
            item.instance
            for item in members
            if item.failure_domain in faults.lost_domains
        }
        self._push_bytes, self._exchange_bytes = message_bytes()
        self._hops_by_node: dict[str, int] = {}
        self._suspected_by_node: dict[str, set[str]] = {
            name: set() for name in self._names
        }
        self._event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._now = 0.0
        self.result = SimulationResult(
            alive_count=len(members) - len(self._failed_nodes)
        )

    def run(self) -> SimulationResult:
        """Run until all live nodes are reached or `MAX_RUN_SECONDS` have passed."""
        alive_members = [
            item
            for name, item in self._members.items()
            if name not in self._failed_nodes
        ]
        interval = exchange_interval_seconds(len(self._members))
        for item in alive_members:
            start = self._rng.uniform(0, interval)
            self._schedule(start, partial(self._run_exchange, item.instance, 0))
        for name in choose_watchers(
            self._rng.sample(alive_members, len(alive_members))
        ):
            self._schedule(
                WATCH_DELAY_SECONDS, partial(self._receive_update, name, 0, True)
            )
        while self._event_queue and self.result.reached_count < self.result.alive_count:
            self._now, _, action = heapq.heappop(self._event_queue)
            if self._now > MAX_RUN_SECONDS:
                break
            action()
        return self.result

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._event_queue, (self._now + delay, next(self._event_numbers), action)
        )

    def _receive_update(self, name: str, hops: int, pushed: bool) -> None:
        if name in self._hops_by_node:
            return
        self._hops_by_node[name] = hops
        self.result.reached_count += 1
        self.result.reached_by_push_count += pushed
        self.result.seconds = self._now
        self.result.max_hops = max(self.result.max_hops, hops)
        already_tried: set[str] = set()
        own = self._members[name]
        for ring, followers in enumerate(push_candidates(own, self._members.values())):
            delay = (ring + 1) * PUSH_SEND_SECONDS
            self._schedule(delay, partial(self._push, name, followers, already_tried))

    def _push(
        self, name: str, followers: tuple[str, ...], already_tried: set[str]
    ) -> None:
        suspected = self._suspected_by_node[name]
        target = next_push_target(
            followers, already_tried=already_tried, suspected=suspected
        )
        if target is None:
            return
        already_tried.add(target)
        self.result.pushes += 1
        pushes = self.result.pushes_by_node
        pushes[name] = pushes.get(name, 0) + 1
        self._count_bytes(name, target, self._push_bytes)
        if not self._is_lost(target):
            hops = self._hops_by_node[name] + 1
            self._schedule(
                self._network_delay(name, target),
                lambda: self._receive_update(target, hops, True),
            )
            return
        suspected.add(target)
        self._schedule(
            PEER_TIMEOUT_SECONDS, lambda: self._push(name, followers, already_tried)
        )

    def _run_exchange(self, name: str, turn: int) -> None:
        interval = exchange_interval_seconds(len(self._members))
        delay = jittered(interval, self._rng)
        peer = choose_exchange_peer(
            peers=self._names,
            priority_peers=(),
            suspected=self._suspected_by_node[name],
            turn=turn,
            rng=self._rng,
        )
        assert peer is not None
        if self._is_lost(peer):
            self._suspected_by_node[name].add(peer)
            delay += PEER_TIMEOUT_SECONDS
        else:
            self._count_bytes(name, peer, self._exchange_bytes)
            self._schedule(
                2 * self._network_delay(name, peer),
                lambda: self._repair_by_exchange(name, peer),
            )
        self._schedule(delay, lambda: self._run_exchange(name, turn + 1))

    def _repair_by_exchange(self, one: str, two: str) -> None:
        for behind, ahead in ((one, two), (two, one)):
            if ahead in self._hops_by_node and behind not in self._hops_by_node:
                self._count_bytes(behind, ahead, DOCUMENT_BYTES)
                hops = self._hops_by_node[ahead] + 1
                delay = 2 * self._network_delay(one, two)
                self._schedule(
                    delay, partial(self._receive_update, behind, hops, False)
                )

    def _is_lost(self, target: str) -> bool:
        return target in self._failed_nodes or self._rng.random() < self._faults.loss

    def _network_delay(self, one: str, two: str) -> float:
        regions = {
            int(self._members[name].failure_domain[1:]) // DOMAINS_PER_REGION
            for name in (one, two)
        }
        return (
            SAME_REGION_DELAY_SECONDS
            if len(regions) == 1
            else CROSS_REGION_DELAY_SECONDS
        )

    def _count_bytes(self, one: str, two: str, count: int) -> None:
        for name in (one, two):
            spent = self.result.bytes_by_node.get(name, 0)
            self.result.bytes_by_node[name] = spent + count


def simulate_dissemination(count: int, faults: Faults, seed: int) -> SimulationResult:
    """Simulate the dissemination of one update over `count` nodes."""
    return DisseminationSimulation(
        members=fleet_members(count), faults=faults, seed=seed
    ).run()


def _encoded_size(value: Any) -> int:
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
