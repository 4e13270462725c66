"""Requests under suspicion of crashing each backend server that runs them."""

import hashlib
from collections import OrderedDict
from typing import Final

from attrs import define, field

MAX_LOSSES: Final = 3  # replicas that a request may crash before it is held back
MAX_SUSPECTS: Final = 4_096  # bounds the memory; the oldest are forgotten
FINGERPRINT_BYTES: Final = 12  # collisions are out of reach for so few suspects


def fingerprint(*, host: bytes, target: bytes, body: bytes) -> str:
    """Return what a request has in common with its repetitions."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (host, target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


@define(kw_only=True, eq=False, repr=False)
class CrashSuspects:
    """
    Losses of replicas that running a request has led to, over all instances.

    Answers the load of a request that kills whatever runs it and is sent again and
    again. Only requests without any reply are reported, so a request that meets the
    crashes of others is no suspect for longer than its own failure.
    """

    _losses: OrderedDict[str, dict[str, int]] = field(factory=OrderedDict)

    def __bool__(self) -> bool:
        return bool(self._losses)

    def record_losses(self, suspect: str, *, instance: str, losses: int) -> int:
        """
        Add losses that an instance has seen.

        :return: all losses that this instance has seen for the request.
        """
        seen = self._losses.setdefault(suspect, {})
        seen[instance] = seen.get(instance, 0) + losses
        self._evict_oldest()
        return seen[instance]

    def apply_report(self, suspect: str, *, instance: str, losses: int) -> None:
        """Take in what an instance has reported in all."""
        seen = self._losses.setdefault(suspect, {})
        seen[instance] = max(losses, seen.get(instance, 0))
        self._evict_oldest()

    def remove_report(self, suspect: str, *, instance: str) -> None:
        """Forget what an instance has reported, since the report has lapsed."""
        seen = self._losses.get(suspect)
        if seen is not None:
            seen.pop(instance, None)
            if not seen:
                del self._losses[suspect]

    def losses(self, suspect: str) -> int:
        """Return the replicas lost to a request, as far as is known here."""
        return sum(self._losses.get(suspect, {}).values())

    def is_quarantined(self, suspect: str) -> bool:
        """Whether no replica may be given the request any more."""
        return self.losses(suspect) >= MAX_LOSSES

    def _evict_oldest(self) -> None:
        while len(self._losses) > MAX_SUSPECTS:
            self._losses.popitem(last=False)


@define(kw_only=True, eq=False, repr=False)
class CrashEvidence:
    """
    What one request tells of itself while it runs.

    A request that was in flight when replicas crashed for another reason looks the
    same as their cause until one replica replies. So a fan-out is not sent again while
    other replicas may still reply; then one more replica is asked as proof. At most
    one shard loses a second replica to it.

    :ivar needs_proof: many replicas run the request at a time, so that losing some of
        them may be one event that it has nothing to do with.
    :ivar lost: replicas whose connection ended without a reply.
    :ivar replied: a replica has run the request and replied.
    :ivar probed: a replica was asked as proof.
    :ivar convicted: that replica was lost too.
    """

    needs_confirmation: bool
    lost: int = 0
    replied: bool = False
    confirmation_sent: bool = False
    confirmed: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether the request may not simply be sent to further replicas."""
        return self.lost > 0 and not self.replied

    @property
    def losses(self) -> int:
        """Return the losses that speak against the request."""
        if self.replied:
            return 0
        if self.needs_confirmation and not self.confirmed:
            return min(self.lost, MAX_LOSSES - 1)
        return self.lost

    def record_losses(self, count: int = 1) -> None:
        """Take in the loss of replicas."""
        self.lost += count
        if self.confirmation_sent and self.is_suspect and self.lost >= MAX_LOSSES:
            self.confirmed = True
