"""Base of attempts: sends of a caller's request that end with a replica's reply."""

import asyncio
from abc import abstractmethod
from collections.abc import Iterable
from enum import Enum
from typing import Final, Protocol

from attrs import define

from bronzebeam.gateway.context import GatewayContext
from bronzebeam.gateway.pooled_send import PooledSend
from bronzebeam.gateway.routed_request import RoutedRequest
from bronzebeam.transport.http_reply import HttpReply
from bronzebeam.units import MS_PER_SECOND

# Cause of an attempt that a replica turned away for lack of room.
NO_ROOM_CAUSE: Final = "rejected_503"


class AttemptResult(Enum):
    """
    How an attempt ended.

    `ANSWERED`: the intended replica replied to this request with a success.
    `FAILED`: the replica replied with an error; the request counts as run.
    `NOT_RUN`: the replica stated that it did not run the request.
    `NOT_SENT`: no byte of the request was sent.
    `UNKNOWN`: no usable reply; the request may have run.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"

    @property
    def may_have_run(self) -> bool:
        return self in (self.ANSWERED, self.FAILED, self.UNKNOWN)


class AttemptHandler(Protocol):
    """Is notified of the end of an attempt and decides what to do next."""

    def on_attempt_ended(self, attempt: "BaseAttempt", result: AttemptResult) -> None:
        """Handle the result; the attempt has the reply, if there is one."""


@define(kw_only=True, eq=False, repr=False)
class BaseAttempt(PooledSend):
    """
    One send of a request, to a replica or through a peer.

    :ivar shard_index: index of the shard within the route; 0 outside a fan-out.
    :ivar is_repeat: the request was sent to a replica of the service before.
    :ivar sent_at_seconds: monotonic time at which the request was sent; None before.
    :ivar result: how the attempt ended; None before, or if it was discarded.
    :ivar connection_lost: the connection to the replica was closed before the end of a
        reply.
    :ivar crash_check: counts the replica whose connection was lost if it lives on.
    """

    context: GatewayContext
    routed: RoutedRequest
    handler: AttemptHandler
    shard_index: int = 0
    is_repeat: bool = False
    sent_at_seconds: float | None = None
    reply: HttpReply | None = None
    result: AttemptResult | None = None
    connection_lost: bool = False
    crash_check: "asyncio.Task[int] | None" = None

    @property
    def is_in_progress(self) -> bool:
        """Whether the request was sent and the attempt has not ended."""
        return self.sent_at_seconds is not None and not self.ended

    @property
    def reached_replica(self) -> bool:
        """Whether the request was sent, so that a replica may have received it."""
        return self.sent_at_seconds is not None

    @property
    def may_have_run(self) -> bool:
        """Whether a replica ran the request or may have run it."""
        if self.result is None:
            return self.reached_replica
        return self.result.may_have_run

    def drop_reply(self) -> None:
        """Drop the reply, which is not needed any more."""
        # The handler refers to the attempt in a cycle, which is collected late.
        self.reply = None

    @property
    @abstractmethod
    def target_name(self) -> str:
        """Return the replica or peer that the request was sent to."""

    @property
    def target_detail(self) -> str:
        """Return what else the log line says of the target; empty if nothing."""
        return ""

    def describe(self) -> str:
        """Describe the attempt for the log line of its request."""
        sent = "unsent"
        if self.sent_at_seconds is not None:
            waited_seconds = (
                self.sent_at_seconds - self.routed.request.arrived_at_seconds
            )
            sent = f"+{waited_seconds * MS_PER_SECOND:.1f}ms"
        result = self.cause or (self.result.value if self.result else "no_reply")
        return f"{self.target_name}@{sent}{self.target_detail}:{result}"

    def _end(self, result: AttemptResult, cause: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.result = result
        self.cause = cause
        self.handler.on_attempt_ended(self, result)


def crash_checks(attempts: Iterable[BaseAttempt]) -> list["asyncio.Task[int]"]:
    """Return the checks of the replicas that were lost."""
    return [item.crash_check for item in attempts if item.crash_check is not None]
