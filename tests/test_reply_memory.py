"""Tests of the memory that unfinished replies use together."""

from typing import Any

from bronzebeam.transport.http_reply import (
    HEADER_OBJECT_BYTES,
    MAX_HEAD_BYTES,
    MAX_UNFINISHED_BYTES,
    ClientConnection,
    ExchangeFailure,
    ReplyMemory,
)
from tests.test_client_connection_ends import Loop, Observer, Owner, Transport

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def open_exchange(
    memory: ReplyMemory,
    observer: Observer | None = None,
    connection_class: type[ClientConnection] = ClientConnection,
) -> tuple[ClientConnection, Observer]:
    loop: Any = Loop()
    transport: Any = Transport()
    connection = connection_class(owner=Owner(), loop=loop, reply_memory=memory)
    connection.connection_made(transport)
    observer = observer or Observer()
    connection.send(b"GET / HTTP/1.1\r\n\r\n", observer, is_head=False)
    return connection, observer


def test_largest_reply_is_given_up_when_a_small_one_exceeds_the_memory() -> None:
    memory = ReplyMemory(max_bytes=100_000)
    exchanges = [open_exchange(memory) for _ in range(3)]
    for (connection, _), size in zip(exchanges, (20_000, 70_000, 5_000)):
        connection.data_received(UNFRAMED_HEAD + bytes(size))
    small, large, smaller = exchanges
    assert not large[1].failures
    smaller[0].data_received(bytes(10_000))
    assert large[1].failures == [ExchangeFailure.MALFORMED]
    assert not small[1].failures and not smaller[1].failures
    assert memory.given_up_count == 1 and memory.used_bytes < 40_000
    for connection, observer in (small, smaller):
        connection.eof_received()
        assert len(observer.replies) == 1
    assert memory.used_bytes == 0


def test_reply_may_end_while_others_are_given_up() -> None:
    memory = ReplyMemory(max_bytes=50_000)
    late, late_observer = open_exchange(memory)

    class Abandoning(Observer):
        def on_failure(
            self, connection: ClientConnection, failure: ExchangeFailure
        ) -> None:
            super().on_failure(connection, failure)
            late.abandon()

    large, _ = open_exchange(memory, Abandoning())
    large.data_received(UNFRAMED_HEAD + bytes(45_000))
    late.data_received(UNFRAMED_HEAD + bytes(10_000))
    assert late.closed and not late_observer.failures
    assert memory.used_bytes == 0


def test_headers_count_with_the_objects_that_hold_them() -> None:
    memory = ReplyMemory()
    connection, observer = open_exchange(memory)
    connection.data_received(b"HTTP/1.1 200 OK\r\n" + 1_000 * b"a:\r\n")
    assert memory.used_bytes > 999 * HEADER_OBJECT_BYTES
    connection.data_received(b"\r\n")
    connection.eof_received()
    assert len(observer.replies) == 1 and memory.used_bytes == 0


def test_headers_beyond_the_limit_are_not_kept_until_the_end_of_a_read() -> None:
    counts = []

    class Traced(ClientConnection):
        def on_header(self, name: bytes, value: bytes) -> None:
            super().on_header(name, value)
            counts.append(len(self._headers))

    connection, observer = open_exchange(ReplyMemory(), connection_class=Traced)
    connection.data_received(b"HTTP/1.1 200 OK\r\n" + 50_000 * b"ab:cd\r\n")
    assert 1_000 < max(counts) <= MAX_HEAD_BYTES // 4
    assert observer.failures == [ExchangeFailure.MALFORMED]


def test_trailers_are_not_taken_for_headers() -> None:
    connection, observer = open_exchange(ReplyMemory())
    body = b"4\r\nbody\r\n0\r\n"
    connection.data_received(CHUNKED_HEAD + body + b"X-Signature: forged\r\n\r\n")
    (reply,) = observer.replies
    assert reply.body == b"body"
    assert [name for name, _ in reply.headers] == [b"transfer-encoding"]


def test_reply_without_progress_of_its_body_is_given_up() -> None:
    for start, part in (
        (b"1\r\nx\r\n0\r\nx-long: ", b"x"),
        (b"1\r\nx\r\n0\r\n", b"a:\r\n"),
        (b"1\r\nx\r\n5;x=", b"x"),
    ):
        memory = ReplyMemory()
        connection, observer = open_exchange(memory)
        connection.data_received(CHUNKED_HEAD + start)
        sent_bytes = 0
        while not observer.failures and sent_bytes <= 2 * MAX_HEAD_BYTES:
            connection.data_received(part * 1_000)
            sent_bytes += len(part) * 1_000
        assert observer.failures == [ExchangeFailure.MALFORMED], start
        assert memory.used_bytes == 0


def test_parser_stops_where_heads_or_trailers_pass_the_limit() -> None:
    for start, part in (
        (b"HTTP/1.1 200 OK\r\n", b"a:\r\n"),
        (CHUNKED_HEAD + b"1\r\nx\r\n0\r\n", b"a:\r\n"),
        (b"", b"HTTP/1.1 102 P\r\n\r\n"),
    ):
        calls = []

        class Traced(ClientConnection):
            def on_header(self, name: bytes, value: bytes) -> None:
                calls.append(name)
                super().on_header(name, value)

            def on_message_complete(self) -> None:
                calls.append(b"")
                super().on_message_complete()

        connection, observer = open_exchange(ReplyMemory(), connection_class=Traced)
        connection.data_received(start + part * 60_000)
        assert observer.failures == [ExchangeFailure.MALFORMED]
        assert len(calls) < MAX_HEAD_BYTES / 2, start


def test_head_within_the_limit_is_complete() -> None:
    lines = b"a:\r\n" * ((MAX_HEAD_BYTES - 100) // 4)
    connection, observer = open_exchange(ReplyMemory())
    connection.data_received(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
    connection.eof_received()
    (reply,) = observer.replies
    assert len(reply.headers) == len(lines) // 4


def test_bound_follows_the_memory_limit_of_the_process() -> None:
    limit_bytes = 100 * 1024 * 1024
    assert ReplyMemory.of_process(limit_bytes).max_bytes == limit_bytes // 10
    assert ReplyMemory.of_process(100 * limit_bytes).max_bytes == MAX_UNFINISHED_BYTES
    assert ReplyMemory.of_process(0.0).max_bytes == MAX_UNFINISHED_BYTES
