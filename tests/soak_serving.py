"""Rules on processes of a soak run that are ready: they serve, answer and rest."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

from tests.soak_ends import ProcessRow
from tests.soak_history import RequestRow, SoakHistory

# As long as `RECOVERY_SECONDS` of the soak, after which requests are served again.
MAX_UNSERVED_SECONDS: Final = 6.0
MIN_REQUESTS: Final = 5  # of the process, and served by others meanwhile
MAX_SILENT_SECONDS: Final = 4.0
MAX_BUSY_SECONDS: Final = 4.0
BUSY_SHARE: Final = 0.95
# The quota of an account or its keys decide about these, not the process.
ACCOUNT_STATUSES: Final = (401, 429)
MIN_FAILURE_STATUS: Final = 500


def check_serving(history: SoakHistory) -> dict[str, list[str]]:
    """Return the violations of each rule."""
    return {
        "serves_nothing": list(_check_served(history)),
        "silent": list(_check_silent(history)),
        "busy": list(_check_busy(history)),
    }


def _check_served(history: SoakHistory) -> Iterable[str]:
    """A process that is ready serves requests while others do."""
    by_process: dict[tuple[str, int], list[RequestRow]] = defaultdict(list)
    served_at: dict[tuple[str, int], list[float]] = defaultdict(list)
    for row in sorted(history.requests, key=lambda item: item.sent_at_seconds):
        status = row.response.status if row.response is not None else None
        if row.kind == "probe" or status in ACCOUNT_STATUSES:
            continue
        by_process[row.gateway].append(row)
        if _is_served(row) and row.ended_at_seconds is not None:
            served_at[row.gateway].append(row.ended_at_seconds)
    for gateway, process in history.processes.items():
        for unserved in _unserved_runs(by_process[gateway], process):
            start = unserved[0].sent_at_seconds
            end = max(row.ended_at_seconds or start for row in unserved)
            lacked_seconds = history.lag_seconds(start, end) + _queued_seconds(
                process, start, end
            )
            if end - start - lacked_seconds <= MAX_UNSERVED_SECONDS:
                continue
            others = sum(
                start <= at <= end
                for name, times in served_at.items()
                if name != gateway
                for at in times
            )
            if others >= MIN_REQUESTS and not _was_harmed(history, gateway, start, end):
                yield process.describe(
                    f"it served none of {len(unserved)} requests in "
                    f"{end - start:.1f} s from {start:.2f}, others served {others}"
                )


def _is_served(row: RequestRow) -> bool:
    return row.response is not None and row.response.status < MIN_FAILURE_STATUS


def _unserved_runs(
    rows: Sequence[RequestRow], process: ProcessRow
) -> Iterable[list[RequestRow]]:
    """Yield the longest series of requests that were not served while it was ready."""
    ready_at = process.ready_at_seconds
    if ready_at is None:
        return
    run: list[RequestRow] = []
    for row in rows:
        if row.sent_at_seconds < ready_at or _is_stopping(process, row):
            continue
        if not _is_served(row):
            run.append(row)
            continue
        if len(run) >= MIN_REQUESTS:
            yield run
        run = []
    if len(run) >= MIN_REQUESTS:
        yield run


def _is_stopping(process: ProcessRow, row: RequestRow) -> bool:
    end = row.ended_at_seconds or row.sent_at_seconds
    return any(item.at_seconds <= end for item in process.signals if item.ends)


def _check_silent(history: SoakHistory) -> Iterable[str]:
    """A process that was ready answers readiness checks, also if it no longer is."""
    for gateway, process in history.processes.items():
        times = process.answered_at_seconds
        for earlier, later in zip(times, times[1:], strict=False):
            lacked_seconds = history.lag_seconds(earlier, later) + _queued_seconds(
                process, earlier, later
            )
            if later - earlier - lacked_seconds <= MAX_SILENT_SECONDS:
                continue
            if not _was_harmed(history, gateway, earlier, later):
                yield process.describe(
                    f"it answered no readiness check for {later - earlier:.1f} s "
                    f"from {earlier:.2f}"
                )


def _check_busy(history: SoakHistory) -> Iterable[str]:
    """A process that is ready does not use a whole processor for long."""
    for process in history.processes.values():
        busy_seconds, ready_at = 0.0, process.ready_at_seconds
        for earlier, later in zip(process.samples, process.samples[1:], strict=False):
            if ready_at is None or earlier.at_seconds < ready_at:
                continue
            elapsed_seconds = later.at_seconds - earlier.at_seconds
            running_seconds = elapsed_seconds - (
                later.queued_seconds - earlier.queued_seconds
            )
            used_seconds = later.used_seconds - earlier.used_seconds
            # A process that waited for a processor all the time tells nothing.
            if used_seconds < BUSY_SHARE * running_seconds or running_seconds <= 0.0:
                busy_seconds = 0.0
                continue
            busy_seconds += used_seconds
            if busy_seconds > MAX_BUSY_SECONDS:
                yield process.describe(
                    f"it was busy for {busy_seconds:.1f} s until {later.at_seconds:.2f}"
                )
                break


def _queued_seconds(process: ProcessRow, start: float, end: float) -> float:
    """Return how long a process waited for a processor in a time, as sampled."""
    before = [item for item in process.samples if item.at_seconds <= start][-1:]
    inside = [item for item in process.samples if start < item.at_seconds <= end]
    after = [item for item in process.samples if item.at_seconds > end][:1]
    rows = [*before, *inside, *after]
    if not rows:
        return 0.0
    return rows[-1].queued_seconds - rows[0].queued_seconds


def _was_harmed(
    history: SoakHistory, gateway: tuple[str, int], start: float, end: float
) -> bool:
    """Whether the process was paused or killed, or its settings or ports harmed."""
    return any(
        name == gateway[0] and since <= end and until >= start
        for name, since, until in history.disturbed
    )
