"""Quotas of client accounts, kept by the sum over all instances."""

from attrs import frozen

from bronzebeam.routing.accounts import Account


@frozen(kw_only=True)
class QuotaTolerance:
    """
    What the instances together may admit beyond an account's quota.

    :ivar window_seconds: time over which requests are counted.
    :ivar overage_ratio: share of the quota in one window.
    :ivar slack_count: requests in one window.
    """

    window_seconds: float
    overage_ratio: float
    slack_count: float

    def reserve_count(self, account: Account) -> float:
        """Return the requests beyond an account's quota in one window."""
        quota = account.rate_per_second * self.window_seconds + account.burst_count
        return self.overage_ratio * quota + self.slack_count
