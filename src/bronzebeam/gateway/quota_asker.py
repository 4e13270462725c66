"""Gets and grants tokens of limited accounts."""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from attrs import define, field

from bronzebeam.gateway.account_queue import AccountQueue, QueueStatus, TokenRequest
from bronzebeam.gateway.fleet_state import FleetState
from bronzebeam.gateway.quota_round import QuotaLinks
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.quota_grants import QuotaGrants
from bronzebeam.routing.quota_members import RegistrationTimes, Standing
from bronzebeam.routing.quota_tokens import AccountTokens, alone_rate_per_second
from bronzebeam.routing.quotas import QuotaAsk, QuotaGrant, QuotaTolerance
from bronzebeam.routing.silent_peers import SilentPeers

MAX_ACCOUNTS: Final = 10_000
UNKNOWN_ACCOUNT_RETRY_SECONDS: Final = 0.1  # the configuration is on its way


@define(kw_only=True, eq=False, repr=False)
class QuotaAsker:
    """
    The limited accounts whose requests arrive here, and those owned by this instance.

    :ivar boot_seconds: the clock by which tokens and rights expire.
    :ivar count_ask: called with the result of each message to a peer.
    :ivar _has_dropped: accounts were dropped, and their turns are not known any more.
    """

    state: FleetState
    registration: RegistrationTimes
    tolerance: QuotaTolerance
    rng: random.Random
    boot_seconds: Callable[[], float]
    count_ask: Callable[[str], None]
    _grants: QuotaGrants = field(init=False)
    _links: QuotaLinks = field(init=False)
    _queues: OrderedDict[str, AccountQueue] = field(factory=OrderedDict)
    _has_dropped: bool = False

    def __attrs_post_init__(self) -> None:
        self._grants = QuotaGrants(
            tolerance=self.tolerance, started_at_seconds=self.boot_seconds()
        )
        self._links = QuotaLinks(
            state=self.state,
            silent=SilentPeers(),
            answer=self.answer,
            boot_seconds=self.boot_seconds,
            count_ask=self.count_ask,
        )

    def request(self, account: Account, request: TokenRequest) -> None:
        """Get a token; the request is notified at once, or within 60 ms."""
        queue = self._queues.get(account.name)
        if queue is None:
            self._drop_unused()
            queue = self._queues[account.name] = AccountQueue(
                account=account, links=self._links, turn_seconds=self._turn_seconds
            )
        else:
            self._queues.move_to_end(account.name)
            queue.account = account
        queue.request(request)

    def give_back(self, account: str, expires_at_seconds: float) -> None:
        """Take back the token of a request that no replica got."""
        queue = self._queues.get(account)
        if queue is not None:
            queue.give_back(expires_at_seconds)

    def answer(self, ask: QuotaAsk) -> QuotaGrant:
        """Answer a question of a peer, or of this instance, as owner or deputy."""
        now = self.boot_seconds()
        table = self.state.table
        account = table.account_by_name(ask.account) if table is not None else None
        standing = self.state.quota_members.standing(
            ask.account, now, self.registration
        )
        if account is not None and account.is_limited:
            return self._grants.grant(account, ask, standing=standing, now_seconds=now)
        # Limits bind once all instances have the configuration, and a peer may have a
        # newer or an older one.
        if standing.owner_since_seconds is not None:
            return self._grants.grant_unlimited(ask)
        return QuotaGrant(
            granted_count=0,
            lifetime_seconds=0.0,
            retry_after_seconds=UNKNOWN_ACCOUNT_RETRY_SECONDS,
            as_owner=False,
        )

    # Queries that change nothing, to explain what a request would meet.

    def peek_queue(self, account: Account) -> QueueStatus:
        """Return what the next request of an account meets here."""
        queue = self._queues.get(account.name)
        return QueueStatus(tokens=AccountTokens()) if queue is None else queue.status()

    def peek_grant(self, account: Account, standing: Standing) -> QuotaGrant:
        """Return what this instance would grant to one request that waits."""
        ask = QuotaAsk(account=account.name, wanted_count=1, waiting_count=1)
        return self._grants.peek(
            account, ask, standing=standing, now_seconds=self.boot_seconds()
        )

    def peek_turn_seconds(self, account: Account, tokens: AccountTokens) -> float:
        """
        Return the time until this instance may admit a request by itself.

        :param tokens: a copy of the account's tokens.
        :return: 0 if its first turn is not known yet.
        """
        per_second = alone_rate_per_second(account, self.tolerance)
        if per_second > 0.0 and not tokens.has_turns:
            return 0.0
        return tokens.seconds_until_turn(
            per_second=per_second,
            instance_count=self.state.recent_instance_count(),
            now_seconds=self.boot_seconds(),
            rng=self.rng,
            is_delayed=False,
        )

    def may_message(self, name: str) -> bool:
        """Whether a question would be sent to an instance."""
        now_seconds = self.state.loop.time()
        return self.state.peers.get(name) is not None and not (
            self._links.silent.is_silent(name, now_seconds)
        )

    def _turn_seconds(self, queue: AccountQueue) -> float:
        return queue.tokens.seconds_until_turn(
            per_second=alone_rate_per_second(queue.account, self.tolerance),
            instance_count=self.state.recent_instance_count(),
            now_seconds=self.boot_seconds(),
            rng=self.rng,
            is_delayed=self._has_dropped,
        )

    def _drop_unused(self) -> None:
        """Forget the least recently used account without waiting requests."""
        if len(self._queues) < MAX_ACCOUNTS:
            return
        for name, queue in self._queues.items():
            if not queue.is_in_use:
                del self._queues[name]
                self._has_dropped = True
                return
