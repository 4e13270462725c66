"""The tokens of one account that an instance holds, and when it asks for more."""

import math
import random
from collections import deque
from copy import copy
from typing import Final

from attrs import define, field

from bronzebeam.routing.accounts import Account
from bronzebeam.routing.quotas import MAX_ASKED_COUNT, QuotaAsk, QuotaTolerance
from bronzebeam.routing.replica_limit import (
    MIN_LIMIT_PER_SECOND,
    MIN_TURN_LIFETIME_SECONDS,
    TURN_LIFETIME_REQUESTS,
    SendTurns,
)

# Tokens used in this time are asked for again in advance.
USE_MEMORY_SECONDS: Final = 0.25
USE_SLICE_SECONDS: Final = 0.05
# Of the deputies' reserve in one window, over all instances that reach no peer.
ALONE_SHARE: Final = 0.2


def alone_rate_per_second(account: Account, tolerance: QuotaTolerance) -> float:
    """
    Return what all instances that reach no peer may grant together; 0 for nothing.

    Unused turns stay valid for a while, so a window may hold more than those of its
    own time.
    """
    count = ALONE_SHARE * tolerance.deputy_reserve_count(account)
    count -= TURN_LIFETIME_REQUESTS
    per_second = count / (tolerance.window_seconds + MIN_TURN_LIFETIME_SECONDS)
    return per_second if per_second >= MIN_LIMIT_PER_SECOND else 0.0


@define(kw_only=True, eq=False)
class AccountTokens:
    """
    Tokens of one account at an instance that asks for them.

    Answers an account that is hot at a few instances, which asks a few times a second
    for many tokens, and one whose requests are thinly spread, which asks for each.

    :ivar refused_until_seconds: time until which no token is expected.
    :ivar _held: expiry times and numbers of the tokens, the earliest first.
    :ivar _used: numbers of tokens used, by the number of their slice of time.
    """

    refused_until_seconds: float = -math.inf
    _held: deque[tuple[float, int]] = field(factory=deque, init=False)
    _used: deque[tuple[int, int]] = field(factory=deque, init=False)
    _turns: SendTurns | None = field(default=None, init=False)

    @property
    def has_turns(self) -> bool:
        """Whether the times of this instance's own turns are known."""
        return self._turns is not None

    def copy(self) -> "AccountTokens":
        """Return a copy, to find out what would come without a change."""
        other = copy(self)
        other._held = deque(self._held)
        other._used = deque(self._used)
        other._turns = copy(self._turns)
        return other

    def held_count(self, now_seconds: float) -> int:
        """Return the number of tokens that may be used now."""
        held = self._held
        while held and held[0][0] <= now_seconds:
            held.popleft()
        return sum(count for _, count in held)

    def take(self, now_seconds: float) -> float | None:
        """Use one token; return the time at which it expires, or None without one."""
        held = self._held
        while held:
            expires_at, count = held[0]
            if expires_at <= now_seconds:
                held.popleft()
                continue
            if count > 1:
                held[0] = (expires_at, count - 1)
            else:
                held.popleft()
            self._count_use(now_seconds)
            return expires_at
        return None

    def add(self, count: int, *, expires_at_seconds: float) -> None:
        """Hold tokens that were granted, or that a request did not need."""
        if count <= 0:
            return
        held = self._held
        if held and held[-1][0] > expires_at_seconds:
            self._held = deque(sorted([*held, (expires_at_seconds, count)]))
        else:
            held.append((expires_at_seconds, count))

    def take_unused(self, now_seconds: float) -> int:
        """Give up all tokens, so that they can be returned; return their number."""
        count = self.held_count(now_seconds)
        self._held.clear()
        return count

    def ask(self, account: str, *, waiting_count: int, now_seconds: float) -> QuotaAsk:
        """Return what to ask for while requests are waiting."""
        missing = max(0, waiting_count - self.held_count(now_seconds))
        wanted = missing + self._recent_use(now_seconds)
        return QuotaAsk(
            account=account,
            wanted_count=min(wanted, MAX_ASKED_COUNT),
            waiting_count=min(missing, MAX_ASKED_COUNT),
        )

    def seconds_until_turn(
        self,
        *,
        per_second: float,
        instance_count: int,
        now_seconds: float,
        rng: random.Random,
        is_delayed: bool,
    ) -> float:
        """
        Return the time until this instance may admit a request by itself.

        :param per_second: what all instances alone may admit; 0 for nothing.
        :param is_delayed: earlier turns may have been forgotten, so that the first
            comes one interval later.
        """
        if per_second <= 0.0:
            return math.inf
        is_first = self._turns is None
        if self._turns is None:
            self._turns = SendTurns(rng=rng)
        self._turns.set_rate(
            limit_per_second=per_second,
            share=1.0 / max(1, instance_count),
            now_seconds=now_seconds,
        )
        if is_first and is_delayed:
            self._turns.use()
        return self._turns.seconds_until_next(now_seconds)

    def use_turn(self) -> None:
        """Use the turn that has come."""
        assert self._turns is not None
        self._turns.use()

    def _count_use(self, now_seconds: float) -> None:
        number = int(now_seconds / USE_SLICE_SECONDS)
        if self._used and self._used[-1][0] == number:
            self._used[-1] = (number, self._used[-1][1] + 1)
        else:
            self._used.append((number, 1))
            self._forget_use(now_seconds)

    def _recent_use(self, now_seconds: float) -> int:
        self._forget_use(now_seconds)
        return sum(count for _, count in self._used)

    def _forget_use(self, now_seconds: float) -> None:
        oldest = int((now_seconds - USE_MEMORY_SECONDS) / USE_SLICE_SECONDS)
        while self._used and self._used[0][0] <= oldest:
            self._used.popleft()
