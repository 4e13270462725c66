"""Corrects answers of filters that do not know a request's earlier attempts."""

from collections.abc import Callable, Sequence
from dataclasses import replace

from bronzebeam.filters.chain import CallerRequest, Filter, Handler, build_chain
from bronzebeam.filters.idempotency import assume_resend
from bronzebeam.outcomes import NotRun, Outcome, OutcomeUnknown, Refused


class ResendGuard:
    """
    Runs filters ahead of the idempotency filter and corrects their answers.

    A filter that rejects a request, for instance under load, answers `not_run`. If
    the request is not idempotent and has a key, an earlier attempt with that key may
    have run, so the caller gets `outcome_unknown` instead.

    :param filters: filters to run, in order.
    :param is_first_attempt: whether the caller asserts that it never sent the key
        before.
    """

    def __init__(
        self,
        *,
        filters: Sequence[Filter],
        is_first_attempt: Callable[[CallerRequest], bool] = assume_resend,
    ) -> None:
        self._filters = tuple(filters)
        self._is_first_attempt = is_first_attempt

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`; answers of `proceed` are returned unchanged."""
        proceed_called = False

        async def mark_and_proceed(request: CallerRequest) -> Outcome:
            nonlocal proceed_called
            proceed_called = True
            return await proceed(request)

        outcome = await build_chain(self._filters, mark_and_proceed)(request)
        if proceed_called or not self._may_have_run(request):
            return outcome
        return _assume_earlier_attempt(outcome)

    def _may_have_run(self, request: CallerRequest) -> bool:
        if request.idempotent or request.idempotency_key is None:
            return False
        return not self._is_first_attempt(request)


def _assume_earlier_attempt(outcome: Outcome) -> Outcome:
    if isinstance(outcome, NotRun):
        return OutcomeUnknown(
            reason=outcome.reason,
            retry_after_ms=outcome.retry_after_ms,
            detail="This attempt was not sent; an earlier one under the key may have.",
        )
    if isinstance(outcome, Refused):
        return replace(outcome, ran=True)
    return outcome
