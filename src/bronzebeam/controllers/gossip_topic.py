"""Further news that entries exchange, opaque to the exchange itself."""

from typing import Any, Protocol

import orjson
from attrs import frozen


class GossipTopic(Protocol):
    """
    Versioned items that merge in any order; bounded in number by the topic.

    All values are JSON values.
    """

    def digest(self) -> Any:
        """Return what is held, in a short form."""

    def delta(self, since: Any) -> Any:
        """Return items that the holder of the digest `since` lacks; None if none."""

    def merge(self, payload: Any) -> bool:
        """
        Merge items of a peer; tell whether any was news.

        :raises FindingsError: if `payload` is malformed.
        """


@frozen(kw_only=True)
class TopicSpec:
    """
    A topic and its bounds.

    :ivar pushed: whether its news is pushed at once; else it is only exchanged.
    :ivar most_bytes: largest payload or digest sent or taken, once encoded.
    """

    name: str
    topic: GossipTopic
    pushed: bool
    max_bytes: int

    def fits(self, value: Any) -> bool:
        """Tell whether `value` is within `most_bytes` and not nested too deep."""
        try:
            return len(orjson.dumps(value)) <= self.max_bytes
        except orjson.JSONEncodeError:
            return False
