"""State of one backend server as seen by one entry."""

import math
from typing import Final

from attrs import define

from bronzebeam.routing.choice import LatencyAverage, ReplicaView
from bronzebeam.routing.slow_start import slow_start_weight
from bronzebeam.routing.snapshots import ReplicaHolding
from bronzebeam.transport.backend_pool import BackendConnectionPool
from bronzebeam.transport.instance_list import InstanceState, ListedInstance

PROBES_TO_END_DRAIN: Final = 3
DRAIN_HOLD_SECONDS: Final = 30.0
MAX_DRAIN_HOLD_DOUBLINGS: Final = 5


@define(kw_only=True, eq=False)
class ReplicaState:
    """
    State of one backend server, owned by the controller.

    :ivar group: name of the set of interchangeable replicas, within which the
        number of ejections is limited.
    :ivar sharded: whether it belongs to a search service, so that it can serve only
        once it holds a shard.
    :ivar available_since_seconds: monotonic time since when it accepts work.
    :ivar is_draining: whether its own replies say that it is leaving.
    :ivar usable: whether it is counted when snapshots are chosen.
    :ivar was_available: whether it has been available at least once.
    """

    listed: ListedInstance
    pool: BackendConnectionPool
    slots: int
    group: str
    sharded: bool
    available_since_seconds: float
    holdings: tuple[ReplicaHolding, ...] = ()
    latency: LatencyAverage = LatencyAverage()
    reported_in_flight: int = 0
    is_draining: bool = False
    usable: bool = False
    was_available: bool = False
    _probes_without_drain: int = 0
    _drain_seen_at_seconds: float = 0.0
    _drain_hold_doublings: int = 0

    @property
    def leaving(self) -> bool:
        """Whether it accepts no new work."""
        return self.is_draining or self.listed.state is InstanceState.LEAVING

    @property
    def newest_version(self) -> int:
        """Newest index version that it holds; 0 if it holds none."""
        return max((item.index_version for item in self.holdings), default=0)

    def update(self, listed: ListedInstance, *, slots: int, share: int) -> None:
        """
        Apply a new instance list or configuration document.

        :param share: number of connections that this entry may open to it.
        """
        self.listed = listed
        self.slots = slots
        if self.pool.size != share:
            self.pool.resize(share)

    def view(self, now_seconds: float, *, ejected: bool) -> ReplicaView:
        """Return the state of the backend server that routing decides on."""
        return ReplicaView(
            replica=self.listed.instance,
            failure_domain=self.listed.failure_domain,
            slots=self.slots,
            own_in_flight=self.pool.in_flight,
            reported_in_flight=self.reported_in_flight,
            latency_ms=self.latency.at(now_seconds),
            leaving=self.leaving or not self.pool.open_connections,
            ejected=ejected,
            weight=slow_start_weight(
                available_for_seconds=now_seconds - self.available_since_seconds
            ),
            free_connections=self.pool.idle_connections,
        )

    def record_drain_state(
        self, *, draining: bool, is_status_reply: bool, now_seconds: float
    ) -> None:
        """
        Record whether a reply says that the backend server is draining.

        Any reply can set `is_draining`, but only replies of the status path can clear
        it. These are known to report a healthy state by mistake. So
        `PROBES_TO_END_DRAIN` of them in a row must report no drain, counted only
        after a hold time, which doubles each time that the mark is cleared.
        """
        if draining:
            self.is_draining = True
            self._probes_without_drain = 0
            self._drain_seen_at_seconds = now_seconds
            return
        hold_seconds = DRAIN_HOLD_SECONDS * (1 << self._drain_hold_doublings)
        in_hold = now_seconds - self._drain_seen_at_seconds < hold_seconds
        if not self.is_draining or not is_status_reply or in_hold:
            return
        self._probes_without_drain += 1
        if self._probes_without_drain >= PROBES_TO_END_DRAIN:
            self.is_draining = False
            self._drain_hold_doublings = min(
                self._drain_hold_doublings + 1, MAX_DRAIN_HOLD_DOUBLINGS
            )
            self.available_since_seconds = now_seconds

    def update_holdings(self, holdings: tuple[ReplicaHolding, ...] | None) -> bool:
        """Apply the index holdings that a reply reports; return if they changed."""
        if holdings is None or holdings == self.holdings:
            return False
        self.holdings = holdings
        if holdings:
            newest = max(holdings, key=lambda item: item.index_version)
            self.group = f"{self.listed.service}/{newest.shard}"
        return True

    def update_availability(self, now_seconds: float) -> None:
        """Begin the slow start once the backend server can first serve requests."""
        if (
            self.was_available
            or not self.usable
            or (self.sharded and not self.holdings)
        ):
            return
        self.was_available = True
        # Replicas of the first list were running before this entry: -inf means that
        # they need no slow start.
        if self.available_since_seconds > -math.inf:
            self.available_since_seconds = now_seconds
