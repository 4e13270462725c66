"""Histories of bookings and their checker."""

from attrs import define, field

from bronzebeam.outcomes import Answered, NotRun, Outcome


@define(kw_only=True)
class Attempt:
    """One attempt as seen by its caller and by the backend server."""

    key: str
    payload: str
    sent_at_seconds: float
    ran_at_seconds: list[float] = field(factory=list)
    outcome: Outcome | None = None


class HistoryViolation(AssertionError):
    """The history violates a guarantee for bookings."""


def check_history(attempts: list[Attempt]) -> None:
    """
    Check the runs and answers of every key.

    :raises HistoryViolation: if a key ran twice, if an attempt was answered `not_run`
        although the request had run before or during it, if two answers of a key
        differ, or if a key was answered without a run.
    """
    for key in {attempt.key for attempt in attempts}:
        _check_key(key, [attempt for attempt in attempts if attempt.key == key])


def _check_key(key: str, attempts: list[Attempt]) -> None:
    runs = [
        (ran_at, attempt) for attempt in attempts for ran_at in attempt.ran_at_seconds
    ]
    if len(runs) > 1:
        raise HistoryViolation(f"{key} ran {len(runs)} times")
    for attempt in attempts:
        if not isinstance(attempt.outcome, NotRun):
            continue
        for ran_at, runner in runs:
            earlier = ran_at < attempt.sent_at_seconds
            if runner is attempt or (earlier and runner.payload == attempt.payload):
                raise HistoryViolation(f"{key} ran, but was answered as not run")
    answers = [a.outcome.result for a in attempts if isinstance(a.outcome, Answered)]
    if any(answer != answers[0] for answer in answers):
        raise HistoryViolation(f"{key} has different answers")
    if answers and not runs:
        raise HistoryViolation(f"{key} was answered without a run")
