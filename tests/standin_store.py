"""Stand-in of the platform's store: paged ranges, watches, transactions, leases."""

import base64
from collections.abc import Callable
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
from attrs import define, field

from tests.standin_http import StandinConnection, StandinRequest

PAGE_SIZE = 50
MAX_EVENTS = (
    500  # in one response to a watch; the next watch continues after the last event
)
RESPONSE_SECONDS = 0.004
MAX_STALE_SECONDS = 5.0
MS_PER_SECOND = 1_000.0
ERA_HEADER = "Store-Era"


class StoreFault(Enum):
    """Fault to inject into the calls to the store."""

    NONE = "none"
    BUSY = "busy"
    RATE_LIMITED = "too_many"
    RESET = "reset"
    UNRESPONSIVE = "silent"  # the call is ignored
    RESPONSE_LOST = "lost"  # the call is applied, but gets no response
    GARBAGE = "garbage"


def fault_always(fault: StoreFault) -> Callable[[StandinRequest], StoreFault]:
    return lambda request: fault


@define(kw_only=True, eq=False)
class Item:
    value: bytes
    revision: int
    created_revision: int
    lease: int


@define(kw_only=True, eq=False)
class Lease:
    ttl_ms: float
    keys: set[str] = field(factory=set)
    timer: Any = None


@define(kw_only=True, eq=False)
class StoreCopy:
    revision: int
    items: dict[str, Item]
    history: list[dict[str, Any]]
    oldest_revision: int
    lease_ttls_ms: dict[int, float]
    next_lease: int


@define(kw_only=True, eq=False)
class Watcher:
    request: StandinRequest
    prefix: str
    after: int
    timer: Any


@define(kw_only=True, eq=False)
class StandinStore:
    """
    In-memory store.

    :ivar fault: returns the fault to inject into a call.
    :ivar calls: methods and paths of all calls received.
    :ivar response_seconds: response time.
    :ivar era: stated in all responses; rises when the store returns from a copy.
    :ivar stale_copy: what reads that may be stale return; None for the latest contents.
    :ivar stale_age_seconds: returns the age of the contents that the next read that may
        be stale returns, at most `MAX_STALE_SECONDS`; None for the latest contents.
    """

    loop: Any
    host: str = "10.200.0.1"
    port: int = 8_100
    fault: Callable[[StandinRequest], StoreFault] = fault_always(StoreFault.NONE)
    response_seconds: float = RESPONSE_SECONDS
    revision: int = 1
    items: dict[str, Item] = field(factory=dict)
    history: list[dict[str, Any]] = field(factory=list)
    oldest_revision: int = 0
    leases: dict[int, Lease] = field(factory=dict)
    calls: list[str] = field(factory=list)
    era: int = 1
    stale_copy: "StoreCopy | None" = None
    stale_age_seconds: Callable[[], float] | None = None
    _past: list[tuple[float, int, dict[str, Item]]] = field(factory=list)
    _watchers: list[Watcher] = field(factory=list)
    _next_lease: int = 100

    def listen(self) -> None:
        self.loop.net.listeners[(self.host, self.port)] = lambda: StandinConnection(
            server=self
        )

    # Called by tests, in the role of the operator and the replicas.

    def put(self, key: str, value: Any, *, lease: int = 0) -> int:
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        self.revision += 1
        existing = self.items.get(key)
        created_revision = existing.created_revision if existing else self.revision
        item = Item(
            value=raw,
            revision=self.revision,
            created_revision=created_revision,
            lease=lease,
        )
        self.items[key] = item
        if lease:
            self.leases[lease].keys.add(key)
        self._append_event(_encode_item(key, item))
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {"key": key, "revision": self.revision, "compacted": True}
            )

    def compact(self) -> None:
        """Discard the history and close the connections of the watches."""
        self.history.clear()
        self.oldest_revision = self.revision
        for watcher in self._watchers:
            watcher.timer.cancel()
            watcher.request.connection.close()
        self._watchers.clear()

    def drop_history(self) -> None:
        """Discard the history, but keep the watches."""
        self.history.clear()
        self.oldest_revision = self.revision

    def copy(self) -> "StoreCopy":
        """Return a copy of the contents, to come back from later."""
        return StoreCopy(
            revision=self.revision,
            items=dict(self.items),
            history=list(self.history),
            oldest_revision=self.oldest_revision,
            lease_ttls_ms={
                number: lease.ttl_ms for number, lease in self.leases.items()
            },
            next_lease=self._next_lease,
        )

    def restore(self, copy: "StoreCopy") -> None:
        """
        Come back from an older copy, in a new era.

        Later writes and leases are lost, and their numbers are given out again. Open
        connections are reset.
        """
        for lease in self.leases.values():
            lease.timer.cancel()
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.oldest_revision = copy.oldest_revision
        self._next_lease = copy.next_lease
        self.leases = {
            number: Lease(
                ttl_ms=ttl_ms,
                keys={key for key, item in self.items.items() if item.lease == number},
            )
            for number, ttl_ms in copy.lease_ttls_ms.items()
        }
        for number in self.leases:
            self._renew(number)
        self.era += 1
        # A response names the era of its contents, also that of a stale read.
        self._past.clear()
        if self.stale_age_seconds is not None:
            self._remember_contents()
        self.reset_watches()
        self.loop.net.reset_connections(self.host)

    def respond(self, request: StandinRequest, status: int, body: bytes) -> None:
        request.respond(status, headers={ERA_HEADER: str(self.era)}, body=body)

    def drop_watches(self) -> None:
        """Discard the waiting watches, which never get a response."""
        for watcher in self._watchers:
            watcher.timer.cancel()
        self._watchers.clear()

    def reset_watches(self) -> None:
        """Discard the waiting watches and reset their connections."""
        for watcher in self._watchers:
            watcher.timer.cancel()
            watcher.request.connection.abort()
        self._watchers.clear()

    # Called by connections.

    def handle(self, request: StandinRequest) -> None:
        parts = urlsplit(request.target)
        self.calls.append(f"{request.method} {parts.path}")
        fault = self.fault(request)
        if fault is StoreFault.UNRESPONSIVE:
            return
        if fault is StoreFault.RESET:
            request.connection.abort()
        elif fault in (StoreFault.BUSY, StoreFault.RATE_LIMITED):
            status = 503 if fault is StoreFault.BUSY else 429
            self.respond(request, status, b'{"error":"busy"}')
        elif fault is StoreFault.GARBAGE:
            self.respond(request, 200, b"[1, 2")
        else:
            query = {
                name: values[0]
                for name, values in parse_qs(
                    parts.query, keep_blank_values=True
                ).items()
            }
            self.loop.call_later(
                self.response_seconds, self._serve, request, parts.path, query, fault
            )

    def connection_ended(self, connection: StandinConnection) -> None:
        for watcher in list(self._watchers):
            if watcher.request.connection is connection:
                watcher.timer.cancel()
                self._watchers.remove(watcher)

    def _serve(
        self,
        request: StandinRequest,
        path: str,
        query: dict[str, str],
        fault: StoreFault,
    ) -> None:
        if request.connection.ended:
            return
        name = path.strip("/").split("/")[0].replace("-", "_")
        result = getattr(self, f"_{name}")(request, path, query)
        if result is None:
            return
        status, body = result
        if fault is StoreFault.RESPONSE_LOST:
            return
        self.respond(request, status, orjson.dumps(body))

    def _kv_range(
        self, request: StandinRequest, path: str, query: dict[str, str]
    ) -> Any:
        items, revision = self.items, self.revision
        if "staleOk" in query and self.stale_copy is not None:
            items, revision = self.stale_copy.items, self.stale_copy.revision
        elif "staleOk" in query and self.stale_age_seconds is not None:
            items, revision = self._past_contents(self.stale_age_seconds())
        keys = sorted(
            key
            for key in items
            if key.startswith(query["pathPrefix"]) and key > query.get("after", "")
        )
        page = keys[:PAGE_SIZE]
        return 200, {
            "items": [_encode_item(key, items[key]) for key in page],
            "hasMore": len(keys) > len(page),
            "atRevision": revision,
        }

    def _kv_watch(
        self, request: StandinRequest, path: str, query: dict[str, str]
    ) -> Any:
        after = int(query["after"])
        if after < self.oldest_revision or after > self.revision:
            return 410, {"error": "history is gone"}
        events = self._events(query["pathPrefix"], after)
        if events:
            return 200, self._watch_response(events)
        timer = self.loop.call_later(
            float(query["waitTimeoutMs"]) / MS_PER_SECOND, self._end_watch, request
        )
        self._watchers.append(
            Watcher(
                request=request, prefix=query["pathPrefix"], after=after, timer=timer
            )
        )
        return None

    def _kv_txn(self, request: StandinRequest, path: str, query: dict[str, str]) -> Any:
        body = orjson.loads(request.body)
        puts = body.get("putOps", [])
        if any(put.get("leaseId", 0) not in {0, *self.leases} for put in puts):
            return 404, {"error": "no such lease"}
        for put in puts:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {"error": "not yours"}
        for put in puts:
            value = base64.b64decode(put["value"], validate=True)
            self.put(put["key"], value, lease=put.get("leaseId", 0))
        return 200, {"revision": self.revision}

    def _kv_lease(
        self, request: StandinRequest, path: str, query: dict[str, str]
    ) -> Any:
        self._next_lease += 1
        lease = Lease(ttl_ms=orjson.loads(request.body)["ttlMs"])
        self.leases[self._next_lease] = lease
        self._renew(self._next_lease)
        return 200, {"leaseId": self._next_lease, "ttlMs": lease.ttl_ms}

    def _kv_keep(
        self, request: StandinRequest, path: str, query: dict[str, str]
    ) -> Any:
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        self._renew(number)
        return 200, {"leaseId": number}

    def _kv_lease_end(
        self, request: StandinRequest, path: str, query: dict[str, str]
    ) -> Any:
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        self.end_lease(number)
        return 200, {}

    def end_lease(self, number: int) -> None:
        lease = self.leases.pop(number)
        if lease.timer is not None:
            lease.timer.cancel()
        for key in lease.keys:
            existing = self.items.get(key)
            if existing is not None and existing.lease == number:
                self.remove(key)

    def _renew(self, number: int) -> None:
        lease = self.leases[number]
        if lease.timer is not None:
            lease.timer.cancel()
        lease.timer = self.loop.call_later(
            lease.ttl_ms / MS_PER_SECOND, self.end_lease, number
        )

    def _past_contents(self, age_seconds: float) -> tuple[dict[str, Item], int]:
        """Return the items and the revision of some seconds ago."""
        until = self.loop.time() - age_seconds
        found = self._past[0]
        for past in self._past:
            if past[0] <= until:
                found = past
        return found[2], found[1]

    def _remember_contents(self) -> None:
        now = self.loop.time()
        self._past.append((now, self.revision, dict(self.items)))
        while len(self._past) > 1 and self._past[1][0] < now - MAX_STALE_SECONDS:
            del self._past[0]

    def _append_event(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        if self.stale_age_seconds is not None:
            self._remember_contents()
        for watcher in list(self._watchers):
            events = self._events(watcher.prefix, watcher.after)
            if events:
                self._watchers.remove(watcher)
                watcher.timer.cancel()
                body = orjson.dumps(self._watch_response(events))
                self.respond(watcher.request, 200, body)

    def _watch_response(self, events: list[dict[str, Any]]) -> dict[str, Any]:
        if len(events) <= MAX_EVENTS:
            return {"events": events, "atRevision": self.revision}
        page = events[:MAX_EVENTS]
        return {"events": page, "atRevision": page[-1]["revision"]}

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _end_watch(self, request: StandinRequest) -> None:
        for watcher in list(self._watchers):
            if watcher.request is request:
                self._watchers.remove(watcher)
                body = {"events": [], "atRevision": self.revision}
                self.respond(request, 200, orjson.dumps(body))


def _encode_item(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createdRevision": item.created_revision,
        "leaseId": item.lease,
    }
