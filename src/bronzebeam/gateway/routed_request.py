"""A request together with the route that was found for it."""

from collections.abc import Callable

from attrs import define

from bronzebeam.gateway.header_codec import RequestMetadata
from bronzebeam.routing.accounts import Account
from bronzebeam.routing.crash_suspects import fingerprint
from bronzebeam.routing.routes import Route
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.units import MS_PER_SECOND


@define(kw_only=True, eq=False, repr=False)
class RoutedRequest:
    """
    A request and its route, which stays the same if the configuration changes.

    :ivar version: version of the configuration that the route is from; 0 for a
        delegation request from a peer.
    :ivar deadline_at_seconds: monotonic time after which the caller stops waiting.
    :ivar target_at_seconds: monotonic time at which the target latency is reached.
    :ivar head: request line and headers common to all attempts.
    :ivar account: the caller's account; None if there is none, or for a peer's request.
    :ivar return_token: gives back the request's token of its account's quota; None if
        it has none.
    :ivar regions: regions that it may be sent to; None for any.
    :ivar replica_domains: failure domains whose replicas may get it; None for any.
    :ivar is_retry: the caller has tried before, and was refused or not served.
    :ivar is_past_target: it is a retry that can't meet the target of the first attempt.
    """

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    version: int
    deadline_at_seconds: float
    target_at_seconds: float
    head: bytes
    account: Account | None = None
    regions: frozenset[str] | None = None
    replica_domains: frozenset[str] | None = None
    is_retry: bool = False
    is_past_target: bool = False
    return_token: Callable[[], None] | None = None

    def give_back_token(self) -> None:
        """Give the token back, if there is one, since no replica gets the request."""
        return_token, self.return_token = self.return_token, None
        if return_token is not None:
            return_token()

    def ms_after_arrival(self, at_seconds: float) -> float:
        """Return the time from the request's arrival, as log lines show it."""
        elapsed_seconds = at_seconds - self.request.arrived_at_seconds
        return round(elapsed_seconds * MS_PER_SECOND, 1)

    @property
    def is_for_peer(self) -> bool:
        """Whether a peer has delegated the request to this instance."""
        return self.version == 0

    @property
    def fingerprint(self) -> str:
        """Return a hash that is the same for all attempts at the request."""
        return request_fingerprint(self.request)


def request_fingerprint(request: HttpRequest) -> str:
    """Return a hash that is the same for all attempts at a request."""
    return fingerprint(
        host=request.header(b"host"), target=request.target, body=request.body
    )
