"""Typed representation of environment documents."""

from enum import Enum
from typing import Final

from attrs import frozen

DOCUMENT_KEY_PREFIX: Final = "bronzebeam/environments/"


class ServiceKind(Enum):
    """How a service is queried."""

    SEARCH = "search"
    CALL = "call"


@frozen(kw_only=True)
class FleetSpec:
    """
    Size of the fleet of entry instances.

    :ivar entry_instances: maximum number of entry instances while none is being
        replaced.
    :ivar overlapping_instances: maximum number of additional instances that run while
        instances are being replaced.
    """

    entry_instances: int
    overlapping_instances: int = 0

    @property
    def max_instances(self) -> int:
        return self.entry_instances + self.overlapping_instances


@frozen(kw_only=True)
class ClassSpec:
    """
    A priority class of requests.

    :ivar priority: classes with a lower number are served first, starting at 0.
    """

    name: str
    priority: int


@frozen(kw_only=True)
class CallerLimitSpec:
    """Rate limit of each caller, over all entry instances together."""

    rate_per_second: float
    burst: int


@frozen(kw_only=True)
class BackendSpec:
    """
    Limits of each backend server of a service.

    :ivar slots: number of requests that one backend server runs concurrently.
    :ivar connections: number of open connections that one backend server accepts from
        all entry instances together.
    :ivar connect_ms: time that it takes to open a connection.
    """

    slots: int
    connections: int
    connect_ms: float


@frozen(kw_only=True)
class DeadlineSpec:
    """Default, maximum and minimum deadline of the requests to a service."""

    default_ms: int
    maximum_ms: int
    minimum_ms: int = 5


@frozen(kw_only=True)
class CoverageSpec:
    """
    Policy of a search service for answers that lack shards.

    :ivar soft_deadline_ms: time after which the search is answered with the shard
        replies that have arrived; None to wait for all shards until the caller's
        deadline.
    :ivar minimum_share: share of shards (0 to 1) that an answer must cover.
    """

    soft_deadline_ms: int | None = None
    minimum_share: float = 0.0


@frozen(kw_only=True)
class HedgingSpec:
    """
    Policy of a service for hedges and retries.

    :ivar percentile: latency percentile of sub-requests after which a hedge is sent.
    :ivar extra_load_share: maximum number of hedges and retries, as a share of the
        initial sub-requests.
    """

    percentile: float = 95.0
    extra_load_share: float = 0.05


@frozen(kw_only=True)
class OperationSpec:
    """An operation of a call service."""

    name: str
    idempotent: bool


@frozen(kw_only=True)
class ServiceSpec:
    """
    A service and its limits.

    :ivar shards: number of shards of a search service when the document was written.
        The coverage of an answer is not computed from it but from the shard map of the
        index version.
    :ivar replicas: number of replicas of each shard, or of a call service as a whole.
    """

    name: str
    kind: ServiceKind
    replicas: int
    backend: BackendSpec
    deadline: DeadlineSpec
    shards: int = 0
    coverage: CoverageSpec = CoverageSpec()
    hedging: HedgingSpec = HedgingSpec()
    operations: tuple[OperationSpec, ...] = ()

    def operation(self, name: str) -> OperationSpec | None:
        """Return the operation with this name; None if the service has none."""
        return next((item for item in self.operations if item.name == name), None)


@frozen(kw_only=True)
class EnvironmentDocument:
    """
    Configuration of an environment: fleet, priority classes, limits and services.

    :ivar environment: name of the environment; it is part of the key in the store.
    """

    environment: str
    fleet: FleetSpec
    classes: tuple[ClassSpec, ...]
    caller_limit: CallerLimitSpec
    services: tuple[ServiceSpec, ...]

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service with this name; None if the document has none."""
        return next((item for item in self.services if item.name == name), None)

    def connection_share(self, service: ServiceSpec) -> int:
        """Return how many connections one entry may open to one backend server."""
        return service.backend.connections // self.fleet.max_instances


@frozen(kw_only=True)
class AcceptedDocument:
    """
    A document as accepted in the configuration store.

    :ivar revision: incremented with each accepted document of the environment; entries
        ignore revisions lower than their own.
    :ivar write_id: identifies the change that wrote the document, to find out after a
        lost reply whether the write took effect.
    :ivar content_hash: SHA-256 of the document's canonical JSON.
    """

    revision: int
    write_id: str
    content_hash: str
    author: str
    approved_by: str
    document: EnvironmentDocument
