"""Quotas of client accounts, kept by the sum over all instances."""

from typing import Final

from attrs import frozen

from bronzebeam.routing.accounts import Account

# Tokens of busy accounts are asked for in advance; a holder that is paused or cut off
# must not use them later, on top of those granted since.
MAX_TOKEN_LIFETIME_SECONDS: Final = 0.25
# An asker waits this long for tokens, so they have to live as long.
MIN_TOKEN_LIFETIME_SECONDS: Final = 0.06
# Of the tolerance; tokens granted before a window and used in it take the rest.
LIFETIME_SHARE: Final = 0.4
# Of the tolerance, what the owner grants beyond the quota; deputies have the rest.
OWNER_SHARE: Final = 0.4
# Requests of one account seldom come evenly: three at once are no sign of too many.
MIN_USUAL_BUCKET_COUNT: Final = 3.0
MIN_BUCKET_COUNT: Final = 1.0  # a smaller bucket never holds a whole token
MAX_ASKED_COUNT: Final = 10_000  # bounds the numbers that a peer may state


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

    def lifetime_seconds(self, account: Account) -> float:
        """Return how long after it was asked for a token may be used."""
        allowed_seconds = (
            LIFETIME_SHARE * self.reserve_count(account) / account.rate_per_second
        )
        return min(
            MAX_TOKEN_LIFETIME_SECONDS, max(MIN_TOKEN_LIFETIME_SECONDS, allowed_seconds)
        )

    def bucket_size_count(self, account: Account) -> float:
        """Return the tokens of an account that its owner may grant at once."""
        size = max(account.burst_count, MIN_USUAL_BUCKET_COUNT)
        size = min(size, account.burst_count + self._owner_extra_count(account))
        return max(size, MIN_BUCKET_COUNT)

    def bucket_rate_per_second(self, account: Account) -> float:
        """
        Return the rate at which the owner's tokens accrue.

        A window allows the burst beyond the rate again and again. A bucket that accrues
        at the account's rate would refuse a steady flow that stays within that.
        """
        extra = account.burst_count + self._owner_extra_count(account)
        extra -= self.bucket_size_count(account)
        return account.rate_per_second + max(0.0, extra) / self.window_seconds

    def _owner_extra_count(self, account: Account) -> float:
        return OWNER_SHARE * self.reserve_count(account)

    def deputy_reserve_count(self, account: Account) -> float:
        """
        Return what deputies and instances alone may grant together in one window.

        The owner's tokens may be used up to their lifetime after they were granted, so
        a window may hold more than the quota without any deputy. That part is not
        available to deputies.
        """
        late_count = self.bucket_rate_per_second(account) * self.lifetime_seconds(
            account
        )
        rounding_count = max(0.0, MIN_BUCKET_COUNT - account.burst_count)
        reserve_count = (1.0 - OWNER_SHARE) * self.reserve_count(account)
        return max(0.0, reserve_count - late_count - rounding_count)


@frozen(kw_only=True)
class QuotaAsk:
    """
    A request for tokens of an account.

    :ivar wanted_count: tokens wanted now.
    :ivar waiting_count: of these, tokens for requests that are waiting; the others are
        for later requests.
    :ivar returned_count: tokens that an earlier ask got and that were not used.
    """

    account: str
    wanted_count: int
    waiting_count: int
    returned_count: int = 0


@frozen(kw_only=True)
class QuotaGrant:
    """
    The answer to a request for tokens.

    :ivar lifetime_seconds: time for which the tokens may be used, from the moment at
        which they were asked for.
    :ivar retry_after_seconds: time until there is a token for those that got none; 0
        if all that are waiting got one.
    :ivar as_owner: the tokens are from the account's quota, not from the tolerance.
    """

    granted_count: int
    lifetime_seconds: float
    retry_after_seconds: float
    as_owner: bool
