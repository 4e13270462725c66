"""Handles requests that other entries forward to the owner of their idempotency key."""

from collections.abc import Callable

import orjson
from attrs import frozen

from bronzebeam.clock import Clock
from bronzebeam.documents.model import AcceptedDocument
from bronzebeam.entry.chain_guard import run_chain
from bronzebeam.entry.lifecycle import Lifecycle
from bronzebeam.entry.peer_app import PeerResponse
from bronzebeam.entry.request_parsing import compute_fingerprint
from bronzebeam.filters.chain import CallerRequest, Handler
from bronzebeam.outcomes import NotRun, Outcome
from bronzebeam.reasons import Reason
from bronzebeam.transport.outcome_codec import outcome_to_json
from bronzebeam.transport.owner_route import ForwardedRequest, parse_forwarded_request

NOT_READY_RETRY_MS = 1_000


@frozen(kw_only=True)
class ForwardedRequestHandler:
    """
    Handles forwarded requests.

    :ivar chain: filter chain that never forwards a request again.
    :ivar active_document: returns the active document, or None before the first.
    """

    chain: Handler
    active_document: Callable[[], AcceptedDocument | None]
    lifecycle: Lifecycle
    clock: Clock

    async def handle(self, body: bytes) -> PeerResponse:
        """Run one forwarded request and respond with its outcome as JSON."""
        try:
            forwarded = parse_forwarded_request(body)
        except ValueError as error:
            return PeerResponse(status=400, body=orjson.dumps({"error": str(error)}))
        request = self._to_caller_request(forwarded)
        outcome: Outcome
        if request is None:
            outcome = NotRun(
                reason=Reason.NOT_READY,
                retry_after_ms=NOT_READY_RETRY_MS,
                detail="the owner's document does not have this operation",
            )
        else:
            with self.lifecycle.track_request():
                outcome = await run_chain(self.chain, request)
        return PeerResponse(body=orjson.dumps(outcome_to_json(outcome)))

    def _to_caller_request(self, forwarded: ForwardedRequest) -> CallerRequest | None:
        accepted = self.active_document()
        if accepted is None:
            return None
        service = accepted.document.service(forwarded.service)
        operation = service.operation(forwarded.operation) if service else None
        if service is None or operation is None:
            return None
        now = self.clock.monotonic_seconds()
        return CallerRequest(
            request_id=forwarded.request_id,
            caller=forwarded.caller,
            document=accepted.document,
            document_revision=accepted.revision,
            service=service,
            operation=operation,
            class_name=forwarded.class_name,
            arrived_at_seconds=now,
            deadline_at_seconds=now + forwarded.remaining_ms / 1_000,
            payload=forwarded.payload,
            fingerprint=compute_fingerprint(
                service=service.name,
                operation=operation.name,
                payload=forwarded.payload,
            ),
            idempotency_key=forwarded.key,
            trace_headers=forwarded.trace_headers,
        )
