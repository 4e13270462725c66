"""Tests of replies that break off, at each byte."""

from typing import Any

from bronzebeam.transport.http_reply import (
    ClientConnection,
    ExchangeFailure,
    HttpReply,
)

REPLIES = (
    b"HTTP/1.1 200 OK\r\nX-Signature: s-1\r\nContent-Length: 4\r\n\r\nbody",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
)
# A body without a stated length ends with its connection.
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nX-Signature: s-1\r\n\r\n"


class Transport:
    def get_extra_info(self, name: str, default: Any = None) -> Any:
        class Socket:
            def setsockopt(self, *args: Any) -> None:
                pass

        return Socket()

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass


class Loop:
    def time(self) -> float:
        return 0.0


class Owner:
    def on_connection_idle(self, connection: ClientConnection) -> None:
        pass

    def on_connection_closed(self, connection: ClientConnection) -> None:
        pass


class Observer:
    def __init__(self) -> None:
        self.replies: list[HttpReply] = []
        self.failures: list[ExchangeFailure] = []

    def on_reply(self, connection: ClientConnection, reply: HttpReply) -> None:
        self.replies.append(reply)

    def on_failure(
        self, connection: ClientConnection, failure: ExchangeFailure
    ) -> None:
        self.failures.append(failure)


def receive(parts: list[bytes], *, reset: bool) -> Observer:
    """Return what an observer is told of bytes that are followed by the end."""
    loop: Any = Loop()
    transport: Any = Transport()
    connection = ClientConnection(owner=Owner(), loop=loop)
    connection.connection_made(transport)
    observer = Observer()
    connection.send(b"GET / HTTP/1.1\r\n\r\n", observer, is_head=False)
    for part in parts:
        connection.data_received(part)
    if not reset:
        connection.eof_received()
    connection.connection_lost(ConnectionResetError() if reset else None)
    return observer


def test_reply_that_breaks_off_in_its_head_or_body_is_never_complete() -> None:
    for reply in REPLIES:
        for end in range(len(reply)):
            for middle in {0, end // 2, max(0, end - 1)}:
                for reset in (False, True):
                    observer = receive([reply[:middle], reply[middle:end]], reset=reset)
                    assert not observer.replies, reply[:end]
                    assert len(observer.failures) == 1
        whole = receive([reply], reset=False)
        assert [item.body for item in whole.replies] == [b"body"]


def test_head_that_breaks_off_is_no_reply_without_a_length() -> None:
    for end in range(len(UNFRAMED_HEAD)):
        observer = receive([UNFRAMED_HEAD[:end]], reset=False)
        assert not observer.replies and len(observer.failures) == 1
    observer = receive([UNFRAMED_HEAD + b"body"], reset=False)
    assert [item.body for item in observer.replies] == [b"body"]
    assert not receive([UNFRAMED_HEAD + b"body"], reset=True).replies
