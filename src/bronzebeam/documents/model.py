"""The environment document as typed values."""

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

    :ivar entry_instances: most entry instances of one generation.
    :ivar overlapping_instances: most further ones alive during a replacement.
    """

    entry_instances: int
    overlapping_instances: int = 0

    @property
    def max_instances(self) -> int:
        return self.entry_instances + self.overlapping_instances


@frozen(kw_only=True)
class ClassSpec:
    """
    A class of work.

    :ivar priority: 0 is served first.
    """

    name: str
    priority: int


@frozen(kw_only=True)
class CallerLimitSpec:
    """Rate that each caller may use, summed over the fleet."""

    rate_per_second: float
    burst: int


@frozen(kw_only=True)
class BackendSpec:
    """
    What each backend server of a service allows.

    :ivar slots: requests that one backend server runs at a time.
    :ivar connections: open connections that one backend server takes from the fleet.
    :ivar connect_ms: cost of a new connection.
    """

    slots: int
    connections: int
    connect_ms: float


@frozen(kw_only=True)
class DeadlineSpec:
    """Deadlines of a service: the default, the largest and the smallest taken."""

    default_ms: int
    maximum_ms: int
    minimum_ms: int = 5


@frozen(kw_only=True)
class CoverageSpec:
    """
    Coverage policy of a search service.

    :ivar soft_deadline_ms: answer with what there is after this time; None waits
        for full coverage until the caller's deadline.
    :ivar minimum_share: share of shards (0 to 1) below which there is no answer.
    """

    soft_deadline_ms: int | None = None
    minimum_share: float = 0.0


@frozen(kw_only=True)
class HedgingSpec:
    """
    Hedges and retries of a service.

    :ivar percentile: sub-request latency percentile after which a hedge is sent.
    :ivar extra_load_share: extra sub-requests allowed, as a share of the first ones.
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
    One service and its limits.

    :ivar shards: shards of a search service when the document was written; the
        denominator of an answer is the shard map of its index version.
    :ivar replicas: replicas of each shard, or of a call service as a whole.
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
        """Return the operation called `name`, if the service has it."""
        return next((item for item in self.operations if item.name == name), None)


@frozen(kw_only=True)
class EnvironmentDocument:
    """
    One environment: its fleet, classes of work, caller limits and services.

    :ivar environment: name of the environment, part of the store's key.
    """

    environment: str
    fleet: FleetSpec
    classes: tuple[ClassSpec, ...]
    caller_limit: CallerLimitSpec
    services: tuple[ServiceSpec, ...]

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service called `name`, if the document has it."""
        return next((item for item in self.services if item.name == name), None)

    def connection_share(self, service: ServiceSpec) -> int:
        """Return the connections that one entry may hold to one backend server."""
        return service.backend.connections // self.fleet.max_instances


@frozen(kw_only=True)
class AcceptedDocument:
    """
    A document as accepted in the configuration store.

    :ivar revision: counts acceptances of the environment; entries only move up.
    :ivar write_id: unique to the write attempt; settles a lost reply.
    :ivar content_hash: SHA-256 of the document's canonical JSON.
    """

    revision: int
    write_id: str
    content_hash: str
    author: str
    approved_by: str
    document: EnvironmentDocument
