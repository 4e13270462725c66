"""Where a request would be sent now, for operators; nothing is sent or changed."""

import asyncio
import math
import random
from collections.abc import Collection, Sequence
from typing import Any, Final

from attrs import define, field

from bronzebeam.gateway.delegator import MIN_DELEGATED_SHARDS
from bronzebeam.gateway.explained_replicas import ReplicaExplainer
from bronzebeam.gateway.fan_out import TOO_FEW_SHARDS
from bronzebeam.gateway.fan_out_progress import FanOutProgress
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.replica_choice import ReplicaChoice
from bronzebeam.gateway.replica_set import REPLICAS_COLD, REPLICAS_UNREACHABLE
from bronzebeam.gateway.shard_replica_chooser import TOO_SLOW
from bronzebeam.gateway.shard_state import NO_REPLICA, ShardState
from bronzebeam.routing.domain_groups import (
    ShardGroup,
    group_by_domain,
    group_by_owner,
    mean_cores,
    split_evenly,
)
from bronzebeam.routing.fan_out_timing import should_skip_shard

# Why a peer would be asked.
IN_OTHER_DOMAIN: Final = "replica_in_other_domain"
OWNED_BY_PEERS: Final = "owned_by_peers"
MANY_SHARDS: Final = "many_shards"
UNREACHABLE_HERE: Final = "unreachable_here"
COLD_HERE: Final = "no_turn_for_cold_replicas"
# Requests are handled between slices: 135 shards at once would delay them by 15 ms.
SHARDS_PER_SLICE: Final = 8


@define(kw_only=True, eq=False, repr=False)
class ServiceExplainer:
    """
    Explains which replicas the services of a route would use.

    :ivar target_ms: time to the target latency of a request that arrives now.
    :ivar regions: regions that it may be sent to; None for any.
    """

    state: FleetState
    replicas: ReplicaExplainer
    target_ms: float
    regions: frozenset[str] | None = None

    async def describe_single(self) -> tuple[list[dict[str, Any]], str]:
        """
        Describe the services of a route that is no search.

        :return: the services, and why the next request would be refused; empty if it
            would not.
        """
        route = self.replicas.route
        next_service = self.state.peek_service(route)
        described, refused_by = [], ""
        for destination in route.destinations:
            choice = self.replicas.choose(destination.service, ignore_limit=False)
            cause, asked_because = "", ""
            peers: list[Peer] = []
            if choice is None:
                cause = self.missing_cause(destination.service)
                asked_because, peers = self._relaying_peers(destination.service, cause)
            item = self._describe(destination.service, choice, ignore_limit=False)
            _set_peers(item, asked_because if peers else "", peers)
            item["missing_cause"] = "" if peers else cause
            item["weight"] = destination.weight
            item["is_next"] = destination.service == next_service
            if item["is_next"]:
                refused_by = item["missing_cause"]
            described.append(item)
        return described, refused_by

    async def describe_search(self) -> tuple[list[dict[str, Any]], str]:
        """
        Describe the shards of a search.

        :return: the shards, and why the request would be refused; empty if it would
            not.
        """
        plan = SearchPlan(explainer=self)
        plan.make()
        described = []
        for shard in plan.progress.shards:
            if shard.index % SHARDS_PER_SLICE == 0:
                await asyncio.sleep(0)
            item = self._describe(
                shard.service,
                plan.choices.get(shard.index),
                ignore_limit=plan.is_sent_by_owners(shard),
            )
            peer_cause, peers = plan.peers.get(shard.index, ("", ()))
            _set_peers(item, peer_cause, peers)
            item["missing_cause"] = shard.cause if shard.failed else ""
            item["shard"] = shard.index
            described.append(item)
        if not plan.progress.can_be_sufficient:
            return described, TOO_FEW_SHARDS
        return described, "" if plan.progress.pending else NO_REPLICA

    def _describe(
        self, service: str, choice: ReplicaChoice | None, *, ignore_limit: bool
    ) -> dict[str, Any]:
        next_use = self.state.replicas.next_use(service, self.replicas.domains)
        wait_seconds = next_use.after_seconds
        return {
            "service": service,
            "chosen": None if choice is None else choice.replica.record.replica,
            "estimate_ms": None if choice is None else round(choice.estimate_ms, 2),
            "usable_after_s": (
                None if math.isinf(wait_seconds) else round(wait_seconds, 3)
            ),
            "remaining_repeats": round(self.state.peek_repeats(service), 2),
            "replicas": self.replicas.describe_all(service, ignore_limit=ignore_limit),
        }

    def missing_cause(self, service: str) -> str:
        """Return why no replica of a service can be chosen."""
        next_use = self.state.replicas.next_use(service, self.replicas.domains)
        return next_use.cause or NO_REPLICA

    def _relaying_peers(self, service: str, cause: str) -> tuple[str, list[Peer]]:
        """Return why `ReplicaRequest` would ask a peer to send, and which it might."""
        if cause == REPLICAS_UNREACHABLE:
            return UNREACHABLE_HERE, self.any_peers()
        if cause == REPLICAS_COLD:
            senders = self.state.cold_senders(service, self.replicas.domains)
            return COLD_HERE, self.any_peers(among=senders)
        return "", []

    def any_peers(self, among: Collection[str] | None = None) -> list[Peer]:
        """
        Return the peers that may send what this instance can't.

        :param among: names of the only peers to return; None for any.
        """
        peers = self.state.peers
        barred = self.barred_peers()
        return [
            peer
            for domain in sorted({*peers.members(), self.state.own_domain})
            for peer in peers.available(
                domain, excluded=barred, among=among, may_wait=True, ignore_reach=True
            )
        ]

    def barred_peers(self) -> list[Peer]:
        """Return the peers that must not get the body of the request."""
        return self.state.barred_peers(self.regions)


@define(kw_only=True, eq=False, repr=False)
class SearchPlan:
    """
    The first attempts of a search, planned as `FanOutRequest` does.

    :ivar choices: replica of each shard that would be sent, by the shard's index.
    :ivar peers: why a peer would be asked for a shard, and which might be.
    """

    explainer: ServiceExplainer
    progress: FanOutProgress = field(init=False)
    choices: dict[int, ReplicaChoice] = field(factory=dict)
    peers: dict[int, tuple[str, Sequence[Peer]]] = field(factory=dict)
    _used: list[Peer] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.progress = FanOutProgress(route=self.explainer.replicas.route)

    def make(self) -> None:
        """Plan the first attempt at each shard."""
        state = self.explainer.state
        near, far = [], {}
        for shard in self.progress.shards:
            for_owners = state.is_sent_by_owners(shard.service)
            choice = self._choose(shard, ignore_limit=for_owners)
            if choice is None:
                continue
            self.choices[shard.index] = choice
            if choice.replica.has_limit and not for_owners:
                continue
            if choice.replica.record.failure_domain != state.own_domain:
                far[shard.index] = choice.suitable_domains
            else:
                near.append(shard.index)
        # Ties are broken at random; the source of the process stays as it is.
        by_domain = group_by_domain(far, rng=random.Random(0))
        if state.owners is None:
            self._divide(near, by_domain)
        else:
            self._divide_by_owner(near, by_domain)
            self._choose_without_owners()

    def is_sent_by_owners(self, shard: ShardState) -> bool:
        """Whether an owner sends to the shard, and considers the limits."""
        is_for_owners = self.explainer.state.is_sent_by_owners(shard.service)
        return is_for_owners and shard.index in self.peers

    def _choose_without_owners(self) -> None:
        """Choose again where no owner can be asked, and this instance has no turn."""
        replicas = self.explainer.replicas
        for index, choice in list(self.choices.items()):
            wait_seconds = choice.replica.seconds_until_turn(replicas.now_seconds)
            if index in self.peers or wait_seconds <= 0.0:
                continue
            shard = self.progress.shards[index]
            again = replicas.choose(shard.service, ignore_limit=False)
            if again is not None:
                self.choices[index] = again
                continue
            del self.choices[index]
            cause = self.explainer.missing_cause(shard.service)
            self.progress.mark_failed(shard, cause)

    def _choose(self, shard: ShardState, *, ignore_limit: bool) -> ReplicaChoice | None:
        """Choose a replica as `ShardReplicaChooser` does; None if there is none."""
        explainer = self.explainer
        choice = explainer.replicas.choose(shard.service, ignore_limit=ignore_limit)
        route = explainer.replicas.route
        skippable = len(route.shards) * (1.0 - route.least_shard_share)
        if choice is None:
            cause = explainer.missing_cause(shard.service)
        elif should_skip_shard(
            estimate_ms=choice.estimate_ms,
            remaining_ms=explainer.target_ms,
            is_repeat=False,
            missing=self.progress.failed_count,
            max_missing=int(skippable),
        ):
            cause = TOO_SLOW
            if explainer.state.replicas.may_reach_more_through_peer(
                shard.service, explainer.replicas.domains
            ):
                cause = REPLICAS_UNREACHABLE
        else:
            return choice
        peers = explainer.any_peers() if cause == REPLICAS_UNREACHABLE else ()
        if peers:
            self.peers[shard.index] = UNREACHABLE_HERE, peers
        else:
            self.progress.mark_failed(shard, cause)
        return None

    def _divide(
        self, near: Sequence[int], by_domain: Sequence[tuple[str, tuple[int, ...]]]
    ) -> None:
        """Divide the shards while each instance is connected to all replicas."""
        own_domain = self.explainer.state.own_domain
        for shards in self._split(own_domain, near)[1:]:
            self._ask(MANY_SHARDS, ShardGroup(domain=own_domain, shards=shards))
        for domain, of_domain in by_domain:
            for shards in self._split(domain, of_domain):
                self._ask(IN_OTHER_DOMAIN, ShardGroup(domain=domain, shards=shards))

    def _split(self, domain: str, shards: Sequence[int]) -> list[tuple[int, ...]]:
        members = self.explainer.state.peers.members()
        return split_evenly(shards, processor_cores=mean_cores(members, domain))

    def _divide_by_owner(
        self, near: Sequence[int], by_domain: Sequence[tuple[str, tuple[int, ...]]]
    ) -> None:
        """Divide the shards while only owners keep connections to their replicas."""
        state = self.explainer.state
        assert state.owners is not None
        for group in group_by_owner(
            [(state.own_domain, near), *by_domain],
            services=self.explainer.replicas.route.shards,
            owners=state.owners,
        ):
            is_own = group.owners is not None and state.instance in group.owners
            if group.domain != state.own_domain:
                self._ask(IN_OTHER_DOMAIN, group)
            elif not is_own:
                self._ask(OWNED_BY_PEERS, group)

    def _ask(self, cause: str, group: ShardGroup) -> None:
        """Delegate a group as `Delegator` does, if there is a peer for it."""
        if group.owners is None and len(group.shards) < MIN_DELEGATED_SHARDS:
            return
        available = self.explainer.state.peers.available(
            group.domain,
            excluded=[
                *(self._used if group.owners is None else ()),
                *self.explainer.barred_peers(),
            ],
            among=group.owners,
        )
        if not available:
            return
        available.sort(
            key=lambda peer: peer.pool.in_flight / peer.record.processor_cores
        )
        self._used.append(available[0])
        for index in group.shards:
            self.peers[index] = cause, available


def _set_peers(item: dict[str, Any], cause: str, peers: Collection[Peer]) -> None:
    item["peer_asked_because"] = cause
    item["peers"] = [peer.record.instance for peer in peers]
