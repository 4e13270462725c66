"""Settings of a gateway process."""

from collections.abc import Mapping

from attrs import frozen

from bronzebeam.routing.cold_limits import ColdTolerance
from bronzebeam.routing.quotas import QuotaTolerance
from bronzebeam.routing.regions import RegionMap
from bronzebeam.routing.repeat_budget import RepeatLimits
from bronzebeam.socket_address import SocketAddress


@frozen(kw_only=True)
class GatewaySettings:
    """
    Settings of one gateway process.

    :ivar instance: name of this instance.
    :ivar caller_listen: address for callers.
    :ivar ready_listen: address for readiness checks and metrics; None for neither.
    :ivar ready_path: path of the readiness check.
    :ivar peer_listen: address for peers and metrics; None if peers can't connect.
    :ivar store: address of the platform's store.
    :ivar processor_cores: CPU cores that the process may use.
    :ivar link_bits_per_second: rate of the network link; 0 if unknown.
    :ivar lease_min_ms: shortest lease time that the store grants.
    :ivar stop_bound_seconds: time from SIGTERM until the process is killed.
    :ivar change_bound_seconds: time within which changes of the store must be active.
    :ivar drain_bound_seconds: time after which a leaving replica must get no requests.
    :ivar registration_timeout_seconds: time after which the store drops the
        registration of a replica that has not renewed it.
    :ivar repeats: limits on repeats (hedges and retries), over all instances.
    :ivar quota_tolerance: what accounts may send beyond their quotas.
    :ivar cold_tolerance: what a cold replica bears beyond its stated rate.
    :ivar configuration_bound_seconds: time within which a configuration must be active.
    :ivar evacuation_bound_seconds: time after which the replicas of an evacuated domain
        must get no requests.
    :ivar memory_limit_bytes: memory above which the process is killed; 0 if unknown.
    :ivar descriptor_limit: limit on open connections; 0 if unknown.
    :ivar region: region of this instance; empty if unknown.
    :ivar region_by_domain: regions of the known failure domains.
    """

    instance: str
    failure_domain: str
    caller_listen: SocketAddress
    ready_listen: SocketAddress | None
    ready_path: bytes
    peer_listen: SocketAddress | None
    store: SocketAddress
    processor_cores: float
    link_bits_per_second: float
    lease_min_ms: float
    stop_bound_seconds: float
    change_bound_seconds: float
    drain_bound_seconds: float
    registration_timeout_seconds: float
    repeats: RepeatLimits
    quota_tolerance: QuotaTolerance
    cold_tolerance: ColdTolerance
    configuration_bound_seconds: float
    evacuation_bound_seconds: float
    memory_limit_bytes: float
    descriptor_limit: int
    region: str
    region_by_domain: Mapping[str, str]

    @property
    def regions(self) -> RegionMap:
        """Return the regions of the failure domains."""
        return RegionMap(
            own_domain=self.failure_domain,
            own_region=self.region,
            region_by_domain=self.region_by_domain,
        )
