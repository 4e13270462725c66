"""Limits on the requests that cold replicas get from all instances together."""

from attrs import frozen


@frozen(kw_only=True)
class ColdTolerance:
    """
    What a cold replica bears in one second beyond the rate that its service states.

    :ivar overage_ratio: factor of the rate.
    :ivar slack_count: requests in one second.
    """

    overage_ratio: float
    slack_count: float

    def max_per_second(self, rate_per_second: float) -> float:
        """Return the requests that a cold replica may get in any one second."""
        return rate_per_second * self.overage_ratio + self.slack_count
