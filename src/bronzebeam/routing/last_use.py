"""Until when a replica that leaves may be used, if there is no other."""

import math
from typing import Final

from attrs import frozen

# Requests need a leaving replica only until its successors are known.
DRAINING_GRACE_SECONDS: Final = 1.5
REMOVED_GRACE_SECONDS: Final = 1.8
# Registrations that expired during a store outage are renewed within two seconds of its
# end.
LAPSED_GRACE_SECONDS: Final = 2.5
SEND_MARGIN_SECONDS: Final = 0.2  # for the news and the last request on their way
# Registrations are renewed three times within the time after which they expire.
LAPSE_SHARE: Final = 2.0 / 3.0


@frozen(kw_only=True)
class News:
    """
    When an instance learns that a replica leaves, and when that may have begun.

    :ivar learnt_at_seconds: monotonic time at which the instance learns of it.
    :ivar made_after_seconds: monotonic time at which it had not begun yet; minus
        infinity if that is not known.
    """

    learnt_at_seconds: float
    made_after_seconds: float = -math.inf


@frozen(kw_only=True)
class LastUsePolicy:
    """
    Bounds the use of leaving replicas by when they may have begun to leave.

    A grace that began with the news alone would begin anew for each instance that
    starts, or that learns of it late.

    :ivar drain_seconds: time for which replicas serve on at least; no request may reach
        them later than this after the store has accepted that they leave.
    """

    drain_seconds: float

    def of_draining(self, news: News) -> float:
        """Return the monotonic time of the last use of a draining replica."""
        return self._bound(news, DRAINING_GRACE_SECONDS)

    def of_removed(self, news: News, *, store_back_at_seconds: float) -> float:
        """
        Return the monotonic time of the last use of a removed replica.

        :param store_back_at_seconds: monotonic time at which the store answered this
            instance again after its latest outage; minus infinity if there was none.
        """
        lapsed_until_seconds = store_back_at_seconds + LAPSED_GRACE_SECONDS
        return max(self._bound(news, REMOVED_GRACE_SECONDS), lapsed_until_seconds)

    def _bound(self, news: News, grace_seconds: float) -> float:
        return min(
            news.learnt_at_seconds + grace_seconds,
            news.made_after_seconds + self.drain_seconds - SEND_MARGIN_SECONDS,
        )


def can_have_lapsed(*, missed_seconds: float, timeout_seconds: float) -> bool:
    """
    Whether registrations of live replicas can have expired in an outage of the store.

    :param missed_seconds: time for which this instance has heard nothing of the store;
        an outage for all was no longer.
    :param timeout_seconds: time after which registrations expire if not renewed.
    """
    return missed_seconds >= LAPSE_SHARE * timeout_seconds
