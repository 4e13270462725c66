"""Tests of many connections of a crowd, on each port, and of a mix of all forms."""

from typing import Any

from tests.fixtures_crowd import (
    BODY_MAX_BYTES,
    CHUNKED_HEAD,
    GET_HEAD,
    MEGABYTE,
    NO_ROUTE_REQUEST,
    check_crowd,
    chunk,
)

FEW_DESCRIPTORS = 500  # 200 of them are for files
LONG_TIMEOUT_MS = 60_000

ENDLESS_HEADER: dict[str, Any] = {
    "count": 40,
    "opening": f"{GET_HEAD}X-Long: ",
    "repeated": "0123456789abcdef",
    "limit_bytes": 4 * MEGABYTE,
}
SHORT_CHUNKS: dict[str, Any] = {
    "count": 40,
    "opening": CHUNKED_HEAD,
    "repeated": chunk(2),
    "limit_bytes": BODY_MAX_BYTES // 4 * len(chunk(2)),
}
REQUESTS_AHEAD: dict[str, Any] = {
    "count": 100,
    "reads": False,
    "repeated": NO_ROUTE_REQUEST,
    "limit_bytes": MEGABYTE // 4,
}
PARTIAL_REQUESTS: dict[str, Any] = {"count": 400, "opening": GET_HEAD, "reconnects": 5}
RESETS: dict[str, Any] = {
    "count": 100,
    "opening": GET_HEAD,
    "resets": True,
    "reconnects": 20,
}


def check_open_connections(name: str, **options: Any) -> None:
    """Check that ordinary callers are answered while connections stay open."""
    check_crowd(
        name,
        answers_meanwhile=True,
        descriptor_limit=FEW_DESCRIPTORS,
        header_timeout_ms=LONG_TIMEOUT_MS,
        idle_timeout_ms=LONG_TIMEOUT_MS,
        **options,
    )


def test_partial_requests_that_stay_do_not_shut_out_ordinary_callers() -> None:
    check_open_connections(
        "partial_requests", hold_seconds=1.0, batch_seconds=0.05, **PARTIAL_REQUESTS
    )


def test_silent_connections_do_not_shut_out_ordinary_callers() -> None:
    check_open_connections("silent_connections", count=400, hold_seconds=1.0)


def test_silent_connections_that_come_again_do_not_shut_out_ordinary_callers() -> None:
    check_open_connections("silent_again", count=400, reconnects=5)


def test_connections_reset_in_quick_succession_do_not_stop_the_process() -> None:
    check_open_connections("resets", **RESETS)


def test_partial_requests_at_the_readiness_port_stay_within_the_descriptors() -> None:
    check_open_connections("ready_partial_requests", port="ready", **PARTIAL_REQUESTS)


def test_partial_requests_at_the_port_of_peers_stay_within_the_descriptors() -> None:
    check_open_connections("peers_partial_requests", port="peers", **PARTIAL_REQUESTS)


def test_header_without_end_at_the_readiness_port_does_not_fill_the_memory() -> None:
    check_crowd("ready_header_without_end", port="ready", **ENDLESS_HEADER)


def test_header_without_end_at_the_port_of_peers_does_not_fill_the_memory() -> None:
    check_crowd("peers_header_without_end", port="peers", **ENDLESS_HEADER)


def test_short_chunks_at_the_readiness_port_do_not_fill_the_memory() -> None:
    check_crowd("ready_short_chunks", port="ready", **SHORT_CHUNKS)


def test_short_chunks_at_the_port_of_peers_do_not_fill_the_memory() -> None:
    check_crowd("peers_short_chunks", port="peers", **SHORT_CHUNKS)


def test_requests_ahead_at_the_readiness_port_do_not_fill_the_memory() -> None:
    check_crowd("ready_requests_ahead", port="ready", **REQUESTS_AHEAD)


def test_requests_ahead_at_the_port_of_peers_do_not_fill_the_memory() -> None:
    check_crowd("peers_requests_ahead", port="peers", **REQUESTS_AHEAD)


def test_mix_of_all_forms_at_all_ports_does_not_stop_the_process() -> None:
    parts = (ENDLESS_HEADER, SHORT_CHUNKS, REQUESTS_AHEAD, PARTIAL_REQUESTS, RESETS)
    others = [
        (port, {**part, "count": part["count"] // 4})
        for port in ("callers", "ready", "peers")
        for part in parts
    ]
    check_crowd("mix", count=40, others=others)
