"""Prometheus metrics of the gateway."""

from collections.abc import Mapping
from typing import Final

from attrs import define, field

from bronzebeam.gateway.evacuations import DomainCounts
from bronzebeam.gateway.process_metrics import ProcessMetrics
from bronzebeam.gateway.quota_metrics import QuotaMetrics
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.routing.routes import Route, RouteTable
from bronzebeam.telemetry.metrics import (
    Counter,
    Gauge,
    LatencyMetric,
    MetricFamily,
    MetricRegistry,
)

# The histogram of a route takes 68 KB, and 1.5 ms of each rendering.
MAX_ROUTE_NAMES: Final = 60
OTHER_ROUTES: Final = "other"


@define(kw_only=True, eq=False, repr=False)
class GatewayMetrics:
    """
    Counters and latency histograms of requests and sub-requests.

    :ivar _route_names: routes that have metrics of their own.
    """

    registry: MetricRegistry = field(factory=MetricRegistry)
    quotas: QuotaMetrics = field(init=False)
    process: ProcessMetrics = field(init=False)
    _received: MetricFamily[Counter] = field(init=False)
    _served: MetricFamily[Counter] = field(init=False)
    _requests: MetricFamily[Counter] = field(init=False)
    _latency: MetricFamily[LatencyMetric] = field(init=False)
    _cutoff_delay: MetricFamily[LatencyMetric] = field(init=False)
    _peer_delay: MetricFamily[LatencyMetric] = field(init=False)
    _disconnects: MetricFamily[Counter] = field(init=False)
    _repeats: MetricFamily[Counter] = field(init=False)
    _delegations: MetricFamily[Counter] = field(init=False)
    _relays: MetricFamily[Counter] = field(init=False)
    _limited_sends: MetricFamily[Counter] = field(init=False)
    _cold_sends: MetricFamily[Counter] = field(init=False)
    _leaving_sends: MetricFamily[Counter] = field(init=False)
    _replicas: MetricFamily[Gauge] = field(init=False)
    _malformed: MetricFamily[Gauge] = field(init=False)
    _evacuated: MetricFamily[Gauge] = field(init=False)
    _route_names: set[str] = field(factory=set)
    _table: RouteTable | None = None
    _evacuated_domains: frozenset[str] = frozenset()
    _waiting: MetricFamily[Gauge] = field(init=False)
    _refused: MetricFamily[Counter] = field(init=False)
    _wait: MetricFamily[LatencyMetric] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._received = self.registry.counter(
            name="bronzebeam_gateway_received_total",
            help_text="Requests received from callers.",
        )
        self._served = self.registry.counter(
            name="bronzebeam_gateway_served_total",
            help_text="Requests of callers answered by replicas, without an error.",
        )
        for family in (self._received, self._served):
            family.labels()  # shown from the start
        self._requests = self.registry.counter(
            name="bronzebeam_gateway_requests_total",
            help_text="Requests answered, by route and status.",
            label_names=("route", "status"),
        )
        self._latency = self.registry.latency(
            name="bronzebeam_gateway_request_seconds",
            help_text="Time from the first byte of a request to its answer.",
            label_names=("route",),
        )
        self._cutoff_delay = self.registry.latency(
            name="bronzebeam_gateway_cutoff_delay_seconds",
            help_text="Time from the cut-off of a fan-out to its answer.",
        )
        self._peer_delay = self.registry.latency(
            name="bronzebeam_gateway_peer_delay_seconds",
            help_text="Time from a peer's cut-off to the arrival of its reply.",
        )
        self._disconnects = self.registry.counter(
            name="bronzebeam_gateway_callers_left_total",
            help_text="Requests whose caller left before the answer.",
            label_names=("route",),
        )
        self._repeats = self.registry.counter(
            name="bronzebeam_gateway_repeats_total",
            help_text="Sub-requests sent once more, by reason.",
            label_names=("reason",),
        )
        self._delegations = self.registry.counter(
            name="bronzebeam_gateway_delegations_total",
            help_text="Groups of shards handed to peers, by result.",
            label_names=("result",),
        )
        self._relays = self.registry.counter(
            name="bronzebeam_gateway_relays_total",
            help_text="Requests of one replica sent through peers, by result.",
            label_names=("result",),
        )
        self._limited_sends = self.registry.counter(
            name="bronzebeam_gateway_limited_sends_total",
            help_text="Requests sent to replicas that limit their requests, by kind.",
            label_names=("kind",),
        )
        self._cold_sends = self.registry.counter(
            name="bronzebeam_gateway_cold_sends_total",
            help_text="Requests sent to cold replicas with a limit, by kind.",
            label_names=("kind",),
        )
        self._leaving_sends = self.registry.counter(
            name="bronzebeam_gateway_leaving_sends_total",
            help_text="Requests sent to replicas that are leaving, by what says so.",
            label_names=("source",),
        )
        self._replicas = self.registry.gauge(
            name="bronzebeam_gateway_replicas_count",
            help_text="Known replicas, by whether a connection to them is open.",
            label_names=("connected",),
        )
        self._malformed = self.registry.gauge(
            name="bronzebeam_gateway_malformed_records_count",
            help_text="Records of the store that can't be read and are ignored.",
        )
        self.quotas = QuotaMetrics(registry=self.registry)
        self.process = ProcessMetrics(registry=self.registry)
        self._evacuated = self.registry.gauge(
            name="bronzebeam_gateway_evacuated_domain_count",
            help_text="Replicas that get no requests, and requests they still run.",
            label_names=("domain", "kind"),
        )
        self._waiting = self.registry.gauge(
            name="bronzebeam_gateway_waiting_count",
            help_text="Requests that wait for room, by priority.",
            label_names=("priority",),
        )
        self._refused = self.registry.counter(
            name="bronzebeam_gateway_no_room_total",
            help_text="Requests refused for lack of room, by priority and reason.",
            label_names=("priority", "reason"),
        )
        self._wait = self.registry.latency(
            name="bronzebeam_gateway_wait_seconds",
            help_text="Time for which requests without room waited, started or not.",
            label_names=("priority",),
        )

    def count_received(self) -> None:
        """Count a request that a caller has sent."""
        self._received.labels().increment()

    def count_served(self) -> None:
        """Count a request that replicas have answered without an error."""
        self._served.labels().increment()

    def set_waiting(self, *, priority: int, count: int) -> None:
        """Set the number of requests of a priority that wait for room."""
        self._waiting.labels(priority=str(priority)).set(count)

    def record_wait(self, *, priority: int, seconds: float) -> None:
        """Record the time that a request waited until it was started or refused."""
        self._wait.labels(priority=str(priority)).record(seconds=seconds)

    def count_no_room(self, *, priority: int, reason: str) -> None:
        """Count a request that was refused for lack of room."""
        self._refused.labels(priority=str(priority), reason=reason).increment()

    def count_delegation(self, result: str) -> None:
        """Count a completed delegation of shards to a peer."""
        self._delegations.labels(result=result).increment()

    def count_relay(self, result: str) -> None:
        """Count a request that a peer has sent to a replica for this instance."""
        self._relays.labels(result=result).increment()

    def count_limited_send(self, kind: str) -> None:
        """Count a request sent to a replica that limits its requests."""
        self._limited_sends.labels(kind=kind).increment()

    def count_cold_send(self, kind: str) -> None:
        """Count a request sent to a cold replica whose service states a cold rate."""
        self._cold_sends.labels(kind=kind).increment()

    def count_leaving_send(self, source: str) -> None:
        """Count a request sent to a replica that is known to be leaving."""
        self._leaving_sends.labels(source=source).increment()

    def set_replica_counts(self, *, connected: int, unconnected: int) -> None:
        """Set the number of known replicas."""
        self._replicas.labels(connected="true").set(connected)
        self._replicas.labels(connected="false").set(unconnected)

    def set_malformed(self, count: int) -> None:
        """Set the number of records in the store that can't be read."""
        self._malformed.labels().set(count)

    def set_evacuated(self, counts: Mapping[str, DomainCounts]) -> None:
        """
        Set the figures of the evacuated failure domains.

        :param counts: counts of each evacuated domain; those of others become 0.
        """
        self._evacuated_domains |= counts.keys()
        for domain in self._evacuated_domains:
            item = counts.get(domain)
            for kind, count in (
                ("replicas", item.replicas if item is not None else 0),
                ("running", item.running if item is not None else 0),
            ):
                self._evacuated.labels(domain=domain, kind=kind).set(count)

    def count_response(self, routed: RoutedRequest, *, status: int, now: float) -> None:
        """Count a response and record its latency."""
        name = self._route_label(routed.route)
        self._requests.labels(route=name, status=str(status)).increment()
        seconds = now - routed.request.arrived_at_seconds
        self._latency.labels(route=name).record(seconds=seconds)

    def record_cutoff_delay(self, seconds: float) -> None:
        """Record the time from the cut-off of a fan-out to its answer."""
        self._cutoff_delay.labels().record(seconds=seconds)

    def record_peer_delay(self, seconds: float) -> None:
        """Record the time from a peer's cut-off to the arrival of its reply."""
        self._peer_delay.labels().record(seconds=seconds)

    def count_rejection(self, reason: str) -> None:
        """Count a request that was rejected before a route was found."""
        self._requests.labels(route="none", status=reason).increment()

    def count_caller_disconnect(self, route: Route) -> None:
        """Count a request whose caller disconnected before the response."""
        self._disconnects.labels(route=self._route_label(route)).increment()

    def set_table(self, table: RouteTable) -> None:
        """Drop the metrics of routes that are not in the active configuration."""
        if table is self._table:
            return
        self._table = table
        for name in self._route_names - {route.name for route in table.routes}:
            self._route_names.remove(name)
            for family in (self._requests, self._latency, self._disconnects):
                family.forget(label="route", value=name)

    def _route_label(self, route: Route) -> str:
        if route.name not in self._route_names:
            if len(self._route_names) >= MAX_ROUTE_NAMES:
                return OTHER_ROUTES
            self._route_names.add(route.name)
        return route.name

    def count_repeat(self, reason: str) -> None:
        """Count a hedge or a retry."""
        self._repeats.labels(reason=reason).increment()
