"""Tests of the answers to possible resends by filters before the idempotency filter."""

from attrs import evolve, frozen

from bronzebeam.filters.chain import CallerRequest, Filter, Handler
from bronzebeam.filters.resends import ResendGuard
from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Refused
from tests.fixtures_bookings import Entry, caller_key, open_fleet, run_virtual

OVERLOADED = NotRun(reason="overloaded", retry_after_ms=5)
QUARANTINED = Refused(reason="quarantined")


@frozen(kw_only=True)
class FixedOutcomeFilter:
    """Returns a fixed outcome for every request; without one, calls `proceed`."""

    outcome: Outcome | None

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        return self.outcome or await proceed(request)


async def answer_through_guard(
    entry: Entry, filters: list[Filter], *, key: str | None, idempotent: bool = False
) -> Outcome:
    """Return the answer of a guard whose inner handler answers `not_run`."""
    request = entry.make_request(key=key)
    if idempotent:
        request = evolve(request, operation=None)

    async def proceed(request: CallerRequest) -> Outcome:
        return NotRun(reason="inner")

    return await ResendGuard(filters=filters).apply(request, proceed)


def test_rejected_request_may_have_run_earlier() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            passing, rejecting = (
                FixedOutcomeFilter(outcome=None),
                FixedOutcomeFilter(outcome=OVERLOADED),
            )
            rejected = await answer_through_guard(
                entry, [passing, rejecting], key=caller_key(1)
            )
            assert isinstance(rejected, OutcomeUnknown)
            assert (rejected.reason, rejected.retry_after_ms) == ("overloaded", 5)
            refused = await answer_through_guard(
                entry, [FixedOutcomeFilter(outcome=QUARANTINED)], key=caller_key(1)
            )
            assert isinstance(refused, Refused) and refused.ran

    run_virtual(main)


def test_other_answers_are_returned_unchanged() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            rejecting = FixedOutcomeFilter(outcome=OVERLOADED)
            assert (
                await answer_through_guard(entry, [rejecting], key=None) == OVERLOADED
            )
            search = await answer_through_guard(
                entry, [rejecting], key=caller_key(1), idempotent=True
            )
            assert search == OVERLOADED
            inner = await answer_through_guard(entry, [], key=caller_key(1))
            assert inner == NotRun(reason="inner")
            cached = Answered(result=1)
            answered = await answer_through_guard(
                entry, [FixedOutcomeFilter(outcome=cached)], key=caller_key(1)
            )
            assert answered == cached

    run_virtual(main)
