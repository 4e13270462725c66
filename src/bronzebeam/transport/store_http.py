"""Client of the configuration store over HTTP."""

from typing import Any, Final
from urllib.parse import quote

import httpx
from attrs import define, field

from bronzebeam.telemetry.traffic import ControlTraffic
from bronzebeam.transport.http_json import CallFailed, JsonClient, JsonReply
from bronzebeam.transport.store import (
    Conflict,
    StoredValue,
    StoreUnavailable,
    Written,
)

CALL_TIMEOUT_SECONDS: Final = 2.0
WATCH_MARGIN_SECONDS: Final = 2.0

_CONFLICT: Final = 409


@define(kw_only=True)
class HttpStore:
    """
    Client of the configuration store; implements `Store`.

    A reply that is lost, late or malformed raises `StoreUnavailable`. Watches have
    separate connections and a separate timeout, so that a watch ends if its
    connection stops responding.

    :ivar base_url: for example ``http://127.0.0.1:7000``.
    :ivar call_timeout_seconds: timeout of all calls except watches.
    :ivar watch_margin_seconds: time that a watch may take beyond its `wait_seconds`.
    :ivar transport: replaces the network in tests.
    """

    base_url: str
    call_timeout_seconds: float = CALL_TIMEOUT_SECONDS
    watch_margin_seconds: float = WATCH_MARGIN_SECONDS
    transport: httpx.AsyncBaseTransport | None = None
    traffic: ControlTraffic = field(factory=ControlTraffic)
    _call_client: JsonClient = field(init=False)
    _watch_client: JsonClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._call_client = self._new_client()
        self._watch_client = self._new_client()

    async def __aenter__(self) -> "HttpStore":
        return self

    def _new_client(self) -> JsonClient:
        return JsonClient(
            base_url=self.base_url, transport=self.transport, traffic=self.traffic
        )

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._call_client.close()
        await self._watch_client.close()

    async def get(self, key: str) -> StoredValue | None:
        """Read a key."""
        reply = await self._call("GET", f"/values/{quote(key)}")
        return _read_current(reply.body)

    async def compare_and_swap(
        self, *, key: str, value: Any, expected: int, lease_id: str | None = None
    ) -> Written | Conflict:
        """Write a key if its modification revision is `expected`."""
        body = {"value": value, "expected": expected, "lease_id": lease_id}
        reply = await self._call("PUT", f"/values/{quote(key)}", body=body)
        if reply.status == _CONFLICT:
            return Conflict(current=_read_current(reply.body))
        return Written(mod_revision=_require(reply.body, "mod_revision", int))

    async def watch(
        self, *, key: str, after: int, wait_seconds: float
    ) -> StoredValue | None:
        """Wait for a modification revision above `after`; None after `wait_seconds`."""
        params = {"after": after, "wait_ms": round(wait_seconds * 1000)}
        try:
            reply = await self._watch_client.call(
                "GET",
                f"/watches/{quote(key)}",
                timeout_seconds=wait_seconds + self.watch_margin_seconds,
                params=params,
            )
        except CallFailed as error:
            raise StoreUnavailable(str(error)) from error
        return _read_current(reply.body)

    async def list_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Return the values whose keys start with `prefix`, ordered by key."""
        reply = await self._call("GET", f"/prefixes/{quote(prefix)}")
        return tuple(
            _read_stored(item) for item in _require(reply.body, "values", list)
        )

    async def grant_lease(self, *, ttl_seconds: float) -> str:
        """Grant a lease and return its identifier."""
        body = {"ttl_ms": round(ttl_seconds * 1000)}
        reply = await self._call("POST", "/leases", body=body)
        lease_id: str = _require(reply.body, "lease_id", str)
        return lease_id

    async def keep_lease(self, *, lease_id: str) -> bool:
        """Renew a lease; False if it has ended."""
        reply = await self._call("POST", f"/leases/{quote(lease_id)}/keep")
        kept: bool = _require(reply.body, "kept", bool)
        return kept

    async def _call(self, method: str, path: str, *, body: Any = None) -> JsonReply:
        try:
            return await self._call_client.call(
                method,
                path,
                timeout_seconds=self.call_timeout_seconds,
                body=body,
                accepted_statuses=(200, _CONFLICT),
            )
        except CallFailed as error:
            raise StoreUnavailable(str(error)) from error


def _require(body: Any, name: str, kind: type) -> Any:
    value = body.get(name) if isinstance(body, dict) else None
    if not isinstance(value, kind):
        raise StoreUnavailable(f"malformed reply: {name} is missing")
    return value


def _read_current(body: Any) -> StoredValue | None:
    if not isinstance(body, dict) or "current" not in body:
        raise StoreUnavailable("malformed reply: current is missing")
    current = body["current"]
    return None if current is None else _read_stored(current)


def _read_stored(item: Any) -> StoredValue:
    return StoredValue(
        key=_require(item, "key", str),
        value=item.get("value"),
        mod_revision=_require(item, "mod_revision", int),
    )
