"""Gossip between entry instances: periodic exchanges and pushes of updates."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final

import anyio

from bronzebeam.controllers.base import Controller
from bronzebeam.controllers.configuration import (
    ConfigurationController,
    ConfigurationReceived,
    PeerRevision,
)
from bronzebeam.controllers.gossip_topic import GossipTopic, TopicSpec
from bronzebeam.controllers.membership import (
    MembershipController,
    PeerReached,
    PeerUnreachable,
    RecordsReceived,
    StoreUnreachableFrom,
)
from bronzebeam.controllers.peer_messages import Exchange, Push, PushReply, TopicMessage
from bronzebeam.controllers.topic_exchange import TopicExchange
from bronzebeam.controllers.update_outbox import PendingUpdates, UpdateOutbox
from bronzebeam.routing.dissemination import (
    choose_exchange_peer,
    exchange_interval_seconds,
    jittered,
    next_push_target,
)
from bronzebeam.routing.membership_state import MemberRecord, bucket_of
from bronzebeam.transport.peer import PeerClient, PeerUnavailable

__all__ = ["GossipController", "GossipTopic", "TopicSpec", "TopicsReceived"]

INITIAL_EXCHANGE_INTERVAL_SECONDS: Final = 0.25
HASH_PREFIX_CHARACTERS: Final = 16
MAX_PUSHES_IN_FLIGHT: Final = 4


@dataclass(frozen=True, kw_only=True)
class TopicsReceived:
    """
    Topic payloads from a peer.

    :ivar pushed: whether they came in a push, so that new items are pushed on.
    """

    topics: tuple[TopicMessage, ...]
    pushed: bool


class GossipController(Controller[TopicsReceived]):
    """
    Exchanges state with one peer at a time and pushes updates to several at once.

    A push spreads an update fast. The periodic exchange compares digests with a peer
    and repairs what pushes have missed.

    The peer protocol's server calls `handle_exchange` and `handle_push`, which read
    published values and post messages to the controllers.

    :param topics: other replicated data; only this controller calls their `merge`.
    :ivar exchanges: number of exchanges started.
    :ivar pushes: number of pushes sent, including those without a reply.
    """

    def __init__(
        self,
        *,
        membership: MembershipController,
        configuration: ConfigurationController,
        peers: PeerClient,
        outbox: UpdateOutbox,
        rng: Random,
        topics: Sequence[TopicSpec] = (),
        log: Callable[..., None] = lambda *args, **fields: None,
    ) -> None:
        super().__init__()
        self._membership = membership
        self._configuration = configuration
        self._peers = peers
        self._outbox = outbox
        self._rng = rng
        self._topics = TopicExchange(topics=topics, log=log)
        self._exchange_attempts = 0
        self._push_slots = anyio.Semaphore(MAX_PUSHES_IN_FLIGHT)
        self.exchanges = 0
        self.pushes = 0

    async def run(self) -> None:
        """Exchange, push and merge until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            tasks.start_soon(self._exchange_repeatedly)
            tasks.start_soon(self._push_repeatedly)

    async def handle(self, message: TopicsReceived) -> None:
        """Merge topic payloads, and push on those with new items."""
        for received in message.topics:
            spec = self._topics.spec(received.name)
            new = self._topics.merge(received)
            if new and message.pushed and spec is not None and spec.pushed:
                self._outbox.add_topic(spec.name, received.payload)

    def publish(self, name: str, payload: Any) -> None:
        """
        Push new items of the topic `name`, which already has them stored.

        A payload above the topic's size limit is left to the exchange.
        """
        spec = self._topics.spec(name)
        if spec is not None and spec.fits(payload):
            self._outbox.add_topic(name, payload)

    def handle_exchange(self, message: Exchange) -> Exchange:
        """Handle the exchange message of a peer and return the reply."""
        self._dispatch_exchange(message)
        members = self._membership.view
        digest = members.plan.digest
        if message.buckets:
            return self._build_exchange(
                records=self._records_in_buckets(digest.differing(message.buckets)),
                topics=self._topics.replies(message.topics),
            )
        digests_match = message.records_digest == digest.whole
        return self._build_exchange(
            buckets=() if digests_match else digest.buckets,
            topics=self._topics.replies(message.topics),
        )

    def handle_push(self, message: Push) -> PushReply:
        """Handle a push of a peer and return the reply."""
        revision = self._configuration.view.revision
        sender = message.sender
        self._membership.post(PeerReached(instance=sender.instance))
        self._membership.post(
            RecordsReceived(records=(sender, *message.records), pushed=True)
        )
        if message.configuration is not None:
            self._configuration.post(
                ConfigurationReceived(
                    update=message.configuration,
                    instance=sender.instance,
                    address=sender.peer_address,
                )
            )
        if message.topics:
            self.post(TopicsReceived(topics=message.topics, pushed=True))
        return PushReply(instance=self._membership.view.own.instance, revision=revision)

    async def _exchange_repeatedly(self) -> None:
        while True:
            reached = await self._exchange_once()
            members = len(self._membership.view.members)
            interval_seconds = exchange_interval_seconds(members)
            if not reached and self._membership.last_contact_seconds is None:
                interval_seconds = INITIAL_EXCHANGE_INTERVAL_SECONDS
            await anyio.sleep(jittered(interval_seconds, self._rng))

    async def _exchange_once(self) -> bool:
        view = self._membership.view
        peer = choose_exchange_peer(
            peers=view.peers,
            priority_peers=view.monitored_peers,
            suspected=view.suspected,
            turn=self._exchange_attempts,
            rng=self._rng,
        )
        self._exchange_attempts += 1
        address = None if peer is None else view.address_of(peer)
        if peer is None or address is None:
            return False
        try:
            await self._exchange_with(address)
        except PeerUnavailable:
            self._membership.post(PeerUnreachable(instance=peer))
            return False
        return True

    async def _exchange_with(self, address: str) -> None:
        self.exchanges += 1
        reply = await self._peers.exchange(
            address=address, message=self._build_exchange()
        )
        self._dispatch_exchange(reply)
        topics = self._topics.missing_updates(reply.topics)
        if not reply.buckets and not topics:
            return
        digest = self._membership.view.plan.digest
        differing = digest.differing(reply.buckets) if reply.buckets else frozenset()
        second_reply = await self._peers.exchange(
            address=address,
            message=self._build_exchange(
                buckets=digest.buckets if differing else (),
                records=self._records_in_buckets(differing),
                topics=topics,
            ),
        )
        self._dispatch_exchange(second_reply)

    def _build_exchange(
        self,
        *,
        buckets: tuple[str, ...] = (),
        records: tuple[MemberRecord, ...] = (),
        topics: tuple[TopicMessage, ...] | None = None,
    ) -> Exchange:
        members = self._membership.view
        configuration = self._configuration.view
        return Exchange(
            sender=members.own,
            revision=configuration.revision,
            content_hash=configuration.content_hash[:HASH_PREFIX_CHARACTERS],
            store_failing=self._configuration.store_failing,
            records_digest=members.plan.digest.whole,
            buckets=buckets,
            records=records,
            topics=self._topics.digests() if topics is None else topics,
        )

    def _dispatch_exchange(self, message: Exchange) -> None:
        """Post the parts of an exchange message to the controllers that own them."""
        sender = message.sender
        self._membership.post(PeerReached(instance=sender.instance))
        self._membership.post(
            RecordsReceived(records=(sender, *message.records), pushed=False)
        )
        if message.store_failing:
            self._membership.post(StoreUnreachableFrom(instance=sender.instance))
        self._configuration.post(
            PeerRevision(
                instance=sender.instance,
                address=sender.peer_address,
                revision=message.revision,
                content_hash=message.content_hash,
            )
        )
        if any(item.payload is not None for item in message.topics):
            self.post(TopicsReceived(topics=message.topics, pushed=False))

    def _records_in_buckets(self, buckets: frozenset[int]) -> tuple[MemberRecord, ...]:
        records = self._membership.view.records
        if not buckets:
            return ()
        return tuple(
            item for name, item in records.items() if bucket_of(name) in buckets
        )

    async def _push_repeatedly(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                updates = await self._outbox.take()
                await self._push_slots.acquire()
                tasks.start_soon(self._push, updates)

    async def _push(self, updates: PendingUpdates) -> None:
        """Send `updates` to one peer on each ring, and to no peer twice."""
        message = Push(
            sender=self._membership.view.own,
            configuration=updates.configuration,
            records=updates.records,
            topics=updates.topics,
        )
        already_tried: set[str] = set()
        try:
            async with anyio.create_task_group() as tasks:
                for candidates in self._membership.view.plan.push:
                    tasks.start_soon(
                        self._push_on_ring, candidates, message, already_tried
                    )
        finally:
            self._push_slots.release()

    async def _push_on_ring(
        self, candidates: tuple[str, ...], message: Push, already_tried: set[str]
    ) -> None:
        """Push to the first candidate of the ring that replies."""
        while True:
            view = self._membership.view
            target = next_push_target(
                candidates, already_tried=already_tried, suspected=view.suspected
            )
            address = None if target is None else view.address_of(target)
            if target is None or address is None:
                return
            already_tried.add(target)
            self.pushes += 1
            try:
                await self._peers.push(address=address, message=message)
            except PeerUnavailable:
                self._membership.post(PeerUnreachable(instance=target))
                continue
            self._membership.post(PeerReached(instance=target))
            return
