"""Detection of requests that crash every backend server that runs them."""

import hashlib
from collections import OrderedDict
from typing import Final

from attrs import define, field

MAX_LOSSES: Final = 3  # replicas that a request may crash before it is quarantined
# The longest lease that the store grants; by then the replicas should be fixed.
QUARANTINE_SECONDS: Final = 600.0
MAX_SUSPECTS: Final = 4_096  # bounds the memory; the oldest are dropped
FINGERPRINT_BYTES: Final = 12  # collisions are negligible among so few suspects


def fingerprint(*, host: bytes, target: bytes, body: bytes) -> str:
    """Return a digest of a request; identical requests have the same digest."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (host, target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


@define(kw_only=True, eq=False, repr=False)
class CrashSuspects:
    """
    Replicas lost while running each suspect request, as counted by all instances.

    Protects against a request that crashes every replica that runs it and is sent
    again and again. Only requests without any reply are reported, so a request that
    was in flight during another request's crash is no longer suspected once a later
    attempt is answered.
    """

    _losses: OrderedDict[str, dict[str, int]] = field(factory=OrderedDict)

    def __bool__(self) -> bool:
        return bool(self._losses)

    def record_losses(self, suspect: str, *, instance: str, losses: int) -> int:
        """
        Add to the losses that an instance has seen.

        :return: total of the losses that this instance has seen for the request.
        """
        seen = self._losses.setdefault(suspect, {})
        seen[instance] = seen.get(instance, 0) + losses
        self._evict_oldest()
        return seen[instance]

    def apply_report(self, suspect: str, *, instance: str, losses: int) -> None:
        """Apply an instance's report of its total losses for a request."""
        seen = self._losses.setdefault(suspect, {})
        seen[instance] = max(losses, seen.get(instance, 0))
        self._evict_oldest()

    def remove_report(self, suspect: str, *, instance: str) -> None:
        """Remove an instance's report that has expired."""
        seen = self._losses.get(suspect)
        if seen is not None:
            seen.pop(instance, None)
            if not seen:
                del self._losses[suspect]

    def losses(self, suspect: str) -> int:
        """Return the number of replicas known to be lost to a request."""
        return sum(self._losses.get(suspect, {}).values())

    def is_quarantined(self, suspect: str) -> bool:
        """Whether the request must not be sent to any replica."""
        return self.losses(suspect) >= MAX_LOSSES

    def _evict_oldest(self) -> None:
        while len(self._losses) > MAX_SUSPECTS:
            self._losses.popitem(last=False)


@define(kw_only=True, eq=False, repr=False)
class CrashEvidence:
    """
    Evidence that one running request crashes replicas.

    If replicas crash for another reason while a request is in flight on them, the
    request can't be told apart from the cause until one replica replies. So a fan-out
    is not repeated while other replicas may still reply; after that it is sent to one
    more replica for confirmation. At most one shard loses a second replica this way.

    :ivar needs_confirmation: many replicas run the request at the same time, so the
        loss of several may be a single event with another cause.
    :ivar lost: replicas whose connection ended without a reply.
    :ivar replied: a replica has run the request and replied.
    :ivar confirmation_sent: the request was sent to one more replica for confirmation.
    :ivar confirmed: that replica was lost too.
    """

    needs_confirmation: bool
    lost: int = 0
    replied: bool = False
    confirmation_sent: bool = False
    confirmed: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether the request must not be repeated without confirmation."""
        return self.lost > 0 and not self.replied

    @property
    def losses(self) -> int:
        """Return the number of losses attributed to the request."""
        return self.losses_without(0)

    def losses_without(self, survived: int) -> int:
        """
        Return the number of losses attributed to the request.

        :param survived: number of lost replicas that are known to live on.
        """
        if self.replied:
            return 0
        crashed = max(0, self.lost - survived)
        if self.needs_confirmation and not self.confirmed:
            return min(crashed, MAX_LOSSES - 1)
        return crashed

    def record_losses(self, count: int = 1) -> None:
        """Record the loss of replicas."""
        self.lost += count
        if self.confirmation_sent and self.is_suspect and self.lost >= MAX_LOSSES:
            self.confirmed = True
