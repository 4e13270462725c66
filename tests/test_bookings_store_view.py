"""Tests of the views of the claims' store that entries share."""

from random import Random

from hypothesis import given, settings, strategies as st

from bronzebeam.clock import SystemClock
from bronzebeam.controllers.store_view import StoreView
from bronzebeam.controllers.store_view_topic import StoreViewTopic
from bronzebeam.findings import FindingsError

VIEWS = st.tuples(st.floats(0, 1e9), st.integers(0, 1_000))


def _view(state: tuple[float, int]) -> StoreView:
    view = StoreView(clock=SystemClock())
    view.distrusted_before_seconds, view.highest_revision = state
    return view


def _state(view: StoreView) -> tuple[float, int]:
    return view.distrusted_before_seconds, view.highest_revision


def test_idle_entry_detects_an_older_store_from_a_peers_view() -> None:
    writer, idle = _view((0.0, 120)), _view((0.0, 3))
    topic = StoreViewTopic(view=idle)
    assert topic.merge(StoreViewTopic(view=writer).delta(topic.digest()))
    previous_highest = idle.highest_revision
    assert not idle.record_write(mod_revision=118, previous_highest=previous_highest)


def test_claim_loss_detected_by_one_entry_is_shared_with_another() -> None:
    notifications: list[bool] = []
    detector, other = _view((0.0, 120)), _view((0.0, 119))
    detector.on_claims_lost = lambda: notifications.append(True)
    detector.record_regression(trusted_from_seconds=1_000.0)
    assert notifications == [True]
    topic = StoreViewTopic(view=other)
    assert topic.merge(StoreViewTopic(view=detector).digest())
    assert other.distrusted_before_seconds == 1_000.0
    assert other.record_write(mod_revision=90, previous_highest=other.highest_revision)


@settings(derandomize=True, database=None, deadline=None)
@given(states=st.lists(VIEWS, min_size=1, max_size=5), order=st.randoms())
def test_merging_views_is_order_independent(
    states: list[tuple[float, int]], order: Random
) -> None:
    merged = []
    for _ in range(2):
        order.shuffle(states)
        view = _view((0.0, 0))
        for state in [*states, *states]:
            StoreViewTopic(view=view).merge(list(state))
        merged.append(_state(view))
    assert merged[0] == merged[1] == max([*states, (0.0, 0)])


def test_malformed_payloads_are_rejected() -> None:
    topic = StoreViewTopic(view=_view((0.0, 0)))
    for payload in (None, [], [1], "ab", {"a": 1}, [1.0, float("inf")]):
        try:
            topic.merge(payload)
        except FindingsError:
            continue
        raise AssertionError(payload)
