"""How far one search has come on each shard, and what it brought."""

from collections.abc import Iterable
from typing import Any

from attrs import define, field, frozen

from bronzebeam.outcomes import Coverage, MissingShard
from bronzebeam.reasons import Reason
from bronzebeam.routing.snapshots import Snapshot
from bronzebeam.transport.attempt import Attempt
from bronzebeam.transport.backend_protocol import BackendReply


@frozen(kw_only=True)
class SearchResult:
    """
    What one run brought.

    :ivar hits: hits of each included shard, in the order of `coverage.included`.
    :ivar version_gone: some replica no longer holds the run's index version.
    :ivar sent: some backend server may have run a part.
    """

    coverage: Coverage
    hits: tuple[list[Any], ...]
    version_gone: bool
    sent: bool


@define(kw_only=True, eq=False)
class ShardAttempts:
    """
    Progress of one shard.

    :ivar reason: why the last attempt brought no reply.
    :ivar given_up: no further attempt will be made.
    """

    number: int
    replicas: tuple[str, ...]
    tried: list[str] = field(factory=list)
    running: list[Attempt] = field(factory=list)
    reply: BackendReply | None = None
    reason: Reason = Reason.TIMEOUT
    given_up: bool = False

    @property
    def outdated(self) -> bool:
        """Whether the shard is given up since its index version is gone."""
        return self.given_up and self.reason is Reason.VERSION_GONE

    @property
    def settled(self) -> bool:
        """Whether the shard has a reply or is given up."""
        return self.reply is not None or self.given_up

    def matches(self, reply: BackendReply, snapshot: Snapshot) -> bool:
        """Tell whether `reply` was drawn from this shard of `snapshot`."""
        return (
            reply.index_version == snapshot.index_version
            and reply.shard == self.number
            and reply.shard_count == snapshot.shard_count
            and isinstance(reply.result, list)
        )

    def hedge_due_seconds(self, delay_seconds: float) -> float:
        """Return when the newest attempt will have run past the hedge delay."""
        return self.running[-1].queued_at_seconds + delay_seconds


def build_coverage(
    *, snapshot: Snapshot, shards: Iterable[ShardAttempts], cut_reason: Reason
) -> Coverage:
    """
    State which shards are in, and why each other one is not.

    :param cut_reason: why the run ended before the shards that are not settled.
    """
    rows = tuple(shards)
    return Coverage(
        index_version=snapshot.index_version,
        shard_count=snapshot.shard_count,
        included=tuple(shard.number for shard in rows if shard.reply is not None),
        missing=tuple(
            MissingShard(
                shard=shard.number,
                reason=shard.reason if shard.settled else cut_reason,
            )
            for shard in rows
            if shard.reply is None
        ),
    )
