"""Which peers are left out of questions for a while, since they don't answer."""

from typing import Final

from attrs import define, field

# One message may be lost to a moment in which the peer has no processor time.
UNANSWERED_COUNT: Final = 2
MIN_SILENT_SECONDS: Final = 0.1  # doubles with each message
MAX_SILENT_SECONDS: Final = 1.0


@define(kw_only=True, eq=False)
class SilentPeers:
    """
    Peers that have left several messages in a row unanswered.

    Answers a peer that is cut off or paused: requests must not wait for it each time,
    but it must be found soon once it answers again.

    :ivar _unanswered: for each peer, the number of messages, and the time until which
        it is left out.
    """

    _unanswered: dict[str, tuple[int, float]] = field(factory=dict, init=False)

    def is_silent(self, name: str, now_seconds: float) -> bool:
        """Whether a peer is left out now."""
        unanswered = self._unanswered.get(name)
        return unanswered is not None and now_seconds < unanswered[1]

    def record_answer(self, name: str) -> None:
        """Record any answer of a peer, also a late one."""
        self._unanswered.pop(name, None)

    def record_unanswered(
        self, name: str, now_seconds: float, *, live_count: int
    ) -> None:
        """
        Record that a message was not answered in time.

        :param live_count: number of live instances, to forget those that are gone.
        """
        if len(self._unanswered) > 2 * live_count:
            self._unanswered.clear()
        count = 1 + self._unanswered.get(name, (0, 0.0))[0]
        until = 0.0
        if count >= UNANSWERED_COUNT:
            doubled = MIN_SILENT_SECONDS * 2.0 ** min(count - UNANSWERED_COUNT, 16)
            until = now_seconds + min(doubled, MAX_SILENT_SECONDS)
        self._unanswered[name] = (count, until)
