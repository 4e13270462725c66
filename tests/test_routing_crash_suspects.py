"""Tests of the decision which requests crash replicas, without a network."""

from bronzebeam.routing.crash_suspects import (
    LOSSES_MAX,
    SUSPECTS_MAX,
    CrashEvidence,
    CrashSuspects,
    fingerprint,
)


def test_fingerprint_tells_where_one_part_ends() -> None:
    assert fingerprint(host=b"ab", target=b"c", body=b"") != fingerprint(
        host=b"a", target=b"bc", body=b""
    )
    assert fingerprint(host=b"a", target=b"/", body=b"1") != fingerprint(
        host=b"a", target=b"/", body=b"2"
    )


def test_losses_of_all_instances_are_added_up() -> None:
    suspects = CrashSuspects()
    suspects.put("f", instance="g-1", losses=1)
    suspects.put("f", instance="g-2", losses=1)
    assert not suspects.quarantined("f")
    suspects.add("f", instance="g-3", losses=1)
    assert suspects.quarantined("f")
    assert not suspects.quarantined("other")


def test_report_of_an_instance_is_counted_once() -> None:
    suspects = CrashSuspects()
    assert suspects.add("f", instance="g-1", losses=2) == 2
    # The store tells the instance of its own report, maybe of an earlier one.
    suspects.put("f", instance="g-1", losses=2)
    suspects.put("f", instance="g-1", losses=1)
    assert suspects.losses("f") == 2


def test_lapsed_reports_are_forgotten() -> None:
    suspects = CrashSuspects()
    suspects.put("f", instance="g-1", losses=LOSSES_MAX)
    suspects.drop("f", instance="g-2")
    assert suspects.quarantined("f")
    suspects.drop("f", instance="g-1")
    assert not suspects.quarantined("f") and not suspects


def test_memory_is_bounded_and_the_oldest_go_first() -> None:
    suspects = CrashSuspects()
    for number in range(SUSPECTS_MAX + 1):
        suspects.add(str(number), instance="g-1", losses=LOSSES_MAX)
    assert not suspects.quarantined("0")
    assert suspects.quarantined(str(SUSPECTS_MAX))


def test_fan_out_is_convicted_by_its_proof_only() -> None:
    evidence = CrashEvidence(needs_proof=True)
    evidence.note_lost(20)
    assert evidence.suspicious and evidence.losses == LOSSES_MAX - 1
    evidence.probed = True
    evidence.note_lost()
    assert evidence.convicted and evidence.losses == 21


def test_any_reply_clears_a_request() -> None:
    for needs_proof in (True, False):
        evidence = CrashEvidence(needs_proof=needs_proof)
        evidence.note_lost(5)
        evidence.replied = True
        assert not evidence.suspicious and evidence.losses == 0


def test_small_fan_out_is_not_convicted_by_two_losses() -> None:
    evidence = CrashEvidence(needs_proof=True)
    evidence.note_lost()
    evidence.probed = True
    evidence.note_lost()
    assert not evidence.convicted and evidence.losses == 2
