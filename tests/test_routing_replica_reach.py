"""Tests of the decision whether an instance has lost its links to the replicas."""

from bronzebeam.routing.replica_reach import (
    ReplicaLink,
    are_links_impaired,
    are_replicas_silent,
    are_replicas_unreachable,
)

NOW = 100.0


def link(
    *, unanswered: float | None = None, proven: float = 90.0, is_open: bool = True
) -> ReplicaLink:
    return ReplicaLink(
        unanswered_since_seconds=unanswered,
        proven_at_seconds=proven,
        is_open=is_open,
        is_failing=not is_open,
    )


def test_several_unanswered_replicas_and_no_reply_are_silence() -> None:
    idle = [link() for _ in range(20)]
    for count, expected in ((2, False), (3, True), (20, True)):
        links = [link(unanswered=99.5) for _ in range(count)]
        assert are_replicas_silent(links + idle, NOW) is expected


def test_replies_of_any_replica_after_the_send_are_no_silence() -> None:
    silent = [link(unanswered=99.5) for _ in range(10)]
    assert not are_replicas_silent([*silent, link(proven=99.6)], NOW)
    # They were sent before the last sign of a replica, which may have paused together.
    assert not are_replicas_silent([*silent, link(proven=99.51)], NOW + 5.0)
    assert are_replicas_silent([*silent, link(proven=99.49)], NOW)


def test_requests_sent_just_now_are_no_silence() -> None:
    assert not are_replicas_silent([link(unanswered=99.8) for _ in range(9)], NOW)


def test_few_replicas_count_all() -> None:
    assert are_replicas_silent([link(unanswered=99.0)], NOW)
    assert not are_replicas_silent([link(unanswered=99.0), link()], NOW)
    assert not are_replicas_silent([], NOW)
    assert not are_replicas_unreachable([])
    assert are_replicas_unreachable([link(is_open=False)])


def test_one_open_connection_is_enough_to_reach_replicas() -> None:
    closed = [link(is_open=False) for _ in range(5)]
    assert are_replicas_unreachable(closed)
    assert not are_replicas_unreachable([*closed, link()])
    not_tried = ReplicaLink(
        unanswered_since_seconds=None,
        proven_at_seconds=0.0,
        is_open=False,
        is_failing=False,
    )
    assert not are_replicas_unreachable([not_tried, *closed[:2]])


def test_links_are_impaired_if_a_third_of_the_replicas_can_not_be_connected_to() -> (
    None
):
    closed = link(is_open=False)
    assert not are_links_impaired([])
    assert not are_links_impaired([closed, closed])
    assert are_links_impaired([closed] * 3)
    assert not are_links_impaired([closed] * 3 + [link()] * 7)
    assert are_links_impaired([closed] * 4 + [link()] * 8)
