"""Tests of the detection of requests that crash replicas."""

from bronzebeam.routing.crash_suspects import (
    MAX_LOSSES,
    MAX_SUSPECTS,
    CrashEvidence,
    CrashSuspects,
    fingerprint,
)


def test_fingerprint_depends_on_part_boundaries_and_body() -> None:
    assert fingerprint(host=b"ab", target=b"c", body=b"") != fingerprint(
        host=b"a", target=b"bc", body=b""
    )
    assert fingerprint(host=b"a", target=b"/", body=b"1") != fingerprint(
        host=b"a", target=b"/", body=b"2"
    )


def test_losses_of_all_instances_are_added_up() -> None:
    suspects = CrashSuspects()
    suspects.apply_report("f", instance="g-1", losses=1)
    suspects.apply_report("f", instance="g-2", losses=1)
    assert not suspects.is_quarantined("f")
    suspects.record_losses("f", instance="g-3", losses=1)
    assert suspects.is_quarantined("f")
    assert not suspects.is_quarantined("other")


def test_report_of_an_instance_is_counted_once() -> None:
    suspects = CrashSuspects()
    assert suspects.record_losses("f", instance="g-1", losses=2) == 2
    # The instance reads its own report back from the store, maybe an earlier one.
    suspects.apply_report("f", instance="g-1", losses=2)
    suspects.apply_report("f", instance="g-1", losses=1)
    assert suspects.losses("f") == 2


def test_removed_reports_no_longer_count() -> None:
    suspects = CrashSuspects()
    suspects.apply_report("f", instance="g-1", losses=MAX_LOSSES)
    suspects.remove_report("f", instance="g-2")
    assert suspects.is_quarantined("f")
    suspects.remove_report("f", instance="g-1")
    assert not suspects.is_quarantined("f") and not suspects


def test_oldest_suspects_are_dropped_above_the_maximum() -> None:
    suspects = CrashSuspects()
    for number in range(MAX_SUSPECTS + 1):
        suspects.record_losses(str(number), instance="g-1", losses=MAX_LOSSES)
    assert not suspects.is_quarantined("0")
    assert suspects.is_quarantined(str(MAX_SUSPECTS))


def test_fan_out_is_confirmed_only_by_the_loss_of_one_more_replica() -> None:
    evidence = CrashEvidence(needs_confirmation=True)
    evidence.record_losses(20)
    assert evidence.is_suspect and evidence.losses == MAX_LOSSES - 1
    evidence.confirmation_sent = True
    evidence.record_losses()
    assert evidence.confirmed and evidence.losses == 21


def test_any_reply_clears_a_request() -> None:
    for needs_proof in (True, False):
        evidence = CrashEvidence(needs_confirmation=needs_proof)
        evidence.record_losses(5)
        evidence.replied = True
        assert not evidence.is_suspect and evidence.losses == 0


def test_two_losses_do_not_confirm_a_small_fan_out() -> None:
    evidence = CrashEvidence(needs_confirmation=True)
    evidence.record_losses()
    evidence.confirmation_sent = True
    evidence.record_losses()
    assert not evidence.confirmed and evidence.losses == 2
