"""Carries out the groups of shards that peers hand over."""

import attrs
from attrs import define

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.gather import Gather
from bronzebeam.gateway.gather_answers import PeerAnswers
from bronzebeam.gateway.peer_codec import (
    ORDER_HEADER,
    REFUSED_STATUS,
    GatherOrder,
    MalformedOrder,
    decode_order,
)
from bronzebeam.gateway.routed import RoutedRequest
from bronzebeam.routing.routes import Route
from bronzebeam.transport.caller_request import CallerRequest
from bronzebeam.units import MS_PER_SECOND


@define(kw_only=True, eq=False, repr=False)
class PeerGathers:
    """Takes orders of peers."""

    context: GatewayContext

    def handle(self, request: CallerRequest) -> None:
        """Gather the shards of an order, if the same configuration is in force."""
        try:
            order = decode_order(request.header(ORDER_HEADER))
        except MalformedOrder as error:
            self.context.log.event("malformed_order", cause=str(error))
            request.answer(status=400, headers=[], body=b"")
            return
        route = self._find(order)
        facts = self.context.dialect.read_request(request.headers)
        if route is None or facts.remaining_ms is None:
            request.answer(status=REFUSED_STATUS, headers=[], body=b"")
            return
        request.headers = [item for item in request.headers if item[0] != ORDER_HEADER]
        arrived_at = request.arrived_at_seconds
        routed = RoutedRequest(
            request=request,
            facts=facts,
            route=route,
            version=order.version,
            deadline_at_seconds=arrived_at + facts.remaining_ms / MS_PER_SECOND,
            target_at_seconds=arrived_at + order.cutoff_ms / MS_PER_SECOND,
            head=self.context.dialect.request_head(request),
        )
        Gather(
            context=self.context,
            routed=routed,
            answers=PeerAnswers(context=self.context, routed=routed),
            may_delegate=False,
            hedge_after_ms=order.hedge_after_ms,
        ).start()

    def _find(self, order: GatherOrder) -> Route | None:
        table = self.context.state.table
        if table is None or table.version != order.version:
            return None
        route = table.named(order.route)
        if route is None or not order.shards or order.shards[-1] >= len(route.shards):
            return None
        return attrs.evolve(
            route,
            shards=tuple(route.shards[index] for index in order.shards),
            least_shard_share=0.0,
        )
