"""Delegation of the shards of a fan-out to peers."""

from collections.abc import Sequence
from typing import Final

from attrs import define, field

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.delegation import Delegation, DelegationHandler
from bronzebeam.gateway.fan_out_progress import FanOutProgress
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.gateway.shard_state import NO_REPLY, ShardState
from bronzebeam.routing.domain_groups import (
    ShardGroup,
    group_by_domain,
    group_by_owner,
    mean_cores,
    split_evenly,
)
from bronzebeam.routing.fan_out_timing import partial_answer_at_seconds
from bronzebeam.routing.hedge_timing import max_unresponsive_peers

MIN_DELEGATED_SHARDS: Final = 2  # delegating a single shard saves no work
# Peers that a shard is delegated to, one after the other, if none reaches its replicas.
MAX_PEERS_PER_SHARD: Final = 4
EXTRA_WAIT_SHARE: Final = 0.5  # of the remaining time; leaves time for a caller's retry


@define(kw_only=True, eq=False, repr=False)
class Delegator:
    """
    Selects peers for the shards of one fan-out, and delegates the shards to them.

    :ivar cutoff_at_seconds: monotonic time at which peers answer without the shards
        that are still missing.
    :ivar delegations: all delegations so far, the earliest first.
    """

    context: GatewayContext
    routed: RoutedRequest
    handler: DelegationHandler
    progress: FanOutProgress
    hedge_after_ms: float
    cutoff_at_seconds: float
    delegations: list[Delegation] = field(factory=list)

    def divide(
        self, near: list[int], by_domain: Sequence[tuple[str, tuple[int, ...]]]
    ) -> tuple[list[int], list[ShardGroup]]:
        """
        Divide the shards into those that this instance handles, and groups for peers.

        :param near: shards whose replica is in this instance's failure domain.
        :param by_domain: the other shards by the failure domain of their replica.
        :return: shards to handle here, and the groups to delegate.
        """
        state = self.context.state
        if state.owners is None:
            own, *others = split_evenly(
                near,
                processor_cores=mean_cores(state.peers.members(), state.own_domain),
            )
            groups = [
                ShardGroup(domain=state.own_domain, shards=shards) for shards in others
            ]
            return list(own), groups + self._divide_for_peers(by_domain)
        groups = group_by_owner(
            [(state.own_domain, near), *by_domain],
            services=self.routed.route.shards,
            owners=state.owners,
        )
        owned = [item for item in groups if self._is_owner(item)]
        direct = [index for item in owned for index in item.shards]
        return direct, [item for item in groups if item not in owned]

    def delegate(
        self, group: ShardGroup, *, previous: Delegation | None = None
    ) -> bool:
        """
        Delegate a group of shards to a peer.

        :param previous: delegation of the same shards to a peer that is late.
        :return: whether the group was delegated.
        """
        if group.owners is None and len(group.shards) < MIN_DELEGATED_SHARDS:
            return False
        used_peers = [item.peer for item in self.delegations]
        peer = self.context.state.peers.choose(
            group.domain,
            # A peer may get several groups that it owns, since only the owners keep
            # warm connections to the replicas.
            excluded=[
                *(used_peers if group.owners is None or previous is not None else ()),
                *self._barred_peers(),
            ],
            among=group.owners,
        )
        if peer is None:
            return False
        self._send(
            peer,
            group.shards,
            previous=previous,
            cutoff_at_seconds=self.cutoff_at_seconds,
        )
        return True

    def delegate_to_other_owner(self, late: Delegation) -> bool:
        """
        Delegate the shards of a late peer to another owner.

        Owners of a shard have a larger budget for repeats than other instances.
        """
        owners = self.context.state.owners
        if owners is None:
            return False
        domain = late.peer.record.failure_domain
        service = self.routed.route.shards[late.shards[0]]
        group = ShardGroup(
            domain=domain,
            shards=late.shards,
            owners=owners.owners(domain, owners.slice_number_of(service, domain)),
        )
        return not self._is_owner(group) and self.delegate(group, previous=late)

    def delegate_unreachable(self, indexes: Sequence[int]) -> list[int]:
        """
        Delegate shards that were sent to no replica, since none can be reached.

        Peers that were asked for a shard before are not asked again, and peers in other
        failure domains are asked first.

        :return: the shards that could not be delegated.
        """
        state = self.context.state
        tried = self._peers_tried_for(indexes)
        if len(tried) >= MAX_PEERS_PER_SHARD:
            return list(indexes)
        tried_domains = {peer.record.failure_domain for peer in tried}
        shards = self.routed.route.shards
        domains = {}
        for index in indexes:
            holding = state.replicas.domains(shards[index], self.routed.replica_domains)
            untried = [domain for domain in holding if domain not in tried_domains]
            # The links of the whole own domain may be broken.
            others = [domain for domain in untried if domain != state.own_domain]
            domains[index] = others or untried or holding
        by_domain = group_by_domain(domains, rng=self.context.rng)
        excluded = [*tried, *self._barred_peers()]
        left: list[int] = []
        for group in self._divide_for_peers(by_domain):
            peer = state.peers.choose(
                group.domain, excluded=excluded, among=group.owners, may_wait=True
            ) or state.peers.choose_any([group.domain], excluded=excluded)
            if peer is None:
                left.extend(group.shards)
            else:
                self._send_unreachable(peer, group.shards)
        return left

    def delegate_to_other_domains(self, indexes: Sequence[int]) -> None:
        """
        Delegate shards to domains with replicas where no peer was asked for them.

        Shards that could not be delegated are not in progress afterwards.
        """
        tried_domains = {
            peer.record.failure_domain for peer in self._peers_tried_for(indexes)
        }
        shards = self.routed.route.shards
        self.delegate_unreachable(
            [
                index
                for index in indexes
                if not tried_domains.issuperset(
                    self.context.state.replicas.domains(shards[index])
                )
            ]
        )

    def delegate_to_any(self, group: ShardGroup) -> bool:
        """Delegate a group to a peer of any domain; return whether there is one."""
        excluded = [*self._peers_tried_for(group.shards), *self._barred_peers()]
        peer = self.context.state.peers.choose_any([group.domain], excluded=excluded)
        if peer is not None:
            self._send_unreachable(peer, group.shards)
        return peer is not None

    def delegate_again(self, failed: Delegation, indexes: Sequence[int]) -> bool:
        """
        Delegate shards that a peer may have sent to replicas to another peer.

        :return: whether the shards were delegated.
        """
        tried = self._peers_tried_for(indexes)
        # Only peers of one domain prefer the same replicas; see `SharedShard`.
        peer = self.context.state.peers.choose(
            failed.peer.record.failure_domain,
            excluded=[*tried, *self._barred_peers()],
            may_wait=True,
        )
        if peer is None or len(tried) >= MAX_PEERS_PER_SHARD:
            return False
        self._send_unreachable(peer, tuple(indexes), previous=failed)
        return True

    def _divide_for_peers(
        self, by_domain: Sequence[tuple[str, tuple[int, ...]]]
    ) -> list[ShardGroup]:
        """Divide the shards of each failure domain into groups for one peer each."""
        state = self.context.state
        if state.owners is not None:
            return group_by_owner(
                by_domain, services=self.routed.route.shards, owners=state.owners
            )
        members = state.peers.members()
        return [
            ShardGroup(domain=domain, shards=part)
            for domain, shards in by_domain
            for part in split_evenly(
                shards, processor_cores=mean_cores(members, domain)
            )
        ]

    def _barred_peers(self) -> list[Peer]:
        return self.context.state.barred_peers(self.routed.regions)

    def _peers_tried_for(self, indexes: Sequence[int]) -> list[Peer]:
        wanted = set(indexes)
        return [
            item.peer for item in self.delegations if not wanted.isdisjoint(item.shards)
        ]

    def _send_unreachable(
        self,
        peer: Peer,
        shards: tuple[int, ...],
        *,
        previous: Delegation | None = None,
    ) -> None:
        routed = self.routed
        self._send(
            peer,
            shards,
            previous=previous,
            cutoff_at_seconds=partial_answer_at_seconds(
                target_at_seconds=routed.target_at_seconds,
                now_seconds=self.context.loop.time(),
                typical_ms=self.context.state.typical_latency(routed.route).typical_ms,
                answer_delay_ms=self.context.delays.answer.delay_ms,
            ),
        )

    def request_missing(
        self, delegation: Delegation, missing: Sequence[ShardState]
    ) -> bool:
        """
        Request shards that are missing in a peer's reply again, if they are needed.

        Protects against paused or slow replicas where the answer would lack too many
        shards without them: a late answer is better than none.

        :return: whether the request was sent.
        """
        included_without_missing = (
            self.progress.included + self.progress.pending - len(missing)
        )
        if (
            included_without_missing >= self.progress.min_included
            or delegation.previous is not None
        ):
            return False
        if self.context.state.owners is None or not delegation.body:
            return False
        now_seconds = self.context.loop.time()
        left_seconds = self.routed.deadline_at_seconds - now_seconds
        self._send(
            delegation.peer,
            tuple(shard.index for shard in missing),
            previous=delegation,
            cutoff_at_seconds=now_seconds + left_seconds * EXTRA_WAIT_SHARE,
        )
        return True

    def lost_delegations(self) -> list[Delegation]:
        """
        Return the delegations whose peer has sent nothing and counts as lost.

        If many peers have sent nothing, they are busy rather than lost.
        """
        unresponsive = [
            item
            for item in self.delegations
            if not item.ended and not item.is_in_progress
        ]
        return (
            unresponsive
            if len(unresponsive) <= max_unresponsive_peers(len(self.delegations))
            else []
        )

    def has_duplicates(self, delegation: Delegation) -> bool:
        """
        Whether records of a reply are in another one that is in the answer already.

        The records of the shards of a reply are merged, so none of it can be used then.
        """
        return any(
            other is not delegation
            and other.body
            and not delegation.answered_shards.isdisjoint(other.answered_shards)
            for other in self.delegations
        )

    def abandon_duplicates(self, delegation: Delegation) -> None:
        """Abandon other delegations of the same shards, to avoid duplicate records."""
        for other in self.delegations:
            if other is not delegation and other.shards == delegation.shards:
                other.abandon()

    def discard(self) -> None:
        """Ignore the replies that are still expected."""
        for delegation in self.delegations:
            if not delegation.ended:
                delegation.discard()

    def abandon(self) -> None:
        """Make all peers stop their work."""
        for delegation in self.delegations:
            delegation.abandon()

    def describe_failures(self) -> list[str]:
        """Describe the delegations that were late or failed, for the log line."""
        return [
            f"{item.peer.record.instance}:{len(item.shards)}"
            f":{item.cause or ('ok' if item.body else 'no_reply')}{item.times()}"
            for item in self.delegations
            if not item.body or item.late
        ]

    def _send(
        self,
        peer: Peer,
        shards: tuple[int, ...],
        *,
        previous: Delegation | None,
        cutoff_at_seconds: float,
    ) -> None:
        delegation = Delegation(
            context=self.context,
            routed=self.routed,
            peer=peer,
            handler=self.handler,
            shards=shards,
            hedge_after_ms=self.hedge_after_ms,
            cutoff_at_seconds=cutoff_at_seconds,
            previous=previous,
        )
        for index in shards:
            self.progress.shards[index].delegation = delegation
            self.progress.shards[index].cause = NO_REPLY
        self.delegations.append(delegation)
        delegation.send()

    def _is_owner(self, group: ShardGroup) -> bool:
        state = self.context.state
        if group.domain != state.own_domain or group.owners is None:
            return False
        return state.instance in group.owners
