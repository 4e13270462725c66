"""Metrics of callers' requests and of the entry process."""

from collections.abc import Callable

from bronzebeam import invariants
from bronzebeam.outcomes import Answered, Outcome
from bronzebeam.telemetry.metrics import MetricRegistry
from bronzebeam.telemetry.traffic import ControlChannel, ControlTraffic


class QueryMetrics:
    """
    Counts request outcomes and measures latency, by service.

    :ivar before_render: called before rendering, to update further metrics.
    """

    def __init__(self) -> None:
        self.registry = MetricRegistry()
        self._outcomes = self.registry.counter(
            name="bronzebeam_requests_total",
            help_text="Callers' requests by outcome and reason.",
            label_names=("service", "outcome", "reason"),
        )
        self._latency = self.registry.latency(
            name="bronzebeam_request_seconds",
            help_text="Time from arrival to answer.",
            label_names=("service",),
        )
        self._missing_shards = self.registry.counter(
            name="bronzebeam_missing_shards_total",
            help_text="Shards that answers do not include.",
            label_names=("service",),
        )
        self.traffic = ControlTraffic()
        self.before_render: Callable[[], None] = lambda: None
        self._control_bytes = self.registry.gauge(
            name="bronzebeam_control_bytes",
            help_text="Bytes of control messages, both ways, since the start.",
            label_names=("channel",),
        )
        self._violations = self.registry.gauge(
            name="bronzebeam_invariant_violations_count",
            help_text="Invariants found broken since the start.",
        )

    def record(self, *, service: str, outcome: Outcome, elapsed_seconds: float) -> None:
        """Record the outcome and the latency of one request."""
        reason = "" if isinstance(outcome, Answered) else getattr(outcome, "reason", "")
        self._outcomes.labels(
            service=service, outcome=outcome.tag, reason=str(reason)
        ).increment()
        self._latency.labels(service=service).record(seconds=elapsed_seconds)
        coverage = getattr(outcome, "coverage", None)
        if coverage is not None and coverage.missing:
            self._missing_shards.labels(service=service).increment(
                len(coverage.missing)
            )

    def render(self, *, now_seconds: float) -> str:
        """Render all metrics in the text exposition format."""
        self.before_render()
        self._violations.labels().set(float(sum(invariants.violations.values())))
        for channel in ControlChannel:
            counted_bytes = float(self.traffic.counted_bytes[channel])
            self._control_bytes.labels(channel=channel.value).set(counted_bytes)
        return self.registry.render(now_seconds=now_seconds)
