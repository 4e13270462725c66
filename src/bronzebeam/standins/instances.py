"""
Stand-in of the platform's instance list, as JSON over HTTP.

GET /instances returns the list, PUT and DELETE /instances/NAME change it, and POST
/faults sets the given fields of `InstanceFaults`.
"""

from typing import Any

from attrs import asdict, define, evolve, field, frozen

from bronzebeam.clock import Clock, SystemClock
from bronzebeam.standins.http_json import (
    Application,
    JsonRequest,
    JsonResponse,
    build_json_app,
    serve_app,
)

InstanceTable = dict[str, dict[str, Any]]


@frozen(kw_only=True)
class InstanceFaults:
    """
    Currently injected faults.

    :ivar refuse: answer each GET /instances with status 503.
    :ivar lag_ms: return the list as it was this long ago.
    """

    refuse: bool = False
    lag_ms: int = 0


@define(kw_only=True)
class InstanceListStandin:
    """Stores all versions of the list, so that an earlier one can be returned."""

    clock: Clock = field(factory=SystemClock)
    faults: InstanceFaults = InstanceFaults()
    _versions: list[tuple[float, InstanceTable]] = field(
        factory=lambda: [(float("-inf"), InstanceTable())]
    )

    async def handle(self, request: JsonRequest) -> JsonResponse | None:
        """Handle a request."""
        section, _, name = request.path.lstrip("/").partition("/")
        if section == "faults":
            self.faults = evolve(self.faults, **(request.body or {}))
            return JsonResponse(body=asdict(self.faults))
        if section != "instances":
            return JsonResponse(status=404, body={"error": "no such path"})
        if request.method == "GET":
            return self._list()
        self._update(name, request)
        return JsonResponse(body={})

    def _list(self) -> JsonResponse:
        if self.faults.refuse:
            return JsonResponse(status=503, body={"error": "refused by a fault"})
        shown_at = self.clock.monotonic_seconds() - self.faults.lag_ms / 1000
        shown = [listing for at, listing in self._versions if at <= shown_at][-1]
        return JsonResponse(body={"instances": list(shown.values())})

    def _update(self, name: str, request: JsonRequest) -> None:
        listing = dict(self._versions[-1][1])
        if request.method == "DELETE":
            listing.pop(name, None)
        else:
            listing[name] = {**request.body, "instance": name}
        self._versions.append((self.clock.monotonic_seconds(), listing))


def build_app() -> Application:
    """Build an ASGI application with a new, empty instance list."""
    return build_json_app(InstanceListStandin().handle)


async def serve(address: str, port: int) -> None:
    """Serve a new stand-in until cancelled."""
    await serve_app(build_app(), address=address, port=port)
