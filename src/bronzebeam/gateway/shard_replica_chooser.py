"""Choice of a replica for each shard of a fan-out."""

import math
from collections.abc import Collection
from typing import Final

from attrs import define, field

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.fan_out_progress import FanOutProgress
from bronzebeam.gateway.replica import Replica
from bronzebeam.gateway.replica_choice import ReplicaChoice, SharedShard
from bronzebeam.gateway.replica_set import REPLICAS_UNREACHABLE, NextUse
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.gateway.shard_state import ShardState
from bronzebeam.routing.fan_out_timing import should_skip_shard
from bronzebeam.routing.replica_pause import return_after_seconds
from bronzebeam.units import MS_PER_SECOND

MAX_REJECTIONS: Final = 4  # of one sub-request, before its shard fails
TOO_SLOW: Final = "too_slow"


@define(kw_only=True, eq=False, repr=False)
class FanOutPlan:
    """
    Where the first attempts of a fan-out go, by the index of the shard.

    :ivar limited: replicas with a limit that this instance has a turn for, which is
        used when it sends, so it sends these itself.
    :ivar direct: replicas in the failure domain of this instance.
    :ivar delegated: replicas that a peer in their failure domain sends to.
    :ivar unreachable: shards whose replicas this instance can't reach.
    """

    limited: dict[int, ReplicaChoice] = field(factory=dict)
    direct: dict[int, ReplicaChoice] = field(factory=dict)
    delegated: dict[int, ReplicaChoice] = field(factory=dict)
    unreachable: list[ShardState] = field(factory=list)

    @property
    def choices(self) -> dict[int, ReplicaChoice]:
        """Return the replicas of all shards that can be reached."""
        return self.direct | self.delegated | self.limited


@define(kw_only=True, eq=False, repr=False)
class ShardReplicaChooser:
    """
    Chooses the replicas of one fan-out, and decides which shards to leave out.

    :ivar may_delegate: see `FanOutRequest`.
    :ivar repeated: see `FanOutRequest`.
    """

    context: GatewayContext
    routed: RoutedRequest
    progress: FanOutProgress
    may_delegate: bool
    repeated: bool

    def plan(self) -> FanOutPlan:
        """Plan the first attempts; shards that are left out are marked as failed."""
        state = self.context.state
        plan = FanOutPlan()
        for shard in self.progress.shards:
            is_for_owners = self.may_delegate and state.is_sent_by_owners(shard.service)
            choice = self.choose(
                shard, excluded=shard.excluded, repeat=False, ignore_limit=is_for_owners
            )
            if choice is None:
                if self.may_delegate and shard.cause == REPLICAS_UNREACHABLE:
                    plan.unreachable.append(shard)
                else:
                    self.progress.mark_failed(shard, shard.cause)
            elif choice.replica.has_limit and not is_for_owners:
                plan.limited[shard.index] = choice
            elif self.may_delegate and (
                choice.replica.record.failure_domain != state.own_domain
            ):
                plan.delegated[shard.index] = choice
            else:
                plan.direct[shard.index] = choice
        return plan

    def choose(
        self,
        shard: ShardState,
        *,
        excluded: Collection[Replica],
        repeat: bool,
        ignore_limit: bool = False,
    ) -> ReplicaChoice | None:
        """
        Choose a replica of a shard.

        :param excluded: replicas that must not be chosen.
        :param repeat: the request was sent to the shard before.
        :param ignore_limit: another instance will send, and consider the limits that
            replicas name.
        :return: None if the shard is left out; its cause says why.
        """
        state = self.context.state
        choice = state.choose_replica(
            service=shard.service,
            excluded=excluded,
            route=self.routed.route,
            shared=self._shared_shard(shard),
            ignore_limit=ignore_limit,
            domains=self.routed.replica_domains,
        )
        if choice is None:
            shard.cause = self._next_use(shard).cause or shard.cause
            return None
        left_seconds = self.routed.target_at_seconds - self.context.loop.time()
        skippable = len(self.progress.shards) * (
            1.0 - self.routed.route.least_shard_share
        )
        if should_skip_shard(
            estimate_ms=choice.estimate_ms,
            remaining_ms=left_seconds * MS_PER_SECOND,
            is_repeat=repeat,
            missing=self.progress.failed_count,
            max_missing=int(skippable),
        ):
            shard.cause = TOO_SLOW
            if state.replicas.may_reach_more_through_peer(
                shard.service, self.routed.replica_domains
            ):
                shard.cause = REPLICAS_UNREACHABLE
            return None
        return choice

    def may_repeat(self, shard: ShardState) -> bool:
        """Whether the limits allow to send the request to the shard once more."""
        return (
            shard.send_count <= MAX_REJECTIONS
            and shard.possible_runs < self.routed.route.max_attempts
            and self.context.state.remaining_repeats(shard.service) >= 1.0
        )

    def return_after_seconds(self) -> float | None:
        """Return when enough shards can be served again; None if that is unknown."""
        available = self.progress.included + self.progress.pending
        return return_after_seconds(
            pauses=[
                self._next_use(shard).after_seconds
                for shard in self.progress.shards
                if shard.failed
            ],
            needed=math.ceil(self.progress.min_included) - available,
        )

    def _next_use(self, shard: ShardState) -> NextUse:
        return self.context.state.replicas.next_use(
            shard.service, self.routed.replica_domains
        )

    def _shared_shard(self, shard: ShardState) -> SharedShard | None:
        """Return how the shard is shared with another instance; None if it is not."""
        if not self.may_delegate:
            return SharedShard(
                domain=self.context.state.own_domain,
                may_use_any_replica=not self.repeated,
            )
        if shard.delegation is not None and shard.may_run_at_peer:
            domain = shard.delegation.peer.record.failure_domain
            return SharedShard(domain=domain, may_use_any_replica=False)
        return None
