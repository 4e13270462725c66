"""Tests of heads without end, and over the limits, from a crowd of callers."""

from tests.fixtures_crowd import (
    GET_HEAD,
    HEADER_MAX_BYTES,
    MEGABYTE,
    NO_ROUTE_REQUEST,
    check_crowd,
)
from tests.fixtures_gateway import READ_PATH

LARGE_HEADER = f"X-Large: {'a' * 4 * HEADER_MAX_BYTES}\r\n"


def test_header_without_end_does_not_fill_the_memory() -> None:
    check_crowd(
        "header_without_end",
        count=40,
        opening=f"{GET_HEAD}X-Long: ",
        repeated="0123456789abcdef",
        limit_bytes=4 * MEGABYTE,
    )


def test_header_name_without_end_does_not_fill_the_memory() -> None:
    check_crowd(
        "header_name_without_end",
        count=40,
        opening=f"{GET_HEAD}X-",
        repeated="0123456789abcdef",
        limit_bytes=4 * MEGABYTE,
    )


def test_small_headers_without_end_do_not_fill_the_memory() -> None:
    check_crowd(
        "small_headers_without_end",
        count=40,
        opening=GET_HEAD,
        repeated="a:b\r\n",
        limit_bytes=5 * MEGABYTE,
        reconnects=2,
    )


def test_target_without_end_does_not_fill_the_memory() -> None:
    check_crowd(
        "target_without_end",
        count=40,
        opening=f"GET {READ_PATH}",
        repeated="0123456789abcdef",
        limit_bytes=4 * MEGABYTE,
        reconnects=2,
    )


def test_heads_over_the_limit_do_not_fill_the_memory() -> None:
    check_crowd(
        "heads_over_the_limit",
        count=40,
        repeated=f"{GET_HEAD}{LARGE_HEADER}\r\n",
        limit_bytes=4 * MEGABYTE,
        reconnects=4,
    )


def test_header_without_end_behind_a_request_in_work_does_not_fill_memory() -> None:
    check_crowd(
        "header_without_end_behind_work",
        work_seconds=3.0,
        count=20,
        opening=f"{GET_HEAD}\r\n{GET_HEAD}X-Long: ",
        repeated="0123456789abcdef",
        limit_bytes=8 * MEGABYTE,
    )


def test_target_without_end_behind_a_request_in_work_does_not_fill_memory() -> None:
    check_crowd(
        "target_without_end_behind_work",
        work_seconds=3.0,
        count=20,
        opening=f"{GET_HEAD}\r\nGET {READ_PATH}",
        repeated="0123456789abcdef",
        limit_bytes=8 * MEGABYTE,
    )


def test_empty_lines_without_end_do_not_fill_the_memory() -> None:
    check_crowd(
        "empty_lines_without_end",
        count=120,
        repeated="\r\n",
        limit_bytes=2 * MEGABYTE,
    )


def test_slow_empty_lines_do_not_hold_connections_for_ever() -> None:
    check_crowd(
        "slow_empty_lines",
        count=20,
        repeated="\r\n",
        limit_bytes=100,
        interval_seconds=0.2,
        header_timeout_ms=1_000,
        idle_timeout_ms=1_000,
        must_end=True,
    )


def test_requests_ahead_at_no_route_do_not_fill_the_memory() -> None:
    check_crowd(
        "requests_ahead_at_no_route",
        reads=False,
        count=100,
        repeated=NO_ROUTE_REQUEST,
        limit_bytes=MEGABYTE // 4,
    )


def test_requests_ahead_behind_a_request_in_work_do_not_fill_the_memory() -> None:
    check_crowd(
        "requests_ahead_behind_work",
        work_seconds=3.0,
        reads=False,
        hold_seconds=1.0,
        count=48,
        opening=f"{GET_HEAD}\r\n",
        repeated=NO_ROUTE_REQUEST,
        limit_bytes=MEGABYTE // 2,
    )


def test_unread_large_answers_do_not_fill_the_memory() -> None:
    check_crowd(
        "unread_large_answers",
        answer_bytes=MEGABYTE // 2,
        reads=False,
        hold_seconds=3.0,
        count=200,
        repeated=f"{GET_HEAD}\r\n",
        limit_bytes=8 * len(f"{GET_HEAD}\r\n"),
    )
