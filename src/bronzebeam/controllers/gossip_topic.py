"""Topics: replicated data that entries exchange, opaque to the gossip itself."""

from typing import Any, Protocol

import orjson
from attrs import frozen


class GossipTopic(Protocol):
    """
    Versioned items that can be merged in any order.

    The topic limits their number. Digests and payloads are JSON values.
    """

    def digest(self) -> Any:
        """Return a short summary of the stored items."""

    def delta(self, since: Any) -> Any:
        """Return items that a peer with the digest `since` lacks; None if none."""

    def merge(self, payload: Any) -> bool:
        """
        Merge items of a peer; return whether any was new.

        :raises FindingsError: if `payload` is malformed.
        """


@frozen(kw_only=True)
class TopicSpec:
    """
    A topic and its limits.

    :ivar pushed: whether new items are pushed at once, not only exchanged.
    :ivar max_bytes: maximum encoded size of a payload or digest, sent or received.
    """

    name: str
    topic: GossipTopic
    pushed: bool
    max_bytes: int

    def fits(self, value: Any) -> bool:
        """Return whether `value` is within `max_bytes` and not nested too deeply."""
        try:
            return len(orjson.dumps(value)) <= self.max_bytes
        except orjson.JSONEncodeError:
            return False
