"""Hedges before the hedge delay, of replicas that state that they will reply late."""

from collections.abc import Callable

from attrs import define

from bronzebeam.gateway.attempt import Attempt
from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.replica_choice import ReplicaChoice
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.routing.hedge_timing import EARLY_HEDGE_SHARE, should_hedge_early
from bronzebeam.routing.replica_estimate import estimate_reply_ms
from bronzebeam.units import MS_PER_SECOND


@define(kw_only=True, eq=False, repr=False)
class EarlyHedges:
    """
    Finds the sub-requests of one request that are hedged early.

    Only replicas that state a free slot get such a hedge: while all are busy, more
    requests would make the others wait longer.

    :ivar hedge_after_ms: delay after which those without a reply are hedged anyway.
    """

    context: GatewayContext
    routed: RoutedRequest
    hedge_after_ms: float

    @property
    def check_after_seconds(self) -> float:
        """Return the time after sending at which to look for them."""
        return self.hedge_after_ms * EARLY_HEDGE_SHARE / MS_PER_SECOND

    def is_due(
        self, attempt: Attempt, choose_other: Callable[[], ReplicaChoice | None]
    ) -> bool:
        """
        Whether to hedge an attempt now.

        :param choose_other: chooses the replica that would get the hedge; None if there
            is none.
        """
        now_seconds = self.context.loop.time()
        reading, sent_at = attempt.replica.reading, attempt.sent_at_seconds
        if attempt.ended or reading is None or sent_at is None:
            return False
        # What it stated before was considered when it was chosen.
        if reading.at_seconds <= sent_at or not reading.is_valid(now_seconds):
            return False
        typical = self.context.state.typical_latency(self.routed.route)
        load = attempt.replica.load(now_seconds, "", typical)
        reported_ms = estimate_reply_ms(load, typical_ms=typical.typical_ms)
        if reported_ms <= self.hedge_after_ms:
            return False
        other = choose_other()
        if other is None or not other.replica.states_free_slot(now_seconds):
            return False
        return should_hedge_early(
            reported_ms=reported_ms,
            elapsed_ms=(now_seconds - sent_at) * MS_PER_SECOND,
            other_ms=other.estimate_ms,
            hedge_after_ms=self.hedge_after_ms,
        )
