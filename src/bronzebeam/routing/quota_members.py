"""Which instance grants an account's tokens, as one instance sees it."""

import math
from collections import OrderedDict, deque
from collections.abc import Collection
from copy import copy
from heapq import nlargest
from typing import Final

from attrs import define, field, frozen

from bronzebeam.routing.rendezvous import weigher

# A view without contact to the store or a source of changes for longer may lack an
# instance that counts itself as an owner by now.
MAX_CONTACT_AGE_SECONDS: Final = 6.0
# Exceeds MAX_CONTACT_AGE_SECONDS and the delay of an answer, so that a former owner has
# learnt of a new instance, or has lost contact, before the new one counts as an owner.
MIN_REGISTERED_SECONDS: Final = 8.0
CANDIDATE_COUNT: Final = 3  # instances that an asker tries
# Some of the first may be new, and count only behind the others.
RANKED_COUNT: Final = 6
MAX_RANKED_ACCOUNTS: Final = 10_000
MAX_RECORDED_CHANGES: Final = 128
MAX_RECORDED_REMOVALS: Final = 64


@define(kw_only=True, eq=False)
class RegistrationTimes:
    """
    What an instance knows of its own registration, by a clock that never stops.

    :ivar lease_seconds: time after which the store drops a registration.
    :ivar renewed_at_seconds: when the latest successful renewal was sent.
    :ivar registered_at_seconds: since when it has been registered without a gap; None
        if it is not.
    :ivar is_continued: the registration replaced that of an earlier process that all
        others knew, so no other instance has become an owner in its place since then.
    :ivar known_at_seconds: when all others had stated that they know of it; None if
        they have not.
    """

    lease_seconds: float
    renewed_at_seconds: float = -math.inf
    registered_at_seconds: float | None = None
    is_continued: bool = False
    known_at_seconds: float | None = None

    def record_gap(self) -> None:
        """Record that the instance is not registered, or was not for a moment."""
        self.registered_at_seconds = None
        self.known_at_seconds = None
        self.is_continued = False

    def record_renewal(self, sent_at_seconds: float, now_seconds: float) -> None:
        """Record that the registration was written, or its lease renewed."""
        self.renewed_at_seconds = sent_at_seconds
        if self.registered_at_seconds is None:
            self.registered_at_seconds = now_seconds

    def is_leased(self, now_seconds: float) -> bool:
        """Whether the store has certainly not dropped the registration."""
        return (
            self.registered_at_seconds is not None
            and now_seconds - self.renewed_at_seconds < self.lease_seconds
        )

    def owner_from_seconds(self) -> float:
        """Return from when on this instance may be an owner."""
        if self.registered_at_seconds is None:
            return math.inf
        if self.is_continued:
            return self.registered_at_seconds
        owner_from = self.registered_at_seconds + MIN_REGISTERED_SECONDS
        if self.known_at_seconds is not None:
            owner_from = min(owner_from, self.known_at_seconds)
        return owner_from


@frozen(kw_only=True)
class Standing:
    """
    An instance's right to grant tokens of one account.

    :ivar rank: its place in the ranking, from 0; None if it is not among the first.
    :ivar owner_since_seconds: since when it has been the owner; None if it is not.
    :ivar in_contact: its view of the instances is recent.
    :ivar is_leased: the store has certainly not dropped its registration.
    :ivar is_settled: it has been registered long enough for all others to know it.
    """

    rank: int | None
    owner_since_seconds: float | None
    in_contact: bool
    is_leased: bool
    is_settled: bool


@define(kw_only=True, eq=False)
class _Ranked:
    """
    The first members for one account.

    :ivar change_count: changes of the membership that `first` includes.
    :ivar removed_at_seconds: when the last member ahead of this instance was removed.
    :ivar removed_change_count: changes that `removed_at_seconds` includes.
    """

    first: list[tuple[bytes, str]]
    change_count: int
    removed_at_seconds: float = -math.inf
    removed_change_count: int = -1


@define(kw_only=True, eq=False)
class QuotaMembers:
    """
    The live instances as owners and deputies of accounts, seen by one of them.

    Answers the load of 10,000 accounts over 900 instances: the ranking of an account is
    kept, and a change of the membership costs one hash for each account in use.

    :ivar instance: name of this instance, which always counts as live.
    :ivar _counts_from: when each member may have begun to count as an owner. One that
        joined after this view was known to be complete is registered since then at the
        earliest, and not an owner for `MIN_REGISTERED_SECONDS`. Until that time the
        next one in the ranking goes on.
    :ivar _is_unlisted: others are registered, and don't count this instance.
    :ivar _unknown_before_seconds: other instances may have been owners until then.
    """

    instance: str
    _counts_from: dict[str, float] = field(factory=dict, init=False)
    _is_unlisted: bool = field(default=False, init=False)
    _confirmed_at_seconds: float = field(default=-math.inf, init=False)
    _unknown_before_seconds: float = field(default=-math.inf, init=False)
    _removals: deque[tuple[float, str]] = field(factory=deque, init=False)
    _changes: deque[tuple[str, bool]] = field(factory=deque, init=False)
    _change_count: int = field(default=0, init=False)
    _ranked: OrderedDict[str, _Ranked] = field(factory=OrderedDict, init=False)

    def __attrs_post_init__(self) -> None:
        self._counts_from[self.instance] = -math.inf

    def update(
        self,
        names: Collection[str],
        now_seconds: float,
        *,
        registered: Collection[str] = (),
    ) -> None:
        """
        Set the live instances.

        Must be called with the changes of a response before its `confirm`.

        :param names: those that serve peers.
        :param registered: all, also those that serve no peers; none of them is counted
            by others, so they grant nothing unless they are the only one.
        """
        was_unlisted = self._is_unlisted
        self._is_unlisted = self.instance not in names and any(
            name != self.instance for name in registered
        )
        if was_unlisted and not self._is_unlisted:
            self._unknown_before_seconds = now_seconds
        known = self._counts_from
        live = {*names, self.instance}
        if live == known.keys():
            return
        for name in sorted(known.keys() - live):
            del known[name]
            self._record_change(name, is_added=False)
            self._removals.append((now_seconds, name))
            if len(self._removals) > MAX_RECORDED_REMOVALS:
                self._unknown_before_seconds = max(
                    self._unknown_before_seconds, self._removals.popleft()[0]
                )
        for name in sorted(live - known.keys()):
            known[name] = self._confirmed_at_seconds + MIN_REGISTERED_SECONDS
            self._record_change(name, is_added=True)

    def confirm(self, as_of_seconds: float, now_seconds: float) -> None:
        """
        Record that the view held all instances that were registered at a time.

        :param as_of_seconds: when the call was sent whose answer shows it.
        """
        if now_seconds - self._confirmed_at_seconds > MAX_CONTACT_AGE_SECONDS:
            # Others may have been the owners meanwhile, and left no trace.
            self._unknown_before_seconds = now_seconds
        self._confirmed_at_seconds = max(self._confirmed_at_seconds, as_of_seconds)

    def acknowledge(self, name: str, *, makes_way: bool) -> bool:
        """
        Return whether a member is known.

        :param makes_way: the member relies on it that this instance does not act as
            owner in its place from now on.
        """
        if name not in self._counts_from:
            return False
        if makes_way:
            self._counts_from[name] = -math.inf
        return True

    def others(self) -> list[str]:
        """Return the live instances other than this one."""
        return [name for name in self._counts_from if name != self.instance]

    @property
    def confirmed_at_seconds(self) -> float:
        """Return the latest time at which the view is known to have been complete."""
        return self._confirmed_at_seconds

    @property
    def live_count(self) -> int:
        """Return the number of live instances, this one included."""
        return len(self._counts_from)

    def in_contact(self, now_seconds: float) -> bool:
        """Whether the view is recent."""
        return now_seconds - self._confirmed_at_seconds <= MAX_CONTACT_AGE_SECONDS

    def contact_age_seconds(self, now_seconds: float) -> float:
        """Return how old the view is; infinite if it was never complete."""
        return now_seconds - self._confirmed_at_seconds

    def copy_for(self, account: str) -> "QuotaMembers":
        """
        Return a copy that can be asked about one account.

        What is kept of the ranking of accounts then stays as it is.
        """
        other = copy(self)
        ranked = self._ranked.get(account)
        other._ranked = OrderedDict()
        if ranked is not None:
            other._ranked[account] = copy(ranked)
        return other

    def candidates(self, account: str, now_seconds: float) -> tuple[str, ...]:
        """Return the instances to ask for an account's tokens, the owner first."""
        return tuple(self._order(account, now_seconds)[:CANDIDATE_COUNT])

    def standing(
        self, account: str, now_seconds: float, registration: RegistrationTimes
    ) -> Standing:
        """Return this instance's right to grant an account's tokens."""
        order = self._order(account, now_seconds)
        rank = None
        if self.instance in order and not self._is_unlisted:
            rank = order.index(self.instance)
        owner_from = registration.owner_from_seconds()
        is_settled = now_seconds >= owner_from
        in_contact = self.in_contact(now_seconds)
        is_leased = registration.is_leased(now_seconds)
        since = None
        if rank == 0 and in_contact and is_leased and is_settled:
            since = max(owner_from, self._first_since(account))
        return Standing(
            rank=rank,
            owner_since_seconds=since,
            in_contact=in_contact,
            is_leased=is_leased,
            is_settled=is_settled,
        )

    def _order(self, account: str, now_seconds: float) -> list[str]:
        """Return the first members; those that are too new to be owners come last."""
        names = [name for _, name in self._rank(account).first]
        counts_from = self._counts_from
        new = [name for name in names if counts_from[name] > now_seconds]
        if not new:
            return names
        return [name for name in names if name not in new] + new

    def _first_since(self, account: str) -> float:
        """Return since when no other member has ranked before this one."""
        ranked = self._rank(account)
        if ranked.removed_change_count != self._change_count:
            ranked.removed_change_count = self._change_count
            weigh = weigher(account)
            own = weigh(self.instance)
            for at_seconds, name in reversed(self._removals):
                if at_seconds <= ranked.removed_at_seconds:
                    break
                if weigh(name) > own:
                    ranked.removed_at_seconds = at_seconds
                    break
        return max(self._unknown_before_seconds, ranked.removed_at_seconds)

    def _rank(self, account: str) -> _Ranked:
        ranked = self._ranked.get(account)
        if ranked is None:
            if len(self._ranked) >= MAX_RANKED_ACCOUNTS:
                self._ranked.popitem(last=False)
            ranked = _Ranked(
                first=self._rank_all(account), change_count=self._change_count
            )
            self._ranked[account] = ranked
            return ranked
        self._ranked.move_to_end(account)
        missed = self._change_count - ranked.change_count
        if missed:
            ranked.first = self._apply_changes(account, ranked.first, missed)
            ranked.change_count = self._change_count
        return ranked

    def _rank_all(self, account: str) -> list[tuple[bytes, str]]:
        return nlargest(RANKED_COUNT, map(weigher(account), self._counts_from))

    def _apply_changes(
        self, account: str, first: list[tuple[bytes, str]], missed: int
    ) -> list[tuple[bytes, str]]:
        if missed > len(self._changes):
            return self._rank_all(account)
        weigh = weigher(account)
        names = {name for _, name in first}
        for index in range(len(self._changes) - missed, len(self._changes)):
            name, is_added = self._changes[index]
            if is_added and name not in names:
                first = nlargest(RANKED_COUNT, [*first, weigh(name)])
                names = {item for _, item in first}
            elif not is_added and name in names:
                return self._rank_all(account)
        return first

    def _record_change(self, name: str, *, is_added: bool) -> None:
        self._changes.append((name, is_added))
        self._change_count += 1
        if len(self._changes) > MAX_RECORDED_CHANGES:
            self._changes.popleft()
