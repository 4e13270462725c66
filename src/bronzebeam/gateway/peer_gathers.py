"""Carries out the groups of shards that peers hand over."""

from attrs import define

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.gather import FanOutRequest
from bronzebeam.gateway.gather_answers import PeerAnswers
from bronzebeam.gateway.peer_codec import (
    DELEGATION_HEADER,
    DelegationRequest,
    MalformedDelegation,
    decode_delegation,
)
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.routing.routes import Route
from bronzebeam.transport.caller_request import CallerRequest
from bronzebeam.units import MS_PER_SECOND


@define(kw_only=True, eq=False, repr=False)
class DelegationRequestHandler:
    """Takes orders of peers."""

    context: GatewayContext

    def handle(self, request: CallerRequest) -> None:
        """Gather the shards of an order, whatever configuration is in force here."""
        try:
            order = decode_delegation(request.header(DELEGATION_HEADER))
        except MalformedDelegation as error:
            self.context.log.event("malformed_order", cause=str(error))
            request.answer(status=400, headers=[], body=b"")
            return
        facts = self.context.header_codec.read_request(request.headers)
        remaining_ms = facts.remaining_ms
        if remaining_ms is None:
            self.context.log.event("malformed_order", cause="no remaining time")
            request.answer(status=400, headers=[], body=b"")
            return
        request.headers = [
            item for item in request.headers if item[0] != DELEGATION_HEADER
        ]
        arrived_at = request.arrived_at_seconds
        routed = RoutedRequest(
            request=request,
            metadata=facts,
            route=_route_of(order, timeout_ms=remaining_ms),
            version=0,
            deadline_at_seconds=arrived_at + remaining_ms / MS_PER_SECOND,
            target_at_seconds=arrived_at + order.cutoff_ms / MS_PER_SECOND,
            head=self.context.header_codec.request_head(request),
        )
        FanOutRequest(
            context=self.context,
            routed=routed,
            answers=PeerAnswers(context=self.context, routed=routed),
            may_delegate=False,
            repeated=order.repeated,
            hedge_after_ms=order.hedge_after_ms,
        ).start()


def _route_of(order: DelegationRequest, *, timeout_ms: float) -> Route:
    return Route(
        name=order.route,
        host="",
        path_prefix=b"",
        idempotent=True,
        timeout_ms=timeout_ms,
        target_latency_ms=order.target_latency_ms,
        max_attempts=order.max_attempts,
        priority=0,
        shards=order.shards,
        top_records=order.top_records,
    )
