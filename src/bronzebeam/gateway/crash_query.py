"""The query by which an instance asks a peer which lost replicas have crashed."""

import asyncio
from collections.abc import Collection
from typing import Final

from attrs import define, field

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.crash_check import CHECK_SECONDS
from bronzebeam.gateway.peer_codec import decode_names, encode_names
from bronzebeam.gateway.peers import Peer
from bronzebeam.gateway.pooled_send import PooledSend
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)

CRASHES_PATH: Final = b"/crashes"
REQUEST_HEADER: Final = b"bb-request"
ANSWER_TIMEOUT_SECONDS: Final = 1.0
NO_ANSWER: Final = "no_answer"


async def count_survivors(
    context: GatewayContext,
    routed: RoutedRequest,
    *,
    peer: Peer,
    services: Collection[str],
) -> int:
    """
    Return how many replicas live on that were lost to a peer during a request.

    A replica of which the peer doesn't know that counts as crashed, as does each
    replica if the peer is of a build that does not answer.

    :param services: services of the replicas, one of each.
    """
    await asyncio.sleep(CHECK_SECONDS)
    query = CrashQuery(peer=peer, request=routed.metadata.attempt_id, services=services)
    query.send()
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            survived = await query.survived
    except TimeoutError:
        query.abandon()
        query.cause = NO_ANSWER
        survived = frozenset()
    if query.cause:
        context.log.event(
            "crash_query_failed",
            request=query.request.decode("latin-1"),
            peer=peer.record.instance,
            cause=query.cause,
        )
    return len(survived.intersection(services))


@define(kw_only=True, eq=False, repr=False)
class CrashQuery(PooledSend):
    """
    One query, sent to one peer.

    :ivar request: attempt id of the request that the peer has sent to replicas.
    :ivar survived: services whose lost replica lives on; empty if the peer can't tell.
    """

    peer: Peer
    request: bytes
    services: Collection[str]
    survived: asyncio.Future[frozenset[str]] = field(factory=asyncio.Future)

    def send(self) -> None:
        """Send the query as soon as the peer has a free connection."""
        self._queue_on(self.peer.control_pool, require_fresh=False)

    def _send(self, connection: ClientConnection) -> None:
        self._connection = connection
        body = encode_names(self.services)
        self.peer.control_pool.record_sent(connection, connection.loop.time())
        connection.send(
            b"POST %s HTTP/1.1\r\nhost:q\r\n%s:%s\r\ncontent-length:%d\r\n\r\n%s"
            % (CRASHES_PATH, REQUEST_HEADER, self.request, len(body), body),
            self,
            is_head=False,
        )

    def _on_unsent(self, cause: str) -> None:
        self._end(frozenset(), cause)

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Handle the peer's answer."""
        connection.proven = True
        self.peer.control_pool.record_reply(connection.sent_at_seconds)
        if reply.status == 200:
            self._end(decode_names(reply.body), "")
        else:
            self._end(frozenset(), f"status_{reply.status}")

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Handle the loss of the connection or a malformed reply."""
        self.peer.control_pool.busy.pop(connection, None)
        self._end(frozenset(), failure.value)

    def _end(self, survived: frozenset[str], cause: str) -> None:
        if not self.ended:
            self.ended = True
            self.cause = cause
            self.survived.set_result(survived)


@define(kw_only=True, eq=False, repr=False)
class CrashQueryHandler:
    """Answers the queries of peers."""

    context: GatewayContext
    _tasks: "set[asyncio.Task[None]]" = field(factory=set)

    def handle(self, request: HttpRequest) -> None:
        """Answer as soon as all checks are complete."""
        task = self.context.loop.create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HttpRequest) -> None:
        survived = await self.context.lost_replicas.survived(
            request.header(REQUEST_HEADER), decode_names(request.body)
        )
        if not request.disconnected and not request.responded:
            request.respond(status=200, headers=[], body=encode_names(survived))
