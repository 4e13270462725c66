"""The peer protocol's server, as a raw ASGI application."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import orjson
from attrs import frozen

from bronzebeam.controllers.configuration import ConfigurationController
from bronzebeam.controllers.gossip import GossipController
from bronzebeam.controllers.membership import MembershipController
from bronzebeam.controllers.peer_messages import (
    MAX_MESSAGE_BYTES,
    exchange_from_json,
    exchange_to_json,
    push_from_json,
    push_reply_to_json,
)
from bronzebeam.findings import FindingsError, one_finding
from bronzebeam.telemetry.traffic import ControlChannel, ControlTraffic
from bronzebeam.transport.peer import (
    DOCUMENT_PATH,
    EXCHANGE_PATH,
    PUSH_PATH,
    STATUS_PATH,
)

Scope = Mapping[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@frozen(kw_only=True)
class PeerResponse:
    """
    Response of a route.

    :ivar body: JSON, encoded.
    """

    body: bytes
    status: int = 200


Route = Callable[[bytes], Awaitable[PeerResponse]]


class RequestTooLarge(Exception):
    """The body is larger than `MAX_MESSAGE_BYTES`."""


class RequestCut(Exception):
    """The peer went away before its request was whole."""


class PeerApp:
    """
    Serves the peer protocol.

    A malformed message is answered with status 400 and its findings.

    :ivar routes: handlers by method and path; more may be added before serving.
    """

    def __init__(
        self,
        *,
        membership: MembershipController,
        configuration: ConfigurationController,
        gossip: GossipController,
        traffic: ControlTraffic | None = None,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._gossip = gossip
        self.traffic = traffic or ControlTraffic()
        self.routes: dict[tuple[str, str], Route] = {
            ("POST", EXCHANGE_PATH): self._exchange,
            ("POST", PUSH_PATH): self._push,
            ("GET", DOCUMENT_PATH): self._document,
            ("GET", STATUS_PATH): self._status,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await _answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        try:
            response = await self._respond(scope, receive)
        except RequestCut:
            return
        self.traffic.count_served(
            ControlChannel.PEER,
            headers=scope["headers"],
            path=scope["path"],
            response_body_bytes=len(response.body),
        )
        await _send_response(send, response)

    async def _respond(self, scope: Scope, receive: Receive) -> PeerResponse:
        route = self.routes.get((scope["method"], scope["path"]))
        if route is None:
            return _refusal(404, "request", "there is no such route")
        try:
            return await route(await _read_body(receive))
        except RequestTooLarge:
            return _refusal(413, "request", f"is above {MAX_MESSAGE_BYTES} bytes")
        except orjson.JSONDecodeError as error:
            return _refusal(400, "request", f"is not JSON: {error}")
        except FindingsError as error:
            return _findings_response(400, error)

    async def _exchange(self, body: bytes) -> PeerResponse:
        message = exchange_from_json(orjson.loads(body))
        return _json(exchange_to_json(self._gossip.handle_exchange(message)))

    async def _push(self, body: bytes) -> PeerResponse:
        message = push_from_json(orjson.loads(body))
        return _json(push_reply_to_json(self._gossip.handle_push(message)))

    async def _document(self, body: bytes) -> PeerResponse:
        encoded = self._configuration.view.encoded
        return PeerResponse(body=b"null" if encoded is None else encoded)

    async def _status(self, body: bytes) -> PeerResponse:
        own = self._membership.view.own
        view = self._configuration.view
        readiness = self._configuration.readiness()
        return _json(
            {
                "instance": own.instance,
                "incarnation": own.incarnation,
                "environment": self._configuration.environment,
                "revision": view.revision,
                "content_hash": view.content_hash,
                "ready": readiness.ready,
                "reason": readiness.reason,
                "members": len(self._membership.view.members),
                "store_older": view.store_older,
                "store_failing": self._configuration.store_failing,
                "split": view.split,
                "document_refused": view.refused,
            }
        )


async def _read_body(receive: Receive) -> bytes:
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise RequestCut
        body += event.get("body", b"")
        if len(body) > MAX_MESSAGE_BYTES:
            raise RequestTooLarge
        if not event.get("more_body", False):
            return bytes(body)


async def _send_response(send: Send, response: PeerResponse) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(response.body)).encode()),
    ]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def _answer_lifespan(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


def _json(value: Any) -> PeerResponse:
    return PeerResponse(body=orjson.dumps(value))


def _refusal(status: int, subject: str, message: str) -> PeerResponse:
    error = one_finding(subject=subject, message=message)
    return _findings_response(status, error)


def _findings_response(status: int, error: FindingsError) -> PeerResponse:
    findings = [
        {"place": item.place, "message": item.message} for item in error.findings
    ]
    value = {"subject": error.subject, "findings": findings}
    return PeerResponse(body=orjson.dumps(value), status=status)
