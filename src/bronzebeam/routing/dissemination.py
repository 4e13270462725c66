"""Gossip decisions: whom to push updates to, and when to exchange revisions."""

import hashlib
from collections.abc import Collection, Iterable, Sequence
from functools import lru_cache
from heapq import nsmallest
from random import Random
from typing import Final

from bronzebeam.routing.membership_state import MAX_MEMBERS, MemberRecord

PUSH_RINGS: Final = 4
RING_CANDIDATES: Final = 4
POSITION_BYTES: Final = 8
POSITION_SPAN: Final = 1 << (8 * POSITION_BYTES)
MIN_EXCHANGE_INTERVAL_SECONDS: Final = 2.0
MAX_EXCHANGE_INTERVAL_SECONDS: Final = 4.0
MEMBERS_PER_EXCHANGE_SECOND: Final = 300
EXCHANGE_JITTER_SHARE: Final = 0.25
LIST_SLOT_SECONDS: Final = 0.5

PushCandidates = tuple[tuple[str, ...], ...]


@lru_cache(maxsize=2 * MAX_MEMBERS)
def ring_positions(instance: str) -> tuple[int, ...]:
    """Return the position of `instance` on each of the `PUSH_RINGS` rings."""
    digest = hashlib.blake2b(
        instance.encode(), digest_size=PUSH_RINGS * POSITION_BYTES
    ).digest()
    return tuple(
        int.from_bytes(digest[start : start + POSITION_BYTES], "big")
        for start in range(0, len(digest), POSITION_BYTES)
    )


def push_candidates(
    own: MemberRecord, members: Iterable[MemberRecord]
) -> PushCandidates:
    """
    Return for each ring the members that follow `own`, nearest first.

    Each ring orders the members differently, and each member receives pushes from as
    many members as it pushes to. The first ring skips `own`'s failure domain if there
    is another one.
    """
    others = [member for member in members if member.instance != own.instance]
    in_other_domains = [
        item for item in others if item.failure_domain != own.failure_domain
    ]
    origin = ring_positions(own.instance)
    return tuple(
        _nearest_successors(
            ring,
            origin[ring],
            in_other_domains if ring == 0 and in_other_domains else others,
        )
        for ring in range(PUSH_RINGS)
    )


def _nearest_successors(
    ring: int, origin: int, others: list[MemberRecord]
) -> tuple[str, ...]:
    distances = (
        ((ring_positions(item.instance)[ring] - origin) % POSITION_SPAN, item.instance)
        for item in others
    )
    return tuple(instance for _, instance in nsmallest(RING_CANDIDATES, distances))


def next_push_target(
    candidates: Sequence[str],
    *,
    already_tried: Collection[str],
    suspected: Collection[str],
) -> str | None:
    """
    Return the next candidate of one ring to push to; None if there is none left.

    Suspected instances come last, since a ring without any push would lose its whole
    branch.

    :param already_tried: instances that this update was already sent to, successfully
        or not.
    :param suspected: instances that recently could not be reached.
    """
    free = [item for item in candidates if item not in already_tried]
    unsuspected = [item for item in free if item not in suspected]
    return next(iter(unsuspected or free), None)


def exchange_interval_seconds(members: int) -> float:
    """Return the mean time between exchanges that one of `members` nodes starts."""
    interval_seconds = members / MEMBERS_PER_EXCHANGE_SECOND
    return min(
        MAX_EXCHANGE_INTERVAL_SECONDS,
        max(MIN_EXCHANGE_INTERVAL_SECONDS, interval_seconds),
    )


def list_slot(wall_seconds: float) -> int:
    """Return the number of the time slot for reading the instance list."""
    return int(wall_seconds // LIST_SLOT_SECONDS)


def should_read_in_slot(
    slot: int, *, own: str, members: Sequence[str], suspected: Collection[str]
) -> bool:
    """
    Whether `own` should read the instance list in `slot`.

    The live members take turns, one slot each. In the slot of a suspected member, the
    next member that is not suspected reads the list.

    :param members: sorted names of the live members, `own` included.
    """
    if own not in members:
        return True
    for step in range(len(members)):
        reader = members[(slot + step) % len(members)]
        if reader == own:
            return True
        if reader not in suspected:
            return False
    return True


def seconds_to_next_list_check(wall_seconds: float, *, should_read_next: bool) -> float:
    """
    Return the time until this member checks the instance list in the next slot.

    A reader starts at the beginning of the slot. The others check in the middle, when
    the reader's update has arrived.
    """
    start = (list_slot(wall_seconds) + 1) * LIST_SLOT_SECONDS
    return start - wall_seconds + (0.0 if should_read_next else LIST_SLOT_SECONDS / 2)


def jittered(
    seconds: float, rng: Random, share: float = EXCHANGE_JITTER_SHARE
) -> float:
    """Return `seconds`, changed at random by up to `share` in either direction."""
    return seconds * rng.uniform(1 - share, 1 + share)


def choose_exchange_peer(
    *,
    peers: Sequence[str],
    priority_peers: Sequence[str],
    suspected: Collection[str],
    turn: int,
    rng: Random,
) -> str | None:
    """
    Choose the peer to exchange revisions with; None if there are no peers.

    :param priority_peers: peers to check on, chosen in every second exchange.
    :param suspected: peers skipped while there are others. One exchange in four
        ignores this, so that a recovered peer is found.
    :param turn: number of exchanges so far.
    """
    if priority_peers and turn % 2 == 0:
        return priority_peers[(turn // 2) % len(priority_peers)]
    if not peers:
        return None
    unsuspected = [item for item in peers if item not in suspected]
    if not unsuspected or turn % 4 == 3:
        return rng.choice(peers)
    return rng.choice(unsuspected)
