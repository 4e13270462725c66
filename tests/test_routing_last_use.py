"""Tests of the last use of replicas that leave."""

import math

from hypothesis import given, strategies as st

from bronzebeam.routing.last_use import (
    DRAINING_GRACE_SECONDS,
    LAPSED_GRACE_SECONDS,
    SEND_MARGIN_SECONDS,
    LastUsePolicy,
    News,
    can_have_lapsed,
)

POLICY = LastUsePolicy(drain_seconds=3.0)
SECONDS = st.floats(min_value=0.0, max_value=1_000.0)


@given(began_at=SECONDS, unknown_for=SECONDS, learnt_after=SECONDS)
def test_no_grace_outlasts_the_time_for_which_replicas_serve_on(
    began_at: float, unknown_for: float, learnt_after: float
) -> None:
    news = News(
        learnt_at_seconds=began_at + learnt_after,
        made_after_seconds=began_at - unknown_for,
    )
    removed = POLICY.of_removed(news, store_back_at_seconds=-math.inf)
    for last_use in (POLICY.of_draining(news), removed):
        assert last_use <= began_at + POLICY.drain_seconds - SEND_MARGIN_SECONDS


def test_replica_whose_leaving_may_have_begun_at_any_time_gets_no_grace() -> None:
    news = News(learnt_at_seconds=5.0)
    assert POLICY.of_draining(news) == -math.inf
    assert POLICY.of_removed(news, store_back_at_seconds=-math.inf) == -math.inf


def test_news_without_delay_leave_the_whole_grace() -> None:
    news = News(learnt_at_seconds=5.0, made_after_seconds=4.0)
    assert POLICY.of_draining(news) == 5.0 + DRAINING_GRACE_SECONDS


def test_registrations_that_may_have_expired_in_an_outage_are_used_until_renewed() -> (
    None
):
    news = News(learnt_at_seconds=5.0)
    last_use = POLICY.of_removed(news, store_back_at_seconds=4.5)
    assert last_use == 4.5 + LAPSED_GRACE_SECONDS


def test_registrations_do_not_lapse_in_an_outage_shorter_than_two_heartbeats() -> None:
    assert not can_have_lapsed(missed_seconds=2.0, timeout_seconds=3.6)
    assert can_have_lapsed(missed_seconds=2.5, timeout_seconds=3.6)
