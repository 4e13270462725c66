"""Updates that wait to be pushed to peers."""

from typing import Any, Final

import anyio
from attrs import frozen

from bronzebeam.controllers.peer_messages import ConfigurationUpdate, TopicMessage
from bronzebeam.routing.membership_state import MemberRecord

MAX_WAITING_RECORDS: Final = 256
MAX_WAITING_PAYLOADS: Final = 64


@frozen(kw_only=True)
class PendingUpdates:
    """Updates taken from the outbox, to be sent in one push."""

    configuration: ConfigurationUpdate | None
    records: tuple[MemberRecord, ...]
    topics: tuple[TopicMessage, ...]


class UpdateOutbox:
    """
    Collects updates of all controllers until the next push.

    Updates above the limits are dropped: peers receive them by the periodic exchange.

    :ivar dropped: number of updates dropped.
    """

    def __init__(self) -> None:
        self._configuration: ConfigurationUpdate | None = None
        self._records: dict[str, MemberRecord] = {}
        self._topics: list[TopicMessage] = []
        self._waiting = anyio.Event()
        self.dropped = 0

    def add_configuration(self, update: ConfigurationUpdate) -> None:
        """Add a configuration update; only the newest is kept."""
        if (
            self._configuration is None
            or self._configuration.revision < update.revision
        ):
            self._configuration = update
        self._waiting.set()

    def add_records(self, records: tuple[MemberRecord, ...]) -> None:
        """Add changed membership records."""
        for record in records:
            is_waiting = record.instance in self._records
            if not is_waiting and len(self._records) >= MAX_WAITING_RECORDS:
                self.dropped += 1
                continue
            self._records[record.instance] = record
        if records:
            self._waiting.set()

    def add_topic(self, name: str, payload: Any) -> None:
        """Add a payload of a topic."""
        if len(self._topics) >= MAX_WAITING_PAYLOADS:
            self.dropped += 1
            return
        self._topics.append(TopicMessage(name=name, payload=payload))
        self._waiting.set()

    async def take(self) -> PendingUpdates:
        """Wait until there are updates, then remove and return all of them."""
        await self._waiting.wait()
        updates = PendingUpdates(
            configuration=self._configuration,
            records=tuple(self._records.values()),
            topics=tuple(self._topics),
        )
        self._configuration = None
        self._records = {}
        self._topics = []
        self._waiting = anyio.Event()
        return updates
