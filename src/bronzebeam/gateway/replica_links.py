"""Whether this instance reaches any replica."""

import asyncio
from collections.abc import Collection

from attrs import define, field

from bronzebeam.gateway.connection_pool import (
    FAILURE_MEMORY_SECONDS,
    ConnectionPool,
    LinkTimes,
)
from bronzebeam.routing.replica_reach import (
    SILENCE_MS,
    ReplicaLink,
    are_links_impaired,
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

    :ivar times: when links to replicas were last seen to work and to fail.
    :ivar lost_at_seconds: monotonic time at which the replicas were found to be out of
        reach; None while one is reached.
    :ivar is_impaired: none is reached, or many can't be connected to.
    :ivar _was_silent: the replicas were silent when they were checked last.
    """

    loop: asyncio.AbstractEventLoop
    log: DecisionLog
    times: LinkTimes = field(factory=LinkTimes)
    lost_at_seconds: float | None = None
    is_impaired: bool = False
    _was_silent: bool = False

    def update(self, pools: Collection[ConnectionPool]) -> bool:
        """
        Check the links to all replicas; called regularly.

        :param pools: the connections to each replica.
        :return: whether all were found to be out of reach, or one to be reached again.
        """
        if self.lost_at_seconds is None and self._are_links_sound(pools):
            self._was_silent = self.is_impaired = False
            return False
        links = [pool.link() for pool in pools]
        was_lost = self.lost_at_seconds is not None
        self._update_loss(links)
        is_lost = self.lost_at_seconds is not None
        self.is_impaired = is_lost or are_links_impaired(links)
        return is_lost is not was_lost

    def _are_links_sound(self, pools: Collection[ConnectionPool]) -> bool:
        """Whether nothing has failed lately, and no reply is overdue; a cheap check."""
        now_seconds = self.loop.time()
        if now_seconds - self.times.failed_at_seconds < FAILURE_MEMORY_SECONDS:
            return False
        proof_age_seconds = now_seconds - self.times.proven_at_seconds
        return proof_age_seconds * MS_PER_SECOND < SILENCE_MS or not any(
            pool.busy for pool in pools
        )

    def _update_loss(self, links: Collection[ReplicaLink]) -> None:
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
        if not is_silent and not are_replicas_unreachable(links):
            return
        self._was_silent = False
        self.lost_at_seconds = now_seconds
        self.log.event(
            "replicas_lost",
            cause="silent" if is_silent else "unreachable",
            replicas=len(links),
            open_links=sum(1 for link in links if link.is_open),
        )
