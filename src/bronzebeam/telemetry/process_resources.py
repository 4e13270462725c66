"""Memory and file descriptors that the process uses, and its limits on them."""

import errno
import math
import os
import resource
from typing import Final

from attrs import define, field

from bronzebeam.telemetry.decisions import DecisionLog

MEMORY_PATH: Final = "/proc/self/statm"
DESCRIPTORS_PATH: Final = "/proc/self/fd"
# Above this share of a limit, little is left for a burst.
SCARCE_SHARE: Final = 0.8
# Prevents a line at each check of a use that stays near the share.
PLENTY_SHARE: Final = 0.7


def resident_bytes() -> int | None:
    """Return the resident memory of the process; None if it is unknown."""
    try:
        with open(MEMORY_PATH, "rb") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        # Not every system has these files.
        return None


def open_descriptors() -> int | None:
    """Return the number of open file descriptors; None if it is unknown."""
    try:
        return len(os.listdir(DESCRIPTORS_PATH)) - 1  # without that of the listing
    except OSError as error:
        if error.errno != errno.EMFILE:
            return None
        limit = descriptor_limit()
        return None if limit == math.inf else int(limit)


def descriptor_limit() -> float:
    """Return the operating system's limit on open file descriptors."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return math.inf if limit == resource.RLIM_INFINITY else limit


@define(kw_only=True, eq=False, repr=False)
class ProcessResources:
    """
    Logs when little is left of the memory or the descriptors.

    :ivar max_bytes: limit on resident memory; 0 if there is none.
    :ivar max_descriptors: limit of the platform on descriptors; 0 if there is none.
    """

    log: DecisionLog
    max_bytes: float = 0.0
    max_descriptors: int = 0
    _scarce: set[str] = field(factory=set)

    @property
    def allowed_descriptors(self) -> float:
        """Return the lower of the two limits on descriptors; infinite without one."""
        limit = descriptor_limit()
        return min(limit, self.max_descriptors) if self.max_descriptors else limit

    def check_memory(self, *, unfinished_reply_bytes: int = 0) -> None:
        """
        Compare the memory with its limit; to be called several times a second.

        :param unfinished_reply_bytes: logged beside the memory that is used.
        """
        self._compare(
            "memory_bytes",
            resident_bytes(),
            self.max_bytes,
            unfinished_reply_bytes=unfinished_reply_bytes,
        )

    def check_descriptors(self) -> None:
        """Compare the descriptors with the limit; to be called every few seconds."""
        self._compare("descriptors", open_descriptors(), self.allowed_descriptors)

    def _compare(
        self, name: str, used: int | None, limit: float, **details: int
    ) -> None:
        if used is None or limit <= 0 or limit == math.inf:
            return
        if used > SCARCE_SHARE * limit and name not in self._scarce:
            self._scarce.add(name)
            self.log.event(
                "resource_scarce", resource=name, used=used, limit=limit, **details
            )
        elif used < PLENTY_SHARE * limit and name in self._scarce:
            self._scarce.discard(name)
            self.log.event(
                "resource_available", resource=name, used=used, limit=limit, **details
            )
