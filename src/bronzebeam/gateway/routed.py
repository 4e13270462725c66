"""A request with the route it takes."""

from attrs import define

from bronzebeam.gateway.dialect import RequestMetadata
from bronzebeam.routing.crash_suspects import fingerprint
from bronzebeam.routing.routes import Route
from bronzebeam.transport.caller_request import CallerRequest


@define(kw_only=True, eq=False, repr=False)
class RoutedRequest:
    """
    A request with its route, pinned for as long as it takes.

    :ivar version: version of the configuration that the route is from; 0 if a peer
        has given the order.
    :ivar deadline_at_seconds: monotonic time after which the caller has left.
    :ivar target_at_seconds: monotonic time until which an answer is of full use.
    :ivar head: request line and headers that every attempt carries.
    """

    request: CallerRequest
    metadata: RequestMetadata
    route: Route
    version: int
    deadline_at_seconds: float
    target_at_seconds: float
    head: bytes

    @property
    def fingerprint(self) -> str:
        """Return what the request has in common with its repetitions."""
        return request_fingerprint(self.request)


def request_fingerprint(request: CallerRequest) -> str:
    """Return what a request has in common with its repetitions."""
    return fingerprint(
        host=request.header(b"host"), target=request.target, body=request.body
    )
