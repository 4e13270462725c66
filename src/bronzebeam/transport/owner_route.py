"""Forwarding of requests to the entry that issued their idempotency key."""

import hashlib
from collections.abc import Callable, Mapping
from typing import Any, Final

import anyio
import httpx
import orjson
from attrs import field, frozen

from bronzebeam.clock import Clock
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.outcomes import Outcome
from bronzebeam.routing.membership_state import MemberRecord
from bronzebeam.telemetry.logs import log_event
from bronzebeam.transport.outcome_codec import outcome_from_json
from bronzebeam.units import MS_PER_SECOND

FORWARD_PATH: Final = "/internal/forward"
INSTANCE_DIGEST_BYTES: Final = 8


def incarnation_id(*, instance: str, incarnation: int) -> str:
    """Return an identifier of one process incarnation, short enough for a key."""
    digest = hashlib.blake2b(instance.encode(), digest_size=INSTANCE_DIGEST_BYTES)
    return f"{digest.hexdigest()}-{incarnation}"


@frozen(kw_only=True)
class ForwardedRequest:
    """
    A caller's request that one entry forwards to another.

    :ivar remaining_ms: time left until its deadline when it was forwarded.
    """

    service: str
    operation: str
    caller: str
    class_name: str
    request_id: str
    key: str
    remaining_ms: int
    payload: Any
    trace_headers: dict[str, str] = field(factory=dict)


@frozen(kw_only=True)
class HttpOwnerRoute:
    """
    Forwards requests to the peer port of the owner; implements `OwnerRoute`.

    Each request is sent at most once.

    :ivar members: returns the known members by name.
    """

    members: Callable[[], Mapping[str, MemberRecord]]
    client: httpx.AsyncClient
    clock: Clock

    async def forward(
        self, *, incarnation: str, request: CallerRequest
    ) -> Outcome | None:
        """
        Send `request` to the entry of `incarnation` and return the outcome.

        None means that no outcome was received; the request may have run there.
        """
        address = self._address(incarnation)
        remaining = request.deadline_at_seconds - self.clock.monotonic_seconds()
        if address is None or remaining <= 0:
            return None
        message = _to_json(request, round(remaining * MS_PER_SECOND))
        try:
            with anyio.fail_after(remaining):
                reply = await self.client.post(
                    f"http://{address}{FORWARD_PATH}",
                    content=orjson.dumps(message),
                )
            if reply.status_code != httpx.codes.OK:
                return None
            return outcome_from_json(orjson.loads(reply.content))
        except (httpx.HTTPError, TimeoutError, ValueError) as error:
            log_event("forward_failed", address=address, error=repr(error))
            return None

    def _address(self, incarnation: str) -> str | None:
        for member in self.members().values():
            candidate = incarnation_id(
                instance=member.instance, incarnation=member.incarnation
            )
            if candidate == incarnation:
                return member.peer_address
        return None


def _to_json(request: CallerRequest, remaining_ms: int) -> dict[str, Any]:
    assert request.operation is not None
    return {
        "service": request.service.name,
        "operation": request.operation.name,
        "caller": request.caller,
        "class_name": request.class_name,
        "request_id": request.request_id,
        "key": request.idempotency_key,
        "remaining_ms": remaining_ms,
        "payload": request.payload,
        "trace_headers": request.trace_headers,
    }


def parse_forwarded_request(body: bytes) -> ForwardedRequest:
    """
    Decode a forwarded request.

    :raises ValueError: if it is malformed.
    """
    try:
        value = orjson.loads(body)
        return ForwardedRequest(
            service=str(value["service"]),
            operation=str(value["operation"]),
            caller=str(value["caller"]),
            class_name=str(value["class_name"]),
            request_id=str(value["request_id"]),
            key=str(value["key"]),
            remaining_ms=int(value["remaining_ms"]),
            payload=value["payload"],
            trace_headers={str(k): str(v) for k, v in value["trace_headers"].items()},
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed forwarded request: {error!r}") from error
