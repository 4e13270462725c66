"""Progress of one search on each shard, and its result."""

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
    Result of one search run.

    :ivar hits: hits of each included shard, in the order of `coverage.included`.
    :ivar version_gone: a replica reported that it no longer has the index version.
    :ivar sent: a backend server may have run part of the search.
    """

    coverage: Coverage
    hits: tuple[list[Any], ...]
    version_gone: bool
    sent: bool


@define(kw_only=True, eq=False)
class ShardAttempts:
    """
    Attempts of one search on one shard.

    :ivar tried: replicas of the attempts so far, in order.
    :ivar reason: why the last attempt failed.
    :ivar failed: no further attempt will be made.
    """

    number: int
    replicas: tuple[str, ...]
    tried: list[str] = field(factory=list)
    running: list[Attempt] = field(factory=list)
    reply: BackendReply | None = None
    reason: Reason = Reason.TIMEOUT
    failed: bool = False

    @property
    def is_version_gone(self) -> bool:
        """Whether the shard has failed because its index version is gone."""
        return self.failed and self.reason is Reason.VERSION_GONE

    @property
    def is_settled(self) -> bool:
        """Whether the shard has a reply or has failed."""
        return self.reply is not None or self.failed

    def matches(self, reply: BackendReply, snapshot: Snapshot) -> bool:
        """Return whether `reply` comes from this shard of `snapshot`."""
        return (
            reply.index_version == snapshot.index_version
            and reply.shard == self.number
            and reply.shard_count == snapshot.shard_count
            and isinstance(reply.result, list)
        )

    def hedge_due_seconds(self, delay_seconds: float) -> float:
        """Return when the latest attempt will have waited for `delay_seconds`."""
        return self.running[-1].queued_at_seconds + delay_seconds


def build_coverage(
    *, snapshot: Snapshot, shards: Iterable[ShardAttempts], stop_reason: Reason
) -> Coverage:
    """
    Build the list of included shards and of missing ones with their reasons.

    :param stop_reason: reason reported for shards still unsettled when the run ended.
    """
    rows = tuple(shards)
    return Coverage(
        index_version=snapshot.index_version,
        shard_count=snapshot.shard_count,
        included=tuple(shard.number for shard in rows if shard.reply is not None),
        missing=tuple(
            MissingShard(
                shard=shard.number,
                reason=shard.reason if shard.is_settled else stop_reason,
            )
            for shard in rows
            if shard.reply is None
        ),
    )
