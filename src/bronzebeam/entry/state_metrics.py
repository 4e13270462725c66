"""Metrics of an entry's state, updated when they are scraped."""

from attrs import define, field

from bronzebeam.controllers.backends import BackendController
from bronzebeam.entry.fleet_controllers import FleetControllers
from bronzebeam.entry.request_pipeline import RequestPipeline
from bronzebeam.telemetry.metrics import Gauge, MetricFamily, MetricRegistry


@define(kw_only=True, eq=False)
class StateMetrics:
    """Gauges of the active configuration, the fleet and the request pipeline."""

    registry: MetricRegistry
    fleet: FleetControllers
    pipeline: RequestPipeline
    _gauges: dict[str, MetricFamily[Gauge]] = field(factory=dict, init=False)
    _connections: MetricFamily[Gauge] = field(init=False)
    _concurrency_limits: MetricFamily[Gauge] = field(init=False)
    _extra_attempts: MetricFamily[Gauge] = field(init=False)

    def __attrs_post_init__(self) -> None:
        for name, help_text in (
            (
                "configuration_revision",
                "Revision of the document in force; 0 for none.",
            ),
            ("members_count", "Live entries that this one knows, itself included."),
            ("store_older_info", "1 if the store holds an older revision."),
            ("configuration_split_info", "1 if a revision has two contents."),
            ("store_failing_info", "1 if this entry watches the store in vain."),
            ("quarantine_records_count", "Suspected and quarantined requests held."),
            ("claims_pending_count", "Changes of claims not settled in the store."),
        ):
            self._gauges[name] = self.registry.gauge(
                name=f"bronzebeam_{name}", help_text=help_text
            )
        self._connections = self.registry.gauge(
            name="bronzebeam_backend_connections_count",
            help_text="Open connections to backend servers.",
            label_names=("service",),
        )
        self._concurrency_limits = self.registry.gauge(
            name="bronzebeam_concurrency_limit_count",
            help_text="Queries that may run at a time.",
            label_names=("service",),
        )

        self._extra_attempts = self.registry.gauge(
            name="bronzebeam_extra_decisions_count",
            help_text="Decisions on hedges and retries since the start.",
            label_names=("service", "kind", "verdict"),
        )

    def update(self) -> None:
        """Set the gauges from the current state."""
        configuration = self.fleet.configuration
        view = configuration.view
        values: dict[str, float] = {
            "configuration_revision": view.revision,
            "members_count": len(self.fleet.membership.view.members),
            "store_older_info": view.store_older,
            "configuration_split_info": view.split,
            "store_failing_info": configuration.store_failing,
            "quarantine_records_count": len(self.pipeline.quarantine.records),
            "claims_pending_count": self.pipeline.claims.pending_count,
        }
        for name, value in values.items():
            self._gauges[name].labels().set(float(value))
        for key, count in self.pipeline.service_budgets.decision_counts.items():
            self._extra_attempts.labels(
                service=key.service, kind=key.kind, verdict=key.decision.value
            ).set(float(count))
        if view.current is None:
            return
        for service in view.current.document.services:
            name = service.name
            connection_count = _count_open_connections(self.pipeline.backends, name)
            self._connections.labels(service=name).set(float(connection_count))
            limit = self.pipeline.admission.concurrency_limit(name)
            self._concurrency_limits.labels(service=name).set(float(limit))


def _count_open_connections(backends: BackendController, service: str) -> int:
    pools = (backends.pool(name) for name in backends.members(service))
    return sum(pool.open_connections for pool in pools if pool is not None)
