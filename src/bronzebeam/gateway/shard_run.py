"""The state of one shard within a fan-out."""

from typing import Final

from attrs import define, field

from bronzebeam.gateway.attempt import Attempt
from bronzebeam.gateway.delegation import Delegation
from bronzebeam.gateway.replica import Replica

NO_REPLICA: Final = "no_replica"
NO_REPLY: Final = "no_reply"


@define(kw_only=True, eq=False, repr=False)
class ShardRun:
    """
    The attempts for one shard.

    :ivar excluded: replicas that the next attempt must not go to.
    :ivar delegation: peer's work that the shard is part of; None if there is none.
    :ivar signature: of the reply that is in the answer; None if there is none.
    :ivar body: records of that reply; None if they are in the delegation's.
    :ivar failed: no further attempt is made.
    :ivar cause: why there is no reply.
    """

    index: int
    service: str
    attempts: list[Attempt] = field(factory=list)
    excluded: set[Replica] = field(factory=set)
    delegation: Delegation | None = None
    signature: bytes | None = None
    body: bytes | None = None
    failed: bool = False
    cause: str = NO_REPLICA

    @property
    def settled(self) -> bool:
        """Whether nothing more is awaited."""
        return self.failed or self.signature is not None

    @property
    def may_have_run(self) -> int:
        """Return on how many replicas the request ran, or may have."""
        runs = sum(1 for item in self.attempts if item.may_have_run)
        return runs + (self.delegation is not None)

    @property
    def under_way(self) -> bool:
        """Whether an attempt, or a peer's work, has no end yet."""
        if self.delegation is not None and not self.delegation.ended:
            return True
        return any(not item.ended for item in self.attempts)

    @property
    def sends(self) -> int:
        """Return how often a replica was sent the request by this instance."""
        return sum(1 for item in self.attempts if item.reached_replica)
