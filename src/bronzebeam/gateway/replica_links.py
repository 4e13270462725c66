"""Whether this instance reaches any replica."""

import asyncio
from collections.abc import Sequence

from attrs import define

from bronzebeam.routing.replica_reach import (
    ReplicaLink,
    are_replicas_silent,
    are_replicas_unreachable,
    latest_proof_seconds,
)
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND


@define(kw_only=True, eq=False, repr=False)
class ReplicaLinks:
    """
    Keeps track of whether this instance is cut off from all replicas.

    :ivar lost_at_seconds: monotonic time at which the replicas were found to be out of
        reach; None while one is reached.
    :ivar _was_silent: the replicas were silent when they were checked last.
    """

    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    lost_at_seconds: float | None = None
    _was_silent: bool = False

    def update(self, links: Sequence[ReplicaLink]) -> None:
        """Check the links to all replicas; called regularly."""
        now_seconds = self.loop.time()
        lost_at = self.lost_at_seconds
        if lost_at is not None:
            if latest_proof_seconds(links) > lost_at:
                self.lost_at_seconds = None
                self.log.event(
                    "replicas_reached",
                    away_ms=round((now_seconds - lost_at) * MS_PER_SECOND),
                )
            return
        was_silent = self._was_silent
        # After a pause of this process, replies that have arrived were not read yet
        # when it is checked for the first time.
        self._was_silent = are_replicas_silent(links, now_seconds)
        is_silent = was_silent and self._was_silent
        if is_silent or are_replicas_unreachable(links):
            self._was_silent = False
            self.lost_at_seconds = now_seconds
            self.log.event(
                "replicas_lost",
                cause="silent" if is_silent else "unreachable",
                replicas=len(links),
                open_links=sum(1 for link in links if link.is_open),
            )
