"""Filters ahead of the idempotency filter claim nothing about earlier attempts."""

from attrs import evolve, frozen

from bronzebeam.filters.chain import CallerRequest, Filter, Handler
from bronzebeam.filters.resends import ResendGuard
from bronzebeam.outcomes import Answered, NotRun, Outcome, OutcomeUnknown, Refused
from tests.fixtures_bookings import Entry, caller_key, open_fleet, run_virtual

OVERLOADED = NotRun(reason="overloaded", retry_after_ms=5)
QUARANTINED = Refused(reason="quarantined")


@frozen(kw_only=True)
class Fixed:
    """Answers every request alike; lets it pass if there is no answer."""

    outcome: Outcome | None

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        return self.outcome or await proceed(request)


async def answer_behind(
    entry: Entry, filters: list[Filter], *, key: str | None, idempotent: bool = False
) -> Outcome:
    """Return the answer of a guard with `filters` ahead of an inner `not_run`."""
    request = entry.make_request(key=key)
    if idempotent:
        request = evolve(request, operation=None)

    async def proceed(request: CallerRequest) -> Outcome:
        return NotRun(reason="inner")

    return await ResendGuard(filters=filters).apply(request, proceed)


def test_request_turned_away_may_have_run_before() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            passing, turning = Fixed(outcome=None), Fixed(outcome=OVERLOADED)
            turned = await answer_behind(entry, [passing, turning], key=caller_key(1))
            assert isinstance(turned, OutcomeUnknown)
            assert (turned.reason, turned.retry_after_ms) == ("overloaded", 5)
            refused = await answer_behind(
                entry, [Fixed(outcome=QUARANTINED)], key=caller_key(1)
            )
            assert isinstance(refused, Refused) and refused.ran

    run_virtual(main)


def test_other_answers_are_passed_on() -> None:
    async def main() -> None:
        async with open_fleet() as fleet:
            entry = fleet.entries[0]
            turning = Fixed(outcome=OVERLOADED)
            assert await answer_behind(entry, [turning], key=None) == OVERLOADED
            search = await answer_behind(
                entry, [turning], key=caller_key(1), idempotent=True
            )
            assert search == OVERLOADED
            inner = await answer_behind(entry, [], key=caller_key(1))
            assert inner == NotRun(reason="inner")
            cached = Answered(result=1)
            answered = await answer_behind(
                entry, [Fixed(outcome=cached)], key=caller_key(1)
            )
            assert answered == cached

    run_virtual(main)
