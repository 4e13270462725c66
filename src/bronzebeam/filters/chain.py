"""The chain of filters that every request passes through."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

from attrs import define, field, frozen

from bronzebeam.documents.model import EnvironmentDocument, OperationSpec, ServiceSpec
from bronzebeam.outcomes import Outcome


@define(kw_only=True)
class QueryStats:
    """
    Statistics of one query's sub-requests, used to adapt the concurrency limit.

    :ivar latencies_ms: latencies so far of first attempts, answered or cancelled.
    :ivar sent: sub-requests with an outcome.
    :ivar shed: sub-requests that backend servers rejected as overloaded.
    """

    latencies_ms: list[float] = field(factory=list)
    sent: int = 0
    shed: int = 0


@frozen(kw_only=True)
class CallerRequest:
    """
    A validated request of a caller.

    :ivar request_id: identifier of this attempt, unique within the fleet.
    :ivar caller: name of the caller; rate limits apply to each caller.
    :ivar operation: None for a search.
    :ivar class_name: priority class of the request.
    :ivar arrived_at_seconds: monotonic time of arrival.
    :ivar deadline_at_seconds: monotonic time by which to answer.
    :ivar payload: the decoded JSON body.
    :ivar fingerprint: hash of service, operation and payload; the same for resends.
    :ivar idempotency_key: the caller's key; None if it gave none.
    :ivar first_attempt: the caller asserts that it never sent the key before.
    :ivar trace_headers: W3C trace context to propagate.
    :ivar solo: run on one backend server at a time, without hedges.
    :ivar stats: updated while the query runs.
    """

    request_id: str
    caller: str
    document: EnvironmentDocument
    document_revision: int
    service: ServiceSpec
    operation: OperationSpec | None
    class_name: str
    arrived_at_seconds: float
    deadline_at_seconds: float
    payload: Any
    fingerprint: str
    idempotency_key: str | None = None
    first_attempt: bool = False
    trace_headers: dict[str, str] = field(factory=dict)
    solo: bool = False
    stats: QueryStats = field(factory=QueryStats, eq=False)

    @property
    def idempotent(self) -> bool:
        return self.operation is None or self.operation.idempotent


Handler = Callable[[CallerRequest], Awaitable[Outcome]]


class Filter(Protocol):
    """One step of the chain: answers by itself or calls `proceed` at most once."""

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`, directly or by calling `proceed`."""


def build_chain(filters: Sequence[Filter], last: Handler) -> Handler:
    """Compose `filters` in order in front of `last`."""
    handler = last
    for item in reversed(filters):
        handler = _bind(item, handler)
    return handler


def _bind(item: Filter, proceed: Handler) -> Handler:
    async def handle(request: CallerRequest) -> Outcome:
        return await item.apply(request, proceed)

    return handle
