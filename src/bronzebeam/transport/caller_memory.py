"""Memory for what callers send, and for responses that they do not read."""

from typing import Final, Protocol

from attrs import define, field

MAX_ALL_UNREAD_BYTES: Final = 48 * 1024 * 1024
# Requests of all connections that are received, or wait or are handled.
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
# Of the memory that the process may use, if that makes the two limits lower.
RECEIVED_SHARE: Final = 0.2
UNREAD_SHARE: Final = 0.15
SMALL_BODY_BYTES: Final = 16 * 1024  # received also if others use the memory
# Never refused for lack of memory: a request without a body is smaller.
MIN_REFUSED_BYTES: Final = 4 * 1024
# Room that is made at a time, since to find the largest requests takes time.
FREED_SHARE: Final = 0.1


class MemoryUser(Protocol):
    """A connection that receives requests and sends responses."""

    @property
    def receiving_bytes(self) -> int:
        """Return the memory of what is received and not handled yet."""

    @property
    def unread_bytes(self) -> int:
        """Return how much of the responses the operating system has not taken."""

    def refuse_for_memory(self) -> None:
        """Refuse what is being received, and release its memory."""

    def abort(self) -> None:
        """Close the connection now."""


@define(kw_only=True, eq=False, repr=False)
class CallerMemory:
    """
    Limits the memory that all connections to a process use together.

    If too much is received, the largest requests are refused. So a connection whose
    share is below the average of all is never refused.

    :ivar received_bytes: of requests that are received, or wait or are handled.
    :ivar users: all open connections.
    :ivar unread: connections whose callers do not read fast enough, the longest first.
    :ivar refused_count: requests refused because too much was received.
    :ivar unread_closed_count: connections closed because too much was unread.
    """

    max_received_bytes: int = MAX_BODY_BYTES
    max_unread_bytes: int = MAX_ALL_UNREAD_BYTES
    received_bytes: int = 0
    users: set[MemoryUser] = field(factory=set)
    unread: dict[MemoryUser, None] = field(factory=dict)
    refused_count: int = 0
    unread_closed_count: int = 0
    _searched_at_bytes: int = 0

    @classmethod
    def for_process(cls, memory_limit_bytes: float) -> "CallerMemory":
        """Return the limits of a process; `memory_limit_bytes` is 0 without one."""
        if not memory_limit_bytes:
            return cls()
        return cls(
            max_received_bytes=min(
                MAX_BODY_BYTES, int(RECEIVED_SHARE * memory_limit_bytes)
            ),
            max_unread_bytes=min(
                MAX_ALL_UNREAD_BYTES, int(UNREAD_SHARE * memory_limit_bytes)
            ),
        )

    def add_received(self, user: MemoryUser, change_bytes: int) -> None:
        """Count what `user` holds more, or less; refuse requests if it is too much."""
        self.received_bytes += change_bytes
        if self.received_bytes <= self.max_received_bytes:
            self._searched_at_bytes = 0
        elif change_bytes > 0:
            self._limit_received(user)

    def _limit_received(self, user: MemoryUser) -> None:
        freed_bytes = int(FREED_SHARE * self.max_received_bytes)
        if user.receiving_bytes > SMALL_BODY_BYTES:
            self._refuse(user)
        elif self.received_bytes >= self._searched_at_bytes:
            for largest in sorted(
                (item for item in self.users if _is_refusable(item)),
                key=lambda item: item.receiving_bytes,
                reverse=True,
            ):
                if self.received_bytes <= self.max_received_bytes - freed_bytes:
                    break
                self._refuse(largest)
            self._searched_at_bytes = self.received_bytes + freed_bytes

    def limit_unread(self) -> None:
        """Close the connections that are unread for longest if all take too much."""
        unread_bytes = sum(item.unread_bytes for item in self.unread)
        for user in list(self.unread):
            if unread_bytes <= self.max_unread_bytes:
                break
            unread_bytes -= user.unread_bytes
            self.unread_closed_count += 1
            user.abort()

    def _refuse(self, user: MemoryUser) -> None:
        self.refused_count += 1
        user.refuse_for_memory()


def _is_refusable(user: MemoryUser) -> bool:
    return user.receiving_bytes > MIN_REFUSED_BYTES
