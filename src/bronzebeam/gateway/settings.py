"""Settings of a gateway process."""

from attrs import frozen

from bronzebeam.routing.resend_budget import ResendLimits
from bronzebeam.socket_address import SocketAddress


@frozen(kw_only=True)
class GatewaySettings:
    """
    Settings of one gateway process.

    :ivar instance: name of this instance.
    :ivar caller_listen: where callers connect.
    :ivar ready_listen: where readiness and metrics are asked for; may be missing.
    :ivar ready_path: path of the question whether this instance is ready.
    :ivar peer_listen: where peers connect, and metrics are offered; may be missing.
    :ivar store: address of the platform's store.
    :ivar processor_cores: processor that the process may use.
    :ivar lease_min_ms: shortest term of a lease that the store grants.
    :ivar stop_bound_seconds: time from the signal to stop until the process is killed.
    :ivar change_bound_seconds: time within which changes of the store are in force.
    :ivar repeats: bound on repeated sub-requests, over all instances.
    """

    instance: str
    failure_domain: str
    caller_listen: SocketAddress
    ready_listen: SocketAddress | None
    ready_path: bytes
    peer_listen: SocketAddress | None
    store: SocketAddress
    processor_cores: float
    lease_min_ms: float
    stop_bound_seconds: float
    change_bound_seconds: float
    repeats: ResendLimits
