"""JSON over HTTP for the stand-ins, as plain ASGI applications."""

import gzip
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import anyio
import orjson
from attrs import field, frozen
from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Any, Any, Any], Awaitable[None]]

_JSON_HEADER = (b"content-type", b"application/json")
_MIN_COMPRESSED_BYTES = 1_000


@frozen(kw_only=True)
class JsonRequest:
    """
    A request with its body decoded.

    :ivar path: percent-decoded path.
    :ivar body: decoded JSON; None if the body is empty.
    """

    method: str
    path: str
    query: dict[str, str] = field(factory=dict)
    body: Any = None


@frozen(kw_only=True)
class JsonResponse:
    """A response; if `truncated` is set, the last byte of its body is not sent."""

    status: int = 200
    body: Any = None
    truncated: bool = False


Handler = Callable[[JsonRequest], Awaitable[JsonResponse | None]]


def build_json_app(handle: Handler) -> Application:
    """
    Build an ASGI application that passes requests to `handle`.

    :param handle: returns the response, or None to send no response at all.
    """

    async def app(scope: Any, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _run_lifespan(receive, send)
            return
        request = await _read_request(scope, receive)
        response = await handle(request)
        if response is None:
            await _wait_for_disconnect(receive)
            return
        await _send_response(response, scope, send)

    return app


async def serve_app(app: Application, *, address: str, port: int) -> None:
    """Serve `app` on the asyncio backend until cancelled."""
    config = Config()
    config.bind = [f"{address}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    config.shutdown_timeout = 0.5
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_set_when_cancelled, stop)
        # A cancelled Hypercorn leaves its sockets open, so it is shielded and stopped
        # by a trigger. Without a trigger it would also replace the signal handlers of
        # the process.
        with anyio.CancelScope(shield=True):
            await hypercorn_serve(app, config, shutdown_trigger=stop.wait)


async def _set_when_cancelled(event: anyio.Event) -> None:
    try:
        await anyio.sleep_forever()
    finally:
        event.set()


async def _run_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _read_request(scope: Any, receive: Receive) -> JsonRequest:
    chunks: list[bytes] = []
    more = True
    while more:
        message = await receive()
        chunks.append(message.get("body", b""))
        more = message.get("more_body", False)
    data = b"".join(chunks)
    return JsonRequest(
        method=scope["method"],
        path=scope["path"],
        query=dict(parse_qsl(scope["query_string"].decode())),
        body=orjson.loads(data) if data else None,
    )


async def _send_response(response: JsonResponse, scope: Any, send: Send) -> None:
    data = orjson.dumps(response.body)
    headers = [_JSON_HEADER]
    accepted = dict(scope["headers"]).get(b"accept-encoding", b"")
    if len(data) > _MIN_COMPRESSED_BYTES and b"gzip" in accepted:
        data = gzip.compress(data)
        headers.append((b"content-encoding", b"gzip"))
    headers.append((b"content-length", str(len(data)).encode()))
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    if response.truncated:
        data = data[:-1]
    await send({"type": "http.response.body", "body": data})


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
