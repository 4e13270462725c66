"""Rendezvous hashing: a ranking of members for a key, the same on all nodes."""

import hashlib
from collections.abc import Callable, Iterable
from typing import Final

WEIGHT_BYTES: Final = 8
MAX_CACHED_KEYS: Final = 64


def rank_members(key: str, members: Iterable[str]) -> tuple[str, ...]:
    """
    Rank `members` for `key`, highest weight first.

    The weight of a member does not depend on the others, so a change of the membership
    does not reorder the remaining members.
    """
    weigh = weigher(key)
    return tuple(member for _, member in sorted(map(weigh, members), reverse=True))


def weigher(key: str) -> Callable[[str], tuple[bytes, str]]:
    """Return a function that returns a member's weight for `key`, and its name."""
    base = hashlib.blake2b(key.encode() + b"\0", digest_size=WEIGHT_BYTES)

    def weigh(member: str) -> tuple[bytes, str]:
        state = base.copy()
        state.update(member.encode())
        return state.digest(), member

    return weigh


class RendezvousRanking:
    """
    Rankings over one set of members, cached until the membership changes.

    :param revision: revision of the membership that `members` come from.
    :param members: names to rank.
    """

    def __init__(self, *, revision: int, members: Iterable[str]) -> None:
        self.revision = revision
        self.members = tuple(members)
        self._ranked: dict[str, tuple[str, ...]] = {}

    def rank(self, key: str) -> tuple[str, ...]:
        """Return the ranking for `key`; at most `MAX_CACHED_KEYS` are cached."""
        ranked = self._ranked.get(key)
        if ranked is not None:
            return ranked
        if len(self._ranked) >= MAX_CACHED_KEYS:
            self._ranked.clear()
        ranked = rank_members(key, self.members)
        self._ranked[key] = ranked
        return ranked

    def for_revision(
        self, *, revision: int, members: Iterable[str]
    ) -> "RendezvousRanking":
        """Return this ranking if `revision` is the same, else a new one."""
        if revision == self.revision:
            return self
        return RendezvousRanking(revision=revision, members=members)
