"""Tells peers of the store's changes, and learns of them from a peer."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from attrs import define

from bronzebeam.gateway.change_codec import (
    FeedAnswer,
    MalformedChanges,
    decode_answer,
    encode_answer,
)
from bronzebeam.gateway.change_log import ChangeLog
from bronzebeam.gateway.peers import PeerSet
from bronzebeam.gateway.records import Change
from bronzebeam.routing.feed_sources import choose_feed_sources
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_call import CallFailed, HttpCallClient

FEED_PATH: Final = b"/changes"
AFTER_PARAMETER: Final = "after="
GONE_STATUS: Final = 410  # the peer no longer has all changes after the revision
ANSWER_SECONDS: Final = 0.7  # an answer without changes shows that the peer lives
ANSWER_MAX_SECONDS: Final = 1.2  # a peer that takes longer is passed over
AVOIDED_SECONDS: Final = 5.0  # a source that failed, while the store is watched itself
# Changes come up to a second late, and again as late if a source falls silent. With a
# tighter bound on changes every instance watches the store itself.
CHANGE_BOUND_MIN_SECONDS: Final = 4.5


class FeedLost(Exception):
    """The source is of no use now; the store has to be asked."""


@define(kw_only=True, eq=False, repr=False)
class ChangeFeedServer:
    """
    Answers peers that ask for changes.

    :ivar following: whether this instance follows the store itself and has heard from
        it lately.
    """

    log: ChangeLog
    following: Callable[[], bool]
    loop: asyncio.AbstractEventLoop

    def handle(self, request: HttpRequest) -> None:
        """Answer at once if there are changes, or else within a second."""
        _, _, text = request.target.decode("latin-1").partition(AFTER_PARAMETER)
        if not text.isdigit():
            request.respond(status=400, headers=[], body=b"")
            return
        after = int(text)
        if after < self.log.revision or not self.following():
            self._answer(request, after)
            return

        def end_wait() -> None:
            timer.cancel()
            self.log.waiters.discard(end_wait)
            self._answer(request, after)

        timer = self.loop.call_later(ANSWER_SECONDS, end_wait)
        self.log.waiters.add(end_wait)

    def _answer(self, request: HttpRequest, after: int) -> None:
        if request.disconnected or request.responded:
            return
        changes = self.log.encoded_after(after)
        if changes is None:
            request.respond(status=GONE_STATUS, headers=[], body=b"")
            return
        body = encode_answer(
            revision=self.log.revision, following=self.following(), changes=changes
        )
        request.respond(status=200, headers=[], body=body)


@define(kw_only=True, eq=False, repr=False)
class ChangeFeed:
    """
    Learns of changes from a peer of the same failure domain, where there are many.

    Answers the load of a large fleet on the store: a few instances of each failure
    domain watch it and tell the others. An instance turns to the store itself as soon
    as its source is silent, or has not heard from the store lately.

    :ivar change_bound_seconds: time within which changes must be in force.
    """

    change_bound_seconds: float
    instance: str
    own_domain: str
    peers: PeerSet
    log: DecisionLog
    rng: random.Random
    loop: asyncio.AbstractEventLoop
    _client: HttpCallClient | None = None
    _source: str = ""
    _avoided_until_seconds: float = 0.0

    def available(self) -> bool:
        """Whether there is a peer to learn from."""
        if self.change_bound_seconds < CHANGE_BOUND_MIN_SECONDS:
            return False
        if self.loop.time() < self._avoided_until_seconds:
            return False
        members = self.peers.members().get(self.own_domain, {})
        sources = choose_feed_sources(
            self.instance, domain=self.own_domain, members=members
        )
        if self._source not in sources:
            self._choose(sorted(sources))
        return bool(self._source)

    async def watch(self, after: int) -> tuple[int, list[Change]]:
        """
        Wait for changes after a revision, for about a second.

        :return: the revision to go on from, and the changes, which may be none.
        :raises FeedLost: if the source is of no use now.
        """
        try:
            answer = await self._ask(after)
        except FeedLost as error:
            self.log.event("feed_lost", source=self._source, cause=str(error))
            self._avoided_until_seconds = self.loop.time() + AVOIDED_SECONDS
            self._drop()
            raise
        return max(after, answer.revision), list(answer.changes)

    def close(self) -> None:
        """Close the connection to the source."""
        self._drop()

    async def _ask(self, after: int) -> FeedAnswer:
        assert self._client is not None
        try:
            reply = await self._client.call(
                "GET",
                f"{FEED_PATH.decode()}?{AFTER_PARAMETER}{after}",
                body=None,
                timeout_seconds=ANSWER_MAX_SECONDS,
            )
        except CallFailed as error:
            raise FeedLost(str(error)) from error
        if reply.status == GONE_STATUS:
            raise FeedLost(f"the source has no changes after revision {after}")
        if reply.status != 200:
            raise FeedLost(f"status {reply.status}")
        try:
            answer = decode_answer(reply.body)
        except MalformedChanges as error:
            raise FeedLost(f"malformed: {error}") from error
        if not answer.following:
            raise FeedLost("the source does not follow the store")
        return answer

    def _choose(self, sources: list[str]) -> None:
        self._drop()
        records = [self.peers.records[name] for name in sources]
        usable = [record for record in records if record.host]
        if not usable:
            return
        record = self.rng.choice(usable)
        self._source = record.instance
        self._client = HttpCallClient(host=record.host, port=record.port)
        self.log.event("feed_chosen", source=record.instance)

    def _drop(self) -> None:
        self._source = ""
        if self._client is not None:
            self._client.close()
            self._client = None
