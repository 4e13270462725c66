"""Fair shares of client accounts in the capacity of a set of services."""

import math
import random
from typing import Final

from attrs import define, field

DECAY_SECONDS: Final = 6.0  # an instance sees few requests of each account a second
SETTLE_SECONDS: Final = 3.0  # interval of bringing all values to the same time
FORGET_COUNT: Final = 0.02  # an account that asked for less recently is forgotten
# An account has more than its share if it was given this multiple of the mean, plus
# this much work: at one of many instances, single requests of an account are chance.
BEYOND_FACTOR: Final = 1.3
BEYOND_WORK: Final = 1.5
# Share of the mean that each account is served at least; above the quarter that is
# promised, since what is entitled may still find no room.
GUARANTEED_SHARE: Final = 0.3
MAX_CREDIT: Final = 2.0


@define(kw_only=True, eq=False, repr=False)
class _Account:
    """
    What an account asked for and was given lately; old values decay.

    :ivar asked_count: requests that it sent.
    :ivar started_work: work of those that were started.
    :ivar credit: requests that it is still owed.
    """

    credit: float
    asked_count: float = 0.0
    started_work: float = 0.0


@define(kw_only=True, eq=False, repr=False)
class AccountShares:
    """
    Tracks what the accounts are given, as one instance sees it.

    Protects the other accounts while one sends several times its usual rate, and
    accounts of a low priority while more urgent ones ask for all of the capacity.

    :ivar rng: source of the first credit of an account. With none, an account that
        sends a few requests to each of many instances would be owed none by any.
    """

    rng: random.Random
    _accounts: dict[str, _Account] = field(factory=dict)
    _settled_at_seconds: float = 0.0
    _asked_count: float = 0.0
    _started_count: float = 0.0
    _started_work: float = 0.0
    _growth: float = 1.0

    def record_asked(self, name: str, *, now_seconds: float) -> bool:
        """
        Record a request.

        :return: whether it is owed to the account, whatever its urgency.
        """
        self._settle(now_seconds)
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(credit=self.rng.random())
        account.asked_count += self._growth
        self._asked_count += self._growth
        served_share = min(1.0, self._started_count / self._asked_count)
        # An account that asks for more than the mean is owed no more than the mean.
        mean_count = self._asked_count / len(self._accounts)
        usual_share = min(1.0, mean_count / account.asked_count)
        account.credit += GUARANTEED_SHARE * served_share * usual_share
        account.credit = min(account.credit, MAX_CREDIT)
        return account.credit >= 1.0

    def record_started(self, name: str, *, work: float, now_seconds: float) -> None:
        """Record that a request was started."""
        self._settle(now_seconds)
        self._started_count += self._growth
        self._started_work += work * self._growth
        account = self._accounts.get(name)
        if account is not None:
            account.started_work += work * self._growth
            account.credit = max(0.0, account.credit - 1.0)

    def is_beyond_share(self, name: str) -> bool:
        """Whether an account was given more than its fair share lately."""
        account = self._accounts.get(name)
        if account is None:
            return False
        mean_work = self._started_work / len(self._accounts)
        bound = BEYOND_FACTOR * mean_work + BEYOND_WORK * self._growth
        return account.started_work > bound

    def _settle(self, now_seconds: float) -> None:
        """Let old values decay: newer ones weigh more, and all are scaled at times."""
        elapsed_seconds = now_seconds - self._settled_at_seconds
        if elapsed_seconds < SETTLE_SECONDS:
            self._growth = math.exp(elapsed_seconds / DECAY_SECONDS)
            return
        decay = math.exp(-elapsed_seconds / DECAY_SECONDS)
        self._settled_at_seconds = now_seconds
        self._growth = 1.0
        self._asked_count *= decay
        self._started_count *= decay
        self._started_work = 0.0
        for name, account in list(self._accounts.items()):
            account.asked_count *= decay
            account.started_work *= decay
            if account.asked_count < FORGET_COUNT:
                del self._accounts[name]
            else:
                self._started_work += account.started_work
