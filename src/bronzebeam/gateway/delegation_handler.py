"""Handling of delegation requests from peers."""

from attrs import define

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.fan_out import FanOutRequest
from bronzebeam.gateway.fan_out_responder import PeerResponder
from bronzebeam.gateway.peer_codec import (
    DELEGATION_HEADER,
    LEAVING_HEADER,
    DelegationRequest,
    MalformedDelegation,
    decode_delegation,
    decode_leaving,
)
from bronzebeam.gateway.peer_request import reject_peer_request, route_peer_request
from bronzebeam.routing.routes import Route
from bronzebeam.transport.caller_request import HttpRequest


@define(kw_only=True, eq=False, repr=False)
class DelegationRequestHandler:
    """Handles delegation requests: fans out to the shards that a peer delegated."""

    context: GatewayContext

    def handle(self, request: HttpRequest) -> None:
        """Handle a request; it needs no route in this instance's configuration."""
        try:
            delegation = decode_delegation(request.header(DELEGATION_HEADER))
        except MalformedDelegation as error:
            reject_peer_request(self.context, request, cause=str(error))
            return
        leaving = request.header(LEAVING_HEADER)
        routed = route_peer_request(
            self.context,
            request,
            make_route=lambda timeout_ms: _route_from(
                delegation, timeout_ms=timeout_ms
            ),
            target_ms=delegation.cutoff_ms,
            regions=delegation.regions,
        )
        if routed is None:
            return
        if leaving:
            self.context.state.replicas.record_leaving_at_peer(decode_leaving(leaving))
        FanOutRequest(
            context=self.context,
            routed=routed,
            responder=PeerResponder(context=self.context, routed=routed),
            may_delegate=False,
            repeated=delegation.repeated,
            hedge_after_ms=delegation.hedge_after_ms,
        ).start()


def _route_from(delegation: DelegationRequest, *, timeout_ms: float) -> Route:
    return Route(
        name=delegation.route,
        host="",
        path_prefix=b"",
        idempotent=True,
        timeout_ms=timeout_ms,
        target_latency_ms=delegation.target_latency_ms,
        max_attempts=delegation.max_attempts,
        priority=0,
        shards=delegation.shards,
        top_records=delegation.top_records,
    )
