"""ASGI application that serves the peer protocol."""

from collections.abc import Awaitable, Callable
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
from bronzebeam.entry.asgi import (
    BodyTooLarge,
    CallerDisconnected,
    Receive,
    Scope,
    Send,
    read_body,
)
from bronzebeam.entry.body_memory import BodyDisplaced, BodyMemory
from bronzebeam.findings import FindingsError, one_finding
from bronzebeam.telemetry.traffic import ControlChannel, ControlTraffic
from bronzebeam.transport.peer import (
    DOCUMENT_PATH,
    EXCHANGE_PATH,
    PUSH_PATH,
    STATUS_PATH,
)


@frozen(kw_only=True)
class PeerResponse:
    """
    Response to a peer.

    :ivar body: encoded JSON.
    """

    body: bytes
    status: int = 200


RouteHandler = Callable[[bytes], Awaitable[PeerResponse]]


class PeerApp:
    """
    Serves the peer protocol.

    The response to a malformed message has status 400 and lists the errors found.

    :ivar routes: handlers by method and path; add further ones before serving.
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
        self._body_memory = BodyMemory()
        self.routes: dict[tuple[str, str], RouteHandler] = {
            ("POST", EXCHANGE_PATH): self._handle_exchange,
            ("POST", PUSH_PATH): self._handle_push,
            ("GET", DOCUMENT_PATH): self._get_document,
            ("GET", STATUS_PATH): self._get_status,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        try:
            response = await self._dispatch(scope, receive)
        except CallerDisconnected:
            return
        self.traffic.count_served(
            ControlChannel.PEER,
            headers=scope["headers"],
            path=scope["path"],
            response_body_bytes=len(response.body),
        )
        await _send_response(send, response)

    async def _dispatch(self, scope: Scope, receive: Receive) -> PeerResponse:
        route = self.routes.get((scope["method"], scope["path"]))
        if route is None:
            return _error_response(404, "request", "there is no such route")
        try:
            return await route(
                await read_body(
                    receive, max_bytes=MAX_MESSAGE_BYTES, memory=self._body_memory
                )
            )
        except BodyTooLarge:
            return _error_response(
                413, "request", f"is above {MAX_MESSAGE_BYTES} bytes"
            )
        except BodyDisplaced:
            return _error_response(503, "request", "too many are being received")
        except orjson.JSONDecodeError as error:
            return _error_response(400, "request", f"is not JSON: {error}")
        except FindingsError as error:
            return _findings_response(400, error)

    async def _handle_exchange(self, body: bytes) -> PeerResponse:
        message = exchange_from_json(orjson.loads(body))
        return _json_response(exchange_to_json(self._gossip.handle_exchange(message)))

    async def _handle_push(self, body: bytes) -> PeerResponse:
        message = push_from_json(orjson.loads(body))
        return _json_response(push_reply_to_json(self._gossip.handle_push(message)))

    async def _get_document(self, body: bytes) -> PeerResponse:
        encoded = self._configuration.view.encoded
        return PeerResponse(body=b"null" if encoded is None else encoded)

    async def _get_status(self, body: bytes) -> PeerResponse:
        own = self._membership.view.own
        view = self._configuration.view
        readiness = self._configuration.readiness()
        return _json_response(
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


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


def _json_response(value: Any) -> PeerResponse:
    return PeerResponse(body=orjson.dumps(value))


def _error_response(status: int, subject: str, message: str) -> PeerResponse:
    error = one_finding(subject=subject, message=message)
    return _findings_response(status, error)


def _findings_response(status: int, error: FindingsError) -> PeerResponse:
    findings = [
        {"place": item.place, "message": item.message} for item in error.findings
    ]
    value = {"subject": error.subject, "findings": findings}
    return PeerResponse(body=orjson.dumps(value), status=status)
