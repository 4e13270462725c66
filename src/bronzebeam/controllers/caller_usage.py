"""Fleet-wide rate limits of callers: this entry's share and its peers' reports."""

from collections.abc import Callable, Mapping
from typing import Any, Final

from attrs import define, field, frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.findings import FindingsError, one_finding
from bronzebeam.routing.caller_rates import CallerRates, RateDecision

TOPIC: Final = "caller_usage"
MAX_TOPIC_BYTES: Final = 32_768
MAX_CALLERS_PER_REPORT: Final = 50
REPORT_INTERVAL_SECONDS: Final = 4.0
REPORT_RETENTION_SECONDS: Final = 15.0
MAX_REPORTS: Final = 64


@frozen(kw_only=True)
class UsageReport:
    """
    Requests that callers send to one entry, allowed or not.

    :ivar at_seconds: wall time of the report at its entry.
    :ivar demand: requests per second by caller.
    """

    at_seconds: float
    demand: Mapping[str, float]


@define(kw_only=True)
class CallerUsage:
    """
    Token buckets of callers, and the topic that divides their rates among entries.

    Implements `CallerRateLimiter` and `GossipTopic`; no method is asynchronous.

    :ivar instance: name of this entry.
    :ivar live_entries: returns the number of live entries, including this one.
    """

    instance: str
    clock: Clock
    live_entries: Callable[[], int] = lambda: 1
    _rates: CallerRates | None = field(default=None, init=False)
    _reports: dict[str, UsageReport] = field(factory=dict, init=False)
    _reported_at_seconds: float = field(default=-REPORT_INTERVAL_SECONDS, init=False)

    def take(self, request: CallerRequest) -> RateDecision:
        """Take a token for one request of the caller, if its rate allows it."""
        spec = request.document.caller_limit
        if self._rates is None or self._rates.spec != spec:
            self._rates = CallerRates(spec=spec)
            self._apply_peer_reports()
        now = self.clock.monotonic_seconds()
        return self._rates.take(request.caller, now_seconds=now)

    def digest(self) -> Any:
        """Return the time of the last report of each entry."""
        self._refresh_own_report()
        return {name: report.at_seconds for name, report in self._reports.items()}

    def delta(self, since: Any) -> Any:
        """Return the reports that are newer than in `since`; None if there are none."""
        if not isinstance(since, dict):
            raise _malformed("the digest is not an object")
        self._refresh_own_report()
        newer = {
            name: {"at_seconds": report.at_seconds, "demand": dict(report.demand)}
            for name, report in self._reports.items()
            if not _is_at_least(since.get(name), report.at_seconds)
        }
        return newer or None

    def merge(self, payload: Any) -> bool:
        """Merge the reports of a peer; return whether any was new."""
        updates = {
            name: report
            for name, report in _reports_from_json(payload).items()
            if name != self.instance and self._is_newer(name, report)
        }
        self._reports.update(updates)
        self._drop_old_reports()
        self._apply_peer_reports()
        return bool(updates)

    def _is_newer(self, name: str, report: UsageReport) -> bool:
        known = self._reports.get(name)
        return known is None or known.at_seconds < report.at_seconds

    def _refresh_own_report(self) -> None:
        """Renew this entry's report, at most once every `REPORT_INTERVAL_SECONDS`."""
        now = self.clock.monotonic_seconds()
        if (
            self._rates is None
            or now - self._reported_at_seconds < REPORT_INTERVAL_SECONDS
        ):
            return
        self._reported_at_seconds = now
        demand = self._rates.report(now_seconds=now, max_callers=MAX_CALLERS_PER_REPORT)
        rounded = {name: round(rate, 1) for name, rate in demand.items()}
        nonzero = {name: rate for name, rate in rounded.items() if rate > 0}
        known = self._reports.get(self.instance)
        # An idle entry has nothing to report, once an empty report has replaced its
        # last one.
        if nonzero or (known is not None and known.demand):
            self._reports[self.instance] = UsageReport(
                at_seconds=round(self.clock.wall_seconds(), 1), demand=nonzero
            )
        self._drop_old_reports()
        self._apply_peer_reports()

    def _drop_old_reports(self) -> None:
        oldest = self.clock.wall_seconds() - REPORT_RETENTION_SECONDS
        fresh = [
            (name, report)
            for name, report in self._reports.items()
            if report.at_seconds >= oldest
        ]
        fresh.sort(key=lambda item: item[1].at_seconds, reverse=True)
        self._reports = dict(fresh[:MAX_REPORTS])

    def _apply_peer_reports(self) -> None:
        if self._rates is None:
            return
        reports = [
            report.demand
            for name, report in self._reports.items()
            if name != self.instance
        ]
        self._rates.apply_peer_reports(reports, live_entries=self.live_entries())


def _is_at_least(known: Any, at_seconds: float) -> bool:
    return isinstance(known, (int, float)) and known >= at_seconds


def _reports_from_json(payload: Any) -> dict[str, UsageReport]:
    if not isinstance(payload, dict):
        raise _malformed("the payload is not an object")
    try:
        return {
            str(name): UsageReport(
                at_seconds=float(item["at_seconds"]),
                demand={str(k): float(v) for k, v in item["demand"].items()},
            )
            for name, item in payload.items()
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise _malformed(f"a report is malformed: {error!r}") from error


def _malformed(message: str) -> FindingsError:
    return one_finding(subject=TOPIC, message=message)
