"""Messages that the configuration controller takes, and what it publishes."""

from dataclasses import dataclass
from typing import Any

import orjson
from attrs import evolve, frozen

from bronzebeam.controllers.document_difference import difference, json_checksum
from bronzebeam.controllers.peer_messages import MAX_CHANGES, ConfigurationUpdate
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.transport.store import StoredValue


@dataclass(frozen=True, kw_only=True)
class StoreRead:
    """What the store holds; None if the key is absent."""

    stored: StoredValue | None


@dataclass(frozen=True, kw_only=True)
class ConfigurationReceived:
    """A document's announcement pushed by the peer at `address`."""

    news: ConfigurationUpdate
    instance: str
    address: str


@dataclass(frozen=True, kw_only=True)
class PeerRevision:
    """Revision in force at a peer, as exchanged."""

    instance: str
    address: str
    revision: int
    content_hash: str


@dataclass(frozen=True, kw_only=True)
class StoreWatchStopped:
    """This entry ended to watch the store."""


ConfigurationMessage = (
    StoreRead | StoreWatchStopped | ConfigurationReceived | PeerRevision
)


@frozen(kw_only=True)
class CandidateDocument:
    """
    A document as read, with its JSON as received.

    Peers get the JSON as received: this release may know fewer or more members than
    the one that accepted the document, and the content hash is over what that wrote.
    """

    accepted: AcceptedDocument
    value: Any

    @property
    def revision(self) -> int:
        return self.accepted.revision


@frozen(kw_only=True)
class ConfigurationView:
    """
    The configuration in force, with what is known to be wrong around it.

    :ivar encoded: JSON of `current` as received, for peers; None without a document.
    :ivar store_older: the store, as watched here, holds an older revision or none in
        `OLDER_READS` reads in a row; one alone may have been overtaken by a push.
    :ivar split: another content is about under the revision in force.
    :ivar refused: the last document offered did not pass its check.
    """

    current: AcceptedDocument | None = None
    encoded: bytes | None = None
    store_older: bool = False
    split: bool = False
    refused: bool = False

    @property
    def revision(self) -> int:
        return 0 if self.current is None else self.current.revision

    @property
    def content_hash(self) -> str:
        return "" if self.current is None else self.current.content_hash


def build_update(
    before: ConfigurationView, offer: CandidateDocument
) -> ConfigurationUpdate:
    """Announce a document with its difference to the one in force, if it is small."""
    announcement = ConfigurationUpdate(
        revision=offer.revision, content_hash=offer.accepted.content_hash
    )
    if before.encoded is None:
        return announcement
    base = orjson.loads(before.encoded)
    changes = difference(base, offer.value)
    if len(changes) > MAX_CHANGES:
        return announcement
    return evolve(
        announcement,
        base_revision=before.revision,
        base_checksum=json_checksum(base),
        checksum=json_checksum(offer.value),
        changes=changes,
    )
