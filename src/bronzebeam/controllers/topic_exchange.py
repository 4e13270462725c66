"""Digests and payloads of topics in gossip messages, within their size limits."""

from collections.abc import Callable, Sequence
from typing import Any

from bronzebeam.controllers.gossip_topic import TopicSpec
from bronzebeam.controllers.peer_messages import TopicMessage
from bronzebeam.findings import FindingsError


class TopicExchange:
    """
    Builds and merges the topic parts of gossip messages.

    :ivar dropped: number of payloads and digests dropped because they were malformed
        or above their topic's size limit.
    """

    def __init__(
        self, *, topics: Sequence[TopicSpec], log: Callable[..., None]
    ) -> None:
        self._topics = {item.name: item for item in topics}
        self._log = log
        self.dropped = 0

    def spec(self, name: str) -> TopicSpec | None:
        """Return the topic named `name`; None if there is none."""
        return self._topics.get(name)

    def digests(self) -> tuple[TopicMessage, ...]:
        """Return the digest of each topic."""
        return tuple(
            TopicMessage(name=spec.name, digest=spec.topic.digest())
            for spec in self._topics.values()
        )

    def replies(self, received: Sequence[TopicMessage]) -> tuple[TopicMessage, ...]:
        """Return the digest of each received topic, and the items its sender lacks."""
        return tuple(
            TopicMessage(
                name=spec.name,
                digest=spec.topic.digest(),
                payload=self._build_delta(spec, item.digest),
            )
            for item in received
            if (spec := self._topics.get(item.name)) is not None
        )

    def missing_updates(
        self, received: Sequence[TopicMessage]
    ) -> tuple[TopicMessage, ...]:
        """Return only the items that the sender of `received` lacks."""
        known = [(item, self._topics.get(item.name)) for item in received]
        deltas = (
            TopicMessage(name=item.name, payload=self._build_delta(spec, item.digest))
            for item, spec in known
            if spec is not None and item.digest is not None
        )
        return tuple(item for item in deltas if item.payload is not None)

    def merge(self, received: TopicMessage) -> bool:
        """Merge a payload; return whether any of its items was new."""
        spec = self._topics.get(received.name)
        if spec is None or received.payload is None:
            return False
        if not spec.fits(received.payload):
            self._drop(spec.name, "too large")
            return False
        try:
            return spec.topic.merge(received.payload)
        except FindingsError as error:
            self._drop(spec.name, str(error))
            return False

    def _build_delta(self, spec: TopicSpec, digest: Any) -> Any:
        if not spec.fits(digest):
            self._drop(spec.name, "digest too large")
            return None
        try:
            payload = spec.topic.delta(digest)
        except FindingsError as error:
            self._drop(spec.name, str(error))
            return None
        if payload is not None and not spec.fits(payload):
            self._drop(spec.name, "too large")
            return None
        return payload

    def _drop(self, name: str, reason: str) -> None:
        self.dropped += 1
        self._log("topic_dropped", topic=name, reason=reason)
