"""Decides whether an instance has lost its links to the replicas.

Protects against an instance that callers still reach, but that reaches no replica: from
outside, a replica that crashed looks the same as one behind a broken link, but not all
replicas crash at once.
"""

from collections.abc import Iterable
from typing import Final

from attrs import define, frozen

from bronzebeam.units import MS_PER_SECOND

# Replicas pause for less, all of them never at the same time.
SILENCE_MS: Final = 300.0
MIN_SILENT_REPLICAS: Final = 3  # fewer may have crashed or paused together
# Of the replicas that were connected to; fewer may have crashed together.
IMPAIRED_SHARE: Final = 1.0 / 3.0
MIN_REACH_CHANGE_SECONDS: Final = 1.0  # of links that are broken in part, or mended


@frozen(kw_only=True)
class ReplicaLink:
    """
    What an instance has seen of its link to one replica.

    :ivar unanswered_since_seconds: monotonic time of the oldest send that is later than
        each answered one; None if there is none.
    :ivar proven_at_seconds: monotonic time of the latest reply or new connection.
    :ivar is_open: a connection is open, also if nothing comes on it.
    :ivar is_failing: the latest attempt to connect has failed.
    """

    unanswered_since_seconds: float | None
    proven_at_seconds: float
    is_open: bool
    is_failing: bool


def latest_proof_seconds(links: Iterable[ReplicaLink]) -> float:
    """Return the monotonic time of the latest sign of any replica."""
    return max((link.proven_at_seconds for link in links), default=0.0)


def are_replicas_silent(links: Iterable[ReplicaLink], now_seconds: float) -> bool:
    """
    Whether no replica answers, though several were sent requests.

    Only requests sent after the latest sign of any replica count: that shows that this
    instance's links work, and that earlier replies are late for another reason.
    """
    links = list(links)
    proven_at = latest_proof_seconds(links)
    silent_since = now_seconds - SILENCE_MS / MS_PER_SECOND
    if proven_at > silent_since:
        return False
    silent_count = sum(
        1
        for link in links
        if link.unanswered_since_seconds is not None
        and proven_at <= link.unanswered_since_seconds <= silent_since
    )
    return silent_count >= min(MIN_SILENT_REPLICAS, len(links)) > 0


def are_replicas_unreachable(links: Iterable[ReplicaLink]) -> bool:
    """Whether no connection to any replica is open, and several can't be opened."""
    links = list(links)
    if any(link.is_open for link in links):
        return False
    failing_count = sum(1 for link in links if link.is_failing)
    return failing_count >= min(MIN_SILENT_REPLICAS, len(links)) > 0


def are_links_impaired(links: Iterable[ReplicaLink]) -> bool:
    """Whether so many replicas can't be connected to that the instance may be why."""
    open_count = failing_count = 0
    for link in links:
        if link.is_open:
            open_count += 1
        elif link.is_failing:
            failing_count += 1
    known_count = open_count + failing_count
    return failing_count >= max(MIN_SILENT_REPLICAS, known_count * IMPAIRED_SHARE)


@define(kw_only=True, eq=False, repr=False)
class ReportedReach:
    """
    Whether an instance reaches the replicas, as its peers are told.

    Peers choose other owners of shards each time, so it does not follow short changes.

    :ivar reaches_replicas: what the peers are told.
    """

    reaches_replicas: bool = True
    _differs_since_seconds: float | None = None

    def update(
        self, *, is_cut_off: bool, is_impaired: bool, now_seconds: float
    ) -> bool:
        """
        Update what the peers are told.

        :param is_cut_off: no replica is reached.
        :param is_impaired: no replica is reached, or many can't be connected to.
        :return: whether it has changed.
        """
        if is_impaired is not self.reaches_replicas:
            self._differs_since_seconds = None
            return False
        if self._differs_since_seconds is None:
            self._differs_since_seconds = now_seconds
        if (
            not is_cut_off
            and now_seconds - self._differs_since_seconds < MIN_REACH_CHANGE_SECONDS
        ):
            return False
        self._differs_since_seconds = None
        self.reaches_replicas = not is_impaired
        return True
