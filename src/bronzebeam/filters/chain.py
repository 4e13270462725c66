"""The filter chain that each caller's request goes through."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

from attrs import define, field, frozen

from bronzebeam.documents.model import EnvironmentDocument, OperationSpec, ServiceSpec
from bronzebeam.outcomes import Outcome


@define(kw_only=True)
class QueryStats:
    """
    What the sub-requests of one query saw, for the concurrency limit.

    :ivar latencies_ms: times of the whole replies.
    :ivar sent: sub-requests handed to connections.
    :ivar shed: sub-requests that backend servers refused for load.
    """

    latencies_ms: list[float] = field(factory=list)
    sent: int = 0
    shed: int = 0


@frozen(kw_only=True)
class CallerRequest:
    """
    One caller's request, checked.

    :ivar request_id: identifier of this attempt, unique within the fleet.
    :ivar caller: who asks; limits are kept for each.
    :ivar operation: None for a search.
    :ivar class_name: class of work.
    :ivar arrived_at_seconds: monotonic time of arrival.
    :ivar deadline_at_seconds: monotonic time after which an answer is useless.
    :ivar payload: the decoded JSON body.
    :ivar fingerprint: hash of service, operation and payload; equal for resends.
    :ivar idempotency_key: the caller's key, None if none was given.
    :ivar first_attempt: the caller vouches that it never sent the key before.
    :ivar trace_headers: W3C trace context to pass on.
    :ivar solo: run on one backend server at a time, without hedges.
    :ivar stats: filled in while the query runs.
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
    """One step of the chain: answers itself, or calls `proceed` at most once."""

    async def apply(self, request: CallerRequest, proceed: Handler) -> Outcome:
        """Answer `request`, through `proceed` or without it."""


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
