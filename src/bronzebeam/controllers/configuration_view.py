"""Messages that the configuration controller handles, and the view it publishes."""

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
    """The document's key was read from the store; `stored` is None if it is absent."""

    stored: StoredValue | None


@dataclass(frozen=True, kw_only=True)
class ConfigurationReceived:
    """The peer at `address` pushed a configuration update."""

    update: ConfigurationUpdate
    instance: str
    address: str


@dataclass(frozen=True, kw_only=True)
class PeerRevision:
    """Active revision of a peer, as received in an exchange."""

    instance: str
    address: str
    revision: int
    content_hash: str


@dataclass(frozen=True, kw_only=True)
class StoreWatchStopped:
    """This entry stopped watching the store."""


ConfigurationMessage = (
    StoreRead | StoreWatchStopped | ConfigurationReceived | PeerRevision
)


@frozen(kw_only=True)
class CandidateDocument:
    """
    A parsed document, with its JSON as received.

    Peers are sent the JSON as received, not the parsed form written out again: this
    release may know fewer or more fields than the release that accepted the document,
    and the content hash covers the JSON which that release wrote.
    """

    accepted: AcceptedDocument
    value: Any

    @property
    def revision(self) -> int:
        return self.accepted.revision


@frozen(kw_only=True)
class ConfigurationView:
    """
    The active configuration, with the problems that are known about it.

    :ivar encoded: JSON of `current` as received, for peers; None without a document.
    :ivar store_older: whether the store, if watched here, returned an older revision
        or none in `OLDER_READS_BEFORE_ALERT` reads in a row. A single such read may
        only mean that a push arrived before the store's reply.
    :ivar split: whether another document with the active revision was seen.
    :ivar refused: whether the last document received failed its check.
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
    before: ConfigurationView, candidate: CandidateDocument
) -> ConfigurationUpdate:
    """
    Build the update that announces a document to peers.

    It contains the changes from the active document unless there are too many.
    """
    announcement = ConfigurationUpdate(
        revision=candidate.revision, content_hash=candidate.accepted.content_hash
    )
    if before.encoded is None:
        return announcement
    base = orjson.loads(before.encoded)
    changes = difference(base, candidate.value)
    if len(changes) > MAX_CHANGES:
        return announcement
    return evolve(
        announcement,
        base_revision=before.revision,
        base_checksum=json_checksum(base),
        checksum=json_checksum(candidate.value),
        changes=changes,
    )
