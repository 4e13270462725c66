"""Tests of which requests a process that is about to exit takes."""

from bronzebeam.routing.stop_timing import can_be_answered


def test_request_that_may_outlast_the_process_is_refused() -> None:
    assert can_be_answered(remaining_ms=1_300, limit_ms=6_000, typical_ms=300)
    assert not can_be_answered(remaining_ms=1_100, limit_ms=6_000, typical_ms=300)


def test_request_that_ends_before_the_exit_in_any_case_is_taken() -> None:
    assert can_be_answered(remaining_ms=500, limit_ms=400, typical_ms=300)
    assert not can_be_answered(remaining_ms=300, limit_ms=400, typical_ms=300)
