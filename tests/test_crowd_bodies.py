"""Tests of bodies that stop short of their end, from a crowd of callers."""

from tests.fixtures_crowd import (
    BODY_MAX_BYTES,
    CHUNKED_HEAD,
    HEAD,
    MEGABYTE,
    check_crowd,
    chunk,
    whole_repetitions,
)

SMALL_BODY_BYTES = 15 * 1024  # below the allowance for small bodies


def length_of_chunks(size: int, body_bytes: int) -> int:
    """Return the length of chunks of `size` that hold `body_bytes` at most."""
    return body_bytes // size * len(chunk(size))


def test_unfinished_bodies_in_chunks_of_two_bytes_do_not_fill_the_memory() -> None:
    check_crowd(
        "chunks_of_two_bytes",
        count=40,
        opening=CHUNKED_HEAD,
        repeated=chunk(2),
        limit_bytes=length_of_chunks(2, BODY_MAX_BYTES // 2),
    )


def test_unfinished_bodies_in_large_chunks_do_not_fill_the_memory() -> None:
    check_crowd(
        "large_chunks",
        count=400,
        opening=CHUNKED_HEAD,
        repeated=chunk(BODY_MAX_BYTES // 16),
        limit_bytes=length_of_chunks(BODY_MAX_BYTES // 16, BODY_MAX_BYTES - 1),
    )


def test_unfinished_small_bodies_of_many_callers_do_not_fill_the_memory() -> None:
    check_crowd(
        "small_bodies",
        count=400,
        opening=CHUNKED_HEAD,
        repeated=chunk(2),
        limit_bytes=length_of_chunks(2, SMALL_BODY_BYTES),
    )


def test_unfinished_bodies_of_stated_length_do_not_fill_the_memory() -> None:
    check_crowd(
        "stated_length",
        count=400,
        opening=f"{HEAD}Content-Length: {BODY_MAX_BYTES}\r\n\r\n",
        repeated="0123456789abcdef",
        limit_bytes=BODY_MAX_BYTES - 1,
    )


def test_chunk_extension_without_end_does_not_fill_the_memory() -> None:
    check_crowd(
        "chunk_extension",
        count=120,
        opening=f"{CHUNKED_HEAD}5;x=",
        repeated="0123456789abcdef",
        limit_bytes=2 * MEGABYTE,
    )


def test_trailers_without_end_do_not_fill_the_memory() -> None:
    check_crowd(
        "trailers",
        count=40,
        opening=f"{CHUNKED_HEAD}{chunk(2)}0\r\n",
        repeated="a:b\r\n",
        limit_bytes=4 * MEGABYTE,
        reconnects=2,
    )


def test_one_trailer_without_end_does_not_fill_the_memory() -> None:
    check_crowd(
        "one_trailer",
        count=40,
        opening=f"{CHUNKED_HEAD}{chunk(2)}0\r\nX-Long: ",
        repeated="0123456789abcdef",
        limit_bytes=4 * MEGABYTE,
    )


def test_bodies_behind_a_request_in_work_do_not_fill_the_memory() -> None:
    whole = f"{CHUNKED_HEAD}{chunk(2) * (BODY_MAX_BYTES // 8)}0\r\n\r\n"
    check_crowd(
        "bodies_behind_work",
        work_seconds=3.0,
        count=60,
        repeated=whole,
        limit_bytes=whole_repetitions(whole, 2 * MEGABYTE),
    )
