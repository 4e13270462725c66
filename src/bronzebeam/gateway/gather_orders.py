"""Which shards of a fan-out are handed to which peers."""

from collections.abc import Sequence
from typing import Final

from attrs import define, field

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.delegation import Delegation, DelegationOwner
from bronzebeam.gateway.gather_parts import GatherParts
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.gateway.shard_run import NO_REPLY, ShardRun
from bronzebeam.routing.domain_groups import (
    ShardGroup,
    group_by_owner,
    split_evenly,
)
from bronzebeam.routing.hedge_timing import max_unresponsive_peers

DELEGATED_MIN: Final = 2  # a single shard costs a peer as much as it saves
LATE_WAIT_SHARE: Final = 0.5  # of the time left; the rest is for the caller's retry


@define(kw_only=True, eq=False, repr=False)
class GatherOrders:
    """
    The orders to peers of one fan-out.

    :ivar cutoff_at_seconds: monotonic time at which peers answer with what they have.
    :ivar delegations: all orders so far, in the order in which they were given.
    """

    context: GatewayContext
    routed: RoutedRequest
    owner: DelegationOwner
    parts: GatherParts
    hedge_after_ms: float
    cutoff_at_seconds: float
    delegations: list[Delegation] = field(factory=list)

    def divide(
        self, near: list[int], by_domain: Sequence[tuple[str, tuple[int, ...]]]
    ) -> tuple[list[int], list[ShardGroup]]:
        """
        Divide the shards into those that are sent from here, and groups for peers.

        :param near: shards whose replica is in this instance's failure domain.
        :param by_domain: the others, by the failure domain of their replica.
        """
        state = self.context.state
        if state.owners is None:
            own, *others = split_evenly(near)
            groups = [
                ShardGroup(domain=domain, shards=shards)
                for domain, shards in (
                    *by_domain,
                    *((state.own_domain, shards) for shards in others),
                )
            ]
            return list(own), groups
        groups = group_by_owner(
            [(state.own_domain, near), *by_domain],
            services=self.routed.route.shards,
            owners=state.owners,
        )
        mine = [item for item in groups if self._is_owner(item)]
        direct = [index for item in mine for index in item.shards]
        return direct, [item for item in groups if item not in mine]

    def hand_over(
        self, group: ShardGroup, *, earlier: Delegation | None = None
    ) -> bool:
        """
        Hand a group to a peer.

        :param earlier: order for the same shards, whose peer is late.
        :return: whether there is a peer that is well.
        """
        if group.owners is None and len(group.shards) < DELEGATED_MIN:
            return False
        used = [item.peer for item in self.delegations]
        peer = self.context.state.peers.choose(
            group.domain,
            # An owner of two slices takes both; its connections are the warm ones.
            excluded=used if group.owners is None or earlier is not None else (),
            among=group.owners,
        )
        if peer is None:
            return False
        self._order(
            peer,
            group.shards,
            earlier=earlier,
            cutoff_at_seconds=self.cutoff_at_seconds,
        )
        return True

    def hand_over_again(self, late: Delegation) -> bool:
        """Hand the shards of a late peer to another owner, which has more budget."""
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
        return not self._is_owner(group) and self.hand_over(group, earlier=late)

    def ask_again(self, delegation: Delegation, missing: Sequence[ShardRun]) -> bool:
        """
        Ask an owner once more for shards that it has left out, if they are needed.

        Answers the load of replicas that pause or are slow: an answer without them
        would be none, and a late one is better.
        """
        without = self.parts.included + self.parts.open - len(missing)
        if without >= self.parts.least or delegation.earlier is not None:
            return False
        if self.context.state.owners is None or not delegation.body:
            return False
        now_seconds = self.context.loop.time()
        left_seconds = self.routed.deadline_at_seconds - now_seconds
        self._order(
            delegation.peer,
            tuple(run.index for run in missing),
            earlier=delegation,
            cutoff_at_seconds=now_seconds + left_seconds * LATE_WAIT_SHARE,
        )
        return True

    def lost(self) -> list[Delegation]:
        """Return the orders whose peer has said nothing and counts as lost."""
        silent = [
            item for item in self.delegations if not item.ended and not item.at_work
        ]
        return (
            silent
            if len(silent) <= max_unresponsive_peers(len(self.delegations))
            else []
        )

    def drop_rivals(self, delegation: Delegation) -> None:
        """Ignore other peers with the same shards, so that no record counts twice."""
        for other in self.delegations:
            if other is not delegation and other.shards == delegation.shards:
                other.abandon()

    def discard(self) -> None:
        """Ignore the replies that are under way."""
        for delegation in self.delegations:
            if not delegation.ended:
                delegation.discard()

    def abandon(self) -> None:
        """Have all peers stop their work."""
        for delegation in self.delegations:
            delegation.abandon()

    def describe_failures(self) -> list[str]:
        """Describe the orders that were late or failed, for the request's line."""
        return [
            f"{item.peer.record.instance}:{len(item.shards)}"
            f":{item.cause or ('ok' if item.body else 'no_reply')}"
            for item in self.delegations
            if not item.body or item.late
        ]

    def _order(
        self,
        peer: Peer,
        shards: tuple[int, ...],
        *,
        earlier: Delegation | None,
        cutoff_at_seconds: float,
    ) -> None:
        delegation = Delegation(
            context=self.context,
            routed=self.routed,
            peer=peer,
            owner=self.owner,
            shards=shards,
            hedge_after_ms=self.hedge_after_ms,
            cutoff_at_seconds=cutoff_at_seconds,
            earlier=earlier,
        )
        for index in shards:
            self.parts.shards[index].delegation = delegation
            self.parts.shards[index].cause = NO_REPLY
        self.delegations.append(delegation)
        delegation.launch()

    def _is_owner(self, group: ShardGroup) -> bool:
        state = self.context.state
        if group.domain != state.own_domain or group.owners is None:
            return False
        return state.instance in group.owners
