"""The tokens that one instance grants to all, as owner or deputy of accounts."""

from collections import OrderedDict
from copy import copy, deepcopy
from typing import Final

from attrs import define, field

from bronzebeam.routing.accounts import Account
from bronzebeam.routing.quota_members import Standing
from bronzebeam.routing.quotas import (
    MAX_ASKED_COUNT,
    MIN_TOKEN_LIFETIME_SECONDS,
    QuotaAsk,
    QuotaGrant,
    QuotaTolerance,
)
from bronzebeam.routing.token_bucket import TokenBucket

MAX_ACCOUNTS: Final = 10_000
# Of the reserve of deputies in one window, by rank. Rank 0 is the owner while it is in
# contact with the store, so its part is used only without contact. An instance that
# ranks itself first in an old view may then run beside the owner and the two next.
FIRST_RANK_SHARE: Final = 0.4
CONTACT_SHARES: Final = (FIRST_RANK_SHARE, 0.2, 0.1)
# Once the registration of the first has run out, another may follow it in a part of the
# fleet that loses contact later; both together then grant no more than the first alone.
UNLEASED_SHARE: Final = 0.2
# Tokens for later requests are granted only above this level, since some expire unused.
ADVANCE_LEVEL_SHARE: Final = 0.5
# Refused askers are told to come back one after the other, but within this time.
MAX_QUEUE_SECONDS: Final = 0.25
# Bounds the messages of an asker whose requests are all beyond the quota.
MIN_RETRY_SECONDS: Final = 0.005
# A deputy's tokens are few; the owner is probably back by then.
MAX_DEPUTY_RETRY_SECONDS: Final = 1.0


def deputy_share(standing: Standing) -> float:
    """
    Return the part of the deputies' reserve that an instance grants in one window.

    In contact and registered for long enough, an instance ranks itself no better than
    all others rank it, so each of these parts is granted once. Without contact, only
    the first in its own view grants.
    """
    rank = standing.rank
    if rank is None or rank >= len(CONTACT_SHARES) or not standing.is_settled:
        return 0.0
    if standing.in_contact and standing.is_leased:
        return CONTACT_SHARES[rank]
    if rank > 0:
        return 0.0
    return FIRST_RANK_SHARE if standing.is_leased else UNLEASED_SHARE


@define(kw_only=True, eq=False)
class _AccountBuckets:
    """
    The buckets of one account.

    :ivar queued_count: tokens that refused askers wait for, as of the last use of the
        owner's bucket.
    """

    owner: TokenBucket
    deputy: TokenBucket
    queued_count: float = 0.0
    used_at_seconds: float = 0.0


@define(kw_only=True, eq=False)
class QuotaGrants:
    """
    Token buckets of the accounts that this instance is an owner or deputy of.

    Answers a hot account asked for by two of 71 instances or by all of them, and 10,000
    accounts over 900 instances. Strict: a granted token counts as spent, and a bucket
    starts empty at the time at which the last other owner may have granted.

    :ivar started_at_seconds: nothing was granted by this process before.
    :ivar _empty_before_seconds: accounts without buckets may have been granted tokens
        until then; their buckets start empty at that time.
    """

    tolerance: QuotaTolerance
    started_at_seconds: float
    max_accounts: int = MAX_ACCOUNTS
    _accounts: OrderedDict[str, _AccountBuckets] = field(
        factory=OrderedDict, init=False
    )
    _empty_before_seconds: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._empty_before_seconds = self.started_at_seconds

    def grant(
        self, account: Account, ask: QuotaAsk, *, standing: Standing, now_seconds: float
    ) -> QuotaGrant:
        """Grant tokens of a limited account, as far as this instance may."""
        buckets = self._buckets(account.name, now_seconds)
        if standing.owner_since_seconds is not None:
            return self._grant_as_owner(
                account, ask, buckets, standing.owner_since_seconds, now_seconds
            )
        share = deputy_share(standing)
        return self._grant_as_deputy(account, ask, buckets, share, now_seconds)

    def peek(
        self, account: Account, ask: QuotaAsk, *, standing: Standing, now_seconds: float
    ) -> QuotaGrant:
        """Return what `grant` would, without a change of the buckets."""
        other = copy(self)
        other._accounts = OrderedDict()
        buckets = self._accounts.get(account.name)
        if buckets is not None:
            other._accounts[account.name] = deepcopy(buckets)
        return other.grant(account, ask, standing=standing, now_seconds=now_seconds)

    def grant_unlimited(self, ask: QuotaAsk) -> QuotaGrant:
        """Grant what is wanted of an account that has no limit here."""
        return QuotaGrant(
            granted_count=min(ask.wanted_count, MAX_ASKED_COUNT),
            lifetime_seconds=MIN_TOKEN_LIFETIME_SECONDS,
            retry_after_seconds=0.0,
            as_owner=True,
        )

    def _grant_as_owner(
        self,
        account: Account,
        ask: QuotaAsk,
        buckets: _AccountBuckets,
        since_seconds: float,
        now_seconds: float,
    ) -> QuotaGrant:
        bucket = buckets.owner
        rate = self.tolerance.bucket_rate_per_second(account)
        size = self.tolerance.bucket_size_count(account)
        if since_seconds > bucket.updated_at_seconds:
            bucket.restart(since_seconds)
        elapsed_seconds = max(0.0, now_seconds - bucket.updated_at_seconds)
        bucket.advance(now_seconds, size_count=size, rate_per_second=rate)
        bucket.put_back(ask.returned_count)
        waiting = max(0, min(ask.waiting_count, ask.wanted_count))
        granted = bucket.take(waiting)
        refused = waiting - granted
        buckets.queued_count = max(0.0, buckets.queued_count - elapsed_seconds * rate)
        retry_seconds = 0.0
        if refused:
            retry_seconds = bucket.seconds_until(1.0) + buckets.queued_count / rate
            buckets.queued_count = min(
                buckets.queued_count + refused, MAX_QUEUE_SECONDS * rate
            )
        else:
            spare = int(bucket.level_count - size * ADVANCE_LEVEL_SHARE)
            granted += bucket.take(min(ask.wanted_count - waiting, max(0, spare)))
        return QuotaGrant(
            granted_count=granted,
            lifetime_seconds=self.tolerance.lifetime_seconds(account),
            retry_after_seconds=(
                max(retry_seconds, MIN_RETRY_SECONDS) if refused else 0.0
            ),
            as_owner=True,
        )

    def _grant_as_deputy(
        self,
        account: Account,
        ask: QuotaAsk,
        buckets: _AccountBuckets,
        share: float,
        now_seconds: float,
    ) -> QuotaGrant:
        lifetime_seconds = self.tolerance.lifetime_seconds(account)
        # One half at once and the other over a window and a lifetime, so that no window
        # holds more than the part.
        half = share * self.tolerance.deputy_reserve_count(account) / 2.0
        window_seconds = self.tolerance.window_seconds + lifetime_seconds
        bucket = buckets.deputy
        bucket.advance(
            now_seconds, size_count=half, rate_per_second=half / window_seconds
        )
        waiting = max(0, min(ask.waiting_count, ask.wanted_count))
        granted = bucket.take(waiting)
        retry_seconds = 0.0
        if granted < waiting:
            retry_seconds = MAX_DEPUTY_RETRY_SECONDS
            if half >= 1.0:
                retry_seconds = min(retry_seconds, bucket.seconds_until(1.0))
            retry_seconds = max(retry_seconds, MIN_RETRY_SECONDS)
        return QuotaGrant(
            granted_count=granted,
            lifetime_seconds=lifetime_seconds,
            retry_after_seconds=retry_seconds,
            as_owner=False,
        )

    def _buckets(self, name: str, now_seconds: float) -> _AccountBuckets:
        buckets = self._accounts.get(name)
        if buckets is None:
            if len(self._accounts) >= self.max_accounts:
                _, dropped = self._accounts.popitem(last=False)
                self._empty_before_seconds = max(
                    self._empty_before_seconds, dropped.used_at_seconds
                )
            start = self._empty_before_seconds
            buckets = _AccountBuckets(
                owner=TokenBucket(updated_at_seconds=start),
                deputy=TokenBucket(updated_at_seconds=start),
            )
            self._accounts[name] = buckets
        else:
            self._accounts.move_to_end(name)
        buckets.used_at_seconds = now_seconds
        return buckets
