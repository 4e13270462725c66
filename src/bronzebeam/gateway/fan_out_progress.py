"""Progress of a fan-out: which shards have replied, and whether they suffice."""

from collections.abc import Sequence

from attrs import define, field

from bronzebeam.gateway.delegation import Delegation
from bronzebeam.gateway.shard_state import ShardState
from bronzebeam.routing.record_merge import merge_greatest
from bronzebeam.routing.routes import Route


@define(kw_only=True, eq=False, repr=False)
class FanOutProgress:
    """
    The state of all shards of one fan-out.

    :ivar included: number of shards whose reply is in the answer.
    :ivar pending: number of shards that may still reply.
    :ivar failed_count: number of shards that have failed.
    :ivar sufficient_at_seconds: monotonic time at which enough shards had replied for
        an answer; None before.
    """

    route: Route
    shards: list[ShardState] = field(init=False)
    included: int = 0
    pending: int = field(init=False)
    failed_count: int = 0
    sufficient_at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self.shards = [
            ShardState(index=index, service=service)
            for index, service in enumerate(self.route.shards)
        ]
        self.pending = len(self.shards)

    @property
    def min_included(self) -> float:
        """Return the minimum number of shards in an answer."""
        return self.route.least_shard_share * len(self.shards)

    @property
    def is_sufficient(self) -> bool:
        """Whether enough shards have replied for an answer."""
        return self.included >= self.min_included

    @property
    def can_be_sufficient(self) -> bool:
        """Whether enough shards may still reply."""
        return self.included + self.pending >= self.min_included

    @property
    def missing(self) -> list[ShardState]:
        """Return the shards that have no reply."""
        return [shard for shard in self.shards if shard.signature is None]

    @property
    def may_have_run(self) -> bool:
        """Whether a replica ran the request or may have run it."""
        return any(shard.possible_runs for shard in self.shards)

    def include(
        self,
        shard: ShardState,
        signature: bytes,
        body: bytes | None,
        now_seconds: float,
    ) -> None:
        """
        Include a shard's reply in the answer.

        :param body: the shard's records; None if a peer has merged them into its reply,
            which then replaces a reply that the shard itself has sent.
        """
        if shard.failed:
            shard.failed = False
            self.failed_count -= 1
            self.pending += 1
        if shard.signature is None:
            self.pending -= 1
            self.included += 1
        shard.signature, shard.body = signature, body
        if self.sufficient_at_seconds is None and self.is_sufficient:
            self.sufficient_at_seconds = now_seconds

    def mark_failed(self, shard: ShardState, cause: str) -> None:
        """Record that a shard has failed; nothing more is sent to it."""
        if not shard.failed:
            shard.failed = True
            shard.cause = cause
            self.failed_count += 1
            self.pending -= 1

    def merge_records(self, delegations: Sequence[Delegation]) -> bytes:
        """Merge the records of all replies, including those of peers."""
        bodies = [shard.body for shard in self.shards if shard.body is not None]
        bodies.extend(item.body for item in delegations if item.body)
        return merge_greatest(bodies, count=self.route.top_records)
