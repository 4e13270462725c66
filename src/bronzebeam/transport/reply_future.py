"""The end of one exchange, for tasks that wait for it."""

import asyncio

from attrs import define

from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)


class ExchangeFailed(Exception):
    """No whole reply came; the request may have been carried out."""


@define(kw_only=True, eq=False, repr=False)
class ReplyFuture:
    """Hands the end of an exchange to a task; satisfies `ExchangeObserver`."""

    future: asyncio.Future[HttpReply]

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        """Hand over the reply."""
        if not self.future.done():
            self.future.set_result(reply)

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        """Hand over the failure."""
        if not self.future.done():
            self.future.set_exception(ExchangeFailed(failure.value))


async def exchange(connection: ClientConnection, data: bytes) -> HttpReply:
    """
    Send a whole request and wait for its reply.

    A cancelled wait closes the connection: a reply to this request must not be taken
    for that to the next one.

    :raises ExchangeFailed: if no whole reply came.
    """
    future: asyncio.Future[HttpReply] = asyncio.get_running_loop().create_future()
    connection.send(data, ReplyFuture(future=future), is_head=False)
    try:
        return await future
    except asyncio.CancelledError:
        connection.abandon()
        raise
