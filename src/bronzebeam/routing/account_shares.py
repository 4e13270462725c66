"""Fair shares of client accounts in the capacity of a set of services."""

import math
import random
from copy import copy
from typing import Final

from attrs import define, field

DECAY_SECONDS: Final = (
    20.0  # an instance may see one request of an account in that time
)
SETTLE_SECONDS: Final = 1.0  # interval of bringing all values to the same time
FORGET_COUNT: Final = 0.02  # an account that asked for less recently is forgotten
# An account has had more than its share beyond this multiple of it and this much more
# work: at one of many instances, single requests of an account are chance.
BEYOND_FACTOR: Final = 1.1
BEYOND_WORK: Final = 0.5
MIN_EXCESS: Final = 1.03  # asked to started work, below which there is no competition
# Share of the mean that each account is served at least; above the quarter that is
# promised, since what is owed may still find no room.
OWED_SHARE: Final = 0.3
MAX_CREDIT: Final = 2.0


@define(kw_only=True, eq=False, repr=False)
class _Decay:
    """
    Lets values decay without touching each: newer ones weigh more.

    :ivar weight: weight of a value that is added now.
    """

    weight: float = 1.0
    _settled_at_seconds: float = 0.0

    def advance(self, now_seconds: float) -> float | None:
        """Return a factor by which all values have to be multiplied now, if any."""
        elapsed_seconds = now_seconds - self._settled_at_seconds
        if elapsed_seconds < SETTLE_SECONDS:
            self.weight = math.exp(elapsed_seconds / DECAY_SECONDS)
            return None
        self._settled_at_seconds = now_seconds
        self.weight = 1.0
        return math.exp(-elapsed_seconds / DECAY_SECONDS)


@define(kw_only=True, eq=False, repr=False)
class _AccountWork:
    asked: float = 0.0
    started: float = 0.0


@define(kw_only=True, eq=False, repr=False)
class FairShares:
    """
    Tracks the work of accounts whose requests have the same urgency.

    Protects the other accounts while one sends several times its usual rate. An
    account's share is that of max-min fairness: accounts that ask for less than an
    equal share get what they ask for, and the others share what is left equally.
    """

    _accounts: dict[str, _AccountWork] = field(factory=dict)
    _decay: _Decay = field(factory=_Decay)
    _started: float = 0.0
    _fair_part: float = math.inf  # fair share as a part of all work that was started

    def record_asked(self, name: str, *, work: float, now_seconds: float) -> None:
        """Record a request; one that comes back after a refusal counts only once."""
        self._settle(now_seconds)
        account = self._accounts.setdefault(name, _AccountWork())
        account.asked += work * self._decay.weight

    def record_started(self, name: str, *, work: float, now_seconds: float) -> None:
        """Record that a request was started."""
        self._settle(now_seconds)
        account = self._accounts.setdefault(name, _AccountWork())
        account.started += work * self._decay.weight
        self._started += work * self._decay.weight

    def is_beyond_share(self, name: str) -> bool:
        """Whether an account was given more than its fair share lately."""
        account = self._accounts.get(name)
        if account is None or self._fair_part == math.inf:
            return False
        fair_work = self._fair_part * self._started
        return account.started > (
            BEYOND_FACTOR * fair_work + BEYOND_WORK * self._decay.weight
        )

    def copy(self) -> "FairShares":
        """Return a copy, to find out what would come without a change."""
        other = copy(self)
        other._decay = copy(self._decay)
        other._accounts = {
            name: _AccountWork(asked=item.asked, started=item.started)
            for name, item in self._accounts.items()
        }
        return other

    def _settle(self, now_seconds: float) -> None:
        factor = self._decay.advance(now_seconds)
        if factor is None:
            return
        asked = self._started = 0.0
        for name, account in list(self._accounts.items()):
            account.asked *= factor
            account.started *= factor
            asked += account.asked
            self._started += account.started
            if account.asked + account.started < FORGET_COUNT:
                del self._accounts[name]
        self._fair_part = math.inf
        if self._started and asked > MIN_EXCESS * self._started:
            demands = [account.asked for account in self._accounts.values()]
            fair_work = fair_share(demands, capacity=self._started)
            self._fair_part = fair_work / self._started


def fair_share(demands: list[float], *, capacity: float) -> float:
    """
    Return the most that each may get if what all get adds up to the capacity.

    :return: infinity if the capacity is enough for all.
    """
    left = capacity
    remaining = len(demands)
    for demand in sorted(demands):
        if demand * remaining >= left:
            return left / remaining
        left -= demand
        remaining -= 1
    return math.inf


@define(kw_only=True, eq=False, repr=False)
class _AccountCredit:
    """
    What an instance owes to an account.

    :ivar requests: requests that it is owed.
    :ivar asked_count: requests that it sent lately.
    """

    requests: float
    asked_count: float = 0.0


@define(kw_only=True, eq=False, repr=False)
class OwedRequests:
    """
    Lets each account start a share of the mean, whatever the urgency of its requests.

    Protects accounts of a low priority while more urgent ones ask for all of the
    capacity.

    :ivar rng: source of the first credit of an account. With none, an account that
        sends a few requests to each of many instances would be owed none by any.
    """

    rng: random.Random
    _credits: dict[str, _AccountCredit] = field(factory=dict)
    _decay: _Decay = field(factory=_Decay)
    _asked_count: float = 0.0
    _started_count: float = 0.0

    def record_asked(self, name: str, *, now_seconds: float) -> bool:
        """
        Record a request, also one that comes back.

        :return: whether it is owed to the account.
        """
        self._settle(now_seconds)
        credit = self._credits.get(name)
        if credit is None:
            credit = _AccountCredit(requests=self.rng.random())
            self._credits[name] = credit
        credit.asked_count += self._decay.weight
        self._asked_count += self._decay.weight
        served_share = min(1.0, self._started_count / self._asked_count)
        # An account that asks for more than the mean is owed no more than the mean.
        mean_count = self._asked_count / len(self._credits)
        usual_share = min(1.0, mean_count / credit.asked_count)
        gained = OWED_SHARE * served_share * usual_share
        credit.requests = min(credit.requests + gained, MAX_CREDIT)
        return credit.requests >= 1.0

    def record_started(self, name: str, *, now_seconds: float) -> None:
        """Record that a request was started."""
        self._settle(now_seconds)
        self._started_count += self._decay.weight
        credit = self._credits.get(name)
        if credit is not None:
            credit.requests = max(0.0, credit.requests - 1.0)

    def copy(self, rng: random.Random) -> "OwedRequests":
        """Return a copy with another random source."""
        other = copy(self)
        other.rng = rng
        other._decay = copy(self._decay)
        other._credits = {
            name: _AccountCredit(requests=item.requests, asked_count=item.asked_count)
            for name, item in self._credits.items()
        }
        return other

    def _settle(self, now_seconds: float) -> None:
        factor = self._decay.advance(now_seconds)
        if factor is None:
            return
        self._asked_count *= factor
        self._started_count *= factor
        for name, credit in list(self._credits.items()):
            credit.asked_count *= factor
            if credit.asked_count < FORGET_COUNT:
                del self._credits[name]
