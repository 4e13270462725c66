"""Metrics of the process itself."""

import math

from attrs import define, field

from bronzebeam.telemetry.metrics import (
    Counter,
    Gauge,
    LatencyMetric,
    MetricFamily,
    MetricRegistry,
)
from bronzebeam.telemetry.process_resources import (
    ProcessResources,
    open_descriptors,
    resident_bytes,
)


@define(kw_only=True, eq=False, repr=False)
class ProcessMetrics:
    """Unhandled errors, delays, and the memory and descriptors in use."""

    registry: MetricRegistry
    _errors: MetricFamily[Counter] = field(init=False)
    _memory: MetricFamily[Gauge] = field(init=False)
    _descriptors: MetricFamily[Gauge] = field(init=False)
    _descriptor_limit: MetricFamily[Gauge] = field(init=False)
    _unfinished_replies: MetricFamily[Gauge] = field(init=False)
    _given_up_replies: MetricFamily[Gauge] = field(init=False)
    _tick_delay: MetricFamily[LatencyMetric] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._errors = self.registry.counter(
            name="bronzebeam_gateway_unhandled_errors_total",
            help_text="Exceptions that no code has handled, logged or not.",
        )
        self._errors.labels()  # shown from the start
        self._memory = self.registry.gauge(
            name="bronzebeam_gateway_resident_memory_bytes",
            help_text="Resident memory of the process.",
        )
        self._descriptors = self.registry.gauge(
            name="bronzebeam_gateway_open_descriptors_count",
            help_text="Open file descriptors.",
        )
        self._descriptor_limit = self.registry.gauge(
            name="bronzebeam_gateway_allowed_descriptors_count",
            help_text="File descriptors that the process may open.",
        )
        self._unfinished_replies = self.registry.gauge(
            name="bronzebeam_gateway_unfinished_reply_bytes",
            help_text="Memory used by replies that are not complete.",
        )
        self._given_up_replies = self.registry.gauge(
            name="bronzebeam_gateway_replies_given_up_count",
            help_text="Replies given up since they would have exceeded the memory.",
        )
        self._tick_delay = self.registry.latency(
            name="bronzebeam_gateway_tick_delay_seconds",
            help_text="Time by which the regular work started late.",
        )

    def count_error(self) -> None:
        """Count an exception that no code has handled."""
        self._errors.labels().increment()

    def record_tick_delay(self, seconds: float) -> None:
        """Record by how much the regular work of the process started late."""
        self._tick_delay.labels().record(seconds=seconds)

    def set_resources(
        self,
        resources: ProcessResources,
        *,
        unfinished_reply_bytes: int,
        replies_given_up: int,
    ) -> None:
        """
        Set what the process uses now; what is unknown is left out.

        :param unfinished_reply_bytes: used by replies that are not complete.
        :param replies_given_up: see `ReplyMemory`.
        """
        for family, value in (
            (self._memory, resident_bytes()),
            (self._unfinished_replies, unfinished_reply_bytes),
            (self._given_up_replies, replies_given_up),
            (self._descriptors, open_descriptors()),
            (self._descriptor_limit, resources.allowed_descriptors),
        ):
            if value is not None and value != math.inf:
                family.labels().set(value)
