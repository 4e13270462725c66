"""Controller of the active configuration document; its revision never decreases."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

import anyio
import orjson
from attrs import evolve

from bronzebeam.clock import Clock
from bronzebeam.controllers.base import Controller
from bronzebeam.controllers.configuration_view import (
    CandidateDocument,
    ConfigurationMessage,
    ConfigurationReceived,
    ConfigurationView,
    PeerRevision,
    StoreRead,
    StoreWatchStopped,
    build_update,
)
from bronzebeam.controllers.document_difference import apply_changes, json_checksum
from bronzebeam.controllers.membership import MembershipController, PeerUnreachable
from bronzebeam.controllers.peer_messages import ConfigurationUpdate
from bronzebeam.controllers.readiness import Readiness, decide_readiness
from bronzebeam.controllers.store_watch import StoreWatch
from bronzebeam.controllers.update_outbox import UpdateOutbox
from bronzebeam.documents.model import DOCUMENT_KEY_PREFIX, AcceptedDocument
from bronzebeam.findings import FindingsError
from bronzebeam.routing.membership_state import MemberState
from bronzebeam.transport.peer import PeerClient, PeerUnavailable
from bronzebeam.transport.store import Store, StoredValue

ISOLATION_BEFORE_WATCH_SECONDS: Final = 3.0
OLDER_READS_BEFORE_ALERT: Final = 2
REFUSED_RETRY_INTERVAL_SECONDS: Final = 60.0

ReadDocument = Callable[[Any], AcceptedDocument]


__all__ = [
    "ConfigurationController",
    "ConfigurationView",
    "ConfigurationReceived",
    "PeerRevision",
    "Readiness",
]


class ConfigurationController(Controller[ConfigurationMessage]):
    """
    Owns the accepted document that is active on this entry.

    Of two documents the one with the higher revision wins. If two with the same
    revision differ, the active one stays, and `split` is set until a higher revision
    becomes active.

    :ivar environment: environment that the document belongs to.
    :param read_document: parses the JSON form; raises `FindingsError`.
    """

    def __init__(
        self,
        *,
        environment: str,
        store: Store,
        peers: PeerClient,
        membership: MembershipController,
        outbox: UpdateOutbox,
        read_document: ReadDocument,
        clock: Clock,
        rng: Random,
        log: Callable[..., None] = lambda *args, **fields: None,
    ) -> None:
        super().__init__()
        self.environment = environment
        self._peers = peers
        self._membership = membership
        self._outbox = outbox
        self._read_document = read_document
        self._clock = clock
        self._log = log
        self._view = ConfigurationView()
        self._older_reads = 0
        self._refused_hash = ""
        self._refused_at_seconds = 0.0
        self._started_at_seconds: float | None = None
        self.store_watch = StoreWatch(
            store=store,
            key=DOCUMENT_KEY_PREFIX + environment,
            should_watch=self.should_watch,
            on_value=lambda stored: self.post(StoreRead(stored=stored)),
            on_stop=lambda: self.post(StoreWatchStopped()),
            clock=clock,
            rng=rng,
            log=log,
        )

    @property
    def view(self) -> ConfigurationView:
        return self._view

    @property
    def store_failing(self) -> bool:
        """Return whether this entry watches the store and its last call failed."""
        return self.store_watch.failing

    def should_watch(self) -> bool:
        """
        Return whether this entry should watch the store.

        It should if it is among the chosen watchers, or if no peer has been in contact
        for `ISOLATION_BEFORE_WATCH_SECONDS`.
        """
        membership = self._membership.view
        if membership.own.instance in membership.watchers:
            return True
        return self._seconds_without_peers() > ISOLATION_BEFORE_WATCH_SECONDS

    def readiness(self) -> Readiness:
        """Return whether this entry should accept callers' requests, and why not."""
        membership = self._membership.view
        return decide_readiness(
            revision=self._view.revision,
            leaving=membership.own.state != MemberState.LIVE,
            has_peers=bool(membership.peers),
            seconds_without_peers=self._seconds_without_peers(),
            seconds_without_store=self._seconds_since(
                self.store_watch.last_answer_seconds
            ),
        )

    async def run(self) -> None:
        """Handle messages and, if chosen as a watcher, watch the store."""
        self._started_at_seconds = self._clock.monotonic_seconds()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            tasks.start_soon(self.store_watch.run)

    async def handle(self, message: ConfigurationMessage) -> None:
        """Apply one message to the state."""
        if isinstance(message, StoreRead):
            self._apply_store_read(message.stored)
        elif isinstance(message, StoreWatchStopped):
            self._older_reads = 0
            self._view = evolve(self._view, store_older=False)
        elif isinstance(message, ConfigurationReceived):
            await self._handle_update(message)
        else:
            await self._handle_peer_revision(message)

    def _seconds_without_peers(self) -> float:
        return self._seconds_since(self._membership.last_contact_seconds)

    def _seconds_since(self, moment: float | None) -> float:
        start = self._started_at_seconds if moment is None else moment
        return 0.0 if start is None else self._clock.monotonic_seconds() - start

    def _apply_store_read(self, stored: StoredValue | None) -> None:
        if stored is None:
            self._record_store_revision(0)
            return
        candidate = self._check_document(stored.value, "store")
        if candidate is None:
            return
        self._record_store_revision(candidate.revision)
        self._check_split(candidate.revision, candidate.accepted.content_hash, "store")
        self._activate(candidate, "store")

    def _record_store_revision(self, revision: int) -> None:
        is_older = revision < self._view.revision
        self._older_reads = self._older_reads + 1 if is_older else 0
        older = self._older_reads >= OLDER_READS_BEFORE_ALERT
        if older and not self._view.store_older:
            self._log(
                "store_older",
                store_revision=revision,
                kept_revision=self._view.revision,
            )
        self._view = evolve(self._view, store_older=older)

    def _check_split(self, revision: int, content_hash: str, source: str) -> None:
        if not revision or revision != self._view.revision or self._view.split:
            return
        # Exchanges contain only a prefix of the hash.
        if content_hash and self._view.content_hash.startswith(content_hash):
            return
        self._log(
            "configuration_split",
            revision=revision,
            kept_hash=self._view.content_hash,
            other_hash=content_hash,
            source=source,
        )
        self._view = evolve(self._view, split=True)

    async def _handle_update(self, message: ConfigurationReceived) -> None:
        update = message.update
        peer = PeerRevision(
            instance=message.instance,
            address=message.address,
            revision=update.revision,
            content_hash=update.content_hash,
        )
        self._check_split(peer.revision, peer.content_hash, peer.instance)
        if not self._should_fetch(peer):
            return
        candidate = self._apply_update_changes(update)
        if candidate is None:
            candidate = await self._fetch_from_peer(peer)
        if candidate is not None:
            self._activate(candidate, message.instance, update)

    async def _handle_peer_revision(self, message: PeerRevision) -> None:
        self._check_split(message.revision, message.content_hash, message.instance)
        if not self._should_fetch(message):
            return
        candidate = await self._fetch_from_peer(message)
        if candidate is not None:
            self._activate(candidate, message.instance)

    def _apply_update_changes(
        self, update: ConfigurationUpdate
    ) -> CandidateDocument | None:
        """Apply the update's changes to the active document; None if they don't fit."""
        encoded = self._view.encoded
        if encoded is None or update.base_revision != self._view.revision:
            return None
        base = orjson.loads(encoded)
        if json_checksum(base) != update.base_checksum:
            return None
        try:
            value = apply_changes(base, update.changes, update.checksum)
        except FindingsError as error:
            self._log("difference_refused", revision=update.revision, error=str(error))
            return None
        candidate = self._check_document(value, "difference")
        return (
            candidate if candidate and candidate.revision == update.revision else None
        )

    def _should_fetch(self, peer: PeerRevision) -> bool:
        """Return whether a peer's document is newer and was not refused recently."""
        if peer.revision <= self._view.revision:
            return False
        if self._refused_hash != peer.content_hash:
            return True
        return (
            self._seconds_since(self._refused_at_seconds)
            >= REFUSED_RETRY_INTERVAL_SECONDS
        )

    async def _fetch_from_peer(self, peer: PeerRevision) -> CandidateDocument | None:
        try:
            value = await self._peers.fetch_document(address=peer.address)
        except PeerUnavailable as error:
            self._membership.post(PeerUnreachable(instance=peer.instance))
            self._log("document_fetch_failed", instance=peer.instance, error=str(error))
            return None
        if value is None:
            return None
        candidate = self._check_document(value, peer.instance)
        if candidate is None:
            self._refused_hash = peer.content_hash
            self._refused_at_seconds = self._clock.monotonic_seconds()
        return candidate

    def _check_document(self, value: Any, source: str) -> CandidateDocument | None:
        try:
            accepted = self._read_document(value)
        except FindingsError as error:
            self._record_refusal(source, str(error))
            return None
        if accepted.document.environment != self.environment:
            self._record_refusal(source, "belongs to another environment")
            return None
        return CandidateDocument(accepted=accepted, value=value)

    def _record_refusal(self, source: str, reason: str) -> None:
        if not self._view.refused:
            self._log("document_refused", source=source, reason=reason)
        self._view = evolve(self._view, refused=True)

    def _activate(
        self,
        candidate: CandidateDocument,
        source: str,
        update: ConfigurationUpdate | None = None,
    ) -> None:
        """Make the document active if it is newer, and push it to the peers."""
        before = self._view
        if candidate.revision <= before.revision:
            return
        if update is None or update.revision != candidate.revision:
            update = build_update(before, candidate)
        self._view = ConfigurationView(
            current=candidate.accepted, encoded=orjson.dumps(candidate.value)
        )
        self._log(
            "configuration_in_force",
            revision=candidate.revision,
            content_hash=candidate.accepted.content_hash,
            source=source,
        )
        self._outbox.add_configuration(update)
