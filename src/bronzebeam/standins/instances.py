"""
Stand-in of the platform's instance list, over HTTP with JSON.

GET /instances lists, PUT and DELETE /instances/NAME change the list, and POST
/faults replaces the fields of `InstanceFaults` that it names.
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
    Faults in force.

    :ivar refuse: answer each listing with status 503.
    :ivar lag_ms: show the list as it was this long ago.
    """

    refuse: bool = False
    lag_ms: int = 0


@define(kw_only=True)
class InstanceListStandin:
    """Keeps each version of the list, so that an old one can be shown."""

    clock: Clock = field(factory=SystemClock)
    faults: InstanceFaults = InstanceFaults()
    _versions: list[tuple[float, InstanceTable]] = field(
        factory=lambda: [(float("-inf"), InstanceTable())]
    )

    async def handle(self, request: JsonRequest) -> JsonResponse | None:
        """Answer one request."""
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
    """Build the stand-in as an ASGI application with a list of its own."""
    return build_json_app(InstanceListStandin().handle)


async def serve(address: str, port: int) -> None:
    """Serve a stand-in until cancelled."""
    await serve_app(build_app(), address=address, port=port)
