"""Tests of what entries tell each other of the claims' store."""

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


def test_idle_entry_notices_an_older_store_by_what_a_peer_saw() -> None:
    writer, idle = _view((0.0, 120)), _view((0.0, 3))
    topic = StoreViewTopic(view=idle)
    assert topic.merge(StoreViewTopic(view=writer).delta(topic.digest()))
    floor = idle.highest_revision
    assert not idle.note_write(mod_revision=118, floor=floor)


def test_loss_found_by_one_entry_is_distrusted_by_the_other() -> None:
    told: list[bool] = []
    finder, other = _view((0.0, 120)), _view((0.0, 119))
    finder.on_claims_lost = lambda: told.append(True)
    finder.note_regression(trusted_from_seconds=1_000.0)
    assert told == [True]
    topic = StoreViewTopic(view=other)
    assert topic.merge(StoreViewTopic(view=finder).digest())
    assert other.distrusted_before_seconds == 1_000.0
    assert other.note_write(mod_revision=90, floor=other.highest_revision)


@settings(derandomize=True, database=None, deadline=None)
@given(states=st.lists(VIEWS, min_size=1, max_size=5), order=st.randoms())
def test_views_merge_to_the_same_in_any_order(
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


def test_malformed_payloads_are_findings() -> None:
    topic = StoreViewTopic(view=_view((0.0, 0)))
    for payload in (None, [], [1], "ab", {"a": 1}, [1.0, float("inf")]):
        try:
            topic.merge(payload)
        except FindingsError:
            continue
        raise AssertionError(payload)
