"""Notices that callers send requests and none of them is served."""

import math
from collections import Counter
from typing import Final

from attrs import define, field

from bronzebeam.gateway.gateway_metrics import GatewayMetrics
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.units import MS_PER_SECOND

MIN_REQUESTS: Final = 5  # fewer may all be wrong by chance
MIN_SECONDS: Final = 3.0
LOG_INTERVAL_SECONDS: Final = 10.0  # while it lasts
# A reply of a replica with a status below this is what the caller asked for.
MIN_FAILURE_STATUS: Final = 500
MAX_CAUSES: Final = 32
MAX_LOGGED_CAUSES: Final = 5
OTHER_CAUSES: Final = "other"


@define(kw_only=True, eq=False, repr=False)
class ServedRequests:
    """
    Counts the callers' requests, and those that were served.

    Requests of peers don't count, nor do those that their connection refuses.

    :ivar _received_count: requests received since the last one was served.
    :ivar _causes: why those that have ended were not served.
    :ivar _since_seconds: monotonic time at which the first of them was received.
    :ivar _logged_at_seconds: monotonic time of the last log line; None if a later one
        said that requests are served again.
    :ivar _was_served: a request was served since then.
    """

    metrics: GatewayMetrics
    _received_count: int = 0
    _causes: Counter[str] = field(factory=Counter)
    _since_seconds: float = math.inf
    _logged_at_seconds: float | None = None
    _was_served: bool = False

    def record_received(self, now_seconds: float) -> None:
        """Count a request that a caller has sent."""
        self.metrics.count_received()
        self._received_count += 1
        self._since_seconds = min(self._since_seconds, now_seconds)

    def record_end(self, *, status: int | None, cause: str) -> None:
        """
        Count a request that has ended.

        :param status: status of a replica's reply, or of a merged answer; None if the
            caller got no such answer.
        """
        if status is not None and status < MIN_FAILURE_STATUS:
            self.metrics.count_served()
            self._was_served = True
            self._received_count = 0
            self._causes.clear()
            self._since_seconds = math.inf
            return
        if cause not in self._causes and len(self._causes) >= MAX_CAUSES:
            cause = OTHER_CAUSES
        self._causes[cause] += 1

    def check(self, log: DecisionLog, now_seconds: float) -> None:
        """Log that no request is served, or one is again; to be called regularly."""
        if self._logged_at_seconds is not None and self._was_served:
            self._logged_at_seconds = None
            log.event("serving_again")
        lasted_seconds = now_seconds - self._since_seconds
        if self._received_count < MIN_REQUESTS or lasted_seconds < MIN_SECONDS:
            return
        logged_at_seconds = self._logged_at_seconds
        if (
            logged_at_seconds is not None
            and now_seconds - logged_at_seconds < LOG_INTERVAL_SECONDS
        ):
            return
        self._logged_at_seconds = now_seconds
        self._was_served = False
        ended_count = self._causes.total()
        log.event(
            "none_served",
            lasted_ms=round(lasted_seconds * MS_PER_SECOND),
            received=self._received_count,
            # Some may have been received before the last one was served.
            unanswered=max(0, self._received_count - ended_count),
            causes=",".join(
                f"{name}:{count}"
                for name, count in self._causes.most_common(MAX_LOGGED_CAUSES)
            ),
        )
