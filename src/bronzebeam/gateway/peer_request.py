"""Requests that peers send to this instance on behalf of their callers."""

from collections.abc import Callable
from typing import Final

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.header_codec import RequestMetadata
from bronzebeam.gateway.peer_codec import (
    EVACUATED_HEADER,
    NOT_RUN_STATUS,
    decode_names,
    without_peer_headers,
)
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.routing.routes import Route
from bronzebeam.transport.caller_request import HttpRequest
from bronzebeam.units import MS_PER_SECOND

DEADLINE_PASSED: Final = "deadline_passed"


def reject_peer_request(
    context: GatewayContext, request: HttpRequest, *, cause: str
) -> None:
    """Answer a request that can't be read, and log why."""
    context.log.event("malformed_order", cause=cause)
    request.respond(status=400, headers=[], body=b"")


def route_peer_request(
    context: GatewayContext,
    request: HttpRequest,
    *,
    make_route: Callable[[float], Route],
    target_ms: float,
    regions: frozenset[str] | None,
) -> RoutedRequest | None:
    """
    Return a peer's request with its route, which need not be in the configuration.

    :param make_route: returns the route for a time-out in milliseconds.
    :param target_ms: time after which the peer answers without what is missing.
    :param regions: regions that the request may be sent to; None for any.
    :return: None if the request was rejected, since it states no time-out, or its time
        has passed while this process was suspended.
    """
    evacuated = decode_names(request.header(EVACUATED_HEADER) or b"[]")
    request.headers = without_peer_headers(request.headers)
    metadata = context.header_codec.read_request(request.headers)
    remaining_ms = metadata.remaining_ms
    if remaining_ms is None:
        reject_peer_request(context, request, cause="no remaining time")
        return None
    arrived_at = request.arrived_at_seconds
    answer_by = context.answer_by_seconds
    if context.loop.time() >= arrived_at + remaining_ms / MS_PER_SECOND:
        context.log.request(
            "peer_request_refused",
            good=False,
            request=metadata.attempt_id.decode("latin-1"),
            cause=DEADLINE_PASSED,
            waited_ms=round((context.loop.time() - arrived_at) * MS_PER_SECOND),
        )
        request.respond(status=NOT_RUN_STATUS, headers=[], body=b"")
        return None
    return RoutedRequest(
        request=request,
        metadata=metadata,
        route=make_route(remaining_ms),
        version=0,
        deadline_at_seconds=min(arrived_at + remaining_ms / MS_PER_SECOND, answer_by),
        target_at_seconds=min(arrived_at + target_ms / MS_PER_SECOND, answer_by),
        head=context.header_codec.request_head(
            request, account=_account_name(context, metadata)
        ),
        regions=regions,
        replica_domains=context.state.domains_for_peer(regions, evacuated),
    )


def _account_name(context: GatewayContext, metadata: RequestMetadata) -> bytes:
    """
    Return the name of the account that a peer sends a request for.

    A peer has checked the key and removed it. Build 9582a90 knows no accounts: it
    passes on the key, and whatever name its caller has sent.
    """
    if not metadata.key:
        return metadata.account
    table = context.state.table
    account = table.account_by_key(metadata.key) if table is not None else None
    return b"" if account is None else account.name.encode()
