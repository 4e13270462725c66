"""
Stand-in of the platform's configuration store, as JSON over HTTP.

========  ======================  ==========================================
Method    Path                    Body or query
========  ======================  ==========================================
GET       /values/KEY             -
PUT       /values/KEY             value, expected, lease_id
GET       /watches/KEY            after, wait_ms
GET       /prefixes/PREFIX        -
POST      /leases                 ttl_ms
POST      /leases/ID/keep         -
POST      /faults                 any fields of `StoreFaults`
POST      /snapshot/take          -
POST      /snapshot/restore       -
GET       /calls                  -
========  ======================  ==========================================
"""

from collections import Counter
from enum import Enum
from typing import Any

import anyio
from attrs import asdict, define, evolve, field, frozen

from bronzebeam.clock import SystemClock
from bronzebeam.standins.http_json import (
    Application,
    JsonRequest,
    JsonResponse,
    build_json_app,
    serve_app,
)
from bronzebeam.standins.store_state import StoreState, UnknownLeaseError
from bronzebeam.transport.store import Conflict, StoredValue


class CallKind(Enum):
    """Kinds of calls, each with its own counter."""

    GET = "get"
    COMPARE_AND_SWAP = "compare_and_swap"
    WATCH = "watch"
    LIST = "list"
    GRANT_LEASE = "grant_lease"
    KEEP_LEASE = "keep_lease"


@frozen(kw_only=True)
class StoreFaults:
    """
    Currently injected faults; POST /faults sets the fields given in its body.

    :ivar refuse_all: answer each call with status 503 without applying it.
    :ivar answer_nothing: neither apply nor answer any call.
    :ivar silent_watches: never answer a watch, not even after a change.
    :ivar drop_write_replies: number of further writes that are applied but whose reply
        is truncated.
    :ivar delay_ms: delay before each call is applied.
    """

    refuse_all: bool = False
    answer_nothing: bool = False
    silent_watches: bool = False
    drop_write_replies: int = 0
    delay_ms: int = 0


@define(kw_only=True)
class StoreStandin:
    """Handles the store's requests on a `StoreState`, with faults injected."""

    state: StoreState = field(factory=lambda: StoreState(clock=SystemClock()))
    faults: StoreFaults = StoreFaults()
    calls: Counter[CallKind] = field(factory=Counter)

    async def handle(self, request: JsonRequest) -> JsonResponse | None:
        """Handle a request; None sends no response."""
        section, _, rest = request.path.lstrip("/").partition("/")
        if section in ("faults", "calls", "snapshot"):
            return self._handle_control(request, section, rest)
        kind = _call_kind(request.method, section, rest)
        if kind is None:
            return JsonResponse(status=404, body={"error": "no such path"})
        self.calls[kind] += 1
        return await self._handle_call(kind, request, rest)

    async def _handle_call(
        self, kind: CallKind, request: JsonRequest, rest: str
    ) -> JsonResponse | None:
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / 1000)
        if self.faults.answer_nothing:
            return None
        if self.faults.silent_watches and kind is CallKind.WATCH:
            return None
        if self.faults.refuse_all:
            return JsonResponse(status=503, body={"error": "refused by a fault"})
        response = await self._apply(kind, request, rest)
        if kind is CallKind.COMPARE_AND_SWAP and self.faults.drop_write_replies:
            remaining = self.faults.drop_write_replies - 1
            self.faults = evolve(self.faults, drop_write_replies=remaining)
            return evolve(response, truncated=True)
        return response

    async def _apply(
        self, kind: CallKind, request: JsonRequest, rest: str
    ) -> JsonResponse:
        match kind:
            case CallKind.GET:
                return JsonResponse(
                    body={"current": _stored_to_json(self.state.get(rest))}
                )
            case CallKind.COMPARE_AND_SWAP:
                return self._compare_and_swap(request.body, rest)
            case CallKind.WATCH:
                current = await self.state.watch(
                    key=rest,
                    after=int(request.query["after"]),
                    wait_seconds=int(request.query["wait_ms"]) / 1000,
                )
                return JsonResponse(body={"current": _stored_to_json(current)})
            case CallKind.LIST:
                values = [
                    _stored_to_json(item) for item in self.state.list_prefix(rest)
                ]
                return JsonResponse(body={"values": values})
            case CallKind.GRANT_LEASE:
                lease_id = self.state.grant_lease(
                    ttl_seconds=request.body["ttl_ms"] / 1000
                )
                return JsonResponse(body={"lease_id": lease_id})
            case CallKind.KEEP_LEASE:
                is_renewed = self.state.keep_lease(rest.removesuffix("/keep"))
                return JsonResponse(body={"kept": is_renewed})

    def _compare_and_swap(self, body: Any, key: str) -> JsonResponse:
        try:
            result = self.state.compare_and_swap(
                key=key,
                value=body["value"],
                expected=body["expected"],
                lease_id=body.get("lease_id"),
            )
        except UnknownLeaseError:
            return JsonResponse(status=412, body={"error": "the lease has ended"})
        if isinstance(result, Conflict):
            return JsonResponse(
                status=409, body={"current": _stored_to_json(result.current)}
            )
        return JsonResponse(body={"mod_revision": result.mod_revision})

    def _handle_control(
        self, request: JsonRequest, section: str, rest: str
    ) -> JsonResponse:
        if section == "calls":
            calls = {kind.value: self.calls[kind] for kind in CallKind}
            return JsonResponse(body={"calls": calls})
        if section == "snapshot" and rest == "take":
            self.state.take_snapshot()
        elif section == "snapshot":
            self.state.restore_snapshot()
        else:
            self.faults = evolve(self.faults, **(request.body or {}))
        return JsonResponse(body=asdict(self.faults))


def build_app() -> Application:
    """Build an ASGI application with a new, empty store."""
    return build_json_app(StoreStandin().handle)


async def serve(address: str, port: int) -> None:
    """Serve a new stand-in until cancelled."""
    await serve_app(build_app(), address=address, port=port)


def _call_kind(method: str, section: str, rest: str) -> CallKind | None:
    match (method, section):
        case ("GET", "values"):
            return CallKind.GET
        case ("PUT", "values"):
            return CallKind.COMPARE_AND_SWAP
        case ("GET", "watches"):
            return CallKind.WATCH
        case ("GET", "prefixes"):
            return CallKind.LIST
        case ("POST", "leases"):
            return CallKind.KEEP_LEASE if rest else CallKind.GRANT_LEASE
    return None


def _stored_to_json(stored: StoredValue | None) -> dict[str, Any] | None:
    return asdict(stored) if stored else None
