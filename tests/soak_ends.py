"""Processes of a soak run: how they ended, what they used, and rules that must hold."""

import os
import signal
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final

from attrs import define, field, frozen

from tests.soak_history import SoakHistory

READY_BOUND_SECONDS: Final = 10.0
STOP_BOUND_SECONDS: Final = 6.0  # `bounds.gracePeriodS` of the gateways
# A request that was sent so late after SIGTERM, and is at work so late, may be cut off.
LATE_SEND_SECONDS: Final = 3.0
LATE_WORK_SECONDS: Final = STOP_BOUND_SECONDS * 5.0 / 6.0
# Time without a processor, of the process or the rig, after which no bound on a stop
# can be checked.
MAX_QUEUED_SECONDS: Final = 1.0
INTERPRETER_SECONDS: Final = 0.1  # processor time until the gateway's first line
MAX_MEMORY_BYTES: Final = 300_000_000
MAX_DESCRIPTORS: Final = 3_900
LOG_LINE_COUNT: Final = 20
SIGNAL_COUNT: Final = 10
MAX_ERROR_LINES: Final = 5
FAILURE_EVENTS: Final = ("event=unhandled_error", "event=failed", "event=task_failed")
NONE_SERVED_EVENT: Final = "event=none_served"
STOPS: Final = {signal.SIGTERM, signal.SIGINT}
EXIT_CUT_OFF: Final = 1


@define(kw_only=True, eq=False)
class SignalRow:
    """
    A signal that the rig has sent.

    :ivar early: the process did not run the gateway's code yet, which ignores SIGHUP
        first of all.
    :ivar used_seconds: processor time that it had used until then.
    :ivar queued_seconds: time that it had spent until then waiting for a processor.
    """

    number: signal.Signals
    at_seconds: float
    early: bool
    used_seconds: float = 0.0
    queued_seconds: float = 0.0

    @property
    def ends(self) -> bool:
        """Whether it stops or kills the process."""
        return self.number in {*STOPS, signal.SIGKILL}


@frozen(kw_only=True)
class SampleRow:
    """What a process had used at a time; see `ProcessRow`."""

    at_seconds: float
    used_seconds: float
    queued_seconds: float


@define(kw_only=True, eq=False)
class ProcessRow:
    """
    A process of a gateway.

    :ivar gateway: name and number of its start.
    :ivar ready_at_seconds: time of the first successful readiness check.
    :ivar overdue: it still ran when it should have ended, and was killed.
    :ivar used_seconds: processor time that it has used, as last sampled.
    :ivar queued_seconds: time that it has spent waiting for a processor, as last
        sampled; until it was ready in `ready_queued_seconds`.
    :ivar peak_bytes: high-water mark of its resident memory, as last sampled.
    :ivar first_bytes: resident memory when it was first sampled after it was ready.
    :ivar samples: what it had used, about once a second.
    :ivar answered_at_seconds: times of its answers to readiness checks, from the first
        successful one on.
    :ivar last_lines: end of its log.
    :ivar failure_lines: lines of its log about exceptions.
    :ivar served_none: its log says that it served none of its requests for a while.
    :ivar error_text: all that it wrote to standard error.
    """

    gateway: tuple[str, int]
    pid: int
    started_at_seconds: float
    log: Path
    errors: Path
    signals: list[SignalRow] = field(factory=list)
    ready_at_seconds: float | None = None
    ended_at_seconds: float | None = None
    exit_code: int | None = None
    overdue: bool = False
    used_seconds: float = 0.0
    queued_seconds: float = 0.0
    ready_queued_seconds: float = 0.0
    peak_bytes: int = 0
    first_bytes: int = 0
    last_bytes: int = 0
    first_descriptors: int = 0
    last_descriptors: int = 0
    peak_descriptors: int = 0
    samples: list[SampleRow] = field(factory=list)
    answered_at_seconds: list[float] = field(factory=list)
    last_lines: list[str] = field(factory=list)
    failure_lines: list[str] = field(factory=list)
    served_none: bool = False
    error_text: str = ""

    def note_signal(self, number: signal.Signals, at_seconds: float) -> None:
        hangup = 1 << (signal.SIGHUP - 1)
        fields = self._status()
        handled = int(fields.get("SigIgn", "0"), 16) | int(
            fields.get("SigCgt", "0"), 16
        )
        self._sample_times()
        row = SignalRow(
            number=number,
            at_seconds=at_seconds,
            early=not handled & hangup,
            used_seconds=self.used_seconds,
            queued_seconds=self.queued_seconds,
        )
        self.signals.append(row)

    def note_ready(self, at_seconds: float) -> None:
        self._sample_times()
        self.ready_at_seconds = at_seconds
        self.ready_queued_seconds = self.queued_seconds

    def note_end(self, exit_code: int, at_seconds: float) -> None:
        self.exit_code, self.ended_at_seconds = exit_code, at_seconds
        lines = self.log.read_text(errors="replace").splitlines()
        self.last_lines = lines[-LOG_LINE_COUNT:]
        self.failure_lines = [
            line for line in lines if any(item in line for item in FAILURE_EVENTS)
        ]
        self.served_none = any(NONE_SERVED_EVENT in line for line in lines)
        self.error_text = self.errors.read_text(errors="replace")

    def note_answer(self, at_seconds: float) -> None:
        if self.ready_at_seconds is not None:
            self.answered_at_seconds.append(at_seconds)

    def sample(self, at_seconds: float) -> None:
        self._sample_times()
        self.samples.append(
            SampleRow(
                at_seconds=at_seconds,
                used_seconds=self.used_seconds,
                queued_seconds=self.queued_seconds,
            )
        )
        fields = self._status()
        if "VmRSS" not in fields:
            return  # it has just ended
        self.last_bytes, self.peak_bytes = [
            1_024 * int(fields[name].split()[0]) for name in ("VmRSS", "VmHWM")
        ]
        try:
            self.last_descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return  # it has just ended
        self.peak_descriptors = max(self.peak_descriptors, self.last_descriptors)
        if self.ready_at_seconds is not None and not self.first_bytes:
            self.first_bytes = self.last_bytes
            self.first_descriptors = self.last_descriptors

    def _sample_times(self) -> None:
        try:
            text = Path(f"/proc/{self.pid}/schedstat").read_text()
        except OSError:
            return  # it has just ended
        self.used_seconds, self.queued_seconds = [
            int(value) / 1e9 for value in text.split()[:2]
        ]

    def _status(self) -> dict[str, str]:
        try:
            lines = Path(f"/proc/{self.pid}/status").read_text().splitlines()
        except OSError:
            return {}  # it has just ended
        return {
            name: value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }

    def describe(self, what: str) -> str:
        name, number = self.gateway
        ages = [
            f"{row.number.name} at {row.at_seconds - self.started_at_seconds:.3f} s"
            + f" (early, {row.used_seconds:.3f} s used)" * row.early
            for row in self.signals[-SIGNAL_COUNT:]
        ]
        ready, ended = [
            "never" if at is None else f"{at - self.started_at_seconds:.3f} s"
            for at in (self.ready_at_seconds, self.ended_at_seconds)
        ]
        return "\n".join(
            [
                f"start {number} of {name}, process {self.pid}: {what}; "
                f"code {self.exit_code}, ready after {ready}, ended after {ended}, "
                f"signals {ages}, memory {self.last_bytes} and at most "
                f"{self.peak_bytes} bytes, {self.last_descriptors} descriptors, "
                f"{self.queued_seconds:.2f} s without a processor",
                *self.last_lines,
                "standard error:",
                self.error_text,
            ]
        )


def check_processes(history: SoakHistory, *, timed: bool) -> dict[str, list[str]]:
    """
    Return the violations of each rule.

    :param timed: check the rules with time bounds too.
    """
    rows = list(history.processes.values())
    return {
        "unasked_end": list(_check_ends(history, rows, timed=timed)),
        "resources": [
            row.describe("it used too much")
            for row in rows
            if row.peak_bytes > MAX_MEMORY_BYTES
            or row.peak_descriptors > MAX_DESCRIPTORS
        ],
        "process_errors": [
            row.describe("\n".join(["errors:", *row.failure_lines[:MAX_ERROR_LINES]]))
            for row in rows
            if row.failure_lines or row.error_text
        ],
    }


def summarize(history: SoakHistory) -> dict[str, int]:
    """Return the greatest use of a process, and its greatest growth."""
    rows = [row for row in history.processes.values() if row.first_bytes]
    return {
        "starts": len(history.processes),
        "none_served": sum(row.served_none for row in history.processes.values()),
        "ended_by_early_signals": sum(
            _was_ended_early(row, timed=False) for row in history.processes.values()
        ),
        "lag_seconds": round(sum(lag for _, lag in history.lags)),
        "queued_seconds": round(max((row.queued_seconds for row in rows), default=0.0)),
        "memory_bytes": max((row.peak_bytes for row in rows), default=0),
        "memory_growth_bytes": max(
            (row.last_bytes - row.first_bytes for row in rows), default=0
        ),
        "descriptors": max((row.peak_descriptors for row in rows), default=0),
        "descriptor_growth": max(
            (row.last_descriptors - row.first_descriptors for row in rows), default=0
        ),
    }


def _check_ends(
    history: SoakHistory, rows: Iterable[ProcessRow], *, timed: bool
) -> Iterator[str]:
    for row in rows:
        if row.exit_code is not None and not _was_asked(history, row, timed=timed):
            yield row.describe("it ended by itself, or not as it was asked")
        if timed and row.overdue and not _may_stop_late(history, row):
            yield row.describe(f"it ran {STOP_BOUND_SECONDS} s after a signal")
        if timed and _was_late(history, row):
            yield row.describe(f"it was not ready in {READY_BOUND_SECONDS} s")


def _was_sent(row: ProcessRow, numbers: set[signal.Signals]) -> bool:
    return any(item.number in numbers for item in row.signals)


def _was_asked(history: SoakHistory, row: ProcessRow, *, timed: bool) -> bool:
    if row.exit_code == -signal.SIGKILL:
        return _was_sent(row, {signal.SIGKILL})
    if _was_ended_early(row, timed=timed):
        return True
    if not _was_sent(row, STOPS):
        return False
    if row.exit_code == EXIT_CUT_OFF:
        return _may_cut_off(history, row)
    return row.exit_code == 0


def _was_ended_early(row: ProcessRow, *, timed: bool) -> bool:
    """Whether a signal ended it before it could have handled any."""
    return any(
        item.early
        and row.exit_code == -item.number
        and item.number in {*STOPS, signal.SIGHUP}
        and (not timed or item.used_seconds < INTERPRETER_SECONDS)
        for item in row.signals
    )


def _may_cut_off(history: SoakHistory, row: ProcessRow) -> bool:
    """Whether it was paused, or a replica was at work until shortly before its end."""
    if _was_sent(row, {signal.SIGSTOP}):
        return True
    stop_at = min(item.at_seconds for item in row.signals if item.number in STOPS)
    sent = {
        request.attempt_id
        for request in history.requests
        if request.gateway == row.gateway
        and request.sent_at_seconds <= stop_at + LATE_SEND_SECONDS
    }
    return any(
        arrival.ran
        and arrival.attempt_id in sent
        and (
            arrival.finished_at_seconds is None
            or arrival.finished_at_seconds >= stop_at + LATE_WORK_SECONDS
        )
        for arrival in history.arrivals
    )


def _may_stop_late(history: SoakHistory, row: ProcessRow) -> bool:
    """Whether it was paused, or it or the rig lacked a processor, after the signal."""
    if _was_sent(row, {signal.SIGSTOP}):
        return True
    stops = [item for item in row.signals if item.number in STOPS]
    stops = stops or [item for item in row.signals if item.ends]
    if not stops or row.ended_at_seconds is None:
        return False
    return (
        row.queued_seconds
        - stops[0].queued_seconds
        + history.lag_seconds(stops[0].at_seconds, row.ended_at_seconds)
        > MAX_QUEUED_SECONDS
    )


def _was_late(history: SoakHistory, row: ProcessRow) -> bool:
    """Whether it was not ready in time, after all that was in its way."""
    since_seconds = row.started_at_seconds
    harmed = [*history.disturbed, *history.outages]
    for name, start, end in sorted(harmed, key=lambda item: item[1]):
        if name in ("", row.gateway[0]) and start < since_seconds + READY_BOUND_SECONDS:
            since_seconds = max(since_seconds, end)
    until_seconds, queued_seconds = row.ready_at_seconds, row.ready_queued_seconds
    if until_seconds is None:
        until_seconds, queued_seconds = row.ended_at_seconds, row.queued_seconds
    if until_seconds is None or _was_sent(row, STOPS):
        return False
    lacked_seconds = queued_seconds + history.lag_seconds(since_seconds, until_seconds)
    return until_seconds - lacked_seconds > since_seconds + READY_BOUND_SECONDS
