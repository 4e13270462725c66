"""Change feed between instances: serves store changes to peers or reads them."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from attrs import define, field

from bronzebeam.decoding import read_count
from bronzebeam.gateway.change_codec import (
    FeedResponse,
    MalformedFeedResponse,
    compress_response,
    decode_feed_response,
    decompress_response,
    encode_feed_response,
)
from bronzebeam.gateway.change_log import NO_CHANGES, ChangeLog
from bronzebeam.gateway.peers import PeerSet
from bronzebeam.routing.feed_sources import choose_feed_sources
from bronzebeam.telemetry.decisions import DecisionLog
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_call import CallFailed, HttpCallClient
from bronzebeam.transport.http_reply import Headers

FEED_PATH: Final = b"/changes"
AFTER_PARAMETER: Final = "after="
ERA_PARAMETER: Final = "era="
NO_ERA: Final = "none"  # the store states no era
CODING_HEADER: Final = b"content-encoding"
DEFLATE: Final = b"deflate"
LONG_POLL_SECONDS: Final = 0.7  # then an empty response shows that the peer is alive
FEED_TIMEOUT_SECONDS: Final = 1.2  # after this the source counts as failed
# An instance uses another source for this long after one has failed, and watches the
# store itself if there is none.
SOURCE_RETRY_DELAY_SECONDS: Final = 5.0
# The feed delays changes by up to a second, and by another second if the source stops
# responding. Below this bound every instance watches the store itself.
MIN_FEED_CHANGE_BOUND_SECONDS: Final = 4.5


class FeedUnavailable(Exception):
    """The source can't be used at present; read from the store instead."""


@define(kw_only=True, eq=False, repr=False)
class ChangeFeedServer:
    """
    Serves changes to peers by long polling.

    :ivar can_serve: whether this instance is in contact with the store and not
        stopping. If not, the response says so and peers use another source.
    """

    change_log: ChangeLog
    can_serve: Callable[[], bool]
    loop: asyncio.AbstractEventLoop

    def handle(self, request: HttpRequest) -> None:
        """
        Respond as soon as there are changes, or empty after `LONG_POLL_SECONDS`.

        A peer gets all records if the changes that it lacks are no longer known, or if
        its revision is from another era of the store. So the store is not read by all
        instances when it drops its history or comes back from an older copy.
        """
        before, _, text = request.target.decode("latin-1").partition(AFTER_PARAMETER)
        era = before.partition(ERA_PARAMETER)[2].rstrip("&")
        try:
            after = read_count(text)
        except ValueError:
            request.respond(status=400, headers=[], body=b"")
            return
        same_era = not era or era == _encode_era(self.change_log.era)
        if not same_era or after < self.change_log.revision or not self.can_serve():
            self._respond(request, after, era)
            return

        def respond_now() -> None:
            timer.cancel()
            self.change_log.waiters.discard(respond_now)
            self._respond(request, after, era)

        timer = self.loop.call_later(LONG_POLL_SECONDS, respond_now)
        self.change_log.waiters.add(respond_now)

    def _respond(self, request: HttpRequest, after: int, era: str) -> None:
        if request.disconnected or request.responded:
            return
        log = self.change_log
        can_serve = self.can_serve()
        changes: bytes | None = NO_CHANGES
        if can_serve:
            same_era = not era or era == _encode_era(log.era)
            changes = log.encoded_changes_after(after) if same_era else None
        body = encode_feed_response(
            revision=log.revision,
            era=log.era,
            is_up_to_date=can_serve,
            is_complete=changes is None,
            changes=log.encoded_records() if changes is None else changes,
        )
        headers: Headers = []
        if changes is None:
            headers.append((CODING_HEADER, DEFLATE))
            body = compress_response(body)
        request.respond(status=200, headers=headers, body=body)


@define(kw_only=True, eq=False, repr=False)
class ChangeFeedClient:
    """
    Reads changes from a peer, in failure domains with many instances.

    Protects the store against the load of a large fleet: only a few instances of each
    failure domain watch the store, and the others read from them. An instance goes
    back to the store as soon as its source stops responding or has itself lost
    contact with the store.

    :ivar change_bound_seconds: time within which changes must be active.
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
    _failed_until_seconds: dict[str, float] = field(factory=dict)

    def is_available(self) -> bool:
        """Whether there is a peer to read from; selects one if necessary."""
        if self.change_bound_seconds < MIN_FEED_CHANGE_BOUND_SECONDS:
            return False
        members = self.peers.members().get(self.own_domain, {})
        sources = choose_feed_sources(
            self.instance, domain=self.own_domain, members=members
        )
        if self._source not in sources:
            now_seconds = self.loop.time()
            self._select_source(
                sorted(
                    name
                    for name in sources
                    if now_seconds >= self._failed_until_seconds.get(name, 0.0)
                )
            )
        return bool(self._source)

    async def watch(self, after: int, era: int | None) -> FeedResponse:
        """
        Wait about a second for changes after a revision.

        :param era: era of the store that the revision belongs to.
        :return: the changes, possibly none, or all records.
        :raises FeedUnavailable: if the source can't be used at present.
        """
        try:
            return await self._fetch(after, era)
        except FeedUnavailable as error:
            self.log.event("feed_lost", source=self._source, cause=str(error))
            self._failed_until_seconds[self._source] = (
                self.loop.time() + SOURCE_RETRY_DELAY_SECONDS
            )
            self._disconnect()
            raise

    def close(self) -> None:
        """Close the connection to the source."""
        self._disconnect()

    async def _fetch(self, after: int, era: int | None) -> FeedResponse:
        assert self._client is not None
        try:
            reply = await self._client.call(
                "GET",
                f"{FEED_PATH.decode()}?{ERA_PARAMETER}{_encode_era(era)}"
                f"&{AFTER_PARAMETER}{after}",
                body=None,
                timeout_seconds=FEED_TIMEOUT_SECONDS,
            )
        except CallFailed as error:
            raise FeedUnavailable(str(error)) from error
        if reply.status != 200:
            raise FeedUnavailable(f"the source returned status {reply.status}")
        try:
            compressed = (CODING_HEADER, DEFLATE) in reply.headers
            response = decode_feed_response(
                decompress_response(reply.body) if compressed else reply.body
            )
        except MalformedFeedResponse as error:
            raise FeedUnavailable(f"malformed response: {error}") from error
        if response.omitted:
            raise FeedUnavailable(
                f"the source is an earlier build and omits {sorted(response.omitted)}"
            )
        if not response.is_up_to_date:
            raise FeedUnavailable("the source has lost contact with the store")
        is_earlier_era = (response.era or 0) < (era or 0)
        if is_earlier_era or (response.era != era and not response.is_complete):
            raise FeedUnavailable(
                f"the source has read the store in era {response.era}, not {era}"
            )
        return response

    def _select_source(self, sources: list[str]) -> None:
        self._disconnect()
        records = [self.peers.records[name] for name in sources]
        usable = [record for record in records if record.host]
        if not usable:
            return
        record = self.rng.choice(usable)
        self._source = record.instance
        self._client = HttpCallClient(
            host=record.host, port=record.port, reply_memory=self.peers.reply_memory
        )
        self.log.event("feed_chosen", source=record.instance)

    def _disconnect(self) -> None:
        self._source = ""
        if self._client is not None:
            self._client.close()
            self._client = None


def _encode_era(era: int | None) -> str:
    return NO_ERA if era is None else str(era)
