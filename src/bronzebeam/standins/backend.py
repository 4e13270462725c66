"""Stand-in of a backend server, with fault injection and a history of its runs."""

import random
from collections.abc import Callable
from typing import Any, Final

import anyio
import h11
import orjson
from anyio.abc import SocketStream
from attrs import define, field

from bronzebeam.standins.backend_faults import BackendFaults
from bronzebeam.standins.backend_http import encode_response, read_request

STATUS_OK: Final = 200
STATUS_CONFLICT: Final = 409
STATUS_UNAVAILABLE: Final = 503
HITS_PER_SHARD: Final = 3


@define(kw_only=True, eq=False)
class BackendStandin:
    """
    A fake backend server.

    :ivar slots: number of requests that run concurrently.
    :ivar connections: maximum number of open connections; others are closed at once.
    :ivar holdings: shards of the server, each as index version, shard and shard count;
        empty for a call service.
    :ivar on_crash: called when the server crashes, before its connections are closed.
    :ivar history: one row for each request that was started.
    :ivar shed_count: number of requests rejected because the queue was full.
    """

    name: str
    slots: int = 2
    connections: int = 25
    holdings: list[list[int]] = field(factory=list)
    faults: BackendFaults = field(factory=BackendFaults)
    rng: random.Random = field(factory=lambda: random.Random(1))
    on_crash: Callable[[], None] | None = None
    history: list[dict[str, Any]] = field(factory=list, init=False)
    crashed: bool = field(default=False, init=False)
    open_connections: int = field(default=0, init=False)
    peak_connections: int = field(default=0, init=False)
    in_flight: int = field(default=0, init=False)
    shed_count: int = field(default=0, init=False)
    _running: dict[str, anyio.CancelScope] = field(factory=dict, init=False)
    _open_streams: set[int] = field(factory=set, init=False)
    _unresponsive: set[int] = field(factory=set, init=False)
    _last_reply: dict[str, Any] = field(factory=dict, init=False)
    _scope: anyio.CancelScope | None = field(default=None, init=False)

    async def serve(
        self,
        address: str,
        port: int,
        *,
        on_listening: Callable[[int], None] | None = None,
    ) -> None:
        """Serve until cancelled or crashed; `on_listening` is called with the port."""
        self._slot_limiter = anyio.CapacityLimiter(self.slots)
        self._started_at = anyio.current_time()
        listener = await anyio.create_tcp_listener(local_host=address, local_port=port)
        if on_listening is not None:
            on_listening(int(listener.extra(anyio.abc.SocketAttribute.local_port)))
        with anyio.CancelScope() as self._scope:
            async with listener:
                await listener.serve(self._serve_connection)

    _slot_limiter: anyio.CapacityLimiter = field(init=False)
    _started_at: float = field(default=0.0, init=False)

    def crash(self) -> None:
        """Close the listener and all connections without sending a reply."""
        self.crashed = True
        if self.on_crash is not None:
            self.on_crash()
        if self._scope is not None:
            self._scope.cancel()

    def reset(self) -> None:
        """Discard the state that a restart loses; then `serve` can be called again."""
        self.crashed = False
        self.open_connections = 0
        self.in_flight = 0
        for names in (self._open_streams, self._unresponsive, self._running):
            names.clear()

    async def _serve_connection(self, stream: SocketStream) -> None:
        async with stream:
            if self.open_connections >= self.connections:
                return
            self.open_connections += 1
            self._open_streams.add(id(stream))
            self.peak_connections = max(self.peak_connections, self.open_connections)
            try:
                await anyio.sleep(self.faults.connect_ms / 1000)
                await self._serve_requests(stream)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
                pass
            except h11.RemoteProtocolError:
                pass
            finally:
                self.open_connections -= 1
                self._open_streams.discard(id(stream))
                self._unresponsive.discard(id(stream))

    async def _serve_requests(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request, body = await read_request(connection, stream)
            if request is None:
                return
            if self.faults.frozen or id(stream) in self._unresponsive:
                await anyio.sleep_forever()
            status, value = await self._respond(request, body)
            await stream.send(
                encode_response(connection, status, self._encode_reply(value))
            )
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()

    def _encode_reply(self, value: dict[str, Any]) -> bytes:
        if value.get("result") and "error" not in value:
            value, self._last_reply = self._choose_reply(value), value
        content = orjson.dumps(value)
        if self.rng.random() < self.faults.truncate_share:
            content = content[: len(content) // 2]
        return content

    def _choose_reply(self, value: dict[str, Any]) -> dict[str, Any]:
        """Return `value`, or the previous reply if the fault `swap_share` applies."""
        if self._last_reply and self.rng.random() < self.faults.swap_share:
            return self._last_reply
        return value

    async def _respond(
        self, request: h11.Request, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        target = request.target.decode()
        value = orjson.loads(body) if body else {}
        headers = {key: text.decode() for key, text in request.headers}
        request_id = headers.get(b"x-request-id", "")
        if target == "/status":
            return STATUS_OK, self._reply(request_id, result=None, is_accurate=False)
        if target == "/cancel":
            return STATUS_OK, self._cancel(request_id, value)
        if target == "/faults":
            return STATUS_OK, self.set_faults(value)
        if target == "/history":
            return STATUS_OK, self.report()
        return await self._admit(target, request_id, value, headers)

    async def _admit(
        self,
        target: str,
        request_id: str,
        value: dict[str, Any],
        headers: dict[bytes, str],
    ) -> tuple[int, dict[str, Any]]:
        if self.faults.draining:
            return self._not_run(request_id, "draining")
        if self.in_flight >= self.slots + self.faults.queue:
            self.shed_count += 1
            return self._not_run(request_id, "overloaded")
        can_serve = target != "/search" or any(
            row[:2] == [value["index_version"], value["shard"]] for row in self.holdings
        )
        if not can_serve:
            return self._not_run(request_id, "version_gone", STATUS_CONFLICT)
        deadline_ms = float(headers.get(b"x-deadline-ms", "60000"))
        return await self._run_request(target, request_id, value, deadline_ms)

    async def _run_request(
        self, target: str, request_id: str, value: dict[str, Any], deadline_ms: float
    ) -> tuple[int, dict[str, Any]]:
        self.in_flight += 1
        row: dict[str, Any] = {"request_id": request_id, "ran": False}
        try:
            with anyio.move_on_after(deadline_ms / 1000) as scope:
                self._running[request_id] = scope
                async with self._slot_limiter:
                    self._record_run(row, target, value)
                    await anyio.sleep(self._service_seconds())
                    row["done"] = True
        finally:
            self._running.pop(request_id, None)
            self.in_flight -= 1
        if scope.cancelled_caught:
            return self._not_run(request_id, "cancelled", ran=row["ran"])
        return STATUS_OK, self._reply(request_id, **self._result(target, value))

    def _record_run(
        self, row: dict[str, Any], target: str, value: dict[str, Any]
    ) -> None:
        row |= {
            "ran": True,
            "done": False,
            "at_seconds": anyio.current_time(),
            "target": target,
            "key": value.get("idempotency_key"),
            "index_version": value.get("index_version"),
            "shard": value.get("shard"),
            "operation": value.get("operation"),
            "token": _payload_field(value, "token", ""),
        }
        self.history.append(row)
        if _payload_field(value, "crash", False):
            self.crash()

    def _service_seconds(self) -> float:
        faults = self.faults
        service_ms = faults.service_ms * self.rng.uniform(0.8, 1.2)
        if self.rng.random() < faults.slow_share:
            service_ms *= faults.slow_factor
        if (anyio.current_time() - self._started_at) * 1000 < faults.cold_ms:
            service_ms *= faults.cold_factor
        return service_ms / 1000

    def _result(self, target: str, value: dict[str, Any]) -> dict[str, Any]:
        if target != "/search":
            return {
                "result": {
                    "ran_by": self.name,
                    "operation": value["operation"],
                    "token": _payload_field(value, "token", ""),
                }
            }
        version, shard = value["index_version"], value["shard"]
        shard_count = next(
            (row[2] for row in self.holdings if row[:2] == [version, shard]), 0
        )
        count = (
            0 if shard in _payload_field(value, "empty_shards", ()) else HITS_PER_SHARD
        )
        hits = [
            {
                "id": f"{version}-{shard}-{number}",
                "score": 1 / (number + 1),
                "token": _payload_field(value, "token", ""),
            }
            for number in range(count)
        ]
        return {
            "result": hits,
            "index_version": version,
            "shard": shard,
            "shard_count": shard_count,
        }

    def _reply(
        self, request_id: str, *, is_accurate: bool = True, **fields: Any
    ) -> dict[str, Any]:
        hides_load = self.faults.lie_healthy and not is_accurate
        return {
            "request_id": request_id,
            "load": {
                "in_flight": 0 if hides_load else self.in_flight,
                "draining": self.faults.draining and not hides_load,
            },
            "holdings": self.holdings,
            **fields,
        }

    def _not_run(
        self,
        request_id: str,
        error: str,
        status: int = STATUS_UNAVAILABLE,
        ran: bool = False,
    ) -> tuple[int, dict[str, Any]]:
        return status, self._reply(request_id, error=error, ran=ran)

    def _cancel(self, request_id: str, value: dict[str, Any]) -> dict[str, Any]:
        scope = self._running.get(value["request_id"])
        if scope is not None:
            scope.cancel()
        return self._reply(request_id, result={"cancelled": scope is not None})

    def set_faults(self, value: dict[str, Any]) -> dict[str, Any]:
        """Set fault switches or holdings, or crash."""
        if "holdings" in value:
            self.holdings = value.pop("holdings")
        if value.pop("crash", False):
            self.crash()
        for name, setting in value.items():
            setattr(self.faults, name, setting)
        if not self.faults.silent:
            self._unresponsive.clear()
        elif value.get("silent"):
            self._unresponsive |= self._open_streams
        return {"ok": True}

    def report(self) -> dict[str, Any]:
        """Return the history of requests and the counters."""
        return {
            "name": self.name,
            "runs": self.history,
            "shed": self.shed_count,
            "most_connections": self.peak_connections,
        }


def _payload_field(value: dict[str, Any], name: str, default: Any) -> Any:
    """Return a field of the query or payload that the caller sent."""
    payload = value.get("query", value.get("payload"))
    return payload.get(name, default) if isinstance(payload, dict) else default
