"""Awaiting an exchange on a `ClientConnection`."""

import asyncio

from attrs import define

from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)


class ExchangeFailed(Exception):
    """No complete reply was received; the request may have been executed."""


@define(kw_only=True, eq=False, repr=False)
class ReplyFuture:
    """Sets a future at the end of an exchange; implements `ExchangeObserver`."""

    future: asyncio.Future[HttpReply]

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Set the reply as the result."""
        if not self.future.done():
            self.future.set_result(reply)

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Set `ExchangeFailed` as the exception."""
        if not self.future.done():
            self.future.set_exception(ExchangeFailed(failure.value))


async def exchange(connection: ClientConnection, data: bytes) -> HttpReply:
    """
    Send a complete request and wait for its reply.

    Cancelling the wait closes the connection, so that a late reply to this request
    cannot be mistaken for the reply to the next one.

    :raises ExchangeFailed: if no complete reply was received.
    """
    future: asyncio.Future[HttpReply] = asyncio.get_running_loop().create_future()
    connection.send(data, ReplyFuture(future=future), is_head=False)
    try:
        return await future
    except asyncio.CancelledError:
        connection.abandon()
        raise
    finally:
        # The exception's traceback would refer to it in a cycle.
        del future
