"""The state of one shard within a fan-out."""

from typing import Final

from attrs import define, field

from bronzebeam.gateway.attempt import Attempt
from bronzebeam.gateway.delegation import Delegation
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.replica import Replica

NO_REPLICA: Final = "no_replica"
NO_REPLY: Final = "no_reply"


@define(kw_only=True, eq=False, repr=False)
class ShardState:
    """
    The attempts at one shard and their result.

    :ivar excluded: replicas that the next attempt must not use.
    :ivar delegation: latest delegation that includes the shard; None if there is none.
    :ivar may_have_run_at_peer: a peer that failed may have sent it to a replica.
    :ivar unreachable_at: peers that reach none of its replicas.
    :ivar signature: signature of the reply that is used; None if there is none.
    :ivar body: records of that reply; None if a peer has merged them.
    :ivar failed: no further attempt will be made.
    :ivar cause: why there is no reply.
    """

    index: int
    service: str
    attempts: list[Attempt] = field(factory=list)
    excluded: set[Replica] = field(factory=set)
    delegation: Delegation | None = None
    may_have_run_at_peer: bool = False
    unreachable_at: set[Peer] = field(factory=set)
    signature: bytes | None = None
    body: bytes | None = None
    failed: bool = False
    cause: str = NO_REPLICA

    @property
    def is_settled(self) -> bool:
        """Whether the shard has a reply or has failed."""
        return self.failed or self.signature is not None

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request, for this instance or a peer."""
        return self.may_have_run_at_peer or any(
            item.may_have_run for item in self.attempts
        )

    @property
    def may_run_at_peer(self) -> bool:
        """Whether a peer may send it to a replica, or has done so."""
        if self.may_have_run_at_peer:
            return True
        return self.delegation is not None and self.delegation.may_reply

    @property
    def possible_runs(self) -> int:
        """Return the number of replicas that ran the request or may have run it."""
        runs = sum(1 for item in self.attempts if item.may_have_run)
        return runs + self.may_run_at_peer

    @property
    def is_in_progress(self) -> bool:
        """Whether an attempt or a delegation has not ended yet."""
        if self.delegation is not None and self.delegation.may_reply:
            return True
        return any(not item.ended for item in self.attempts)

    @property
    def send_count(self) -> int:
        """Return how often this instance has sent the request to a replica."""
        return sum(1 for item in self.attempts if item.reached_replica)
