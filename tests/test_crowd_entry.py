"""Tests of clients outside the limits at both ports of an entry."""

from typing import Any

from tests.fixtures_crowd import MEGABYTE, chunk, whole_repetitions
from tests.fixtures_crowd_entry import (
    BODY_MAX_BYTES,
    CHUNKED_HEAD,
    HEAD,
    NO_ROUTE_REQUEST,
    check_entry_crowd,
)

FEW_DESCRIPTORS = 800  # about 410 of them are for connections to backend servers
PEERS_CHUNKED_HEAD = (
    "POST /internal/exchange HTTP/1.1\r\nHost: entry\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
)
LIVE_CHUNKED_HEAD = (
    "POST /health/live HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LARGE_CHUNK = chunk(16_000)
LARGE_CHUNKS: dict[str, Any] = {
    "count": 400,
    "repeated": LARGE_CHUNK,
    "limit_bytes": 62 * len(LARGE_CHUNK),
}


def test_header_without_end_does_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_header_without_end",
        count=100,
        opening=f"{HEAD}X-Long: ",
        repeated="0123456789abcdef",
        limit_bytes=8 * MEGABYTE,
    )


def test_target_without_end_does_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_target_without_end",
        count=100,
        opening="POST /",
        repeated="0123456789abcdef",
        limit_bytes=8 * MEGABYTE,
    )


def test_empty_lines_without_end_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_empty_lines", count=100, repeated="\r\n", limit_bytes=8 * MEGABYTE
    )


def test_chunk_extension_without_end_does_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_chunk_extension",
        count=100,
        opening=f"{CHUNKED_HEAD}2;",
        repeated="0123456789abcdef",
        limit_bytes=8 * MEGABYTE,
    )


def test_trailers_without_end_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_trailers",
        count=100,
        opening=f"{CHUNKED_HEAD}0\r\n",
        repeated="a:b\r\n",
        limit_bytes=8 * MEGABYTE,
    )


def test_unfinished_bodies_in_chunks_of_two_bytes_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_short_chunks",
        count=20,
        opening=CHUNKED_HEAD,
        repeated=chunk(2),
        limit_bytes=BODY_MAX_BYTES // 4 * len(chunk(2)),
    )


def test_unfinished_bodies_in_large_chunks_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_large_chunks",
        opening=CHUNKED_HEAD,
        answers_meanwhile=True,
        **LARGE_CHUNKS,
    )


def test_unfinished_bodies_of_stated_length_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_stated_length",
        count=400,
        opening=f"{HEAD}Content-Length: {BODY_MAX_BYTES}\r\n\r\n",
        repeated="x",
        limit_bytes=BODY_MAX_BYTES - 1,
        answers_meanwhile=True,
    )


def test_unfinished_bodies_at_the_port_of_peers_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_peers_large_chunks",
        port="peers",
        opening=PEERS_CHUNKED_HEAD,
        **LARGE_CHUNKS,
    )


def test_bodies_that_nothing_reads_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_unread_bodies",
        opening=LIVE_CHUNKED_HEAD,
        **LARGE_CHUNKS,
    )


def test_bodies_over_the_limit_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_bodies_over_the_limit",
        count=200,
        opening=CHUNKED_HEAD,
        repeated=LARGE_CHUNK,
        limit_bytes=whole_repetitions(LARGE_CHUNK, 4 * MEGABYTE),
    )


def test_requests_ahead_with_answers_unread_do_not_fill_the_memory() -> None:
    check_entry_crowd(
        "entry_requests_ahead",
        reads=False,
        count=400,
        repeated=NO_ROUTE_REQUEST,
        limit_bytes=MEGABYTE,
    )


def test_partial_requests_that_stay_do_not_shut_out_ordinary_callers() -> None:
    check_entry_crowd(
        "entry_partial_requests",
        answers_meanwhile=True,
        descriptor_limit=FEW_DESCRIPTORS,
        count=900,
        opening=HEAD,
        reconnects=2,
    )


def test_silent_connections_do_not_shut_out_ordinary_callers() -> None:
    check_entry_crowd(
        "entry_silent_connections",
        answers_meanwhile=True,
        descriptor_limit=FEW_DESCRIPTORS,
        count=900,
        reconnects=2,
    )


def test_connections_reset_in_quick_succession_do_not_stop_the_process() -> None:
    check_entry_crowd(
        "entry_resets",
        answers_meanwhile=True,
        descriptor_limit=FEW_DESCRIPTORS,
        count=100,
        opening=HEAD,
        resets=True,
        reconnects=20,
    )
