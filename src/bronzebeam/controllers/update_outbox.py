"""News waiting to be pushed to peers."""

from typing import Any, Final

import anyio
from attrs import frozen

from bronzebeam.controllers.peer_messages import ConfigurationUpdate, TopicMessage
from bronzebeam.routing.membership_state import MemberRecord

MAX_WAITING_RECORDS: Final = 256
MAX_WAITING_PAYLOADS: Final = 64


@frozen(kw_only=True)
class PendingUpdates:
    """News taken from the outbox, to go into one push."""

    configuration: ConfigurationUpdate | None
    records: tuple[MemberRecord, ...]
    topics: tuple[TopicMessage, ...]


class UpdateOutbox:
    """
    Collects news of all controllers until the next push.

    What exceeds the bounds is dropped; the exchange of revisions repairs it.
    """

    def __init__(self) -> None:
        self._configuration: ConfigurationUpdate | None = None
        self._records: dict[str, MemberRecord] = {}
        self._topics: list[TopicMessage] = []
        self._waiting = anyio.Event()
        self.dropped = 0

    def add_configuration(self, news: ConfigurationUpdate) -> None:
        """Add a document's announcement; a newer one replaces it."""
        if self._configuration is None or self._configuration.revision < news.revision:
            self._configuration = news
        self._waiting.set()

    def add_records(self, records: tuple[MemberRecord, ...]) -> None:
        """Add changed membership records."""
        for record in records:
            if len(self._records) >= MAX_WAITING_RECORDS:
                self.dropped += 1
                continue
            self._records[record.instance] = record
        if records:
            self._waiting.set()

    def add_topic(self, name: str, payload: Any) -> None:
        """Add a topic's payload."""
        if len(self._topics) >= MAX_WAITING_PAYLOADS:
            self.dropped += 1
            return
        self._topics.append(TopicMessage(name=name, payload=payload))
        self._waiting.set()

    async def take(self) -> PendingUpdates:
        """Wait for news and take all there are."""
        await self._waiting.wait()
        news = PendingUpdates(
            configuration=self._configuration,
            records=tuple(self._records.values()),
            topics=tuple(self._topics),
        )
        self._configuration = None
        self._records = {}
        self._topics = []
        self._waiting = anyio.Event()
        return news
