"""Which shards of a fan-out have replied, and whether they are enough."""

from collections.abc import Sequence

from attrs import define, field

from bronzebeam.gateway.delegation import Delegation
from bronzebeam.gateway.shard_run import ShardRun
from bronzebeam.routing.record_merge import merge_greatest
from bronzebeam.routing.routes import Route


@define(kw_only=True, eq=False, repr=False)
class GatherParts:
    """
    The shards of one fan-out.

    :ivar included: shards whose reply is in the answer.
    :ivar open: shards that may still reply.
    :ivar enough_at_seconds: monotonic time at which the least share had replied.
    """

    route: Route
    shards: list[ShardRun] = field(init=False)
    included: int = 0
    open: int = field(init=False)
    enough_at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self.shards = [
            ShardRun(index=index, service=service)
            for index, service in enumerate(self.route.shards)
        ]
        self.open = len(self.shards)

    @property
    def least(self) -> float:
        """Return the number of shards that an answer needs."""
        return self.route.least_shard_share * len(self.shards)

    @property
    def enough(self) -> bool:
        """Whether the shards that have replied make an answer."""
        return self.included >= self.least

    @property
    def reachable(self) -> bool:
        """Whether there can still be enough."""
        return self.included + self.open >= self.least

    @property
    def missing(self) -> list[ShardRun]:
        """Return the shards without a reply."""
        return [run for run in self.shards if run.signature is None]

    @property
    def given_up(self) -> int:
        """Return the number of shards that nothing is sent to any more."""
        return sum(1 for run in self.shards if run.failed)

    @property
    def may_have_run(self) -> bool:
        """Whether a replica ran the request, or may have."""
        return any(run.may_have_run for run in self.shards)

    def include(
        self, run: ShardRun, signature: bytes, body: bytes | None, now_seconds: float
    ) -> None:
        """
        Take a shard's reply.

        :param body: its records; None if they are in a peer's reply, which then
            takes the place of the shard's own.
        """
        if run.failed:
            run.failed = False
            self.open += 1
        if run.signature is None:
            self.open -= 1
            self.included += 1
        run.signature, run.body = signature, body
        if self.enough_at_seconds is None and self.enough:
            self.enough_at_seconds = now_seconds

    def give_up(self, run: ShardRun, cause: str) -> None:
        """Send nothing more for a shard."""
        if not run.failed:
            run.failed = True
            run.cause = cause
            self.open -= 1

    def records(self, delegations: Sequence[Delegation]) -> bytes:
        """Return the greatest records of all replies, those of peers included."""
        bodies = [run.body for run in self.shards if run.body is not None]
        bodies.extend(item.body for item in delegations if item.body)
        return merge_greatest(bodies, count=self.route.top_records)
