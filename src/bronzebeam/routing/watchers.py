"""Which entries watch the configuration store."""

from collections.abc import Collection, Iterable, Sequence
from typing import Final

from bronzebeam.routing.membership_state import MemberRecord

WATCHER_COUNT: Final = 3
STANDBY_WATCHER_COUNT: Final = 6
WATCH_KEY: Final = "configuration-watch"


def choose_watchers(
    ranked: Sequence[MemberRecord],
    *,
    excluded: Collection[str] = (),
    count: int = WATCHER_COUNT,
) -> tuple[str, ...]:
    """
    Choose `count` watchers from as many failure domains as possible.

    :param ranked: live entries in the order of their rendezvous weight.
    :param excluded: entries that can't be reached or that can't reach the store.
    """
    candidates = [member for member in ranked if member.instance not in excluded]
    chosen: list[MemberRecord] = []
    for member in candidates:
        if len(chosen) == count:
            break
        if member.failure_domain not in _failure_domains(chosen):
            chosen.append(member)
    for member in candidates:
        if len(chosen) >= count:
            break
        if member not in chosen:
            chosen.append(member)
    return tuple(member.instance for member in chosen)


def choose_standby_watchers(
    ranked: Sequence[MemberRecord], watchers: Collection[str]
) -> tuple[str, ...]:
    """Choose the entries that monitor the `watchers` and are next in line."""
    others = [item.instance for item in ranked if item.instance not in watchers]
    return tuple(others[:STANDBY_WATCHER_COUNT])


def _failure_domains(members: Iterable[MemberRecord]) -> set[str]:
    return {member.failure_domain for member in members}
