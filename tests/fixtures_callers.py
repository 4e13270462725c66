"""Fixtures for callers' requests: a small document, and requests parsed with it."""

from typing import Any

from bronzebeam.documents.model import (
    AcceptedDocument,
    BackendSpec,
    CallerLimitSpec,
    ClassSpec,
    DeadlineSpec,
    EnvironmentDocument,
    FleetSpec,
    OperationSpec,
    ServiceKind,
    ServiceSpec,
)
from bronzebeam.entry.request_parsing import parse_request
from bronzebeam.filters.chain import CallerRequest
from bronzebeam.outcomes import NotRun

BODY_MAX_BYTES = 10_000
SEARCH_PATH = "/v1/services/guests/search"
BOOK_PATH = "/v1/services/depots/calls/book"


def make_document() -> AcceptedDocument:
    """Build a document with a search service and a call service."""
    backend = BackendSpec(slots=2, connections=25, connect_ms=6.0)
    deadline = DeadlineSpec(default_ms=300, maximum_ms=2_000, minimum_ms=5)
    guests = ServiceSpec(
        name="guests",
        kind=ServiceKind.SEARCH,
        replicas=2,
        shards=4,
        backend=backend,
        deadline=deadline,
    )
    depots = ServiceSpec(
        name="depots",
        kind=ServiceKind.CALL,
        replicas=3,
        backend=backend,
        deadline=deadline,
        operations=(
            OperationSpec(name="book", idempotent=False),
            OperationSpec(name="look", idempotent=True),
        ),
    )
    document = EnvironmentDocument(
        environment="trial",
        fleet=FleetSpec(entry_instances=2),
        classes=(
            ClassSpec(name="check-in", priority=0),
            ClassSpec(name="planner", priority=5),
        ),
        caller_limit=CallerLimitSpec(rate_per_second=10.0, burst=10),
        services=(guests, depots),
    )
    return AcceptedDocument(
        revision=7,
        write_id="w-1",
        content_hash="0" * 64,
        author="ana",
        approved_by="bo",
        document=document,
    )


def parse(
    *,
    path: str = SEARCH_PATH,
    headers: dict[str, str] | None = None,
    body: bytes = b'{"q":1}',
    method: str = "POST",
) -> CallerRequest | NotRun:
    """Parse a request that arrives at the monotonic time of 100 s."""
    return parse_request(
        method=method,
        path=path,
        headers=headers or {},
        body=body,
        document=make_document(),
        now_seconds=100.0,
        new_request_id="new-1",
        body_max_bytes=BODY_MAX_BYTES,
    )


def parse_accepted(**arguments: Any) -> CallerRequest:
    """Parse a request that must be accepted."""
    request = parse(**arguments)
    assert isinstance(request, CallerRequest), request
    return request


def parse_rejected(**arguments: Any) -> NotRun:
    """Parse a request that must be rejected."""
    outcome = parse(**arguments)
    assert isinstance(outcome, NotRun), outcome
    return outcome
